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
	responseGrace   = time.Second      // allowed after the deadline to write the response
	streamBound     = 40 * time.Second // header by the deadline, then bounded gaps and retries
	maxPropagation  = 3 * time.Second  // until connected hosts apply a withdrawn key or a leaving target
	maxStaleness    = 6 * time.Second  // until hosts that are cut off stop accepting requests
)

// failCall records that a call violates an invariant.
func (sim *simulation) failCall(name invariant.Name, c *call, format string, args ...any) {
	sim.fail("%s: call %s (%s, key of %s, host %s, %v to %v, status %d, aborted %v): %s", name, c.tag, c.path, teamName(c.team), c.host.name,
		c.arrived.Sub(sim.start), c.finished.Sub(sim.start), c.status, c.aborted, fmt.Sprintf(format, args...))
}

// check checks the invariants against the records of the finished run.
func (sim *simulation) check() {
	byTag := map[string][]*call{}
	for _, c := range sim.calls {
		byTag[c.tag] = append(byTag[c.tag], c)
		sim.checkCall(c)
	}
	for _, calls := range byTag {
		sim.checkExecutions(calls)
	}
	sim.checkRates()
	sim.checkLeavingTargets()
	for _, leak := range sim.requests.leaks {
		sim.fail("%s: request contains a key: %s", invariant.KeyHidden, leak)
	}
}

func (sim *simulation) checkCall(c *call) {
	if c.aborted {
		return
	}
	bound := requestDeadline + responseGrace
	if c.stream {
		bound = streamBound
	}
	if took := c.finished.Sub(c.arrived); took > bound {
		sim.failCall(invariant.AnsweredInTime, c, "took %v", took)
	}
	o := c.outcome()
	if o.problem != "" {
		sim.failCall(invariant.AnswerWhole, c, "%s", o.problem)
	}
	if o.complete && c.key == nil && c.path != "/tariffs/today" {
		sim.failCall(invariant.TeamOfKey, c, "served without a key")
	}
	if o.execution == refusal.NotRun {
		sim.checkNotRun(c, o)
	}
}

// checkNotRun fails if a target received the request during a call that ended with
// not_run, unless another call with the same tag was in progress then.
func (sim *simulation) checkNotRun(c *call, o outcome) {
	for _, req := range sim.requests.withTag(c.tag) {
		if req.at.Before(c.arrived) || req.at.After(c.finished.Add(brokenPathTimeout)) || sim.otherCallRunning(c, req.at) {
			continue
		}
		sim.failCall(invariant.NotRunIsTrue, c, "code %s says not_run, but target %s received it at %v", o.code, req.target, req.at.Sub(sim.start))
	}
}

// otherCallRunning reports whether another call with the same tag was in progress at
// a time.
func (sim *simulation) otherCallRunning(c *call, at time.Time) bool {
	for _, other := range sim.calls {
		if other != c && other.tag == c.tag && !at.Before(other.arrived) && (other.aborted || !at.After(other.finished.Add(brokenPathTimeout))) {
			return true
		}
	}
	return false
}

// checkExecutions checks the requests that targets received for calls with one tag.
func (sim *simulation) checkExecutions(calls []*call) {
	c := calls[0]
	received := sim.requests.withTag(c.tag)
	if c.nonRepeatable() && len(received) > 1 {
		sim.failCall(invariant.AtMostOnce, c, "ran %d times: %v", len(received), received)
	}
	for _, req := range received {
		if c.path != "/tariffs/today" && c.key == nil {
			sim.failCall(invariant.TeamOfKey, c, "reached target %s without a key", req.target)
		}
		if c.model >= 0 && (!offered(c.team, c.model) || req.model != modelName(c.model)) {
			sim.failCall(invariant.TeamOfKey, c, "ran on model %s", req.model)
		}
		if c.key != nil && c.path != "/tariffs/today" {
			sim.checkWithdrawn(c, req)
		}
	}
}

func (sim *simulation) checkWithdrawn(c *call, req receivedRequest) {
	if c.key.withdrawn.IsZero() {
		return
	}
	if after := req.at.Sub(c.key.withdrawn); after > sim.propagationBound(c.key.withdrawn, req.at) {
		sim.failCall(invariant.KeyWithdrawn, c, "ran %v after its key was withdrawn", after)
	}
}

// propagationBound returns the time that hosts have to apply a change made at from,
// for a request received at the time at. They have longer if some may have been cut
// off from the configuration.
func (sim *simulation) propagationBound(from, at time.Time) time.Duration {
	for _, outage := range sim.configOutages {
		if outage.from.Before(at) && (outage.until.IsZero() || outage.until.After(from.Add(-maxPropagation))) {
			return maxStaleness
		}
	}
	return maxPropagation
}

func (sim *simulation) checkLeavingTargets() {
	for tag, received := range sim.requests.byTag {
		for _, req := range received {
			for _, p := range sim.leavingPeriods {
				if p.target != req.target || req.at.Before(p.from) || !p.until.IsZero() && req.at.After(p.until) {
					continue
				}
				if after := req.at.Sub(p.from); after > sim.propagationBound(p.from, req.at) {
					sim.fail("%s: %s received %s %v after it was marked as leaving", invariant.LeavingUnused, req.target, tag, after)
				}
			}
		}
	}
}

// cost returns the tokens that the team is charged for a complete response.
func (c *call) cost() int {
	if c.model < 0 {
		return billingCost
	}
	return len(mustEncode(c.prompt))/4 + 1 + c.maxTokens
}

// checkRates checks the tokens of each team over every time window that starts with
// the arrival of a call and ends with the end of one. Calls that arrived and ended
// inside a window reserved all their tokens in it.
func (sim *simulation) checkRates() {
	for team := range teamCount {
		var served []*call
		for _, c := range sim.calls {
			if c.team == team && c.path != "/tariffs/today" && !c.aborted && !c.replayed() && c.outcome().complete {
				served = append(served, c)
			}
		}
		sort.Slice(served, func(i, j int) bool { return served[i].arrived.Before(served[j].arrived) })
		sim.checkRateWindows(team, served)
	}
}

func (sim *simulation) checkRateWindows(team int, served []*call) {
	for i, first := range served {
		inside := append([]*call(nil), served[i:]...)
		sort.Slice(inside, func(a, b int) bool { return inside[a].finished.Before(inside[b].finished) })
		sum := 0
		for _, c := range inside {
			sum += c.cost()
			window := c.finished.Sub(first.arrived)
			if limit := sim.maxBurst[team] + sim.maxRate[team]*window.Seconds(); float64(sum) > limit+1 {
				sim.fail("%s: %s was served %d tokens in the window from %v of length %v, limit %.0f", invariant.RateWithinLimit, teamName(team), sum, first.arrived.Sub(sim.start), window, limit)
				return
			}
		}
	}
}
