package steer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

func (o *Owner) carryOut(ctx context.Context, e *ownedEngine, c SwapCommand) error {
	if len(c.Unload) > 0 {
		time.Sleep(closeDelay)
	}
	for _, model := range c.Unload {
		outcome, err := o.give(ctx, e, fleet.Order{Kind: fleet.UnloadModel, Model: model}, unloadBound)
		if err == nil && outcome == fleet.OrderAlreadyDone {
			// It did not hold the model: what takes the room is something else.
			err = &OrderError{Engine: e.id, Outcome: outcome}
		}
		if err != nil {
			o.reread(ctx, e)
			return err
		}
		o.edit(e, func(v *EngineView) { delete(v.Models, model) })
	}
	if c.Load == "" {
		return nil
	}
	// The engine takes the load only after its unloads are done, and only if
	// they were its last orders: it never holds more than it has room for.
	if _, err := o.give(ctx, e, fleet.Order{Kind: fleet.LoadModel, Model: c.Load}, unloadBound); err != nil {
		o.reread(ctx, e)
		return err
	}
	o.edit(e, func(v *EngineView) { v.Models[c.Load] = ModelView{State: swap.Loading} })
	if err := o.awaitLoad(ctx, e, c); err != nil {
		o.reread(ctx, e)
		return err
	}
	o.edit(e, func(v *EngineView) { v.Models[c.Load] = ModelView{} })
	return nil
}

// order gives one order, if this host still may.
func (o *Owner) order(ctx context.Context, e *ownedEngine, ord fleet.Order) (fleet.OrderOutcome, error) {
	t, ok := o.board.Target(e.id)
	if !ok {
		return fleet.OrderNotSent, &UnknownEngineError{Engine: e.id}
	}
	ord.TargetID, ord.Holder, ord.Fence = e.id, o.holder, e.fence
	o.mu.Lock()
	current := o.owned[e.id] == e && o.term == o.lease.Term()
	o.mu.Unlock()
	if !current {
		return fleet.OrderNotSent, &UnknownEngineError{Engine: e.id} // it started again, or was lost meanwhile
	}
	if !o.lease.Held() {
		return fleet.OrderNotSent, &NoLeaseError{}
	}
	// Who asked may leave: an order cut off then would leave its outcome unknown.
	outcome, err := o.engines.Order(context.WithoutCancel(ctx), t.Address, ord)
	if outcome == fleet.OrderUnknown {
		o.mu.Lock()
		e.doubtUntil = o.now() + lateOrders
		o.mu.Unlock()
	}
	fields := logrus.Fields{"event": "order", "engine": e.id, "kind": ord.Kind, "model": ord.Model, "adapter": ord.Adapter,
		"after": ord.ExpectedOrders, "outcome": outcome.String()}
	if err != nil {
		fields["cause"] = err.Error()
	}
	o.log.WithFields(fields).Info("order given")
	return outcome, nil
}

// give gives an order until the engine accepted it. An order without an answer
// is given again with the same count of orders expected: only one of the two
// can be carried out.
func (o *Owner) give(ctx context.Context, e *ownedEngine, ord fleet.Order, bound time.Duration) (fleet.OrderOutcome, error) {
	began, doubt := o.now(), o.now()+doubtAfter
	for {
		ord.ExpectedOrders = o.orders(e)
		outcome, err := o.order(ctx, e, ord)
		if err != nil {
			return outcome, err
		}
		switch outcome {
		case fleet.OrderAccepted:
			o.edit(e, func(v *EngineView) { v.Orders++ })
			return outcome, nil
		case fleet.OrderAlreadyDone:
			return outcome, nil
		case fleet.OrderBusy, fleet.OrderUnknown, fleet.OrderNotSent:
		default:
			return outcome, &OrderError{Engine: e.id, Outcome: outcome}
		}
		if o.now() > began+bound || ctx.Err() != nil {
			return outcome, &OrderError{Engine: e.id, Outcome: outcome}
		}
		if outcome == fleet.OrderUnknown || o.now() > doubt {
			doubt = o.now() + doubtAfter
			if o.differs(ctx, e) {
				// This order was accepted without an answer, or an older one was
				// carried out late: what the engine holds has to be read again.
				return outcome, &OrderError{Engine: e.id, Outcome: outcome}
			}
		}
		time.Sleep(orderRetry)
	}
}

func (o *Owner) busy(e *ownedEngine) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return e.view.Busy
}

func (o *Owner) orders(e *ownedEngine) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return e.view.Orders
}

// differs reports whether the engine counts other orders than this host. The
// count is not taken in without what the engine holds: orders that expect it
// would rest on an older belief.
func (o *Owner) differs(ctx context.Context, e *ownedEngine) bool {
	e.adapters <- struct{}{} // no adapter is exchanged meanwhile: the report would be older
	defer func() { <-e.adapters }()
	time.Sleep(reportLag)
	t, ok := o.board.Target(e.id)
	if !ok {
		return false
	}
	report, err := o.engines.Report(ctx, t.Address, e.id)
	if err != nil {
		o.log.WithFields(logrus.Fields{"event": "report_failed", "engine": e.id}).Warn(err.Error())
		return false
	}
	believed := o.orders(e)
	if report.Orders != believed {
		o.log.WithFields(logrus.Fields{"event": "orders_differ", "engine": e.id, "orders": report.Orders, "believed": believed}).Warn("engine counts other orders than this host")
	}
	return report.Orders != believed
}

// reread takes in what the engine says that it holds, after an order that did
// not end as expected.
func (o *Owner) reread(ctx context.Context, e *ownedEngine) {
	e.adapters <- struct{}{}
	defer func() { <-e.adapters }()
	for range rereadTries {
		if o.snapshot(ctx, e) {
			return
		}
	}
	o.disown(e)
}

// rereadTries bounds the reports that are waited for while an engine is busy or
// out of reach.
const rereadTries = 20

// snapshot takes in count and content from one report, unless the engine is
// busy. Call with e.adapters taken.
func (o *Owner) snapshot(ctx context.Context, e *ownedEngine) bool {
	time.Sleep(reportLag)
	t, ok := o.board.Target(e.id)
	if !ok {
		return false
	}
	report, err := o.engines.Report(ctx, t.Address, e.id)
	if err != nil {
		o.log.WithFields(logrus.Fields{"event": "report_failed", "engine": e.id}).Warn(err.Error())
		return false
	}
	if report.Busy {
		o.edit(e, func(v *EngineView) { v.Unasked = true })
		return false
	}
	o.edit(e, func(v *EngineView) { v.Orders, v.Models, v.Unasked = report.Orders, modelsIn(report), false })
	return true
}

// disown gives an engine up whose content could not be read: whoever owns it
// next reads it first.
func (o *Owner) disown(e *ownedEngine) {
	o.mu.Lock()
	if o.owned[e.id] == e {
		delete(o.owned, e.id)
	}
	o.mu.Unlock()
	o.log.WithFields(logrus.Fields{"event": "engine_given_up", "engine": e.id}).Warn("its content could not be read")
	o.changed()
}

func modelsIn(report fleet.EngineReport) map[string]ModelView {
	out := make(map[string]ModelView, len(report.Models))
	for model, adapters := range report.Models {
		out[model] = ModelView{Adapters: adapters}
	}
	return out
}

// sameModels reports whether a check-in names the models of a view.
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

// resync reads what an engine holds, when its check-ins disagree with this
// host's belief.
func (o *Owner) resync(e *ownedEngine) {
	e.turn <- struct{}{}
	defer func() { <-e.turn }()
	ctx, cancel := context.WithTimeout(context.Background(), moveBound)
	defer cancel()
	o.log.WithFields(logrus.Fields{"event": "engine_differs", "engine": e.id}).Warn("check-ins disagree with the orders given; reading the engine's report")
	o.reread(ctx, e)
	o.mu.Lock()
	e.rereading = false
	o.mu.Unlock()
}

// awaitLoad waits until a load is done. The engine is asked by giving the load
// again: its reports lag by more than a load takes.
func (o *Owner) awaitLoad(ctx context.Context, e *ownedEngine, c SwapCommand) error {
	t, ok := o.board.Target(e.id)
	if !ok {
		return &UnknownEngineError{Engine: e.id}
	}
	expected, bound := o.loadTime(t.Service, c), doubtAfter*4
	if c.Source == swap.FromStore {
		bound = storeLoadMost
	}
	began := o.now()
	time.Sleep(expected)
	for {
		outcome, err := o.order(ctx, e, fleet.Order{Kind: fleet.LoadModel, Model: c.Load, ExpectedOrders: o.orders(e)})
		if err != nil {
			return err
		}
		switch outcome {
		case fleet.OrderAlreadyDone:
			return nil
		case fleet.OrderAccepted, fleet.OrderBusy, fleet.OrderUnknown, fleet.OrderNotSent:
			// Still loading. An engine answers the load under way as accepted,
			// and does not count it again.
		default:
			return &OrderError{Engine: e.id, Outcome: outcome}
		}
		elapsed := o.now() - began
		if elapsed > bound {
			return &OrderError{Engine: e.id, Outcome: outcome}
		}
		time.Sleep(max(orderRetry, elapsed/20))
	}
}

func (o *Owner) loadTime(service string, c SwapCommand) time.Duration {
	s := o.board.Config().Services[service]
	if s.Engine == nil {
		return 0
	}
	m := s.Engine.Models[c.Load]
	return [...]time.Duration{m.MemoryLoad, m.DiskLoad, m.StoreLoad}[c.Source]
}
