package swap

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// A model gets another copy for so many requests at once, or for a share of an
// engine's slots if that is more: beyond it first events wait for the prompts
// of others.
const (
	runsPerCopy  = 5
	slotsPerCopy = 0.16
)

type need struct {
	model  string
	due    time.Duration
	urgent bool // requests wait
	late   bool
	// reserves is set where only the place of a hot model's reserve copy is left.
	reserves bool
	full     bool // hot, and its copies are too few for those that wait
	count    int
}

// Plan returns the moves to begin now. Each engine gets one at most.
func Plan(s State, opts Options) []Move {
	p := newPlanner(s, opts)
	var moves []Move
	for _, n := range p.needs() {
		if m, ok := p.meet(n); ok {
			moves = append(moves, m)
		}
	}
	return moves
}

type planner struct {
	State
	opts    Options
	copies  map[string]int // ready or loading copies by model
	ready   map[string]int
	running map[string]int
	taken   map[string]bool // engines with a move in this plan
}

func newPlanner(s State, opts Options) *planner {
	p := &planner{State: s, opts: opts, copies: map[string]int{}, ready: map[string]int{}, running: map[string]int{}, taken: map[string]bool{}}
	for i := range s.Engines {
		e := &s.Engines[i]
		if !e.Serves {
			continue
		}
		for model, c := range e.Copies {
			if c.State != Closing {
				p.copies[model]++
			}
			if c.State == Ready {
				p.ready[model]++
			}
			p.running[model] += c.Running
		}
	}
	return p
}

// wanted returns the number of copies that a model should have.
func (p *planner) wanted(model string) int {
	if p.Demands[model].Rate < p.opts.HotRate {
		return 1
	}
	return max(2, p.copiesForLoad(model))
}

// copiesForLoad returns the number of copies that a model's requests need.
func (p *planner) copiesForLoad(model string) int {
	d := p.Demands[model]
	atOnce := max(d.Rate*p.opts.RunTime.Seconds(), float64(p.running[model]+d.Waiting))
	perCopy := max(runsPerCopy, slotsPerCopy*float64(p.Engines[0].Slots))
	return int(math.Ceil(atOnce / perCopy))
}

// nearlyFullShare is the share of the slots of a model's copies from which on
// another copy is urgent: it takes seconds, in which the last slots fill.
const nearlyFullShare = 0.75

func (p *planner) nearlyFull(model string) bool {
	return float64(p.running[model]) >= nearlyFullShare*float64(p.ready[model]*p.Engines[0].Slots)
}

// needs returns what should be loaded, the most urgent first: waiting requests
// that can still be in time by their due time, then hot models with too few
// copies, then waiting requests that are late.
func (p *planner) needs() []need {
	var out []need
	for model, d := range p.Demands {
		m, known := p.Models[model]
		if !known {
			continue
		}
		have := p.copies[model]
		switch {
		case d.Waiting > 0 && have == 0:
			// A hot model has requests that can be in time all the while.
			late := d.Due < p.Now+m.Load[FromMemory] && d.Rate < p.opts.HotRate
			out = append(out, need{model: model, due: d.Due, urgent: true, late: late, full: d.Rate >= p.opts.HotRate, count: d.Waiting})
		case d.Rate >= p.opts.HotRate && have < p.wanted(model):
			out = append(out, need{model: model, due: p.Now, full: d.Waiting > 0 || p.nearlyFull(model), count: int(d.Rate)})
		}
	}
	slices.SortFunc(out, func(a, b need) int {
		return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.due, b.due), cmp.Compare(b.count, a.count), cmp.Compare(a.model, b.model))
	})
	return out
}

func (n need) rank() int {
	switch {
	case n.full:
		return 0
	case n.urgent && !n.late:
		return 0
	case !n.urgent:
		return 1
	}
	return 2
}

// meet chooses the engine that loads a model.
func (p *planner) meet(n need) (Move, bool) {
	best, bestCost := Move{}, math.Inf(1)
	reachable := p.reachable(n)
	store := !reachable && !p.opts.NoStoreLoads
	n.reserves = !reachable && n.urgent && !n.late
	for i := range p.Engines {
		e := &p.Engines[i]
		if e.Busy || !e.Serves || p.taken[e.ID] {
			continue
		}
		if _, there := e.Copies[n.model]; there {
			continue
		}
		source := e.source(n.model)
		if source == FromStore && (!store || p.StoreLoads >= p.storeLoads(n, e)) {
			continue
		}
		unload, cost, ok := p.makeRoom(e, n)
		if !ok {
			continue
		}
		cost += p.Models[n.model].Load[source].Seconds()
		if source == FromStore && len(e.OnDisk) > blankDisk {
			cost += busyWeight
		}
		if cost < bestCost {
			best, bestCost = Move{Engine: e.ID, Unload: unload, Load: n.model, Source: source}, cost
		}
	}
	if math.IsInf(bestCost, 1) {
		return Move{}, false
	}
	p.begin(best)
	return best, true
}

// begin counts a move as done, so that the rest of the plan takes it into
// account.
func (p *planner) begin(m Move) {
	p.taken[m.Engine] = true
	p.copies[m.Load]++
	if m.Source == FromStore {
		p.StoreLoads++
	}
	for _, model := range m.Unload {
		p.copies[model]--
		p.ready[model]--
	}
}
