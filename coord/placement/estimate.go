package placement

import (
	"math"
	"time"
)

// route classifies loads by the way their weights reach the target: one route for
// each CacheTier, and one for adapters, which load far faster for their size than
// base models do from the weight store.
type route int

const (
	routeAdapter = route(CacheMemory) + 1
	numRoutes    = int(routeAdapter) + 1
)

// routeOf returns the route of a load. Base is empty for a base model.
func routeOf(c CacheTier, base string) route {
	if base != "" {
		return routeAdapter
	}
	return route(c)
}

// initialAdapterSpeed is the initial estimate for adapters, in bytes per second.
const initialAdapterSpeed = 25e9

// estimator estimates the duration of loads from the measured speed of each route.
type estimator struct {
	speed   [numRoutes]float64 // bytes per second
	minTime time.Duration
}

// speedSmoothing is the weight of a new measurement in the moving average.
const speedSmoothing = 0.3

func newEstimator(speed [3]float64, minTime time.Duration) estimator {
	e := estimator{minTime: minTime}
	copy(e.speed[:], speed[:])
	e.speed[routeAdapter] = initialAdapterSpeed
	return e
}

// loadTime returns the expected duration of a load.
func (e *estimator) loadTime(via route, bytes int64) time.Duration {
	seconds := float64(bytes) / e.speed[via]
	return max(e.minTime, time.Duration(seconds*float64(time.Second)))
}

// observe records the duration of a finished load.
func (e *estimator) observe(via route, bytes int64, took time.Duration) {
	if took <= 0 {
		return
	}
	speed := float64(bytes) / took.Seconds()
	e.speed[via] = math.Exp((1-speedSmoothing)*math.Log(e.speed[via]) + speedSmoothing*math.Log(speed))
}

// observeUnfinished lowers the speed of the route if a load that is still not
// finished shows that it is lower than estimated.
func (e *estimator) observeUnfinished(via route, bytes int64, elapsed time.Duration) {
	if bound := float64(bytes) / elapsed.Seconds(); bound < e.speed[via] {
		e.speed[via] = bound
	}
}

// tokenBucket limits the rate at which loads from the weight store start. It holds at
// most one token and gains rate tokens per second.
type tokenBucket struct {
	rate      float64
	tokens    float64
	updatedAt time.Duration
}

func (b *tokenBucket) available(now time.Duration) bool {
	b.tokens = min(1, b.tokens+b.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	return b.tokens >= 1-1e-9
}
