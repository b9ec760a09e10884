package limit

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

// configSource is a configuration source that tests can change.
type configSource struct {
	mu   sync.Mutex
	snap *config.Snapshot
}

func (f *configSource) Snapshot() *config.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.snap
}

func (f *configSource) set(teams ...config.Team) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snap = config.NewSnapshot(1, config.Entities{Teams: teams})
}

func (f *configSource) team(name string) *config.Team { return f.Snapshot().Teams[name] }

// fleet is a set of limiters on an in-memory network.
type fleet struct {
	t      testing.TB
	ctx    context.Context
	net    *peertest.Network
	store  *objectapi.Store
	config *configSource
	hosts  []*host
}

type host struct {
	*Limiter
	net  *peertest.Host
	stop context.CancelFunc
}

func newFleet(ctx context.Context, t testing.TB, n int, teams ...config.Team) *fleet {
	f := &fleet{t: t, ctx: ctx, net: peertest.New(1), store: objectapi.NewStore(), config: &configSource{}}
	f.config.set(teams...)
	for i := range n {
		f.listHost(i)
	}
	for i := range n {
		f.hosts = append(f.hosts, f.start(i, "1"))
	}
	return f
}

func hostName(i int) string { return fmt.Sprint("host-", i) }

func (f *fleet) listHost(i int) {
	data, err := json.Marshal(map[string]string{"name": hostName(i), "peer_address": "127.0.0.1:1"})
	if err != nil {
		f.t.Fatal(err)
	}
	f.put(platform.Object{Kind: platform.KindHosts, Name: hostName(i), Data: data})
}

func (f *fleet) put(obj platform.Object) {
	if _, err := f.store.Put(f.ctx, obj); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) unlistHost(i int) {
	obj, err := f.store.Get(f.ctx, platform.KindHosts, hostName(i))
	if err != nil {
		f.t.Fatal(err)
	}
	if err := f.store.Delete(f.ctx, obj.Kind, obj.Name, obj.Version); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) start(i int, incarnation string) *host {
	log := logrus.New()
	log.SetOutput(io.Discard)
	n := f.net.Add(peer.Member{ID: peer.ID{Name: hostName(i), Incarnation: incarnation}})
	l, err := New(Options{
		Members: n, Caller: n, Registrar: n, API: f.store, Config: f.config,
		Log: log, Metrics: tally.NoopScope, Permits: map[string]int64{"loads": 4},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(f.ctx)
	go func() { _ = l.Run(ctx) }() // ends with ctx
	return &host{Limiter: l, net: n, stop: cancel}
}

// crash stops a host without a drain.
func (f *fleet) crash(h *host) {
	h.net.SetDown(true)
	h.stop()
}

// reserve reserves tokens without settling them and reports whether they were granted.
func (f *fleet) reserve(h *host, team string, tokens int64) bool {
	f.t.Helper()
	_, err := h.Reserve(f.ctx, f.config.team(team), tokens)
	var refused *refusal.Error
	if err != nil && !errors.As(err, &refused) {
		f.t.Fatalf("not a refusal: %v", err)
	}
	return err == nil
}

// home returns the host that is home of a team's limit.
func (f *fleet) home(team string) *host {
	for _, h := range f.hosts {
		for _, e := range h.homeLimits() {
			if e.name == teamPrefix+team {
				return h
			}
		}
	}
	f.t.Fatal("no host is home of the team")
	return nil
}

func runInBubble(t *testing.T, test func(t *testing.T, ctx context.Context)) {
	t.Helper()
	before := invariant.Total()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			synctest.Wait()
		}()
		test(t, ctx)
	})
	if n := invariant.Total() - before; n != 0 {
		t.Errorf("%d invariant violations", n)
	}
}

var oneTeam = config.Team{Name: "qasr", Rate: 10, Burst: 100}

func TestWholeBurstFromAnyHost(t *testing.T) {
	for _, n := range []int{1, 3, 8} {
		for at := range n {
			runInBubble(t, func(t *testing.T, ctx context.Context) {
				f := newFleet(ctx, t, n, oneTeam)
				if !f.reserve(f.hosts[at], "qasr", 100) {
					t.Fatalf("host %d of %d could not reserve the whole burst", at, n)
				}
				_, err := f.hosts[at].Reserve(ctx, f.config.team("qasr"), 50)
				var refused *refusal.Error
				if !errors.As(err, &refused) || refused.Code != refusal.CodeRateLimited {
					t.Fatalf("got %v, want a refusal with the code for the rate", err)
				}
				if refused.RetryAfter < 4*time.Second || refused.RetryAfter > 6*time.Second {
					t.Fatalf("retry after %v, want about 5s, in which 50 tokens accrue", refused.RetryAfter)
				}
			})
		}
	}
}

// TestFaults runs a fleet under the faults that concern this package. The randomised test of
// package quota covers combinations of faults.
func TestFaults(t *testing.T) {
	for name, run := range map[string]func(t *testing.T, f *fleet){
		"api down": func(t *testing.T, f *fleet) {
			f.store.SetFaults(objectapi.Faults{Down: true})
			time.Sleep(time.Minute)
			if !f.reserve(f.hosts[0], "qasr", 60) || !f.reserve(f.hosts[1], "qasr", 40) {
				t.Fatal("refused while the API is down")
			}
			f.config.set(oneTeam, config.Team{Name: "new", Rate: 1, Burst: 1})
			if f.reserve(f.hosts[0], "new", 1) {
				t.Fatal("a new team was admitted while the API is down")
			}
		},
		"home dies": func(t *testing.T, f *fleet) {
			h := f.home("qasr")
			f.crash(h)
			other := f.hosts[0]
			if other == h {
				other = f.hosts[1]
			}
			time.Sleep(10 * time.Second)
			if f.reserve(other, "qasr", 1) {
				t.Fatal("the share of a host that is still listed was spent")
			}
			for i := range f.hosts {
				if f.hosts[i] == h {
					f.unlistHost(i)
				}
			}
			time.Sleep(3 * time.Second)
			if f.reserve(other, "qasr", 60) {
				t.Fatal("the new home started with tokens")
			}
			time.Sleep(10 * time.Second)
			if !f.reserve(other, "qasr", 90) {
				t.Fatal("refused after the takeover")
			}
		},
		"home restarts": func(t *testing.T, f *fleet) {
			h := f.home("qasr")
			f.crash(h)
			for i := range f.hosts {
				if f.hosts[i] == h {
					f.hosts[i] = f.start(i, "2")
				}
			}
			time.Sleep(2 * time.Second)
			if f.reserve(f.home("qasr"), "qasr", 50) {
				t.Fatal("a restarted home started with tokens")
			}
		},
		"home drains": func(t *testing.T, f *fleet) {
			h := f.home("qasr")
			for _, other := range f.hosts {
				f.reserve(other, "qasr", 10)
			}
			if err := h.Drain(f.ctx); err != nil {
				t.Fatal(err)
			}
			f.crash(h)
			for _, other := range f.hosts {
				if other != h && !f.reserve(other, "qasr", 35) {
					t.Fatal("tokens lost in a planned stop")
				}
			}
		},
		"answers lost": func(t *testing.T, f *fleet) {
			f.net.SetFaults(peertest.Faults{LoseReply: 0.3, Duplicate: 0.3, MaxDelay: 20 * time.Millisecond})
			start := time.Now()
			var granted float64
			for range 400 {
				for _, h := range f.hosts {
					if f.reserve(h, "qasr", 3) {
						granted += 3
					}
				}
			}
			if most := 100 + 10*time.Since(start).Seconds(); granted > most || granted < most/2 {
				t.Fatalf("granted %v tokens, want at most %v and at least half of that", granted, most)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, ctx context.Context) {
				f := newFleet(ctx, t, 3, oneTeam)
				time.Sleep(2 * time.Second)
				run(t, f)
			})
		})
	}
}

func TestPermits(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context) {
		f := newFleet(ctx, t, 3)
		var mu sync.Mutex
		var running, most int
		var group sync.WaitGroup
		for i := range 30 {
			group.Go(func() {
				release, err := f.hosts[i%3].Permits("loads").Acquire(ctx, 1)
				if err != nil {
					t.Error(err)
					return
				}
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				time.Sleep(time.Second)
				mu.Lock()
				running--
				mu.Unlock()
				release()
				release()
			})
		}
		start := time.Now()
		group.Wait()
		if most != 4 {
			t.Errorf("%d permits held at once, want 4", most)
		}
		if took := time.Since(start); took > 12*time.Second {
			t.Errorf("30 loads of 1s, 4 at once, took %v, want at most 12s", took)
		}
	})
}

func BenchmarkReserveLocal(b *testing.B) {
	f := newFleet(b.Context(), b, 1, manyTeams(1000)...)
	h := f.hosts[0]
	teams := make([]*config.Team, 1000)
	for i := range teams {
		teams[i] = f.config.team(fmt.Sprint("team-", i))
		f.reserve(h, teams[i].Name, 1)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r, err := h.Reserve(b.Context(), teams[i%len(teams)], 10)
		if err != nil {
			b.Fatal(err)
		}
		r.Settle(10)
		i++
	}
}

// BenchmarkSweep measures the work per second on a host that is home of 1,000 idle teams.
func BenchmarkSweep(b *testing.B) {
	f := newFleet(b.Context(), b, 1, manyTeams(1000)...)
	f.reserve(f.hosts[0], "team-0", 1)
	for b.Loop() {
		f.hosts[0].sweep()
		f.hosts[0].reconciler.removeUnlistedBorrowers()
		f.hosts[0].reconciler.hasWork(f.hosts[0].reconciler.snapshot())
	}
}

func manyTeams(n int) []config.Team {
	teams := make([]config.Team, n)
	for i := range teams {
		teams[i] = config.Team{Name: fmt.Sprint("team-", i), Rate: 1e9, Burst: 1e9}
	}
	return teams
}

// BenchmarkMemoryPerTeam measures the heap that each additional team takes on a host.
func BenchmarkMemoryPerTeam(b *testing.B) {
	var perTeam float64
	for b.Loop() {
		perTeam = float64(heapWith(b, 9000)-heapWith(b, 1000)) / 8000
	}
	b.ReportMetric(perTeam, "B/team")
	b.ReportMetric(0, "ns/op")
}

func heapWith(b *testing.B, teams int) int64 {
	before := heap()
	f := newFleet(b.Context(), b, 1, manyTeams(teams)...)
	f.reserve(f.hosts[0], "team-0", 1)
	grown := heap() - before
	f.hosts[0].stop()
	runtime.KeepAlive(f)
	return grown
}

func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
