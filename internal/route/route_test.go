package route

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/reports"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/target"
)

type source struct {
	s atomic.Pointer[config.Snapshot]
}

func (c *source) Snapshot() *config.Snapshot { return c.s.Load() }

// engines is a controller whose engines have the models that a test sets.
type engines struct {
	mu    sync.Mutex
	ready map[string][]string // by address
	seq   uint64
}

func (e *engines) set(address string, models ...string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ready[address] = models
}

func (e *engines) Order(context.Context, string, target.Order) error { return nil }

func (e *engines) Report(_ context.Context, address string) (target.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	r := target.Report{Sequence: e.seq, Incarnation: "i"}
	for _, m := range e.ready[address] {
		r.Replicas = append(r.Replicas, target.ReplicaReport{Model: m, State: target.ReplicaReady})
	}
	return r, nil
}

func (e *engines) CacheEvents(context.Context, string, uint64) ([]target.CacheEvent, error) {
	return nil, nil
}

// bench is a router with its reports, three engines and one service.
type bench struct {
	*Router
	config  *source
	engines *engines
	log     *bytes.Buffer
}

func (b *bench) configure(leaving ...string) {
	var list []config.Target
	for i := range 3 {
		name := fmt.Sprintf("e%d", i)
		list = append(list, config.Target{Name: name, Address: name, Kind: config.TargetEngine, Pool: "p", Zone: "z", RequestSlots: 4, Leaving: slices.Contains(leaving, name)})
	}
	list = append(list, config.Target{Name: "s0", Kind: config.TargetService, Pool: "svc", Zone: "z", RequestSlots: 4})
	b.config.s.Store(config.NewSnapshot(platform.Version(1), config.Entities{Targets: list}))
}

func start(t *testing.T, ctx context.Context) *bench {
	t.Helper()
	b := &bench{config: &source{}, engines: &engines{ready: map[string][]string{}}, log: &bytes.Buffer{}}
	b.configure()
	log := logrus.New()
	log.SetOutput(b.log)
	log.SetFormatter(&logrus.JSONFormatter{})
	h := peertest.New(1).Add(peer.Member{ID: peer.ID{Name: "h0", Incarnation: "1"}, Zone: "z"})
	cache, err := reports.New(reports.Options{Members: h, Caller: h, Registrar: h, Controller: b.engines, Config: b.config})
	if err != nil {
		t.Fatal(err)
	}
	b.Router, err = New(Options{Members: h, Config: b.config, Reports: cache, Log: log, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = cache.Run(ctx) }()    // ends with ctx, returns nil
	go func() { _ = b.Router.Run(ctx) }() // ends with ctx, returns nil
	return b
}

func query(exclude ...string) serve.RouteQuery {
	q := serve.RouteQuery{RequestID: "r1", Team: "t", Pool: "p", Model: "m", Exclude: map[string]bool{}}
	for _, name := range exclude {
		q.Exclude[name] = true
	}
	return q
}

func TestLeavingTargetGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		before := invariant.Total()
		b := start(t, ctx)
		b.engines.set("e0", "m")
		b.engines.set("e1", "m")
		time.Sleep(2 * time.Second)
		used := b.pickMany(t, 100)
		if used["e0"] == 0 || used["e1"] == 0 || used["e2"] > 0 {
			t.Fatalf("targets used: %v", used)
		}
		b.configure("e0")
		if used := b.pickMany(t, 100); used["e0"] > 0 {
			t.Fatalf("%d requests to a leaving target", used["e0"])
		}
		b.configure("e0", "e1")
		_, err := b.Pick(query())
		var ref *refusal.Error
		if !errors.As(err, &ref) || ref.Code != refusal.CodeNoCapacity || ref.Execution != refusal.NotRun || ref.RetryAfter == 0 {
			t.Fatalf("got %v", err)
		}
		b.configure() // it is back, and what is ready on it is known
		if used := b.pickMany(t, 100); used["e0"] == 0 {
			t.Fatal("returned target is not used")
		}
		if n := invariant.Total() - before; n != 0 {
			t.Fatalf("%d invariant violations", n)
		}
		cancel()
		synctest.Wait()
	})
}

// pickMany routes requests one after the other and counts the targets.
func (b *bench) pickMany(t *testing.T, n int) map[string]int {
	t.Helper()
	used := map[string]int{}
	for range n {
		c, err := b.Pick(query())
		if err != nil {
			t.Fatal(err)
		}
		used[c.Target.Name]++
		if n%2 == 0 {
			time.Sleep(time.Millisecond)
		}
		c.Done(serve.Outcome{OK: true, FirstToken: time.Millisecond})
		c.Done(serve.Outcome{}) // a second call has no effect
	}
	return used
}

func TestModelReadyBeforeAnyReportShowsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := start(t, ctx)
		time.Sleep(2*time.Second + time.Millisecond)
		b.engines.set("e2", "m") // after the last poll
		c, err := b.Pick(query())
		if err != nil || c.Target.Name != "e2" {
			t.Fatalf("%+v, %v", c.Target, err)
		}
		c.Done(serve.Outcome{OK: true})
		if _, err := b.Pick(query("e2")); err == nil {
			t.Fatal("excluded target chosen")
		}
		s, err := b.Pick(serve.RouteQuery{Pool: "svc"})
		if err != nil || s.Target.Name != "s0" {
			t.Fatalf("service: %+v, %v", s.Target, err)
		}
		s.Done(serve.Outcome{OK: true})
		cancel()
		synctest.Wait()
		b.checkLog(t)
	})
}

// checkLog wants one JSON line for each of three decisions, with candidates.
func (b *bench) checkLog(t *testing.T) {
	t.Helper()
	lines := strings.Split(strings.TrimSpace(b.log.String()), "\n")
	if len(lines) != 3 {
		t.Fatalf("%d log lines for 3 decisions:\n%s", len(lines), b.log)
	}
	var first struct {
		Event      string      `json:"event"`
		Request    string      `json:"request"`
		Target     string      `json:"target"`
		Candidates []candidate `json:"candidates"`
	}
	if err := json.Unmarshal([]byte(lines[0]), &first); err != nil {
		t.Fatal(err)
	}
	if first.Event != "route_decision" || first.Request != "r1" || first.Target != "e2" || len(first.Candidates) != 1 || first.Candidates[0].Target != "e2" {
		t.Fatalf("%+v", first)
	}
}
