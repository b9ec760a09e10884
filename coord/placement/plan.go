package placement

import (
	"math"
	"time"
)

// candidate is a model that needs another replica.
type candidate struct {
	spec       ModelSpec
	ms         *modelState
	emptySlot  *slotRef     // empty slot to load into, nil if a new one is needed
	target     *targetState // target for a new slot, nil if none has room
	cache      CacheTier
	estimate   time.Duration
	deadline   time.Duration
	begin      time.Duration // expected
	end        time.Duration
	hasRoom    bool // has or will have a slot
	background bool // no request waits for a first replica: minimum, retries, prewarming or scaling up
	late       bool // will miss the deadline and is loaded for callers that retry
}

// slotLead is how long before the expected begin of its load a candidate gets a slot,
// so that the records are written when the load may start.
const slotLead = time.Second

// retryWindow is how long a model that will be ready too late for its callers is kept
// for their retries after the expected end of its load.
const retryWindow = 15 * time.Second

// plan starts loads for models that need replicas, and unloads idle models.
func (d *Decider) plan() {
	clear(d.reserved)
	loads := d.loadsInProgress()
	candidates := d.candidates()
	d.schedule(candidates, loads)
	for _, c := range candidates {
		d.startLoad(c)
	}
	if d.now >= d.sweepAt {
		d.sweepAt = d.now + idleSweepPeriod/sweepParts
		d.sweepIdle()
	}
}

// loadsInProgress returns the loads in progress. It ends those that timed out or are
// no longer needed.
func (d *Decider) loadsInProgress() activeLoads {
	var loads activeLoads
	for _, name := range sortedKeys(d.busyTargets) {
		ts := d.targets[name]
		for i := range ts.rec.Slots {
			s := &ts.rec.Slots[i]
			o := ts.orders[s.Decision]
			if o == nil || o.op != OrderLoad || s.Phase != PhaseHold || d.orderDone(ts, s, o) {
				continue
			}
			if o.sent && d.abandon(ts, s, o) {
				continue
			}
			loads.add(d.now, s, o)
		}
	}
	return loads
}

// activeLoads describes the loads in progress that count against the limits of the
// weight store.
type activeLoads struct {
	remote   []time.Duration // expected ends of the loads of base models from the weight store
	adapters int
}

func (l *activeLoads) add(now time.Duration, s *Slot, o *orderState) {
	if s.Base != "" {
		l.adapters++
		return
	}
	if o.cache != CacheRemote {
		return
	}
	begin := now
	if o.sent {
		begin = o.firstSentAt
	}
	l.remote = append(l.remote, max(begin+o.estimate, now+o.estimate/10))
}

// abandon ends a load that timed out or is no longer needed, and reports whether it
// did. A load that is not needed continues in its last quarter.
func (d *Decider) abandon(ts *targetState, s *Slot, o *orderState) bool {
	elapsed := d.now - o.firstSentAt
	if elapsed > 2*o.estimate {
		d.estimator.observeUnfinished(routeOf(o.cache, s.Base), s.Bytes, elapsed)
		o.estimate = d.estimator.loadTime(routeOf(o.cache, s.Base), s.Bytes)
	}
	if o.giveUpAt == 0 {
		o.giveUpAt = o.firstSentAt + max(time.Duration(d.opt.LoadTimeoutFactor*float64(o.estimate)), minLoadTimeout)
	}
	if d.now > o.giveUpAt {
		ts.avoidUntil[s.Model] = d.now + avoidDuration
		d.unload(ts, s, "load did not end")
		return true
	}
	ms := d.model(s.Model)
	unwanted := ms.waiting() == 0 && d.now > ms.retryUntil && d.now > ms.lastWaitingAt+d.opt.CancelAfter
	spec := d.specs[s.Model]
	if !unwanted || spec.MinReplicas > 0 || d.now < ms.prewarmUntil || elapsed > o.estimate*3/4 {
		return false
	}
	d.unload(ts, s, "load is no longer wanted")
	return true
}

const (
	minLoadTimeout = 30 * time.Second // lower limit of the load timeout, see Options.LoadTimeoutFactor
	avoidDuration  = time.Minute      // how long a target that failed to load a model is not chosen for it
)

// unload frees the memory of a slot. A target that checks fencing tokens keeps the
// slot, so that it can load the model again without a write. Elsewhere a slot can be
// loaded only once, so it is retired.
func (d *Decider) unload(ts *targetState, s *Slot, reason string) {
	if ts.spec.ChecksFence {
		d.order(ts, s, OrderUnload, reason)
		return
	}
	d.retire(ts, s, reason)
}

// retire marks the slot to be moved to PhaseRetire by the next write of the record.
func (d *Decider) retire(ts *targetState, s *Slot, reason string) {
	if ts.toRetire == nil {
		ts.toRetire = map[string]bool{}
	}
	ts.toRetire[s.Decision] = true
	ts.retireReason = reason
	d.markBusy(ts)
}

// writeRetirements issues the write that retires the slots marked by retire.
func (d *Decider) writeRetirements(ts *targetState) {
	if len(ts.toRetire) == 0 || ts.txn != nil || !ts.writable(d.now) {
		return
	}
	rec := ts.rec.Clone()
	rec.Retire(ts.toRetire, ts.report)
	ts.toRetire = nil
	ts.callInFlight = true
	d.emit(Action{Kind: WriteTarget, Name: ts.rec.Target, Target: rec, Version: ts.version, Reason: ts.retireReason})
}

// candidates returns the models that need another replica, sorted by name.
func (d *Decider) candidates() []*candidate {
	names := map[string]bool{}
	for name := range d.demanded {
		names[name] = true
	}
	for _, name := range d.minimumModels {
		names[name] = true
	}
	for name := range d.expected {
		names[name] = true
		if ms := d.models[name]; d.now > ms.retryUntil && d.now > ms.prewarmUntil {
			delete(d.expected, name)
		}
	}
	var out []*candidate
	for _, name := range sortedKeys(names) {
		if c := d.candidate(name); c != nil {
			out = append(out, c)
		}
	}
	return out
}

// candidate returns the model as a candidate, or nil if it needs no other replica.
func (d *Decider) candidate(name string) *candidate {
	spec, ok := d.specs[name]
	if !ok || !d.fitsSomeTarget(&spec) {
		return nil
	}
	ms := d.model(name)
	slots := d.slotsOf(name)
	ready := d.countUsable(slots, slotReady)
	loading := d.countUsable(slots, slotLoading)
	waiting := ms.waiting() > 0
	need := spec.MinReplicas
	if waiting || d.now < ms.retryUntil || d.now < ms.prewarmUntil {
		need = max(need, 1)
	}
	if d.needsScaleUp(ms, slots) && loading == 0 {
		need = max(need, min(ready+1, spec.MaxReplicas))
	}
	ms.replicasNeeded = need
	if loading > 0 && ready == 0 {
		ms.readyBy = d.firstLoadEnd(slots)
	}
	if ready+loading >= need {
		if ready > 0 {
			ms.readyBy = 0
			ms.retryUntil = 0
		}
		return nil
	}
	c := &candidate{spec: spec, ms: ms, background: !waiting || ready > 0}
	d.locate(c, slots)
	c.estimate = d.estimator.loadTime(routeOf(c.cache, spec.Base), spec.Bytes)
	c.deadline = ms.deadline(d.now + c.estimate)
	return c
}

// needsScaleUp reports whether all replicas have been saturated for ScaleAfter.
func (d *Decider) needsScaleUp(ms *modelState, slots []slotRef) bool {
	if !d.saturated(slots) {
		ms.saturatedAt = 0
		return false
	}
	if ms.saturatedAt == 0 {
		ms.saturatedAt = d.now
	}
	return d.now >= ms.saturatedAt+d.opt.ScaleAfter
}

// firstLoadEnd returns the earliest expected end of the loads of the slots.
func (d *Decider) firstLoadEnd(slots []slotRef) time.Duration {
	var end time.Duration
	for _, ref := range slots {
		o := ref.ts.orders[ref.slot.Decision]
		if ref.state != slotLoading || o == nil {
			continue
		}
		begin := d.now
		if o.sent {
			begin = o.firstSentAt
		}
		expected := max(begin+o.estimate, d.now)
		if end == 0 || expected < end {
			end = expected
		}
	}
	return end
}

// locate chooses where to load the candidate: into an empty slot that the model
// already has, or into a new slot on a target that has a faster cached copy.
func (d *Decider) locate(c *candidate, slots []slotRef) {
	for i, ref := range slots {
		if ref.state != slotEmpty || !d.usable(ref.ts) || d.now < ref.ts.avoidUntil[c.spec.Name] || !d.baseReady(ref.ts, &c.spec) {
			continue
		}
		if cache := ref.ts.cacheOf(c.spec.Name); c.emptySlot == nil || cache > c.cache {
			c.emptySlot = &slots[i]
			c.cache = cache
		}
	}
	if c.emptySlot != nil && c.cache > CacheRemote || c.emptySlot != nil && !d.mayClaim(&c.spec) {
		c.hasRoom = true
		return
	}
	c.target = d.chooseTarget(&c.spec)
	if c.emptySlot != nil && (c.target == nil || c.target.cacheOf(c.spec.Name) <= c.cache) {
		c.hasRoom = true
		return
	}
	c.emptySlot = nil
	if c.target != nil {
		c.hasRoom = true
		c.cache = c.target.cacheOf(c.spec.Name)
	}
	c.hasRoom = c.hasRoom || d.additionPending(c.ms)
}

// mayClaim reports whether the model may have another slot.
func (d *Decider) mayClaim(spec *ModelSpec) bool {
	cs := d.claimsOf(spec.claimBase())
	return cs.known && cs.rec.Count(spec.Name) < spec.MaxReplicas
}

// additionPending reports whether a slot for the model is being added to the records.
func (d *Decider) additionPending(ms *modelState) bool {
	return ms.addition != nil && ms.addition.stage != stageDropped && d.inTransaction(ms.addition)
}

// baseReady reports whether the base model of an adapter is ready on the target. It
// is true for a base model.
func (d *Decider) baseReady(ts *targetState, spec *ModelSpec) bool {
	if spec.Base == "" {
		return true
	}
	base := ts.rec.SlotOf(spec.Base)
	return base != nil && ts.stateOf(base) == slotReady
}

// addSlot starts adding a slot for the candidate, or makes room for one.
func (d *Decider) addSlot(c *candidate) {
	cs := d.claimsOf(c.spec.claimBase())
	if !cs.known {
		return
	}
	if n := cs.rec.Count(c.spec.Name); n >= c.spec.MaxReplicas {
		c.ms.reason = "all replicas allowed are decided"
		d.retireUnusable(c.spec.Name)
		return
	}
	ts := c.target
	if ts == nil || !ts.acceptsAddition(d.now) || ts.free()-d.reserved[ts.rec.Target] < c.spec.Bytes {
		ts = d.chooseTarget(&c.spec)
	}
	if ts != nil && !c.background && d.makeRoomAtCachedCopy(c, ts) {
		c.ms.reason = "waits for memory to be freed beside its cached copy"
		return
	}
	if ts != nil {
		c.ms.reason = "gets a slot on " + ts.rec.Target
		c.ms.addition = d.startAddition(ts, c.spec, "slot for "+c.spec.Name)
		return
	}
	if d.now < c.ms.prewarmUntil && c.background {
		return
	}
	if d.makeRoom(&c.spec, CacheRemote, math.Inf(1)) {
		c.ms.reason = "waits for memory to be freed"
		return
	}
	c.ms.reason = "no target has room"
}

// retireUnusable retires empty slots of the model on targets that cannot load it, so
// that the model can get slots elsewhere.
func (d *Decider) retireUnusable(model string) {
	for _, ref := range d.slotsOf(model) {
		spec := d.specs[model]
		if ref.state != slotEmpty || d.silent(ref.ts) {
			continue // a silent target may have the model loaded
		}
		if ref.ts.spec.Leaving || d.now < ref.ts.avoidUntil[model] || !d.baseReady(ref.ts, &spec) {
			d.retire(ref.ts, ref.slot, "slot cannot be used where it is")
		}
	}
}
