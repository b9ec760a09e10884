package placement

import (
	"math"
	"time"
)

// gapBuckets is the number of buckets of a gapHistogram. Bucket i holds the
// gaps below gapEdge(i), which doubles from bucket to bucket: 2 s to 2.3 h.
const gapBuckets = 13

func gapEdge(i int) time.Duration { return time.Duration(2<<i) * time.Second }

// gapHistogram counts the gaps between uses by length.
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

// fade lets older gaps count less.
func (h *gapHistogram) fade(factor float32) {
	for i := range h {
		h[i] *= factor
	}
}

// keepTime returns the time to keep a model after its last use that costs
// least: the time it is kept idle, plus cold for each return that comes later.
func (h *gapHistogram) keepTime(cold, limit time.Duration) time.Duration {
	best := limit
	bestCost := math.Inf(1)
	for i := range h {
		keep := min(gapEdge(i), limit)
		if cost := h.cost(keep, cold); cost < bestCost {
			best, bestCost = keep, cost
		}
	}
	return best
}

func (h *gapHistogram) cost(keep, cold time.Duration) float64 {
	var cost float64
	for i, n := range h {
		typical := gapEdge(i) * 3 / 4
		if gapEdge(i) <= keep {
			cost += float64(n) * typical.Seconds()
			continue
		}
		cost += float64(n) * (keep + cold).Seconds()
	}
	return cost
}

// usage is the history of a model's uses.
type usage struct {
	gaps  gapHistogram
	last  time.Duration // last arrival
	count int
	mean  float64 // of the gaps between visits, seconds, weighted to the recent ones
	dev   float64 // mean absolute deviation of those
}

const (
	usageGain = 0.25
	minVisits = 4                // visits seen before the next is predicted
	sameVisit = 30 * time.Second // a shorter gap does not end a visit
	ownWeight = 8                // gaps of a model that count as much as the history of all
	gapFade   = 0.98             // of the older gaps of a model at each new one
)

// arrive takes in a use; lastUse is when the model was last in use before.
func (d *Decider) arrive(ms *modelState, now time.Duration) {
	if ms.use.last > 0 {
		gap := now - ms.lastUse
		ms.use.gaps.fade(gapFade)
		ms.use.gaps.add(gap)
		d.gaps.add(gap)
		ms.use.visit(gap)
	}
	ms.use.last = now
}

// visit learns the gaps between visits.
func (u *usage) visit(gap time.Duration) {
	if gap < sameVisit {
		return
	}
	u.count++
	g := gap.Seconds()
	if u.count == 1 {
		u.mean = g
		u.dev = g / 2
		return
	}
	u.dev += usageGain * (math.Abs(g-u.mean) - u.dev)
	u.mean += usageGain * (g - u.mean)
}

// rate returns the expected returns a second of a model in use until lastUse;
// it falls while none comes.
func (u *usage) rate(now, lastUse time.Duration) float64 {
	idle := max((now - lastUse).Seconds(), 1)
	if u.count == 0 {
		return 1 / (2 * idle)
	}
	return 1 / max(u.mean, idle)
}

// next returns when the next visit is expected at the earliest; ok is false if
// the visits are too irregular to tell.
func (u *usage) next(lastUse time.Duration) (time.Duration, bool) {
	if u.count < minVisits || u.dev > u.mean/8 {
		return 0, false
	}
	return lastUse + time.Duration((u.mean-2*u.dev)*float64(time.Second)), true
}

// keep returns how long the model is kept loaded after its last use.
func (d *Decider) keep(ms *modelState, spec *ModelSpec) time.Duration {
	if d.opt.ColdStartCost == 0 {
		return spec.Idle
	}
	// The history of all models stands in for that of one with few gaps.
	mixed := ms.use.gaps
	if all := d.gaps.total(); all > 0 {
		for i := range mixed {
			mixed[i] += d.gaps[i] * float32(ownWeight/all)
		}
	}
	return max(d.opt.MinResident, mixed.keepTime(d.opt.ColdStartCost, spec.Idle))
}
