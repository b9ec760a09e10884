package fair

import (
	"sort"
	"time"
)

// Demand returns the report that goes to the coordinator.
func (q *Queue) Demand(now time.Duration) Demand {
	q.demandSeq++
	d := Demand{Seq: q.demandSeq, At: now}
	for _, t := range q.teams {
		if t.waiting > 0 || t.running > 0 {
			d.Teams = append(d.Teams, TeamDemand{Team: t.name, Weight: t.weight, Running: t.running, Waiting: t.waiting})
		}
	}
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Team < d.Teams[j].Team })
	d.Flows = q.flows()
	return d
}

// flows returns the demand by team and model, largest first and at most maxFlows entries.
func (q *Queue) flows() []FlowDemand {
	var out []FlowDemand
	for _, t := range q.teams {
		for _, f := range t.flows {
			if f.model != "" && f.waiting+f.running > 0 {
				out = append(out, FlowDemand{Team: t.name, Model: f.model, Running: f.running, Waiting: f.waiting})
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

// Apply puts a grant in force. It ignores a grant that is not newer than the
// last one applied, that answers no demand of this queue, or that has expired.
func (q *Queue) Apply(now time.Duration, g Grant) {
	if g.Seq <= q.appliedSeq || g.Seq > q.demandSeq || g.At+g.Lifetime <= now {
		return
	}
	q.appliedSeq = g.Seq
	q.grantEnd = g.At + g.Lifetime
	q.contended = g.Contended
	q.slotQuotas = g.SlotQuotas
	for _, t := range q.teams {
		t.inGrant = false
		for _, f := range t.flows {
			f.bounded = false
		}
	}
	for _, teamGrant := range g.Teams {
		if t := q.teams[teamGrant.Team]; t != nil {
			t.inGrant, t.window, t.limited = true, teamGrant.Window, teamGrant.Limited
		}
	}
	for _, flowGrant := range g.Flows {
		if t := q.teams[flowGrant.Team]; t != nil && t.flows[flowGrant.Model] != nil {
			f := t.flows[flowGrant.Model]
			f.bounded, f.window = true, flowGrant.Window
		}
	}
}

// SlotQuotas returns the slot quotas of this host by the last grant, nil if it
// had none, and the time at which they expire.
func (q *Queue) SlotQuotas() (s *SlotQuotas, until time.Duration) { return q.slotQuotas, q.grantEnd }

// Granted reports whether a grant is in force.
func (q *Queue) Granted(now time.Duration) bool { return now < q.grantEnd }

// ShouldReport reports whether this host should report its demand: it has
// waiting requests, or running ones in a contended pool.
func (q *Queue) ShouldReport(now time.Duration) bool {
	return len(q.entries) > 0 || q.running > 0 && q.contended && q.Granted(now)
}

// HasUrgentDemand reports whether a team that is not limited to its share has
// requests waiting because its window is used up. The coordinator would enlarge
// the window after a new report. Without a grant, any waiting request counts.
func (q *Queue) HasUrgentDemand(now time.Duration) bool {
	if !q.Granted(now) {
		return len(q.entries) > 0
	}
	for _, t := range q.teams {
		if t.waiting > 0 && t.running >= q.allowed(t) && !(t.inGrant && t.limited) {
			return true
		}
	}
	return false
}
