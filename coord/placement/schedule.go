package placement

import (
	"sort"
	"time"
)

// schedule orders the candidates and foresees when each is loaded. The shortest
// load for the most waiting requests comes first, which keeps the sum of all
// waits small, as long as every load then ends in time. Otherwise the earliest
// deadline comes first, so that none is missed for a load with a later one; a
// load that cannot make its deadline at its turn gives way to all that can.
func (d *Decider) schedule(cands []*candidate, f flights) {
	sort.SliceStable(cands, func(i, j int) bool { return d.shorter(cands[i], cands[j]) })
	if d.opt.ArrivalOrder || !d.allInTime(cands, f) {
		sort.SliceStable(cands, func(i, j int) bool { return d.before(cands[i], cands[j]) })
	}
	line := newTimeline(d.now, f, d.opt, &d.store)
	for _, c := range cands {
		if c.idle || d.opt.ArrivalOrder {
			continue
		}
		begin, end := line.foresee(c)
		if end > c.ms.deadline(end) {
			c.late = true
			continue
		}
		c.begin, c.end = begin, end
		line.take(c)
	}
	// A candidate without room takes no permit: it must not hold up others.
	for _, c := range cands {
		if !c.idle && !c.late && !d.opt.ArrivalOrder {
			continue
		}
		c.begin, c.end = line.foresee(c)
		line.take(c)
		c.late = c.late || !c.idle && c.end > c.ms.deadline(c.end)
	}
	sort.SliceStable(cands, func(i, j int) bool { return cands[i].begin < cands[j].begin })
	for _, c := range cands {
		d.tell(c)
	}
}

// shorter orders by the time of the load for each waiting request.
func (d *Decider) shorter(a, b *candidate) bool {
	if a.idle != b.idle {
		return b.idle
	}
	return a.est.Seconds()*float64(b.ms.waiting()) < b.est.Seconds()*float64(a.ms.waiting())
}

// allInTime reports whether the loads end by their deadlines in this order, as
// far as they could alone.
func (d *Decider) allInTime(cands []*candidate, f flights) bool {
	line := newTimeline(d.now, f, d.opt, &d.store)
	for _, c := range cands {
		if c.idle {
			continue
		}
		c.begin, c.end = line.foresee(c)
		if c.end > c.deadline && d.now+c.est <= c.deadline {
			return false
		}
		line.take(c)
	}
	return true
}

func (d *Decider) before(a, b *candidate) bool {
	if a.idle != b.idle {
		return b.idle
	}
	if d.opt.ArrivalOrder {
		return a.ms.firstWant() < b.ms.firstWant()
	}
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.est > b.est
}

// firstWant returns when the model was first waited for.
func (ms *modelState) firstWant() time.Duration { return ms.wantedAt }

// tell notes what callers are told. Those whose deadline the load will miss
// are told to come back, and the load is kept for them for a while.
func (d *Decider) tell(c *candidate) {
	if c.ms.waiting() == 0 {
		return
	}
	c.ms.readyBy = c.end
	if c.late {
		c.ms.promise = c.end + promiseLife
		d.promised[c.spec.Name] = true
	}
}

// start takes the next step towards loading a candidate.
func (d *Decider) start(c *candidate) {
	if c.at != nil {
		if c.begin > d.now {
			c.ms.reason = "waits for a permit of the weight store"
			return
		}
		if c.cache == CacheRemote && c.spec.Base == "" {
			d.store.tokens--
		}
		c.ms.reason = "loads into its slot on " + c.at.ts.rec.Target
		d.order(c.at.ts, c.at.slot, OrderLoad, "requests wait")
		d.drive(c.at.ts, c.at.slot, c.at.ts.orders[c.at.slot.Decision])
		return
	}
	if c.begin > d.now+slotLead {
		c.ms.reason = "waits for a permit of the weight store"
		return
	}
	if d.adding(c.ms) {
		return
	}
	d.place(c)
}
