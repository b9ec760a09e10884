package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/swap"
)

// TestFewOrdersAreRefusedDuringUnloads guards against an owner that sends the load of each swap again and again while
// the engine still unloads: on busy fleets two of three orders were refused.
func TestFewOrdersAreRefusedDuringUnloads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, _ := newTestOwner(t, engine)
		engine.drainTime = 300 * time.Millisecond
		models := []string{"a", "c"}
		const swaps = 20
		for i := range swaps {
			refused := engine.refusedOrders()
			began := time.Now()
			if err := o.Swap(SwapCommand{Move: uint64(i + 1), Engine: "e1", Unload: []string{models[i%2]}, Load: models[(i+1)%2], Source: swap.FromMemory}); err != nil {
				t.Fatal(err)
			}
			for o.Owned()[0].Busy {
				time.Sleep(time.Millisecond)
			}
			synctest.Wait() // the move has ended, not only its engine's view
			if n := engine.refusedOrders() - refused; i > 0 && n > 2 {
				t.Errorf("swap %d: %d orders refused, want 2 at most", i, n)
			}
			if took := time.Since(began); took > engine.drainTime+fakeLoadTime+drainDelay+2*orderRetryInterval {
				t.Errorf("swap %d took %v", i, took)
			}
		}
	})
}
