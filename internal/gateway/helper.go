package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// Reach tells whether this host reaches its targets. targetreach.Monitor implements it.
type Reach interface {
	// CutOff reports whether this host has lost its way to all targets, and since when.
	CutOff() (since time.Duration, cutOff bool)
	// Direct reports whether the next request should be sent to targets by this host itself. It returns true for a
	// growing part of the requests after a cut.
	Direct() bool
	// OnCutOff calls f when this host loses its way to all targets, until stop is called.
	OnCutOff(f func()) (stop func())
	// Confirm reports whether a failure at a target, seen at a time, says something about the target. It may wait.
	Confirm(ctx context.Context, failedAt time.Duration) bool
}

// alwaysReached is the Reach of a host that has no other way.
type alwaysReached struct{}

func (alwaysReached) CutOff() (time.Duration, bool)               { return 0, false }
func (alwaysReached) Direct() bool                                { return true }
func (alwaysReached) OnCutOff(func()) func()                      { return func() {} }
func (alwaysReached) Confirm(context.Context, time.Duration) bool { return true }

// Helpers are the hosts through which requests can be sent to targets.
type Helpers interface {
	// Choose returns a host that is not among those tried, reaches targets and is in one of the regions; nil: in any.
	Choose(tried map[string]bool, regions []string) (fleet.Host, bool)
	// Forward sends a request to a host's relay address. It fails like Sender.Forward.
	Forward(ctx context.Context, address string, f target.ForwardRequest, idOf target.ResponseIDFunc) (*target.ForwardResponse, error)
}

// Headers of requests between hosts.
const (
	headerRelayedBy = "Seam-Relayed-By"     // name of the host that the caller is connected to
	headerDeclined  = "Seam-Relay-Declined" // the host cannot send the request either; another one may
)

// promisesNotRun are the statuses that promise callers that a request has not run and won't run.
var promisesNotRun = map[int]bool{
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true, http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
}

// maxHelpers is the number of hosts through which a request is tried at most.
const maxHelpers = 3

// RelayHandler returns the handler for requests that other hosts pass on, since they have lost their way to all targets.
// They are served like those of this host's own callers, but never passed on again.
func (g *Gateway) RelayHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := r.Header.Get(headerRelayedBy)
		r.Header.Del(headerRelayedBy)
		if _, cutOff := g.opts.Reach.CutOff(); cutOff || g.stop.Load() != nil || from == "" {
			g.decline(w, r, from)
			return
		}
		g.serve(w, r, from)
	})
}

// decline has another host look for another place for a request that it passed on.
func (g *Gateway) decline(w http.ResponseWriter, r *http.Request, from string) {
	call, _ := g.opts.Codec.ReadCall(r) // for the log line; whether it is valid makes no difference
	g.opts.Log.WithFields(logrus.Fields{"event": "relay_declined", "id": call.ID, "relayed_by": from}).Info("this host stops or reaches no targets")
	w.Header().Set(headerDeclined, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// goesThroughHelper reports whether a request should be sent through another host now.
func (g *Gateway) goesThroughHelper(x *exchange) bool {
	if x.relayedBy != "" || x.sends > 0 && !x.route.Retryable() {
		return false
	}
	if _, cutOff := g.opts.Reach.CutOff(); !cutOff && (x.waitsDirectly || g.opts.Reach.Direct()) {
		x.waitsDirectly = true // decided once, unless the way is lost later
		return false
	}
	_, ok := g.opts.Helpers.Choose(x.helpersTried, x.homes.Regions)
	return ok
}

// passOn sends a request to targets through other hosts, and reports whether it was responded to or given up. Otherwise no
// other host took it and it has not run; this host may try itself.
func (g *Gateway) passOn(ctx context.Context, x *exchange) bool {
	taken := x.taken
	if taken > 0 { // the other host counts it
		g.opts.Quotas.Refund(x.team, taken)
		x.taken = 0
	}
	for range maxHelpers {
		helper, ok := g.nextHelper(x)
		if !ok || ctx.Err() != nil {
			break
		}
		charge, ok := g.chargeRetry(x)
		if !ok {
			g.giveUp(x)
			return true
		}
		x.tryHelper(helper.Name)
		g.recordHelperRegion(x, helper)
		switch g.sendThrough(ctx, x, helper) {
		case relayed:
			return true
		case callerLeft:
			x.log["reason"] = "caller left"
			g.giveUp(x)
			return true
		case mayHaveRun:
			x.sends++
			if !x.route.Retryable() || x.sends >= x.route.Attempts {
				g.giveUp(x)
				return true
			}
		case notRun:
			if x.sends == 0 { // otherwise the other host may have tried
				g.opts.Budget.Refund(x.service, charge)
			}
		}
	}
	if x.sends > 0 || ctx.Err() != nil {
		g.giveUp(x)
		return true
	}
	return taken > 0 && !g.takeQuota(x)
}

func (x *exchange) tryHelper(name string) {
	if x.helpersTried == nil {
		x.helpersTried = map[string]bool{}
	}
	x.helpersTried[name] = true
	x.log["through"] = name
}

// sendThrough sends a request through one host and relays its response.
func (g *Gateway) sendThrough(ctx context.Context, x *exchange, helper fleet.Host) (outcome result) {
	x.showProgress()
	s, _ := x.takeSending()
	begun := s != nil // a hedge
	if !begun {
		g.releaseHedge(x)
		s = g.newRelaySending(ctx, x, helper)
	}
	defer s.cancel(nil)
	silence := g.watchSilence(ctx, s.cancel, x, g.relaySilence(x, g.prefillTime(x)), g.searchHelper(ctx, helper.Name))
	defer func() { g.endWatch(x, silence, outcome) }() // also if the response is aborted
	if !begun {
		s.forward(g)
	}
	<-s.done
	if s.err != nil {
		return g.relayFailed(x, helper, s.err)
	}
	resp := s.resp
	defer resp.Body.Close()
	if resp.Header.Get(headerDeclined) != "" {
		return notRun
	}
	if x.sends > 0 && promisesNotRun[resp.Status] {
		return notRun // this host may have had it run before
	}
	if x.headWritten && resp.Status != http.StatusOK {
		return mayHaveRun
	}
	if !g.isOwnSuccess(x, resp) {
		return mayHaveRun
	}
	if x.route.Kind == fleet.Streaming && resp.Status == http.StatusOK {
		return g.passStream(x, helper, resp, silence)
	}
	return g.passWhole(x, helper, resp, silence)
}

// newRelayRequest returns the request to another host that is to pass it on.
func (g *Gateway) newRelayRequest(x *exchange) target.ForwardRequest {
	relay := fleet.Relay{Header: x.r.Header, Deadline: x.deadline - g.opts.Now(), LastEventID: x.events.lastID}
	if x.headWritten && x.call.Resumes == "" {
		relay.Resumes = x.call.ID
	}
	header := g.opts.Codec.RelayHeader(relay)
	header.Set(headerRelayedBy, g.opts.Self)
	return target.ForwardRequest{ID: x.call.ID, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header, Body: x.body, ToHost: true}
}

// relaySilenceMargin is the time in which another host moves a request from a silent target.
const relaySilenceMargin = 500 * time.Millisecond

// relaySilence returns how long another host may take for the next event of a stream, or for any other complete response, before a
// further host is looked for. That host looks for another target first. prefill is as for silenceTimeout.
func (g *Gateway) relaySilence(x *exchange, prefill time.Duration) time.Duration {
	left := x.deadline - g.opts.Now()
	switch {
	case !x.route.Retryable() || x.sends+1 >= x.route.Attempts:
		return left
	case x.headWritten:
		return min(left, prefill+max(silenceMin, silenceGaps*x.route.GapObjective)+relaySilenceMargin)
	}
	return min(left, prefill+max(silenceMin, silenceObjectives*x.route.Objective)+relaySilenceMargin)
}

// relayFailed classifies a send to another host without a complete response.
func (g *Gateway) relayFailed(x *exchange, helper fleet.Host, err error) result {
	g.opts.Log.WithFields(logrus.Fields{"event": "relay_failed", "id": x.call.ID, "peer": helper.Name}).Warn(err.Error())
	if x.r.Context().Err() != nil {
		return callerLeft
	}
	x.log["reason"] = err.Error()
	if isUnreachable(err) {
		return notRun
	}
	return mayHaveRun
}

// passWhole passes on a response once it has come whole.
func (g *Gateway) passWhole(x *exchange, helper fleet.Host, resp *target.ForwardResponse, silence *silenceWatch) result {
	if !g.buffers(resp) {
		if err := silence.pause(); err != nil {
			return g.relayFailed(x, helper, err)
		}
		return g.passLarge(x, resp)
	}
	held := g.holdResponse(x, helper.Name, silence)
	defer held.End()
	body, err := readBuffered(resp.Body, held)
	if err != nil {
		return g.relayFailed(x, helper, err)
	}
	g.copyHeader(x, resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.status = resp.Status
	x.w.WriteHeader(resp.Status)
	if _, err := x.w.Write(body); err != nil {
		x.log["reason"] = "caller left during the answer"
	}
	return relayed
}

// passLarge passes on a response as it arrives.
func (g *Gateway) passLarge(x *exchange, resp *target.ForwardResponse) result {
	g.copyHeader(x, resp)
	x.headWritten, x.status = true, resp.Status
	x.showProgress()
	x.w.WriteHeader(resp.Status)
	if _, err := io.Copy(x.w, resp.Body); err != nil {
		x.sends++
		x.log["reason"] = err.Error()
		g.fail(x, resp.Status)
	}
	return relayed
}

// passStream passes on the events of a stream as they arrive. Only whole events are passed on, so that the stream can be
// resumed elsewhere if the other host is lost.
func (g *Gateway) passStream(x *exchange, helper fleet.Host, resp *target.ForwardResponse, silence *silenceWatch) result {
	flusher := http.NewResponseController(x.w)
	x.events.reset()
	held := g.holdResponse(x, helper.Name, silence)
	defer dropEvents(x, held)
	buf := make([]byte, copyBufferBytes)
	began := false
	for {
		before := x.events.position
		events, err := x.events.readFrom(resp.Body, buf)
		err = holdEvents(x, held, events, err)
		if len(events) > 0 {
			began = true
			progress := hasField(events)
			if progress { // the caller may be slow
				if moved := silence.pause(); moved != nil {
					x.events.position = before
					return g.relayFailed(x, helper, moved)
				}
			}
			if !g.writeEvents(x, flusher, events, resp) {
				return callerLeft
			}
			if progress {
				x.sends += silence.takeHedges()
				silence.restart(x, g.relaySilence(x, 0))
			}
		}
		if err == nil {
			continue
		}
		logStreamEnd(x, resp)
		if err == io.EOF {
			err = checkStreamEnd(x, resp, !began)
		}
		if err != nil {
			return g.relayFailed(x, helper, err)
		}
		if !g.writeEvents(x, flusher, x.events.remainder(), resp) {
			return callerLeft
		}
		x.endResponse()
		return relayed
	}
}
