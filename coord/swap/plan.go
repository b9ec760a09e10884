package swap

import (
	"cmp"
	"math"
	"slices"
	"time"

	"buckthornseam.dev/coord/homes"
)

// A model gets one copy for each requestsPerCopy concurrent requests, or for each
// slotSharePerCopy of an engine's slots if that is more. With more requests per copy,
// first events are delayed while the engine processes the prompts of other requests.
const (
	requestsPerCopy  = 5
	slotSharePerCopy = 0.16
)

// loadRequest is a model that should get another copy.
type loadRequest struct {
	model   string
	due     time.Duration
	waiting bool // requests wait and the model has no copy
	late    bool // the waiting requests can no longer begin in time
	// mayTakeReserve allows the eviction of a hot model's reserve copy. It is set when
	// no engine can load the model from its disk or memory without that, and the
	// waiting requests can still begin in time.
	mayTakeReserve bool
	version        *string  // only engines of this software version; nil: any
	regions        []string // only engines in these regions; nil: any
	overloaded     bool     // the model is hot, and requests wait for it or its copies are nearly full
	requests       int      // waiting requests if waiting is set, otherwise arrivals per second
}

// Plan returns the moves to begin now, at most one for each engine.
func Plan(s State, opts Options) []Move {
	if len(s.Engines) == 0 {
		return nil
	}
	p := newPlanner(s, opts)
	var moves []Move
	for _, r := range p.loadRequests() {
		if p.servedByPlan(r) {
			continue
		}
		if m, ok := p.chooseMove(r); ok {
			moves = append(moves, m)
		}
	}
	return moves
}

type planner struct {
	State
	opts     Options
	copies   map[string]int // ready or loading copies by model
	ready    map[string]int
	running  map[string]int
	assigned map[string]bool // engines that have a move in this plan
	// reserveRate is the rate from which a hot model keeps at least two copies.
	reserveRate float64
	loads       []plannedLoad
	bound       map[string][]boundCount // by model, for each of Demand.Bound
	// uncounted holds the models by engine whose copies there are not in the counts.
	uncounted map[string]map[string]bool
}

func newPlanner(s State, opts Options) *planner {
	p := &planner{State: s, opts: opts, copies: map[string]int{}, ready: map[string]int{}, running: map[string]int{}, assigned: map[string]bool{}, uncounted: map[string]map[string]bool{}, bound: map[string][]boundCount{}}
	for i := range s.Engines {
		e := &s.Engines[i]
		if !e.Serves {
			continue
		}
		for model, c := range e.Copies {
			if !p.counts(e, model) {
				p.setUncounted(e.ID, model)
				continue
			}
			if c.State != Draining {
				p.copies[model]++
			}
			if c.State == Ready {
				p.ready[model]++
			}
			p.running[model] += c.Running
			p.countBound(e, model, c)
		}
	}
	p.reserveRate = p.reserveRateOf()
	return p
}

// reserveShare is the part of all engines' memory that the copies of hot models may take before the less hot ones keep no
// reserve copy. In a burst, each of hundreds of rare models may be asked for a few times within a second; if all of them
// kept two copies, no memory would be left for the others.
const reserveShare = 0.5

// reserveRateOf returns the rate from which a hot model keeps at least two copies.
func (p *planner) reserveRateOf() float64 {
	roomMB := 0.0
	for i := range p.Engines {
		if p.Engines[i].Serves {
			roomMB += reserveShare * p.Engines[i].CapacityMB
		}
	}
	var hot []string
	for model := range p.Demands {
		if _, known := p.Models[model]; known && p.hot(model) {
			hot = append(hot, model)
		}
	}
	slices.SortFunc(hot, func(a, b string) int { return cmp.Compare(p.Demands[b].Rate, p.Demands[a].Rate) })
	for _, model := range hot {
		if roomMB -= p.Models[model].SizeMB * float64(max(2, p.copiesForLoad(model))); roomMB < 0 {
			return math.Nextafter(p.Demands[model].Rate, math.Inf(1))
		}
	}
	return p.opts.HotRate
}

func (p *planner) setUncounted(engine, model string) {
	if p.uncounted[engine] == nil {
		p.uncounted[engine] = map[string]bool{}
	}
	p.uncounted[engine][model] = true
}

// wantedCopies returns the number of copies that a model should have.
func (p *planner) wantedCopies(model string) int {
	switch rate := p.Demands[model].Rate; {
	case rate < p.opts.HotRate:
		return 1
	case rate < p.reserveRate:
		return max(1, p.copiesForLoad(model))
	}
	return max(2, p.copiesForLoad(model))
}

// copiesForLoad returns the number of copies that a model needs for its running and
// waiting requests.
func (p *planner) copiesForLoad(model string) int {
	d := p.Demands[model]
	atOnce := max(d.Rate*p.opts.RunTime.Seconds(), float64(p.running[model]+d.Waiting))
	return int(math.Ceil(atOnce / p.requestsPerCopy()))
}

func (p *planner) requestsPerCopy() float64 {
	return max(requestsPerCopy, slotSharePerCopy*float64(p.Engines[0].Slots))
}

// nearlyFullShare is the share of used slots from which a hot model urgently needs
// another copy: loading one may take seconds, in which the remaining slots fill up.
const nearlyFullShare = 0.75

func (p *planner) nearlyFull(model string) bool {
	return float64(p.running[model]) >= nearlyFullShare*float64(p.ready[model]*p.Engines[0].Slots)
}

// loadRequests returns the models to load, the most urgent first: overloaded hot models
// and models whose waiting requests can still begin in time, by due time; then other
// hot models with too few copies; then models whose waiting requests are late.
func (p *planner) loadRequests() []loadRequest {
	var out []loadRequest
	for model, d := range p.Demands {
		m, known := p.Models[model]
		if !known {
			continue
		}
		have := p.copies[model]
		// A hot model always has new requests that can still begin in time.
		late := d.Due < p.Now+m.Load[FromMemory] && d.Rate < p.opts.HotRate
		for version, n := range d.WaitingAt {
			if n > 0 && !p.hasCopyAt(model, version) {
				out = append(out, loadRequest{model: model, due: d.Due, waiting: true, late: late, requests: n, version: &version})
			}
		}
		out = append(out, p.boundRequests(model, d, late)...)
		switch {
		case d.anyVersion() > 0 && have == 0:
			out = append(out, loadRequest{model: model, due: d.Due, waiting: true, late: late, overloaded: d.Rate >= p.opts.HotRate, requests: d.Waiting})
		case d.Rate >= p.opts.HotRate && have < p.wantedCopies(model) && p.wantedAnywhere(d):
			out = append(out, loadRequest{model: model, due: p.Now, overloaded: d.Waiting > 0 || p.nearlyFull(model), requests: int(d.Rate)})
		}
	}
	slices.SortFunc(out, func(a, b loadRequest) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.due, b.due), cmp.Compare(a.regionRank(), b.regionRank()), cmp.Compare(b.requests, a.requests), cmp.Compare(a.model, b.model), cmp.Compare(a.versionName(), b.versionName()), cmp.Compare(a.regionNames(), b.regionNames()))
	})
	return out
}

// hasCopyAt reports whether an engine of a software version holds or loads a model.
func (p *planner) hasCopyAt(model, version string) bool {
	return slices.ContainsFunc(p.Engines, func(e Engine) bool {
		c, there := e.Copies[model]
		return there && e.Serves && p.counts(&e, model) && e.Version == version && c.State != Draining
	})
}

func (r loadRequest) versionName() string {
	if r.version == nil {
		return ""
	}
	return *r.version
}

// allows reports whether the requested copy may be at an engine.
func (r loadRequest) allows(e *Engine) bool {
	return (r.version == nil || *r.version == e.Version) && homes.Allows(r.regions, e.Region)
}

func (r loadRequest) rank() int {
	switch {
	case r.overloaded:
		return 0
	case r.waiting && !r.late:
		return 0
	case !r.waiting:
		return 1
	}
	return 2
}

// chooseMove returns the cheapest move that loads a model, if any engine can load it now.
func (p *planner) chooseMove(r loadRequest) (Move, bool) {
	best, bestCost := Move{}, math.Inf(1)
	var bestEngine *Engine
	local := p.loadableLocally(r)
	if !local && r.waiting && !p.hot(r.model) && p.hasLimitedCopy(r) {
		return Move{}, false // the few requests that it takes are served sooner than by a load from the weight store
	}
	allowStore := !local && !p.opts.NoStoreLoads
	r.mayTakeReserve = !local && r.waiting && !r.late
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.Busy || !e.Serves || p.assigned[e.ID] || !r.allows(e) {
			continue
		}
		if _, there := e.Copies[r.model]; there {
			continue
		}
		if !p.counts(e, r.model) && (!r.waiting || local || p.hot(r.model)) {
			continue
		}
		source := e.source(r.model)
		if source == FromStore && (!allowStore || p.StoreLoads >= p.storeLoadLimit(r, e)) {
			continue
		}
		unload, cost, ok := p.makeRoom(e, r)
		if !ok {
			continue
		}
		cost += p.Models[r.model].Load[source].Seconds()
		if source == FromStore && len(e.OnDisk) > sparseDiskModels {
			cost += storeLoadWeight
		}
		if cost < bestCost {
			best, bestCost, bestEngine = Move{Engine: e.ID, Unload: unload, Load: r.model, Source: source}, cost, e
		}
	}
	if math.IsInf(bestCost, 1) {
		return Move{}, false
	}
	p.apply(best)
	p.applyBound(bestEngine, best)
	return best, true
}

// hasLimitedCopy reports whether an engine that takes few requests has a model.
func (p *planner) hasLimitedCopy(r loadRequest) bool {
	return slices.ContainsFunc(p.Engines, func(e Engine) bool {
		c, there := e.Copies[r.model]
		return there && e.Serves && !p.counts(&e, r.model) && r.allows(&e) && c.State != Draining
	})
}

// apply updates the planner's counts as if a move were done, so that the rest of the
// plan takes it into account.
func (p *planner) apply(m Move) {
	p.assigned[m.Engine] = true
	p.copies[m.Load]++
	if m.Source == FromStore {
		p.StoreLoads++
	}
	for _, model := range m.Unload {
		if !p.uncounted[m.Engine][model] {
			p.copies[model]--
			p.ready[model]--
		}
	}
}

// minLimit is the smallest limit of an engine that gets copies of rare models: about what one swap after the
// other brings there.
const minLimit = 1

// counts reports whether a copy at an engine serves what is asked of the model. An engine with a limit serves
// rare models only.
func (p *planner) counts(e *Engine, model string) bool {
	return e.Limit == 0 || e.Limit >= minLimit && !p.hot(model)
}

func (p *planner) hot(model string) bool { return p.Demands[model].Rate >= p.opts.HotRate }
