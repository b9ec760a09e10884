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

// chaos is one fleet with one shard, so that every key contends.
type chaos struct {
	rng     *rand.Rand
	mu      sync.Mutex // guards rng and hosts
	net     *peertest.Network
	store   *objectapi.Store
	noFence bool
	hosts   []*host
	born    int
	ran     map[string]*atomic.Int64 // executions by key
	faults  []string
	wg      sync.WaitGroup
	ctx     context.Context
}

// host is one run of the daemon on one host.
type host struct {
	*peertest.Host
	c      *chaos
	j      *Journal
	ctx    context.Context
	cancel context.CancelFunc
	dead   atomic.Bool
	hidden atomic.Int64 // host number missing in this host's view, or -1
	lose   atomic.Bool  // writes take effect, their answers are lost
	late   atomic.Bool  // writes take effect after their caller gave up
	down   atomic.Bool  // no call reaches the object API
	slow   atomic.Int64 // delay of calls
}

func (c *chaos) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

func (c *chaos) host(i int) *host {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hosts[i]
}

func (c *chaos) chance(percent int) bool { return c.intN(100) < percent }

func (c *chaos) millis(most int) time.Duration { return time.Duration(c.intN(most)) * time.Millisecond }

func (c *chaos) boot(t *testing.T, i int) *host {
	c.born++
	h := &host{c: c}
	h.hidden.Store(-1)
	h.ctx, h.cancel = context.WithCancel(c.ctx)
	h.Host = c.net.Add(peer.Member{ID: peer.ID{Name: fmt.Sprint("h", i), Incarnation: fmt.Sprint(c.born)}})
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
	c.wg.Go(func() { _ = j.Run(h.ctx) })
	return h
}

// Members implements peer.Members with a view that may lack a host.
func (h *host) Members() []peer.Member {
	var out []peer.Member
	for _, m := range h.Host.Members() {
		if m.ID.Name != fmt.Sprint("h", h.hidden.Load()) {
			out = append(out, m)
		}
	}
	return out
}

// Get implements platform.API.
func (h *host) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := h.reach(ctx); err != nil {
		return platform.Object{}, err
	}
	return h.c.store.Get(ctx, kind, name)
}

// Put implements platform.API.
func (h *host) Put(ctx context.Context, obj platform.Object) (platform.Object, error) {
	if err := h.reach(ctx); err != nil {
		return platform.Object{}, err
	}
	unknown := &platform.UnknownOutcomeError{Kind: obj.Kind, Name: obj.Name, OpID: obj.OpID}
	put := func() (platform.Object, error) {
		if h.c.noFence {
			now, _ := h.c.store.Get(context.Background(), obj.Kind, obj.Name)
			obj.Version = now.Version
		}
		return h.c.store.Put(context.Background(), obj)
	}
	if h.late.Load() {
		delay := h.c.millis(3000)
		h.c.wg.Go(func() {
			time.Sleep(delay)
			_, _ = put()
		})
		return platform.Object{}, unknown
	}
	stored, err := put()
	if err == nil && h.lose.Load() {
		return platform.Object{}, unknown
	}
	return stored, err
}

func (h *host) reach(ctx context.Context) error {
	select {
	case <-time.After(time.Duration(h.slow.Load()) + time.Millisecond):
	case <-ctx.Done():
	}
	if h.dead.Load() || h.down.Load() || ctx.Err() != nil {
		return &platform.UnavailableError{Op: "call", Cause: context.Canceled}
	}
	return nil
}

// The journal uses no other call of the object API here.
func (h *host) List(context.Context, platform.Kind) (platform.List, error) { panic("unused") }
func (h *host) Delete(context.Context, platform.Kind, string, platform.Version) error {
	panic("unused")
}
func (h *host) Watch(context.Context, platform.Kind, platform.Version) (platform.Watch, error) {
	panic("unused")
}

// crash ends a host as a power cut does; its calls on their way go on.
func (h *host) crash() {
	h.dead.Store(true)
	h.SetDown(true)
	h.cancel()
}

// disturb makes one fault happen, which may last a while.
func (c *chaos) disturb(t *testing.T) {
	i := c.intN(len(c.hosts))
	h := c.host(i)
	span := c.millis(4000)
	kind := []string{"crash", "pause", "hide", "lose", "late", "api_down", "slow", "cut", "calls"}[c.intN(9)]
	c.faults = append(c.faults, fmt.Sprint(kind, " h", i))
	switch kind {
	case "crash":
		h.crash()
		time.Sleep(c.millis(500))
		born := c.boot(t, i)
		c.mu.Lock()
		c.hosts[i] = born
		c.mu.Unlock()
	case "pause":
		h.SetDown(true)
		h.slow.Store(int64(span))
		time.Sleep(span)
		h.slow.Store(0)
		if !h.dead.Load() {
			h.SetDown(false)
		}
	case "hide":
		h.hidden.Store(int64(c.intN(len(c.hosts))))
		time.Sleep(span)
		h.hidden.Store(-1)
	case "lose":
		h.lose.Store(true)
		time.Sleep(span)
		h.lose.Store(false)
	case "late":
		h.late.Store(true)
		time.Sleep(span)
		h.late.Store(false)
	case "api_down":
		h.down.Store(true)
		time.Sleep(span)
		h.down.Store(false)
	case "slow":
		h.slow.Store(int64(span))
		time.Sleep(span)
		h.slow.Store(0)
	case "cut":
		other := fmt.Sprint("h", c.intN(len(c.hosts)))
		c.net.SetBlocked(h.Self().ID.Name, other, true)
		time.Sleep(span)
		c.net.SetBlocked(h.Self().ID.Name, other, false)
	case "calls":
		c.net.SetFaults(peertest.Faults{LoseCall: 0.2, LoseAnswer: 0.2, Duplicate: 0.2, MaxDelay: 20 * time.Millisecond})
		time.Sleep(span)
		c.net.SetFaults(peertest.Faults{})
	}
}

// targetError is how the target of a test fails.
type targetError string

func (e targetError) Error() string { return string(e) }

// call sends a key through a host and checks what it is told.
func (c *chaos) call(t *testing.T, h *host, key string) {
	const deadline = 8 * time.Second
	ctx, cancel := context.WithTimeout(h.ctx, deadline)
	defer cancel()
	executed := false
	run := func(context.Context) (serve.Answer, bool, error) {
		time.Sleep(c.millis(20))
		if c.chance(10) {
			time.Sleep(c.millis(6000)) // paused between grant and dispatch
		}
		switch fate := c.intN(10); {
		case h.dead.Load() || fate == 0:
			return serve.Answer{}, false, targetError("unreachable")
		case fate == 1:
			return serve.Answer{}, true, targetError("died before it ran")
		default:
			executed = true
			c.ran[key].Add(1)
			time.Sleep(c.millis(50))
			if fate == 2 {
				return serve.Answer{}, true, targetError("died after it ran")
			}
		}
		return serve.Answer{Status: 200, Body: []byte(key)}, true, nil
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

// runChaos performs one seeded run and returns the most executions of a key.
func runChaos(t *testing.T, seed uint64, noFence bool) (most int64, faults string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := &chaos{
			rng: rand.New(rand.NewPCG(seed, 7)), net: peertest.New(seed), store: objectapi.NewStore(),
			noFence: noFence, ran: map[string]*atomic.Int64{}, ctx: ctx,
		}
		for i := range 3 {
			c.hosts = append(c.hosts, c.boot(t, i))
		}
		keys := []string{"k0", "k1", "k2"}
		for _, key := range keys {
			c.ran[key] = &atomic.Int64{}
		}
		c.wg.Go(func() {
			for range 4 {
				time.Sleep(c.millis(300))
				c.disturb(t)
			}
		})
		var callers sync.WaitGroup
		for range 24 {
			key, h := keys[c.intN(len(keys))], c.host(c.intN(len(c.hosts)))
			callers.Go(func() { c.call(t, h, key) })
			time.Sleep(c.millis(400))
		}
		callers.Wait()
		cancel()
		c.wg.Wait()
		for _, key := range keys {
			most = max(most, c.ran[key].Load())
		}
		faults = strings.Join(c.faults, ", ")
	})
	return most, faults
}

func TestAtMostOnceUnderFaults(t *testing.T) {
	before := invariant.Total()
	var violation atomic.Value
	invariant.OnViolation(func(v invariant.Violation) { violation.Store(v.Error()) })
	for seed := *firstSeed; seed < *firstSeed+uint64(*runs); seed++ {
		most, faults := runChaos(t, seed, false)
		if most > 1 || t.Failed() || invariant.Total() != before {
			t.Fatalf("seed %d: a key ran %d times; violation: %v; faults: %s", seed, most, violation.Load(), faults)
		}
	}
}

// Without the precondition of updates the same runs must run a key twice, or
// they would prove nothing.
func TestFaultsRunTwiceWithoutFence(t *testing.T) {
	for seed := uint64(1); seed <= 200; seed++ {
		if most, faults := runChaos(t, seed, true); most > 1 {
			t.Logf("seed %d ran a key %d times; faults: %s", seed, most, faults)
			return
		}
	}
	t.Fatal("no key ran twice in 200 runs without the fence")
}
