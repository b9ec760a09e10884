package placement

import "time"

// timeline predicts when loads begin and end under the limits of the weight store:
// Options.StoreRate, StoreParallel and AdapterParallel.
type timeline struct {
	now           time.Duration
	lanes         []time.Duration // when each of the StoreParallel lanes is free for its next load
	nextStart     time.Duration   // earliest start of the next load from the weight store
	startInterval time.Duration   // between such starts
	adapters      int             // further adapter loads that may start now
}

func newTimeline(now time.Duration, loads activeLoads, opt Options, bucket *tokenBucket) *timeline {
	t := &timeline{
		now:           now,
		nextStart:     now,
		startInterval: time.Duration(float64(time.Second) / opt.StoreRate),
		adapters:      opt.AdapterParallel - loads.adapters,
		lanes:         make([]time.Duration, opt.StoreParallel),
	}
	for i := range t.lanes {
		t.lanes[i] = now
	}
	for _, end := range loads.remote {
		lane := t.lane()
		t.lanes[lane] = max(t.lanes[lane], end)
	}
	if !bucket.available(now) {
		t.nextStart = now + time.Duration((1-bucket.tokens)/bucket.rate*float64(time.Second)) + time.Millisecond
	}
	return t
}

// lane returns the index of the lane that becomes free first.
func (t *timeline) lane() int {
	best := 0
	for i, end := range t.lanes {
		if end < t.lanes[best] {
			best = i
		}
	}
	return best
}

// predict returns the expected begin and end of the candidate's load if it is next.
func (t *timeline) predict(c *candidate) (begin, end time.Duration) {
	begin = t.now
	switch {
	case c.spec.Base != "" && t.adapters <= 0:
		begin = t.now + c.estimate
	case c.spec.Base == "" && c.cache == CacheRemote:
		begin = max(t.lanes[t.lane()], t.nextStart)
	}
	return begin, begin + c.estimate
}

// reserve assigns the predicted time to the candidate's load. A candidate without
// room reserves nothing, so that it does not delay others.
func (t *timeline) reserve(c *candidate) {
	switch {
	case !c.hasRoom:
	case c.spec.Base != "":
		t.adapters--
	case c.cache == CacheRemote:
		t.lanes[t.lane()] = c.end
		t.nextStart = c.begin + t.startInterval
	}
}
