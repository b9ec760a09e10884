package placement

import (
	"math"
	"time"
)

// estimator learns how fast weights load from each place of the cache.
type estimator struct {
	speed [3]float64 // bytes a second, by Cache
	floor time.Duration
}

// speedGain is the weight of a new measurement of loading speed.
const speedGain = 0.3

func newEstimator(speed [3]float64, floor time.Duration) estimator {
	return estimator{speed: speed, floor: floor}
}

// time returns the expected duration of a load.
func (e *estimator) time(c Cache, bytes int64) time.Duration {
	seconds := float64(bytes) / e.speed[c]
	return max(e.floor, time.Duration(seconds*float64(time.Second)))
}

// measured takes in the duration of a finished load.
func (e *estimator) measured(c Cache, bytes int64, took time.Duration) {
	if took <= 0 {
		return
	}
	speed := float64(bytes) / took.Seconds()
	e.speed[c] = math.Exp((1-speedGain)*math.Log(e.speed[c]) + speedGain*math.Log(speed))
}

// slower takes in a load that is still not finished after the given time.
func (e *estimator) slower(c Cache, bytes int64, sofar time.Duration) {
	if bound := float64(bytes) / sofar.Seconds(); bound < e.speed[c] {
		e.speed[c] = bound
	}
}

// permits is the token bucket of loads started from the weight store.
type permits struct {
	rate   float64
	tokens float64
	at     time.Duration
}

func (p *permits) available(now time.Duration) bool {
	p.tokens = min(1, p.tokens+p.rate*(now-p.at).Seconds())
	p.at = now
	return p.tokens >= 1-1e-9
}

// usage is the history of a model's requests: the mean gap between them and
// its deviation, weighted to the recent ones.
type usage struct {
	last  time.Duration
	count int
	mean  float64 // seconds
	dev   float64 // seconds, mean absolute deviation
}

const (
	usageGain    = 0.25
	gapThreshold = 1.0 // seconds; requests closer than that belong to one visit
	minVisits    = 4   // gaps seen before the next is predicted
)

// arrive takes in a use.
func (u *usage) arrive(now time.Duration) {
	gap := (now - u.last).Seconds()
	first := u.count == 0
	u.last = now
	if first {
		u.count = 1
		return
	}
	if gap < gapThreshold {
		return
	}
	u.count++
	if u.count == 2 {
		u.mean = gap
		u.dev = gap / 2
		return
	}
	u.dev += usageGain * (math.Abs(gap-u.mean) - u.dev)
	u.mean += usageGain * (gap - u.mean)
}

// rate returns the expected uses a second, falling while none comes.
func (u *usage) rate(now time.Duration) float64 {
	idle := max((now - u.last).Seconds(), 1)
	if u.count < 2 {
		return 1 / (2 * idle)
	}
	return 1 / max(u.mean, idle)
}

// next returns when the next use is expected at the earliest; ok is false if
// the gaps are too irregular to tell.
func (u *usage) next() (time.Duration, bool) {
	if u.count < minVisits || u.dev > u.mean/4 {
		return 0, false
	}
	return u.last + time.Duration((u.mean-2*u.dev)*float64(time.Second)), true
}
