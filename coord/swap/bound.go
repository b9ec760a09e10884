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
	for i, b := range d.Bound {
		n := p.boundCountOf(model, i)
		r := loadRequest{model: model, due: d.Due, version: b.Version, regions: b.Regions, requests: b.Waiting}
		switch {
		case b.Waiting > 0 && n.copies == 0:
			r.waiting, r.late, r.overloaded = true, late && b.Rate < p.opts.HotRate, b.Rate >= p.opts.HotRate
		case p.hot(model) && n.copies < p.wantedIn(b, n.running):
			r.due, r.overloaded = p.Now, b.Waiting > 0 || float64(n.running) >= nearlyFullShare*float64(n.slots)
		default:
			continue
		}
		out = append(out, r)
	}
	return out
}

// boundCount counts the copies of a model that serve bound demand.
type boundCount struct {
	copies, ready int // as in planner
	running       int
	slots         int // of the engines with ready copies
}

// countBound adds a copy to the counts of the bound demand that it serves.
func (p *planner) countBound(e *Engine, model string, c Copy) {
	demand := p.Demands[model].Bound
	if len(demand) == 0 {
		return
	}
	if p.bound[model] == nil {
		p.bound[model] = make([]boundCount, len(demand))
	}
	for i, b := range demand {
		if !b.allows(e) {
			continue
		}
		n := &p.bound[model][i]
		n.running += c.Running
		if c.State != Draining {
			n.copies++
		}
		if c.State == Ready {
			n.ready++
			n.slots += e.Slots
		}
	}
}

// boundCountOf returns the count for the bound demand i of a model.
func (p *planner) boundCountOf(model string, i int) boundCount {
	if counts := p.bound[model]; counts != nil {
		return counts[i]
	}
	return boundCount{}
}

// applyBound updates the counts of bound demand by a move of an engine.
func (p *planner) applyBound(e *Engine, m Move) {
	p.loads = append(p.loads, plannedLoad{m.Load, e})
	for _, model := range m.Unload {
		for i, b := range p.Demands[model].Bound {
			if p.bound[model] != nil && !p.uncounted[e.ID][model] && b.allows(e) {
				p.bound[model][i].copies--
				p.bound[model][i].ready--
			}
		}
	}
}

// plannedLoad is a load of this plan.
type plannedLoad struct {
	model  string
	engine *Engine
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
	return slices.ContainsFunc(p.loads, func(l plannedLoad) bool { return l.model == r.model && r.allows(l.engine) })
}

// lastOfBound reports whether the ready copy of a model at an engine is the last one in its regions for requests that are bound
// to them, and may not be evicted for another load.
func (p *planner) lastOfBound(e *Engine, model string, r loadRequest) bool {
	for i, b := range p.Demands[model].Bound {
		if !b.allows(e) || b.Waiting == 0 && b.Rate < p.opts.HotRate || p.boundCountOf(model, i).ready > 1 {
			continue
		}
		outnumbered := r.waiting && float64(r.requests) > b.Rate*reloadTime.Seconds()
		if b.Waiting > 0 || !outnumbered {
			return true
		}
	}
	return false
}

// regionRank orders requests of the same urgency: those that fewest regions serve come first, as their copy may serve the others too.
func (r loadRequest) regionRank() int {
	if r.regions == nil {
		return math.MaxInt
	}
	return len(r.regions)
}

func (r loadRequest) regionNames() string { return strings.Join(r.regions, ",") }
