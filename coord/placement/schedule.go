package placement

import (
	"sort"
	"time"
)

// schedule sorts the candidates by the expected start of their loads.
//
// The shortest load time per waiting request comes first, which minimizes the total
// waiting time, as long as all loads then meet their deadlines. Otherwise the
// earliest deadline comes first, so that no deadline is missed because of a load
// with a later one. Loads that cannot meet their deadlines come after all that can,
// and background loads last.
func (d *Decider) schedule(candidates []*candidate, loads activeLoads) {
	sort.SliceStable(candidates, func(i, j int) bool { return d.lessByLoadTime(candidates[i], candidates[j]) })
	if d.opt.ArrivalOrder || !d.allInTime(candidates, loads) {
		sort.SliceStable(candidates, func(i, j int) bool { return d.lessByDeadline(candidates[i], candidates[j]) })
	}
	t := newTimeline(d.now, loads, d.opt, &d.loadBucket)
	for _, c := range candidates {
		if c.background || d.opt.ArrivalOrder {
			continue
		}
		begin, end := t.predict(c)
		if end > c.ms.deadline(end) {
			c.late = true
			continue
		}
		c.begin, c.end = begin, end
		t.reserve(c)
	}
	// Late and background loads get the capacity that is left.
	for _, c := range candidates {
		if !c.background && !c.late && !d.opt.ArrivalOrder {
			continue
		}
		c.begin, c.end = t.predict(c)
		t.reserve(c)
		c.late = c.late || !c.background && c.end > c.ms.deadline(c.end)
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].begin < candidates[j].begin })
	for _, c := range candidates {
		d.setReadyBy(c)
	}
}

// lessByLoadTime orders candidates by load time per waiting request, background loads
// last.
func (d *Decider) lessByLoadTime(a, b *candidate) bool {
	if a.background != b.background {
		return b.background
	}
	return a.estimate.Seconds()*float64(b.ms.waiting()) < b.estimate.Seconds()*float64(a.ms.waiting())
}

// allInTime reports whether loads in this order meet their deadlines, apart from
// those that would miss them even if they started now.
func (d *Decider) allInTime(candidates []*candidate, loads activeLoads) bool {
	t := newTimeline(d.now, loads, d.opt, &d.loadBucket)
	for _, c := range candidates {
		if c.background {
			continue
		}
		c.begin, c.end = t.predict(c)
		if c.end > c.deadline && d.now+c.estimate <= c.deadline {
			return false
		}
		t.reserve(c)
	}
	return true
}

func (d *Decider) lessByDeadline(a, b *candidate) bool {
	if a.background != b.background {
		return b.background
	}
	if d.opt.ArrivalOrder {
		return a.ms.firstWaitAt() < b.ms.firstWaitAt()
	}
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.estimate > b.estimate
}

// firstWaitAt returns since when requests have been waiting for the model.
func (ms *modelState) firstWaitAt() time.Duration { return ms.waitingSince }

// setReadyBy sets when callers can expect the model. If the load will miss their
// deadlines, they are told to retry later, and the load is kept for the retries.
func (d *Decider) setReadyBy(c *candidate) {
	if c.ms.waiting() == 0 {
		return
	}
	c.ms.readyBy = c.end
	if c.late {
		c.ms.retryUntil = c.end + retryWindow
		d.expected[c.spec.Name] = true
	}
}

// startLoad orders the load into the empty slot of the candidate, or adds a slot.
// It does neither before the candidate's turn.
func (d *Decider) startLoad(c *candidate) {
	if c.emptySlot != nil {
		if c.begin > d.now {
			c.ms.reason = "waits for a permit of the weight store"
			return
		}
		if c.cache == CacheRemote && c.spec.Base == "" {
			d.loadBucket.tokens--
		}
		c.ms.reason = "loads into its slot on " + c.emptySlot.ts.rec.Target
		d.order(c.emptySlot.ts, c.emptySlot.slot, OrderLoad, "requests wait")
		d.advanceOrder(c.emptySlot.ts, c.emptySlot.slot, c.emptySlot.ts.orders[c.emptySlot.slot.Decision])
		return
	}
	if c.begin > d.now+slotLead {
		c.ms.reason = "waits for a permit of the weight store"
		return
	}
	if d.additionPending(c.ms) {
		return
	}
	d.addSlot(c)
}
