package coordinator

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// TestAdapterLoadedLateIsNotForgotten covers an adapter load without a response that is
// carried out seconds after its caller gave up. A model order then finds the order count
// changed, while another adapter is requested. The owner must know of the first adapter
// before it loads the next one.
func TestAdapterLoadedLateIsNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		for _, a := range []string{"a1", "a2", "a3"} {
			engine.adapters[a] = time.Time{}
		}
		o, fleetView := newTestOwner(t, engine)
		fleetView.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s", Address: "x", StartedMS: 1,
			Models: map[string][]string{"a": nil, "b": {"a1", "a2", "a3"}}}}))
		loadAdapter := func(adapter string) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_ = o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: adapter})
		}
		engine.mu.Lock()
		engine.loseResponses, engine.delay = 100, 2*time.Second // all orders of the first call
		engine.mu.Unlock()
		loadAdapter("a4")
		engine.mu.Lock()
		engine.loseResponses = 0
		engine.mu.Unlock()
		time.Sleep(2500 * time.Millisecond)
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		for range 50 { // also while the order count is being read again
			time.Sleep(100 * time.Millisecond)
			go loadAdapter("a5")
		}
		time.Sleep(moveTimeout)
		if engine.exceeded() {
			t.Error("the engine was ordered to load more adapters than it has slots")
		}
	})
}

// swapDuration replaces model a by c and returns how long that takes.
func swapDuration(t *testing.T, o *Owner) time.Duration {
	t.Helper()
	began := time.Now()
	if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
		t.Fatal(err)
	}
	for time.Since(began) < moveTimeout {
		time.Sleep(10 * time.Millisecond)
		if v := o.Owned(); len(v) > 0 && !v[0].Busy {
			if _, there := v[0].Models["c"]; !there {
				t.Error("the swap failed")
			}
			return time.Since(began)
		}
	}
	t.Fatal("the swap did not end")
	return 0
}

// TestCanceledAdapterRequestLeavesNoUncertainOrder cancels an adapter request before the
// engine's response arrives. The outcome of the order must become known all the same.
func TestCanceledAdapterRequestLeavesNoUncertainOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, _ := newTestOwner(t, engine)
		engine.mu.Lock()
		engine.responseDelay = 40 * time.Millisecond
		engine.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_ = o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: "a1"})
		if took := swapDuration(t, o); took > time.Second {
			t.Errorf("the next swap took %v, want 1 s at most", took)
		}
	})
}

// TestAdapterUnloadedDuringAMoveIsCounted covers adapter requests during a move that waits
// for the running requests of the unloaded model, after an order with unknown outcome. The
// adapter orders increase the order count that the move's load must expect.
func TestAdapterUnloadedDuringAMoveIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		for _, a := range []string{"a1", "a2", "a3", "a4"} {
			engine.adapters[a] = time.Time{}
		}
		o, _ := newTestOwner(t, engine)
		loadAdapter := func(adapter string) {
			ctx, cancel := context.WithTimeout(t.Context(), adapterTimeout)
			defer cancel()
			_ = o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: adapter})
		}
		engine.mu.Lock()
		engine.loseResponses, engine.delay, engine.drainTime = 1, 9*time.Second, 600*time.Millisecond
		engine.mu.Unlock()
		loadAdapter("a5")
		for i := range 20 {
			time.AfterFunc(time.Duration(i)*100*time.Millisecond, func() { loadAdapter(fmt.Sprintf("a%d", 5+i%3)) })
		}
		if took := swapDuration(t, o); took > 2*time.Second {
			t.Errorf("the swap took %v, want 2 s at most", took)
		}
		time.Sleep(engine.delay)
		if engine.exceeded() {
			t.Error("the engine was ordered to hold more than it has room for")
		}
	})
}

// TestAdapterRequestsDoNotDelayUncertainMove sends adapter requests while a move has to
// read the engine's order count again after an order with unknown outcome.
func TestAdapterRequestsDoNotDelayUncertainMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, _ := newTestOwner(t, engine)
		engine.mu.Lock()
		engine.loseResponses, engine.delay = 1, 300*time.Millisecond
		engine.mu.Unlock()
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		for o.Owned()[0].Busy {
			time.Sleep(50 * time.Millisecond)
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), adapterTimeout)
				defer cancel()
				_ = o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: "a1"})
			}()
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("the move took %v, want 2 s at most", took)
		}
		time.Sleep(2 * adapterTimeout)
	})
}
