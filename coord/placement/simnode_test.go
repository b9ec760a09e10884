package placement

import (
	"fmt"
	"time"
)

// simNode is a process with a decider.
type simNode struct {
	s      *sim
	d      *Decider
	opt    Options
	paused bool
	backed []func() // what waits for the end of a pause
	gen    int      // rises with each restart
}

func (s *sim) addNode(opt Options) *simNode {
	n := &simNode{s: s, opt: opt}
	s.nodes = append(s.nodes, n)
	n.restart()
	return n
}

func (n *simNode) restart() {
	n.gen++
	opt := n.opt
	opt.ID = fmt.Sprintf("%s.%d", n.opt.ID, n.gen)
	opt.Assert = func(ok bool, what Invariant, detail func() string) {
		if !ok {
			n.s.fail("%s asserts %s: %s", opt.ID, what, detail())
		}
	}
	n.d = NewDecider(opt)
	n.d.Configure(n.s.specs, n.s.models)
}

// do runs f on the node, after its pause if it is paused.
func (n *simNode) do(gen int, f func()) {
	switch {
	case gen != n.gen:
	case n.paused:
		n.backed = append(n.backed, func() { n.do(gen, f) })
	default:
		f()
	}
}

func (n *simNode) pause(d time.Duration) {
	n.paused = true
	n.s.after(d, func() {
		n.paused = false
		backed := n.backed
		n.backed = nil
		for _, f := range backed {
			f()
		}
	})
}

func (n *simNode) step() {
	for _, a := range n.d.Step(n.s.now) {
		n.perform(a)
	}
}

func (n *simNode) finish(gen int, wait time.Duration, r Result) {
	n.s.after(wait, func() {
		n.do(gen, func() {
			n.d.Done(n.s.now, r)
			n.step()
		})
	})
}

func (n *simNode) perform(a Action) {
	if a.Kind == SendOrder {
		n.send(a)
		return
	}
	gen := n.gen
	if n.s.down || n.s.chance(0.02) {
		n.finish(gen, time.Millisecond, Result{Action: a, Outcome: Failed})
		return
	}
	there := n.s.upTo(2 * time.Millisecond)
	if n.s.chance(0.05) {
		there = n.s.upTo(5 * time.Second)
	}
	n.s.after(there, func() {
		r := n.s.apply(a)
		if r.Outcome == Succeeded && n.s.chance(0.05) {
			r.Outcome = Unknown
		}
		n.finish(gen, n.s.upTo(2*time.Millisecond), r)
	})
}

// send delivers an order, late at times, twice at times, or never.
func (n *simNode) send(a Action) {
	gen := n.gen
	wait := n.s.upTo(2 * time.Millisecond)
	if n.s.chance(0.1) {
		wait = n.s.upTo(20 * time.Second) // the sender is paused before it sends
	}
	n.s.after(wait, func() {
		if n.s.now >= a.Expires {
			n.finish(gen, 0, Result{Action: a, Outcome: Failed})
			return
		}
		n.deliver(a, gen)
		if n.s.chance(0.1) {
			n.deliver(a, gen)
		}
	})
}

func (n *simNode) deliver(a Action, gen int) {
	e := n.s.engines[a.Name]
	if e.down {
		n.finish(gen, time.Millisecond, Result{Action: a, Outcome: Failed})
		return
	}
	way := n.s.upTo(time.Millisecond)
	if n.s.chance(0.1) {
		way = n.s.upTo(e.spec.OrderTTL)
	}
	inc := e.inc
	lost := n.s.chance(0.05)
	n.s.after(way, func() {
		// A connection ends with the incarnation it was made to.
		if lost || e.down || e.inc != inc {
			n.finish(gen, time.Second, Result{Action: a, Outcome: Unknown})
			return
		}
		r := Result{Action: a, Outcome: e.take(a.Order)}
		if n.s.chance(0.1) {
			r.Outcome = Unknown
		}
		n.finish(gen, n.s.upTo(time.Millisecond), r)
	})
}

// poll reads reports, which arrive late and overtake one another at times.
func (n *simNode) poll() {
	gen := n.gen
	for _, spec := range n.s.specs {
		e := n.s.engines[spec.Name]
		if e.down || n.s.chance(0.1) {
			continue
		}
		rep := e.report()
		wait := n.s.upTo(2 * time.Millisecond)
		if n.s.chance(0.2) {
			wait = n.s.upTo(3 * time.Second)
		}
		n.s.after(wait, func() {
			n.do(gen, func() { n.d.Report(n.s.now, spec.Name, rep) })
		})
	}
}

// sync lists the records.
func (n *simNode) sync() {
	if n.s.down {
		return
	}
	began, gen := n.s.now, n.gen
	var ts []StoredTarget
	var cs []StoredClaims
	for _, t := range n.s.targets {
		ts = append(ts, StoredTarget{Record: t.Record.Clone(), Version: t.Version})
	}
	for _, c := range n.s.claims {
		cs = append(cs, StoredClaims{Record: c.Record.Clone(), Version: c.Version})
	}
	floor := n.s.version
	n.s.after(n.s.upTo(10*time.Millisecond), func() {
		n.do(gen, func() { n.d.Sync(n.s.now, began, ts, cs, floor) })
	})
}
