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

// runTimes knows how long requests take at targets, by route and model. A stream that states its size takes the time of its prompt until the
// first event, and then that of its events. The time of others is taken to be proportional to the output tokens that they state, if they do.
type runTimes struct {
	mu          sync.Mutex
	windowStart time.Duration
	current     map[runTimeKey]runTime
	previous    map[runTimeKey]runTime
	running     map[*exchange]*startedRun
	// unitsPerEvent is the smallest number of units in an event of a stream since the start, by service.
	unitsPerEvent map[string]float64
}

type runTimeKey struct{ route, model string }

// runTime holds the longest recent times of a route and model.
type runTime struct {
	perUnit time.Duration // by runUnits
	prompts promptTimes   // of streams that state their size
	pace    eventPace     // of the same
	samples int
}

func (t runTime) join(o runTime) runTime {
	return runTime{max(t.perUnit, o.perUnit), t.prompts.join(o.prompts), t.pace.join(o.pace), t.samples + o.samples}
}

// startedRun is a request at a target.
type startedRun struct {
	key          runTimeKey
	at           time.Duration
	units        time.Duration
	sized        bool
	prompt       int           // tokens that the target has to prefill at least
	firstAt      time.Duration // when its first event came; 0: none has come
	eventsBefore int           // of the stream, from other targets
	events       int
}

func runTimeKeyOf(x *exchange) runTimeKey { return runTimeKey{x.route.Name, x.call.Model} }

// runUnits returns the size of a request that its run time is proportional to.
func runUnits(x *exchange) time.Duration {
	if x.route.Kind == fleet.Streaming && x.call.HasTokens {
		return time.Duration(max(1, x.call.TokensOut))
	}
	return 1
}

// isSized reports whether a request is a stream that states the tokens of its prompt and its longest response.
func isSized(x *exchange) bool {
	return x.route.Kind == fleet.Streaming && x.call.Model != "" && x.call.HasTokens && x.call.TokensIn > 0
}

// begin records that a request is sent to a target at now.
func (t *runTimes) begin(x *exchange, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = map[*exchange]*startedRun{}
	}
	t.running[x] = &startedRun{key: runTimeKeyOf(x), at: now, units: runUnits(x), sized: isSized(x), prompt: leastPrefill(x), eventsBefore: x.events.count}
}

// leastPrefill returns the number of tokens of a prompt that a target has to prefill at least: it may have kept the shared parts.
func leastPrefill(x *exchange) int {
	if x.memory.prefill > 0 {
		return x.memory.prefill
	}
	return max(1, x.call.TokensIn-x.call.SharedTokens)
}

// progress records that events of a stream have come from its target.
func (t *runTimes) progress(x *exchange, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run := t.running[x]
	if run == nil {
		return
	}
	run.events = x.events.count - run.eventsBefore
	if run.firstAt == 0 {
		run.firstAt, run.prompt = now, leastPrefill(x) // by now it is known which target has it
	}
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
	seen := run.seen(now, silent)
	seen.samples = 1
	t.current[run.key] = t.current[run.key].join(seen)
	t.countEvents(x, run.units)
}

// seen returns what a run shows that has ended after a silence of its target.
func (r *startedRun) seen(now, silent time.Duration) runTime {
	out := runTime{perUnit: (now - r.at - silent) / r.units}
	if !r.sized {
		return out
	}
	if r.firstAt == 0 {
		out.prompts.add(r.prompt, now-r.at)
		return out
	}
	first := r.firstAt - r.at
	out.prompts.add(r.prompt, first)
	if first >= silenceMin { // it may have been before the first event
		silent = max(0, silent-first)
	}
	out.pace.add(r.events-1, max(0, now-r.firstAt-silent))
	return out
}

// soFar returns what a run that goes on shows until now.
func (r *startedRun) soFar(now time.Duration) runTime {
	took := now - r.at
	out := runTime{perUnit: took / r.units}
	switch {
	case !r.sized:
	case r.firstAt == 0:
		out.prompts.raise(r.prompt, took)
	default:
		out.prompts.raise(r.prompt, r.firstAt-r.at)
		out.pace.add(r.events, now-r.firstAt) // the next event has not come yet
	}
	return out
}

// countEvents updates unitsPerEvent after a whole stream. Small maxima tell little, as the last event may be small. The caller must hold t.mu.
func (t *runTimes) countEvents(x *exchange, units time.Duration) {
	if x.events.count == 0 || units < steadyGaps*maxUnitsPerEvent || !x.call.HasTokens || x.call.LastEventID != "" {
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

// of returns what is known of a route and model. Requests in progress take at least as long as they have. The caller must hold t.mu.
func (t *runTimes) of(key runTimeKey, now time.Duration) (known runTime, ok bool) {
	for _, window := range []map[runTimeKey]runTime{t.current, t.previous} {
		if seen, in := window[key]; in {
			known, ok = known.join(seen), true
		}
	}
	if !ok { // requests in progress alone would make an unknown model look quick
		return known, false
	}
	for _, run := range t.running {
		if run.key == key {
			known = known.join(run.soFar(now))
		}
	}
	return known, true
}

// slowestOf returns the longest times of the models of a route, and the number of models. The caller must hold t.mu.
func (t *runTimes) slowestOf(route string, now time.Duration) (slowest runTime, models int) {
	counted := map[string]bool{}
	for _, window := range []map[runTimeKey]runTime{t.current, t.previous} {
		for key := range window {
			if key.route == route && !counted[key.model] {
				counted[key.model] = true
				known, _ := t.of(key, now)
				slowest = slowest.join(known)
			}
		}
	}
	return slowest, len(counted)
}
