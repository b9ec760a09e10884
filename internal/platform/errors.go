package platform

import "fmt"

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Kind Kind
	Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s/%s not found", e.Kind, e.Name)
}

// ConflictError reports a conditional write whose precondition failed.
type ConflictError struct {
	Kind     Kind
	Name     string
	Expected Version // version that the writer named, 0 if the object must not exist
	Found    Version // version stored now, 0 if the object does not exist
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s/%s is at version %d, not %d", e.Kind, e.Name, e.Found, e.Expected)
}

// ExpiredError reports a watch from a version that the API no longer keeps.
type ExpiredError struct {
	Kind  Kind
	After Version
}

func (e *ExpiredError) Error() string {
	return fmt.Sprintf("watch of %s after version %d: version expired", e.Kind, e.After)
}

// UnavailableError reports a call that certainly had no effect: it was never sent, the
// API refused it before acting, or it was a read or a watch.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("object API unavailable for %s: %v", e.Op, e.Cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a write that may or may not have taken effect. To find
// out, the caller reads the object back and compares OpID. A delete has no OpID; there,
// the caller compares the version.
type UnknownOutcomeError struct {
	Kind  Kind
	Name  string
	OpID  string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of write %s to %s/%s unknown: %v", e.OpID, e.Kind, e.Name, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// EraError reports a response that belongs to another era of the store than the one expected: a late one of an
// earlier era, or one to a call that was made before the store was restored.
type EraError struct {
	Expected, Found Era
}

func (e *EraError) Error() string {
	return fmt.Sprintf("response belongs to era %d of the store, not %d", e.Found, e.Expected)
}

// VersionRangeError reports an era or a revision that is too high for a Version.
type VersionRangeError struct {
	Era      Era
	Revision uint64
}

func (e *VersionRangeError) Error() string {
	return fmt.Sprintf("revision %d of era %d is too high", e.Revision, e.Era)
}

// InvalidError reports a request that the API rejects regardless of what it stores.
type InvalidError struct {
	Kind   Kind
	Name   string
	Reason string
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s/%s invalid: %s", e.Kind, e.Name, e.Reason)
}
