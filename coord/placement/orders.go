package placement

import (
	"fmt"
	"time"
)

// orderState is the last order for a slot, kept until the target shows its
// effect.
type orderState struct {
	op       OrderOp
	id       string
	why      string
	sent     bool
	busy     bool // the answer is still to come
	answered bool // the target has taken the order on
	sentAt   time.Duration
	firstAt  time.Duration // of this id
	cache    Cache         // where the weights come from
	est      time.Duration
	shown    bool // a report has shown the load
	until    time.Duration
}

// MarkUnreachable takes in that the target does not answer. The next report ends it.
func (d *Decider) MarkUnreachable(target string) {
	d.target(target).lost = true
}

// order sets what the target shall do with a slot. The same order again
// changes nothing.
func (d *Decider) order(ts *targetState, s *Slot, op OrderOp, why string) *orderState {
	if os := ts.orders[s.Decision]; os != nil && os.op == op {
		return os
	}
	os := &orderState{op: op, id: d.orderID(ts, s, op), why: why}
	os.cache = ts.cacheOf(s.Model)
	os.est = d.est.time(routeOf(os.cache, s.Base), s.Bytes)
	ts.orders[s.Decision] = os
	d.attend(ts)
	return os
}

// orderID names an order. A slot on a target that ignores fencing numbers has
// a single load order, whoever sends it, so that one that was carried out
// makes all its repeats void.
func (d *Decider) orderID(ts *targetState, s *Slot, op OrderOp) string {
	if !ts.spec.ChecksFence && op == OrderLoad {
		return s.Decision
	}
	d.serial++
	return fmt.Sprintf("%s%s%s-%d", s.Decision, orderSeparator, d.opt.ID, d.serial)
}

func (ts *targetState) cacheOf(model string) Cache {
	if ts.rep == nil {
		return CacheRemote
	}
	return ts.rep.Cached[model]
}

// silent reports whether the target has not reported for too long.
func (d *Decider) silent(ts *targetState) bool {
	return ts.rep == nil || ts.lost || d.now-ts.rep.TakenAt > d.opt.ReportLife
}

// reconcile drives the target towards its record and its orders.
func (d *Decider) reconcile(ts *targetState) {
	if !ts.known || !ts.present {
		return
	}
	gone := map[string]bool{}
	for i := range ts.rec.Slots {
		s := &ts.rec.Slots[i]
		if s.Phase == PhaseRetire && d.gone(ts, s) {
			gone[s.Decision] = true
			continue
		}
		if s.Phase == PhaseRetire {
			d.order(ts, s, OrderUnload, "slot is retired")
		}
		if os := ts.orders[s.Decision]; os != nil {
			d.drive(ts, s, os)
		}
	}
	if ts.txn != nil || !ts.writable(d.now) {
		return
	}
	if len(gone) > 0 {
		rec := ts.rec.Clone()
		rec.Remove(gone)
		ts.busy = true
		d.emit(Action{Kind: WriteTarget, Name: ts.rec.Target, Target: rec, Version: ts.version, Reason: "target shows the slot empty"})
		return
	}
	if ts.rep != nil && ts.rep.MaxFence > ts.rec.Fence && ts.rep.TakenAt < ts.confirmedAt {
		rec := ts.rec.Clone()
		rec.Fence = ts.rep.MaxFence
		ts.busy = true
		d.emit(Action{Kind: WriteTarget, Name: ts.rec.Target, Target: rec, Version: ts.version, Reason: "target has seen a larger fencing number"})
	}
}

func (d *Decider) gone(ts *targetState, s *Slot) bool {
	if d.opt.Unsafe.NoGoneProof {
		return ts.rep != nil && !ts.rep.holds(s.Model)
	}
	return s.Gone(ts.rep, GoneRule{
		ChecksFence: ts.spec.ChecksFence,
		RetiredAt:   ts.retired[s.Decision],
		SendWindow:  d.opt.SendWindow,
		OrderLife:   ts.spec.OrderTTL,
	})
}

// drive sends an order again until the target shows its effect.
func (d *Decider) drive(ts *targetState, s *Slot, os *orderState) {
	if d.settled(ts, s, os) {
		if s.Phase == PhaseHold {
			delete(ts.orders, s.Decision)
		}
		if os.op == OrderLoad && !ts.rep.holds(s.Model) {
			ts.avoid[s.Model] = d.now + avoidLife
			d.unload(ts, s, "load failed")
		}
		return
	}
	if d.spent(ts, s, os) {
		d.retire(ts, s, "target does not carry out the only load order of the slot")
		return
	}
	if os.busy || os.sent && d.now < os.sentAt+d.opt.Resend {
		return
	}
	if os.op == OrderLoad && os.sent && ts.rep.Replicas[s.Model].State == StateLoading && ts.rep.TakenAt >= os.firstAt {
		return // under way
	}
	until, ok := d.maySend(ts, s, os)
	if !ok {
		return
	}
	if !os.sent {
		os.firstAt = d.now
	}
	os.sent = true
	os.busy = true
	os.sentAt = d.now
	d.emit(Action{
		Kind: SendOrder, Name: ts.rec.Target, Reason: os.why, Expires: until,
		Order: Order{Op: os.op, Model: s.Model, Base: s.Base, Bytes: s.Bytes, Decision: os.id, Fence: ts.rec.Fence},
	})
}

// spentAfter is the number of resend periods after which a target that took
// the load order on and shows nothing of it must have carried it out before.
const spentAfter = 5

// spent reports whether the only load order of a slot, on a target that
// ignores fencing numbers, has been used up.
func (d *Decider) spent(ts *targetState, s *Slot, os *orderState) bool {
	if ts.spec.ChecksFence || os.op != OrderLoad || !os.answered || s.Phase != PhaseHold {
		return false
	}
	return !ts.rep.showsOrder(s.Decision) && ts.rep.TakenAt > os.firstAt+spentAfter*d.opt.Resend
}

// settled reports whether the target shows that the order needs no repeat.
func (d *Decider) settled(ts *targetState, s *Slot, os *orderState) bool {
	if ts.rep == nil || !os.sent || ts.rep.TakenAt < os.sentAt {
		return false
	}
	rep, listed := ts.rep.Replicas[s.Model]
	if os.op == OrderUnload {
		return s.Phase == PhaseHold && os.answered && !ts.rep.holds(s.Model)
	}
	if listed && rep.State == StateFailed && rep.Order == os.id {
		return true
	}
	return listed && rep.State == StateReady
}

// maySend reports whether an order may be sent now, and until when.
//
// An order to load must not reach a target after its slot has gone. On a
// target that checks fencing numbers this holds if the incarnation that is
// addressed is the one that was alive when the record was last confirmed: if
// the slot went since, that incarnation has seen a larger number. Otherwise the
// record must have been confirmed within SendWindow and while the incarnation
// that is addressed was alive: after a restart the target has forgotten the
// order that it carried out, and the slot may have gone before. The target must
// not have restarted since its last report, which takes it longer than
// SendWindow.
func (d *Decider) maySend(ts *targetState, s *Slot, os *orderState) (time.Duration, bool) {
	if d.silent(ts) || ts.rep.Relayed {
		return 0, false
	}
	until := ts.rep.TakenAt + d.opt.SendWindow
	if d.now >= until {
		return 0, false
	}
	if os.op == OrderUnload {
		return until, true
	}
	if s.Phase != PhaseHold {
		return 0, false
	}
	same := ts.confirmed != "" && ts.rep.Incarnation == ts.confirmed
	if same && ts.spec.ChecksFence {
		return until, true
	}
	if same && d.now-ts.confirmedAt < d.opt.SendWindow {
		return min(until, ts.confirmedAt+d.opt.SendWindow), true
	}
	ts.stale = true
	return 0, false
}

// ordered takes in the answer to an order.
func (d *Decider) ordered(r Result) {
	ts := d.target(r.Action.Name)
	for _, os := range ts.orders {
		if os.id != r.Action.Order.Decision {
			continue
		}
		os.busy = false
		os.answered = os.answered || r.Outcome == Succeeded
	}
	if r.Outcome == Refused {
		ts.stale = true
	}
	d.attend(ts)
}

// learn measures the loads that a report shows as finished.
func (d *Decider) learn(ts *targetState, rep *Report) {
	ts.noteLoaded(rep)
	for decision, os := range ts.orders {
		s := ts.rec.Slot(decision)
		if s == nil || os.op != OrderLoad || !os.sent {
			continue
		}
		now, ok := rep.Replicas[s.Model]
		if !ok || now.Order != os.id {
			continue
		}
		if now.State == StateReady {
			d.est.measured(routeOf(os.cache, s.Base), s.Bytes, rep.TakenAt-os.firstAt)
		}
		os.shown = true
	}
}

// noteLoaded keeps since when each model is ready.
func (ts *targetState) noteLoaded(rep *Report) {
	for model := range ts.loadedAt {
		if rep.Replicas[model].State != StateReady {
			delete(ts.loadedAt, model)
		}
	}
	for model, r := range rep.Replicas {
		if _, ok := ts.loadedAt[model]; !ok && r.State == StateReady {
			ts.loadedAt[model] = rep.TakenAt
		}
	}
}
