package swap

// enginesPerStoreLoad is the number of engines for each load from the weight
// store at once: such a load keeps its engine from all other orders for seconds.
const enginesPerStoreLoad = 9

// minHotStoreLoads is the number of loads from the weight store at once up to
// which a hot model may begin one beside those of rare ones.
const minHotStoreLoads = 2 // what the weight store serves at full speed on the largest sites

// blankDisk is the number of models on an engine's disk up to which it can do
// little by swaps, so that a load of seconds costs it nothing.
const blankDisk = 6 // twice the places of an engine

// storeLoads returns how many loads from the weight store may run once that of a
// model at an engine has begun.
func (p *planner) storeLoads(n need, e *Engine) int {
	if len(e.OnDisk) <= blankDisk {
		return p.opts.MaxStoreLoads
	}
	most := min(p.opts.MaxStoreLoads, max(1, len(p.Engines)/enginesPerStoreLoad))
	if n.full {
		return max(most, minHotStoreLoads)
	}
	return max(1, most-1) // a rare model's load serves a request or two, a hot one's dozens a second
}

// reachable reports whether some engine can take a model from its disk or memory,
// now or once its present order is done.
func (p *planner) reachable(n need) bool {
	for i := range p.Engines {
		e := &p.Engines[i]
		if _, there := e.Copies[n.model]; there || !e.Serves || e.source(n.model) == FromStore {
			continue
		}
		if _, _, ok := p.makeRoom(e, n); ok || e.Busy {
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
