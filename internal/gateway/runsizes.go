package gateway

import (
	"math"
	"time"
)

// Classes of prompts by their size. Each is wider than the one before by the square root of two.
const (
	smallestPrompt = 32 // tokens, of the first class
	promptClasses  = 26 // the last one begins at 185,000 tokens
)

// promptTimes holds the longest recent times from the send to the first event, by size of the prompt.
type promptTimes [promptClasses]promptTime

// promptTime is the longest time of a class.
type promptTime struct {
	longest time.Duration
	tokens  int // of the largest prompt; 0: none was seen
}

func promptClass(tokens int) int {
	class := int(2 * math.Log2(float64(max(tokens, smallestPrompt))/smallestPrompt))
	return min(class, promptClasses-1)
}

func (p *promptTimes) add(tokens int, took time.Duration) {
	c := &p[promptClass(tokens)]
	c.longest, c.tokens = max(c.longest, took), max(c.tokens, tokens)
}

func (p promptTimes) join(o promptTimes) promptTimes {
	for i := range p {
		p[i].longest, p[i].tokens = max(p[i].longest, o[i].longest), max(p[i].tokens, o[i].tokens)
	}
	return p
}

// longest returns how long a prompt may take until its first event; ok is false if none was seen. Smaller prompts tell how long it may wait at
// the target. Its prefill grows at most with the square of its size.
func (p *promptTimes) longest(tokens int) (t time.Duration, ok bool) {
	var nearest promptTime
	for _, c := range p[:promptClass(tokens)+1] {
		if c.tokens > 0 {
			nearest, t = c, max(t, c.longest)
		}
	}
	if nearest.tokens > 0 {
		return max(t, scaled(nearest.longest, max(1, square(tokens, nearest.tokens)))), true
	}
	for _, c := range p {
		if c.tokens > 0 { // the smallest prompts that were seen are larger
			return min(c.longest, max(unknownRunTime, scaled(c.longest, float64(tokens)/float64(c.tokens)))), true
		}
	}
	return 0, false
}

func square(a, b int) float64 {
	ratio := float64(a) / float64(b)
	return ratio * ratio
}

// longestEstimate bounds estimates, which may grow with sizes that callers state.
const longestEstimate = time.Hour

func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(float64(longestEstimate), float64(d)*factor))
}

// Numbers of an eventPace.
const (
	// steadyEvents is the number of events from which on a single pause says little of the pace of a stream.
	steadyEvents = 9
	// minSteadyStreams is the number of such streams from which on shorter ones don't count.
	minSteadyStreams = 5
)

// eventPace is the slowest recent mean time from event to event of streams.
type eventPace struct {
	steady  time.Duration // of streams with steadyEvents or more
	any     time.Duration // of all
	streams int           // with steadyEvents or more
	seen    bool          // at least one time between two events
}

// add records a stream that had a number of events in a time from the first event on.
func (p *eventPace) add(events int, took time.Duration) {
	if events < 2 {
		return
	}
	each := took / time.Duration(events-1)
	p.any, p.seen = max(p.any, each), true
	if events >= steadyEvents {
		p.steady, p.streams = max(p.steady, each), p.streams+1
	}
}

func (p eventPace) join(o eventPace) eventPace {
	return eventPace{max(p.steady, o.steady), max(p.any, o.any), p.streams + o.streams, p.seen || o.seen}
}

// slowest returns the slowest pace that a further stream is expected to have; ok is false if none was seen.
func (p eventPace) slowest() (each time.Duration, ok bool) {
	if p.streams >= minSteadyStreams {
		return p.steady, true
	}
	return p.any, p.seen
}

// maxUnitsPerEvent is the number of output tokens in an event of the streams with the smallest events that are known. Streams that end before their
// maximum make events look larger than they are.
const maxUnitsPerEvent = 4

// events returns how many events a response with a number of units may have.
func (t *runTimes) events(service string, units time.Duration) float64 {
	return math.Ceil(float64(units) / max(1, min(maxUnitsPerEvent, t.unitsPerEvent[service])))
}
