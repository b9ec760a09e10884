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

// violations are those of the seed that runs now.
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

// TestWholeRun runs the whole with each seed.
func TestWholeRun(t *testing.T) {
	first, last := uint64(1), *seeds
	if *oneSeed != 0 {
		first, last = *oneSeed, *oneSeed
	}
	// Fewer interleavings that differ from run to run: the schedule comes from
	// the seed, the order of what happens in the same instant does not.
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

// totals counts what a run was made of, so that an idle run shows.
type totals struct {
	Calls, Whole, Cut, NotRun, Unknown, Ran, Faults int

	Codes map[refusal.Code]int // of refusals
}

// lockedReader lets several goroutines read random bytes.
type lockedReader struct {
	mu   sync.Mutex
	from *rand.ChaCha8
}

func (r *lockedReader) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.from.Read(p)
}

func runSeed(t *testing.T, seed uint64, sum *totals) {
	takeViolations()
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	uuid.SetRand(&lockedReader{from: rand.NewChaCha8(key)})
	w := newWorld(t, seed)
	idle, stopTicks := context.WithCancel(context.Background())
	w.wait.Go(func() { w.tick(idle) })
	time.Sleep(2 * time.Second) // hosts find one another
	ctx, cancel := context.WithTimeout(context.Background(), *length)
	var inFlight, drivers sync.WaitGroup
	for team := range teamCount {
		drivers.Go(func() { w.traffic(ctx, team, seed, &inFlight) })
	}
	drivers.Go(func() { w.operate(ctx, seed) })
	drivers.Go(func() { w.injectFaults(ctx) })
	drivers.Wait()
	cancel()
	inFlight.Wait()
	time.Sleep(aftermath)
	w.checkInForce()
	stopTicks()
	w.close()
	w.check()
	w.count(sum)
	bad := append(w.bad, takeViolations()...)
	for _, b := range bad[:min(len(bad), 20)] {
		t.Error(b)
	}
	if len(bad) > 0 {
		t.Logf("faults:\n%s", strings.Join(w.history, "\n"))
	}
}

// tick sends the platform's bookmarks and watches the configuration of all
// hosts for steps back.
func (w *world) tick(ctx context.Context) {
	marks := map[*host]int64{}
	for n := 0; ctx.Err() == nil; n++ {
		if n%10 == 0 {
			w.store.Bookmark()
		}
		for _, h := range w.up() {
			mark := markOf(h)
			before, known := marks[h]
			if known && mark < before {
				w.fail("%s: %s went back from mark %d to %d", invariant.ConfigMonotonic, h.name, before, mark)
			}
			marks[h] = mark
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// checkInForce fails if a host lacks the last configuration after all faults
// have ended.
func (w *world) checkInForce() {
	for _, h := range w.up() {
		if mark := markOf(h); mark != w.lastMark {
			w.fail("%s: %s has mark %d, the last is %d", invariant.ConfigMonotonic, h.name, mark, w.lastMark)
		}
		if !h.core.Config.Accepting() {
			w.fail("%s: %s refuses for an old configuration", invariant.ConfigMonotonic, h.name)
		}
	}
}

func (w *world) count(sum *totals) {
	sum.Faults += len(w.history)
	for _, c := range w.calls {
		sum.Calls++
		o := c.outcome()
		if !o.whole && !c.cut {
			sum.Codes[o.code]++
		}
		switch {
		case c.cut:
			sum.Cut++
		case o.whole:
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
