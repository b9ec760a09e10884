package wholerun

import (
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/refusal"
)

var (
	oneSeed = flag.Uint64("wholerun.seed", 0, "run this seed only")
	seeds   = flag.Uint64("wholerun.seeds", 100, "run the seeds from 1 to this")
	length  = flag.Duration("wholerun.length", 10*time.Second, "length of the traffic of each seed, in fake time")
	verbose = flag.Bool("wholerun.log", false, "write the hosts' log")
)

// violations are the violated run-time checks of the current seed.
var violations struct {
	sync.Mutex
	list []string
}

func init() {
	invariant.OnViolation(func(v invariant.Violation) {
		violations.Lock()
		defer violations.Unlock()
		violations.list = append(violations.list, v.Error())
	})
}

func takeViolations() []string {
	violations.Lock()
	defer violations.Unlock()
	list := violations.list
	violations.list = nil
	return list
}

// TestWholeRun runs the simulation with each seed.
func TestWholeRun(t *testing.T) {
	first, last := uint64(1), *seeds
	if *oneSeed != 0 {
		first, last = *oneSeed, *oneSeed
	}
	// A single thread makes runs with the same seed differ less. The seed determines
	// the schedule, but not the order of events at the same instant.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer uuid.SetRand(nil)
	sum := totals{Codes: map[refusal.Code]int{}}
	for seed := first; seed <= last; seed++ {
		ok := t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSeed(t, seed, &sum) })
		})
		if !ok {
			t.Errorf("seed %d failed: go test ./internal/wholerun -run WholeRun -wholerun.seed %d -wholerun.length %v", seed, seed, *length)
		}
	}
	t.Logf("%d seeds: %+v", last-first+1, sum)
}

// totals counts the calls by outcome and the faults of all seeds, so that a run
// without much traffic is noticed.
type totals struct {
	Calls, Whole, Cut, NotRun, Unknown, Ran, Faults int

	Codes map[refusal.Code]int // of refusals
}

// lockedReader is a source of random bytes for concurrent use.
type lockedReader struct {
	mu  sync.Mutex
	src *rand.ChaCha8
}

func (r *lockedReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.src.Read(p)
}

func runSeed(t *testing.T, seed uint64, sum *totals) {
	takeViolations()
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	uuid.SetRand(&lockedReader{src: rand.NewChaCha8(key)})
	sim := newSimulation(t, seed)
	tickCtx, stopTicks := context.WithCancel(context.Background())
	sim.wait.Go(func() { sim.runTicks(tickCtx) })
	time.Sleep(2 * time.Second) // hosts discover one another
	ctx, cancel := context.WithTimeout(context.Background(), *length)
	var inFlight, drivers sync.WaitGroup
	for team := range teamCount {
		drivers.Go(func() { sim.generateTraffic(ctx, team, seed, &inFlight) })
	}
	drivers.Go(func() { sim.changeConfig(ctx, seed) })
	drivers.Go(func() { sim.injectFaults(ctx) })
	drivers.Wait()
	cancel()
	inFlight.Wait()
	time.Sleep(recoveryTime)
	sim.checkConfigApplied()
	stopTicks()
	sim.close()
	sim.check()
	sim.addTotals(sum)
	failures := append(sim.failures, takeViolations()...)
	for _, f := range failures[:min(len(failures), 20)] {
		t.Error(f)
	}
	if len(failures) > 0 {
		t.Logf("faults:\n%s", strings.Join(sim.faultHistory, "\n"))
	}
}

// runTicks sends the platform's bookmarks, and checks that the configuration of no
// host reverts to an earlier one.
func (sim *simulation) runTicks(ctx context.Context) {
	markers := map[*host]int64{}
	for n := 0; ctx.Err() == nil; n++ {
		if n%10 == 0 {
			sim.store.Bookmark()
		}
		for _, h := range sim.upHosts() {
			marker := markerOf(h)
			previous, known := markers[h]
			if known && marker < previous {
				sim.fail("%s: %s reverted from marker %d to %d", invariant.ConfigMonotonic, h.name, previous, marker)
			}
			markers[h] = marker
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkConfigApplied fails if a host has not applied the last configuration after all
// faults have ended.
func (sim *simulation) checkConfigApplied() {
	for _, h := range sim.upHosts() {
		if marker := markerOf(h); marker != sim.lastMarker {
			sim.fail("%s: %s has marker %d, the last one is %d", invariant.ConfigMonotonic, h.name, marker, sim.lastMarker)
		}
		if !h.core.Config.Accepting() {
			sim.fail("%s: %s refuses requests because its configuration is too old", invariant.ConfigMonotonic, h.name)
		}
	}
}

func (sim *simulation) addTotals(sum *totals) {
	sum.Faults += len(sim.faultHistory)
	for _, c := range sim.calls {
		sum.Calls++
		o := c.outcome()
		if !o.complete && !c.aborted {
			sum.Codes[o.code]++
		}
		switch {
		case c.aborted:
			sum.Cut++
		case o.complete:
			sum.Whole++
		case o.execution == "not_run":
			sum.NotRun++
		case o.execution == "ran":
			sum.Ran++
		default:
			sum.Unknown++
		}
	}
}
