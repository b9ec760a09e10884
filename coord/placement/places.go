package placement

import "time"

// placeState is the state of a slot as the policy sees it.
type placeState int

const (
	placeEmpty    placeState = iota // held, not loaded
	placeLoading                    // load ordered or under way
	placeReady                      // serves
	placeClosing                    // unload ordered
	placeRetiring                   // in PhaseRetire
)

// place is a slot of a model on a target.
type place struct {
	ts    *targetState
	slot  *Slot
	state placeState
}

// places returns the slots of a model in the order of target names.
func (d *Decider) places(model string) []place {
	out := make([]place, 0, len(d.where[model]))
	for _, name := range d.where[model] {
		ts := d.targets[name]
		s := ts.rec.SlotOf(model)
		out = append(out, place{ts: ts, slot: s, state: ts.stateOf(s)})
	}
	return out
}

func (ts *targetState) stateOf(s *Slot) placeState {
	if s.Phase == PhaseRetire || ts.retiring[s.Decision] {
		return placeRetiring
	}
	os := ts.orders[s.Decision]
	unloading := ts.rep != nil && ts.rep.Replicas[s.Model].State == StateUnloading
	if unloading || os != nil && os.op == OrderUnload {
		return placeClosing
	}
	if ts.rep != nil && ts.rep.Replicas[s.Model].State == StateReady {
		return placeReady
	}
	if os != nil || ts.rep != nil && ts.rep.Replicas[s.Model].State == StateLoading {
		return placeLoading
	}
	return placeEmpty
}

// usable reports whether the target may take new work.
func (d *Decider) usable(ts *targetState) bool {
	return ts.known && ts.present && !ts.spec.Leaving && !d.silent(ts)
}

// count returns how many places are usable and in one of the states.
func (d *Decider) count(places []place, states ...placeState) int {
	n := 0
	for _, p := range places {
		if !d.usable(p.ts) {
			continue
		}
		for _, s := range states {
			if p.state == s {
				n++
			}
		}
	}
	return n
}

// saturated reports whether requests wait on every ready replica.
func (d *Decider) saturated(places []place) bool {
	ready := 0
	for _, p := range places {
		if p.state != placeReady || !d.usable(p.ts) {
			continue
		}
		ready++
		if p.ts.rep.Waiting == 0 {
			return false
		}
	}
	return ready > 0
}

// free returns the memory of the target that no slot, report or addition
// under way takes.
func (ts *targetState) free() int64 {
	free := ts.capacity() - ts.rec.UsedBytes(ts.rep)
	if ts.txn != nil {
		for _, a := range ts.txn.adds {
			free -= a.slot.Bytes
		}
	}
	return free
}

// open reports whether an addition may be proposed: nothing is under way, or
// only additions of this same step.
func (ts *targetState) open(now time.Duration) bool {
	if !ts.writable(now) || len(ts.retiring) > 0 {
		return false
	}
	if ts.txn == nil {
		return true
	}
	for _, a := range ts.txn.adds {
		if a.stage != addNew {
			return false
		}
	}
	return true
}

// suits reports whether the model may be placed on the target at all.
func (d *Decider) suits(ts *targetState, spec *ModelSpec) bool {
	if !d.usable(ts) || d.now < ts.avoid[spec.Name] || ts.rec.SlotOf(spec.Name) != nil {
		return false
	}
	if spec.Base == "" {
		return true
	}
	base := ts.rec.SlotOf(spec.Base)
	return base != nil && ts.stateOf(base) == placeReady
}

// choose returns the target for a new slot: the best cached copy first, then
// the least free memory that suffices, so that large models find room later.
// It returns nil if there is no room.
func (d *Decider) choose(spec *ModelSpec) *targetState {
	var best *targetState
	var bestCache Cache
	var bestFree int64
	for _, name := range d.candidatesFor(spec) {
		ts := d.targets[name]
		if !d.suits(ts, spec) || !ts.open(d.now) {
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

// candidatesFor returns the targets to look at: those of the pool, or those
// that hold the base model of an adapter.
func (d *Decider) candidatesFor(spec *ModelSpec) []string {
	if spec.Base == "" {
		return d.pools[spec.Pool]
	}
	return d.where[spec.Base]
}
