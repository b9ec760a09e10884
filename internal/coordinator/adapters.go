package coordinator

import (
	"context"
	"slices"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// LoadAdapter loads an adapter into an engine that holds its model, unless it is loaded already.
func (o *Owner) LoadAdapter(ctx context.Context, c AdapterCommand) error {
	e, err := o.orderableEngine(c.Engine)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, adapterTimeout)
	defer cancel()
	select {
	case e.adapterLock <- struct{}{}:
	case <-ctx.Done():
		return &BusyEngineError{Engine: c.Engine}
	}
	defer func() { <-e.adapterLock }()
	if o.outcomeUncertain(e) && o.busy(e) {
		return &BusyEngineError{Engine: c.Engine}
	}
	o.mu.Lock()
	m, there := e.view.Models[c.Model]
	present := slices.Contains(m.Adapters, c.Adapter)
	evictModel, evict := o.adapterToEvict(e)
	o.mu.Unlock()
	if !there || m.State == swap.Draining {
		return &MissingModelError{Engine: c.Engine, Model: c.Model}
	}
	if present {
		return nil
	}
	if evict != "" {
		if err := o.unloadAdapter(ctx, e, evictModel, evict); err != nil {
			return err
		}
		o.updateView(e, func(v *EngineView) { removeAdapter(v, evictModel, evict) })
	}
	if _, err := o.orderAdapter(ctx, e, fleet.Order{Kind: fleet.LoadModel, Model: c.Model, Adapter: c.Adapter}); err != nil {
		return err
	}
	time.Sleep(adapterLoadTime)
	o.updateView(e, func(v *EngineView) {
		m := v.Models[c.Model]
		if !slices.Contains(m.Adapters, c.Adapter) {
			m.Adapters = append(slices.Clone(m.Adapters), c.Adapter)
			v.Models[c.Model] = m
		}
	})
	return nil
}

// MissingModelError reports an adapter whose model the engine does not hold.
type MissingModelError struct {
	Engine string
	Model  string
}

func (e *MissingModelError) Error() string {
	return "engine " + e.Engine + " does not hold model " + e.Model
}

// adapterTimeout limits LoadAdapter. No caller waits for longer.
const adapterTimeout = 800 * time.Millisecond

// adapterLoadTime is the usual duration of an adapter's load.
const adapterLoadTime = 12 * time.Millisecond // 5 to 10 ms according to the platform's documentation

// adapterToEvict returns the adapter to unload before another one is loaded, if all slots
// are used: the oldest adapter of the model with the most adapters. The caller must hold
// o.mu.
func (o *Owner) adapterToEvict(e *ownedEngine) (model, adapter string) {
	t, _ := o.fleetView.Target(e.id)
	s := o.fleetView.Config().Services[t.Service]
	if s.Engine == nil {
		return "", ""
	}
	n, most := 0, 0
	for name, m := range e.view.Models {
		n += len(m.Adapters)
		if len(m.Adapters) > most {
			most, model, adapter = len(m.Adapters), name, m.Adapters[0]
		}
	}
	if n < s.Engine.AdapterSlots {
		return "", ""
	}
	return model, adapter
}

func removeAdapter(v *EngineView, model, adapter string) {
	m, ok := v.Models[model]
	if !ok {
		return
	}
	m.Adapters = slices.DeleteFunc(slices.Clone(m.Adapters), func(a string) bool { return a == adapter })
	v.Models[model] = m
}

// unloadAdapter unloads an adapter and waits until its slot is free. The engine keeps an
// adapter until the requests that use it have ended.
func (o *Owner) unloadAdapter(ctx context.Context, e *ownedEngine, model, adapter string) error {
	ord := fleet.Order{Kind: fleet.UnloadModel, Model: model, Adapter: adapter}
	gone, err := o.orderAdapter(ctx, e, ord)
	for err == nil && !gone {
		time.Sleep(orderRetryInterval)
		ord.ExpectedOrders = o.orderCount(e)
		var outcome fleet.OrderOutcome
		outcome, err = o.order(ctx, e, ord)
		gone = outcome == fleet.OrderAlreadyDone
		if err == nil && ctx.Err() != nil {
			return &OrderError{Engine: e.id, Outcome: outcome}
		}
	}
	return err
}

// orderAdapter sends an adapter order until the engine accepts it, and reports whether it
// is done already. Adapter orders do not make the engine busy but increase its order
// count, and so does an unload that is done immediately. After an order without a response,
// a refusal means that the order was carried out, so the order count and the content are
// read again before the next order.
func (o *Owner) orderAdapter(ctx context.Context, e *ownedEngine, ord fleet.Order) (done bool, err error) {
	for {
		ord.ExpectedOrders = o.orderCount(e)
		outcome, err := o.order(ctx, e, ord)
		switch {
		case err != nil:
			return false, err
		case outcome == fleet.OrderAccepted:
			o.updateView(e, func(v *EngineView) { v.Orders++ })
			return false, nil
		case outcome == fleet.OrderAlreadyDone && ord.Kind == fleet.UnloadModel && !o.outcomeUncertain(e):
			o.updateView(e, func(v *EngineView) { v.Orders++ })
			return true, nil
		case outcome == fleet.OrderAlreadyDone && ord.Kind == fleet.LoadModel:
			return true, nil
		case outcome == fleet.OrderBusy, outcome == fleet.OrderUnknown, outcome == fleet.OrderAlreadyDone:
		default:
			return false, &OrderError{Engine: e.id, Outcome: outcome}
		}
		if o.outcomeUncertain(e) {
			// The caller may try again. A move in progress reads the count itself and
			// must not be delayed by adapter requests.
			if o.busy(e) || o.readReport(ctx, e) {
				return false, &OrderError{Engine: e.id, Outcome: outcome}
			}
		}
		if ctx.Err() != nil {
			return false, &OrderError{Engine: e.id, Outcome: outcome}
		}
		time.Sleep(orderRetryInterval)
	}
}

// maxOrderDelay is the longest time after which an order without a response may still be
// carried out.
const maxOrderDelay = 13 * time.Second // 12 s according to the platform's documentation, and a margin

// outcomeUncertain reports whether an order without a response may still be carried out.
func (o *Owner) outcomeUncertain(e *ownedEngine) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.now() < e.uncertainUntil
}
