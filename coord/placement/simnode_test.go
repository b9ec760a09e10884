package placement

import (
	"fmt"
	"time"
)

// simNode is a simulated process that runs a decider.
type simNode struct {
	sim        *sim
	decider    *Decider
	opt        Options
	paused     bool
	deferred   []func() // calls to make when the pause ends
	generation int      // number of restarts
}

func (s *sim) addNode(opt Options) *simNode {
	n := &simNode{sim: s, opt: opt}
	s.nodes = append(s.nodes, n)
	n.restart()
	return n
}

func (n *simNode) restart() {
	n.generation++
	opt := n.opt
	opt.ID = fmt.Sprintf("%s.%d", n.opt.ID, n.generation)
	opt.Assert = func(ok bool, what Invariant, detail func() string) {
		if !ok {
			n.sim.fail("%s asserts %s: %s", opt.ID, what, detail())
		}
	}
	n.decider = NewDecider(opt)
	n.decider.Configure(n.sim.specs, n.sim.models)
}

// run calls f unless the node has restarted since the given generation. If the node
// is paused, it calls f when the pause ends.
func (n *simNode) run(generation int, f func()) {
	switch {
	case generation != n.generation:
	case n.paused:
		n.deferred = append(n.deferred, func() { n.run(generation, f) })
	default:
		f()
	}
}

func (n *simNode) pause(d time.Duration) {
	n.paused = true
	n.sim.after(d, func() {
		n.paused = false
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			f()
		}
	})
}

func (n *simNode) step() {
	for _, a := range n.decider.Step(n.sim.now) {
		n.perform(a)
	}
}

func (n *simNode) complete(generation int, wait time.Duration, r Result) {
	n.sim.after(wait, func() {
		n.run(generation, func() {
			n.decider.Done(n.sim.now, r)
			n.step()
		})
	})
}

func (n *simNode) perform(a Action) {
	if a.Kind == SendOrder {
		n.sendOrder(a)
		return
	}
	generation := n.generation
	if n.sim.storeDown || n.sim.chance(0.02) {
		n.complete(generation, time.Millisecond, Result{Action: a, Outcome: Failed})
		return
	}
	wait := n.sim.randUpTo(2 * time.Millisecond)
	if n.sim.chance(0.05) {
		wait = n.sim.randUpTo(5 * time.Second)
	}
	n.sim.after(wait, func() {
		r := n.sim.apply(a)
		if r.Outcome == Succeeded && n.sim.chance(0.05) {
			r.Outcome = Unknown
		}
		n.complete(generation, n.sim.randUpTo(2*time.Millisecond), r)
	})
}

// sendOrder sends an order unless it has expired. With faults, it is sometimes sent
// late or twice, or is lost.
func (n *simNode) sendOrder(a Action) {
	generation := n.generation
	wait := n.sim.randUpTo(2 * time.Millisecond)
	if n.sim.chance(0.1) {
		wait = n.sim.randUpTo(20 * time.Second) // the sender is paused before it sends
	}
	n.sim.after(wait, func() {
		if n.sim.now >= a.Expires {
			n.complete(generation, 0, Result{Action: a, Outcome: Failed})
			return
		}
		n.deliverOrder(a, generation)
		if n.sim.chance(0.1) {
			n.deliverOrder(a, generation)
		}
	})
}

func (n *simNode) deliverOrder(a Action, generation int) {
	e := n.sim.engines[a.Name]
	if e.down {
		n.complete(generation, time.Millisecond, Result{Action: a, Outcome: Failed})
		return
	}
	delay := n.sim.randUpTo(time.Millisecond)
	if n.sim.chance(0.1) {
		delay = n.sim.randUpTo(e.spec.OrderTTL)
	}
	incarnation := e.incarnation
	lost := n.sim.chance(0.05)
	n.sim.after(delay, func() {
		// A connection does not outlive the engine's incarnation.
		if lost || e.down || e.incarnation != incarnation {
			n.complete(generation, time.Second, Result{Action: a, Outcome: Unknown})
			return
		}
		r := Result{Action: a, Outcome: e.handleOrder(a.Order)}
		if n.sim.chance(0.1) {
			r.Outcome = Unknown
		}
		n.complete(generation, n.sim.randUpTo(time.Millisecond), r)
	})
}

// poll reads the reports of the engines. With faults, they are sometimes delayed, so
// that a later report overtakes an earlier one.
func (n *simNode) poll() {
	generation := n.generation
	for _, spec := range n.sim.specs {
		e := n.sim.engines[spec.Name]
		if e.down || n.sim.chance(0.1) {
			continue
		}
		rep := e.report()
		wait := n.sim.randUpTo(2 * time.Millisecond)
		if n.sim.chance(0.2) {
			wait = n.sim.randUpTo(3 * time.Second)
		}
		n.sim.after(wait, func() {
			n.run(generation, func() { n.decider.RecordReport(n.sim.now, spec.Name, rep) })
		})
	}
}

// sync lists the records and passes the list to the decider.
func (n *simNode) sync() {
	if n.sim.storeDown {
		return
	}
	began, generation := n.sim.now, n.generation
	var ts []StoredTarget
	var cs []StoredClaims
	for _, t := range n.sim.targets {
		ts = append(ts, StoredTarget{Record: t.Record.Clone(), Version: t.Version})
	}
	for _, c := range n.sim.claims {
		cs = append(cs, StoredClaims{Record: c.Record.Clone(), Version: c.Version})
	}
	listVersion := n.sim.version
	n.sim.after(n.sim.randUpTo(10*time.Millisecond), func() {
		n.run(generation, func() { n.decider.Sync(n.sim.now, began, ts, cs, listVersion) })
	})
}
