package steer

import (
	"context"
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
		board.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e1": {ID: "e1", Service: "s", Address: "x", Born: 1,
			Models: map[string][]string{"a": nil, "b": {"a1", "a2", "a3"}}}}))
		ask := func(adapter string) {
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_ = o.Adapter(ctx, AdapterCommand{Engine: "e1", Model: "b", Adapter: adapter})
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
