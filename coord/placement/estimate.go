package placement

import (
	"math"
	"time"
)

// route is the way by which weights reach a target: the places of the cache,
// and for adapters one of their own, which is far faster than the weight store
// for their size.
type route int

const (
	routeAdapter = route(CacheMemory) + 1
	routes       = int(routeAdapter) + 1
)

// routeOf returns the way of a load.
func routeOf(c Cache, base string) route {
	if base != "" {
		return routeAdapter
	}
	return route(c)
}

// adapterSpeed is the first estimate of bytes a second of an adapter's load.
const adapterSpeed = 25e9

// estimator learns how fast weights load by each route.
type estimator struct {
	speed [routes]float64 // bytes a second
	floor time.Duration
}

// speedGain is the weight of a new measurement of loading speed.
const speedGain = 0.3

func newEstimator(speed [3]float64, floor time.Duration) estimator {
	e := estimator{floor: floor}
	copy(e.speed[:], speed[:])
	e.speed[routeAdapter] = adapterSpeed
	return e
}

// time returns the expected duration of a load.
func (e *estimator) time(by route, bytes int64) time.Duration {
	seconds := float64(bytes) / e.speed[by]
	return max(e.floor, time.Duration(seconds*float64(time.Second)))
}

// measured takes in the duration of a finished load.
func (e *estimator) measured(by route, bytes int64, took time.Duration) {
	if took <= 0 {
		return
	}
	speed := float64(bytes) / took.Seconds()
	e.speed[by] = math.Exp((1-speedGain)*math.Log(e.speed[by]) + speedGain*math.Log(speed))
}

// slower takes in a load that is still not finished after the given time.
func (e *estimator) slower(by route, bytes int64, sofar time.Duration) {
	if bound := float64(bytes) / sofar.Seconds(); bound < e.speed[by] {
		e.speed[by] = bound
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
