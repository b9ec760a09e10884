package steer

import (
	"context"
	"slices"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// LoadAdapter makes an adapter present at an engine that holds its model.
func (o *Owner) LoadAdapter(ctx context.Context, c AdapterCommand) error {
	e, err := o.engine(c.Engine)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, adapterBound)
	defer cancel()
	select {
	case e.adapters <- struct{}{}:
	case <-ctx.Done():
		return &BusyEngineError{Engine: c.Engine}
	}
	defer func() { <-e.adapters }()
	if o.doubtful(e) && o.busy(e) {
		return &BusyEngineError{Engine: c.Engine}
	}
	o.mu.Lock()
	m, there := e.view.Models[c.Model]
	present := slices.Contains(m.Adapters, c.Adapter)
	evictModel, evict := o.surplusAdapter(e)
	o.mu.Unlock()
	if !there || m.State == swap.Draining {
		return &UnknownEngineError{Engine: c.Engine}
	}
	if present {
		return nil
	}
	if evict != "" {
		if err := o.unloadAdapter(ctx, e, evictModel, evict); err != nil {
			return err
		}
		o.edit(e, func(v *EngineView) { removeAdapter(v, evictModel, evict) })
	}
	if _, err := o.giveAdapter(ctx, e, fleet.Order{Kind: fleet.LoadModel, Model: c.Model, Adapter: c.Adapter}); err != nil {
		return err
	}
	time.Sleep(adapterLoad)
	o.edit(e, func(v *EngineView) {
		m := v.Models[c.Model]
		if !slices.Contains(m.Adapters, c.Adapter) {
			m.Adapters = append(slices.Clone(m.Adapters), c.Adapter)
			v.Models[c.Model] = m
		}
	})
	return nil
}

// adapterBound bounds the work for one request for an adapter; who asks waits no
// longer.
const adapterBound = 800 * time.Millisecond

// adapterLoad is the usual time of an adapter's load.
const adapterLoad = 12 * time.Millisecond // 5 to 10 ms by the pages

// surplusAdapter returns the adapter that has to go before another is loaded:
// the one loaded first. Call with o.mu held.
func (o *Owner) surplusAdapter(e *ownedEngine) (model, adapter string) {
	t, _ := o.board.Target(e.id)
	s := o.board.Config().Services[t.Service]
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

// unloadAdapter has an adapter unloaded and waits until it is gone: requests
// that use it keep its place until they end.
func (o *Owner) unloadAdapter(ctx context.Context, e *ownedEngine, model, adapter string) error {
	ord := fleet.Order{Kind: fleet.UnloadModel, Model: model, Adapter: adapter}
	gone, err := o.giveAdapter(ctx, e, ord)
	for err == nil && !gone {
		time.Sleep(orderRetry)
		ord.ExpectedOrders = o.orders(e)
		var outcome fleet.OrderOutcome
		outcome, err = o.order(ctx, e, ord)
		gone = outcome == fleet.OrderAlreadyDone
		if err == nil && ctx.Err() != nil {
			return &OrderError{Engine: e.id, Outcome: outcome}
		}
	}
	return err
}

// giveAdapter gives an order for an adapter until the engine took it, and
// reports whether it is done. Such orders do not make the engine busy, but raise
// its count of orders, an unload also when it is done at once. Where an order
// went without an answer the next refusal means that it was carried out, so count
// and content are read anew before anything else is ordered.
func (o *Owner) giveAdapter(ctx context.Context, e *ownedEngine, ord fleet.Order) (done bool, err error) {
	for {
		ord.ExpectedOrders = o.orders(e)
		outcome, err := o.order(ctx, e, ord)
		switch {
		case err != nil:
			return false, err
		case outcome == fleet.OrderAccepted:
			o.edit(e, func(v *EngineView) { v.Orders++ })
			return false, nil
		case outcome == fleet.OrderAlreadyDone && ord.Kind == fleet.UnloadModel && !o.doubtful(e):
			o.edit(e, func(v *EngineView) { v.Orders++ })
			return true, nil
		case outcome == fleet.OrderAlreadyDone && ord.Kind == fleet.LoadModel:
			return true, nil
		case outcome == fleet.OrderBusy, outcome == fleet.OrderUnknown, outcome == fleet.OrderAlreadyDone:
		default:
			return false, &OrderError{Engine: e.id, Outcome: outcome}
		}
		if o.doubtful(e) {
			// The caller decides anew. A move under way reads the count itself, and
			// is not held up by those who ask for adapters.
			if o.busy(e) || o.snapshot(ctx, e) {
				return false, &OrderError{Engine: e.id, Outcome: outcome}
			}
		}
		if ctx.Err() != nil {
			return false, &OrderError{Engine: e.id, Outcome: outcome}
		}
		time.Sleep(orderRetry)
	}
}

// lateOrders is how long after it was sent an order without an answer may be
// carried out.
const lateOrders = 13 * time.Second // 12 s by the pages

// doubtful reports whether an order without an answer may still be carried out.
func (o *Owner) doubtful(e *ownedEngine) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.now() < e.doubtUntil
}
