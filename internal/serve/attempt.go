package serve

import (
	"context"
	"strconv"
	"time"
)

// attempt limits the time of one dispatch to a target. Until the first token of a stream,
// or the complete response, the request's deadline applies; within a stream, the sender's
// idle timeout.
type attempt struct {
	ctx    context.Context
	cancel context.CancelFunc
	timer  *time.Timer
	first  time.Time // when the first token arrived
}

// newAttempt returns an attempt that ends with the caller's context. The deadline of
// bounded applies until the first token; if it has none, defaultWait is used.
func newAttempt(caller, bounded context.Context, defaultWait time.Duration) *attempt {
	ctx, cancel := context.WithCancel(caller)
	wait := defaultWait
	if deadline, ok := bounded.Deadline(); ok {
		wait = time.Until(deadline)
	}
	return &attempt{ctx: ctx, cancel: cancel, timer: time.AfterFunc(wait, cancel)}
}

// recordToken records the arrival of a streamed token. The first one stops the timer.
func (a *attempt) recordToken() {
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
