package serve

import (
	"context"
	"strconv"
	"time"
)

// attempt bounds one dispatch to a target: up to the request's deadline until
// the first token, then by the gap between tokens.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	gap    time.Duration
	timer  *time.Timer
	first  time.Time // arrival of the first token
}

// newAttempt returns an attempt that ends with the caller's ctx. Bounded
// carries the deadline for the first token, if any.
func newAttempt(caller, bounded context.Context, gap time.Duration) *attempt {
	ctx, cancel := context.WithCancel(caller)
	wait := gap
	if deadline, ok := bounded.Deadline(); ok {
		wait = time.Until(deadline)
	}
	return &attempt{ctx: ctx, cancel: cancel, gap: gap, timer: time.AfterFunc(wait, cancel)}
}

// progress notes that a token came.
func (a *attempt) progress() {
	if a.first.IsZero() {
		a.first = time.Now()
	}
	a.timer.Reset(a.gap)
}

func (a *attempt) close() {
	a.timer.Stop()
	a.cancel()
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
