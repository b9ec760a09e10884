package platform

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

// Budget of one host, in calls a second. It guards the API against a host that
// misbehaves; the duties stay far below it (see docs/design/configuration.md).
const (
	readsPerSecond  = 50
	writesPerSecond = 50
	budgetBurst     = 100 // calls
)

// The operations that calls are counted by.
const (
	opGet    = "get"
	opList   = "list"
	opPut    = "put"
	opDelete = "delete"
	opWatch  = "watch"
)

// budget counts the calls of this host and bounds them.
type budget struct {
	scope  tally.Scope
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newBudget() *budget {
	return &budget{
		scope:  tally.NoopScope,
		reads:  rate.NewLimiter(readsPerSecond, budgetBurst),
		writes: rate.NewLimiter(writesPerSecond, budgetBurst),
	}
}

// BudgetError reports a call that was not made, because the budget allows the
// next one only after the caller's deadline.
type BudgetError struct {
	Op string
}

func (e *BudgetError) Error() string { return "budget of object API calls exhausted for " + e.Op }

// enter waits for the budget and counts the call. The caller calls done with
// the call's outcome.
func (b *budget) enter(ctx context.Context, op string, kind Kind) (done func(error), err error) {
	scope := b.scope.Tagged(map[string]string{"op": op, "kind": string(kind)})
	limiter := b.reads
	if op == opPut || op == opDelete {
		limiter = b.writes
	}
	if err := limiter.Wait(ctx); err != nil {
		scope.Counter("over_budget").Inc(1)
		return nil, &UnavailableError{Op: op, Cause: &BudgetError{Op: op}}
	}
	scope.Counter("calls").Inc(1)
	start := time.Now()
	return func(err error) {
		scope.Timer("latency").Record(time.Since(start))
		if outcome := outcomeOf(err); outcome != "" {
			scope.Counter(outcome).Inc(1)
		}
	}, nil
}

// outcomeOf names the counter of a failure, "" for an answer of the protocol.
func outcomeOf(err error) string {
	var unavailable *UnavailableError
	var lost *lostError
	switch {
	case errors.As(err, &lost):
		return "unknown_outcome"
	case errors.As(err, &unavailable):
		return "unavailable"
	}
	return ""
}

// operation returns the name that a call is counted by.
func operation(method, name string) string {
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
