package swap

import (
	"cmp"
	"slices"
	"time"
)

// Weights of the cost of a move, in seconds of delay for the requests that it serves.
const (
	lastCopyWeight  = 3.0 // the evicted model's next request has to wait for another swap
	spareCopyWeight = 0.3
	runningWeight   = 0.25 // an unload waits for the running requests of its model
	reserveWeight   = 6.0  // a hot model's copy beyond those its load needs covers the loss of an engine
	storeLoadWeight = 6.0  // an engine cannot swap other models while it loads from the weight store
)

// makeRoom returns the models to unload from an engine before a load, the cost of
// their eviction, and whether enough room can be made.
func (p *planner) makeRoom(e *Engine, r loadRequest) ([]string, float64, bool) {
	free := e.CapacityMB
	type victim struct {
		model string
		size  float64
		cost  float64
	}
	var victims []victim
	for model, c := range e.Copies {
		size := p.Models[model].SizeMB
		free -= size
		if cost, ok := p.evictionCost(e, model, c, r); ok {
			victims = append(victims, victim{model, size, cost})
		}
	}
	missing := p.Models[r.model].SizeMB - free
	if missing <= 0 {
		return nil, 0, true
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.model, b.model))
	})
	for _, v := range victims { // prefer a single model that frees enough memory
		if v.size >= missing {
			return []string{v.model}, v.cost, true
		}
	}
	var unload []string
	cost := 0.0
	for _, v := range victims {
		unload, cost, missing = append(unload, v.model), cost+v.cost, missing-v.size
		if missing <= 0 {
			return unload, cost, true
		}
	}
	return nil, 0, false
}

// reloadTime is how long a model is missing if it is evicted for another model and
// loaded again afterwards.
const reloadTime = time.Second // two loads from disk

// outnumbersArrivals reports whether more requests wait for a model without a copy than
// would arrive for the victim during reloadTime. If the hot models do not all fit into
// the engines' memory, they take turns by this rule.
func (p *planner) outnumbersArrivals(r loadRequest, victim Demand) bool {
	return p.copies[r.model] == 0 && float64(r.requests) > victim.Rate*reloadTime.Seconds()
}

// needed reports whether the load of a hot model needs a copy beside its others.
func (p *planner) needed(model string, others int) bool {
	return p.hot(model) && others < p.copiesForLoad(model)
}

// outweighs reports whether a load helps more requests than the eviction of a copy that is needed delays: those that wait
// for the copy's model, and those that would come to the copy during reloadTime.
func (p *planner) outweighs(r loadRequest, victim string, others int) bool {
	d := p.Demands[victim]
	return float64(r.requests) > float64(d.Waiting)+d.Rate/float64(others+1)*reloadTime.Seconds()
}

// evictionCost returns the cost of evicting a copy, and whether it may be evicted at all.
func (p *planner) evictionCost(e *Engine, model string, c Copy, r loadRequest) (float64, bool) {
	if c.State != Ready || p.Now < c.ReadyAt+p.opts.MinResidence {
		return 0, false
	}
	if p.uncounted[e.ID][model] && p.ready[model] > 0 {
		return float64(min(c.Running, 4)) * runningWeight, true
	}
	d := p.Demands[model]
	others := p.ready[model] - 1
	if others <= 0 && d.Waiting > 0 || p.lastOfBound(e, model, r) {
		return 0, false
	}
	if p.needed(model, others) && !p.outweighs(r, model, others) {
		return 0, false
	}
	reserve := 0.0
	if d.Rate >= p.opts.HotRate && others < p.wantedCopies(model) && !(r.waiting && others >= 2) {
		evictable := r.mayTakeReserve && others >= max(1, p.copiesForLoad(model)) || r.waiting && p.outnumbersArrivals(r, d)
		if !evictable {
			return 0, false
		}
		reserve = reserveWeight
	}
	weight := lastCopyWeight
	if others > 0 {
		weight = spareCopyWeight
	}
	return reserve + d.Rate*weight + float64(min(c.Running, 4))*runningWeight, true
}
