package gateway

import (
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// Times of runTimes.
const (
	runTimeWindow  = 20 * time.Second       // longest times are kept for one to two windows
	runTimeMargin  = 100 * time.Millisecond // for the response on its way to the caller
	unknownRunTime = 500 * time.Millisecond // of plain requests, if little is known of their route
	unknownStream  = 3 * time.Second        // of streams that state no size, the same
	unknownToken   = 7 * time.Millisecond   // the same, for each output token of streams without a model
)

// Numbers of recent requests and models that an estimate takes.
const (
	minRunTimeSamples = 20 // of a route and model, below which the longest time says little
	// minKnownModels is the number of models of a route from which on the slowest of them stands for one that is not known. The paces of
	// models differ by a factor of ten.
	minKnownModels = 10
)

// Factors of estimates.
const (
	runTimeFactor    = 1.25 // requests that take longer than any recent one
	fewSamplesFactor = 1.5  // the times of equal generations differ by half
)

// runTimes knows how long requests take at targets. The time of a generation is proportional to its number of output
// tokens, and to the pace of its model: both differ by a factor of ten within a route.
type runTimes struct {
	mu          sync.Mutex
	windowStart time.Duration
	current     map[runTimeKey]runTime
	previous    map[runTimeKey]runTime
	running     map[*exchange]startedRun
	// unitsPerEvent is the smallest number of units in an event of a stream since the start, by service.
	unitsPerEvent map[string]float64
}

type runTimeKey struct{ route, model string }

// runTime holds the longest recent times of a route and model.
type runTime struct {
	total   time.Duration
	perUnit time.Duration // by runUnits
	samples int
}

func (t runTime) join(o runTime) runTime {
	return runTime{max(t.total, o.total), max(t.perUnit, o.perUnit), t.samples + o.samples}
}

// startedRun is a request at a target.
type startedRun struct {
	key   runTimeKey
	at    time.Duration
	units time.Duration
}

func runTimeKeyOf(x *exchange) runTimeKey { return runTimeKey{x.route.Name, x.call.Model} }

// runUnits returns the size of a request that its run time is proportional to.
func runUnits(x *exchange) time.Duration {
	if x.route.Kind == fleet.Streaming && x.call.HasTokens {
		return time.Duration(max(1, x.call.TokensOut))
	}
	return 1
}

// begin records that a request is sent to a target at now.
func (t *runTimes) begin(x *exchange, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[*exchange]startedRun{}
	}
	t.running[x] = startedRun{runTimeKeyOf(x), now, runUnits(x)}
}

// end records that a request is no longer at a target, and its time if it was served. The time for which the target was silent beyond
// what is usual does not count: estimates leave time for that apart.
func (t *runTimes) end(x *exchange, now, silent time.Duration, served bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := t.running[x]
	delete(t.running, x)
	if !served {
		return
	}
	t.rotate(now)
	if t.current == nil {
		t.current = map[runTimeKey]runTime{}
	}
	took := now - run.at - silent
	t.current[run.key] = t.current[run.key].join(runTime{took, took / run.units, 1})
	t.countEvents(x, run.units)
}

// countEvents updates unitsPerEvent after a whole stream. The caller must hold t.mu.
func (t *runTimes) countEvents(x *exchange, units time.Duration) {
	if x.events.count == 0 || !x.call.HasTokens || x.call.LastEventID != "" {
		return
	}
	if t.unitsPerEvent == nil {
		t.unitsPerEvent = map[string]float64{}
	}
	perEvent := float64(units) / float64(x.events.count)
	if least, ok := t.unitsPerEvent[x.service]; !ok || perEvent < least {
		t.unitsPerEvent[x.service] = perEvent
	}
}

// rotate starts a new window if the current one is over. The caller must hold t.mu.
func (t *runTimes) rotate(now time.Duration) {
	switch age := now - t.windowStart; {
	case age >= 2*runTimeWindow:
		t.current, t.previous, t.windowStart = nil, nil, now
	case age >= runTimeWindow:
		t.current, t.previous, t.windowStart = nil, t.current, now
	}
}

// known returns what is known of each route and model. Requests in progress take at least as long as they have. The
// caller must hold t.mu.
func (t *runTimes) known(now time.Duration) map[runTimeKey]runTime {
	t.rotate(now)
	out := make(map[runTimeKey]runTime, len(t.current)+len(t.previous))
	for _, window := range []map[runTimeKey]runTime{t.current, t.previous} {
		for key, r := range window {
			out[key] = out[key].join(r)
		}
	}
	for _, run := range t.running {
		if r, ok := out[run.key]; ok { // alone it would make an unknown model look quick
			took := now - run.at
			out[run.key] = r.join(runTime{total: took, perUnit: took / run.units})
		}
	}
	return out
}

// expected returns how long a request may take at a target, at most until its deadline.
func (t *runTimes) expected(x *exchange, now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.known(now)
	own, ok := known[runTimeKeyOf(x)]
	switch {
	case x.route.Kind != fleet.Streaming, x.call.Model == "":
		expected := own.perUnit * runUnits(x)
		sizeUnknown := x.route.Kind == fleet.Streaming && !x.call.HasTokens // a short one before tells nothing
		if sizeUnknown || own.samples < minRunTimeSamples {
			expected = max(expected, unknownTime(x))
		}
		return withMargin(expected)
	case !x.call.HasTokens: // the size is not known
		return withMargin(max(own.perUnit, unknownStream))
	case ok && own.samples >= minRunTimeSamples:
		return withMargin(own.perUnit * runUnits(x))
	case ok:
		return withMargin(time.Duration(fewSamplesFactor * float64(own.perUnit*runUnits(x))))
	}
	if slowest, models := slowestOf(known, x.route.Name); models >= minKnownModels {
		return withMargin(time.Duration(fewSamplesFactor * float64(slowest*runUnits(x))))
	}
	return t.longestInTime(x, now)
}

// unknownTime returns the run time of a request without a model if little is known of its route.
func unknownTime(x *exchange) time.Duration {
	switch {
	case x.route.Kind != fleet.Streaming:
		return unknownRunTime
	case x.call.HasTokens:
		return unknownToken * runUnits(x)
	}
	return unknownStream
}

// slowestOf returns the slowest pace of the models of a route, and their number.
func slowestOf(known map[runTimeKey]runTime, route string) (perUnit time.Duration, models int) {
	for key, r := range known {
		if key.route == route {
			perUnit, models = max(perUnit, r.perUnit), models+1
		}
	}
	return perUnit, models
}

// longestInTime returns the longest time in which a generation by a model of unknown pace may end and still be in time: each
// event may take the route's gap objective. The caller must hold t.mu.
func (t *runTimes) longestInTime(x *exchange, now time.Duration) time.Duration {
	left := max(0, x.deadline-now)
	if x.route.GapObjective <= 0 {
		return left
	}
	events := float64(runUnits(x)) / max(1, t.unitsPerEvent[x.service])
	return min(left, withMargin(x.route.Objective+time.Duration(events*float64(x.route.GapObjective))))
}

// longest returns the longest time of all routes with recent requests.
func (t *runTimes) longest(now time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var most time.Duration
	for _, r := range t.known(now) {
		most = max(most, r.total)
	}
	return withMargin(most)
}

// withMargin adds to a run time what a request may take longer.
func withMargin(d time.Duration) time.Duration {
	return time.Duration(runTimeFactor*float64(d)) + runTimeMargin
}
