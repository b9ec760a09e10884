package placement

import "time"

// slotState is the state of a slot, derived from its phase, its order and the report
// of the target.
type slotState int

const (
	slotEmpty     slotState = iota // in PhaseHold, model not loaded
	slotLoading                    // load ordered or in progress
	slotReady                      // model ready to serve requests
	slotUnloading                  // unload ordered or in progress
	slotRetiring                   // in PhaseRetire, or about to be
)

// slotRef is a slot with its target and state.
type slotRef struct {
	ts    *targetState
	slot  *Slot
	state slotState
}

// slotsOf returns the slots of a model, sorted by target name.
func (d *Decider) slotsOf(model string) []slotRef {
	out := make([]slotRef, 0, len(d.targetsByModel[model]))
	for _, name := range d.targetsByModel[model] {
		ts := d.targets[name]
		s := ts.rec.SlotOf(model)
		out = append(out, slotRef{ts: ts, slot: s, state: ts.stateOf(s)})
	}
	return out
}

func (ts *targetState) stateOf(s *Slot) slotState {
	if s.Phase == PhaseRetire || ts.toRetire[s.Decision] {
		return slotRetiring
	}
	o := ts.orders[s.Decision]
	unloading := ts.report != nil && ts.report.Replicas[s.Model].State == StateUnloading
	if unloading || o != nil && o.op == OrderUnload {
		return slotUnloading
	}
	if ts.report != nil && ts.report.Replicas[s.Model].State == StateReady {
		return slotReady
	}
	if o != nil || ts.report != nil && ts.report.Replicas[s.Model].State == StateLoading {
		return slotLoading
	}
	return slotEmpty
}

// usable reports whether the target may take new work.
func (d *Decider) usable(ts *targetState) bool {
	return ts.known && ts.present && !ts.spec.Leaving && !d.silent(ts)
}

// countUsable returns the number of slots on usable targets in one of the states.
func (d *Decider) countUsable(slots []slotRef, states ...slotState) int {
	n := 0
	for _, ref := range slots {
		if !d.usable(ref.ts) {
			continue
		}
		for _, s := range states {
			if ref.state == s {
				n++
			}
		}
	}
	return n
}

// saturated reports whether there is a ready replica and requests wait at each one.
func (d *Decider) saturated(slots []slotRef) bool {
	ready := 0
	for _, ref := range slots {
		if ref.state != slotReady || !d.usable(ref.ts) {
			continue
		}
		ready++
		if ref.ts.report.Waiting == 0 {
			return false
		}
	}
	return ready > 0
}

// free returns the memory of the target that is not used by a slot, by a current
// addition, or according to the report.
func (ts *targetState) free() int64 {
	free := ts.capacity() - ts.rec.UsedBytes(ts.report)
	if ts.txn != nil {
		for _, a := range ts.txn.additions {
			free -= a.slot.Bytes
		}
	}
	return free
}

// acceptsAddition reports whether an addition may start: no write is pending, and a
// current transaction has only additions whose claims are not being written yet.
func (ts *targetState) acceptsAddition(now time.Duration) bool {
	if !ts.writable(now) || len(ts.toRetire) > 0 {
		return false
	}
	if ts.txn == nil {
		return true
	}
	for _, a := range ts.txn.additions {
		if a.stage != stageNew {
			return false
		}
	}
	return true
}

// eligible reports whether the model may get a slot on the target, memory aside. An
// adapter needs its base model to be ready there.
func (d *Decider) eligible(ts *targetState, spec *ModelSpec) bool {
	if !d.usable(ts) || d.now < ts.avoidUntil[spec.Name] || ts.rec.SlotOf(spec.Name) != nil {
		return false
	}
	if spec.Base == "" {
		return true
	}
	base := ts.rec.SlotOf(spec.Base)
	return base != nil && ts.stateOf(base) == slotReady
}

// chooseTarget returns the target for a new slot, or nil if none has room. It prefers
// the fastest cached copy, then the least sufficient free memory, which leaves room
// for large models elsewhere.
func (d *Decider) chooseTarget(spec *ModelSpec) *targetState {
	var best *targetState
	var bestCache CacheTier
	var bestFree int64
	for _, name := range d.targetsFor(spec) {
		ts := d.targets[name]
		if !d.eligible(ts, spec) || !ts.acceptsAddition(d.now) {
			continue
		}
		free := ts.free() - d.reserved[name]
		if free < spec.Bytes {
			continue
		}
		cache := ts.cacheOf(spec.Name)
		if best == nil || cache > bestCache || cache == bestCache && free < bestFree {
			best, bestCache, bestFree = ts, cache, free
		}
	}
	return best
}

// targetsFor returns the targets to consider for a new slot: those of the pool, or
// for an adapter those with a slot of its base model.
func (d *Decider) targetsFor(spec *ModelSpec) []string {
	if spec.Base == "" {
		return d.targetsByPool[spec.Pool]
	}
	return d.targetsByModel[spec.Base]
}
