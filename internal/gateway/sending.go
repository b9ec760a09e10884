package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/target"
)

// sending is a request to a target, until the head of the response is there.
type sending struct {
	ctx     context.Context // of the whole exchange
	cancel  context.CancelCauseFunc
	address string
	request target.ForwardRequest
	at      time.Duration // when it began
	done    chan struct{} // closed once resp and err are set
	resp    *target.ForwardResponse
	err     error
}

func (g *Gateway) newSending(ctx context.Context, x *exchange, c coordinator.Choice) *sending {
	s := &sending{address: c.Target.Address, request: g.newForwardRequest(x, c), at: g.opts.Now(), done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// forward sends the request. It returns when the head of the response is there.
func (g *Gateway) forward(s *sending) {
	defer close(s.done)
	s.resp, s.err = g.opts.Sender.Forward(s.ctx, s.address, s.request, g.responseID)
}

// abandon ends a request whose response is of no use.
func (s *sending) abandon() {
	s.cancel(nil)
	go func() {
		<-s.done
		if s.err == nil {
			_ = s.resp.Body.Close() // its connection is closed
		}
	}()
}

// unreachable reports whether it is known that nothing reached the target.
func (s *sending) unreachable() bool {
	select {
	case <-s.done:
		return s.err != nil && isUnreachable(s.err)
	default:
		return false
	}
}

// recordRejection records that a target did not run a request.
func (g *Gateway) recordRejection(x *exchange, c coordinator.Choice, status int) {
	x.log["shed_by"] = c.Target.ID
	g.opts.View.RecordOutcome(c.Target.ID, status == http.StatusMisdirectedRequest || x.call.Model != "")
	if x.call.Model != "" {
		g.opts.View.RecordMissingModel(c.Target.ID, x.call.Model)
	}
}

// trial is what is known of a request that was sent to another target while the first one is silent.
type trial int

const (
	trialGoesOn   trial = iota // the target has responded, or has not declined the request for a moment
	trialDeclined              // the target does not run it
	trialBroke                 // the target may have run it, and will not respond
)

// trialTime is how long the silent target keeps a request that another one has been sent. A rejection comes sooner. It must be much shorter
// than the 0.4 s for which two targets may work on a stream.
const trialTime = 150 * time.Millisecond

// awaitTrial waits until a target has had the time to decline a request, or ctx ends, and records what a failure says of the target.
func (g *Gateway) awaitTrial(ctx context.Context, x *exchange, c coordinator.Choice, s *sending) trial {
	timer := time.NewTimer(trialTime)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
		return trialGoesOn
	case <-ctx.Done():
		return trialGoesOn
	}
	if s.err != nil {
		x.sentAt = s.at
		switch g.sendFailed(x, c, s.err) {
		case mayHaveRun:
			return trialBroke
		default:
			return trialDeclined
		}
	}
	response := g.opts.Codec.ReadResponse(s.resp.Status, s.resp.Header)
	if !response.NotRun {
		return trialGoesOn
	}
	g.recordNotices(x, c, s.resp.Status, response.Notices)
	g.recordRejection(x, c, s.resp.Status)
	return trialDeclined
}

// isUnreachable reports whether nothing of a request reached its target.
func isUnreachable(err error) bool {
	var unreachable *target.UnreachableError
	return errors.As(err, &unreachable)
}
