package journal

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

var (
	runs      = flag.Int("journal.runs", 1000, "number of seeded runs")
	firstSeed = flag.Uint64("journal.seed", 1, "seed of the first run")
)

// testFleet is a fleet with a single shard, so that all keys share it.
type testFleet struct {
	rng     *rand.Rand
	mu      sync.Mutex // guards rng and hosts
	net     *peertest.Network
	store   *objectapi.Store
	noFence bool
	hosts   []*host
	starts  int
	ran     map[string]*atomic.Int64 // number of executions by key
	faults  []string
	wg      sync.WaitGroup
	ctx     context.Context
}

// host is one run of the daemon on a host. It implements peer.Members and
// platform.API with faults.
type host struct {
	*peertest.Host
	fleet         *testFleet
	j             *Journal
	ctx           context.Context
	cancel        context.CancelFunc
	dead          atomic.Bool
	hiddenHost    atomic.Int64 // number of the host missing from this host's view of the members, or -1
	loseResponses atomic.Bool  // writes take effect, but their responses are lost
	delayWrites   atomic.Bool  // writes take effect after the caller has given up
	apiDown       atomic.Bool  // no call reaches the object API
	apiDelay      atomic.Int64 // delay of object API calls
}

func (f *testFleet) intN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *testFleet) host(i int) *host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[i]
}

func (f *testFleet) chance(percent int) bool { return f.intN(100) < percent }

func (f *testFleet) randomMillis(limit int) time.Duration {
	return time.Duration(f.intN(limit)) * time.Millisecond
}

func (f *testFleet) startHost(t *testing.T, i int) *host {
	f.starts++
	h := &host{fleet: f}
	h.hiddenHost.Store(-1)
	h.ctx, h.cancel = context.WithCancel(f.ctx)
	h.Host = f.net.Add(peer.Member{ID: peer.ID{Name: fmt.Sprint("h", i), Incarnation: fmt.Sprint(f.starts)}})
	log := logrus.New()
	log.SetOutput(io.Discard)
	j, err := New(Options{
		Members: h, Caller: h.Host, Registrar: h.Host, API: h, Log: log, Metrics: tally.NoopScope,
		Shards: 1, APITimeout: 3 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	h.j = j
	f.wg.Go(func() { _ = j.Run(h.ctx) })
	return h
}

// Members implements peer.Members with a view that may lack a host.
func (h *host) Members() []peer.Member {
	var out []peer.Member
	for _, m := range h.Host.Members() {
		if m.ID.Name != fmt.Sprint("h", h.hiddenHost.Load()) {
			out = append(out, m)
		}
	}
	return out
}

// Get implements platform.API.
func (h *host) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := h.reachAPI(ctx); err != nil {
		return platform.Object{}, err
	}
	return h.fleet.store.Get(ctx, kind, name)
}

// Put implements platform.API.
func (h *host) Put(ctx context.Context, obj platform.Object) (platform.Object, error) {
	if err := h.reachAPI(ctx); err != nil {
		return platform.Object{}, err
	}
	unknown := &platform.UnknownOutcomeError{Kind: obj.Kind, Name: obj.Name, OpID: obj.OpID}
	put := func() (platform.Object, error) {
		if h.fleet.noFence {
			now, _ := h.fleet.store.Get(context.Background(), obj.Kind, obj.Name)
			obj.Version = now.Version
		}
		return h.fleet.store.Put(context.Background(), obj)
	}
	if h.delayWrites.Load() {
		delay := h.fleet.randomMillis(3000)
		h.fleet.wg.Go(func() {
			time.Sleep(delay)
			_, _ = put()
		})
		return platform.Object{}, unknown
	}
	stored, err := put()
	if err == nil && h.loseResponses.Load() {
		return platform.Object{}, unknown
	}
	return stored, err
}

func (h *host) reachAPI(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(h.apiDelay.Load()) + time.Millisecond):
	case <-ctx.Done():
	}
	if h.dead.Load() || h.apiDown.Load() || ctx.Err() != nil {
		return &platform.UnavailableError{Op: "call", Cause: context.Canceled}
	}
	return nil
}

// The remaining methods of platform.API are not called in these tests.
func (h *host) List(context.Context, platform.Kind) (platform.List, error) { panic("unused") }
func (h *host) Delete(context.Context, platform.Kind, string, platform.Version) error {
	panic("unused")
}
func (h *host) Watch(context.Context, platform.Kind, platform.Version) (platform.Watch, error) {
	panic("unused")
}

// crash ends a host as a power failure does. Its calls in flight may still take effect.
func (h *host) crash() {
	h.dead.Store(true)
	h.SetDown(true)
	h.cancel()
}

// injectFault injects one random fault and returns when it is over.
func (f *testFleet) injectFault(t *testing.T) {
	i := f.intN(len(f.hosts))
	h := f.host(i)
	span := f.randomMillis(4000)
	kind := []string{"crash", "pause", "hide", "lose", "late", "api_down", "slow", "cut", "calls"}[f.intN(9)]
	f.faults = append(f.faults, fmt.Sprint(kind, " h", i))
	switch kind {
	case "crash":
		h.crash()
		time.Sleep(f.randomMillis(500))
		restarted := f.startHost(t, i)
		f.mu.Lock()
		f.hosts[i] = restarted
		f.mu.Unlock()
	case "pause":
		h.SetDown(true)
		h.apiDelay.Store(int64(span))
		time.Sleep(span)
		h.apiDelay.Store(0)
		if !h.dead.Load() {
			h.SetDown(false)
		}
	case "hide":
		h.hiddenHost.Store(int64(f.intN(len(f.hosts))))
		time.Sleep(span)
		h.hiddenHost.Store(-1)
	case "lose":
		h.loseResponses.Store(true)
		time.Sleep(span)
		h.loseResponses.Store(false)
	case "late":
		h.delayWrites.Store(true)
		time.Sleep(span)
		h.delayWrites.Store(false)
	case "api_down":
		h.apiDown.Store(true)
		time.Sleep(span)
		h.apiDown.Store(false)
	case "slow":
		h.apiDelay.Store(int64(span))
		time.Sleep(span)
		h.apiDelay.Store(0)
	case "cut":
		other := fmt.Sprint("h", f.intN(len(f.hosts)))
		f.net.SetBlocked(h.Self().ID.Name, other, true)
		time.Sleep(span)
		f.net.SetBlocked(h.Self().ID.Name, other, false)
	case "calls":
		f.net.SetFaults(peertest.Faults{LoseCall: 0.2, LoseReply: 0.2, Duplicate: 0.2, MaxDelay: 20 * time.Millisecond})
		time.Sleep(span)
		f.net.SetFaults(peertest.Faults{})
	}
}

// targetError is a failure of a test's target.
type targetError string

func (e targetError) Error() string { return string(e) }

// call sends a key through a host and checks the answer or refusal.
func (f *testFleet) call(t *testing.T, h *host, key string) {
	const deadline = 8 * time.Second
	ctx, cancel := context.WithTimeout(h.ctx, deadline)
	defer cancel()
	executed := false
	run := func(context.Context) (serve.Response, bool, error) {
		time.Sleep(f.randomMillis(20))
		if f.chance(10) {
			time.Sleep(f.randomMillis(6000)) // paused between grant and dispatch
		}
		switch outcome := f.intN(10); {
		case h.dead.Load() || outcome == 0:
			return serve.Response{}, false, targetError("unreachable")
		case outcome == 1:
			return serve.Response{}, true, targetError("died before it ran")
		default:
			executed = true
			f.ran[key].Add(1)
			time.Sleep(f.randomMillis(50))
			if outcome == 2 {
				return serve.Response{}, true, targetError("died after it ran")
			}
		}
		return serve.Response{Status: 200, Body: []byte(key)}, true, nil
	}
	begin := time.Now()
	a, err := h.j.Do(ctx, serve.CallID{Team: "team", IdempotencyKey: key, Fingerprint: "f"}, run)
	if took := time.Since(begin); took > deadline+7*time.Second {
		t.Errorf("key %s: answered after %v", key, took)
	}
	var ref *refusal.Error
	switch {
	case err == nil && string(a.Body) != key:
		t.Errorf("key %s got the answer %q", key, a.Body)
	case errors.As(err, &ref) && ref.Execution == refusal.NotRun && executed:
		t.Errorf("key %s: refused as not_run, but ran: %v", key, err)
	}
}

// runWithFaults performs one seeded run. It returns the number of executions of
// the key that ran most often, and the injected faults.
func runWithFaults(t *testing.T, seed uint64, noFence bool) (maxRuns int64, faults string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		f := &testFleet{
			rng: rand.New(rand.NewPCG(seed, 7)), net: peertest.New(seed), store: objectapi.NewStore(),
			noFence: noFence, ran: map[string]*atomic.Int64{}, ctx: ctx,
		}
		for i := range 3 {
			f.hosts = append(f.hosts, f.startHost(t, i))
		}
		keys := []string{"k0", "k1", "k2"}
		for _, key := range keys {
			f.ran[key] = &atomic.Int64{}
		}
		f.wg.Go(func() {
			for range 4 {
				time.Sleep(f.randomMillis(300))
				f.injectFault(t)
			}
		})
		var callers sync.WaitGroup
		for range 24 {
			key, h := keys[f.intN(len(keys))], f.host(f.intN(len(f.hosts)))
			callers.Go(func() { f.call(t, h, key) })
			time.Sleep(f.randomMillis(400))
		}
		callers.Wait()
		cancel()
		f.wg.Wait()
		for _, key := range keys {
			maxRuns = max(maxRuns, f.ran[key].Load())
		}
		faults = strings.Join(f.faults, ", ")
	})
	return maxRuns, faults
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	before := invariant.Total()
	var violation atomic.Value
	invariant.OnViolation(func(v invariant.Violation) { violation.Store(v.Error()) })
	for seed := *firstSeed; seed < *firstSeed+uint64(*runs); seed++ {
		maxRuns, faults := runWithFaults(t, seed, false)
		if maxRuns > 1 || t.Failed() || invariant.Total() != before {
			t.Fatalf("seed %d: a key ran %d times; violation: %v; faults: %s", seed, maxRuns, violation.Load(), faults)
		}
	}
}

// TestFaultsRunTwiceWithoutFence guards against faults that cannot cause a
// violation: without the precondition of updates, one of the same runs must run
// a key twice.
func TestFaultsRunTwiceWithoutFence(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		if maxRuns, faults := runWithFaults(t, seed, true); maxRuns > 1 {
			t.Logf("seed %d ran a key %d times; faults: %s", seed, maxRuns, faults)
			return
		}
	}
	t.Fatal("no key ran twice in 200 runs without the precondition of updates")
}
