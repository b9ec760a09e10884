package coordinator

import "time"

// storeLoadLimit is an adaptive limit of concurrent loads from the weight store. It derives
// from the durations of loads how many of them run at full speed: the store reports no
// limit, and beyond it all loads take proportionally longer.
type storeLoadLimit struct {
	limit  int // concurrent loads
	slowAt int // concurrency at which loads were slow, or 0 if unknown
}

// Bounds of storeLoadLimit, and the ratios of a load's duration to that at full speed from
// which it counts as slow and up to which it counts as fast.
const (
	minStoreLoads = 2 // the weight store serves this many at full speed on the largest sites
	maxStoreLoads = 4 // more would block too many engines for swaps
	slowRatio     = 1.25
	fastRatio     = 1.12 // the measured time includes an unload and the delay of reports
)

func newStoreLoadLimit() storeLoadLimit { return storeLoadLimit{limit: minStoreLoads} }

// observe adjusts the limit after a load, given its duration, its duration at full speed
// and the highest number of concurrent loads during it.
func (l *storeLoadLimit) observe(took, fullSpeed time.Duration, concurrent int) {
	ratio := took.Seconds() / fullSpeed.Seconds()
	switch {
	case concurrent >= l.limit && ratio <= fastRatio && (l.slowAt == 0 || l.limit+1 < l.slowAt):
		l.limit = min(maxStoreLoads, l.limit+1)
	case concurrent <= l.limit && concurrent > minStoreLoads && ratio >= slowRatio:
		l.limit, l.slowAt = max(minStoreLoads, concurrent-1), concurrent
	}
}

// recordConcurrency raises the concurrency of all loads from the weight store in progress
// to n.
func (c *Coordinator) recordConcurrency(n int) {
	for _, m := range c.moves {
		if m.fullSpeedTime > 0 {
			m.concurrent = max(m.concurrent, n)
		}
	}
}
