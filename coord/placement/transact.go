package placement

import (
	"sort"
	"time"
)

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// transaction adds slots to one target record. While it runs, the decider
// makes no other write to the record, so that the version named in the claims
// stays the precondition.
type transaction struct {
	version uint64
	adds    []*addition
}

// addStage is the progress of an addition.
type addStage int

const (
	addNew addStage = iota
	addClaiming
	addClaimed
	addDropped
)

// addition is a slot on its way into the records.
type addition struct {
	slot   Slot
	base   string
	target string
	txn    *transaction
	stage  addStage
	why    string
}

// propose starts an addition on a target.
func (d *Decider) propose(ts *targetState, spec ModelSpec, why string) *addition {
	if ts.txn == nil {
		ts.txn = &transaction{version: ts.version}
	}
	a := &addition{
		slot:   Slot{Decision: d.nextDecision(), Model: spec.Name, Base: spec.Base, Bytes: spec.Bytes},
		base:   spec.claimBase(),
		target: ts.rec.Target,
		txn:    ts.txn,
		why:    why,
	}
	d.attend(ts)
	ts.txn.adds = append(ts.txn.adds, a)
	cs := d.claim(a.base)
	cs.adding = append(cs.adding, a)
	return a
}

// refresh asks for records that must be read.
func (d *Decider) refresh(names []string) {
	for _, name := range names {
		ts := d.targets[name]
		if ts.stale && !ts.busy && d.now >= ts.retryAt {
			ts.busy = true
			d.emit(Action{Kind: ReadTarget, Name: name})
		}
	}
	for _, base := range sortedKeys(d.claims) {
		cs := d.claims[base]
		if cs.stale && !cs.busy && d.now >= cs.retryAt {
			cs.busy = true
			d.emit(Action{Kind: ReadClaims, Name: base})
		}
	}
}

// sweepClaims drops the claims that count nothing any more.
func (d *Decider) sweepClaims() {
	for _, base := range sortedKeys(d.claims) {
		cs := d.claims[base]
		if !cs.known || cs.busy || cs.stale || d.now < cs.retryAt || !cs.check && len(cs.adding) == 0 {
			continue
		}
		cs.check = false
		void := map[string]bool{}
		for i := range cs.rec.Claims {
			if d.claimVoid(cs, &cs.rec.Claims[i]) {
				void[cs.rec.Claims[i].Decision] = true
			}
		}
		if len(void) == 0 && len(cs.adding) == 0 {
			continue
		}
		rec := cs.rec.Clone()
		rec.Drop(void)
		added := d.addClaims(&rec, cs)
		if len(void) == 0 && added == 0 {
			continue
		}
		cs.busy = true
		d.emit(Action{Kind: WriteClaims, Name: base, Claims: rec, Version: cs.version, Reason: "claims"})
	}
}

// addClaims adds the claims of new additions and returns their number.
func (d *Decider) addClaims(rec *ClaimRecord, cs *claimState) int {
	n := 0
	waiting := cs.adding
	cs.adding = nil
	for _, a := range waiting {
		if !d.live(a) {
			continue
		}
		limit := d.specs[a.slot.Model].MaxReplicas
		if d.opt.Unsafe.NoClaims {
			limit = len(rec.Claims) + 1
		}
		c := Claim{Decision: a.slot.Decision, Model: a.slot.Model, Target: a.target, TargetVersion: a.txn.version}
		if rec.Add(c, limit) != nil {
			a.stage = addDropped
			continue
		}
		a.stage = addClaiming
		cs.adding = append(cs.adding, a)
		n++
	}
	return n
}

// live reports whether the transaction of an addition was not given up.
func (d *Decider) live(a *addition) bool { return d.targets[a.target].txn == a.txn }

// claimVoid reports whether a claim may be dropped. A claim on a target that
// the operators have taken out of the configuration is dropped on their word.
func (d *Decider) claimVoid(cs *claimState, c *Claim) bool {
	ts := d.targets[c.Target]
	if ts == nil || !ts.present {
		return true
	}
	if ts.known && ts.rec.Slot(c.Decision) != nil {
		return false
	}
	cs.check = true // to be settled by a later step
	if !ts.known || ts.pending(c.Decision) {
		return false
	}
	if c.Void(&ts.rec, ts.version) {
		return true
	}
	if ts.version == c.TargetVersion && ts.txn == nil && ts.writable(d.now) {
		// Left by a decider that died or is paused between its two
		// writes. Any write to the target record makes its second fail.
		ts.busy = true
		d.emit(Action{Kind: WriteTarget, Name: c.Target, Target: ts.rec.Clone(), Version: ts.version, Reason: "void a claim without slot"})
	}
	return false
}

func (ts *targetState) pending(decision string) bool {
	if ts.txn == nil {
		return false
	}
	for _, a := range ts.txn.adds {
		if a.slot.Decision == decision {
			return true
		}
	}
	return false
}

// writable reports whether a new write of the record may begin.
func (ts *targetState) writable(now time.Duration) bool {
	return ts.known && ts.present && !ts.busy && !ts.stale && now >= ts.retryAt
}

// advance writes the slots of a transaction whose claims are all decided.
func (d *Decider) advance(ts *targetState) {
	if ts.txn == nil || ts.busy || d.now < ts.retryAt {
		return
	}
	if !d.opt.Unsafe.NoVersionedSlot && (ts.stale || ts.version != ts.txn.version) {
		ts.txn = nil
		return
	}
	if ts.stale {
		return
	}
	d.placeClaimed(ts)
}

func (d *Decider) placeClaimed(ts *targetState) {
	rec := ts.rec.Clone()
	used := rec.UsedBytes(ts.rep)
	capacity := ts.capacity()
	placed := 0
	why := ""
	for _, a := range ts.txn.adds {
		if a.stage == addNew || a.stage == addClaiming {
			return
		}
		if a.stage != addClaimed || rec.Add(a.slot, capacity, used) != nil {
			continue
		}
		used += a.slot.Bytes
		placed++
		why = a.why
	}
	if placed == 0 {
		ts.txn = nil
		return
	}
	ts.busy = true
	d.emit(Action{Kind: WriteTarget, Name: ts.rec.Target, Target: rec, Version: ts.version, Reason: why})
}

// capacity returns the memory of the target: what the configuration says, or
// less if the target says so.
func (ts *targetState) capacity() int64 {
	if ts.rep != nil && ts.rep.Capacity > 0 {
		return min(ts.spec.Bytes, ts.rep.Capacity)
	}
	return ts.spec.Bytes
}

// Done takes in the end of an action.
func (d *Decider) Done(now time.Duration, r Result) {
	d.now = now
	switch r.Action.Kind {
	case WriteTarget:
		d.wroteTarget(r)
	case ReadTarget:
		d.readTarget(r)
	case WriteClaims:
		d.wroteClaims(r)
	case ReadClaims:
		d.readClaims(r)
	case SendOrder:
		d.ordered(r)
	}
}

func (d *Decider) wroteTarget(r Result) {
	ts := d.target(r.Action.Name)
	ts.busy = false
	switch r.Outcome {
	case Succeeded:
		d.checkReport(ts, r.Action.Began)
		ts.txn = nil
		d.sawTarget(d.now, r.Action.Began, r.Action.Name, r.Action.Target, r.Version)
	case Failed:
		ts.txn = nil
		ts.retryAt = d.now + d.opt.Backoff
	default:
		// The record is read again before anything else. A transaction
		// under way is given up there, as its version has passed or may
		// still pass.
		ts.stale = true
		ts.retryAt = d.afterDoubt(r.Outcome)
		if !d.opt.Unsafe.NoVersionedSlot {
			ts.txn = nil
		}
	}
	d.attend(ts)
}

// afterDoubt returns when a record is read again whose write conflicted or may
// have taken effect. An API that loses answers must not be written to as fast
// as it loses them.
func (d *Decider) afterDoubt(o Outcome) time.Duration {
	if o == Unknown {
		return d.now + d.opt.Backoff
	}
	return d.now
}

func (d *Decider) readTarget(r Result) {
	ts := d.target(r.Action.Name)
	ts.busy = false
	if r.Outcome != Succeeded {
		ts.retryAt = d.now + d.opt.Backoff
		return
	}
	d.sawTarget(d.now, r.Action.Began, r.Action.Name, r.Target, r.Version)
	ts.stale = false
}

func (d *Decider) wroteClaims(r Result) {
	cs := d.claim(r.Action.Name)
	cs.busy = false
	switch r.Outcome {
	case Succeeded:
		d.sawClaims(r.Action.Name, r.Action.Claims, r.Version)
		cs.settle(addClaimed)
	case Failed:
		cs.retryAt = d.now + d.opt.Backoff
		cs.settle(addDropped)
	default:
		cs.stale = true
		cs.retryAt = d.afterDoubt(r.Outcome)
		cs.settle(addDropped)
	}
}

// settle ends the additions of the write that has ended.
func (cs *claimState) settle(stage addStage) {
	kept := cs.adding[:0]
	for _, a := range cs.adding {
		if a.stage != addClaiming {
			kept = append(kept, a)
			continue
		}
		a.stage = stage
	}
	cs.adding = kept
}

func (d *Decider) readClaims(r Result) {
	cs := d.claim(r.Action.Name)
	cs.busy = false
	if r.Outcome != Succeeded {
		cs.retryAt = d.now + d.opt.Backoff
		return
	}
	d.sawClaims(r.Action.Name, r.Claims, r.Version)
	cs.stale = false
}
