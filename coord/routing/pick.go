package routing

import (
	"math"
	"time"
)

const (
	nearSamples = 8
	farSamples  = 4
	fewBest     = 3 // candidates between which two are drawn
	// nearlyBest is how much more than the best a candidate may cost to be
	// drawn: less than what reports are wrong by anyhow.
	nearlyBest = 15 * time.Millisecond
	// commonCost is the cost of a slot that any host may use over that of a
	// slot which this host has for itself.
	commonCost = 20 * time.Millisecond
	// quotaScan bounds the targets looked at for a slot of this host's own.
	quotaScan = 64
	quotaTake = 6 // candidates taken from them
	// loadCost is the slowdown of a full target against an idle one.
	loadCost = 60 * time.Millisecond
)

// Pick chooses a target. It is false if none can take the request; d is filled
// in either case.
func (t *Table) Pick(now time.Duration, q Query, d *Decision) bool {
	d.Chosen, d.Count, d.Ready = NoHandle, 0, 0
	g := t.groups[groupKey{pool: q.Pool, model: q.Model}]
	if g == nil {
		return false
	}
	d.Ready = len(g.near) + len(g.far)
	var slot *prefixSlot
	if q.Prefix != 0 {
		slot = t.prefix.find(q.Model, q.Prefix)
	}
	t.gather(now, q, g, slot, d, false)
	if d.Count == 0 {
		// All that were drawn are ejected or excluded: look at every
		// target once, ejected ones included, rather than refuse.
		t.gather(now, q, g, slot, d, true)
	}
	if d.Count == 0 {
		return false
	}
	d.Chosen = t.choose(d)
	return true
}

// gather fills in the candidates, best first.
func (t *Table) gather(now time.Duration, q Query, g *group, slot *prefixSlot, d *Decision, all bool) {
	if slot != nil {
		for i := range slot.holders {
			if h := slot.holders[i]; h.known && !t.states[h.target].removed && t.states[h.target].has(g) {
				t.consider(now, q, g, slot, h.target, d, all)
			}
		}
	}
	t.considerQuota(now, q, g, slot, d, all)
	near, far := nearSamples, farSamples
	if len(g.near) < near {
		far += near - len(g.near)
	}
	if all {
		near, far = len(g.near), len(g.far)
	}
	t.sample(now, q, g, slot, g.near, near, d, all)
	t.sample(now, q, g, slot, g.far, far, d, all)
}

// sample considers up to n different targets of a list, chosen at random: a
// walk from a random place by a random step that meets each target once.
func (t *Table) sample(now time.Duration, q Query, g *group, slot *prefixSlot, list []Handle, n int, d *Decision, all bool) {
	size := len(list)
	if size == 0 {
		return
	}
	n = min(n, size)
	at := t.rng.IntN(size)
	step := 1
	if n < size {
		step = t.coprimeStep(size)
	}
	for range n {
		t.consider(now, q, g, slot, list[at], d, all)
		if at += step; at >= size {
			at -= size
		}
	}
}

func (t *Table) coprimeStep(size int) int {
	for {
		step := 1 + t.rng.IntN(size-1)
		if gcd(step, size) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// consider adds a target to the candidates unless it is there already or must
// not be used.
func (t *Table) consider(now time.Duration, q Query, g *group, slot *prefixSlot, h Handle, d *Decision, all bool) {
	s := t.states[h]
	if q.Exclude[s.Name] {
		return
	}
	probing := false
	if s.failures >= ejectFailures {
		probing = s.mayProbe(now)
		if !probing && !all {
			return
		}
	}
	for i := range d.Count {
		if d.Candidates[i].Handle == h {
			return
		}
	}
	c := Candidate{Handle: h, Load: t.estimate(s), Probing: probing}
	c.Cost, c.Prefix = t.cost(now, g, slot, h, c.Load)
	d.insert(c)
}

// mayProbe reports whether one request may try an ejected target. An engine
// must have reported since its last failure, so that no request is spent on
// one that is silent altogether.
func (s *state) mayProbe(now time.Duration) bool {
	if now < s.ejected || s.probes > 0 {
		return false
	}
	return !s.Engine || s.load.At > s.failed
}

// insert keeps the candidates sorted by cost; the worst is dropped if there
// are too many.
func (d *Decision) insert(c Candidate) {
	if d.Count == MaxCandidates {
		if d.Candidates[d.Count-1].Cost <= c.Cost {
			return
		}
		d.Count--
	}
	i := d.Count
	for i > 0 && d.Candidates[i-1].Cost > c.Cost {
		d.Candidates[i] = d.Candidates[i-1]
		i--
	}
	d.Candidates[i] = c
	d.Count++
}

// estimate returns the present load of a target: what was reported, corrected
// by what this host sent and finished since. Other hosts share the same stale
// view and act on it alike, so their part is taken to have changed as this
// host's did, damped by half. What was reported of them counts partly and the
// mean over all targets for the rest, since loads drift towards the mean.
func (t *Table) estimate(s *state) int {
	if !s.reported {
		return s.inflight
	}
	own := s.history.at(s.load.At, s.inflight)
	mean := t.allLoad - t.ownLoad
	others := float64(max(s.load.Running+s.load.Waiting-own, 0))
	others = mean + reportWeight*(others-mean)
	change := float64(s.inflight-own) * t.others * othersDamping
	return max(int(math.Round(others+float64(s.inflight)+change)), s.inflight)
}

// cost estimates by how much later a first token comes than from an idle
// target of the zone.
func (t *Table) cost(now time.Duration, g *group, slot *prefixSlot, h Handle, load int) (time.Duration, bool) {
	s := t.states[h]
	cost := t.waitCost(now, g, s, load)
	if s.Zone != t.opts.Zone {
		cost += t.opts.ZoneCost
	}
	if !s.Engine {
		cost += time.Duration(s.first * float64(time.Second))
	}
	if s.reported && s.load.At < g.fresh-t.opts.StaleAfter {
		cost += silentCost
	}
	if now < s.suspect {
		cost += suspectCost
	}
	prefix := false
	if slot != nil {
		for i := range slot.holders {
			if o := slot.holders[i]; o.known && o.target == h {
				if c := o.confidence(s); c > 0 {
					cost -= time.Duration(c * float64(t.opts.PrefixGain))
					prefix = true
				}
			}
		}
	}
	return cost, prefix
}

// waitCost estimates how long a request waits at a target for a slot.
func (t *Table) waitCost(now time.Duration, g *group, s *state, load int) time.Duration {
	slots := max(s.Slots, 1)
	if now < t.quotaEnd[s.Pool] {
		switch free := s.quota - s.inflight; {
		case free > 0:
			return 0
		case free+s.common > 0:
			return commonCost
		}
		// Beyond what the coordinator left for this host.
		load = max(load, slots)
	}
	cost := time.Duration(int64(loadCost) * int64(min(load, slots)) / int64(slots))
	if over := load + 1 - slots; over > 0 {
		cost += time.Duration(g.held * float64(over) / float64(slots) * float64(time.Second))
	}
	return cost
}

// choose draws two of the nearly best and takes the one with less load for its
// slots. A target that is to be probed is taken at once: it is one request.
func (t *Table) choose(d *Decision) Handle {
	for i := range d.Count {
		if d.Candidates[i].Probing {
			return d.Candidates[i].Handle
		}
	}
	few := 1
	for few < d.Count && few < fewBest && d.Candidates[few].Cost <= d.Candidates[0].Cost+nearlyBest {
		few++
	}
	if few == 1 {
		return d.Candidates[0].Handle
	}
	a := t.rng.IntN(few)
	b := t.rng.IntN(few - 1)
	if b >= a {
		b++
	}
	return d.Candidates[min(a, b)].Handle // sorted: the first costs less
}
