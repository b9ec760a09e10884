// Package refusal defines the error with which a caller's request is refused, and its
// JSON form.
package refusal

import (
	"fmt"
	"time"
)

// Execution tells whether a refused request ran on a target.
type Execution string

// The values of Execution. NotRun is used only if no byte of the request can have
// reached a target.
const (
	NotRun  Execution = "not_run"
	Ran     Execution = "ran"
	Unknown Execution = "unknown"
)

// Code classifies a refusal. Codes are part of the API for callers.
type Code string

// The refusal codes.
const (
	CodeInvalidRequest       Code = "invalid_request"
	CodeBodyTooLarge         Code = "body_too_large"
	CodeMissingKey           Code = "missing_key"
	CodeInvalidKey           Code = "invalid_key"
	CodeUnknownModel         Code = "model_not_found"
	CodeUnknownRoute         Code = "route_not_found"
	CodeMethodNotAllowed     Code = "method_not_allowed"
	CodeRateLimited          Code = "rate_limited"
	CodeOverloaded           Code = "overloaded"
	CodeDeadline             Code = "deadline_exceeded"
	CodeNoCapacity           Code = "no_capacity"
	CodeTargetFailed         Code = "target_failed"
	CodeIncomplete           Code = "answer_incomplete"
	CodeInProgress           Code = "in_progress"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeQuarantined          Code = "request_quarantined"
	CodeIdempotencyKeyReused Code = "idempotency_key_reused"
	CodeJournalUnavailable   Code = "journal_unavailable"
	CodeConfigurationStale   Code = "configuration_stale"
	CodeStopping             Code = "host_stopping"
	CodeCanceled             Code = "canceled"
)

// Error is the refusal of a request.
type Error struct {
	Status     int           // HTTP status code
	Code       Code          // class of the refusal
	Message    string        // one sentence for the caller; never contains a key
	Execution  Execution     // whether the request ran
	RetryAfter time.Duration // when a retry is worthwhile, 0 if unknown
	Cause      error         // only logged, not sent to the caller
}

func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Execution, e.Message, e.Cause)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Execution, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// New returns a refusal of a request that did not run.
func New(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message, Execution: NotRun}
}

// WithRetryAfter sets the time after which a retry is worthwhile.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// WithCause sets the cause that is logged.
func (e *Error) WithCause(cause error) *Error {
	e.Cause = cause
	return e
}

// WithExecution sets whether the request ran.
func (e *Error) WithExecution(x Execution) *Error {
	e.Execution = x
	return e
}
