package steer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// TestAdapterLoadedLateIsNotForgotten: an adapter's load gets no answer and is
// carried out seconds after its asker left. A model's order then finds the count
// changed, while another adapter is asked for. The first must be known before the
// next one is loaded.
func TestAdapterLoadedLateIsNotForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		for _, a := range []string{"a1", "a2", "a3"} {
			engine.adapters[a] = time.Time{}
		}
		o, board := newTestOwner(t, engine)
		board.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s", Address: "x", StartedMS: 1,
			Models: map[string][]string{"a": nil, "b": {"a1", "a2", "a3"}}}}))
		ask := func(adapter string) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_ = o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: adapter})
		}
		engine.mu.Lock()
		engine.lose, engine.late = 100, 2*time.Second // all orders of the first asker
		engine.mu.Unlock()
		ask("a4")
		engine.mu.Lock()
		engine.lose = 0
		engine.mu.Unlock()
		time.Sleep(2500 * time.Millisecond)
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		for range 50 { // also just while the count is read anew
			time.Sleep(100 * time.Millisecond)
			go ask("a5")
		}
		time.Sleep(moveBound)
		if engine.overfull {
			t.Error("engine was ordered to load more adapters than it has room for")
		}
	})
}

// swapTakes returns how long a swap of a for c takes.
func swapTakes(t *testing.T, o *Owner) time.Duration {
	t.Helper()
	began := time.Now()
	if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
		t.Fatal(err)
	}
	for time.Since(began) < moveBound {
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

// TestAskerThatLeavesMakesNoDoubt: who asked for an adapter leaves while the
// engine's answer is on its way. The order's outcome must become known.
func TestAskerThatLeavesMakesNoDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, _ := newTestOwner(t, engine)
		engine.mu.Lock()
		engine.pause = 40 * time.Millisecond
		engine.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_ = o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: "a1"})
		if took := swapTakes(t, o); took > time.Second {
			t.Errorf("the next swap took %v", took)
		}
	})
}

// TestAdapterUnloadedDuringAMoveIsCounted: an order without an answer left a doubt;
// a move waits for the runs of the model that goes, while askers for adapters come.
// Their orders raise the count that the move's load expects.
func TestAdapterUnloadedDuringAMoveIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		for _, a := range []string{"a1", "a2", "a3", "a4"} {
			engine.adapters[a] = time.Time{}
		}
		o, _ := newTestOwner(t, engine)
		ask := func(adapter string) {
			ctx, cancel := context.WithTimeout(t.Context(), adapterBound)
			defer cancel()
			_ = o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: adapter})
		}
		engine.mu.Lock()
		engine.lose, engine.late, engine.runs = 1, 9*time.Second, 600*time.Millisecond
		engine.mu.Unlock()
		ask("a5")
		for i := range 20 {
			time.AfterFunc(time.Duration(i)*100*time.Millisecond, func() { ask(fmt.Sprintf("a%d", 5+i%3)) })
		}
		if took := swapTakes(t, o); took > 2*time.Second {
			t.Errorf("the swap took %v", took)
		}
		time.Sleep(engine.late)
		if engine.overfull {
			t.Error("engine was ordered to hold more than it has room for")
		}
	})
}

// TestAskersDoNotHoldUpAMoveInDoubt: askers for adapters come all the while that a
// move has to read the engine's count anew.
func TestAskersDoNotHoldUpAMoveInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, _ := newTestOwner(t, engine)
		engine.mu.Lock()
		engine.lose, engine.late = 1, 300*time.Millisecond
		engine.mu.Unlock()
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c", Source: swap.FromDisk}); err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		for o.Owned()[0].Busy {
			time.Sleep(50 * time.Millisecond)
			go func() {
				ctx, cancel := context.WithTimeout(t.Context(), adapterBound)
				defer cancel()
				_ = o.LoadAdapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: "a1"})
			}()
		}
		if took := time.Since(began); took > 2*time.Second {
			t.Errorf("the move ended after %v", took)
		}
		time.Sleep(2 * adapterBound)
	})
}
