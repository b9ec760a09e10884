package steer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// fakeEngine takes orders as the platform's engines do: one at a time, counted
// once, with a load under way answered as accepted when given again.
type fakeEngine struct {
	mu       sync.Mutex
	orders   int64
	models   map[string]bool
	loading  string
	until    time.Time
	places   int
	overfull bool
	lose     int // answers to lose, the order being carried out late
	late     time.Duration
	random   *rand.Rand           // if set, half of the orders get no answer and are carried out 2 to 12 s later
	adapters map[string]time.Time // until when requests use each
	leaving  map[string]bool      // adapters that go once unused
}

func (f *fakeEngine) settle() {
	if f.loading != "" && !time.Now().Before(f.until) {
		f.models[f.loading], f.loading = true, ""
	}
}

func (f *fakeEngine) Order(_ context.Context, _ string, o fleet.Order) (fleet.OrderOutcome, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	late := f.late
	if f.random != nil && f.random.IntN(2) == 0 {
		f.lose, late = 1, 2*time.Second+time.Duration(f.random.Int64N(int64(10*time.Second)))
	}
	if f.lose > 0 {
		f.lose--
		go func() {
			time.Sleep(late)
			f.mu.Lock()
			defer f.mu.Unlock()
			f.carryOut(o)
		}()
		return fleet.OrderUnknown, nil
	}
	return f.carryOut(o), nil
}

func (f *fakeEngine) carryOut(o fleet.Order) fleet.OrderOutcome {
	f.settle()
	if o.Adapter != "" {
		return f.adapterOrder(o)
	}
	if o.Kind == fleet.LoadModel && o.Model == f.loading {
		return fleet.OrderAccepted
	}
	if o.Kind == fleet.LoadModel && f.models[o.Model] {
		return fleet.OrderHolds
	}
	if f.loading != "" || (o.After >= 0 && o.After != f.orders) {
		return fleet.OrderBusy
	}
	f.orders++
	if o.Kind == fleet.UnloadModel {
		if !f.models[o.Model] {
			f.orders--
			return fleet.OrderHolds
		}
		delete(f.models, o.Model)
		return fleet.OrderAccepted
	}
	f.loading, f.until = o.Model, time.Now().Add(500*time.Millisecond)
	if len(f.models)+1 > f.places {
		f.overfull = true
	}
	return fleet.OrderAccepted
}

// adapterPlaces is the number of adapters that a fakeEngine has room for.
const adapterPlaces = 4

func (f *fakeEngine) adapterOrder(o fleet.Order) fleet.OrderOutcome {
	if o.After >= 0 && o.After != f.orders {
		return fleet.OrderBusy
	}
	until, there := f.adapters[o.Adapter]
	if f.leaving[o.Adapter] && !time.Now().Before(until) {
		delete(f.adapters, o.Adapter)
		there = false
	}
	if o.Kind == fleet.LoadModel {
		if there {
			return fleet.OrderHolds
		}
		f.orders++
		f.adapters[o.Adapter] = time.Time{}
		f.overfull = f.overfull || len(f.adapters) > adapterPlaces
		return fleet.OrderAccepted
	}
	if !there {
		return fleet.OrderHolds
	}
	if f.leaving[o.Adapter] {
		return fleet.OrderAccepted
	}
	f.orders++
	if time.Now().Before(until) {
		f.leaving[o.Adapter] = true
		return fleet.OrderAccepted
	}
	delete(f.adapters, o.Adapter)
	return fleet.OrderHolds
}

func (f *fakeEngine) Report(context.Context, string, string) (fleet.EngineReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settle()
	r := fleet.EngineReport{Orders: f.orders, Busy: f.loading != "", Models: map[string][]string{}}
	for m := range f.models {
		r.Models[m] = nil
	}
	for a := range f.adapters {
		r.Models["b"] = append(r.Models["b"], a)
	}
	return r, nil
}

// memStore is a store of the objects that ownership needs.
type memStore struct {
	mu       sync.Mutex
	revision platform.Version
	objects  map[string]platform.Object
}

func (s *memStore) Get(_ context.Context, kind platform.Kind, name string) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
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

// newTestOwner returns an owner of engine e1, which holds a and b in two
// places and has c on its disk.
func newTestOwner(t *testing.T, engine *fakeEngine) (*Owner, *Board) {
	t.Helper()
	began := time.Now()
	now := func() time.Duration { return time.Since(began) + time.Hour }
	board := NewBoard("z", now)
	config := &fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{AdapterSlots: 4, Models: map[string]fleet.Model{
		"a": {DiskLoad: 500 * time.Millisecond}, "b": {DiskLoad: 500 * time.Millisecond}, "c": {DiskLoad: 500 * time.Millisecond},
	}}}}}
	board.SetConfig(config)
	list(board, true)
	lease := NewLease("h1@ip", &memStore{objects: map[string]platform.Object{}}, now, quietLog())
	if err := lease.renew(t.Context()); err != nil {
		t.Fatal(err)
	}
	o := NewOwner("h1", "h1@ip", lease, board, engine, fleet.Bounds{OrderLease: 3 * time.Second}, now, quietLog())
	if err := o.Own(t.Context(), "e1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	return o, board
}

func list(b *Board, there bool) {
	targets := map[string]fleet.Target{}
	if there {
		targets["e1"] = fleet.Target{ID: "e1", Service: "s", Address: "x", Born: 1, Models: map[string][]string{"a": nil, "b": nil}}
	}
	b.SetTargets(fleet.NewTargets(targets))
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{orders: 7, models: map[string]bool{"a": true, "b": true}, places: 2, adapters: map[string]time.Time{}, leaving: map[string]bool{}}
}

func TestSwapKeepsCountWhenLoadIsGivenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, board := newTestOwner(t, engine)
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromMemory}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		v := o.Owned()[0]
		if v.Orders != engine.orders || v.Busy || v.Done != 1 {
			t.Errorf("view %+v, engine counts %d orders", v, engine.orders)
		}
		if _, ok := board.Pick(Ask{Service: "s", Model: "c"}); !ok {
			t.Error("the loaded model takes no requests")
		}
	})
}

func TestEngineListedAgainDuringALoadIsNotOverfilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, board := newTestOwner(t, engine)
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		list(board, false)
		o.Owned()
		list(board, true)
		_ = o.Own(t.Context(), "e1")
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			for _, v := range o.Owned() {
				if _, has := v.Models["a"]; !v.Busy && !has && len(v.Models) < 2 {
					_ = o.Swap(SwapCommand{Move: 2, Engine: "e1", Load: "a", Source: swap.FromDisk})
				}
			}
		}
		time.Sleep(moveBound)
		if engine.overfull {
			t.Error("engine was ordered to hold more than it has room for")
		}
	})
}

func TestLateOrderDoesNotOverfill(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 9 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			engine := newFakeEngine()
			o, _ := newTestOwner(t, engine)
			engine.lose, engine.late = 2, late
			if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
				t.Fatal(err)
			}
			for range 20 {
				time.Sleep(time.Second)
				_ = o.Swap(SwapCommand{Move: 3, Engine: "e1", Unload: []string{"b"}, Load: "a", Source: swap.FromDisk})
				time.Sleep(time.Second)
				_ = o.Swap(SwapCommand{Move: 4, Engine: "e1", Unload: []string{"a"}, Load: "b", Source: swap.FromDisk})
			}
			time.Sleep(moveBound) // the last move ends
			if engine.overfull {
				t.Errorf("late by %v: engine was ordered to hold more than it has room for", late)
			}
		})
	}
}

func TestLeaseOfASilentHostIsTakenOnlyAfterItEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memStore{objects: map[string]platform.Object{}}
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		a := NewLease("a", store, now, quietLog())
		b := NewLease("b", store, now, quietLog())
		for _, l := range []*Lease{a, b} {
			if err := l.renew(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if _, _, err := a.Claim(t.Context(), "e1"); err != nil {
			t.Fatal(err)
		}
		for b.now() < 20*time.Second {
			_ = b.renew(t.Context())
			_, taken, err := b.Claim(t.Context(), "e1")
			if err == nil {
				if a.Held() || !taken {
					t.Errorf("taken at %v while the holder may order", now())
				}
				if err := a.renew(t.Context()); err == nil {
					t.Error("the ended lease was renewed")
				}
				_ = a.renew(t.Context())
				if a.Term() == 0 {
					t.Error("the holder does not know that it lost its engines")
				}
				return
			}
			var elsewhere *OwnedElsewhereError
			if !errors.As(err, &elsewhere) {
				t.Fatal(err)
			}
			time.Sleep(500 * time.Millisecond)
		}
		t.Error("the engine was never taken over")
	})
}

func TestAdapterInUseKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		for _, a := range []string{"a1", "a2", "a3", "a4"} {
			engine.adapters[a] = time.Now().Add(1300 * time.Millisecond)
		}
		o, _ := newTestOwner(t, engine)
		ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
		defer cancel()
		if err := o.Adapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: "a5"}); err != nil {
			t.Fatal(err)
		}
		if engine.overfull {
			t.Error("an adapter was loaded before the one that makes room was gone")
		}
	})
}

func TestMoveEndsWhenItsEngineStartsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, board := newTestOwner(t, engine)
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		board.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s", Address: "x", Born: 2}}))
		o.Owned()
		time.Sleep(moveBound)
		if engine.orders != 7 {
			t.Errorf("%d orders of the move before came to the engine's new start", engine.orders-7)
		}
	})
}

// TestHalfOfTheOrdersCarriedOutLate: half of the orders get no answer and come
// seconds later, after newer ones, for a long time.
func TestHalfOfTheOrdersCarriedOutLate(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			engine := newFakeEngine()
			o, _ := newTestOwner(t, engine)
			engine.mu.Lock()
			engine.random = rand.New(rand.NewPCG(seed, 1))
			engine.mu.Unlock()
			names, moves := []string{"a", "b", "c"}, uint64(10)
			for i := range 200 {
				time.Sleep(300 * time.Millisecond)
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
					defer cancel()
					_ = o.Adapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: fmt.Sprintf("a%d", i%7)})
				}()
				owned := o.Owned()
				if len(owned) == 0 || owned[0].Busy {
					continue
				}
				var unload []string
				load := ""
				for _, m := range names {
					if _, there := owned[0].Models[m]; there && m != "b" && len(unload) == 0 && len(owned[0].Models) == 2 {
						unload = []string{m}
					} else if !there {
						load = m
					}
				}
				moves++
				_ = o.Swap(SwapCommand{Move: moves, Engine: "e1", Unload: unload, Load: load, Source: swap.FromDisk})
			}
			time.Sleep(moveBound)
			if engine.overfull {
				t.Errorf("seed %d: engine was ordered to hold more than it has room for", seed)
			}
		})
	}
}

func TestUnloadOfAModelThatIsNotThereMakesNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, board := newTestOwner(t, engine)
		engine.mu.Lock()
		engine.models = map[string]bool{"b": true, "c": true} // changed behind the owner's back
		engine.mu.Unlock()
		board.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s", Address: "x", Born: 1, Models: map[string][]string{"b": nil, "c": nil}}}))
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "d", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(moveBound)
		if engine.overfull {
			t.Error("engine was ordered to hold more than it has room for")
		}
		if _, has := o.Owned()[0].Models["c"]; !has {
			t.Error("what the engine holds was not read again")
		}
	})
}
