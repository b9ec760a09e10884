package steer

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

// Engines gives orders to engines.
type Engines interface {
	Order(ctx context.Context, address string, o fleet.Order) (fleet.OrderOutcome, error)
	Report(ctx context.Context, address, targetID string) (fleet.EngineReport, error)
}

// Times of orders.
const (
	closeDelay    = 15 * time.Millisecond   // for hosts to stop sending to a model that goes
	orderRetry    = 40 * time.Millisecond   // between tries while an engine is busy
	unloadBound   = 6 * time.Second         // an unload waits for its runs, which have 5 s and more
	doubtAfter    = 1500 * time.Millisecond // busy for longer than any load from disk: read the engine's report
	reportLag     = 450 * time.Millisecond  // reports are some hundred ms old
	storeLoadMost = 40 * time.Second        // several loads at once take longer in proportion
	moveBound     = 60 * time.Second
	checkInLag    = 3 * time.Second // two check-ins and the delay of the list
)

// Owner carries out orders at the engines that this host owns.
type Owner struct {
	self    string // name of this host
	holder  string // the machine
	lease   *Lease
	board   *Board
	engines Engines
	bounds  fleet.Bounds
	now     func() time.Duration
	log     logrus.FieldLogger
	changed func() // called after each change of an owned engine

	mu    sync.Mutex
	owned map[string]*ownedEngine
	term  uint64
}

// ownedEngine is an engine that this host orders. Its order lock is a channel
// of one place, so that waiting for it ends with a context.
type ownedEngine struct {
	id        string
	fence     uint64
	notBefore time.Duration // the owner before may have ordered until its lease bound earlier
	turn      chan struct{}
	adapters  chan struct{} // of one place, taken while an adapter is exchanged

	view       EngineView    // guarded by Owner.mu, as are the following
	edited     time.Duration // last change of view
	rereading  bool
	doubtUntil time.Duration // an order without an answer may be carried out until then
}

// NewOwner returns an owner of nothing.
func NewOwner(self, holder string, lease *Lease, board *Board, engines Engines, bounds fleet.Bounds, now func() time.Duration, log logrus.FieldLogger) *Owner {
	return &Owner{
		self: self, holder: holder, lease: lease, board: board, engines: engines, bounds: bounds, now: now, log: log,
		owned: map[string]*ownedEngine{}, changed: func() {},
	}
}

// Register registers the methods that the coordinator and other hosts call.
func (o *Owner) Register(r peer.Registrar) {
	r.Handle(methodOwn, func(ctx context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var c OwnCommand
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, err
		}
		err := o.Own(ctx, c.Engine)
		var elsewhere *OwnedElsewhereError
		if errors.As(err, &elsewhere) {
			return nil, &peer.Failure{Code: codeOwnedElsewhere, Message: elsewhere.Holder}
		}
		return struct{}{}, err
	})
	r.Handle(methodSwap, func(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var c SwapCommand
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, err
		}
		return struct{}{}, o.Swap(c)
	})
	r.Handle(MethodAdapter, func(ctx context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var c AdapterCommand
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, err
		}
		return struct{}{}, o.Adapter(ctx, c)
	})
}

// Owned returns the views of the engines that this host owns.
func (o *Owner) Owned() []EngineView {
	o.refresh()
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]EngineView, 0, len(o.owned))
	for _, e := range o.owned {
		out = append(out, e.copyView())
	}
	slices.SortFunc(out, func(a, b EngineView) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (e *ownedEngine) copyView() EngineView {
	v := e.view
	v.Models = cloneModels(v.Models)
	return v
}

// cloneModels returns a copy that can be written to; an engine that holds
// nothing travels without models.
func cloneModels(models map[string]ModelView) map[string]ModelView {
	out := make(map[string]ModelView, len(models)+1)
	maps.Copy(out, models)
	return out
}

// refresh drops engines that are gone, or all if the lease was lost, and takes
// in check-ins that know more than this host.
func (o *Owner) refresh() {
	term := o.lease.Term()
	o.mu.Lock()
	defer o.mu.Unlock()
	if term != o.term {
		o.owned, o.term = map[string]*ownedEngine{}, term
	}
	for id, e := range o.owned {
		t, ok := o.board.Target(id)
		if e.view.Busy && (!ok || t.Born == e.view.Born) {
			continue // the move ends by itself; its engine may be listed again meanwhile
		}
		if !ok || t.Draining {
			delete(o.owned, id)
			continue
		}
		if t.Born != e.view.Born {
			delete(o.owned, id) // it started again and knows nothing of before
			continue
		}
		if !e.view.Busy && !e.rereading && o.now()-e.edited > checkInLag && !sameModels(e.view, t) {
			e.rereading = true
			go o.resync(e)
		}
	}
}

// Own makes this host the owner of an engine.
func (o *Owner) Own(ctx context.Context, id string) error {
	o.mu.Lock()
	_, have := o.owned[id]
	o.mu.Unlock()
	if have {
		return nil
	}
	t, ok := o.board.Target(id)
	if !ok {
		return &UnknownEngineError{Engine: id}
	}
	if err := o.lease.Need(ctx); err != nil {
		return err
	}
	term := o.lease.Term()
	fence, taken, err := o.lease.Claim(ctx, id)
	if err != nil {
		return err
	}
	e := &ownedEngine{id: id, fence: fence, turn: make(chan struct{}, 1), adapters: make(chan struct{}, 1), edited: o.now()}
	e.view = EngineView{ID: id, Born: t.Born, Owner: o.self, Models: viewOf(t).Models, Fresh: true, Busy: true}
	if taken {
		e.notBefore = o.now() + o.bounds.OrderLease + leaseGuard
	}
	o.mu.Lock()
	if term != o.term && len(o.owned) > 0 {
		o.mu.Unlock()
		return &NoLeaseError{}
	}
	o.term = term
	o.owned[id] = e
	o.mu.Unlock()
	o.log.WithFields(logrus.Fields{"event": "engine_owned", "engine": id, "fence": fence, "taken_over": taken}).Info("this host orders the engine")
	go o.adopt(e)
	o.changed()
	return nil
}

// adopt reads what an engine holds before its first order. This host, or the
// owner before, may have ordered it until just now, so the first report counts
// only after the time by which reports lag.
func (o *Owner) adopt(e *ownedEngine) {
	e.turn <- struct{}{}
	defer func() { <-e.turn }()
	ctx, cancel := context.WithTimeout(context.Background(), moveBound)
	defer cancel()
	time.Sleep(max(0, e.notBefore-o.now()))
	o.reread(ctx, e)
	o.edit(e, func(v *EngineView) { v.Busy = false })
}

// UnknownEngineError reports an engine that this host does not know or own.
type UnknownEngineError struct {
	Engine string
}

func (e *UnknownEngineError) Error() string {
	return "engine " + e.Engine + " is not known or not owned here"
}

// NoLeaseError reports a host that may not order engines.
type NoLeaseError struct{}

func (e *NoLeaseError) Error() string { return "this host holds no lease" }

// BusyEngineError reports an engine with another order under way.
type BusyEngineError struct {
	Engine string
}

func (e *BusyEngineError) Error() string { return "engine " + e.Engine + " has an order under way" }

// OrderError reports an order that did not end well.
type OrderError struct {
	Engine  string
	Outcome fleet.OrderOutcome
}

func (e *OrderError) Error() string {
	return "order to engine " + e.Engine + " ended as " + e.Outcome.String()
}

func (o *Owner) engine(id string) (*ownedEngine, error) {
	o.refresh()
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.owned[id]
	if !ok {
		return nil, &UnknownEngineError{Engine: id}
	}
	if o.now() < e.notBefore {
		return nil, &BusyEngineError{Engine: id}
	}
	return e, nil
}

// Swap begins a move and returns; the engine's view tells when it has ended.
func (o *Owner) Swap(c SwapCommand) error {
	e, err := o.engine(c.Engine)
	if err != nil {
		return err
	}
	select {
	case e.turn <- struct{}{}:
	default:
		return &BusyEngineError{Engine: c.Engine}
	}
	o.edit(e, func(v *EngineView) {
		v.Busy = true
		for _, model := range c.Unload {
			o.setState(v, model, swap.Closing)
		}
	})
	go func() {
		defer func() { <-e.turn }()
		ctx, cancel := context.WithTimeout(context.Background(), moveBound)
		defer cancel()
		began := o.now()
		err := o.carryOut(ctx, e, c)
		o.edit(e, func(v *EngineView) { v.Busy, v.Done = false, c.Move })
		fields := logrus.Fields{"event": "move_done", "move": c.Move, "engine": c.Engine, "unload": c.Unload, "load": c.Load,
			"source": c.Source, "took_ms": (o.now() - began).Milliseconds()}
		if err != nil {
			fields["event"] = "move_failed"
			o.log.WithFields(fields).Warn(err.Error())
			return
		}
		o.log.WithFields(fields).Info("move carried out")
	}()
	return nil
}

func (o *Owner) setState(v *EngineView, model string, s swap.CopyState) {
	m := v.Models[model]
	m.State = s
	v.Models[model] = m
}

// edit changes the view of an owned engine and tells others.
func (o *Owner) edit(e *ownedEngine, change func(*EngineView)) {
	o.mu.Lock()
	e.view.Models = cloneModels(e.view.Models)
	change(&e.view)
	e.edited = o.now()
	v := e.copyView()
	o.mu.Unlock()
	o.board.Publish(v)
	o.changed()
}

func (o *Owner) carryOut(ctx context.Context, e *ownedEngine, c SwapCommand) error {
	if len(c.Unload) > 0 {
		time.Sleep(closeDelay)
	}
	for _, model := range c.Unload {
		outcome, err := o.give(ctx, e, fleet.Order{Kind: fleet.UnloadModel, Model: model}, unloadBound)
		if err == nil && outcome == fleet.OrderHolds {
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
	outcome, err := o.engines.Order(ctx, t.Address, ord)
	if outcome == fleet.OrderUnknown {
		o.mu.Lock()
		e.doubtUntil = o.now() + lateOrders
		o.mu.Unlock()
	}
	fields := logrus.Fields{"event": "order", "engine": e.id, "kind": ord.Kind, "model": ord.Model, "adapter": ord.Adapter,
		"after": ord.After, "outcome": outcome.String()}
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
		ord.After = o.orders(e)
		outcome, err := o.order(ctx, e, ord)
		if err != nil {
			return outcome, err
		}
		switch outcome {
		case fleet.OrderAccepted:
			o.edit(e, func(v *EngineView) { v.Orders++ })
			return outcome, nil
		case fleet.OrderHolds:
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
		return false
	}
	o.edit(e, func(v *EngineView) { v.Orders, v.Models = report.Orders, modelsIn(report) })
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
		outcome, err := o.order(ctx, e, fleet.Order{Kind: fleet.LoadModel, Model: c.Load, After: o.orders(e)})
		if err != nil {
			return err
		}
		switch outcome {
		case fleet.OrderHolds:
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

// Adapter makes an adapter present at an engine that holds its model.
func (o *Owner) Adapter(ctx context.Context, c AdapterCommand) error {
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
	o.mu.Lock()
	m, there := e.view.Models[c.Model]
	present := slices.Contains(m.Adapters, c.Adapter)
	evictModel, evict := o.surplusAdapter(e)
	o.mu.Unlock()
	if !there || m.State == swap.Closing {
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
		ord.After = o.orders(e)
		var outcome fleet.OrderOutcome
		outcome, err = o.order(ctx, e, ord)
		gone = outcome == fleet.OrderHolds
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
		ord.After = o.orders(e)
		outcome, err := o.order(ctx, e, ord)
		switch {
		case err != nil:
			return false, err
		case outcome == fleet.OrderAccepted:
			o.edit(e, func(v *EngineView) { v.Orders++ })
			return false, nil
		case outcome == fleet.OrderHolds && ord.Kind == fleet.UnloadModel && !o.doubtful(e):
			o.edit(e, func(v *EngineView) { v.Orders++ })
			return true, nil
		case outcome == fleet.OrderHolds && ord.Kind == fleet.LoadModel:
			return true, nil
		case outcome == fleet.OrderBusy, outcome == fleet.OrderUnknown:
		default:
			return false, &OrderError{Engine: e.id, Outcome: outcome}
		}
		if o.doubtful(e) && !o.busy(e) {
			if o.snapshot(ctx, e) {
				return false, &OrderError{Engine: e.id, Outcome: outcome} // the caller decides anew
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
