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
	tokens  int // of the largest prompt whose first event came; 0: none did
}

func promptClass(tokens int) int {
	class := int(2 * math.Log2(float64(max(tokens, smallestPrompt))/smallestPrompt))
	return min(class, promptClasses-1)
}

// add records a prompt whose first event came after a time.
func (p *promptTimes) add(tokens int, took time.Duration) {
	c := &p[promptClass(tokens)]
	c.longest, c.tokens = max(c.longest, took), max(c.tokens, tokens)
}

// raise records a prompt whose first event has not come after a time. It tells nothing of larger ones.
func (p *promptTimes) raise(tokens int, took time.Duration) {
	c := &p[promptClass(tokens)]
	c.longest = max(c.longest, took)
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
		t = max(t, c.longest)
		if c.tokens > 0 {
			nearest = c
		}
	}
	if nearest.tokens > 0 {
		return max(t, scaled(nearest.longest, max(1, square(tokens, nearest.tokens)))), true
	}
	for _, c := range p {
		if c.tokens > 0 { // the smallest prompts that were seen are larger
			return max(t, min(c.longest, max(unknownRunTime, scaled(c.longest, float64(tokens)/float64(c.tokens))))), true
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
	// steadyGaps is the number of times between events from which on a single pause says little of the pace of a stream.
	steadyGaps = 8
	// minSteadyStreams is the number of such streams from which on a pause in a shorter one counts as if it were as long.
	minSteadyStreams = 5
)

// eventPace is the slowest recent mean time from event to event of streams.
type eventPace struct {
	steady  time.Duration // streams with fewer gaps count as if they had steadyGaps
	any     time.Duration
	streams int // with steadyGaps or more
	gaps    int // of all
}

// add records a stream with a number of gaps between events, in a time.
func (p *eventPace) add(gaps int, took time.Duration) {
	if gaps < 1 {
		return
	}
	p.any, p.steady = max(p.any, took/time.Duration(gaps)), max(p.steady, took/time.Duration(max(gaps, steadyGaps)))
	p.gaps += gaps
	if gaps >= steadyGaps {
		p.streams++
	}
}

func (p eventPace) join(o eventPace) eventPace {
	return eventPace{max(p.steady, o.steady), max(p.any, o.any), p.streams + o.streams, p.gaps + o.gaps}
}

// slowest returns the slowest pace that a further stream is expected to have; ok is false if too little was seen.
func (p eventPace) slowest() (each time.Duration, ok bool) {
	if p.streams >= minSteadyStreams {
		return p.steady, true
	}
	return p.any, p.gaps >= steadyGaps // fewer may have come at once
}

// maxUnitsPerEvent is the number of output tokens in an event of the streams with the smallest events that are known. Streams that end before their
// maximum make events look larger than they are.
const maxUnitsPerEvent = 4

// events returns how many events a response with a number of units may have.
func (t *runTimes) events(service string, units time.Duration) float64 {
	return math.Ceil(float64(units) / max(1, min(maxUnitsPerEvent, t.unitsPerEvent[service])))
}
