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

// transaction adds slots to one target record. Until it ends, the decider makes no
// other write to the record, so that the version named in the claims stays current.
type transaction struct {
	version   uint64
	additions []*addition
}

// additionStage is the stage of an addition. While it is claiming, its claim is being
// written. It is dropped if its claim is refused or the write does not succeed.
type additionStage int

const (
	stageNew additionStage = iota
	stageClaiming
	stageClaimed
	stageDropped
)

// addition is a slot that is being added to the records.
type addition struct {
	slot   Slot
	base   string
	target string
	txn    *transaction
	stage  additionStage
	reason string
}

// startAddition starts adding a slot for the model on a target.
func (d *Decider) startAddition(ts *targetState, spec ModelSpec, reason string) *addition {
	if ts.txn == nil {
		ts.txn = &transaction{version: ts.version}
	}
	a := &addition{
		slot:   Slot{Decision: d.nextDecision(), Model: spec.Name, Base: spec.Base, Bytes: spec.Bytes},
		base:   spec.claimBase(),
		target: ts.rec.Target,
		txn:    ts.txn,
		reason: reason,
	}
	d.markBusy(ts)
	ts.txn.additions = append(ts.txn.additions, a)
	cs := d.claimsOf(a.base)
	cs.additions = append(cs.additions, a)
	return a
}

// readStale issues reads of the stale claim records, and of the stale records of the
// given targets.
func (d *Decider) readStale(names []string) {
	for _, name := range names {
		ts := d.targets[name]
		if ts.stale && !ts.callInFlight && d.now >= ts.retryAt {
			ts.callInFlight = true
			d.emit(Action{Kind: ReadTarget, Name: name})
		}
	}
	for _, base := range sortedKeys(d.claims) {
		cs := d.claims[base]
		if cs.stale && !cs.callInFlight && d.now >= cs.retryAt {
			cs.callInFlight = true
			d.emit(Action{Kind: ReadClaims, Name: base})
		}
	}
}

// updateClaims issues writes of the claim records that have obsolete claims to remove
// or claims of new additions to add.
func (d *Decider) updateClaims() {
	for _, base := range sortedKeys(d.claims) {
		cs := d.claims[base]
		if !cs.known || cs.callInFlight || cs.stale || d.now < cs.retryAt || !cs.recheck && len(cs.additions) == 0 {
			continue
		}
		cs.recheck = false
		obsolete := map[string]bool{}
		for i := range cs.rec.Claims {
			if d.claimObsolete(cs, &cs.rec.Claims[i]) {
				obsolete[cs.rec.Claims[i].Decision] = true
			}
		}
		if len(obsolete) == 0 && len(cs.additions) == 0 {
			continue
		}
		rec := cs.rec.Clone()
		rec.Remove(obsolete)
		added := d.addClaims(&rec, cs)
		if len(obsolete) == 0 && added == 0 {
			continue
		}
		cs.callInFlight = true
		d.emit(Action{Kind: WriteClaims, Name: base, Claims: rec, Version: cs.version, Reason: "claims"})
	}
}

// addClaims adds the claims of new additions and returns their number.
func (d *Decider) addClaims(rec *ClaimRecord, cs *claimState) int {
	n := 0
	waiting := cs.additions
	cs.additions = nil
	for _, a := range waiting {
		if !d.inTransaction(a) {
			continue
		}
		limit := d.specs[a.slot.Model].MaxReplicas
		if d.opt.Unsafe.SkipClaimLimit {
			limit = len(rec.Claims) + 1
		}
		c := Claim{Decision: a.slot.Decision, Model: a.slot.Model, Target: a.target, TargetVersion: a.txn.version}
		if rec.Add(c, limit) != nil {
			a.stage = stageDropped
			continue
		}
		a.stage = stageClaiming
		cs.additions = append(cs.additions, a)
		n++
	}
	return n
}

// inTransaction reports whether the transaction of an addition is still in progress.
func (d *Decider) inTransaction(a *addition) bool { return d.targets[a.target].txn == a.txn }

// claimObsolete reports whether a claim may be removed. A claim on a target that the
// operators have removed from the configuration may be removed without further proof.
func (d *Decider) claimObsolete(cs *claimState, c *Claim) bool {
	ts := d.targets[c.Target]
	if ts == nil || !ts.present {
		return true
	}
	if ts.known && ts.rec.Slot(c.Decision) != nil {
		return false
	}
	cs.recheck = true // a later step decides
	if !ts.known || ts.isAdding(c.Decision) {
		return false
	}
	if c.Obsolete(&ts.rec, ts.version) {
		return true
	}
	if ts.version == c.TargetVersion && ts.txn == nil && ts.writable(d.now) {
		// The decider that added the claim ended or is paused between its two
		// writes. Any write to the target record makes its second one fail.
		ts.callInFlight = true
		d.emit(Action{Kind: WriteTarget, Name: c.Target, Target: ts.rec.Clone(), Version: ts.version, Reason: "void a claim without slot"})
	}
	return false
}

func (ts *targetState) isAdding(decision string) bool {
	if ts.txn == nil {
		return false
	}
	for _, a := range ts.txn.additions {
		if a.slot.Decision == decision {
			return true
		}
	}
	return false
}

// writable reports whether the record may be written now.
func (ts *targetState) writable(now time.Duration) bool {
	return ts.known && ts.present && !ts.callInFlight && !ts.stale && now >= ts.retryAt
}

// advanceTransaction writes the slots of the transaction once the writes of all its
// claims have ended. It drops the transaction if the record has changed.
func (d *Decider) advanceTransaction(ts *targetState) {
	if ts.txn == nil || ts.callInFlight || d.now < ts.retryAt {
		return
	}
	if !d.opt.Unsafe.SkipVersionCheck && (ts.stale || ts.version != ts.txn.version) {
		ts.txn = nil
		return
	}
	if ts.stale {
		return
	}
	d.writeClaimedSlots(ts)
}

func (d *Decider) writeClaimedSlots(ts *targetState) {
	rec := ts.rec.Clone()
	used := rec.UsedBytes(ts.report)
	capacity := ts.capacity()
	added := 0
	reason := ""
	for _, a := range ts.txn.additions {
		if a.stage == stageNew || a.stage == stageClaiming {
			return
		}
		if a.stage != stageClaimed || rec.Add(a.slot, capacity, used) != nil {
			continue
		}
		used += a.slot.Bytes
		added++
		reason = a.reason
	}
	if added == 0 {
		ts.txn = nil
		return
	}
	ts.callInFlight = true
	d.emit(Action{Kind: WriteTarget, Name: ts.rec.Target, Target: rec, Version: ts.version, Reason: reason})
}

// capacity returns the memory of the target: the configured or the reported one,
// whichever is smaller.
func (ts *targetState) capacity() int64 {
	if ts.report != nil && ts.report.Capacity > 0 {
		return min(ts.spec.Bytes, ts.report.Capacity)
	}
	return ts.spec.Bytes
}

// Done records the result of an action.
func (d *Decider) Done(now time.Duration, r Result) {
	d.now = now
	switch r.Action.Kind {
	case WriteTarget:
		d.targetWritten(r)
	case ReadTarget:
		d.targetRead(r)
	case WriteClaims:
		d.claimsWritten(r)
	case ReadClaims:
		d.claimsRead(r)
	case SendOrder:
		d.orderSent(r)
	}
}

func (d *Decider) targetWritten(r Result) {
	ts := d.target(r.Action.Name)
	ts.callInFlight = false
	switch r.Outcome {
	case Succeeded:
		d.checkReport(ts, r.Action.IssuedAt)
		ts.txn = nil
		d.recordTarget(d.now, r.Action.IssuedAt, r.Action.Name, r.Action.Target, r.Version)
	case Failed:
		ts.txn = nil
		ts.retryAt = d.now + d.opt.Backoff
	default:
		// The record must be read again first. The transaction is dropped,
		// because the version that its claims name is no longer current or may
		// yet be replaced.
		ts.stale = true
		ts.retryAt = d.rereadAt(r.Outcome)
		if !d.opt.Unsafe.SkipVersionCheck {
			ts.txn = nil
		}
	}
	d.markBusy(ts)
}

// rereadAt returns when to read a record again after a write that met a conflict or
// had an unknown outcome. The latter waits for Backoff: a record store that fails to
// respond must not be called again at once.
func (d *Decider) rereadAt(o Outcome) time.Duration {
	if o == Unknown {
		return d.now + d.opt.Backoff
	}
	return d.now
}

func (d *Decider) targetRead(r Result) {
	ts := d.target(r.Action.Name)
	ts.callInFlight = false
	if r.Outcome != Succeeded {
		ts.retryAt = d.now + d.opt.Backoff
		return
	}
	d.recordTarget(d.now, r.Action.IssuedAt, r.Action.Name, r.Target, r.Version)
	ts.stale = false
}

func (d *Decider) claimsWritten(r Result) {
	cs := d.claimsOf(r.Action.Name)
	cs.callInFlight = false
	switch r.Outcome {
	case Succeeded:
		d.recordClaims(r.Action.Name, r.Action.Claims, r.Version)
		cs.finishAdditions(stageClaimed)
	case Failed:
		cs.retryAt = d.now + d.opt.Backoff
		cs.finishAdditions(stageDropped)
	default:
		cs.stale = true
		cs.retryAt = d.rereadAt(r.Outcome)
		cs.finishAdditions(stageDropped)
	}
}

// finishAdditions moves the additions whose claims were being written to the stage,
// after that write has ended.
func (cs *claimState) finishAdditions(stage additionStage) {
	kept := cs.additions[:0]
	for _, a := range cs.additions {
		if a.stage != stageClaiming {
			kept = append(kept, a)
			continue
		}
		a.stage = stage
	}
	cs.additions = kept
}

func (d *Decider) claimsRead(r Result) {
	cs := d.claimsOf(r.Action.Name)
	cs.callInFlight = false
	if r.Outcome != Succeeded {
		cs.retryAt = d.now + d.opt.Backoff
		return
	}
	d.recordClaims(r.Action.Name, r.Claims, r.Version)
	cs.stale = false
}
