package fair

import (
	"sort"
	"time"
)

// Demand returns the report for the coordinator.
func (q *Queue) Demand(now time.Duration) Demand {
	q.seq++
	d := Demand{Seq: q.seq, At: now}
	for _, t := range q.teams {
		if t.count > 0 || t.running > 0 {
			d.Teams = append(d.Teams, TeamDemand{Team: t.name, Weight: t.weight, Running: t.running, Waiting: t.count})
		}
	}
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Team < d.Teams[j].Team })
	d.Flows = q.flows()
	return d
}

// flows returns the demand by team and model, the largest if there are many.
func (q *Queue) flows() []FlowDemand {
	var out []FlowDemand
	for _, t := range q.teams {
		for _, l := range t.lanes {
			if l.model != "" && l.count+l.running > 0 {
				out = append(out, FlowDemand{Team: t.name, Model: l.model, Running: l.running, Waiting: l.count})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Running+a.Waiting != b.Running+b.Waiting {
			return a.Running+a.Waiting > b.Running+b.Waiting
		}
		return a.Team < b.Team || a.Team == b.Team && a.Model < b.Model
	})
	return out[:min(len(out), maxFlows)]
}

// Apply puts a grant in force. One that is older than the last applied, or
// whose life has ended, changes nothing.
func (q *Queue) Apply(now time.Duration, g Grant) {
	if g.Seq <= q.applied || g.Seq > q.seq || g.At+g.Life <= now {
		return
	}
	q.applied = g.Seq
	q.grantEnd = g.At + g.Life
	q.contended = g.Contended
	q.slotsGiven = g.Slots
	for _, t := range q.teams {
		t.named = false
		for _, l := range t.lanes {
			l.bounded = false
		}
	}
	for _, tg := range g.Teams {
		if t := q.teams[tg.Team]; t != nil {
			t.named, t.window, t.limited = true, tg.Window, tg.Limited
		}
	}
	for _, fg := range g.Flows {
		if t := q.teams[fg.Team]; t != nil && t.lanes[fg.Model] != nil {
			l := t.lanes[fg.Model]
			l.bounded, l.window = true, fg.Window
		}
	}
}

// Slots returns the slots that this host may count on and the end of their
// validity, nil if none were given.
func (q *Queue) Slots() (s *Slots, until time.Duration) { return q.slotsGiven, q.grantEnd }

// Granted reports whether a grant is in force.
func (q *Queue) Granted(now time.Duration) bool { return now < q.grantEnd }

// Reporting reports whether the coordinator should hear of this host: it has
// waiting requests, or running ones in a pool that is contended.
func (q *Queue) Reporting(now time.Duration) bool {
	return len(q.entries) > 0 || q.running > 0 && q.contended && q.Granted(now)
}

// Urgent reports whether a team within its share waits for a window, which
// the coordinator would widen if it knew.
func (q *Queue) Urgent(now time.Duration) bool {
	if !q.Granted(now) {
		return len(q.entries) > 0
	}
	for _, t := range q.teams {
		if t.count > 0 && t.running >= q.allowed(t) && !(t.named && t.limited) {
			return true
		}
	}
	return false
}
