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

// EngineClient gives orders to engines.
type EngineClient interface {
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
	board   *FleetView
	engines EngineClient
	bounds  fleet.Bounds
	now     func() time.Duration
	log     logrus.FieldLogger
	changed func() // called after each change of an owned engine

	mu    sync.Mutex
	owned map[string]*ownedEngine
	term  uint64
	left  bool
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
func NewOwner(self, holder string, lease *Lease, board *FleetView, engines EngineClient, bounds fleet.Bounds, now func() time.Duration, log logrus.FieldLogger) *Owner {
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
		if e.view.Busy && (!ok || t.StartedMS == e.view.Born) {
			continue // the move ends by itself; its engine may be listed again meanwhile
		}
		if !ok || t.Draining {
			delete(o.owned, id)
			continue
		}
		if t.StartedMS != e.view.Born {
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
	e.view = EngineView{ID: id, Born: t.StartedMS, Owner: o.self, Models: viewOf(t).Models, Fresh: true, Busy: true}
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

// leaveBound is how long a leaving host waits for moves under way.
const leaveBound = 1500 * time.Millisecond // a move from disk with its unload

// Leave takes on no more moves, waits for those under way and gives the engines
// up, so that their next owners need not wait for the end of this host's lease.
func (o *Owner) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveBound)
	defer cancel()
	o.mu.Lock()
	o.left = true
	engines := slices.Collect(maps.Values(o.owned))
	o.mu.Unlock()
	for _, e := range engines {
		for _, lock := range []chan struct{}{e.turn, e.adapters} {
			select {
			case lock <- struct{}{}: // kept: nothing is ordered any more
			case <-ctx.Done():
				o.log.WithFields(logrus.Fields{"event": "lease_kept", "engine": e.id}).Warn("a move takes long; the lease is left to its end")
				return
			}
		}
	}
	err := o.lease.Release(context.WithoutCancel(ctx))
	o.log.WithFields(logrus.Fields{"event": "lease_released", "engines": len(engines), "failed": err != nil}).Info("this host orders no engines any more")
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

// NoLeaseError reports a host that may not order engines.
type NoLeaseError struct{}

func (e *NoLeaseError) Error() string { return "this host holds no lease" }

// BusyEngineError reports an engine with another order under way.
type BusyEngineError struct {
	Engine string
}

func (e *BusyEngineError) Error() string { return "engine " + e.Engine + " has an order under way" }

// NoRoomError reports a move that rests on an old belief: what the engine holds
// leaves no room for its load.
type NoRoomError struct {
	Engine string
	Model  string
}

func (e *NoRoomError) Error() string {
	return "engine " + e.Engine + " has no room for model " + e.Model
}

// fits reports whether an engine has room for the load of a move once its unloads
// are done. Coordinators may be two for a moment, and each knows only what it was
// told; this host knows what it ordered.
func (o *Owner) fits(e *ownedEngine, c SwapCommand) bool {
	t, ok := o.board.Target(e.id)
	spec := o.board.Config().Services[t.Service].Engine
	if !ok || spec == nil || c.Load == "" {
		return true // nothing to compare, or nothing is loaded
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	size := spec.Models[c.Load].SizeMB
	for model := range e.view.Models {
		if model != c.Load && !slices.Contains(c.Unload, model) {
			size += spec.Models[model].SizeMB
		}
	}
	return size <= spec.CapacityMB-adapterRoom(spec)
}

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
	if o.left {
		return nil, &BusyEngineError{Engine: id}
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
	if !o.fits(e, c) {
		<-e.turn
		return &NoRoomError{Engine: c.Engine, Model: c.Load}
	}
	o.edit(e, func(v *EngineView) {
		v.Busy = true
		for _, model := range c.Unload {
			o.setState(v, model, swap.Draining)
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
