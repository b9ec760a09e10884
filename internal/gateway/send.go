package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/homes"
	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/target"
)

// beginSend counts a request as running at a target until end is called. Otherwise it may not be sent there, and outcome says why.
func (g *Gateway) beginSend(x *exchange, c coordinator.Choice) (end func(), outcome result) {
	if !g.opts.View.Accepts(c.Target) { // known since it was chosen
		return nil, notRun
	}
	if !g.opts.View.MaySend(c) { // the target has become cold, or the permit is too old
		g.countCold(c.Target, "void")
		return nil, noSlot
	}
	g.checkInvariants(x, c)
	end, ok := g.opts.View.BeginRequest(c.Target, x.call.Model)
	if !ok { // another request took the slot
		return nil, noSlot
	}
	x.memory.prefill = g.opts.View.RecordPrompt(c.Target, promptOf(x))
	return end, relayed
}

// try sends a request to one target and relays its response. avoid are the targets that have failed before.
func (g *Gateway) try(ctx context.Context, x *exchange, c coordinator.Choice, avoid map[string]bool) (outcome result) {
	s, end := x.takeSending()
	begun := s != nil // a hedge
	if !begun {
		if end, outcome = g.beginSend(x, c); end == nil {
			x.tries--
			return outcome
		}
		s = g.newSending(ctx, x, c)
	}
	defer end()
	defer s.cancel(nil)
	x.sentAt = s.at
	silence := g.watchSilence(ctx, s.cancel, x, g.silenceTimeout(x, c.Target.ID, g.prefillTime(x)), g.searchTarget(ctx, avoid, c.Target.ID))
	defer func() { g.endWatch(x, silence, outcome) }() // also if the response is aborted
	defer g.opts.Reach.OnCutOff(g.shortenSilence(x, silence))()

	if !begun {
		s.forward(g)
	}
	<-s.done
	if s.err != nil {
		return g.sendFailed(x, c, s.err)
	}
	resp := s.resp
	defer resp.Body.Close()
	response := g.opts.Codec.ReadResponse(resp.Status, resp.Header)
	if resp.Status/100 != 2 || response.NotRun {
		g.recordNotices(x, c, resp)
	}
	if response.NotRun {
		g.recordRejection(x, c, resp.Status)
		return notRun
	}
	if resp.Status/100 == 5 {
		g.opts.View.RecordOutcome(c.Target.ID, false)
		if x.headWritten || (x.route.Kind == fleet.Idempotent && x.sends+1 < x.route.Attempts) {
			x.log["reason"] = "target failed"
			return mayHaveRun
		}
	}
	if x.headWritten && resp.Status != http.StatusOK {
		return mayHaveRun
	}
	if !g.isOwnSuccess(x, resp) {
		g.opts.View.RecordOutcome(c.Target.ID, false)
		return mayHaveRun
	}
	return g.relay(x, c, resp, silence, s.at)
}

// endWatch ends the watch of a send and keeps the hedge, if the request needs it.
func (g *Gateway) endWatch(x *exchange, w *silenceWatch, outcome result) {
	h, silent := w.end()
	x.sends += w.takeHedges()
	x.silent += silent
	if x.silent > 0 {
		x.log["silent_ms"] = x.silent.Milliseconds()
	}
	if h == nil {
		return
	}
	if outcome != notRun && outcome != mayHaveRun {
		g.release(x, h)
		return
	}
	x.hedge, x.log["moved"] = h, true
}

// isOwnSuccess reports whether a response, if it says that the request succeeded, comes from a target that ran this request.
func (g *Gateway) isOwnSuccess(x *exchange, resp *target.ForwardResponse) bool {
	response := g.opts.Codec.ReadResponse(resp.Status, resp.Header)
	if resp.Status/100 == 2 && (response.Stamp == "" || response.ID != x.call.ID) {
		x.log["reason"] = "answer is not the target's own"
		return false
	}
	return true
}

// recordNotices records what a target states about itself in a response: in a success when it is passed on, as it may turn out to be broken
// before.
func (g *Gateway) recordNotices(x *exchange, c coordinator.Choice, resp *target.ForwardResponse) {
	n := g.opts.Codec.ReadResponse(resp.Status, resp.Header).Notices
	if n.Limit > 0 {
		x.log["target_limit"] = n.Limit
	}
	if n.Leaving {
		x.log["target_leaving"] = c.Target.ID
	}
	if n.Cold > 0 {
		x.log["target_cold_ms"] = n.Cold.Milliseconds()
	}
	if n.Quiet > 0 {
		x.log["target_quiet_ms"] = n.Quiet.Milliseconds()
	}
	switch {
	case resp.Status != http.StatusMisdirectedRequest:
		g.opts.View.RecordNotices(c.Target.ID, n)
	case n.Leaving: // even if another target has this address by now, the one that was chosen is not to be sent to
		g.opts.View.RecordLeaving(c.Target)
	}
}

// checkInvariants checks the invariants that hold whenever a request is sent.
func (g *Gateway) checkInvariants(x *exchange, c coordinator.Choice) {
	invariant.Check(x.sends == 0 || x.route.Retryable(), invariant.AtMostOnce, "request %s is sent again after it may have run", x.call.ID)
	invariant.Check(!c.Target.Draining, invariant.LeavingUnused, "request %s is sent to %s, which is draining", x.call.ID, c.Target.ID)
	invariant.Check(homes.Allows(x.homes.Regions, g.opts.View.Region(c.Target.Zone)), invariant.InHomes, "request %s is sent to %s, which is outside its homes", x.call.ID, c.Target.ID)
	invariant.Check(x.team != nil || x.route.Public || !x.config.HasTeams(), invariant.TeamOfKey, "request %s is sent without a team", x.call.ID)
}

func (g *Gateway) responseID(status int, h http.Header) string {
	return g.opts.Codec.ReadResponse(status, h).ID
}

func (g *Gateway) newForwardRequest(x *exchange, c coordinator.Choice) target.ForwardRequest {
	team := ""
	if x.team != nil {
		team = x.team.Name
	}
	return target.ForwardRequest{
		ID: x.call.ID, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		Header: g.opts.Codec.AttemptHeader(fleet.Attempt{
			Header: x.r.Header, TargetID: c.Target.ID, Team: team, Deadline: x.deadline - g.opts.Now(),
			Priority: g.priority(x), LastEventID: x.events.lastID,
		}),
	}
}

// Times after which another place is looked for, if another target may run the request.
const (
	silenceObjectives      = 3                       // times the route's objective, until the first event or the complete response
	silenceMin             = 1800 * time.Millisecond // leaves time for another target if the caller waits 3.2 s
	silenceGaps            = 3                       // times the route's gap objective, between events
	silenceRecentLatencies = 4                       // times the target's recent latency, so that a slow target doesn't count as silent
	silenceCutOff          = 500 * time.Millisecond  // of a host that has lost its way to all targets, on whose open connections responses may still come
)

// silenceTimeout returns how long a target may take for the next event of a stream
// or for any other complete response before another place is looked for. A request that can't
// be sent again waits until its deadline. prefill is the time that the target is expected to need for the prompt before.
func (g *Gateway) silenceTimeout(x *exchange, id string, prefill time.Duration) time.Duration {
	left := x.deadline - g.opts.Now()
	if !x.route.Retryable() || x.sends+1 >= x.route.Attempts {
		return left
	}
	if _, cutOff := g.opts.Reach.CutOff(); cutOff && x.relayedBy == "" {
		return min(left, silenceCutOff)
	}
	if x.headWritten {
		return min(left, prefill+max(silenceMin, silenceGaps*x.route.GapObjective))
	}
	return min(left, prefill+max(silenceMin, silenceObjectives*x.route.Objective, silenceRecentLatencies*g.opts.View.FirstEventTime(id)))
}

// sendFailed classifies a send without a complete response.
func (g *Gateway) sendFailed(x *exchange, c coordinator.Choice, err error) result {
	fields := logrus.Fields{"event": "send_failed", "id": x.call.ID, "target": c.Target.ID, "tries": x.tries, "sent_ms": (g.opts.Now() - x.sentAt).Milliseconds()}
	g.opts.Log.WithFields(fields).Warn(err.Error())
	if x.r.Context().Err() != nil {
		return callerLeft
	}
	g.recordFailure(c, err)
	x.log["reason"] = err.Error()
	if isUnreachable(err) {
		g.opts.View.RecordUnreachable(c.Target.ID)
		x.tries-- // nothing reached the target, so the next send is no retry
		x.connectFailures++
		return notRun
	}
	g.reportEngineFailure(x, c, err)
	return mayHaveRun
}

// shortenSilence returns what to do when this host loses its way to all targets. It is called by another goroutine, perhaps even after
// the send, so it uses nothing of the request that may change meanwhile.
func (g *Gateway) shortenSilence(x *exchange, silence *silenceWatch) func() {
	deadline := x.deadline
	if !x.route.Retryable() || x.sends+1 >= x.route.Attempts || x.relayedBy != "" {
		return func() {}
	}
	return func() { silence.shorten(min(deadline-g.opts.Now(), silenceCutOff)) }
}
