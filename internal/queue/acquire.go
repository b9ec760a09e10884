package queue

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"buckthornseam.dev/coord/fair"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
)

// waiter is a request that waits in Acquire. Done receives nil when the request
// may be dispatched, and otherwise its refusal.
type waiter struct {
	request fair.Request
	done    chan *fair.Refusal
}

// Acquire implements serve.Queue. It returns at the latest at the deadline of
// ctx, or after defaultMaxWait if ctx has none.
func (q *Queue) Acquire(ctx context.Context, t serve.QueueRequest) (func(), error) {
	if err := ctx.Err(); err != nil {
		return nil, contextRefusal(err)
	}
	arrived := q.now()
	deadline := arrived + defaultMaxWait
	if d, ok := ctx.Deadline(); ok {
		deadline = d.Sub(q.start)
	}
	p := q.pool(t.Pool)
	w, ref := p.push(t, deadline-answerMargin)
	if ref != nil {
		return nil, p.refusalError(ref)
	}
	expiry := time.AfterFunc(deadline-answerMargin-arrived, p.expire)
	defer expiry.Stop()
	select {
	case ref = <-w.done:
	case <-ctx.Done():
		if p.cancel(w) {
			return nil, contextRefusal(ctx.Err())
		}
		// The request was dispatched or refused at the same moment.
		if ref = <-w.done; ref == nil {
			p.release(w.request)
			return nil, contextRefusal(ctx.Err())
		}
	}
	late := q.now() - deadline
	invariant.Check(late <= maxAnswerDelay, invariant.AnsweredInTime, "request %s waited %v past its deadline in the queue", t.ID, late)
	if ref != nil {
		return nil, p.refusalError(ref)
	}
	p.waitTimer.Record(q.now() - arrived)
	return sync.OnceFunc(func() { p.release(w.request) }), nil
}

// contextRefusal returns the refusal of a request whose context ended before the
// request ran.
func contextRefusal(cause error) *refusal.Error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "The request did not have its turn in time.").
			WithRetryAfter(time.Second).WithCause(cause)
	}
	return refusal.New(statusClientClosed, refusal.CodeCanceled, "The caller ended the request.").WithCause(cause)
}

// statusClientClosed is the non-standard but common HTTP status of a request
// whose caller closed the connection.
const statusClientClosed = 499

// refusalError counts a refusal and converts it to the error for the caller.
func (p *pool) refusalError(r *fair.Refusal) *refusal.Error {
	p.refusedCounter(r.Reason).Inc(1)
	switch r.Reason {
	case fair.ReasonTeamFull:
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "Too many requests of the team are waiting.").
			WithRetryAfter(r.RetryAfter).WithCause(r)
	case fair.ReasonPoolFull:
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "Too many requests are waiting.").
			WithRetryAfter(r.RetryAfter).WithCause(r)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeDeadline, "The request would not have its turn in time.").
		WithRetryAfter(r.RetryAfter).WithCause(r)
}
