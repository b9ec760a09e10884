package swap

// enginesPerStoreLoad is the number of engines for each concurrent load from the weight
// store. Such a load blocks all other orders of its engine for seconds.
const enginesPerStoreLoad = 9

// minHotStoreLoads is the lowest limit of concurrent loads from the weight store that
// applies to an overloaded hot model.
const minHotStoreLoads = 2 // the weight store serves this many at full speed on the largest sites

// sparseDiskModels is the number of models up to which an engine's disk counts as
// nearly empty. Such an engine can swap few models, so a long load blocks little.
const sparseDiskModels = 6 // twice the number of models that an engine holds in memory

// storeLoadLimit returns the maximum number of concurrent loads from the weight store,
// including the requested load at e.
func (p *planner) storeLoadLimit(r loadRequest, e *Engine) int {
	if len(e.OnDisk) <= sparseDiskModels {
		return p.opts.MaxStoreLoads
	}
	limit := min(p.opts.MaxStoreLoads, max(1, len(p.Engines)/enginesPerStoreLoad))
	if r.overloaded {
		return max(limit, minHotStoreLoads)
	}
	return max(1, limit-1) // keeps one for hot models: a load of a rare model serves one or two requests, that of a hot one dozens per second
}

// loadableLocally reports whether some engine can load a model from its disk or memory,
// now or after its current order.
func (p *planner) loadableLocally(r loadRequest) bool {
	for i := range p.Engines {
		e := &p.Engines[i]
		if _, there := e.Copies[r.model]; there || !e.Serves || !p.counts(e, r.model) || !r.allows(e) || e.source(r.model) == FromStore {
			continue
		}
		if _, _, ok := p.makeRoom(e, r); ok || e.Busy {
			return true
		}
	}
	return false
}

func (e *Engine) source(model string) Source {
	switch {
	case e.InMemory[model]:
		return FromMemory
	case e.OnDisk[model]:
		return FromDisk
	}
	return FromStore
}
