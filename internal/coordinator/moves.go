package coordinator

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

func (o *Owner) carryOut(ctx context.Context, e *ownedEngine, c SwapCommand) error {
	if t, ok := o.fleetView.Target(e.id); ok && c.Load != "" && o.fleetView.Evacuated(t.Zone) { // before its unloads
		o.rereadContent(ctx, e)
		return &EvacuatedEngineError{Engine: e.id, Zone: t.Zone}
	}
	if len(c.Unload) > 0 {
		time.Sleep(drainDelay)
	}
	var unloadAt time.Duration // when the last unload was accepted; 0: none
	for _, model := range c.Unload {
		o.awaitUnload(e, unloadAt)
		outcome, err := o.orderUntilAccepted(ctx, e, fleet.Order{Kind: fleet.UnloadModel, Model: model}, unloadTimeout)
		if err == nil && outcome == fleet.OrderAlreadyDone {
			// The engine does not hold the model, so its memory is used by something else.
			err = &OrderError{Engine: e.id, Outcome: outcome}
		}
		if err != nil {
			o.rereadContent(ctx, e)
			return err
		}
		unloadAt = o.now()
		o.updateView(e, func(v *EngineView) { delete(v.Models, model) })
	}
	if c.Load == "" {
		return nil
	}
	o.awaitUnload(e, unloadAt)
	// The engine accepts the load only after its unloads are done, and only if they
	// were its last orders. So it never holds more than it has room for.
	if _, err := o.orderUntilAccepted(ctx, e, fleet.Order{Kind: fleet.LoadModel, Model: c.Load}, unloadTimeout); err != nil {
		o.rereadContent(ctx, e)
		return err
	}
	if unloadAt > 0 {
		o.unloads.record(o.serviceOf(e), o.now()-unloadAt)
	}
	o.updateView(e, func(v *EngineView) { v.Models[c.Load] = ModelView{State: swap.Loading} })
	if err := o.awaitLoad(ctx, e, c); err != nil {
		o.rereadContent(ctx, e)
		return err
	}
	o.updateView(e, func(v *EngineView) { v.Models[c.Load] = ModelView{} })
	return nil
}

// awaitUnload waits as long as an unload that was accepted at a time takes at least; 0: there was none.
func (o *Owner) awaitUnload(e *ownedEngine, acceptedAt time.Duration) {
	if acceptedAt > 0 {
		time.Sleep(o.unloads.least(o.serviceOf(e)) - (o.now() - acceptedAt))
	}
}

func (o *Owner) serviceOf(e *ownedEngine) string {
	t, _ := o.fleetView.Target(e.id)
	return t.Service
}

// order sends one order if this host still owns the engine and holds its lease.
func (o *Owner) order(ctx context.Context, e *ownedEngine, ord fleet.Order) (fleet.OrderOutcome, error) {
	t, ok := o.fleetView.Target(e.id)
	if !ok {
		return fleet.OrderNotSent, &UnknownEngineError{Engine: e.id}
	}
	if t.Draining {
		return fleet.OrderNotSent, &LeavingEngineError{Engine: e.id}
	}
	if ord.Kind == fleet.LoadModel && o.fleetView.Evacuated(t.Zone) {
		return fleet.OrderNotSent, &EvacuatedEngineError{Engine: e.id, Zone: t.Zone}
	}
	e.fenceLock.RLock()
	defer e.fenceLock.RUnlock()
	ord.TargetID, ord.Holder, ord.Fence = e.id, o.holder, e.fence
	o.mu.Lock()
	current := o.owned[e.id] == e && o.term == o.lease.Term()
	o.mu.Unlock()
	if !current {
		return fleet.OrderNotSent, &UnknownEngineError{Engine: e.id} // the engine restarted, or this host lost it
	}
	if !o.lease.Holds(e.fence) {
		return fleet.OrderNotSent, &NoLeaseError{}
	}
	// The caller's cancellation must not abort the order: its outcome would be unknown.
	outcome, err := o.engines.Order(context.WithoutCancel(ctx), t.Address, ord)
	if outcome == fleet.OrderUnknown {
		o.mu.Lock()
		e.uncertainUntil = o.now() + maxOrderDelay
		o.mu.Unlock()
	}
	fields := logrus.Fields{"event": "order", "engine": e.id, "kind": ord.Kind, "model": ord.Model, "adapter": ord.Adapter,
		"after": ord.ExpectedOrders, "outcome": outcome.String()}
	if err != nil {
		fields["cause"] = err.Error()
	}
	o.log.WithFields(fields).Info("order sent to engine")
	return outcome, nil
}

// orderUntilAccepted sends an order until the engine accepts it. An order without a
// response is sent again with the same expected order count, so that only one of the two can
// be carried out.
func (o *Owner) orderUntilAccepted(ctx context.Context, e *ownedEngine, ord fleet.Order, timeout time.Duration) (fleet.OrderOutcome, error) {
	began, checkAt := o.now(), o.now()+maxDiskLoadTime
	for {
		ord.ExpectedOrders = o.orderCount(e)
		outcome, err := o.order(ctx, e, ord)
		if err != nil {
			return outcome, err
		}
		switch outcome {
		case fleet.OrderAccepted:
			o.updateView(e, func(v *EngineView) { v.Orders++ })
			return outcome, nil
		case fleet.OrderAlreadyDone:
			return outcome, nil
		case fleet.OrderBusy, fleet.OrderUnknown, fleet.OrderNotSent:
		default:
			return outcome, &OrderError{Engine: e.id, Outcome: outcome}
		}
		if o.now() > began+timeout || ctx.Err() != nil {
			return outcome, &OrderError{Engine: e.id, Outcome: outcome}
		}
		if outcome == fleet.OrderUnknown || o.now() > checkAt {
			checkAt = o.now() + maxDiskLoadTime
			if o.orderCountDiffers(ctx, e) {
				// Either this order was accepted but the response was lost, or an older
				// order was carried out late. The caller must read the content again.
				return outcome, &OrderError{Engine: e.id, Outcome: outcome}
			}
		}
		time.Sleep(orderRetryInterval)
	}
}

func (o *Owner) busy(e *ownedEngine) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return e.view.Busy
}

func (o *Owner) orderCount(e *ownedEngine) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return e.view.Orders
}

// orderCountDiffers reports whether the engine's order count differs from this host's. It
// does not store the engine's count: without the content of the same report, later orders
// would expect a count that does not match this host's view of the content.
func (o *Owner) orderCountDiffers(ctx context.Context, e *ownedEngine) bool {
	e.adapterLock <- struct{}{} // an adapter order during this would make the report outdated
	defer func() { <-e.adapterLock }()
	time.Sleep(reportLag)
	t, ok := o.fleetView.Target(e.id)
	if !ok || t.Draining {
		return false
	}
	report, err := o.engines.Report(ctx, t.Address, e.id)
	if err != nil {
		o.log.WithFields(logrus.Fields{"event": "report_failed", "engine": e.id}).Warn(err.Error())
		return false
	}
	expected := o.orderCount(e)
	if report.Orders != expected {
		o.log.WithFields(logrus.Fields{"event": "orders_differ", "engine": e.id, "orders": report.Orders, "believed": expected}).Warn("order count of the engine differs from that of this host")
	}
	return report.Orders != expected
}

// rereadContent reads what the engine holds after an order with an unexpected outcome. If
// that fails, it gives up the engine.
func (o *Owner) rereadContent(ctx context.Context, e *ownedEngine) {
	e.adapterLock <- struct{}{}
	defer func() { <-e.adapterLock }()
	for range rereadTries {
		if t, ok := o.fleetView.Target(e.id); ok && t.Draining {
			break
		}
		if o.readReport(ctx, e) {
			return
		}
	}
	o.disown(e, "its content could not be read")
}

// rereadTries is the maximum number of attempts to read a report while an engine is busy
// or unreachable.
const rereadTries = 20

// readReport updates the order count and the content from one report, unless the engine is
// busy. It reports whether it did. The caller must hold e.adapterLock.
func (o *Owner) readReport(ctx context.Context, e *ownedEngine) bool {
	time.Sleep(reportLag)
	t, ok := o.fleetView.Target(e.id)
	if !ok {
		return false
	}
	report, err := o.engines.Report(ctx, t.Address, e.id)
	if err != nil {
		o.log.WithFields(logrus.Fields{"event": "report_failed", "engine": e.id}).Warn(err.Error())
		return false
	}
	if report.Busy {
		o.updateView(e, func(v *EngineView) { v.ForeignOrder = true })
		return false
	}
	o.updateView(e, func(v *EngineView) { v.Orders, v.Models, v.ForeignOrder = report.Orders, modelsIn(report), false })
	return true
}

// disown gives up an engine. Its next owner reads its content before it sends an order.
func (o *Owner) disown(e *ownedEngine, reason string) {
	o.mu.Lock()
	if o.owned[e.id] == e {
		delete(o.owned, e.id)
	}
	o.mu.Unlock()
	o.log.WithFields(logrus.Fields{"event": "engine_given_up", "engine": e.id}).Warn("gave up the engine: " + reason)
	o.changed()
}

func modelsIn(report fleet.EngineReport) map[string]ModelView {
	out := make(map[string]ModelView, len(report.Models))
	for model, adapters := range report.Models {
		out[model] = ModelView{Adapters: adapters}
	}
	return out
}

// sameModels reports whether a check-in lists the same models as a view.
func sameModels(v EngineView, t fleet.Target) bool {
	if len(v.Models) != len(t.Models) {
		return false
	}
	for model := range t.Models {
		if _, ok := v.Models[model]; !ok {
			return false
		}
	}
	return true
}

// resync reads what an engine holds if its check-in differs from this host's view.
func (o *Owner) resync(e *ownedEngine) {
	e.orderLock <- struct{}{}
	defer func() { <-e.orderLock }()
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	o.log.WithFields(logrus.Fields{"event": "engine_differs", "engine": e.id}).Warn("check-in differs from the orders sent; reading the engine's report")
	o.rereadContent(ctx, e)
	o.mu.Lock()
	e.rereading = false
	o.mu.Unlock()
}

// awaitLoad waits until a load is done. It polls by sending the load again, as the
// engine's reports lag behind by more than a load takes.
func (o *Owner) awaitLoad(ctx context.Context, e *ownedEngine, c SwapCommand) error {
	t, ok := o.fleetView.Target(e.id)
	if !ok {
		return &UnknownEngineError{Engine: e.id}
	}
	expected, timeout := o.loadTime(t.Service, c), maxDiskLoadTime*4
	if c.Source == swap.FromStore {
		timeout = storeLoadTimeout
	}
	began := o.now()
	time.Sleep(expected)
	for {
		outcome, err := o.order(ctx, e, fleet.Order{Kind: fleet.LoadModel, Model: c.Load, ExpectedOrders: o.orderCount(e)})
		if err != nil {
			return err
		}
		switch outcome {
		case fleet.OrderAlreadyDone:
			return nil
		case fleet.OrderAccepted, fleet.OrderBusy, fleet.OrderUnknown, fleet.OrderNotSent:
			// Still loading. An engine accepts a repeated load while it is in
			// progress, but does not count it again.
		default:
			return &OrderError{Engine: e.id, Outcome: outcome}
		}
		elapsed := o.now() - began
		if elapsed > timeout {
			return &OrderError{Engine: e.id, Outcome: outcome}
		}
		time.Sleep(max(orderRetryInterval, elapsed/20))
	}
}

func (o *Owner) loadTime(service string, c SwapCommand) time.Duration {
	s := o.fleetView.Config().Services[service]
	if s.Engine == nil {
		return 0
	}
	m := s.Engine.Models[c.Load]
	return [...]time.Duration{m.MemoryLoad, m.DiskLoad, m.StoreLoad}[c.Source]
}

// EvacuatedEngineError reports an engine in an evacuated zone, to which no load is sent.
type EvacuatedEngineError struct{ Engine, Zone string }

func (e *EvacuatedEngineError) Error() string {
	return "engine " + e.Engine + " is in the evacuated zone " + e.Zone
}
