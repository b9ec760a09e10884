package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Rate limits of one host, in calls per second. They protect the API from a faulty
// host; normal operation stays far below them (see docs/design/configuration.md).
const (
	readsPerSecond  = 50
	writesPerSecond = 50
	callBurst       = 100 // calls
)

// Operations by which calls are counted.
const (
	opGet    = "get"
	opList   = "list"
	opPut    = "put"
	opDelete = "delete"
	opWatch  = "watch"
)

// callLimiter counts this host's calls and limits their rate.
type callLimiter struct {
	scope  tally.Scope
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newCallLimiter() *callLimiter {
	return &callLimiter{
		scope:  tally.NoopScope,
		reads:  rate.NewLimiter(readsPerSecond, callBurst),
		writes: rate.NewLimiter(writesPerSecond, callBurst),
	}
}

// RateLimitError reports a call that was not made because its context ended, or would
// have ended, before the rate limit allowed it.
type RateLimitError struct {
	Op string
}

func (e *RateLimitError) Error() string { return "budget of object API calls exhausted for " + e.Op }

// begin waits until the rate limit allows a call, and counts the call. The caller passes
// the call's outcome to done.
func (l *callLimiter) begin(ctx context.Context, op string, kind Kind) (done func(error), err error) {
	scope := l.scope.Tagged(map[string]string{"op": op, "kind": string(kind)})
	limiter := l.reads
	if op == opPut || op == opDelete {
		limiter = l.writes
	}
	if err := limiter.Wait(ctx); err != nil {
		scope.Counter("over_budget").Inc(1)
		return nil, &UnavailableError{Op: op, Cause: &RateLimitError{Op: op}}
	}
	scope.Counter("calls").Inc(1)
	start := time.Now()
	return func(err error) {
		scope.Timer("latency").Record(time.Since(start))
		if outcome := failureCounter(err); outcome != "" {
			scope.Counter(outcome).Inc(1)
		}
	}, nil
}

// failureCounter returns the name of the counter for a failure. It returns "" for
// success and for errors defined by the API, such as a conflict.
func failureCounter(err error) string {
	var unavailable *UnavailableError
	var unanswered *noResponseError
	switch {
	case errors.As(err, &unanswered):
		return "unknown_outcome"
	case errors.As(err, &unavailable):
		return "unavailable"
	}
	return ""
}

// operationOf returns the operation by which a call is counted.
func operationOf(method, name string) string {
	switch {
	case method == http.MethodGet && name == "":
		return opList
	case method == http.MethodGet:
		return opGet
	case method == http.MethodDelete:
		return opDelete
	}
	return opPut
}
