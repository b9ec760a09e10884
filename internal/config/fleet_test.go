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

// fleet is a set of hosts with their stores, connected by a peer network and one object
// API.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	api     *objectapi.Store
	net     *peertest.Network
	members memberList
	hosts   []*testHost
	calls   atomic.Int64
	bytes   atomic.Int64
}

// countingCaller counts the calls between hosts and the size of their JSON in bytes.
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
	name          string
	peers         *peertest.Host
	faults        objectapi.Faults
	mu            sync.Mutex
	watchSilenced bool // the open watch delivers nothing more; a new one works
	watchesOpened int
	stop          context.CancelFunc
	self          peer.Member
}

// memberList lists hosts whether they are up or not, like the platform's list of hosts.
type memberList struct {
	mu     sync.Mutex
	list   []peer.Member
	cutOff map[string]bool // hosts cut off from the others, but not from each other
}

type memberView struct {
	fleet *fleet
	self  peer.Member
}

func (v memberView) Self() peer.Member { return v.self }

// Members returns all hosts. Those that this host is cut off from are suspects.
func (v memberView) Members() []peer.Member {
	m := &v.fleet.members
	m.mu.Lock()
	defer m.mu.Unlock()
	list := slices.Clone(m.list)
	for i := range list {
		if m.cutOff[list[i].ID.Name] != m.cutOff[v.self.ID.Name] {
			list[i].State = peer.StateSuspect
		}
	}
	return list
}

func newFleet(t *testing.T, ctx context.Context, n int, seed uint64) *fleet {
	return newFleetInZones(t, ctx, n, 3, seed)
}

func newFleetInZones(t *testing.T, ctx context.Context, n, zones int, seed uint64) *fleet {
	f := &fleet{t: t, ctx: ctx, api: objectapi.NewStore(), net: peertest.New(seed)}
	for i := range n {
		m := peer.Member{ID: peer.ID{Name: fmt.Sprintf("host-%d", i), Incarnation: "1"}, Zone: fmt.Sprintf("zone-%d", i%zones), State: peer.StateAlive}
		f.members.list = append(f.members.list, m)
	}
	go f.sendBookmarks()
	for i := range n {
		f.hosts = append(f.hosts, f.start(i, seed))
	}
	return f
}

func (f *fleet) sendBookmarks() {
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
		API: &hostAPI{Client: f.api.Client(h.currentFaults), host: h}, Members: memberView{fleet: f, self: m},
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

// restart replaces a host by a new incarnation with an empty store.
func (f *fleet) restart(i int, seed uint64) {
	f.hosts[i].stop()
	f.members.mu.Lock()
	f.members.list[i].ID.Incarnation += "+"
	f.members.mu.Unlock()
	f.hosts[i] = f.start(i, seed)
}

func (h *testHost) currentFaults() objectapi.Faults {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.faults
}

func (h *testHost) setFaults(f objectapi.Faults) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults = f
}

// hostAPI is the object API as one host reaches it. The host's open watch can be
// silenced for good while new watches work.
type hostAPI struct {
	*objectapi.Client
	host *testHost
}

func (a *hostAPI) Watch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Watch, error) {
	w, err := a.Client.Watch(ctx, kind, after)
	if err != nil {
		return nil, err
	}
	a.host.mu.Lock()
	defer a.host.mu.Unlock()
	a.host.watchSilenced = false
	a.host.watchesOpened++
	wrapped := &silenceableWatch{Watch: w, host: a.host, number: a.host.watchesOpened, events: make(chan platform.Event), done: make(chan struct{})}
	go wrapped.run()
	return wrapped, nil
}

type silenceableWatch struct {
	platform.Watch
	host   *testHost
	number int
	events chan platform.Event
	done   chan struct{}
	once   sync.Once
	lost   bool // an event may have been dropped: the connection delivers nothing more
}

func (w *silenceableWatch) Events() <-chan platform.Event { return w.events }

func (w *silenceableWatch) Stop() {
	w.once.Do(func() { close(w.done) })
	w.Watch.Stop()
}

func (w *silenceableWatch) run() {
	defer close(w.events)
	for e := range w.Watch.Events() {
		if w.silent() {
			continue
		}
		select {
		case w.events <- e:
		case <-w.done:
			return
		}
	}
	if w.silent() {
		<-w.done
	}
}

// silent reports whether this watch was silenced, or its host was cut off from the API.
func (w *silenceableWatch) silent() bool {
	w.host.mu.Lock()
	defer w.host.mu.Unlock()
	w.lost = w.lost || w.host.faults.Down || w.host.watchSilenced && w.number == w.host.watchesOpened
	return w.lost
}

func (h *testHost) silenceWatch() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watchSilenced = true
}

// put stores an instance directly in the object API, as the host that serves an operator
// does.
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

// putTeam stores a team and a key for it.
func (f *fleet) putTeam(name string, rate int) {
	f.put(name, teamInstance(name, rate))
	key := keyInstance(HashKey(name))
	key.Params["team"] = json.RawMessage(`"` + name + `"`)
	f.put("key."+name, key)
}

// withdraw marks an instance as withdrawn if mark is set, and otherwise deletes its
// object.
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

// inForceBound is the documented time within which a change is in force on connected
// hosts.
const inForceBound = 3 * time.Second

// testContext returns a context and a function that cancels it and waits until all
// goroutines of the synctest bubble have ended.
func testContext(t *testing.T) (context.Context, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	return ctx, func() {
		cancel()
		time.Sleep(2 * listTimeout)
	}
}

// Invariant violations panic in the tests of this package.
func init() {
	invariant.OnViolation(func(v invariant.Violation) { panic(v.Error()) })
}
