package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
)

const testKV = 60_000

// memoryHosts are hosts that report to a coordinator over a network in memory. Those named as old are of the earlier version:
// they have no methods for memory, and their messages lack its fields.
type memoryHosts struct {
	net     *peertest.Network
	clients map[string]*Client
	now     func() time.Duration
}

// oldNet hides the methods for memory of a host.
type oldNet struct{ *peertest.Host }

func (o oldNet) Handle(method string, h peer.Handler) {
	if strings.HasPrefix(method, methodMemory) {
		return
	}
	o.Host.Handle(method, func(ctx context.Context, from peer.ID, params json.RawMessage) (any, error) {
		reply, err := h(ctx, from, withoutFields(params, "mr"))
		if update, ok := reply.(Update); ok {
			update.MemoryEpoch, update.LacksCopies = 0, false
			reply = update
		}
		return reply, err
	})
}

func withoutFields(params json.RawMessage, names ...string) json.RawMessage {
	var all map[string]json.RawMessage
	if json.Unmarshal(params, &all) != nil {
		return params
	}
	for _, name := range names {
		delete(all, name)
	}
	out, _ := json.Marshal(all) // of what was just decoded
	return out
}

func newMemoryHosts(t *testing.T, hosts int, old ...string) *memoryHosts {
	began := time.Now()
	m := &memoryHosts{net: peertest.New(1), clients: map[string]*Client{}, now: func() time.Duration { return time.Since(began) + time.Hour }}
	known, targets := map[string]fleet.Host{}, map[string]fleet.Target{}
	for i := range hosts {
		name := fmt.Sprint("h", i)
		known[name] = fleet.Host{Name: name, Incarnation: "1", CreateRevision: uint64(i + 1)}
	}
	for i := range 2 {
		id := fmt.Sprint("e", i)
		targets[id] = fleet.Target{ID: id, Service: "s", Slots: 12, StartedMS: 1, Models: map[string][]string{"m": nil}}
	}
	config := &fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{KVTokens: testKV, Slots: 12, Models: map[string]fleet.Model{"m": {}}}}}}
	var start []func() // once all hosts are on the network
	for name, self := range known {
		view := NewFleetView("z", m.now)
		view.SetHosts(known)
		view.SetConfig(config)
		view.SetTargets(fleet.NewTargets(targets))
		net := m.net.Add(peer.Member{ID: peer.ID{Name: name, Incarnation: "1"}})
		var registrar peer.Registrar = net
		for _, o := range old {
			if o == name {
				registrar = oldNet{net}
			}
		}
		parts := NewPartFailures(name, view.Hosts, m.now, quietLog())
		coord := NewCoordinator(name, view, net, parts, copiesOf(view, m.now), false, m.now, quietLog())
		owner := NewOwner(name, name, NewLease(LeaseOptions{Holder: name, Eras: &platform.Eras{}, Now: m.now, Log: quietLog()}), view, nil, fleet.Bounds{}, m.now, quietLog())
		client := NewClient(ClientOptions{Self: self, FleetView: view, Owner: owner, Coordinator: coord, Calls: net, Parts: parts, LocalUse: func() map[string]float64 { return nil },
			SetRemoteUse: func(uint64, map[string]float64, map[string]float64) {}, Now: m.now, Log: quietLog()})
		coord.Register(registrar)
		client.Register(registrar)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(func() {
			cancel()
			time.Sleep(time.Second) // until the calls in progress have ended
		})
		start = append(start, func() {
			go func() { _ = coord.Run(ctx) }()
			go func() { _ = client.Run(ctx) }()
		})
		m.clients[name] = client
	}
	for _, run := range start {
		run()
	}
	return m
}

func (m *memoryHosts) reserve(host string, tokens int64) MemoryGrant {
	c := m.clients[host]
	choice, ok := c.opts.FleetView.Pick(Requirements{Service: "s", Model: "m", Tokens: tokens})
	if !ok || !choice.NeedsMemory {
		return MemoryGrant{Reason: "not large"}
	}
	return c.RequestMemory(context.Background(), choice, MemoryRequest{ID: fmt.Sprint(host, tokens), Tokens: tokens, Due: m.now() + time.Second, Until: m.now() + 5*time.Second})
}

// reservedAt returns the tokens that a host's ledger has as reserved.
func (m *memoryHosts) reservedAt(host string) (sum int64) {
	c := m.clients[host].opts.Coordinator
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.memory.ledger.All(m.now()) {
		sum += r.Tokens
	}
	return sum
}

// TestMemoryIsReservedAndReleased covers the way of a reservation over the messages: asked, granted, reported, released.
func TestMemoryIsReservedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryHosts(t, 4)
		time.Sleep(4 * time.Second)
		grants := []MemoryGrant{m.reserve("h1", 40_000), m.reserve("h2", 40_000)}
		for _, g := range grants {
			if !g.Granted || g.Seq == 0 {
				t.Errorf("%+v, want a reservation at each of two engines", g)
			}
		}
		if g := m.reserve("h3", 9_000); g.Granted {
			t.Error("memory was granted beside reservations that take it whole")
		}
		m.clients["h1"].opts.FleetView.ReleaseMemory(grants[0].Seq, false)
		time.Sleep(2 * reportInterval)
		if g := m.reserve("h3", 9_000); !g.Granted {
			t.Errorf("memory that was released is not granted: %v", g.Reason)
		}
		m.clients["h2"].opts.FleetView.ReleaseMemory(grants[1].Seq, true)
		time.Sleep(reportInterval)
		if sum := m.reservedAt("h0"); sum != 49_000 {
			t.Errorf("%d tokens reserved, want also those of the request that was broken off just now", sum)
		}
		if m.clients["h0"].opts.FleetView.NeverFits(Requirements{Service: "s", Tokens: testKV*3/4 + 1}) != true {
			t.Error("a request that fits in no engine is not refused")
		}
	})
}

// TestMemoryBesideEarlierVersion covers rolling upgrades: a coordinator of the earlier version, and a new one with earlier hosts.
func TestMemoryBesideEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryHosts(t, 3, "h0")
		time.Sleep(4 * time.Second)
		for range 5 {
			if g := m.reserve("h1", 40_000); !g.Granted || g.Seq != 0 {
				t.Errorf("%+v, want large requests to be sent as before", g)
			}
		}
	})
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryHosts(t, 3, "h1", "h2") // no host can be the witness
		time.Sleep(4 * time.Second)
		if g := m.reserve("h0", 40_000); !g.Granted || g.Seq == 0 {
			t.Errorf("%+v, want a reservation", g)
		}
	})
	var r Report
	if err := json.Unmarshal([]byte(`{"i":"1","f":true,"w":[{"s":"s","m":"m","n":1,"d":5}]}`), &r); err != nil || r.Memory != nil {
		t.Errorf("a report of the earlier version: %v, %+v", err, r.Memory)
	}
	if out, _ := json.Marshal(Report{Incarnation: "1", Memory: testClient("a", fleet.Host{Name: "a"}).memoryReport(nil)}); strings.Contains(string(out), "mr") {
		t.Errorf("a host that reserves nothing reports %s, want the message of the earlier version", out)
	}
}

// TestServicesWithoutMemoryAreServedAsBefore covers services that state no memory or no slots, requests without tokens, and small ones.
func TestServicesWithoutMemoryAreServedAsBefore(t *testing.T) {
	for _, c := range []struct {
		kv     int64
		slots  int
		tokens int64
		needs  bool
	}{{0, 12, 50_000, false}, {testKV, 0, 50_000, false}, {-5, 12, 50_000, false}, {testKV, 12, 0, false}, {testKV, 12, testKV / 48, false}, {testKV, 12, testKV/48 + 1, true}} {
		f := NewFleetView("z", func() time.Duration { return time.Hour })
		f.SetConfig(&fleet.Config{Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{KVTokens: c.kv, Slots: c.slots}}}})
		f.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e": {ID: "e", Service: "s", Models: map[string][]string{"m": nil}}}))
		choice, ok := f.Pick(Requirements{Service: "s", Model: "m", Tokens: c.tokens})
		if !ok || choice.NeedsMemory != c.needs {
			t.Errorf("%+v: chosen %v, needs memory %v", c, ok, choice.NeedsMemory)
		}
	}
}

// TestMemoryOutlastsTheDeadline guards against memory that is granted anew while an engine goes on with a request that was broken off
// at its deadline. That the memory is free a while later is the control.
func TestMemoryOutlastsTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryHosts(t, 3)
		time.Sleep(4 * time.Second)
		g := m.reserve("h1", 40_000)
		time.Sleep(5 * time.Second) // the deadline
		m.clients["h1"].opts.FleetView.ReleaseMemory(g.Seq, true)
		time.Sleep(1500 * time.Millisecond)
		if sum := m.reservedAt("h0"); sum != 40_000 {
			t.Errorf("%d tokens reserved 1.5 s after the deadline, want those of the request that was broken off", sum)
		}
		time.Sleep(time.Second)
		if sum := m.reservedAt("h0"); sum != 0 {
			t.Errorf("%d tokens still reserved", sum)
		}
	})
}

// TestPausedCoordinatorIsAskedOncePerHost guards against a new coordinator that is asked by all requests of all hosts ten times a second until
// it may grant: thousands of calls where memories are small. That requests are granted memory soon after is the control.
func TestPausedCoordinatorIsAskedOncePerHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMemoryHosts(t, 3)
		time.Sleep(600 * time.Millisecond)
		for range 50 {
			if g := m.reserve("h1", 2_000); g.Granted || !g.Paused {
				t.Fatalf("%+v, want a coordinator that does not grant yet", g)
			}
		}
		if r := m.clients["h1"].memoryReport(nil); r == nil || r.Asked != 1 {
			t.Errorf("%+v, want one call", r)
		}
		time.Sleep(3 * time.Second)
		choice, _ := m.clients["h1"].opts.FleetView.Pick(Requirements{Service: "s", Model: "m", Tokens: 2_000})
		if g := m.clients["h1"].RequestMemory(t.Context(), choice, MemoryRequest{Tokens: 2_000, Until: m.now() + 48*time.Hour}); g.Granted || g.Paused {
			t.Errorf("%+v, want a denial that concerns only the request with the invalid deadline", g)
		}
		for i := range 2 {
			if g := m.reserve("h1", 2_000); !g.Granted {
				t.Errorf("request %d is not granted memory: %v", i, g.Reason)
			}
		}
	})
}
