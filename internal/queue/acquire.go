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

// waiter is a request in Acquire. Done receives nil when it may be dispatched.
type waiter struct {
	item fair.Request
	done chan *fair.Refusal
}

// Acquire implements serve.Queue. It returns at the latest when the deadline
// of ctx comes.
func (q *Queue) Acquire(ctx context.Context, t serve.Ticket) (func(), error) {
	if err := ctx.Err(); err != nil {
		return nil, ended(err)
	}
	arrived := q.now()
	deadline := arrived + defaultWait
	if d, ok := ctx.Deadline(); ok {
		deadline = d.Sub(q.start)
	}
	p := q.pool(t.Pool)
	w, ref := p.push(t, deadline-answerMargin)
	if ref != nil {
		return nil, p.refusal(ref)
	}
	expiry := time.AfterFunc(deadline-answerMargin-arrived, p.expire)
	defer expiry.Stop()
	select {
	case ref = <-w.done:
	case <-ctx.Done():
		if p.cancel(w) {
			return nil, ended(ctx.Err())
		}
		// Dispatched or refused at the same moment.
		if ref = <-w.done; ref == nil {
			p.release(w.item)
			return nil, ended(ctx.Err())
		}
	}
	late := q.now() - deadline
	invariant.Check(late <= answerGrace, invariant.AnsweredInTime, "request %s waited %v past its deadline in the queue", t.ID, late)
	if ref != nil {
		return nil, p.refusal(ref)
	}
	p.waited.Record(q.now() - arrived)
	return sync.OnceFunc(func() { p.release(w.item) }), nil
}

// ended returns the refusal of a request whose context ended. It did not run.
func ended(cause error) *refusal.Error {
	if errors.Is(cause, context.DeadlineExceeded) {
		return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "The request did not have its turn in time.").
			WithRetry(time.Second).WithCause(cause)
	}
	return refusal.New(statusClientClosed, refusal.CodeCanceled, "The caller ended the request.").WithCause(cause)
}

// statusClientClosed is the customary status of a request whose caller left.
const statusClientClosed = 499

// refusal converts the core's refusal for the caller, and counts it.
func (p *pool) refusal(r *fair.Refusal) *refusal.Error {
	p.refusedBy(r.Reason).Inc(1)
	switch r.Reason {
	case fair.ReasonTeamFull:
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "Too many requests of the team are waiting.").
			WithRetry(r.RetryAfter).WithCause(r)
	case fair.ReasonPoolFull:
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "Too many requests are waiting.").
			WithRetry(r.RetryAfter).WithCause(r)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeDeadline, "The request would not have its turn in time.").
		WithRetry(r.RetryAfter).WithCause(r)
}
