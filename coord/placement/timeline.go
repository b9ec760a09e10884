package placement

import "time"

// timeline foresees when loads begin and end under the weight store's limits:
// starts a second, loads at once at full speed, adapters in flight.
type timeline struct {
	now      time.Duration
	lanes    []time.Duration // when each of the parallel loads ends
	gate     time.Duration   // when the next load may start
	gap      time.Duration   // between starts
	adapters int             // further adapters that may start now
}

func newTimeline(now time.Duration, f flights, opt Options, store *permits) *timeline {
	t := &timeline{
		now:      now,
		gate:     now,
		gap:      time.Duration(float64(time.Second) / opt.StoreRate),
		adapters: opt.AdapterParallel - f.adapters,
		lanes:    make([]time.Duration, opt.StoreParallel),
	}
	for i := range t.lanes {
		t.lanes[i] = now
	}
	for _, end := range f.remote {
		lane := t.lane()
		t.lanes[lane] = max(t.lanes[lane], end)
	}
	if !store.available(now) {
		t.gate = now + time.Duration((1-store.tokens)/store.rate*float64(time.Second)) + time.Millisecond
	}
	return t
}

// lane returns the parallel load that ends first.
func (t *timeline) lane() int {
	best := 0
	for i, end := range t.lanes {
		if end < t.lanes[best] {
			best = i
		}
	}
	return best
}

// foresee returns begin and end of the candidate's load if it comes next.
func (t *timeline) foresee(c *candidate) (begin, end time.Duration) {
	begin = t.now
	switch {
	case c.spec.Base != "" && t.adapters <= 0:
		begin = t.now + c.est
	case c.spec.Base == "" && c.cache == CacheRemote:
		begin = max(t.lanes[t.lane()], t.gate)
	}
	return begin, begin + c.est
}

// take uses the permits of the candidate.
func (t *timeline) take(c *candidate) {
	switch {
	case !c.room:
	case c.spec.Base != "":
		t.adapters--
	case c.cache == CacheRemote:
		t.lanes[t.lane()] = c.end
		t.gate = c.begin + t.gap
	}
}
