package gateway

import (
	"net/http"
	"time"
)

// plannedStop is the planned stop of a host.
type plannedStop struct {
	end        time.Duration        // on the clock of Options.Now; no request may run after it
	silence    time.Duration        // left for the silence of a target
	retryAfter func() time.Duration // Retry-After of requests that are refused because of the stop
}

// Time that is left for the silence of a target.
const (
	maxSilence   = 1500 * time.Millisecond // a sound target may fall silent for a second or so at any time
	silenceShare = 4                       // part of the time for which the host still serves, so that it serves in a short grace period too
)

// Stop starts a planned stop: responses ask callers to close their connections, and
// requests that would not end within serveFor are refused with the given Retry-After.
func (g *Gateway) Stop(serveFor time.Duration, retryAfter func() time.Duration) {
	g.stop.Store(&plannedStop{end: g.opts.Now() + serveFor, silence: min(maxSilence, serveFor/silenceShare), retryAfter: retryAfter})
}

// Close makes the gateway refuse all further requests. Those in progress go on. It must be
// called after Stop.
func (g *Gateway) Close() { g.closed.Store(true) }

// EndRequests ends the requests that are still in progress at the end of a planned stop. Those without a response get one,
// which promises that they have not run only if that is so. Requests that other hosts have passed on are left: these hosts may
// have them run elsewhere once the connection ends. It must be called after Close.
func (g *Gateway) EndRequests() {
	g.logUnfinished(reasonStopOver) // now, as nothing waits for a handler that hangs
	g.end()
}

// LongestRunTime returns how long a request of any route may take at a target, judged by
// recent requests and those in progress. It must be called after Stop.
func (g *Gateway) LongestRunTime() time.Duration {
	return g.runTimes.longest(g.opts.Now()) + g.stop.Load().silence
}

const reasonStopping = "host is stopping"

// refuseForStop refuses a request because of the planned stop. It returns false.
func (g *Gateway) refuseForStop(x *exchange) bool {
	return g.refuse(x, http.StatusServiceUnavailable, reasonStopping, g.stop.Load().retryAfter())
}

// outlastsStop reports whether a request that is sent now may still run when the host
// stops.
func (g *Gateway) outlastsStop(x *exchange) bool {
	stop := g.stop.Load()
	if stop == nil {
		return false
	}
	now := g.opts.Now()
	expected := g.runTimes.expected(x, now) + stop.silence
	x.log["expected_ms"] = expected.Milliseconds()
	return now+min(expected, x.deadline-now) > stop.end
}

// lastSendBeforeStop returns the latest time at which a request may be sent so that it ends
// before the host stops. It returns until if that is earlier.
func (g *Gateway) lastSendBeforeStop(x *exchange, until time.Duration) time.Duration {
	stop := g.stop.Load()
	if stop == nil || x.deadline <= stop.end {
		return until
	}
	return min(until, stop.end-stop.silence-g.runTimes.expected(x, g.opts.Now()))
}
