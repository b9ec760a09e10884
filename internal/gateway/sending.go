package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// sending is a request to a target, or to a host that passes it on, until the head of the response is there.
type sending struct {
	ctx     context.Context // of the whole exchange
	cancel  context.CancelCauseFunc
	sender  Sender
	address string
	request target.ForwardRequest
	at      time.Duration // when it began
	done    chan struct{} // closed once resp and err are set
	resp    *target.ForwardResponse
	err     error
}

func (g *Gateway) newSending(ctx context.Context, x *exchange, c coordinator.Choice) *sending {
	s := &sending{sender: g.opts.Sender, address: c.Target.Address, request: g.newForwardRequest(x, c), at: g.opts.Now(), done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// newRelaySending is newSending for a request that another host is to pass on.
func (g *Gateway) newRelaySending(ctx context.Context, x *exchange, helper fleet.Host) *sending {
	s := &sending{sender: g.opts.Helpers, address: helper.RelayAddress, request: g.newRelayRequest(x), at: g.opts.Now(), done: make(chan struct{})}
	s.ctx, s.cancel = context.WithCancelCause(ctx)
	return s
}

// forward sends the request. It returns when the head of the response is there.
func (s *sending) forward(idOf target.ResponseIDFunc) {
	defer close(s.done)
	s.resp, s.err = s.sender.Forward(s.ctx, s.address, s.request, idOf)
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

// hedgeResult is what is known of a hedge after hedgeWait.
type hedgeResult int

const (
	hedgeTaken    hedgeResult = iota // there is a response, or the request has not been declined
	hedgeNotSent                     // it needs something that is not to be had just now
	hedgeDeclined                    // it does not run there
	hedgeBroken                      // it may run there, and there will be no response
)

// hedgeWait is how long the silent target keeps a request that another one has been sent. A rejection comes sooner. It must be much shorter
// than the 0.4 s for which two targets may work on a stream.
const hedgeWait = 150 * time.Millisecond

// awaitHedge sends a hedge and waits until the other peer has had the time to decline it, or search ends. check says what the head of a response
// or the error means.
func (g *Gateway) awaitHedge(search context.Context, h *hedge, count func(n int) bool, check func() hedgeResult) hedgeResult {
	go h.sending.forward(g.responseID)
	timer := time.NewTimer(hedgeWait)
	defer timer.Stop()
	outcome := hedgeTaken
	select {
	case <-h.sending.done:
		outcome = check()
	case <-timer.C:
	case <-search.Done():
	}
	if !h.sending.unreachable() {
		h.charge = nil // it is spent
	}
	if outcome == hedgeDeclined {
		count(-1)
	}
	if outcome == hedgeTaken && search.Err() != nil {
		return hedgeBroken // the silent peer goes on
	}
	return outcome
}

// checkHedge says what the head of a target's response or the error means, and records it.
func (g *Gateway) checkHedge(x *exchange, c coordinator.Choice, s *sending) hedgeResult {
	if s.err != nil {
		x.sentAt = s.at
		return hedgeResultOf(g.sendFailed(x, c, s.err))
	}
	response := g.opts.Codec.ReadResponse(s.resp.Status, s.resp.Header)
	if !response.NotRun {
		return hedgeTaken
	}
	g.recordNotices(x, c, s.resp.Status, response.Notices)
	g.recordRejection(x, c, s.resp.Status)
	return hedgeDeclined
}

// checkRelayHedge is checkHedge for another host.
func (g *Gateway) checkRelayHedge(x *exchange, helper fleet.Host, s *sending) hedgeResult {
	switch {
	case s.err != nil:
		return hedgeResultOf(g.relayFailed(x, helper, s.err))
	case s.resp.Header.Get(headerDeclined) != "", promisesNotRun[s.resp.Status]:
		return hedgeDeclined
	}
	return hedgeTaken
}

func hedgeResultOf(failure result) hedgeResult {
	if failure == mayHaveRun {
		return hedgeBroken
	}
	return hedgeDeclined
}

// isUnreachable reports whether nothing of a request reached its target.
func isUnreachable(err error) bool {
	var unreachable *target.UnreachableError
	return errors.As(err, &unreachable)
}
