package queue

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/routing"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
)

type staticConfig struct{ s *config.Snapshot }

func (f staticConfig) Snapshot() *config.Snapshot { return f.s }

// cluster is several hosts with queues on an in-memory network.
type cluster struct {
	net    *peertest.Network
	hosts  []*peertest.Host
	queues []*Queue
	quotas []*quotaRecorder
}

// quotaRecorder records the slots that were reserved for a host.
type quotaRecorder struct {
	mu  sync.Mutex
	own int
}

func (s *quotaRecorder) Inflight(string) int { return 0 }

func (s *quotaRecorder) SetQuotas(_ string, quotas []routing.Quota, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = 0
	for _, q := range quotas {
		s.own += q.Own
	}
}

// startCluster runs several hosts with one pool of the given number of slots.
// The pool also has a leaving target, whose slots must not be used.
func startCluster(t *testing.T, ctx context.Context, hosts, slots int) *cluster {
	t.Helper()
	snap := config.NewSnapshot(platform.Version(1), config.Entities{Targets: []config.Target{
		{Name: "s1", Kind: config.TargetService, Pool: "svc", RequestSlots: slots},
		{Name: "s2", Kind: config.TargetService, Pool: "svc", RequestSlots: 100, Leaving: true},
	}})
	c := &cluster{net: peertest.New(1)}
	for i := range hosts {
		c.hosts = append(c.hosts, c.net.Add(peer.Member{ID: peer.ID{Name: fmt.Sprintf("h%d", i), Incarnation: "1"}}))
	}
	for _, h := range c.hosts {
		recorder := &quotaRecorder{}
		c.quotas = append(c.quotas, recorder)
		q, err := New(Options{Members: h, Caller: h, Registrar: h, Config: staticConfig{snap}, Router: recorder})
		if err != nil {
			t.Fatal(err)
		}
		c.queues = append(c.queues, q)
		go func() { _ = q.Run(ctx) }() // ends with ctx, returns nil
	}
	return c
}

func ticket(id int, team string) serve.QueueRequest {
	return serve.QueueRequest{ID: fmt.Sprint(id), Team: team, Weight: 1, Pool: "svc", Tokens: 10}
}

// startRequests starts n concurrent requests of a team. Each holds its slot for
// the duration hold and then counts as served.
func (q *Queue) startRequests(ctx context.Context, team string, n int, hold, deadline time.Duration, served, refused *atomic.Int64) {
	for i := range n {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, deadline)
			defer cancel()
			release, err := q.Acquire(ctx, ticket(i, team))
			if err != nil {
				refused.Add(1)
				return
			}
			time.Sleep(hold)
			release()
			release() // a second call has no effect
			served.Add(1)
		}()
	}
}

func TestOneHostMayUseTheWholePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startCluster(t, ctx, 4, 16)
		var served, refused atomic.Int64
		start := time.Now()
		// With the local share of 4 slots alone, 64 requests of a second would take 16 s.
		c.queues[1].startRequests(ctx, "a", 64, time.Second, time.Minute, &served, &refused)
		synctest.Wait()
		if err := c.queues[1].Drain(ctx); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); served.Load() != 64 || took > 6*time.Second {
			t.Fatalf("%d requests served in %v, want 64 in little more than 4 s", served.Load(), took)
		}
		cancel()
		time.Sleep(2 * time.Second) // the last requests hold their slots for a second
		synctest.Wait()
	})
}

func TestLostCoordinatorLeavesLocalShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startCluster(t, ctx, 4, 16)
		for i := range c.hosts {
			for j := range i {
				c.net.SetBlocked(fmt.Sprintf("h%d", i), fmt.Sprintf("h%d", j), true)
			}
		}
		var served, refused atomic.Int64
		for _, q := range c.queues {
			q.startRequests(ctx, "a", 20, time.Second, 4500*time.Millisecond, &served, &refused)
		}
		time.Sleep(10 * time.Second)
		// The local share of 4 slots per host serves 4 requests per second.
		// Requests that were not dispatched by their deadlines are refused.
		if s, r := served.Load(), refused.Load(); s+r != 80 || s < 64 {
			t.Fatalf("%d requests served, %d refused; want 80 in all and at least 64 served", s, r)
		}
		cancel()
		time.Sleep(2 * time.Second) // the last requests hold their slots for a second
		synctest.Wait()
	})
}

func TestRefusalsAreInTimeAndNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := invariant.Total()
		ctx, cancel := context.WithCancel(t.Context())
		c := startCluster(t, ctx, 1, 1)
		q := c.queues[0]
		release, err := q.Acquire(ctx, ticket(0, "a"))
		if err != nil {
			t.Fatal(err)
		}
		waitCtx, waitCancel := context.WithTimeout(ctx, 3*time.Second)
		start := time.Now()
		_, err = q.Acquire(waitCtx, ticket(1, "a"))
		waitCancel()
		checkRefusal(t, err, refusal.CodeDeadline)
		if waited := time.Since(start); waited > 3*time.Second {
			t.Fatalf("refused after %v", waited)
		}
		callerCtx, cancelCall := context.WithCancel(ctx)
		time.AfterFunc(time.Second, cancelCall)
		_, err = q.Acquire(callerCtx, ticket(2, "b"))
		checkRefusal(t, err, refusal.CodeCanceled)
		release()
		if release, err = q.Acquire(ctx, ticket(3, "a")); err != nil {
			t.Fatalf("slot not free after release: %v", err)
		}
		release()
		if n := invariant.Total() - before; n != 0 {
			t.Fatalf("%d invariant violations", n)
		}
		cancel()
		time.Sleep(2 * time.Second) // the last requests hold their slots for a second
		synctest.Wait()
	})
}

func checkRefusal(t *testing.T, err error, code refusal.Code) {
	t.Helper()
	var r *refusal.Error
	if !errors.As(err, &r) || r.Code != code || r.Execution != refusal.NotRun {
		t.Fatalf("got %v, want a refusal with code %s", err, code)
	}
	if code == refusal.CodeDeadline && r.RetryAfter <= 0 {
		t.Fatal("refusal has no retry time")
	}
}

// TestSmallTeamGetsHalfBesideLargeTeam checks that a small team on one host gets
// half of the slots although a large team fills the pool through four hosts and
// messages between the hosts are lost, duplicated and delayed.
func TestSmallTeamGetsHalfBesideLargeTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startCluster(t, ctx, 4, 16)
		c.net.SetFaults(peertest.Faults{LoseCall: 0.02, LoseReply: 0.02, Duplicate: 0.05, MaxDelay: 4 * time.Millisecond})
		var large, largeRefused, small, smallRefused atomic.Int64
		for _, q := range c.queues {
			q.startRequests(ctx, "large", 200, time.Second, 12*time.Second, &large, &largeRefused)
		}
		time.Sleep(2 * time.Second)
		own := 0
		for _, s := range c.quotas {
			s.mu.Lock()
			own += s.own
			s.mu.Unlock()
		}
		if own < 12 || own > 16 {
			t.Errorf("%d of 16 slots reserved for hosts, want 12 to 16", own)
		}
		c.queues[2].startRequests(ctx, "small", 40, time.Second, 12*time.Second, &small, &smallRefused)
		// Half of 16 slots serve 40 requests of a second in 5 s.
		time.Sleep(8 * time.Second)
		if small.Load() < 36 {
			t.Errorf("small team: %d of 40 served in 8 s beside %d of the large team", small.Load(), large.Load())
		}
		if total := small.Load() + large.Load(); total < 16*8 {
			t.Errorf("%d requests served in 10 s by 16 slots", total)
		}
		cancel()
		time.Sleep(2 * time.Second) // the last requests hold their slots for a second
		synctest.Wait()
	})
}
