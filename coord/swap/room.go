package swap

import (
	"cmp"
	"slices"
	"time"
)

// Weights of the loss of a model, in seconds of delay for the demand served
// instead.
const (
	lastCopyWeight  = 3.0 // a demand that follows waits for a swap of its own
	spareCopyWeight = 0.3
	runningWeight   = 0.25 // an unload waits for the runs of its model
	reserveWeight   = 6.0  // a hot model's copy beyond what its load needs guards against the loss of an engine
	busyWeight      = 6.0  // an engine that loads from the store swaps nothing for so long
)

// makeRoom returns the models that have to go from an engine, and what their
// loss costs.
func (p *planner) makeRoom(e *Engine, n need) ([]string, float64, bool) {
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
		if cost, ok := p.loss(model, c, n); ok {
			victims = append(victims, victim{model, size, cost})
		}
	}
	missing := p.Models[n.model].SizeMB - free
	if missing <= 0 {
		return nil, 0, true
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.model, b.model))
	})
	for _, v := range victims { // one that makes enough room alone goes first
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

// awayTime is how long a model is missing that goes for another one and is then
// fetched back.
const awayTime = time.Second // two loads from disk

// outnumbers reports whether more requests wait for a model than come for another
// one while that is away: where more models are asked for often than there are
// places, they take turns.
func (p *planner) outnumbers(n need, victim Demand) bool {
	return p.copies[n.model] == 0 && float64(n.count) > victim.Rate*awayTime.Seconds()
}

// loss returns what the loss of a copy costs, and whether it may go at all.
func (p *planner) loss(model string, c Copy, n need) (float64, bool) {
	if c.State != Ready || p.Now < c.ReadyAt+p.opts.Settle {
		return 0, false
	}
	d := p.Demands[model]
	others := p.ready[model] - 1
	if others <= 0 && d.Waiting > 0 {
		return 0, false
	}
	reserve := 0.0
	if d.Rate >= p.opts.HotRate && others < p.wanted(model) && !(n.urgent && others >= 2) {
		mayGo := n.reserves && others >= max(1, p.copiesForLoad(model)) || n.urgent && p.outnumbers(n, d)
		if !mayGo {
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
