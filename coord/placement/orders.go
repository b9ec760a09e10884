package placement

import (
	"fmt"
	"time"
)

// orderState is the latest order for a slot. It is kept until a report shows the
// effect of the order.
type orderState struct {
	op               OrderOp
	id               string
	reason           string
	sent             bool
	awaitingResponse bool // sent, no response yet
	accepted         bool // the target has responded with success
	sentAt           time.Duration
	firstSentAt      time.Duration // with this id
	cache            CacheTier     // where the weights come from
	estimate         time.Duration
	shown            bool // a report has shown the load
	giveUpAt         time.Duration
}

// MarkUnreachable records that the target does not respond. Its next report reverses
// this.
func (d *Decider) MarkUnreachable(target string) {
	d.target(target).unreachable = true
}

// order sets the order for a slot and returns its state. If the slot already has an
// order with the same operation, that one is kept.
func (d *Decider) order(ts *targetState, s *Slot, op OrderOp, reason string) *orderState {
	if o := ts.orders[s.Decision]; o != nil && o.op == op {
		return o
	}
	o := &orderState{op: op, id: d.orderID(ts, s, op), reason: reason}
	o.cache = ts.cacheOf(s.Model)
	o.estimate = d.estimator.loadTime(routeOf(o.cache, s.Base), s.Bytes)
	ts.orders[s.Decision] = o
	d.markBusy(ts)
	return o
}

// orderID returns the id of an order. On a target that ignores fencing tokens all
// load orders for a slot have the same id, whichever decider sends them, so that
// the target carries out only one of them.
func (d *Decider) orderID(ts *targetState, s *Slot, op OrderOp) string {
	if !ts.spec.ChecksFence && op == OrderLoad {
		return s.Decision
	}
	d.serial++
	return fmt.Sprintf("%s%s%s-%d", s.Decision, idSeparator, d.opt.ID, d.serial)
}

func (ts *targetState) cacheOf(model string) CacheTier {
	if ts.report == nil {
		return CacheRemote
	}
	return ts.report.Cached[model]
}

// silent reports whether the target does not respond or has not reported within
// ReportTTL.
func (d *Decider) silent(ts *targetState) bool {
	return ts.report == nil || ts.unreachable || d.now-ts.report.TakenAt > d.opt.ReportTTL
}

// reconcile sends the orders that are due. It writes the target record if retired
// slots are proven empty, or if the target has seen a larger fencing token.
func (d *Decider) reconcile(ts *targetState) {
	if !ts.known || !ts.present {
		return
	}
	empty := map[string]bool{}
	for i := range ts.rec.Slots {
		s := &ts.rec.Slots[i]
		if s.Phase == PhaseRetire && d.provenEmpty(ts, s) {
			empty[s.Decision] = true
			continue
		}
		if s.Phase == PhaseRetire {
			d.order(ts, s, OrderUnload, "slot is retired")
		}
		if o := ts.orders[s.Decision]; o != nil {
			d.advanceOrder(ts, s, o)
		}
	}
	if ts.txn != nil || !ts.writable(d.now) {
		return
	}
	if len(empty) > 0 {
		rec := ts.rec.Clone()
		rec.Remove(empty)
		ts.callInFlight = true
		d.emit(Action{Kind: WriteTarget, Name: ts.rec.Target, Target: rec, Version: ts.version, Reason: "target shows the slot empty"})
		return
	}
	if ts.report != nil && ts.report.MaxFence > ts.rec.Fence && ts.report.TakenAt < ts.confirmedAt {
		rec := ts.rec.Clone()
		rec.Fence = ts.report.MaxFence
		ts.callInFlight = true
		d.emit(Action{Kind: WriteTarget, Name: ts.rec.Target, Target: rec, Version: ts.version, Reason: "target has seen a larger fencing number"})
	}
}

func (d *Decider) provenEmpty(ts *targetState, s *Slot) bool {
	if d.opt.Unsafe.SkipEmptyProof {
		return ts.report != nil && !ts.report.holds(s.Model)
	}
	return s.ProvenEmpty(ts.report, EmptyParams{
		ChecksFence: ts.spec.ChecksFence,
		RetiredAt:   ts.retiredAt[s.Decision],
		SendWindow:  d.opt.SendWindow,
		OrderTTL:    ts.spec.OrderTTL,
	})
}

// advanceOrder sends an order, and again at intervals until a report shows its
// effect.
func (d *Decider) advanceOrder(ts *targetState, s *Slot, o *orderState) {
	if d.orderDone(ts, s, o) {
		if s.Phase == PhaseHold {
			delete(ts.orders, s.Decision)
		}
		if o.op == OrderLoad && !ts.report.holds(s.Model) {
			ts.avoidUntil[s.Model] = d.now + avoidDuration
			d.unload(ts, s, "load failed")
		}
		return
	}
	if d.loadUsedUp(ts, s, o) {
		d.retire(ts, s, "target does not carry out the only load order of the slot")
		return
	}
	if o.awaitingResponse || o.sent && d.now < o.sentAt+d.opt.ResendInterval {
		return
	}
	if o.op == OrderLoad && o.sent && ts.report.Replicas[s.Model].State == StateLoading && ts.report.TakenAt >= o.firstSentAt {
		return // the load is in progress
	}
	until, ok := d.maySend(ts, s, o)
	if !ok {
		return
	}
	if !o.sent {
		o.firstSentAt = d.now
	}
	o.sent = true
	o.awaitingResponse = true
	o.sentAt = d.now
	d.emit(Action{
		Kind: SendOrder, Name: ts.rec.Target, Reason: o.reason, Expires: until,
		Order: Order{Op: o.op, Model: s.Model, Base: s.Base, Bytes: s.Bytes, Decision: o.id, Fence: ts.rec.Fence},
	})
}

// usedUpAfterResends is the number of resend intervals after which a target that
// accepted a load order without showing a replica must have carried it out before.
const usedUpAfterResends = 5

// loadUsedUp reports whether the slot can no longer be loaded: its target ignores
// fencing tokens and must have carried out the only load order of the slot before, so
// that sending it again has no effect.
func (d *Decider) loadUsedUp(ts *targetState, s *Slot, o *orderState) bool {
	if ts.spec.ChecksFence || o.op != OrderLoad || !o.accepted || s.Phase != PhaseHold {
		return false
	}
	return !ts.report.showsOrder(s.Decision) && ts.report.TakenAt > o.firstSentAt+usedUpAfterResends*d.opt.ResendInterval
}

// orderDone reports whether the latest report shows that the order need not be sent
// again.
func (d *Decider) orderDone(ts *targetState, s *Slot, o *orderState) bool {
	if ts.report == nil || !o.sent || ts.report.TakenAt < o.sentAt {
		return false
	}
	replica, listed := ts.report.Replicas[s.Model]
	if o.op == OrderUnload {
		return s.Phase == PhaseHold && o.accepted && !ts.report.holds(s.Model)
	}
	if listed && replica.State == StateFailed && replica.Order == o.id {
		return true
	}
	return listed && replica.State == StateReady
}

// maySend reports whether an order may be sent now, and until when.
//
// A load order must not take effect after its slot was removed. In each case the
// order must go to the incarnation that was alive when the record was last
// confirmed:
//
//   - A target that checks fencing tokens then refuses the order if the slot was
//     removed since, because that incarnation has seen a larger number.
//   - For a target that ignores them, the confirmation must also be more recent than
//     SendWindow. Another incarnation would not do: a restarted target has forgotten
//     the order that it carried out, and the slot may have been removed before.
//
// The report that names the incarnation must be more recent than SendWindow, too. A
// restart takes longer than that, so the target has not restarted since.
func (d *Decider) maySend(ts *targetState, s *Slot, o *orderState) (time.Duration, bool) {
	if d.silent(ts) || ts.report.Relayed {
		return 0, false
	}
	until := ts.report.TakenAt + d.opt.SendWindow
	if d.now >= until {
		return 0, false
	}
	if o.op == OrderUnload {
		return until, true
	}
	if s.Phase != PhaseHold {
		return 0, false
	}
	same := ts.confirmedIncarnation != "" && ts.report.Incarnation == ts.confirmedIncarnation
	if same && ts.spec.ChecksFence {
		return until, true
	}
	if same && d.now-ts.confirmedAt < d.opt.SendWindow {
		return min(until, ts.confirmedAt+d.opt.SendWindow), true
	}
	ts.stale = true
	return 0, false
}

// orderSent records the result of sending an order.
func (d *Decider) orderSent(r Result) {
	ts := d.target(r.Action.Name)
	for _, o := range ts.orders {
		if o.id != r.Action.Order.Decision {
			continue
		}
		o.awaitingResponse = false
		o.accepted = o.accepted || r.Outcome == Succeeded
	}
	if r.Outcome == Refused {
		ts.stale = true
	}
	d.markBusy(ts)
}

// measureLoads updates the estimator with the loads that the report shows as
// finished.
func (d *Decider) measureLoads(ts *targetState, report *Report) {
	ts.trackReady(report)
	for decision, o := range ts.orders {
		s := ts.rec.Slot(decision)
		if s == nil || o.op != OrderLoad || !o.sent {
			continue
		}
		replica, ok := report.Replicas[s.Model]
		if !ok || replica.Order != o.id {
			continue
		}
		if replica.State == StateReady {
			d.estimator.observe(routeOf(o.cache, s.Base), s.Bytes, report.TakenAt-o.firstSentAt)
		}
		o.shown = true
	}
}

// trackReady updates readySince from a report.
func (ts *targetState) trackReady(report *Report) {
	for model := range ts.readySince {
		if report.Replicas[model].State != StateReady {
			delete(ts.readySince, model)
		}
	}
	for model, r := range report.Replicas {
		if _, ok := ts.readySince[model]; !ok && r.State == StateReady {
			ts.readySince[model] = report.TakenAt
		}
	}
}
