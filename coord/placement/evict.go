package placement

import (
	"sort"
	"time"
)

// idleSweep is the time between searches for idle models.
const idleSweep = time.Second

// victim is a slot that may be retired with what depends on it.
type victim struct {
	slots []*Slot // the slot, and of a base model those of its adapters
	bytes int64
	cost  float64
}

// makeRoom retires the slots that are cheapest to do without, on the target
// where that frees enough. It reports whether memory is on its way.
func (d *Decider) makeRoom(spec *ModelSpec) bool {
	var best *targetState
	var bestVictims []victim
	bestCost := -1.0
	for _, name := range d.candidatesFor(spec) {
		ts := d.targets[name]
		if !d.suits(ts, spec) || ts.txn != nil || ts.capacity() < spec.Bytes {
			continue
		}
		need := spec.Bytes - ts.free() - ts.leavingBytes()
		if need <= 0 {
			return true
		}
		victims, cost, ok := d.cheapest(ts, need, spec)
		if ok && (best == nil || cost < bestCost) {
			best, bestVictims, bestCost = ts, victims, cost
		}
	}
	if best == nil {
		return false
	}
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
func (d *Decider) cheapest(ts *targetState, need int64, for_ *ModelSpec) ([]victim, float64, bool) {
	var all []victim
	for i := range ts.rec.Slots {
		if v, ok := d.victimOf(ts, &ts.rec.Slots[i], for_); ok {
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
func (d *Decider) victimOf(ts *targetState, s *Slot, for_ *ModelSpec) (victim, bool) {
	if !d.evictable(ts, s) || for_.Base == s.Model {
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
	return d.count(d.places(s.Model), placeReady, placeLoading) > spec.Min
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
	return ms.use.rate(d.now, ms.lastUse) * d.est.time(cache, s.Bytes).Seconds()
}

// slotCost is the time that the writes of a new slot take.
const slotCost = 20 * time.Millisecond

// sweepIdle unloads models without requests, frees targets that leave, and
// retires slots of models that are no longer configured.
func (d *Decider) sweepIdle() {
	for _, model := range sortedKeys(d.where) {
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
	if p.state != placeReady || ready <= spec.Min || !d.usable(p.ts) {
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
	lead := 2*d.est.time(CacheRemote, spec.Bytes) + idleSweep
	until := next + time.Duration(4*ms.use.dev*float64(time.Second)) + lead
	if d.now < next-lead || d.now > until {
		return
	}
	ms.prewarmUntil = until
	d.promised[spec.Name] = true
}
