package coordinator

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

// EngineClient sends orders to engines and reads their reports.
type EngineClient interface {
	Order(ctx context.Context, address string, o fleet.Order) (fleet.OrderOutcome, error)
	// Report fails if the engine has not responded with a report.
	Report(ctx context.Context, address, targetID string) (fleet.EngineReport, error)
}

// NoticeFunc receives what an engine states in a response to an order or a request for its report.
type NoticeFunc func(targetID string, n fleet.Notices)

// Times of orders and of an engine's reports.
const (
	drainDelay         = 15 * time.Millisecond   // for hosts to stop sending requests to a model before its unload
	orderRetryInterval = 40 * time.Millisecond   // between attempts while an engine is busy
	unloadTimeout      = 6 * time.Second         // an unload waits for running requests, which may take 5 s and more
	maxDiskLoadTime    = 1500 * time.Millisecond // if an engine is busy for longer, its report is read
	reportLag          = 450 * time.Millisecond  // reports of engines are a few hundred milliseconds old
	storeLoadTimeout   = 40 * time.Second        // concurrent loads take proportionally longer
	moveTimeout        = 60 * time.Second
	checkInLag         = 3 * time.Second // two check-ins and the delay until they are in the list of targets
)

// Owner sends orders to the engines that this host owns.
type Owner struct {
	self      string // name of this host
	holder    string // name of the machine as a holder of leases
	lease     *Lease
	fleetView *FleetView
	engines   EngineClient
	bounds    fleet.Bounds
	now       func() time.Duration
	log       logrus.FieldLogger
	changed   func() // called after each change of an owned engine
	unloads   unloadTimes

	mu      sync.Mutex
	owned   map[string]*ownedEngine
	term    uint64
	leaving bool
}

// ownedEngine is an engine that this host owns. Its locks are channels with a capacity of
// one, so that waiting for them can end with a context.
type ownedEngine struct {
	id          string
	fenceLock   sync.RWMutex // held for reading while an order is sent, so that tokens arrive in order
	fence       uint64
	orderableAt time.Duration // orders of the previous owner may arrive until then
	orderLock   chan struct{}
	adapterLock chan struct{} // held while an adapter is loaded or unloaded

	view           EngineView    // this and the following fields are guarded by Owner.mu
	viewChangedAt  time.Duration // time of the last change of view
	rereading      bool
	uncertainUntil time.Duration // an order without a response may still be carried out until then
}

// NewOwner returns an Owner without engines.
func NewOwner(self, holder string, lease *Lease, fleetView *FleetView, engines EngineClient, bounds fleet.Bounds, now func() time.Duration, log logrus.FieldLogger) *Owner {
	return &Owner{
		self: self, holder: holder, lease: lease, fleetView: fleetView, engines: engines, bounds: bounds, now: now, log: log,
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
			return nil, &peer.HandlerError{Code: codeOwnedElsewhere, Message: elsewhere.Holder}
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
		return struct{}{}, o.LoadAdapter(ctx, c)
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

// cloneModels returns a copy that can be modified, even if models is nil as in a decoded
// view without models.
func cloneModels(models map[string]ModelView) map[string]ModelView {
	out := make(map[string]ModelView, len(models)+1)
	maps.Copy(out, models)
	return out
}

// refresh drops engines that were removed, are draining or have restarted, or all engines if
// the lease was lost. It reads an engine's report if its check-in differs from this host's
// view.
func (o *Owner) refresh() {
	term := o.lease.Term()
	o.mu.Lock()
	defer o.mu.Unlock()
	if term != o.term {
		o.owned, o.term = map[string]*ownedEngine{}, term
	}
	for id, e := range o.owned {
		t, ok := o.fleetView.Target(id)
		if e.view.Busy && (!ok || t.StartedMS == e.view.StartedMS) {
			continue // the move ends on its own, and the engine may be listed again before it does
		}
		if !ok || t.Draining {
			delete(o.owned, id)
			continue
		}
		if t.StartedMS != e.view.StartedMS {
			delete(o.owned, id) // it restarted and has lost its state
			continue
		}
		if !e.view.Busy && !e.rereading && o.now()-e.viewChangedAt > checkInLag && !sameModels(e.view, t) {
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
	t, ok := o.fleetView.Target(id)
	if !ok {
		return &UnknownEngineError{Engine: id}
	}
	if err := o.lease.Acquire(ctx); err != nil {
		return err
	}
	term := o.lease.Term()
	fence, takenOver, err := o.lease.Claim(ctx, id)
	if err != nil {
		return err
	}
	e := &ownedEngine{id: id, fence: fence, orderLock: make(chan struct{}, 1), adapterLock: make(chan struct{}, 1), viewChangedAt: o.now()}
	e.view = EngineView{ID: id, StartedMS: t.StartedMS, Owner: o.self, Models: viewOfTarget(t).Models, FromOwner: true, Busy: true}
	if takenOver {
		e.orderableAt = o.now() + o.bounds.OrderLease + leaseDriftMargin
	}
	o.mu.Lock()
	if term != o.term && len(o.owned) > 0 {
		o.mu.Unlock()
		return &NoLeaseError{}
	}
	o.term = term
	o.owned[id] = e
	o.mu.Unlock()
	o.log.WithFields(logrus.Fields{"event": "engine_owned", "engine": id, "fence": fence, "taken_over": takenOver}).Info("this host owns the engine")
	go o.readInitialContent(e)
	o.changed()
	return nil
}

// readInitialContent reads what an engine holds before its first order. This host or the
// previous owner may have sent an order just before, so a report is read only after the
// time by which reports lag behind.
func (o *Owner) readInitialContent(e *ownedEngine) {
	e.orderLock <- struct{}{}
	defer func() { <-e.orderLock }()
	ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
	defer cancel()
	time.Sleep(max(0, e.orderableAt-o.now()))
	o.rereadContent(ctx, e)
	o.updateView(e, func(v *EngineView) { v.Busy = false })
}

// leaveTimeout is how long a leaving host waits for moves in progress.
const leaveTimeout = 1500 * time.Millisecond // long enough for an unload and a load from disk

// Leave accepts no more moves, waits for those in progress and releases the engines, so
// that their next owners need not wait for the end of this host's lease.
func (o *Owner) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	o.mu.Lock()
	o.leaving = true
	engines := slices.Collect(maps.Values(o.owned))
	o.mu.Unlock()
	for _, e := range engines {
		for _, lock := range []chan struct{}{e.orderLock, e.adapterLock} {
			select {
			case lock <- struct{}{}: // never unlocked, so that nothing is ordered after this
			case <-ctx.Done():
				o.log.WithFields(logrus.Fields{"event": "lease_kept", "engine": e.id}).Warn("a move did not end in time; the lease is left to expire")
				return
			}
		}
	}
	err := o.lease.Release(context.WithoutCancel(ctx))
	o.log.WithFields(logrus.Fields{"event": "lease_released", "engines": len(engines), "failed": err != nil}).Info("this host no longer owns any engines")
	o.refresh()
	o.changed()
}

// UnknownEngineError reports an engine that this host does not know or own.
type UnknownEngineError struct {
	Engine string
}

func (e *UnknownEngineError) Error() string {
	return "engine " + e.Engine + " is not known or not owned here"
}

// LeavingEngineError reports an engine that leaves and is sent nothing new.
type LeavingEngineError struct {
	Engine string
}

func (e *LeavingEngineError) Error() string { return "engine " + e.Engine + " leaves" }

// NoLeaseError reports a host that may not order engines.
type NoLeaseError struct{}

func (e *NoLeaseError) Error() string { return "this host holds no lease" }

// BusyEngineError reports that an engine cannot be ordered now.
type BusyEngineError struct {
	Engine string
}

func (e *BusyEngineError) Error() string { return "engine " + e.Engine + " has an order under way" }

// NoRoomError reports a move that was planned from an outdated view: the models that the
// engine holds leave no room for the load.
type NoRoomError struct {
	Engine string
	Model  string
}

func (e *NoRoomError) Error() string {
	return "engine " + e.Engine + " has no room for model " + e.Model
}

// fits reports whether an engine has room for the load of a move after its unloads. There
// may be two coordinators for a short time, and each knows only what was reported to it,
// whereas the owner knows all orders.
func (o *Owner) fits(e *ownedEngine, c SwapCommand) bool {
	t, ok := o.fleetView.Target(e.id)
	spec := o.fleetView.Config().Services[t.Service].Engine
	if !ok || spec == nil || c.Load == "" {
		return true // there is nothing to compare, or the move loads nothing
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	size := spec.Models[c.Load].SizeMB
	for model := range e.view.Models {
		if model != c.Load && !slices.Contains(c.Unload, model) {
			size += spec.Models[model].SizeMB
		}
	}
	return size <= spec.CapacityMB-adapterMemory(spec)
}

// OrderError reports an order that failed or whose outcome is unknown.
type OrderError struct {
	Engine  string
	Outcome fleet.OrderOutcome
}

func (e *OrderError) Error() string {
	return "order to engine " + e.Engine + " ended as " + e.Outcome.String()
}

func (o *Owner) orderableEngine(id string) (*ownedEngine, error) {
	o.refresh()
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.owned[id]
	if !ok {
		return nil, &UnknownEngineError{Engine: id}
	}
	if o.leaving {
		return nil, &BusyEngineError{Engine: id}
	}
	if o.now() < e.orderableAt {
		return nil, &BusyEngineError{Engine: id}
	}
	return e, nil
}

// Swap begins a move and returns. The engine's view tells when the move has ended.
func (o *Owner) Swap(c SwapCommand) error {
	e, err := o.orderableEngine(c.Engine)
	if err != nil {
		return err
	}
	select {
	case e.orderLock <- struct{}{}:
	default:
		return &BusyEngineError{Engine: c.Engine}
	}
	if !o.fits(e, c) {
		<-e.orderLock
		return &NoRoomError{Engine: c.Engine, Model: c.Load}
	}
	o.updateView(e, func(v *EngineView) {
		v.Busy = true
		for _, model := range c.Unload {
			o.setState(v, model, swap.Draining)
		}
	})
	go func() {
		defer func() { <-e.orderLock }()
		ctx, cancel := context.WithTimeout(context.Background(), moveTimeout)
		defer cancel()
		began := o.now()
		err := o.carryOut(ctx, e, c)
		o.updateView(e, func(v *EngineView) { v.Busy, v.LastMove = false, c.Move })
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

// updateView changes the view of an owned engine and publishes it.
func (o *Owner) updateView(e *ownedEngine, change func(*EngineView)) {
	o.mu.Lock()
	e.view.Models = cloneModels(e.view.Models)
	change(&e.view)
	e.viewChangedAt = o.now()
	v := e.copyView()
	o.mu.Unlock()
	o.fleetView.SetViews(v)
	o.changed()
}
