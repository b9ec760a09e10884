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
