package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

func TestSwapKeepsOrderCountWhenLoadIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, fleetView := newTestOwner(t, engine)
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromMemory}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		v := o.Owned()[0]
		if v.Orders != engine.orders || v.Busy || v.LastMove != 1 {
			t.Errorf("got view %+v, want it idle with move 1 done and %d orders", v, engine.orders)
		}
		if _, ok := fleetView.Pick(Requirements{Service: "s", Model: "c"}); !ok {
			t.Error("the loaded model is not chosen for requests")
		}
	})
}

func TestEngineListedAgainDuringALoadIsNotOverfilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, fleetView := newTestOwner(t, engine)
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
		setListed(fleetView, false)
		o.Owned()
		setListed(fleetView, true)
		_ = o.Own(t.Context(), "e1")
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			for _, v := range o.Owned() {
				if _, has := v.Models["a"]; !v.Busy && !has && len(v.Models) < 2 {
					_ = o.Swap(SwapCommand{Move: 2, Engine: "e1", Load: "a", Source: swap.FromDisk})
				}
			}
		}
		time.Sleep(moveTimeout)
		if engine.exceeded() {
			t.Error("the engine was ordered to hold more than it has room for")
		}
	})
}

func TestLateOrderDoesNotOverfill(t *testing.T) {
	for _, late := range []time.Duration{300 * time.Millisecond, 2 * time.Second, 9 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			engine := newFakeEngine()
			o, _ := newTestOwner(t, engine)
			engine.loseResponses, engine.delay = 2, late
			if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
				t.Fatal(err)
			}
			for range 20 {
				time.Sleep(time.Second)
				_ = o.Swap(SwapCommand{Move: 3, Engine: "e1", Unload: []string{"b"}, Load: "a", Source: swap.FromDisk})
				time.Sleep(time.Second)
				_ = o.Swap(SwapCommand{Move: 4, Engine: "e1", Unload: []string{"a"}, Load: "b", Source: swap.FromDisk})
			}
			time.Sleep(moveTimeout) // until the last move has ended
			if engine.exceeded() {
				t.Errorf("delay %v: the engine was ordered to hold more than it has room for", late)
			}
		})
	}
}

func TestLeaseOfASilentHostIsTakenOnlyAfterItEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memStore{objects: map[string]platform.Object{}}
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		a := NewLease(LeaseOptions{Holder: "a", Store: store, Eras: &platform.Eras{}, Now: now, Log: quietLog()})
		b := NewLease(LeaseOptions{Holder: "b", Store: store, Eras: &platform.Eras{}, Now: now, Log: quietLog()})
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
					t.Errorf("engine claimed at %v while the previous holder may still order it", now())
				}
				if err := a.renew(t.Context()); err == nil {
					t.Error("the ended lease was renewed")
				}
				_ = a.renew(t.Context())
				if a.Term() == 0 {
					t.Error("the term of the lost lease did not increase")
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

func TestAdapterInUseKeepsItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		for _, a := range []string{"a1", "a2", "a3", "a4"} {
			engine.adapters[a] = time.Now().Add(1300 * time.Millisecond)
		}
		o, _ := newTestOwner(t, engine)
		ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
		defer cancel()
		if err := o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: "a5"}); err != nil {
			t.Fatal(err)
		}
		if engine.exceeded() {
			t.Error("an adapter was loaded before the evicted one was unloaded")
		}
	})
}

func TestMoveEndsWhenItsEngineRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, fleetView := newTestOwner(t, engine)
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		fleetView.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s", Address: "x", StartedMS: 2}}))
		o.Owned()
		time.Sleep(moveTimeout)
		if engine.orders != 7 {
			t.Errorf("the restarted engine received %d orders of the old move, want none", engine.orders-7)
		}
	})
}

// TestHalfOfTheOrdersCarriedOutLate runs for a minute with an engine that does not respond
// to half of the orders and carries them out seconds later, after newer ones.
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
					_ = o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: fmt.Sprintf("a%d", i%7)})
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
			time.Sleep(moveTimeout)
			if engine.exceeded() {
				t.Errorf("seed %d: the engine was ordered to hold more than it has room for", seed)
			}
			if engine.orderCount() < 7+20 {
				t.Errorf("seed %d: only %d orders were carried out in a minute", seed, engine.orderCount()-7)
			}
		})
	}
}

func TestUnloadOfMissingModelMakesNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, fleetView := newTestOwner(t, engine)
		engine.mu.Lock()
		engine.models = map[string]bool{"b": true, "c": true} // changed without an order of the owner
		engine.mu.Unlock()
		fleetView.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s", Address: "x", StartedMS: 1, Models: map[string][]string{"b": nil, "c": nil}}}))
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "d", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(moveTimeout)
		if engine.exceeded() {
			t.Error("the engine was ordered to hold more than it has room for")
		}
		if _, has := o.Owned()[0].Models["c"]; !has {
			t.Error("the content of the engine was not read again")
		}
	})
}

// TestClaimsOfLostHostsEnginesLimitStoreReads limits the store reads of a host that claims
// four engines of a lost host every second until the lost host's lease has ended.
func TestClaimsOfLostHostsEnginesLimitStoreReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memStore{objects: map[string]platform.Object{}}
		began := time.Now()
		now := func() time.Duration { return time.Since(began) }
		gone, next := NewLease(LeaseOptions{Holder: "a", Store: store, Eras: &platform.Eras{}, Now: now, Log: quietLog()}), NewLease(LeaseOptions{Holder: "b", Store: store, Eras: &platform.Eras{}, Now: now, Log: quietLog()})
		for _, l := range []*Lease{gone, next} {
			if err := l.renew(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		engines := []string{"e1", "e2", "e3", "e4"}
		for _, e := range engines {
			if _, _, err := gone.Claim(t.Context(), e); err != nil {
				t.Fatal(err)
			}
		}
		store.reads = 0
		taken := 0
		for now() < 9*time.Second {
			for _, e := range engines {
				if _, _, err := next.Claim(t.Context(), e); err == nil {
					taken++
				}
			}
			if taken > 0 {
				break
			}
			time.Sleep(time.Second)
		}
		if most := 2 * len(engines) * 4; taken != len(engines) || store.reads > most {
			t.Errorf("claimed %d engines after %v and %d reads, want all after %d reads at most", taken, now(), store.reads, most)
		}
	})
}

// TestLeavingOwnerHandsOver covers a planned stop of a host during a move. The next owner
// must not have to wait for the end of the host's lease.
func TestLeavingOwnerHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, _ := newTestOwner(t, engine)
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		o.Leave(t.Context())
		if !engine.models["c"] && engine.loading != "c" {
			t.Error("the move in progress was aborted")
		}
		if err := o.Swap(SwapCommand{Move: 2, Engine: "e1", Load: "a"}); err == nil {
			t.Error("a move was accepted after the host left")
		}
		if len(o.Owned()) != 0 || o.lease.Held() {
			t.Error("the host still owns its engine")
		}
		next := NewLease(LeaseOptions{Holder: "h2@ip", Store: o.lease.store, Eras: &platform.Eras{}, Now: o.now, Log: quietLog()})
		if err := next.renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, taken, err := next.Claim(t.Context(), "e1"); err != nil || !taken {
			t.Errorf("got taken over %v and error %v, want true and none", taken, err)
		}
		if err := o.lease.Acquire(t.Context()); err == nil {
			t.Error("a leaving host acquired its lease again")
		}
	})
}

// TestMoveBasedOnStaleViewIsRefused covers two hosts that are coordinators at the same
// time: one of them does not know that the other has filled the engine.
func TestMoveBasedOnStaleViewIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, fleetView := newTestOwner(t, engine)
		fleetView.SetConfig(&fleet.Config{Version: 2, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{CapacityMB: 150, Models: map[string]fleet.Model{
			"a": {SizeMB: 70}, "b": {SizeMB: 70}, "c": {SizeMB: 70},
		}}}}})
		err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Load: "c", Source: swap.FromDisk})
		var full *NoRoomError
		if !errors.As(err, &full) {
			t.Errorf("got %v, want a NoRoomError: a and b fill the engine", err)
		}
		time.Sleep(moveTimeout)
		if err := o.Swap(SwapCommand{Move: 2, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Error(err)
		}
		time.Sleep(moveTimeout)
		if engine.exceeded() {
			t.Error("the engine was ordered to hold more than it has room for")
		}
	})
}

// TestClaimWithLostResponseWaitsForTheEarlierOwner guards against ordering an engine right after its earlier owner: the
// claim that took it over had no response, and the next one found this host's own record.
func TestClaimWithLostResponseWaitsForTheEarlierOwner(t *testing.T) {
	now := time.Hour
	store := &restorableStore{objects: map[string]platform.Object{}}
	lease := func(holder string) (*Lease, *hostStore) {
		s := &hostStore{store: store, eras: &platform.Eras{}}
		l := NewLease(LeaseOptions{Holder: holder, Store: s, Eras: s.eras, Now: func() time.Duration { return now }, Log: quietLog()})
		if err := l.renew(t.Context()); err != nil {
			t.Fatal(err)
		}
		return l, s
	}
	earlier, _ := lease("a")
	if _, _, err := earlier.Claim(t.Context(), "e1"); err != nil {
		t.Fatal(err)
	}
	next, way := lease("b")
	var elsewhere *OwnedElsewhereError
	if _, _, err := next.Claim(t.Context(), "e1"); !errors.As(err, &elsewhere) {
		t.Fatalf("got %v", err)
	}
	now += leaseTTL + leaseDriftMargin
	if err := next.endLease(t.Context(), "a"); err != nil {
		t.Fatal(err)
	}
	way.loseNext = true
	if _, _, err := next.Claim(t.Context(), "e1"); err == nil {
		t.Fatal("the claim had a response")
	}
	now += time.Second
	if _, takenOver, err := next.Claim(t.Context(), "e1"); err != nil || !takenOver {
		t.Errorf("taken over %v, error %v; want true and none", takenOver, err)
	}
	if _, takenOver, err := next.Claim(t.Context(), "e1"); err != nil || takenOver {
		t.Errorf("claimed again: taken over %v, error %v; want false and none", takenOver, err)
	}
}
