package gateway

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/streamorigin"
	"buckthornseam.dev/seam/internal/targetreach"
)

// Times of a simulated engine.
const (
	engineQueueTime   = 20 * time.Millisecond   // until a request begins to run
	engineEventTime   = 60 * time.Millisecond   // between events
	engineCrashTime   = 80 * time.Millisecond   // from the start of a request that crashes its engine
	engineListedTime  = 1200 * time.Millisecond // until a crashed engine is no longer listed
	engineRestartTime = 3 * time.Second         // until another engine is listed in its place
	engineEvents      = 6                       // of a stream
)

// engineFleet is a fleet of hosts with gateways and of simulated engines, which a part of a prompt may crash.
type engineFleet struct {
	*reportingFleet

	mu       sync.Mutex
	engines  map[string]*simulatedEngine // by address, which is the ID
	listed   map[string]fleet.Target
	views    map[string]*coordinator.FleetView // by host, of its last process
	started  int                               // engines started so far
	crashing map[string]bool
	crashes  []time.Duration            // of engines, under a crashing part
	reached  []time.Duration            // requests with a crashing part that reached an engine, from hosts that started a while ago
	limits   map[string]float64         // that engines name in their responses, by ID
	arrivals map[string][]time.Duration // of requests at engines that have ever named a limit, from hosts that started a while ago
	outcomes []outcome
	// brittle is set while engines have room for slots requests only. From toldTime after brittleSince they fall over when
	// they turn away more than brittleRejections in a second; by the users' rule, from the contact time on.
	brittle      bool
	brittleSince time.Duration
	slots        int   // 0: unlimited
	kv           int64 // tokens of memory; 0: unknown
	mostTokens   int64 // that an engine held at once
	falls        int
	cuts         map[string]cutMode // by host, how it is cut off from all engines
	cutEnds      map[string]chan struct{}
	// crashingFirst has the crashing part stand before the others, and not in place of the second.
	crashingFirst bool
	blamed        int     // failures of engines that hosts reported
	relayed       int     // requests that a host sent through another one
	breakShare    float64 // of the responses that break off while their engine goes on
	cold          coldEngines
	requests      sync.WaitGroup
}

// outcome is how a request ended.
type outcome struct {
	sentAt time.Duration
	host   string
	parts  []string
	began  bool // the caller got the head of a response of an engine
}

// turnBrittle makes all engines brittle.
func (f *engineFleet) turnBrittle() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.brittle, f.brittleSince = true, f.now()
}

// brittleRejections is the number of requests that a brittle engine turns away in a second without falling over.
const brittleRejections = 3

// enter takes a place at an engine of limited room, and reports whether there was one.
func (f *engineFleet) enter(e *simulatedEngine) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.slots == 0 || e.inside < f.slots {
		e.inside++
		return true
	}
	now := f.now()
	e.rejected = append(slices.DeleteFunc(e.rejected, func(at time.Duration) bool { return now-at > time.Second }), now)
	if f.brittle && now >= f.brittleSince+toldTime && len(e.rejected) > brittleRejections && f.engines[e.id] != nil {
		f.falls++
		go f.crash(e.id)
	}
	return false
}

func (f *engineFleet) leaveEngine(e *simulatedEngine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.inside--
}

type simulatedEngine struct {
	id       string
	inside   int             // requests
	tokens   int64           // of these requests
	rejected []time.Duration // requests turned away in the last second
	crashed  chan struct{}
}

func newEngineFleet(t *testing.T, hosts, engines int, seed uint64) *engineFleet {
	return newEngineFleetWithSlots(t, hosts, engines, 0, seed)
}

// newEngineFleetWithSlots starts a fleet whose engines have room for a number of requests; 0: any.
func newEngineFleetWithSlots(t *testing.T, hosts, engines, slots int, seed uint64) *engineFleet {
	return newEngineFleetWithMemory(t, hosts, engines, slots, 0, seed)
}

// newEngineFleetWithMemory starts a fleet whose engines also have memory for a number of tokens; 0: unknown.
func newEngineFleetWithMemory(t *testing.T, hosts, engines, slots int, kv int64, seed uint64) *engineFleet {
	f := &engineFleet{slots: slots, kv: kv, engines: map[string]*simulatedEngine{}, listed: map[string]fleet.Target{}, views: map[string]*coordinator.FleetView{}, crashing: map[string]bool{}, cuts: map[string]cutMode{}, cutEnds: map[string]chan struct{}{}, limits: map[string]float64{}, arrivals: map[string][]time.Duration{}}
	for range engines {
		f.startEngine()
	}
	startReportingFleet(t, hosts, seed, f.addGateway)
	t.Cleanup(f.requests.Wait)
	return f
}

// startEngine starts an engine and lists it. The caller must hold f.mu, or be alone.
func (f *engineFleet) startEngine() {
	f.started++
	id := fmt.Sprint("e", f.started)
	f.engines[id] = &simulatedEngine{id: id, crashed: make(chan struct{})}
	f.listed[id] = fleet.Target{ID: id, Service: "llm", Address: id, Zone: "z", Slots: cmp.Or(f.slots, 64), StartedMS: int64(f.started), Models: map[string][]string{"m": nil}}
}

// list tells all hosts which engines are listed.
func (f *engineFleet) list() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, view := range f.views {
		view.SetTargets(fleet.NewTargets(maps.Clone(f.listed)))
	}
}

// nameLimit has an engine name a limit; 0: it names none any more.
func (f *engineFleet) nameLimit(id string, limit float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limits[id] = limit
}

// setBreakShare sets the share of the responses that break off while their engine goes on.
func (f *engineFleet) setBreakShare(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.breakShare = share
}

// crash ends an engine. Another one is listed later.
func (f *engineFleet) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.engines[id]
	if e == nil {
		return
	}
	delete(f.engines, id)
	close(e.crashed)
	f.requests.Go(func() {
		time.Sleep(engineListedTime)
		f.mu.Lock()
		delete(f.listed, id)
		f.mu.Unlock()
		f.list()
		time.Sleep(engineRestartTime - engineListedTime)
		f.mu.Lock()
		f.startEngine()
		f.mu.Unlock()
		f.list()
	})
}

func (f *engineFleet) addGateway(fleetOfHosts *reportingFleet, h *reportingHost) {
	if f.reportingFleet == nil {
		f.reportingFleet = fleetOfHosts
	}
	route := fleet.Route{Name: "stream", Host: "h", PathPrefix: "/stream/", Kind: fleet.Streaming, Resumable: true, Attempts: 2, Timeout: 5 * time.Second,
		Objective: 400 * time.Millisecond, GapObjective: 400 * time.Millisecond, Destinations: []fleet.Destination{{Service: "llm", Weight: 1}}}
	config := &fleet.Config{Version: 1, Revision: 1, Teams: []fleet.Team{{Name: "t", Keys: []string{"k"}}}, Routes: []fleet.Route{route},
		Services: map[string]fleet.Service{"llm": {Cold: f.cold.limit, Engine: &fleet.EngineSpec{KVTokens: f.kv, Slots: f.slots, Models: map[string]fleet.Model{"m": {StoreLoad: 20 * time.Second}}}}}}
	config.Index()
	h.view.SetConfig(config)
	f.mu.Lock()
	f.views[h.net.Self().ID.Name] = h.view
	h.view.SetTargets(fleet.NewTargets(maps.Clone(f.listed)))
	f.mu.Unlock()
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := f.now
	self := fleetOfHosts.known[h.net.Self().ID.Name]
	h.reach = targetreach.New(targetreach.Options{
		Addresses: func() []string { return slices.Collect(maps.Keys(h.view.Targets().ByID)) },
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			if err := f.dial(ctx, self.Name, address); err != nil {
				return nil, err
			}
			conn, other := net.Pipe()
			_ = other.Close()
			return conn, nil
		},
		Now: now, Log: log, OnChange: h.view.RequestReport,
	})
	bounds := fleet.Bounds{Revoke: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second, QuotaSlack: 1000}
	origins := streamorigin.New(streamorigin.Options{Self: "h", Hosts: func() []string { return []string{"h"} }, Targets: func() fleet.Dated[*fleet.Targets] {
		return fleet.Dated[*fleet.Targets]{Copy: h.view.Targets(), CurrentAt: now()}
	}, Now: now, Log: log})
	h.gateway = New(Options{
		Codec: testCodec{}, View: h.view, Sender: hostSender{f, h}, Origins: origins, Quotas: h.quotas,
		Budget:         NewRetryBudget(bounds, func() HostCount { return HostCount{All: len(f.known)} }, now),
		EngineFailures: h.client.EngineFailures, Parts: h.parts, RequestPermit: h.client.RequestPermit, RequestSlot: h.client.RequestSlot, RequestMemory: h.client.RequestMemory,
		ReportEngineFailure: func(id string) {
			f.mu.Lock()
			f.blamed++
			f.mu.Unlock()
			h.client.ReportEngineFailure(id)
		},
		Reach: h.reach, Helpers: &HelperHosts{Self: self, View: h.view, Client: h.client, Sender: relaySender{f}}, Self: self.Name,
		CurrentConfig: func() (fleet.Dated[*fleet.Config], bool) {
			return fleet.Dated[*fleet.Config]{Copy: h.view.Config(), CurrentAt: now()}, true
		},
		Now: now, Bounds: bounds, Log: log, Metrics: tally.NoopScope,
	})
}

// send sends a request with the given shared parts to a random host that runs. No two requests are alike.
func (f *engineFleet) send(parts ...string) {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	if h.kill == nil {
		return
	}
	id := fmt.Sprint("r", f.random.Uint64())
	f.requests.Go(func() {
		r := newPost("/stream/"+id, "m", id)
		r.Header.Set("Parts", strings.Join(parts, " "))
		o := outcome{sentAt: f.now(), parts: parts, host: h.net.Self().ID.Name}
		w := serve(h.gateway, r)
		o.began = w.Code == http.StatusOK
		f.mu.Lock()
		f.outcomes = append(f.outcomes, o)
		f.mu.Unlock()
	})
}

// play sends requests for a duration: sound ones, and others that have the part crashing in addition; "": none.
func (f *engineFleet) play(d time.Duration, soundPerSecond, crashingPerSecond float64, crashing string) {
	const step = 10 * time.Millisecond
	f.mu.Lock()
	f.crashing[crashing] = crashing != ""
	f.mu.Unlock()
	for end := f.now() + d; f.now() < end; time.Sleep(step) {
		if f.random.Float64() < soundPerSecond*step.Seconds() {
			f.send(f.soundParts()...)
		}
		if f.random.Float64() < crashingPerSecond*step.Seconds() {
			if parts := f.soundParts(); f.crashingFirst {
				f.send(append([]string{crashing}, parts...)...)
			} else {
				f.send(parts[0], crashing)
			}
		}
	}
}

// Numbers of parts of sound requests: a few that most requests have, and many that are rarely used.
const (
	soundHeads     = 3
	soundDocuments = 400
)

func soundPart(i int) string { return fmt.Sprint("part", i) }

// soundParts returns one part of each kind.
func (f *engineFleet) soundParts() []string {
	return []string{soundPart(f.random.IntN(soundHeads)), soundPart(soundHeads + f.random.IntN(soundDocuments))}
}

// shareBegun returns the share of the sound requests sent in a span of time that began, and their number.
func (f *engineFleet) shareBegun(from, to time.Duration) (share float64, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	began := 0
	for _, o := range f.outcomes {
		if o.sentAt < from || o.sentAt >= to || slices.ContainsFunc(o.parts, func(p string) bool { return f.crashing[p] }) {
			continue
		}
		n++
		if o.began {
			began++
		}
	}
	return float64(began) / float64(max(1, n)), n
}
