package platform

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"buckthornseam.dev/seam/internal/ctxsleep"
)

// Delays between attempts to find out the outcome of a write.
const (
	confirmBackoff    = 100 * time.Millisecond // doubled after each attempt
	maxConfirmBackoff = 2 * time.Second
)

// SupersededError reports a write whose response was lost and whose object was changed
// by another writer before it could be read back. The write may have been stored for a
// while, but is not stored now.
type SupersededError struct {
	Kind     Kind
	Name     string
	Expected Version // version that the write was to replace
	Found    Version // version stored now, 0 if the object does not exist
	OpID     string  // id of the write, empty for a delete
}

func (e *SupersededError) Error() string {
	return "write " + e.OpID + " to " + string(e.Kind) + "/" + e.Name + " was lost or superseded"
}

// PutConfirmed is like Put, but if the response is lost, it finds out the outcome. It
// reads the object back and compares OpID. While the object is unchanged, it repeats the
// write with the same precondition and OpID, so that at most one of the two writes
// succeeds, even if the first is still in flight.
//
// It fails like Put, with *SupersededError, or with *UnknownOutcomeError if ctx ends
// first.
func PutConfirmed(ctx context.Context, api API, obj Object) (Object, error) {
	if obj.OpID == "" {
		obj.OpID = uuid.NewString()
	}
	stored, err := api.Put(ctx, obj)
	for backoff := confirmBackoff; isUnknownOutcome(err); backoff = min(2*backoff, maxConfirmBackoff) {
		if !ctxsleep.Sleep(ctx, backoff) {
			return Object{}, err
		}
		stored, err = confirmPut(ctx, api, obj, err)
	}
	return stored, err
}

// confirmPut makes one attempt to find out the outcome of a put whose response was lost.
// It returns the error unknown if the outcome is still not certain.
func confirmPut(ctx context.Context, api API, obj Object, unknown error) (Object, error) {
	current, err := api.Get(ctx, obj.Kind, obj.Name)
	var notFound *NotFoundError
	switch {
	case errors.As(err, &notFound):
		current = Object{}
	case err != nil:
		return Object{}, unknown
	}
	if current.OpID == obj.OpID {
		return current, nil
	}
	if current.Version != obj.Version {
		return Object{}, &SupersededError{Kind: obj.Kind, Name: obj.Name, Expected: obj.Version, Found: current.Version, OpID: obj.OpID}
	}
	stored, err := api.Put(ctx, obj)
	if err == nil {
		return stored, nil
	}
	// Whatever the reason of this failure, the first write may have been stored
	// in the meantime; only reading the object again can tell.
	return Object{}, unknown
}

// DeleteConfirmed is like Delete, but if the response is lost, it finds out the outcome.
// An object that is gone by then counts as deleted, even if another writer deleted it.
func DeleteConfirmed(ctx context.Context, api API, kind Kind, name string, version Version) error {
	err := api.Delete(ctx, kind, name, version)
	for backoff := confirmBackoff; isUnknownOutcome(err); backoff = min(2*backoff, maxConfirmBackoff) {
		if !ctxsleep.Sleep(ctx, backoff) {
			return err
		}
		err = confirmDelete(ctx, api, kind, name, version, err)
	}
	return err
}

func confirmDelete(ctx context.Context, api API, kind Kind, name string, version Version, unknown error) error {
	current, err := api.Get(ctx, kind, name)
	var notFound *NotFoundError
	switch {
	case errors.As(err, &notFound):
		return nil
	case err != nil:
		return unknown
	case current.Version != version:
		return &SupersededError{Kind: kind, Name: name, Expected: version, Found: current.Version}
	}
	if err := api.Delete(ctx, kind, name, version); err == nil {
		return nil
	}
	return unknown
}

func isUnknownOutcome(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}
