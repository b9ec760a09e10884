package coordinator

import (
	"context"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// fakeEngine handles orders like the platform's engines: one at a time and each counted
// once. It accepts a repeated load while the load is in progress.
type fakeEngine struct {
	mu               sync.Mutex
	orders           int64
	received         int // orders and requests for a report
	refused          int // orders answered as busy
	models           map[string]bool
	loading          string
	loadedAt         time.Time
	capacity         int
	exceededCapacity bool
	loseResponses    int // number of responses to lose; their orders are carried out after delay
	delay            time.Duration
	drainTime        time.Duration // that an unload of a model takes
	idleAt           time.Time
	responseDelay    time.Duration        // before each response; a caller that cancels during it gets none
	random           *rand.Rand           // if set, half of the orders get no response and are carried out 2 to 12 s later
	adapters         map[string]time.Time // by adapter, until when requests use it
	unloading        map[string]bool      // adapters to unload once no request uses them
}

// fakeLoadTime is how long a fakeEngine takes for a load.
const fakeLoadTime = 500 * time.Millisecond

// refusedOrders returns the number of orders that were answered as busy.
func (f *fakeEngine) refusedOrders() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// exceeded reports whether the engine was ever ordered to hold more than its capacity.
func (f *fakeEngine) exceeded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.exceededCapacity
}

// calls returns the number of orders and requests for a report that the engine has received.
func (f *fakeEngine) calls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

// orderCount returns the number of orders that the engine has accepted.
func (f *fakeEngine) orderCount() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders
}

func (f *fakeEngine) finishLoad() {
	if f.loading != "" && !time.Now().Before(f.loadedAt) {
		f.models[f.loading], f.loading = true, ""
	}
}

func (f *fakeEngine) Order(ctx context.Context, _ string, o fleet.Order) (fleet.OrderOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received++
	if f.responseDelay > 0 {
		outcome, pause := f.carryOut(o), f.responseDelay
		f.mu.Unlock()
		defer f.mu.Lock()
		select {
		case <-time.After(pause):
			return outcome, nil
		case <-ctx.Done():
			return fleet.OrderUnknown, ctx.Err()
		}
	}
	delay := f.delay
	if f.random != nil && f.random.IntN(2) == 0 {
		f.loseResponses, delay = 1, 2*time.Second+time.Duration(f.random.Int64N(int64(10*time.Second)))
	}
	if f.loseResponses > 0 {
		f.loseResponses--
		go func() {
			time.Sleep(delay)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.carryOut(o)
		}()
		return fleet.OrderUnknown, nil
	}
	return f.carryOut(o), nil
}

func (f *fakeEngine) carryOut(o fleet.Order) fleet.OrderOutcome {
	f.finishLoad()
	if o.Adapter != "" {
		return f.adapterOrder(o)
	}
	if o.Kind == fleet.LoadModel && o.Model == f.loading {
		return fleet.OrderAccepted
	}
	if o.Kind == fleet.LoadModel && f.models[o.Model] {
		return fleet.OrderAlreadyDone
	}
	if f.loading != "" || time.Now().Before(f.idleAt) || (o.ExpectedOrders >= 0 && o.ExpectedOrders != f.orders) {
		f.refused++
		return fleet.OrderBusy
	}
	f.orders++
	if o.Kind == fleet.UnloadModel {
		if !f.models[o.Model] {
			f.orders--
			return fleet.OrderAlreadyDone
		}
		delete(f.models, o.Model)
		f.idleAt = time.Now().Add(f.drainTime)
		return fleet.OrderAccepted
	}
	f.loading, f.loadedAt = o.Model, time.Now().Add(fakeLoadTime)
	if len(f.models)+1 > f.capacity {
		f.exceededCapacity = true
	}
	return fleet.OrderAccepted
}

// adapterCapacity is the number of adapters that a fakeEngine can hold.
const adapterCapacity = 4

func (f *fakeEngine) adapterOrder(o fleet.Order) fleet.OrderOutcome {
	if o.ExpectedOrders >= 0 && o.ExpectedOrders != f.orders {
		return fleet.OrderBusy
	}
	until, there := f.adapters[o.Adapter]
	if f.unloading[o.Adapter] && !time.Now().Before(until) {
		delete(f.adapters, o.Adapter)
		there = false
	}
	if o.Kind == fleet.LoadModel {
		if there {
			return fleet.OrderAlreadyDone
		}
		f.orders++
		f.adapters[o.Adapter] = time.Time{}
		f.exceededCapacity = f.exceededCapacity || len(f.adapters) > adapterCapacity
		return fleet.OrderAccepted
	}
	if !there {
		return fleet.OrderAlreadyDone
	}
	if f.unloading[o.Adapter] {
		return fleet.OrderAccepted
	}
	f.orders++
	if time.Now().Before(until) {
		f.unloading[o.Adapter] = true
		return fleet.OrderAccepted
	}
	delete(f.adapters, o.Adapter)
	return fleet.OrderAlreadyDone
}

func (f *fakeEngine) Report(context.Context, string, string) (fleet.EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.received++
	f.finishLoad()
	r := fleet.EngineReport{Orders: f.orders, Busy: f.loading != "", Models: map[string][]string{}}
	for m := range f.models {
		r.Models[m] = nil
	}
	for a := range f.adapters {
		r.Models["b"] = append(r.Models["b"], a)
	}
	return r, nil
}

// memStore is an in-memory Store that counts its reads.
type memStore struct {
	mu       sync.Mutex
	revision platform.Version
	objects  map[string]platform.Object
	reads    int
}

func (s *memStore) Get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	obj, ok := s.objects[string(kind)+"/"+name]
	if !ok {
		return platform.Object{}, &platform.NotFoundError{Kind: kind, Name: name}
	}
	return obj, nil
}

func (s *memStore) Put(_ context.Context, obj platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := string(obj.Kind) + "/" + obj.Name
	if s.objects[key].Version != obj.Version {
		return platform.Object{}, &platform.ConflictError{Kind: obj.Kind, Name: obj.Name, Expected: obj.Version, Found: s.objects[key].Version}
	}
	s.revision++
	obj.Version = s.revision
	s.objects[key] = obj
	return obj, nil
}

func quietLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// newTestOwner returns an Owner of engine e1, which has room for two models and holds a
// and b. The configuration also has model c.
func newTestOwner(t *testing.T, engine *fakeEngine) (*Owner, *FleetView) {
	t.Helper()
	began := time.Now()
	now := func() time.Duration { return time.Since(began) + time.Hour }
	fleetView := NewFleetView("z", now)
	config := &fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{AdapterSlots: 4, Models: map[string]fleet.Model{
		"a": {DiskLoad: 500 * time.Millisecond}, "b": {DiskLoad: 500 * time.Millisecond}, "c": {DiskLoad: 500 * time.Millisecond},
	}}}}}
	fleetView.SetConfig(config)
	setListed(fleetView, true)
	lease := NewLease(LeaseOptions{Holder: "h1@ip", Store: &memStore{objects: map[string]platform.Object{}}, Eras: &platform.Eras{}, Now: now, Log: quietLog()})
	if err := lease.renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	renewed := make(chan struct{})
	go func() {
		defer close(renewed)
		for {
			select {
			case <-time.After(time.Second):
				_ = lease.renew(context.Background())
			case <-t.Context().Done():
				return
			}
		}
	}()
	t.Cleanup(func() { <-renewed })
	o := NewOwner("h1", "h1@ip", lease, fleetView, engine, fleet.Bounds{OrderLease: 3 * time.Second}, now, quietLog())
	if err := o.Own(t.Context(), "e1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	return o, fleetView
}

func setListed(f *FleetView, listed bool) {
	targets := map[string]fleet.Target{}
	if listed {
		targets["e1"] = fleet.Target{ID: "e1", Service: "s", Address: "x", StartedMS: 1, Models: map[string][]string{"a": nil, "b": nil}}
	}
	f.SetTargets(fleet.NewTargets(targets))
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{orders: 7, models: map[string]bool{"a": true, "b": true}, capacity: 2, adapters: map[string]time.Time{}, unloading: map[string]bool{}}
}

// recordingCaller records the hosts that were asked to own an engine. Its calls succeed.
type recordingCaller struct {
	mu    sync.Mutex
	asked []string
}

func (r *recordingCaller) Call(_ context.Context, host, method string, _, _ any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if method == methodOwn {
		r.asked = append(r.asked, host)
	}
	return nil
}

// take returns the hosts asked since the last call, after the calls in progress. It must be
// called in a synctest bubble.
func (r *recordingCaller) take() []string {
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.asked
	r.asked = nil
	return out
}

// copiesOf returns the copies of a host that are always current.
func copiesOf(view *FleetView, now func() time.Duration) FreshnessFunc {
	return func() (fleet.Dated[*fleet.Config], fleet.Dated[*fleet.Targets]) {
		return fleet.Dated[*fleet.Config]{Copy: view.Config(), CurrentAt: now()}, fleet.Dated[*fleet.Targets]{Copy: view.Targets(), CurrentAt: now()}
	}
}
