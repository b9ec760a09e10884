package routing

import (
	"math"
	"time"
)

const (
	sameZoneSamples  = 8
	otherZoneSamples = 4
	drawCandidates   = 3 // number of best candidates of which two are drawn at random
	// drawCostMargin is the cost above that of the best candidate up to which a
	// candidate may be drawn. It is smaller than the error of the load reports.
	drawCostMargin = 15 * time.Millisecond
	// sharedSlotCost is the additional cost of a slot that any host may use, compared
	// with a slot reserved for this host.
	sharedSlotCost = 20 * time.Millisecond
	// maxQuotaScan limits how many targets are searched for a slot that the quotas
	// leave this host.
	maxQuotaScan       = 64
	maxQuotaCandidates = 6 // candidates added by that search
	// fullLoadCost is the slowdown of a fully loaded target relative to an idle one.
	fullLoadCost = 60 * time.Millisecond
)

// Pick chooses a target and reports whether one can take the request. It fills in
// d in either case.
func (t *Table) Pick(now time.Duration, q Query, d *Decision) bool {
	d.Chosen, d.Count, d.Ready = NoHandle, 0, 0
	g := t.groups[groupKey{pool: q.Pool, model: q.Model}]
	if g == nil {
		return false
	}
	d.Ready = len(g.sameZone) + len(g.otherZone)
	var slot *prefixSlot
	if q.Prefix != 0 {
		slot = t.prefixes.find(q.Model, q.Prefix)
	}
	t.collectCandidates(now, q, g, slot, d, false)
	if d.Count == 0 {
		// All sampled targets are ejected or excluded. Consider every target
		// once, including ejected ones, before refusing the request.
		t.collectCandidates(now, q, g, slot, d, true)
	}
	if d.Count == 0 {
		return false
	}
	d.Chosen = t.choose(d)
	return true
}

// collectCandidates fills in the candidates, best first. If all is set, it
// considers every target instead of a sample and does not skip ejected ones.
func (t *Table) collectCandidates(now time.Duration, q Query, g *group, slot *prefixSlot, d *Decision, all bool) {
	if slot != nil {
		for i := range slot.holders {
			if h := slot.holders[i]; h.valid && !t.states[h.target].removed && t.states[h.target].inGroup(g) {
				t.addCandidate(now, q, g, slot, h.target, d, all)
			}
		}
	}
	t.addQuotaCandidates(now, q, g, slot, d, all)
	near, far := sameZoneSamples, otherZoneSamples
	if len(g.sameZone) < near {
		far += near - len(g.sameZone)
	}
	if all {
		near, far = len(g.sameZone), len(g.otherZone)
	}
	t.sample(now, q, g, slot, g.sameZone, near, d, all)
	t.sample(now, q, g, slot, g.otherZone, far, d, all)
}

// sample considers up to n distinct random targets of a list. It starts at a random
// index and advances by a random step coprime to the length, so that it visits no
// target twice.
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
		t.addCandidate(now, q, g, slot, list[at], d, all)
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

// addCandidate adds a target to the candidates unless it is one already, is
// excluded, or is ejected and not due for a probe. If all is set, it adds ejected
// targets too.
func (t *Table) addCandidate(now time.Duration, q Query, g *group, slot *prefixSlot, h Handle, d *Decision, all bool) {
	s := t.states[h]
	if q.Exclude[s.Name] {
		return
	}
	probing := false
	if s.failures >= failuresToEject {
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

// mayProbe reports whether a request may be sent to an ejected target as a probe. An
// engine must have reported its load since its last failure, so that no request is
// wasted on an engine that is down.
func (s *targetState) mayProbe(now time.Duration) bool {
	if now < s.ejectedUntil || s.probes > 0 {
		return false
	}
	return !s.Engine || s.load.At > s.lastFailure
}

// insert adds a candidate in order of cost. If the list is full, it drops the most
// expensive one.
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

// estimate returns the current load of a target: the reported load adjusted for the
// requests that this host has sent and finished since. Other hosts act on the same
// stale reports, so their load is assumed to have changed in proportion to this
// host's, damped by othersDamping. The reported load of other hosts is blended with
// the mean over all targets by reportWeight, because loads revert to the mean.
func (t *Table) estimate(s *targetState) int {
	if !s.reported {
		return s.inflight
	}
	own := s.history.at(s.load.At, s.inflight)
	mean := t.allLoad - t.ownLoad
	others := float64(max(s.load.Running+s.load.Waiting-own, 0))
	others = mean + reportWeight*(others-mean)
	change := float64(s.inflight-own) * t.othersRatio * othersDamping
	return max(int(math.Round(others+float64(s.inflight)+change)), s.inflight)
}

// cost estimates the time to first token beyond that of an idle target in this
// host's zone, and reports whether the prompt prefix is probably cached.
func (t *Table) cost(now time.Duration, g *group, slot *prefixSlot, h Handle, load int) (time.Duration, bool) {
	s := t.states[h]
	cost := t.waitCost(now, g, s, load)
	if s.Zone != t.opts.Zone {
		cost += t.opts.ZoneCost
	}
	if !s.Engine {
		cost += time.Duration(s.firstToken * float64(time.Second))
	}
	if s.reported && s.load.At < g.newestReport-t.opts.StaleAfter {
		cost += silentCost
	}
	if now < s.avoidUntil {
		cost += avoidCost
	}
	prefix := false
	if slot != nil {
		for i := range slot.holders {
			if o := slot.holders[i]; o.valid && o.target == h {
				if c := o.confidence(s); c > 0 {
					cost -= time.Duration(c * float64(t.opts.PrefixGain))
					prefix = true
				}
			}
		}
	}
	return cost, prefix
}

// waitCost estimates the delay due to load: the wait for a slot and the slowdown by
// other requests. If the quotas leave this host a free slot, the load is ignored.
func (t *Table) waitCost(now time.Duration, g *group, s *targetState, load int) time.Duration {
	slots := max(s.Slots, 1)
	if now < t.quotaEnd[s.Pool] {
		switch free := s.quota - s.inflight; {
		case free > 0:
			return 0
		case free+s.sharedQuota > 0:
			return sharedSlotCost
		}
		// The quota is used up, so the target counts as full.
		load = max(load, slots)
	}
	cost := time.Duration(int64(fullLoadCost) * int64(min(load, slots)) / int64(slots))
	if over := load + 1 - slots; over > 0 {
		cost += time.Duration(g.duration * float64(over) / float64(slots) * float64(time.Second))
	}
	return cost
}

// choose draws two of the cheapest candidates and returns the cheaper one. A target
// that is due for a probe takes precedence, since only one request probes it at a time.
func (t *Table) choose(d *Decision) Handle {
	for i := range d.Count {
		if d.Candidates[i].Probing {
			return d.Candidates[i].Handle
		}
	}
	eligible := 1
	for eligible < d.Count && eligible < drawCandidates &&
		d.Candidates[eligible].Cost <= d.Candidates[0].Cost+drawCostMargin {
		eligible++
	}
	if eligible == 1 {
		return d.Candidates[0].Handle
	}
	a := t.rng.IntN(eligible)
	b := t.rng.IntN(eligible - 1)
	if b >= a {
		b++
	}
	return d.Candidates[min(a, b)].Handle // sorted by cost
}
