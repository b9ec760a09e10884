package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// sending is a request to a target, or to a host that passes it on, until forward has returned.
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

// forward sends the request. It returns when the head of the response is there, unless that is of a failure or a refusal: these have come
// whole. If they are broken, they prove nothing, neither that the request was not run nor what the target states about itself.
func (s *sending) forward(g *Gateway) {
	defer close(s.done)
	s.resp, s.err = s.sender.Forward(s.ctx, s.address, s.request, g.responseID)
	if s.err != nil {
		return
	}
	if s.err = g.readUnsuccessful(s.resp); s.err != nil {
		_ = s.resp.Body.Close() // its connection is closed
	}
}

// maxFailureBytes limits what is read of a failure before it is judged. A longer one is judged by its head.
const maxFailureBytes = 64 << 10

// readUnsuccessful reads a failure or a refusal whole. The body of a failure can be read again, as it may be sent to the caller. It fails with
// *OversizedResponseError, or as the read did.
func (g *Gateway) readUnsuccessful(resp *target.ForwardResponse) error {
	if g.opts.Codec.ReadResponse(resp.Status, resp.Header).NotRun {
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedBytes+1))
		if err == nil && n > maxBufferedBytes {
			err = &OversizedResponseError{Part: "body", Limit: maxBufferedBytes}
		}
		return err
	}
	if resp.Status/100 == 2 {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxFailureBytes))
	if err != nil {
		return err
	}
	resp.Body = readAgain{io.MultiReader(bytes.NewReader(body), resp.Body), resp.Body}
	return nil
}

// readAgain is a body of which a part was read and comes again.
type readAgain struct {
	io.Reader
	io.Closer
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
	go h.sending.forward(g)
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
	if !g.opts.Codec.ReadResponse(s.resp.Status, s.resp.Header).NotRun {
		return hedgeTaken
	}
	g.recordNotices(x, c, s.resp)
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
