package placement

import (
	"sort"
	"time"
)

// idleSweep is the time in which the models with slots are searched for idle
// ones, in sweepParts parts. With more than sweepMost models in a part the
// search takes longer instead, so that no step does.
const (
	idleSweep  = time.Second
	sweepParts = 10
	sweepMost  = 200
)

// victim is a slot that may be retired with what depends on it.
type victim struct {
	slots []*Slot // the slot, and of a base model those of its adapters
	bytes int64
	cost  float64
}

// evictTime is the time from the choice of victims to room for a new slot.
const evictTime = 100 * time.Millisecond

// makeRoomNear makes room on a target with a better cached copy than ts has,
// if the load is faster there by more than the eviction costs.
func (d *Decider) makeRoomNear(c *candidate, ts *targetState) bool {
	here := ts.cacheOf(c.spec.Name)
	for cache := CacheMemory; cache > here; cache-- {
		gain := d.est.time(route(here), c.spec.Bytes) - d.est.time(route(cache), c.spec.Bytes) - evictTime
		if gain > 0 && d.makeRoom(&c.spec, cache, gain.Seconds()) {
			return true
		}
	}
	return false
}

// makeRoom retires the slots that are cheapest to do without, on the target
// with at least the given cached copy where that frees enough at the least
// cost below the limit. It reports whether memory is on its way.
func (d *Decider) makeRoom(spec *ModelSpec, atLeast Cache, limit float64) bool {
	var best *targetState
	var bestVictims []victim
	for _, name := range d.candidatesFor(spec) {
		ts := d.targets[name]
		if ts.cacheOf(spec.Name) < atLeast || !d.suits(ts, spec) || ts.txn != nil || ts.capacity() < spec.Bytes {
			continue
		}
		need := spec.Bytes + d.reserved[name] - ts.free() - ts.leavingBytes()
		if need <= 0 {
			d.reserved[name] += spec.Bytes
			return true
		}
		if victims, cost, ok := d.cheapest(ts, need, spec); ok && cost < limit {
			best, bestVictims, limit = ts, victims, cost
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

// leavingBytes returns the memory of slots on their way out.
func (ts *targetState) leavingBytes() int64 {
	var sum int64
	for _, s := range ts.rec.Slots {
		if s.Phase == PhaseRetire || ts.retiring[s.Decision] {
			sum += s.Bytes
		}
	}
	return sum
}

// cheapest returns victims on the target that free the memory needed, and
// their cost.
func (d *Decider) cheapest(ts *targetState, need int64, newcomer *ModelSpec) ([]victim, float64, bool) {
	var all []victim
	for i := range ts.rec.Slots {
		if v, ok := d.victimOf(ts, &ts.rec.Slots[i], newcomer); ok {
			all = append(all, v)
		}
	}
	sort.Slice(all, func(i, j int) bool {
		return all[i].cost/float64(all[i].bytes) < all[j].cost/float64(all[j].bytes)
	})
	var taken []victim
	var cost float64
	for _, v := range all {
		if need <= 0 {
			break
		}
		taken = append(taken, v)
		need -= v.bytes
		cost += v.cost
	}
	return taken, cost, need <= 0
}

// victimOf returns what retiring the slot frees and costs; ok is false if the
// slot must stay.
func (d *Decider) victimOf(ts *targetState, s *Slot, newcomer *ModelSpec) (victim, bool) {
	if !d.evictable(ts, s) || newcomer.Base == s.Model {
		return victim{}, false
	}
	v := victim{slots: []*Slot{s}, bytes: s.Bytes, cost: d.costOf(ts, s)}
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
		v.cost += d.costOf(ts, a)
	}
	return v, true
}

// evictable reports whether no request needs the model on the target.
func (d *Decider) evictable(ts *targetState, s *Slot) bool {
	state := ts.stateOf(s)
	if state == placeRetiring {
		return false
	}
	ms := d.model(s.Model)
	spec := d.specs[s.Model]
	if state == placeEmpty {
		return ms.waiting() == 0
	}
	if ms.waiting() > 0 || ms.running() > 0 || d.now < ms.promise {
		return false
	}
	if ms.used && d.now < ms.lastUse+d.opt.UseQuiet || d.now < ts.loadedAt[s.Model]+d.opt.MinResident {
		return false
	}
	return d.count(d.places(s.Model), placeReady, placeLoading) > spec.MinReplicas
}

// costOf returns the expected cost of doing without the slot: the chance of
// return times the time to load again. An empty slot costs two writes.
func (d *Decider) costOf(ts *targetState, s *Slot) float64 {
	ms := d.model(s.Model)
	if ts.stateOf(s) == placeEmpty {
		return ms.use.rate(d.now, ms.lastUse) * slotCost.Seconds()
	}
	if d.opt.LRU {
		return float64(s.Bytes) / max((d.now-ms.lastUse).Seconds(), 1e-3)
	}
	cache := max(ts.cacheOf(s.Model), CacheDisk)
	return ms.use.rate(d.now, ms.lastUse) * d.est.time(routeOf(cache, s.Base), s.Bytes).Seconds()
}

// slotCost is the time that the writes of a new slot take.
const slotCost = 20 * time.Millisecond

// sweepIdle unloads models without requests, frees targets that leave, and
// retires slots of models that are no longer configured.
func (d *Decider) sweepIdle() {
	if len(d.sweep) == 0 {
		d.sweep = sortedKeys(d.where)
		d.sweepLen = min(len(d.sweep)/sweepParts+1, sweepMost)
	}
	part := d.sweep[:min(d.sweepLen, len(d.sweep))]
	d.sweep = d.sweep[len(part):]
	for _, model := range part {
		spec, known := d.specs[model]
		ms := d.model(model)
		if !ms.used {
			ms.used = true
			ms.lastUse = d.now // a new decider knows no history
		}
		ready := 0
		for _, p := range d.places(model) {
			if !known || p.ts.spec.Leaving {
				d.vacate(p)
				continue
			}
			if p.state == placeReady && d.usable(p.ts) {
				ready++
			}
			d.unloadIdle(p, ms, &spec, ready)
		}
		if d.opt.Prewarm && known {
			d.foreseeReturn(ms, &spec)
		}
	}
}

// vacate retires the slot once nothing runs there.
func (d *Decider) vacate(p place) {
	if p.state == placeRetiring || p.ts.rep != nil && p.ts.rep.Running > 0 {
		return
	}
	d.retire(p.ts, p.slot, "target leaves or model is gone from the configuration")
}

// unloadIdle unloads the ready'th replica of a model if it has been idle.
func (d *Decider) unloadIdle(p place, ms *modelState, spec *ModelSpec, ready int) {
	if p.state != placeReady || ready <= spec.MinReplicas || !d.usable(p.ts) {
		return
	}
	if ms.waiting() > 0 || ms.running() > 0 || d.now < ms.promise || d.now < ms.prewarmUntil {
		return
	}
	idleFrom := max(ms.lastUse, p.ts.loadedAt[p.slot.Model])
	if d.now < idleFrom+d.keep(ms, spec) || d.hasAdapters(p) {
		return
	}
	d.unload(p.ts, p.slot, "idle")
}

// hasAdapters reports whether an adapter is loaded on top of the base model.
func (d *Decider) hasAdapters(p place) bool {
	for i := range p.ts.rec.Slots {
		a := &p.ts.rec.Slots[i]
		if a.Base == p.slot.Model && (p.ts.stateOf(a) == placeReady || p.ts.stateOf(a) == placeLoading) {
			return true
		}
	}
	return false
}

// foreseeReturn has a model loaded ahead of a regular return.
func (d *Decider) foreseeReturn(ms *modelState, spec *ModelSpec) {
	next, ok := ms.use.next(ms.lastUse)
	if !ok {
		return
	}
	lead := 2*d.est.time(routeOf(CacheRemote, spec.Base), spec.Bytes) + idleSweep
	until := next + time.Duration(4*ms.use.dev*float64(time.Second)) + lead
	if d.now < next-lead || d.now > until {
		return
	}
	ms.prewarmUntil = until
	d.promised[spec.Name] = true
}
