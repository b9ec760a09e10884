package placement

import (
	"math"
	"time"
)

// gapBuckets is the number of buckets of a gapHistogram. Bucket i holds the gaps below
// gapEdge(i), which doubles from bucket to bucket from 2 s to 2.3 h. The last bucket
// also holds all longer gaps.
const gapBuckets = 13

func gapEdge(i int) time.Duration { return time.Duration(2<<i) * time.Second }

// gapHistogram counts the gaps between uses of a model by length.
type gapHistogram [gapBuckets]float32

func (h *gapHistogram) add(gap time.Duration) {
	for i := range h {
		if gap < gapEdge(i) || i == gapBuckets-1 {
			h[i]++
			return
		}
	}
}

func (h *gapHistogram) total() float64 {
	var sum float64
	for _, n := range h {
		sum += float64(n)
	}
	return sum
}

// decay reduces the weight of the gaps counted so far.
func (h *gapHistogram) decay(factor float32) {
	for i := range h {
		h[i] *= factor
	}
}

// bestKeepTime returns for how long to keep a model loaded after its last use, at
// most limit. It minimizes the idle time plus coldCost for each use that comes later.
func (h *gapHistogram) bestKeepTime(coldCost, limit time.Duration) time.Duration {
	best := limit
	bestCost := math.Inf(1)
	for i := range h {
		keep := min(gapEdge(i), limit)
		if cost := h.cost(keep, coldCost); cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return best
}

func (h *gapHistogram) cost(keep, coldCost time.Duration) float64 {
	var cost float64
	for i, n := range h {
		typical := gapEdge(i) * 3 / 4
		if gapEdge(i) <= keep {
			cost += float64(n) * typical.Seconds()
			continue
		}
		cost += float64(n) * (keep + coldCost).Seconds()
	}
	return cost
}

// usage is the history of a model's uses. Uses with short gaps between them form a
// session.
type usage struct {
	gaps         gapHistogram
	lastArrival  time.Duration // of a use
	sessionGaps  int
	meanGap      float64 // moving average of the gaps between sessions, in seconds
	gapDeviation float64 // moving average of their absolute deviation from meanGap
}

const (
	sessionSmoothing = 0.25
	minSessionGaps   = 4                // fewer gaps do not predict the next session
	sessionTimeout   = 30 * time.Second // a shorter gap does not end a session
	sharedWeight     = 8                // the gaps of all models together count as this many gaps of one
	gapDecay         = 0.98             // factor for the older gaps of a model at each new one
)

// recordArrival records a new use of a model. The previous use ended at ms.lastUse.
func (d *Decider) recordArrival(ms *modelState, now time.Duration) {
	if ms.usage.lastArrival > 0 {
		gap := now - ms.lastUse
		ms.usage.gaps.decay(gapDecay)
		ms.usage.gaps.add(gap)
		d.gaps.add(gap)
		ms.usage.addSessionGap(gap)
	}
	ms.usage.lastArrival = now
}

// addSessionGap updates the moving averages if the gap separates two sessions.
func (u *usage) addSessionGap(gap time.Duration) {
	if gap < sessionTimeout {
		return
	}
	u.sessionGaps++
	g := gap.Seconds()
	if u.sessionGaps == 1 {
		u.meanGap = g
		u.gapDeviation = g / 2
		return
	}
	u.gapDeviation += sessionSmoothing * (math.Abs(g-u.meanGap) - u.gapDeviation)
	u.meanGap += sessionSmoothing * (g - u.meanGap)
}

// returnRate returns the expected rate of sessions per second of a model last used
// at lastUse. It falls as the model stays unused.
func (u *usage) returnRate(now, lastUse time.Duration) float64 {
	idle := max((now - lastUse).Seconds(), 1)
	if u.sessionGaps == 0 {
		return 1 / (2 * idle)
	}
	return 1 / max(u.meanGap, idle)
}

// nextSession returns when the next session is expected at the earliest, or false if
// the sessions are too few or too irregular to predict it.
func (u *usage) nextSession(lastUse time.Duration) (time.Duration, bool) {
	if u.sessionGaps < minSessionGaps || u.gapDeviation > u.meanGap/8 {
		return 0, false
	}
	return lastUse + time.Duration((u.meanGap-2*u.gapDeviation)*float64(time.Second)), true
}

// keepTime returns how long the model is kept loaded after its last use.
func (d *Decider) keepTime(ms *modelState, spec *ModelSpec) time.Duration {
	if d.opt.ColdStartCost == 0 {
		return spec.Idle
	}
	// The gaps of all models make up for the short history of a rarely used one.
	mixed := ms.usage.gaps
	if all := d.gaps.total(); all > 0 {
		for i := range mixed {
			mixed[i] += d.gaps[i] * float32(sharedWeight/all)
		}
	}
	return max(d.opt.MinResident, mixed.bestKeepTime(d.opt.ColdStartCost, spec.Idle))
}
