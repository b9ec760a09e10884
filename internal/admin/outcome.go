package admin

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/platform"
)

// State is the state of a change.
type State string

// The states of a change.
const (
	// StateAccepted: stored, and no host acts on an older version. Every listed
	// host has acknowledged the change, has left the list, or has stopped
	// accepting requests because it could not confirm its configuration.
	StateAccepted State = "accepted"
	// StatePending: stored, and it will not revert. The hosts named may still
	// act on an older version.
	StatePending State = "pending"
	// StateConflict: not stored, because the stored version is not the one
	// that the operator named. The problem holds both versions; if its
	// MayHaveApplied is set, the change may have been stored and then replaced.
	StateConflict State = "conflict"
	// StateNotAccepted: certainly not stored.
	StateNotAccepted State = "not_accepted"
	// StateUnknown: the object API did not confirm whether the change is
	// stored. Repeating the call with the same operation id resolves this.
	StateUnknown State = "unknown"
)

// Instance is a stored template instance.
type Instance struct {
	Name    string           `json:"name"`
	Version platform.Version `json:"version,string"`
	config.Instance
}

// Outcome is the response to a change that is stored.
type Outcome struct {
	Instance
	State       State    `json:"state"`
	Message     string   `json:"message"`
	Operation   string   `json:"operation,omitempty"` // id of the write
	Waiting     []string `json:"waiting,omitempty"`   // hosts that may act on an older version
	WaitBounded bool     `json:"timed,omitempty"`     // hosts that are cut off stop within seconds, which ends the wait
}

// Problem is the response to a call that failed.
type Problem struct {
	Code      string           `json:"code"`
	State     State            `json:"state,omitempty"` // set for changes only
	Message   string           `json:"message"`
	Operation string           `json:"operation,omitempty"` // id of the write
	Faults    []config.Fault   `json:"faults,omitempty"`
	Expected  platform.Version `json:"expected,omitempty,string"` // version the operator named
	Found     platform.Version `json:"found,omitempty,string"`    // version stored
	// MayHaveApplied is set if the change may have been stored and then been
	// replaced by the version found.
	MayHaveApplied bool `json:"may_have_applied,omitempty"`
}

// newOutcome returns the outcome of a stored change.
func newOutcome(inst Instance, operation string, p config.Progress) Outcome {
	o := Outcome{Instance: inst, Operation: operation, Waiting: p.Waiting, WaitBounded: p.WaitBounded}
	switch {
	case p.InForce && len(p.Waiting) == 0:
		o.State = StateAccepted
		o.Message = fmt.Sprintf("accepted: version %d is in force on every host", inst.Version)
	case p.InForce:
		o.State = StateAccepted
		o.Message = fmt.Sprintf("accepted: version %d is in force; %s did not answer and accept no requests",
			inst.Version, strings.Join(p.Waiting, ", "))
	case p.WaitBounded:
		o.State = StatePending
		o.Message = fmt.Sprintf("pending: version %d is stored; %s did not answer yet and stop within seconds if they are cut off",
			inst.Version, strings.Join(p.Waiting, ", "))
	default:
		o.State = StatePending
		o.Message = fmt.Sprintf("pending: version %d is stored and will not revert; %s may act on an older one",
			inst.Version, strings.Join(p.Waiting, ", "))
	}
	return o
}

func (o Outcome) httpStatus() int {
	if o.State == StateAccepted {
		return http.StatusOK
	}
	return http.StatusAccepted
}

// newProblem returns the problem for an error and its HTTP status.
func newProblem(err error) (Problem, int) {
	var invalid *config.InvalidInstanceError
	var rejected *platform.InvalidError
	var conflict *platform.ConflictError
	var superseded *platform.SupersededError
	var missing *platform.NotFoundError
	var unknown *platform.UnknownOutcomeError
	switch {
	case errors.As(err, &invalid):
		return Problem{Code: "invalid", State: StateNotAccepted, Message: "not accepted: " + err.Error(), Faults: invalid.Faults}, http.StatusUnprocessableEntity
	case errors.As(err, &rejected):
		return Problem{Code: "invalid", State: StateNotAccepted, Message: "not accepted: " + err.Error()}, http.StatusUnprocessableEntity
	case errors.As(err, &conflict):
		return conflictProblem(conflict.Expected, conflict.Found, false), http.StatusConflict
	case errors.As(err, &superseded):
		return conflictProblem(superseded.Expected, superseded.Found, true), http.StatusConflict
	case errors.As(err, &missing):
		return Problem{Code: "not_found", State: StateNotAccepted, Message: err.Error()}, http.StatusNotFound
	case errors.As(err, &unknown):
		return Problem{Code: "unknown", State: StateUnknown, Message: "unknown: the object API did not say whether the change is stored; " +
			"repeat the call with the same operation id"}, http.StatusGatewayTimeout
	}
	return Problem{Code: "unavailable", State: StateNotAccepted, Message: "not accepted: " + err.Error()}, http.StatusServiceUnavailable
}

func conflictProblem(expected, found platform.Version, mayHaveApplied bool) Problem {
	p := Problem{Code: "conflict", State: StateConflict, Expected: expected, Found: found, MayHaveApplied: mayHaveApplied}
	p.Message = fmt.Sprintf("conflict: you named version %d, version %d is stored", expected, found)
	if mayHaveApplied {
		p.Message += "; your change may have been stored before it"
	}
	return p
}

// writeChangeError writes the response to a change that failed.
func writeChangeError(w http.ResponseWriter, operation string, err error) Problem {
	p, status := newProblem(err)
	p.Operation = operation
	writeJSON(w, status, p)
	return p
}

// writeReadError writes the response to a read that failed.
func writeReadError(w http.ResponseWriter, err error) {
	p, status := newProblem(err)
	p.State = ""
	writeJSON(w, status, p)
}
