package serve

import (
	"context"
	"strconv"
	"time"
)

// attempt bounds one dispatch to a target: up to the request's deadline until
// the first token. After that the target's silence is bounded by the sender.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	first  time.Time // arrival of the first token
}

// newAttempt returns an attempt that ends with the caller's ctx. Bounded
// carries the deadline for the first token; without one, resumed is the bound.
func newAttempt(caller, bounded context.Context, resumed time.Duration) *attempt {
	ctx, cancel := context.WithCancel(caller)
	wait := resumed
	if deadline, ok := bounded.Deadline(); ok {
		wait = time.Until(deadline)
	}
	return &attempt{ctx: ctx, cancel: cancel, timer: time.AfterFunc(wait, cancel)}
}

// progress notes that a token came.
func (a *attempt) progress() {
	if !a.first.IsZero() {
		return
	}
	a.first = time.Now()
	a.timer.Stop()
}

func (a *attempt) close() {
	a.timer.Stop()
	a.cancel()
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
