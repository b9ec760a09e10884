package wholerun

import (
	"fmt"
	"sort"
	"time"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/refusal"
)

// Bounds that the checks apply, from the stated targets.
const (
	deadline      = 8 * time.Second
	grace         = time.Second      // after the deadline, for the answer to leave
	streamBound   = 40 * time.Second // head by the deadline, then bounded silences and retries
	inForceWithin = 3 * time.Second  // of a withdrawal or a leaving target, on connected hosts
	staleWithin   = 6 * time.Second  // the same when hosts may be cut off: they stop accepting
)

// violated notes a failed check of an invariant.
func (w *world) violated(name invariant.Name, c *call, format string, args ...any) {
	w.fail("%s: call %s (%s, key of %s, host %s, %v to %v, status %d, cut %v): %s", name, c.tag, c.path, teamName(c.team), c.host.name,
		c.arrived.Sub(w.start), c.finished.Sub(w.start), c.status, c.cut, fmt.Sprintf(format, args...))
}

// check judges the run after its end.
func (w *world) check() {
	byTag := map[string][]*call{}
	for _, c := range w.calls {
		byTag[c.tag] = append(byTag[c.tag], c)
		w.checkCall(c)
	}
	for _, calls := range byTag {
		w.checkRuns(calls)
	}
	w.checkRates()
	w.checkLeaving()
	for _, leak := range w.watch.leaks {
		w.fail("%s: key seen in %s", invariant.KeyHidden, leak)
	}
}

func (w *world) checkCall(c *call) {
	if c.cut {
		return
	}
	bound := deadline + grace
	if c.stream {
		bound = streamBound
	}
	if took := c.finished.Sub(c.arrived); took > bound {
		w.violated(invariant.AnsweredInTime, c, "took %v", took)
	}
	o := c.outcome()
	if o.wrong != "" {
		w.violated(invariant.AnswerWhole, c, "%s", o.wrong)
	}
	if o.whole && c.key == nil && c.path != "/tariffs/today" {
		w.violated(invariant.TeamOfKey, c, "served without a key")
	}
	if o.execution == refusal.NotRun {
		w.checkNotRun(c, o)
	}
}

// checkNotRun fails if a target saw the request during a call that ended with
// not_run, unless another call with the same tag was under way then.
func (w *world) checkNotRun(c *call, o outcome) {
	for _, s := range w.watch.of(c.tag) {
		if s.at.Before(c.arrived) || s.at.After(c.finished.Add(lostAfter)) || w.another(c, s.at) {
			continue
		}
		w.violated(invariant.NotRunIsTrue, c, "code %s says not_run, target %s saw it at %v", o.code, s.target, s.at.Sub(w.start))
	}
}

// another reports whether another call of the same tag was under way at a time.
func (w *world) another(c *call, at time.Time) bool {
	for _, other := range w.calls {
		if other != c && other.tag == c.tag && !at.Before(other.arrived) && (other.cut || !at.After(other.finished.Add(lostAfter))) {
			return true
		}
	}
	return false
}

// checkRuns judges what targets saw of calls with one tag.
func (w *world) checkRuns(calls []*call) {
	c := calls[0]
	seen := w.watch.of(c.tag)
	if c.money() && len(seen) > 1 {
		w.violated(invariant.AtMostOnce, c, "ran %d times: %v", len(seen), seen)
	}
	for _, s := range seen {
		if c.path != "/tariffs/today" && c.key == nil {
			w.violated(invariant.TeamOfKey, c, "reached target %s without a key", s.target)
		}
		if c.model >= 0 && (!offered(c.team, c.model) || s.model != modelName(c.model)) {
			w.violated(invariant.TeamOfKey, c, "ran on model %s", s.model)
		}
		if c.key != nil && c.path != "/tariffs/today" {
			w.checkWithdrawn(c, s)
		}
	}
}

func (w *world) checkWithdrawn(c *call, s sighting) {
	if c.key.withdrawn.IsZero() {
		return
	}
	if after := s.at.Sub(c.key.withdrawn); after > w.within(c.key.withdrawn, s.at) {
		w.violated(invariant.KeyWithdrawn, c, "ran %v after its key was withdrawn", after)
	}
}

// within returns the time by which a change made at from must be in force at
// the time at.
func (w *world) within(from, at time.Time) time.Duration {
	for _, n := range w.noise {
		if n.from.Before(at) && (n.until.IsZero() || n.until.After(from.Add(-inForceWithin))) {
			return staleWithin
		}
	}
	return inForceWithin
}

func (w *world) checkLeaving() {
	for tag, seen := range w.watch.seen {
		for _, s := range seen {
			for _, a := range w.apply {
				if a.target != s.target || s.at.Before(a.at) || !a.until.IsZero() && s.at.After(a.until) {
					continue
				}
				if after := s.at.Sub(a.at); after > w.within(a.at, s.at) {
					w.fail("%s: %s got %s %v after it was marked", invariant.LeavingUnused, s.target, tag, after)
				}
			}
		}
	}
}

// cost returns the tokens that a whole answer to the call is charged.
func (c *call) cost() int {
	if c.model < 0 {
		return moneyCost
	}
	return len(mustEncode(c.prompt))/4 + 1 + c.maxTokens
}

// checkRates bounds, for each window between an arrival and an end, the tokens
// of the calls that came and were answered inside it: all of them were
// reserved in the window.
func (w *world) checkRates() {
	for team := range teamCount {
		var served []*call
		for _, c := range w.calls {
			if c.team == team && c.path != "/tariffs/today" && !c.cut && !c.replayed() && c.outcome().whole {
				served = append(served, c)
			}
		}
		sort.Slice(served, func(i, j int) bool { return served[i].arrived.Before(served[j].arrived) })
		w.checkWindows(team, served)
	}
}

func (w *world) checkWindows(team int, served []*call) {
	for i, first := range served {
		inside := append([]*call(nil), served[i:]...)
		sort.Slice(inside, func(a, b int) bool { return inside[a].finished.Before(inside[b].finished) })
		sum := 0
		for _, c := range inside {
			sum += c.cost()
			window := c.finished.Sub(first.arrived)
			if limit := w.maxBurst[team] + w.maxRate[team]*window.Seconds(); float64(sum) > limit+1 {
				w.fail("%s: %s got %d tokens from %v in %v, limit %.0f", invariant.RateWithinLimit, teamName(team), sum, first.arrived.Sub(w.start), window, limit)
				return
			}
		}
	}
}
