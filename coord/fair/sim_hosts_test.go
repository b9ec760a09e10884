package fair

import (
	"fmt"
	"time"

	"buckthornseam.dev/coord/routing"
)

// readEngines delivers the engines' load after the lag of reports.
func (s *sim) readEngines() {
	at := s.now
	load := make([]int, len(s.engines))
	for i, e := range s.engines {
		load[i] = e.running + len(e.queue)
	}
	s.after(s.reportLag, func() {
		s.seen = load
		if s.ideal {
			return
		}
		for _, h := range s.hosts {
			for i, n := range load {
				h.routes.Report(fmt.Sprintf("e%d", i), routing.Load{At: at, Running: n, Ready: s.models(i)})
			}
		}
	})
}

// lose takes the coordinator from the other hosts at a moment; they leave it out
// of the tree when they have noticed. If it crashed, what waits there is lost,
// and its callers go to the next host; if it is cut off from its peers, it
// serves its callers as before.
func (s *sim) lose(at, noticed time.Duration, crashed bool) {
	s.after(at, func() {
		s.cutOff = s.tree.Root()
		if crashed {
			s.dead = s.cutOff
		}
	})
	s.after(at+noticed, func() {
		var names []string
		for _, h := range s.hosts {
			if h.name != s.cutOff {
				names = append(names, h.name)
			}
		}
		s.tree = NewTree("pool", names)
	})
}

func (s *sim) tick(h *simHost) {
	h.node.SetTree(s.tree)
	total, occupied := s.slots*len(s.engines), 0
	for _, n := range s.seen {
		occupied += n
	}
	h.q.SetCapacity(Capacity{Slots: total, Spare: max(total-occupied, 0), Hosts: s.simConfig.hosts}, s.modelCapacity())
	if s.tree.Root() == h.name {
		h.node.SetRoot(s.now, s.targets, occupied)
	} else {
		h.node.SetInner(s.now)
	}
	h.q.Prune(s.now)
	if h.q.Reporting(s.now) || h.node.Children() > 0 {
		s.report(h)
	}
	s.pump(h)
}

// modelCapacity is what hosts know of the models that are ready on some
// engines only.
func (s *sim) modelCapacity() map[string]Capacity {
	out := map[string]Capacity{}
	for model, list := range s.targets.Ready {
		c := Capacity{Slots: len(list) * s.slots, Hosts: s.simConfig.hosts}
		load := 0
		for _, i := range list {
			load += s.seen[i]
		}
		c.Spare = max(c.Slots-load, 0)
		out[model] = c
	}
	return out
}

func (s *sim) report(h *simHost) {
	if s.noCoordinator || h.name == s.cutOff {
		return
	}
	h.lastReport = s.now
	h.node.Report(s.now, h.name, s.demand(h))
	parent, inner := s.tree.Parent(h.name)
	if !inner {
		s.apply(h)
		return
	}
	d := h.node.Demand(s.now)
	s.message(func() {
		if parent == s.cutOff {
			return
		}
		p := s.byName[parent]
		p.node.Report(s.now, h.name, d)
		g, ok := p.node.Grant(s.now, h.name)
		if !ok {
			return
		}
		s.message(func() {
			h.node.Apply(s.now, g)
			s.apply(h)
		})
	})
}

func (s *sim) apply(h *simHost) {
	if g, ok := h.node.Grant(s.now, h.name); ok {
		h.q.Apply(s.now, g)
		s.place(h)
	}
	s.pump(h)
}

// place hands the host's slots to its routing table.
func (s *sim) place(h *simHost) {
	given, until := h.q.Slots()
	if given == nil || s.noSlots {
		return
	}
	quotas := make([]routing.Quota, len(given.Own))
	for i := range quotas {
		quotas[i] = routing.Quota{Target: fmt.Sprintf("e%d", i), Own: given.Own[i], Common: given.Common[i]}
	}
	h.routes.SetQuotas("pool", quotas, until)
}

// demand is the host's report, with the engines that its requests run on.
func (s *sim) demand(h *simHost) Demand {
	d := h.q.Demand(s.now)
	d.Busy = &Busy{Running: make([]int, len(s.engines))}
	for i := range s.engines {
		d.Busy.Running[i] = h.routes.Inflight(fmt.Sprintf("e%d", i))
	}
	return d
}

// message delivers f after the latency, unless it is lost; it may come twice
// and late.
func (s *sim) message(f func()) {
	s.messages++
	if s.rng.Float64() < s.loss {
		return
	}
	times := 1
	if s.rng.Float64() < s.dup {
		times = 2
	}
	for range times {
		d := simLatency
		if s.maxDelay > 0 {
			d += time.Duration(s.rng.Int64N(int64(s.maxDelay)))
		}
		s.after(d, f)
	}
}
