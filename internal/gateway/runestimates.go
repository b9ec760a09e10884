package gateway

import (
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// expected returns how long a request may take at a target. prefill is how long its prompt is expected to take there. If usual is set, streams are
// expected to use no more of their maximum than recent ones of their model.
func (t *runTimes) expected(x *exchange, now, prefill time.Duration, usual bool) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rotate(now)
	own, ok := t.of(runTimeKeyOf(x), now)
	switch {
	case x.route.Kind != fleet.Streaming, x.call.Model == "":
		expected := scaled(own.perUnit, float64(runUnits(x)))
		sizeUnknown := x.route.Kind == fleet.Streaming && !x.call.HasTokens // a short one before tells nothing
		if sizeUnknown || own.samples < minRunTimeSamples {
			expected = max(expected, unknownTime(x))
		}
		return withMargin(expected)
	case !x.call.HasTokens: // the size is not known
		return withMargin(max(own.perUnit, unknownStream))
	}
	if run, complete := t.runOf(x, own, prefill, usual); ok && complete {
		if own.samples < minRunTimeSamples {
			run = scaled(run, fewSamplesFactor)
		}
		return withMargin(run)
	}
	if slowest, models := t.slowestOf(x.route.Name, now); models >= minKnownModels {
		if run, complete := t.runOf(x, slowest, prefill, false); complete {
			return withMargin(scaled(run, fewSamplesFactor))
		}
	}
	first, _ := own.prompts.longest(x.call.TokensIn) // 0 if none was seen
	return t.longestInTime(x, now, max(first, prefill))
}

// runOf returns how long a stream may take at a target, by what was seen of its route and model; complete is false if a part of it was not
// seen. The caller must hold t.mu.
func (t *runTimes) runOf(x *exchange, seen runTime, prefill time.Duration, usual bool) (run time.Duration, complete bool) {
	if !isSized(x) {
		return scaled(seen.perUnit, float64(runUnits(x))), true
	}
	first, firstSeen := seen.prompts.longest(x.call.TokensIn)
	each, paceSeen := seen.pace.slowest()
	first, rest := max(first, prefill), scaled(each, t.events(x.service, runUnits(x)))
	if usual && paceSeen {
		rest = min(rest, max(0, scaled(seen.perUnit, float64(runUnits(x)))-first))
	}
	x.log["expected_first_ms"], x.log["expected_events_ms"] = first.Milliseconds(), rest.Milliseconds()
	return first + rest, firstSeen && paceSeen
}

// unknownTime returns the run time of a request without a model if little is known of its route.
func unknownTime(x *exchange) time.Duration {
	switch {
	case x.route.Kind != fleet.Streaming:
		return unknownRunTime
	case x.call.HasTokens:
		return scaled(unknownToken, float64(runUnits(x)))
	}
	return unknownStream
}

// longestInTime returns the longest time in which a generation by a model of unknown pace may end and still be in time: each
// event may take the route's gap objective. first is how long the first event is known to take at least. The caller must hold t.mu.
func (t *runTimes) longestInTime(x *exchange, now, first time.Duration) time.Duration {
	left := max(0, x.deadline-now)
	if x.route.GapObjective <= 0 {
		return left
	}
	rest := scaled(x.route.GapObjective, t.events(x.service, runUnits(x)))
	return min(left, withMargin(max(x.route.Objective, first)+rest))
}

// withMargin adds to a run time what a request may take longer.
func withMargin(d time.Duration) time.Duration {
	return scaled(d, runTimeFactor) + runTimeMargin
}
