package fair

import (
	"fmt"
	"time"

	"buckthornseam.dev/coord/routing"
)

// readEngines reads the load of the engines and delivers it to the hosts after
// the report lag.
func (s *sim) readEngines() {
	at := s.now
	load := make([]int, len(s.engines))
	for i, e := range s.engines {
		load[i] = e.running + len(e.queue)
	}
	s.after(s.reportLag, func() {
		s.seenLoad = load
		if s.ideal {
			return
		}
		for _, h := range s.hosts {
			for i, n := range load {
				h.routes.ApplyReport(fmt.Sprintf("e%d", i), routing.Load{At: at, Running: n, Ready: s.models(i)})
			}
		}
	})
}

// loseCoordinator disconnects the coordinator from the other hosts at the given
// time. They remove it from the tree after a further detectionDelay. If it
// crashed, the requests waiting there are lost and its callers use another host.
// Otherwise it continues to serve its callers.
func (s *sim) loseCoordinator(at, detectionDelay time.Duration, crashed bool) {
	s.after(at, func() {
		s.isolatedHost = s.tree.Root()
		if crashed {
			s.crashedHost = s.isolatedHost
		}
	})
	s.after(at+detectionDelay, func() {
		var names []string
		for _, h := range s.hosts {
			if h.name != s.isolatedHost {
				names = append(names, h.name)
			}
		}
		s.tree = NewTree("pool", names)
	})
}

func (s *sim) tick(h *simHost) {
	h.node.SetTree(s.tree)
	total, occupied := s.slots*len(s.engines), 0
	for _, n := range s.seenLoad {
		occupied += n
	}
	h.q.SetCapacity(Capacity{Slots: total, Free: max(total-occupied, 0), Hosts: s.simConfig.hosts}, s.modelCapacity())
	if s.tree.Root() == h.name {
		h.node.SetRoot(s.now, s.targets, occupied)
	} else {
		h.node.SetInner(s.now)
	}
	h.q.Prune(s.now)
	if h.q.ShouldReport(s.now) || h.node.Children() > 0 {
		s.report(h)
	}
	s.dispatch(h)
}

// modelCapacity returns what hosts know about the capacity for each model that
// is ready on only some engines.
func (s *sim) modelCapacity() map[string]Capacity {
	out := map[string]Capacity{}
	for model, list := range s.targets.Ready {
		c := Capacity{Slots: len(list) * s.slots, Hosts: s.simConfig.hosts}
		load := 0
		for _, i := range list {
			load += s.seenLoad[i]
		}
		c.Free = max(c.Slots-load, 0)
		out[model] = c
	}
	return out
}

func (s *sim) report(h *simHost) {
	if s.noCoordinator || h.name == s.isolatedHost {
		return
	}
	h.lastReport = s.now
	h.node.RecordDemand(s.now, h.name, s.demand(h))
	parent, inner := s.tree.Parent(h.name)
	if !inner {
		s.apply(h)
		return
	}
	d := h.node.Demand(s.now)
	s.deliver(func() {
		if parent == s.isolatedHost {
			return
		}
		p := s.byName[parent]
		p.node.RecordDemand(s.now, h.name, d)
		g, ok := p.node.Grant(s.now, h.name)
		if !ok {
			return
		}
		s.deliver(func() {
			h.node.Apply(s.now, g)
			s.apply(h)
		})
	})
}

func (s *sim) apply(h *simHost) {
	if g, ok := h.node.Grant(s.now, h.name); ok {
		h.q.Apply(s.now, g)
		s.setQuotas(h)
	}
	s.dispatch(h)
}

// setQuotas passes the host's slot quotas to its routing table.
func (s *sim) setQuotas(h *simHost) {
	given, until := h.q.SlotQuotas()
	if given == nil || s.noQuotas {
		return
	}
	quotas := make([]routing.Quota, len(given.Own))
	for i := range quotas {
		quotas[i] = routing.Quota{Target: fmt.Sprintf("e%d", i), Own: given.Own[i], Common: given.Common[i]}
	}
	h.routes.SetQuotas("pool", quotas, until)
}

// demand returns the host's report, including the engines that its requests run on.
func (s *sim) demand(h *simHost) Demand {
	d := h.q.Demand(s.now)
	d.TargetLoad = &TargetLoad{Running: make([]int, len(s.engines))}
	for i := range s.engines {
		d.TargetLoad.Running[i] = h.routes.Inflight(fmt.Sprintf("e%d", i))
	}
	return d
}

// deliver runs f after the network latency. By the configured faults the message
// may be lost, duplicated or delayed.
func (s *sim) deliver(f func()) {
	s.messages++
	if s.rng.Float64() < s.loss {
		return
	}
	times := 1
	if s.rng.Float64() < s.duplication {
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
