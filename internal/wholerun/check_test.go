package wholerun

import (
	"fmt"
	"sort"
	"time"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/refusal"
)

// Bounds that the checks apply, from the service's stated targets.
const (
	requestDeadline = 8 * time.Second
	answerGrace     = time.Second      // allowed after the deadline to write the answer
	streamBound     = 40 * time.Second // header by the deadline, then bounded gaps and retries
	maxPropagation  = 3 * time.Second  // until connected hosts apply a withdrawn key or a leaving target
	maxStaleness    = 6 * time.Second  // until hosts that are cut off stop accepting requests
)

// failCall records that a call violates an invariant.
func (w *world) failCall(name invariant.Name, c *call, format string, args ...any) {
	w.fail("%s: call %s (%s, key of %s, host %s, %v to %v, status %d, aborted %v): %s", name, c.tag, c.path, teamName(c.team), c.host.name,
		c.arrived.Sub(w.start), c.finished.Sub(w.start), c.status, c.aborted, fmt.Sprintf(format, args...))
}

// check checks the invariants against the records of the finished run.
func (w *world) check() {
	byTag := map[string][]*call{}
	for _, c := range w.calls {
		byTag[c.tag] = append(byTag[c.tag], c)
		w.checkCall(c)
	}
	for _, calls := range byTag {
		w.checkExecutions(calls)
	}
	w.checkRates()
	w.checkLeavingTargets()
	for _, leak := range w.requests.leaks {
		w.fail("%s: request contains a key: %s", invariant.KeyHidden, leak)
	}
}

func (w *world) checkCall(c *call) {
	if c.aborted {
		return
	}
	bound := requestDeadline + answerGrace
	if c.stream {
		bound = streamBound
	}
	if took := c.finished.Sub(c.arrived); took > bound {
		w.failCall(invariant.AnsweredInTime, c, "took %v", took)
	}
	o := c.outcome()
	if o.problem != "" {
		w.failCall(invariant.AnswerWhole, c, "%s", o.problem)
	}
	if o.complete && c.key == nil && c.path != "/tariffs/today" {
		w.failCall(invariant.TeamOfKey, c, "served without a key")
	}
	if o.execution == refusal.NotRun {
		w.checkNotRun(c, o)
	}
}

// checkNotRun fails if a target received the request during a call that ended with
// not_run, unless another call with the same tag was in progress then.
func (w *world) checkNotRun(c *call, o outcome) {
	for _, s := range w.requests.withTag(c.tag) {
		if s.at.Before(c.arrived) || s.at.After(c.finished.Add(brokenPathTimeout)) || w.otherCallRunning(c, s.at) {
			continue
		}
		w.failCall(invariant.NotRunIsTrue, c, "code %s says not_run, but target %s received it at %v", o.code, s.target, s.at.Sub(w.start))
	}
}

// otherCallRunning reports whether another call with the same tag was in progress at
// a time.
func (w *world) otherCallRunning(c *call, at time.Time) bool {
	for _, other := range w.calls {
		if other != c && other.tag == c.tag && !at.Before(other.arrived) && (other.aborted || !at.After(other.finished.Add(brokenPathTimeout))) {
			return true
		}
	}
	return false
}

// checkExecutions checks the requests that targets received for calls with one tag.
func (w *world) checkExecutions(calls []*call) {
	c := calls[0]
	received := w.requests.withTag(c.tag)
	if c.nonRepeatable() && len(received) > 1 {
		w.failCall(invariant.AtMostOnce, c, "ran %d times: %v", len(received), received)
	}
	for _, s := range received {
		if c.path != "/tariffs/today" && c.key == nil {
			w.failCall(invariant.TeamOfKey, c, "reached target %s without a key", s.target)
		}
		if c.model >= 0 && (!offered(c.team, c.model) || s.model != modelName(c.model)) {
			w.failCall(invariant.TeamOfKey, c, "ran on model %s", s.model)
		}
		if c.key != nil && c.path != "/tariffs/today" {
			w.checkWithdrawn(c, s)
		}
	}
}

func (w *world) checkWithdrawn(c *call, s receivedRequest) {
	if c.key.withdrawn.IsZero() {
		return
	}
	if after := s.at.Sub(c.key.withdrawn); after > w.propagationBound(c.key.withdrawn, s.at) {
		w.failCall(invariant.KeyWithdrawn, c, "ran %v after its key was withdrawn", after)
	}
}

// propagationBound returns the time that hosts have to apply a change made at from,
// for a request received at the time at. They have longer if some may have been cut
// off from the configuration.
func (w *world) propagationBound(from, at time.Time) time.Duration {
	for _, outage := range w.configOutages {
		if outage.from.Before(at) && (outage.until.IsZero() || outage.until.After(from.Add(-maxPropagation))) {
			return maxStaleness
		}
	}
	return maxPropagation
}

func (w *world) checkLeavingTargets() {
	for tag, received := range w.requests.byTag {
		for _, s := range received {
			for _, p := range w.leavingPeriods {
				if p.target != s.target || s.at.Before(p.from) || !p.until.IsZero() && s.at.After(p.until) {
					continue
				}
				if after := s.at.Sub(p.from); after > w.propagationBound(p.from, s.at) {
					w.fail("%s: %s received %s %v after it was marked as leaving", invariant.LeavingUnused, s.target, tag, after)
				}
			}
		}
	}
}

// cost returns the tokens that the team is charged for a complete answer.
func (c *call) cost() int {
	if c.model < 0 {
		return billingCost
	}
	return len(mustEncode(c.prompt))/4 + 1 + c.maxTokens
}

// checkRates checks the tokens of each team over every time window that starts with
// the arrival of a call and ends with the end of one. Calls that arrived and ended
// inside a window reserved all their tokens in it.
func (w *world) checkRates() {
	for team := range teamCount {
		var served []*call
		for _, c := range w.calls {
			if c.team == team && c.path != "/tariffs/today" && !c.aborted && !c.replayed() && c.outcome().complete {
				served = append(served, c)
			}
		}
		sort.Slice(served, func(i, j int) bool { return served[i].arrived.Before(served[j].arrived) })
		w.checkRateWindows(team, served)
	}
}

func (w *world) checkRateWindows(team int, served []*call) {
	for i, first := range served {
		inside := append([]*call(nil), served[i:]...)
		sort.Slice(inside, func(a, b int) bool { return inside[a].finished.Before(inside[b].finished) })
		sum := 0
		for _, c := range inside {
			sum += c.cost()
			window := c.finished.Sub(first.arrived)
			if limit := w.maxBurst[team] + w.maxRate[team]*window.Seconds(); float64(sum) > limit+1 {
				w.fail("%s: %s was served %d tokens in the window from %v of length %v, limit %.0f", invariant.RateWithinLimit, teamName(team), sum, first.arrived.Sub(w.start), window, limit)
				return
			}
		}
	}
}
