package placement

import (
	"math"
	"time"
)

// candidate is a model that needs another replica.
type candidate struct {
	spec     ModelSpec
	ms       *modelState
	at       *place       // held slot to load into, nil if a new one is needed
	on       *targetState // target for a new slot, as long as it has room
	cache    Cache
	est      time.Duration
	deadline time.Duration
	begin    time.Duration // expected
	end      time.Duration
	room     bool // has or gets a slot
	idle     bool // nobody waits: kept replicas, promises and prewarming
	late     bool // cannot make its deadline; loaded for those who come back
}

// slotLead is how long before its expected begin a load gets its slot, so that
// the writes are done when the permit is free.
const slotLead = time.Second

// promiseLife is how long after its expected end a load that came too late is
// kept for callers that were told to come back.
const promiseLife = 15 * time.Second

// plan decides what is loaded and unloaded next.
func (d *Decider) plan() {
	clear(d.reserved)
	running := d.inFlight()
	cands := d.candidates()
	d.schedule(cands, running)
	for _, c := range cands {
		d.start(c)
	}
	if d.now >= d.sweepAt {
		d.sweepAt = d.now + idleSweep/sweepParts
		d.sweepIdle()
	}
}

// inFlight returns the expected ends of the loads under way, and cancels or
// gives up those that are not worth their permit.
func (d *Decider) inFlight() flights {
	var f flights
	for _, name := range sortedKeys(d.work) {
		ts := d.targets[name]
		for i := range ts.rec.Slots {
			s := &ts.rec.Slots[i]
			os := ts.orders[s.Decision]
			if os == nil || os.op != OrderLoad || s.Phase != PhaseHold || d.settled(ts, s, os) {
				continue
			}
			if os.sent && d.abandon(ts, s, os) {
				continue
			}
			f.add(d.now, s, os)
		}
	}
	return f
}

// flights are the loads under way.
type flights struct {
	remote   []time.Duration // expected ends, from the weight store
	adapters int
}

func (f *flights) add(now time.Duration, s *Slot, os *orderState) {
	if s.Base != "" {
		f.adapters++
		return
	}
	if os.cache != CacheRemote {
		return
	}
	begin := now
	if os.sent {
		begin = os.firstAt
	}
	f.remote = append(f.remote, max(begin+os.est, now+os.est/10))
}

// abandon ends a load that does not end, or that nobody wants any more.
func (d *Decider) abandon(ts *targetState, s *Slot, os *orderState) bool {
	sofar := d.now - os.firstAt
	if sofar > 2*os.est {
		d.est.slower(routeOf(os.cache, s.Base), s.Bytes, sofar)
		os.est = d.est.time(routeOf(os.cache, s.Base), s.Bytes)
	}
	if os.until == 0 {
		os.until = os.firstAt + max(time.Duration(d.opt.LoadFactor*float64(os.est)), minLoadLimit)
	}
	if d.now > os.until {
		ts.avoid[s.Model] = d.now + avoidLife
		d.unload(ts, s, "load did not end")
		return true
	}
	ms := d.model(s.Model)
	unwanted := ms.waiting() == 0 && d.now > ms.promise && d.now > ms.unwantedAt+d.opt.CancelAfter
	spec := d.specs[s.Model]
	if !unwanted || spec.MinReplicas > 0 || d.now < ms.prewarmUntil || sofar > os.est*3/4 {
		return false
	}
	d.unload(ts, s, "load is no longer wanted")
	return true
}

const (
	minLoadLimit = 30 * time.Second // a load is not given up before
	avoidLife    = time.Minute      // a target that failed to load a model is avoided for it
)

// unload frees the memory of a slot. On a target that checks fencing numbers
// the slot is kept, so that the model can be loaded again without a write;
// elsewhere a slot can be used once only.
func (d *Decider) unload(ts *targetState, s *Slot, why string) {
	if ts.spec.ChecksFence {
		d.order(ts, s, OrderUnload, why)
		return
	}
	d.retire(ts, s, why)
}

// retire has the slot moved into PhaseRetire by the next write of the record.
func (d *Decider) retire(ts *targetState, s *Slot, why string) {
	if ts.retiring == nil {
		ts.retiring = map[string]bool{}
	}
	ts.retiring[s.Decision] = true
	ts.retireWhy = why
	d.attend(ts)
}

// flushRetired writes the slots chosen to be retired.
func (d *Decider) flushRetired(ts *targetState) {
	if len(ts.retiring) == 0 || ts.txn != nil || !ts.writable(d.now) {
		return
	}
	rec := ts.rec.Clone()
	rec.Retire(ts.retiring, ts.rep)
	ts.retiring = nil
	ts.busy = true
	d.emit(Action{Kind: WriteTarget, Name: ts.rec.Target, Target: rec, Version: ts.version, Reason: ts.retireWhy})
}

// candidates returns the models that need another replica, most urgent first.
func (d *Decider) candidates() []*candidate {
	names := map[string]bool{}
	for name := range d.wanted {
		names[name] = true
	}
	for _, name := range d.minimum {
		names[name] = true
	}
	for name := range d.promised {
		names[name] = true
		if ms := d.models[name]; d.now > ms.promise && d.now > ms.prewarmUntil {
			delete(d.promised, name)
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

// candidate returns the model's need for another replica, nil if it has none.
func (d *Decider) candidate(name string) *candidate {
	spec, ok := d.specs[name]
	if !ok || !d.possible(&spec) {
		return nil
	}
	ms := d.model(name)
	places := d.places(name)
	ready := d.count(places, placeReady)
	loading := d.count(places, placeLoading)
	waiting := ms.waiting() > 0
	need := spec.MinReplicas
	if waiting || d.now < ms.promise || d.now < ms.prewarmUntil {
		need = max(need, 1)
	}
	if d.saturatedFor(ms, places) && loading == 0 {
		need = max(need, min(ready+1, spec.MaxReplicas))
	}
	ms.need = need
	if loading > 0 && ready == 0 {
		ms.readyBy = d.loadEnd(places)
	}
	if ready+loading >= need {
		if ready > 0 {
			ms.readyBy = 0
			ms.promise = 0
		}
		return nil
	}
	c := &candidate{spec: spec, ms: ms, idle: !waiting || ready > 0}
	d.locate(c, places)
	c.est = d.est.time(routeOf(c.cache, spec.Base), spec.Bytes)
	c.deadline = ms.deadline(d.now + c.est)
	return c
}

// saturatedFor reports whether all replicas have been saturated for long.
func (d *Decider) saturatedFor(ms *modelState, places []place) bool {
	if !d.saturated(places) {
		ms.saturatedAt = 0
		return false
	}
	if ms.saturatedAt == 0 {
		ms.saturatedAt = d.now
	}
	return d.now >= ms.saturatedAt+d.opt.ScaleAfter
}

// loadEnd returns the expected end of the load that ends first.
func (d *Decider) loadEnd(places []place) time.Duration {
	var end time.Duration
	for _, p := range places {
		os := p.ts.orders[p.slot.Decision]
		if p.state != placeLoading || os == nil {
			continue
		}
		begin := d.now
		if os.sent {
			begin = os.firstAt
		}
		e := max(begin+os.est, d.now)
		if end == 0 || e < end {
			end = e
		}
	}
	return end
}

// locate finds where the candidate would load best: in a held slot, or on the
// target with the best cached copy.
func (d *Decider) locate(c *candidate, places []place) {
	for i, p := range places {
		if p.state != placeEmpty || !d.usable(p.ts) || d.now < p.ts.avoid[c.spec.Name] || !d.baseReady(p.ts, &c.spec) {
			continue
		}
		if cache := p.ts.cacheOf(c.spec.Name); c.at == nil || cache > c.cache {
			c.at = &places[i]
			c.cache = cache
		}
	}
	if c.at != nil && c.cache > CacheRemote || c.at != nil && !d.mayClaim(&c.spec) {
		c.room = true
		return
	}
	c.on = d.choose(&c.spec)
	if c.at != nil && (c.on == nil || c.on.cacheOf(c.spec.Name) <= c.cache) {
		c.room = true
		return
	}
	c.at = nil
	if c.on != nil {
		c.room = true
		c.cache = c.on.cacheOf(c.spec.Name)
	}
	c.room = c.room || d.adding(c.ms)
}

// mayClaim reports whether the model may have another slot.
func (d *Decider) mayClaim(spec *ModelSpec) bool {
	cs := d.claim(spec.claimBase())
	return cs.known && cs.rec.Count(spec.Name) < spec.MaxReplicas
}

// adding reports whether a slot for the model is on its way into the records.
func (d *Decider) adding(ms *modelState) bool {
	return ms.adding != nil && ms.adding.stage != addDropped && d.live(ms.adding)
}

// baseReady reports whether the target can load the adapter; true for a base
// model.
func (d *Decider) baseReady(ts *targetState, spec *ModelSpec) bool {
	if spec.Base == "" {
		return true
	}
	base := ts.rec.SlotOf(spec.Base)
	return base != nil && ts.stateOf(base) == placeReady
}

// place proposes a new slot or makes room for one.
func (d *Decider) place(c *candidate) {
	cs := d.claim(c.spec.claimBase())
	if !cs.known {
		return
	}
	if n := cs.rec.Count(c.spec.Name); n >= c.spec.MaxReplicas {
		c.ms.reason = "all replicas allowed are decided"
		d.freeStranded(c.spec.Name)
		return
	}
	ts := c.on
	if ts == nil || !ts.open(d.now) || ts.free()-d.reserved[ts.rec.Target] < c.spec.Bytes {
		ts = d.choose(&c.spec)
	}
	if ts != nil && !c.idle && d.makeRoomNear(c, ts) {
		c.ms.reason = "waits for memory to be freed beside its cached copy"
		return
	}
	if ts != nil {
		c.ms.reason = "gets a slot on " + ts.rec.Target
		c.ms.adding = d.propose(ts, c.spec, "slot for "+c.spec.Name)
		return
	}
	if d.now < c.ms.prewarmUntil && c.idle {
		return
	}
	if d.makeRoom(&c.spec, CacheRemote, math.Inf(1)) {
		c.ms.reason = "waits for memory to be freed"
		return
	}
	c.ms.reason = "no target has room"
}

// freeStranded retires empty slots of the model on targets that can take no
// work, so that their replicas count elsewhere.
func (d *Decider) freeStranded(model string) {
	for _, p := range d.places(model) {
		spec := d.specs[model]
		if p.state != placeEmpty || d.silent(p.ts) {
			continue // a silent target may have the model loaded
		}
		if p.ts.spec.Leaving || d.now < p.ts.avoid[model] || !d.baseReady(p.ts, &spec) {
			d.retire(p.ts, p.slot, "slot cannot be used where it is")
		}
	}
}
