package swap

import (
	"math"
	"slices"
	"strings"

	"buckthornseam.dev/coord/homes"
)

// Bound is demand that only engines in some regions may serve, and perhaps only those of one software version.
type Bound struct {
	Regions []string // as homes.Bind returns them, never nil
	Version *string  // nil: any
	Waiting int      // of Demand.Waiting; not in Demand.WaitingAt
	Rate    float64  // of Demand.Rate
}

func (b Bound) allows(e *Engine) bool {
	return homes.Allows(b.Regions, e.Region) && (b.Version == nil || *b.Version == e.Version)
}

// boundRequests returns the loads that the bound demand for a model needs. A copy elsewhere does not serve it.
func (p *planner) boundRequests(model string, d Demand, late bool) []loadRequest {
	var out []loadRequest
	for _, b := range d.Bound {
		have, running, slots := p.copiesIn(model, b)
		r := loadRequest{model: model, due: d.Due, version: b.Version, regions: b.Regions, requests: b.Waiting}
		switch {
		case b.Waiting > 0 && have == 0:
			r.waiting, r.late, r.overloaded = true, late && b.Rate < p.opts.HotRate, b.Rate >= p.opts.HotRate
		case p.hot(model) && have < p.wantedIn(b, running):
			r.due, r.overloaded = p.Now, b.Waiting > 0 || float64(running) >= nearlyFullShare*float64(slots)
		default:
			continue
		}
		out = append(out, r)
	}
	return out
}

// copiesIn returns the copies of a model that serve bound demand, the requests that run there, and the slots of those that are
// ready.
func (p *planner) copiesIn(model string, b Bound) (copies, running, slots int) {
	for i := range p.Engines {
		e := &p.Engines[i]
		c, there := e.Copies[model]
		if !there || !e.Serves || !b.allows(e) || p.uncounted[e.ID][model] {
			continue
		}
		running += c.Running
		if c.State != Draining {
			copies++
		}
		if c.State == Ready {
			slots += e.Slots
		}
	}
	return copies, running, slots
}

// wantedIn returns the number of copies that bound demand for a hot model needs in its regions.
func (p *planner) wantedIn(b Bound, running int) int {
	if b.Waiting == 0 && b.Rate < p.opts.HotRate {
		return 0
	}
	atOnce := b.Rate * p.opts.RunTime.Seconds()
	if b.Waiting > 0 {
		atOnce = max(atOnce, float64(running+b.Waiting))
	}
	wanted := int(math.Ceil(atOnce / p.requestsPerCopy()))
	if b.Rate >= p.opts.HotRate {
		wanted = max(2, wanted)
	}
	return wanted
}

// wantedAnywhere reports whether a hot model's copies may be in any region: some of its requests are bound to none.
func (p *planner) wantedAnywhere(d Demand) bool {
	rate := d.Rate
	for _, b := range d.Bound {
		rate -= b.Rate
	}
	return len(d.Bound) == 0 || d.anyVersion() > 0 || rate >= p.opts.HotRate
}

// servedByPlan reports whether a load of this plan also serves another request for a model that has bound demand.
func (p *planner) servedByPlan(r loadRequest) bool {
	if len(p.Demands[r.model].Bound) == 0 {
		return false
	}
	return slices.ContainsFunc(p.loads, func(m Move) bool {
		return m.Load == r.model && slices.ContainsFunc(p.Engines, func(e Engine) bool { return e.ID == m.Engine && r.allows(&e) })
	})
}

// lastOfBound reports whether the ready copy of a model at an engine is the last one in its regions for requests that are bound
// to them, and may not be evicted for another load.
func (p *planner) lastOfBound(e *Engine, model string, r loadRequest) bool {
	return slices.ContainsFunc(p.Demands[model].Bound, func(b Bound) bool {
		if !b.allows(e) || b.Waiting == 0 && b.Rate < p.opts.HotRate {
			return false
		}
		ready := 0
		for i := range p.Engines {
			other := &p.Engines[i]
			if c, there := other.Copies[model]; there && c.State == Ready && other.Serves && b.allows(other) {
				ready++
			}
		}
		outnumbered := r.waiting && float64(r.requests) > b.Rate*reloadTime.Seconds()
		return ready <= 1 && (b.Waiting > 0 || !outnumbered)
	})
}

func (r loadRequest) regionNames() string { return strings.Join(r.regions, ",") }
