package enginereports

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/target"
)

type staticConfig struct{ s *config.Snapshot }

func (f staticConfig) Snapshot() *config.Snapshot { return f.s }

// fakeEngines answers for all engines and counts the polls of each.
type fakeEngines struct {
	mu    sync.Mutex
	polls map[string]int
	load  int
	start time.Time
}

func (f *fakeEngines) Order(context.Context, string, target.Order) error { return nil }

func (f *fakeEngines) Report(_ context.Context, address string) (target.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls[address]++
	return target.Report{
		Sequence:    uint64(time.Since(f.start)/time.Millisecond) + 1,
		Incarnation: "i1",
		Running:     f.load,
		Age:         100 * time.Millisecond,
		Replicas:    []target.ReplicaReport{{Model: "m", State: target.ReplicaReady}},
		Cached:      map[string]target.CacheTier{"m": target.CacheDisk},
	}, nil
}

func (f *fakeEngines) CacheEvents(_ context.Context, _ string, after uint64) ([]target.CacheEvent, error) {
	return []target.CacheEvent{{Sequence: after + 1, Model: "m", Prefix: 7, Stored: true}}, nil
}

func fleetSnapshot(engines, pools int) *config.Snapshot {
	e := config.Entities{}
	for i := range engines {
		name := fmt.Sprintf("e%04d", i)
		e.Targets = append(e.Targets, config.Target{
			Name: name, Address: name, Kind: config.TargetEngine, Zone: "z", RequestSlots: 8, Pool: fmt.Sprintf("p%02d", i%pools),
		})
	}
	return config.NewSnapshot(platform.Version(1), e)
}

func startHosts(t *testing.T, ctx context.Context, net *peertest.Network, hosts int, snap *config.Snapshot, ctl target.Controller) ([]*Cache, []*peertest.Host) {
	t.Helper()
	var caches []*Cache
	var members []*peertest.Host
	for i := range hosts {
		members = append(members, net.Add(peer.Member{ID: peer.ID{Name: fmt.Sprintf("h%d", i), Incarnation: "1"}}))
	}
	for _, h := range members {
		c, err := New(Options{Members: h, Caller: h, Registrar: h, Controller: ctl, Config: staticConfig{snap}})
		if err != nil {
			t.Fatal(err)
		}
		caches = append(caches, c)
		go func() { _ = c.Run(ctx) }() // ends with ctx, returns nil
	}
	return caches, members
}

func TestHostsFollowAllEnginesWithOnePollPerEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		eng := &fakeEngines{polls: map[string]int{}, load: 3, start: time.Now()}
		net := peertest.New(1)
		caches, members := startHosts(t, ctx, net, 4, fleetSnapshot(20, 2), eng)
		var events atomic.Int64
		caches[0].HandleCacheEvents(func(_ string, ev []target.CacheEvent) { events.Add(int64(len(ev))) })
		time.Sleep(10 * time.Second)
		for i, c := range caches {
			for e := range 20 {
				name := fmt.Sprintf("e%04d", e)
				r, age, ok := c.Latest(name)
				if !ok || age > 100*time.Millisecond+2*DefaultInterval || r.Running != 3 || len(r.Replicas) != 1 {
					t.Fatalf("host %d, engine %s: %+v age %v ok %v", i, name, r, age, ok)
				}
			}
		}
		// Hosts may poll engines directly until the owners have answered for the first time.
		eng.mu.Lock()
		n := total(eng.polls)
		eng.mu.Unlock()
		if most := 20 * (20 + 1 + 4*staleCycles); n > most {
			t.Fatalf("%d polls of 20 engines in 20 intervals, want at most %d", n, most)
		}
		if events.Load() == 0 {
			t.Fatal("no cache events")
		}
		// If an owner stops answering without leaving, hosts poll its engines directly.
		for _, m := range members[1:] {
			net.SetBlocked("h0", m.Self().ID.Name, true)
		}
		time.Sleep(10 * time.Second)
		for e := range 20 {
			if _, age, _ := caches[0].Latest(fmt.Sprintf("e%04d", e)); age > (staleCycles+3)*DefaultInterval {
				t.Fatalf("engine %d: report of age %v although its owner does not answer", e, age)
			}
		}
		cancel()
		synctest.Wait()
	})
}

func total(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

func TestOlderReportNeverReplacesNewer(t *testing.T) {
	s := newStore()
	base := time.Now()
	s.put("e", target.Report{Sequence: 5, Incarnation: "a"}, base)
	sub := s.subscribe()
	if got := sub.Take(); len(got) != 1 {
		t.Fatalf("subscription starts with changes of %v, want one engine", got)
	}
	for _, old := range []struct {
		r  target.Report
		at time.Duration
	}{
		{target.Report{Sequence: 4, Incarnation: "a"}, time.Second}, // delayed report
		{target.Report{Sequence: 9, Incarnation: "z"}, -time.Second},
		{target.Report{Sequence: 5, Incarnation: "a"}, -time.Second},
	} {
		s.put("e", old.r, base.Add(old.at))
		if e, _ := s.get("e"); e.report.Sequence != 5 || !e.at.Equal(base) {
			t.Fatalf("%+v replaced the newer report", old)
		}
	}
	s.put("e", target.Report{Sequence: 1, Incarnation: "b"}, base.Add(time.Second))
	if got := sub.Take(); len(got) != 1 {
		t.Fatalf("changes after a restart of the engine: %v, want one engine", got)
	}
}

// TestFleetSizePlan checks the plan for 1,200 hosts and 4,900 engines: how many
// engines a host polls and follows, how many owners it asks, and that the engines
// are followed evenly.
func TestFleetSizePlan(t *testing.T) {
	snap := fleetSnapshot(4900, 20)
	var members []peer.Member
	for i := range 1200 {
		members = append(members, peer.Member{ID: peer.ID{Name: fmt.Sprintf("host-%04d", i)}, State: peer.StateAlive})
	}
	followers := map[string]int{}
	const sampled = 8
	var polls, asks int
	for i := range sampled {
		p := newPlanner(members[i*150].ID.Name, DefaultSubsetSize)
		a := p.assign(snap, members, nil, nil)
		if len(a.poll) > 40 || len(a.ask) > 40 || len(p.ownSubset) > DefaultSubsetSize+20*2*meanBucketSize {
			t.Fatalf("host polls %d engines, asks %d owners, follows %d engines", len(a.poll), len(a.ask), len(p.ownSubset))
		}
		polls += len(a.poll)
		asks += len(a.ask)
		for name := range p.ownSubset {
			followers[name]++
		}
	}
	t.Logf("mean per host: %.1f engines polled, %.1f owners asked, %.1f engines followed", float64(polls)/sampled,
		float64(asks)/sampled, float64(total(followers))/sampled)
	most := 0
	for _, n := range followers {
		most = max(most, n)
	}
	if most > 10 { // mean below 1
		t.Fatalf("one engine is followed by %d of %d hosts", most, sampled)
	}
}

func BenchmarkPlanFleet(b *testing.B) {
	snap := fleetSnapshot(4900, 20)
	var members []peer.Member
	for i := range 1200 {
		members = append(members, peer.Member{ID: peer.ID{Name: fmt.Sprintf("host-%04d", i)}, State: peer.StateAlive})
	}
	for b.Loop() {
		newPlanner("host-0000", DefaultSubsetSize).assign(snap, members, nil, nil)
	}
}
