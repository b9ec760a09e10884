package placement

import (
	"sort"
	"time"
)

// A sweep looks for idle models among those with slots. It takes idleSweepPeriod and
// is done in sweepParts parts. If that would put more than maxSweepPart models into a
// part, the sweep takes longer instead, which bounds the time of a step.
const (
	idleSweepPeriod = time.Second
	sweepParts      = 10
	maxSweepPart    = 200
)

// victim is a slot that may be evicted, together with the slots that depend on it. Its
// cost is the sum of their costs, see evictionCost.
type victim struct {
	slots []*Slot // the slot, and for a base model the slots of its adapters
	bytes int64
	cost  float64
}

// evictionDelay is the time from choosing victims until a new slot fits.
const evictionDelay = 100 * time.Millisecond

// makeRoomAtCachedCopy makes room on a target with a faster cached copy than ts has,
// if that speeds up the load by more than the eviction costs.
func (d *Decider) makeRoomAtCachedCopy(c *candidate, ts *targetState) bool {
	current := ts.cacheOf(c.spec.Name)
	for cache := CacheMemory; cache > current; cache-- {
		gain := d.estimator.loadTime(route(current), c.spec.Bytes) - d.estimator.loadTime(route(cache), c.spec.Bytes) - evictionDelay
		if gain > 0 && d.makeRoom(&c.spec, cache, gain.Seconds()) {
			return true
		}
	}
	return false
}

// makeRoom frees memory for a slot of the model. Among the targets whose cached copy
// is at least minCache it picks the one with the lowest eviction cost below maxCost,
// and retires the victims there. It reports whether enough memory is being freed.
func (d *Decider) makeRoom(spec *ModelSpec, minCache CacheTier, maxCost float64) bool {
	var best *targetState
	var bestVictims []victim
	for _, name := range d.targetsFor(spec) {
		ts := d.targets[name]
		if ts.cacheOf(spec.Name) < minCache || !d.eligible(ts, spec) || ts.txn != nil || ts.capacity() < spec.Bytes {
			continue
		}
		need := spec.Bytes + d.reserved[name] - ts.free() - ts.retiringBytes()
		if need <= 0 {
			d.reserved[name] += spec.Bytes
			return true
		}
		if victims, cost, ok := d.cheapestVictims(ts, need, spec); ok && cost < maxCost {
			best, bestVictims, maxCost = ts, victims, cost
		}
	}
	if best == nil {
		return false
	}
	d.reserved[best.rec.Target] += spec.Bytes
	for _, v := range bestVictims {
		for _, s := range v.slots {
			d.retire(best, s, "evicted for "+spec.Name)
		}
	}
	return true
}

// retiringBytes returns the memory of the slots that are or will be retired.
func (ts *targetState) retiringBytes() int64 {
	var sum int64
	for _, s := range ts.rec.Slots {
		if s.Phase == PhaseRetire || ts.toRetire[s.Decision] {
			sum += s.Bytes
		}
	}
	return sum
}

// cheapestVictims returns victims on the target that free need bytes for the model
// of spec, and their total cost. It prefers the lowest cost per byte. The result is
// false if the victims do not suffice.
func (d *Decider) cheapestVictims(ts *targetState, need int64, spec *ModelSpec) ([]victim, float64, bool) {
	var all []victim
	for i := range ts.rec.Slots {
		if v, ok := d.victimOf(ts, &ts.rec.Slots[i], spec); ok {
			all = append(all, v)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].cost/float64(all[i].bytes) < all[j].cost/float64(all[j].bytes)
	})
	var taken []victim
	var cost float64
	seen := map[*Slot]bool{}
	for _, v := range all {
		if need <= 0 {
			break
		}
		taken = append(taken, v)
		for _, s := range v.slots {
			if !seen[s] { // an adapter is a victim by itself and goes with its base model
				seen[s] = true
				need -= s.Bytes
				cost += d.evictionCost(ts, s)
			}
		}
	}
	return taken, cost, need <= 0
}

// victimOf returns the slot as a victim to make room for the model of spec, or false
// if the slot must stay.
func (d *Decider) victimOf(ts *targetState, s *Slot, spec *ModelSpec) (victim, bool) {
	if !d.evictable(ts, s) || spec.Base == s.Model {
		return victim{}, false
	}
	v := victim{slots: []*Slot{s}, bytes: s.Bytes, cost: d.evictionCost(ts, s)}
	for i := range ts.rec.Slots {
		a := &ts.rec.Slots[i]
		if a.Base != s.Model || a.Phase == PhaseRetire {
			continue
		}
		if !d.evictable(ts, a) {
			return victim{}, false
		}
		v.slots = append(v.slots, a)
		v.bytes += a.Bytes
		v.cost += d.evictionCost(ts, a)
	}
	return v, true
}

// evictable reports whether the slot may be evicted. For an empty slot it is enough
// that no request waits for the model. Otherwise the model must have no current or
// recent requests, must not have been loaded recently, and must have more than its
// minimum of replicas.
func (d *Decider) evictable(ts *targetState, s *Slot) bool {
	state := ts.stateOf(s)
	if state == slotRetiring {
		return false
	}
	ms := d.model(s.Model)
	spec := d.specs[s.Model]
	if state == slotEmpty {
		return ms.waiting() == 0
	}
	if ms.waiting() > 0 || ms.running() > 0 || d.now < ms.retryUntil {
		return false
	}
	if ms.used && d.now < ms.lastUse+d.opt.RecentUse || d.now < ts.readySince[s.Model]+d.opt.MinResident {
		return false
	}
	return d.countUsable(d.slotsOf(s.Model), slotReady, slotLoading) > spec.MinReplicas
}

// evictionCost returns the expected cost of evicting the slot: the rate at which its
// model is used again times the time to load it again, or for an empty slot the time
// to write a new slot. With Options.LRU the cost per byte falls with the time since
// the last use instead.
func (d *Decider) evictionCost(ts *targetState, s *Slot) float64 {
	ms := d.model(s.Model)
	if ts.stateOf(s) == slotEmpty {
		return ms.usage.returnRate(d.now, ms.lastUse) * slotWriteTime.Seconds()
	}
	if d.opt.LRU {
		return float64(s.Bytes) / max((d.now-ms.lastUse).Seconds(), 1e-3)
	}
	cache := max(ts.cacheOf(s.Model), CacheDisk)
	return ms.usage.returnRate(d.now, ms.lastUse) * d.estimator.loadTime(routeOf(cache, s.Base), s.Bytes).Seconds()
}

// slotWriteTime is the duration of the two writes that add a slot.
const slotWriteTime = 20 * time.Millisecond

// sweepIdle does a part of the sweep. It unloads idle models, retires the slots of
// leaving targets and of models that are no longer configured, and prewarms models.
func (d *Decider) sweepIdle() {
	if len(d.sweep) == 0 {
		d.sweep = sortedKeys(d.targetsByModel)
		d.sweepPart = min(len(d.sweep)/sweepParts+1, maxSweepPart)
	}
	part := d.sweep[:min(d.sweepPart, len(d.sweep))]
	d.sweep = d.sweep[len(part):]
	for _, model := range part {
		spec, known := d.specs[model]
		ms := d.model(model)
		if !ms.used {
			ms.used = true
			ms.lastUse = d.now // a new decider does not know earlier uses
		}
		ready := 0
		for _, ref := range d.slotsOf(model) {
			if !known || ref.ts.spec.Leaving {
				d.retireUnlessRunning(ref)
				continue
			}
			if ref.state == slotReady && d.usable(ref.ts) {
				ready++
			}
			d.unloadIdle(ref, ms, &spec, ready)
		}
		if d.opt.Prewarm && known {
			d.prewarm(ms, &spec)
		}
	}
}

// retireUnlessRunning retires the slot unless the target runs requests.
func (d *Decider) retireUnlessRunning(ref slotRef) {
	if ref.state == slotRetiring || ref.ts.report != nil && ref.ts.report.Running > 0 {
		return
	}
	d.retire(ref.ts, ref.slot, "target leaves or model is gone from the configuration")
}

// unloadIdle unloads a replica if its model has been idle for long enough. Ready is
// the number of ready replicas of the model up to this one.
func (d *Decider) unloadIdle(ref slotRef, ms *modelState, spec *ModelSpec, ready int) {
	if ref.state != slotReady || ready <= spec.MinReplicas || !d.usable(ref.ts) {
		return
	}
	if ms.waiting() > 0 || ms.running() > 0 || d.now < ms.retryUntil || d.now < ms.prewarmUntil {
		return
	}
	idleFrom := max(ms.lastUse, ref.ts.readySince[ref.slot.Model])
	if d.now < idleFrom+d.keepTime(ms, spec) || d.hasAdapters(ref) {
		return
	}
	d.unload(ref.ts, ref.slot, "idle")
}

// hasAdapters reports whether an adapter of the base model is loaded or loading on
// the same target.
func (d *Decider) hasAdapters(ref slotRef) bool {
	for i := range ref.ts.rec.Slots {
		a := &ref.ts.rec.Slots[i]
		if a.Base == ref.slot.Model && (ref.ts.stateOf(a) == slotReady || ref.ts.stateOf(a) == slotLoading) {
			return true
		}
	}
	return false
}

// prewarm marks a model to be loaded ahead of its next session if its sessions are
// regular.
func (d *Decider) prewarm(ms *modelState, spec *ModelSpec) {
	next, ok := ms.usage.nextSession(ms.lastUse)
	if !ok {
		return
	}
	lead := 2*d.estimator.loadTime(routeOf(CacheRemote, spec.Base), spec.Bytes) + idleSweepPeriod
	until := next + time.Duration(4*ms.usage.gapDeviation*float64(time.Second)) + lead
	if d.now < next-lead || d.now > until {
		return
	}
	ms.prewarmUntil = until
	d.expected[spec.Name] = true
}
