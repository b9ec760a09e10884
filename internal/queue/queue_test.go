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

type fixed struct{ s *config.Snapshot }

func (f fixed) Snapshot() *config.Snapshot { return f.s }

// cluster is several hosts with queues on an in-memory network.
type cluster struct {
	net    *peertest.Net
	hosts  []*peertest.Host
	queues []*Queue
	slots  []*slotRecorder
}

// slotRecorder keeps the slots that were set aside for a host.
type slotRecorder struct {
	mu  sync.Mutex
	own int
}

func (s *slotRecorder) Inflight(string) int { return 0 }

func (s *slotRecorder) SetQuotas(_ string, quotas []routing.Quota, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.own = 0
	for _, q := range quotas {
		s.own += q.Own
	}
}

// startCluster runs hosts before one pool of slots in all; the leaving target
// counts for nothing.
func startCluster(t *testing.T, ctx context.Context, hosts, slots int) *cluster {
	t.Helper()
	snap := config.NewSnapshot(platform.Version(1), config.Entities{Targets: []config.Target{
		{Name: "s1", Kind: config.TargetService, Pool: "svc", Slots: slots},
		{Name: "s2", Kind: config.TargetService, Pool: "svc", Slots: 100, Leaving: true},
	}})
	c := &cluster{net: peertest.New(1)}
	for i := range hosts {
		c.hosts = append(c.hosts, c.net.Add(peer.Member{ID: peer.ID{Name: fmt.Sprintf("h%d", i), Incarnation: "1"}}))
	}
	for _, h := range c.hosts {
		slots := &slotRecorder{}
		c.slots = append(c.slots, slots)
		q, err := New(Options{Members: h, Caller: h, Registrar: h, Config: fixed{snap}, Router: slots})
		if err != nil {
			t.Fatal(err)
		}
		c.queues = append(c.queues, q)
		go func() { _ = q.Run(ctx) }() // ends with ctx, returns nil
	}
	return c
}

func ticket(id int, team string) serve.Ticket {
	return serve.Ticket{ID: fmt.Sprint(id), Team: team, Weight: 1, Pool: "svc", Tokens: 10}
}

// load runs n requests of a team at once, each holding its slot for a time.
func (q *Queue) load(ctx context.Context, team string, n int, hold, deadline time.Duration, served, refused *atomic.Int64) {
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
		// Local share alone is 4 slots: 64 requests of a second would take 16 s.
		c.queues[1].load(ctx, "a", 64, time.Second, time.Minute, &served, &refused)
		synctest.Wait()
		if err := c.queues[1].Drain(ctx); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(start); served.Load() != 64 || took > 6*time.Second {
			t.Fatalf("%d served in %v, want 64 in little more than 4 s", served.Load(), took)
		}
		cancel()
		time.Sleep(2 * time.Second) // the last slots are held for a second
		synctest.Wait()
	})
}

func TestLostCoordinatorLeavesLocalShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startCluster(t, ctx, 4, 16)
		for i := range c.hosts {
			for j := range i {
				c.net.Cut(fmt.Sprintf("h%d", i), fmt.Sprintf("h%d", j), true)
			}
		}
		var served, refused atomic.Int64
		for _, q := range c.queues {
			q.load(ctx, "a", 20, time.Second, 4500*time.Millisecond, &served, &refused)
		}
		time.Sleep(10 * time.Second)
		// 4 slots a host serve 4 a second; a request that had no turn by its
		// deadline was refused.
		if s, r := served.Load(), refused.Load(); s+r != 80 || s < 64 {
			t.Fatalf("%d served, %d refused", s, r)
		}
		cancel()
		time.Sleep(2 * time.Second) // the last slots are held for a second
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
		gone, leave := context.WithCancel(ctx)
		time.AfterFunc(time.Second, leave)
		_, err = q.Acquire(gone, ticket(2, "b"))
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
		time.Sleep(2 * time.Second) // the last slots are held for a second
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
		t.Fatal("no time to retry")
	}
}

// TestSmallTeamOverTheShell has a large team fill the pool through four hosts;
// a small team behind one of them gets its half.
func TestSmallTeamOverTheShell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startCluster(t, ctx, 4, 16)
		c.net.SetFaults(peertest.Faults{LoseCall: 0.02, LoseAnswer: 0.02, Duplicate: 0.05, MaxDelay: 4 * time.Millisecond})
		var large, largeRefused, small, smallRefused atomic.Int64
		for _, q := range c.queues {
			q.load(ctx, "large", 200, time.Second, 12*time.Second, &large, &largeRefused)
		}
		time.Sleep(2 * time.Second)
		own := 0
		for _, s := range c.slots {
			s.mu.Lock()
			own += s.own
			s.mu.Unlock()
		}
		if own < 12 || own > 16 {
			t.Errorf("%d of 16 slots set aside for hosts", own)
		}
		c.queues[2].load(ctx, "small", 40, time.Second, 12*time.Second, &small, &smallRefused)
		// Half of 16 slots serve 40 requests of a second in 5 s.
		time.Sleep(8 * time.Second)
		if small.Load() < 36 {
			t.Errorf("small team: %d of 40 served in 8 s beside %d of the large team", small.Load(), large.Load())
		}
		if total := small.Load() + large.Load(); total < 16*8 {
			t.Errorf("%d requests served in 10 s by 16 slots", total)
		}
		cancel()
		time.Sleep(2 * time.Second) // the last slots are held for a second
		synctest.Wait()
	})
}
