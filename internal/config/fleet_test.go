package config

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

// fleet is a few hosts with their stores, on a peer network and one object API.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	api     *objectapi.Store
	net     *peertest.Network
	members fixedMembers
	hosts   []*testHost
	calls   atomic.Int64
	bytes   atomic.Int64
}

// countingCaller counts calls between hosts and the bytes of their JSON.
type countingCaller struct {
	*peertest.Host
	fleet *fleet
}

func (c *countingCaller) Call(ctx context.Context, host, method string, params, result any) error {
	err := c.Host.Call(ctx, host, method, params, result)
	c.fleet.calls.Add(1)
	for _, v := range []any{params, result} {
		data, _ := json.Marshal(v)
		c.fleet.bytes.Add(int64(len(data)))
	}
	return err
}

type testHost struct {
	*Store
	name   string
	peers  *peertest.Host
	faults objectapi.Faults
	mu     sync.Mutex
	dead   bool // the open watch delivers nothing more; new ones work
	opened int
	stop   context.CancelFunc
	self   peer.Member
}

// fixedMembers lists hosts whether they are up or not, as the platform's list
// does.
type fixedMembers struct {
	mu   sync.Mutex
	list []peer.Member
	cut  map[string]bool // hosts cut off together
}

type memberView struct {
	fleet *fleet
	self  peer.Member
}

func (v memberView) Self() peer.Member { return v.self }

// Members returns all hosts; those beyond a cut are suspects.
func (v memberView) Members() []peer.Member {
	m := &v.fleet.members
	m.mu.Lock()
	defer m.mu.Unlock()
	list := slices.Clone(m.list)
	for i := range list {
		if m.cut[list[i].ID.Name] != m.cut[v.self.ID.Name] {
			list[i].State = peer.StateSuspect
		}
	}
	return list
}

func newFleet(t *testing.T, ctx context.Context, n int, seed uint64) *fleet {
	return newZones(t, ctx, n, 3, seed)
}

func newZones(t *testing.T, ctx context.Context, n, zones int, seed uint64) *fleet {
	f := &fleet{t: t, ctx: ctx, api: objectapi.NewStore(), net: peertest.New(seed)}
	for i := range n {
		m := peer.Member{ID: peer.ID{Name: fmt.Sprintf("host-%d", i), Incarnation: "1"}, Zone: fmt.Sprintf("zone-%d", i%zones), State: peer.StateAlive}
		f.members.list = append(f.members.list, m)
	}
	go f.bookmarks()
	for i := range n {
		f.hosts = append(f.hosts, f.start(i, seed))
	}
	return f
}

func (f *fleet) bookmarks() {
	for f.ctx.Err() == nil {
		time.Sleep(time.Second)
		f.api.Bookmark()
	}
}

func (f *fleet) start(i int, seed uint64) *testHost {
	m := f.members.list[i]
	h := &testHost{name: m.ID.Name, self: m, peers: f.net.Add(m)}
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s, err := NewStore(StoreOptions{
		API: &hostAPI{View: f.api.View(h.view), host: h}, Members: memberView{fleet: f, self: m},
		Caller: &countingCaller{Host: h.peers, fleet: f}, Registrar: h.peers, Log: log, Metrics: tally.NoopScope, Seed: seed,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	h.Store = s
	ctx, cancel := context.WithCancel(f.ctx)
	h.stop = cancel
	go func() { _ = s.Run(ctx) }()
	return h
}

// restart replaces a host by a new run that knows nothing.
func (f *fleet) restart(i int, seed uint64) {
	f.hosts[i].stop()
	f.members.mu.Lock()
	f.members.list[i].ID.Incarnation += "+"
	f.members.mu.Unlock()
	f.hosts[i] = f.start(i, seed)
}

func (h *testHost) view() objectapi.Faults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

func (h *testHost) setFaults(f objectapi.Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = f
}

// hostAPI is the API as one host reaches it. Its open watch can go silent for
// good while new ones work.
type hostAPI struct {
	*objectapi.View
	host *testHost
}

func (a *hostAPI) Watch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Watch, error) {
	w, err := a.View.Watch(ctx, kind, after)
	if err != nil {
		return nil, err
	}
	a.host.mu.Lock()
	defer a.host.mu.Unlock()
	a.host.dead = false
	a.host.opened++
	d := &dyingWatch{Watch: w, host: a.host, opened: a.host.opened, events: make(chan platform.Event), done: make(chan struct{})}
	go d.run()
	return d, nil
}

type dyingWatch struct {
	platform.Watch
	host   *testHost
	opened int
	events chan platform.Event
	done   chan struct{}
	once   sync.Once
	broken bool // a connection that lost something delivers nothing more
}

func (d *dyingWatch) Events() <-chan platform.Event { return d.events }

func (d *dyingWatch) Stop() {
	d.once.Do(func() { close(d.done) })
	d.Watch.Stop()
}

func (d *dyingWatch) run() {
	defer close(d.events)
	for e := range d.Watch.Events() {
		if d.silent() {
			continue
		}
		select {
		case d.events <- e:
		case <-d.done:
			return
		}
	}
	if d.silent() {
		<-d.done
	}
}

// silent reports whether this connection is dead, or cut off with its host.
func (d *dyingWatch) silent() bool {
	d.host.mu.Lock()
	defer d.host.mu.Unlock()
	d.broken = d.broken || d.host.faults.Down || d.host.dead && d.opened == d.host.opened
	return d.broken
}

func (h *testHost) killWatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead = true
}

// put stores an instance through the API itself, as an operator's host does.
func (f *fleet) put(name string, inst Instance) platform.Version {
	data, err := json.Marshal(inst)
	if err != nil {
		f.t.Fatal(err)
	}
	old, _ := f.api.Get(context.Background(), platform.KindInstances, name)
	obj, err := f.api.Put(context.Background(), platform.Object{Kind: platform.KindInstances, Name: name, Version: old.Version, Data: data})
	if err != nil {
		f.t.Fatal(err)
	}
	return obj.Version
}

// putTeam stores a team and a key of it.
func (f *fleet) putTeam(name string, rate int) {
	f.put(name, teamInstance(name, rate))
	key := keyInstance(HashKey(name))
	key.Params["team"] = json.RawMessage(`"` + name + `"`)
	f.put("key."+name, key)
}

// withdraw marks an instance as withdrawn, or removes the object.
func (f *fleet) withdraw(name string, mark bool) {
	if mark {
		f.put(name, Instance{Withdrawn: true})
		return
	}
	obj, err := f.api.Get(context.Background(), platform.KindInstances, name)
	if err == nil {
		err = f.api.Delete(context.Background(), platform.KindInstances, name, obj.Version)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

func teamInstance(name string, rate int) Instance {
	return Instance{Template: "team", Params: map[string]json.RawMessage{
		"name": json.RawMessage(`"` + name + `"`), "rate": json.RawMessage(fmt.Sprint(rate)), "burst": json.RawMessage("100"),
	}}
}

// inForceWithin is the stated bound for connected hosts.
const inForceWithin = 3 * time.Second

// testContext returns a context and what ends it and lets all goroutines of the
// bubble run out.
func testContext(t *testing.T) (context.Context, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	return ctx, func() {
		cancel()
		time.Sleep(2 * listTimeout)
	}
}

// fatalOnViolation makes invariants fatal in this package's tests.
func init() {
	invariant.OnViolation(func(v invariant.Violation) { panic(v.Error()) })
}
