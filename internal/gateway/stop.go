package gateway

import (
	"net/http"
	"sync"
	"time"
)

// plannedStop is the planned stop of a host.
type plannedStop struct {
	begin, end time.Duration        // on the clock of Options.Now; no request may run after end
	silence    time.Duration        // left for the silence of a target
	retryAfter func() time.Duration // Retry-After of requests that are refused because of the stop
	arrivals   arrivals
}

// Time that is left for the silence of a target.
const (
	maxSilence   = 1500 * time.Millisecond // a sound target may fall silent for a second or so at any time
	silenceShare = 4                       // part of the time for which the host still serves, so that it serves in a short grace period too
)

// Times of the beginning of a stop, in which callers still have this host's address and the next host that they try may be stopping too. Streams of models
// that are known are accepted by what is usual: nearly none takes longer.
const (
	stopBeginTime = 3 * time.Second
	stopBeginLeft = 4 * time.Second // must remain
)

// begins reports whether the stop has only begun.
func (s *plannedStop) begins(now time.Duration) bool {
	return now <= s.begin+stopBeginTime && s.end-now >= stopBeginLeft
}

// Stop starts a planned stop: responses ask callers to close their connections, and
// requests that would not end within serveFor are refused with the given Retry-After.
func (g *Gateway) Stop(serveFor time.Duration, retryAfter func() time.Duration) {
	now := g.opts.Now()
	g.stop.Store(&plannedStop{begin: now, end: now + serveFor, silence: min(maxSilence, serveFor/silenceShare), retryAfter: retryAfter})
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

// RefusesMost reports whether at least half of the requests of the last second were refused because of the planned stop. It must be called
// after Stop.
func (g *Gateway) RefusesMost() bool { return g.stop.Load().arrivals.mostRefused(g.opts.Now()) }

const reasonStopping = "host is stopping"

// refuseForStop refuses a request because of the planned stop. It returns false.
func (g *Gateway) refuseForStop(x *exchange) bool {
	g.stop.Load().arrivals.add(g.opts.Now(), true)
	return g.refuse(x, http.StatusServiceUnavailable, reasonStopping, g.stop.Load().retryAfter())
}

// countForStop counts a request that has ended during a planned stop and was not refused.
func (g *Gateway) countForStop(x *exchange) {
	if stop := g.stop.Load(); stop != nil && !x.refused {
		stop.arrivals.add(g.opts.Now(), false)
	}
}

// outlastsStop reports whether a request that is sent now may still run when the host
// stops.
func (g *Gateway) outlastsStop(x *exchange) bool {
	stop := g.stop.Load()
	if stop == nil || x.deadline <= stop.end {
		return false
	}
	now := g.opts.Now()
	expected := g.expectedRun(x, now) + stop.silence
	x.log["expected_ms"] = expected.Milliseconds()
	return now+expected > stop.end
}

// lastSendBeforeStop returns the latest time at which a request may be sent so that it ends
// before the host stops. It returns until if that is earlier. A request that a target may have run is sent again as long as the host runs: it
// has been accepted, and can only gain by that.
func (g *Gateway) lastSendBeforeStop(x *exchange, until time.Duration) time.Duration {
	stop := g.stop.Load()
	switch {
	case stop == nil || x.deadline <= stop.end:
		return until
	case x.sends > 0:
		return min(until, stop.end)
	}
	return min(until, stop.end-stop.silence-g.expectedRun(x, g.opts.Now()))
}

// hedgeOutlastsStop reports whether a hedge that is sent now may still run when the host stops. The silent target may respond before that.
func (g *Gateway) hedgeOutlastsStop(x *exchange) bool {
	stop := g.stop.Load()
	if stop == nil || x.deadline <= stop.end {
		return false
	}
	now := g.opts.Now()
	return now+g.expectedRun(x, now) > stop.end
}

// expectedRun returns how long a request may take at a target. It must be called after Stop.
func (g *Gateway) expectedRun(x *exchange, now time.Duration) time.Duration {
	return g.runTimes.expected(x, now, g.prefillTime(x), g.stop.Load().begins(now))
}

// prefillTime returns how long a target is expected to take for the prompt of a request; 0 if its size is not stated.
func (g *Gateway) prefillTime(x *exchange) time.Duration {
	if !isSized(x) {
		return 0
	}
	return g.opts.View.PrefillTime(x.service, promptOf(x))
}

// arrivals tells which of the latest requests were refused because of the planned stop. It is safe for concurrent use.
type arrivals struct {
	mu     sync.Mutex
	latest [countedArrivals]arrival
	next   int
}

type arrival struct {
	at      time.Duration // 0: none
	refused bool
}

// Arrivals by which a host judges whether its callers are better served by its next process.
const (
	countedArrivals = 64
	arrivalWindow   = time.Second
)

func (a *arrivals) add(now time.Duration, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.latest[a.next] = arrival{now, refused}
	a.next = (a.next + 1) % countedArrivals
}

func (a *arrivals) mostRefused(now time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	refused, others := 0, 0
	for _, x := range a.latest {
		switch {
		case x.at == 0 || now-x.at > arrivalWindow:
		case x.refused:
			refused++
		default:
			others++
		}
	}
	return refused > 0 && refused >= others
}
