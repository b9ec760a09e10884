package wholerun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/app"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/member"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/settings"
	"buckthornseam.dev/seam/internal/standin/engine"
	"buckthornseam.dev/seam/internal/standin/objectapi"
	"buckthornseam.dev/seam/internal/standin/service"
	"buckthornseam.dev/seam/internal/standin/weightstore"
	"buckthornseam.dev/seam/internal/target"
)

// Sizes and bounds of a run.
const (
	hostCount    = 5
	engineCount  = 4
	modelCount   = 6
	teamCount    = 3
	engineMemory = 40 << 30
	modelBytes   = 16 << 30 // an engine has memory for two, so models compete for it
	tokenDelay   = 20 * time.Millisecond
	apiLatency   = 2 * time.Millisecond // of each call; without it a retry loop would stop fake time
	peerTimeout  = 2 * time.Second      // of calls whose ctx has no earlier deadline, as in peer.Client
)

// requestSettings are the settings of all hosts.
var requestSettings = settings.Requests{
	BodyBytes: 1 << 16, DeadlineMS: 8000, TokenGapMS: 3000, DrainMS: 40_000, HostListTTLMS: 1000, MaxConcurrent: 1000,
}

var zones = []string{"suva", "lautoka", "nadi"}

// world is the state of one simulated run.
type world struct {
	t        *testing.T
	rng      *rand.Rand // of the fault schedule; used by one goroutine
	start    time.Time
	store    *objectapi.Store
	peers    *peertest.Network
	targets  *targetNet
	weights  *weightstore.Store
	engines  map[string]*engine.Engine
	faulty   map[string]*faultyTarget
	requests *requestLog
	log      *logrus.Logger
	wait     sync.WaitGroup
	closers  []func()

	engineNames []string

	mu             sync.Mutex
	hosts          []*host // that are up
	keys           [teamCount][]*key
	calls          []*call
	leavingPeriods []leavingPeriod
	leaving        map[string]bool
	maxRate        [teamCount]float64 // largest so far
	maxBurst       [teamCount]float64
	lastMarker     int64
	faultHistory   []string // injected faults, for the test log
	failures       []string // failed checks
	configOutages  []period // times at which hosts may have been cut off from the configuration
}

// host is one incarnation of an entry host.
type host struct {
	name     string
	index    int
	core     *app.Core
	view     *member.View
	peer     *peertest.Host
	ctx      context.Context // ends with a crash or at the end of a graceful shutdown
	cancel   context.CancelFunc
	dead     atomic.Bool
	crashed  atomic.Bool
	stopping atomic.Bool // chosen to crash or to stop
	cutOff   atomic.Bool // has no connection to peers and API
	api      atomic.Pointer[objectapi.Faults]
}

func (h *host) faults() objectapi.Faults {
	if h.dead.Load() || h.cutOff.Load() {
		return objectapi.Faults{Down: true}
	}
	f := *h.api.Load()
	f.Delay = max(f.Delay, apiLatency)
	return f
}

// boundedCaller limits the duration of calls to peerTimeout, as peer.Client does.
type boundedCaller struct{ peer.Caller }

func (c boundedCaller) Call(ctx context.Context, host, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return c.Caller.Call(ctx, host, method, params, result)
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), start: time.Now(), store: objectapi.NewStore(), peers: peertest.New(seed),
		targets: newTargetNet(), engines: map[string]*engine.Engine{}, faulty: map[string]*faultyTarget{},
		weights:  weightstore.New(weightstore.Options{LoadsPerSecond: 6, FullSpeedLoads: 4, BytesPerSecond: 16 << 30}),
		requests: &requestLog{byTag: map[string][]receivedRequest{}}, log: logrus.New(),
	}
	w.leaving = map[string]bool{}
	for i := range teamCount {
		w.maxRate[i], w.maxBurst[i] = float64(teamRate[i]), float64(teamBurst[i])
	}
	w.log.SetOutput(io.Discard)
	w.log.SetLevel(logrus.PanicLevel)
	if *verbose {
		w.log.SetOutput(os.Stderr)
		w.log.SetLevel(logrus.InfoLevel)
	}
	w.peers.SetFaults(healthyPeers)
	for i := range engineCount {
		w.addEngine(fmt.Sprintf("engine-%d", i), i)
	}
	for i := range 2 {
		w.addService(fmt.Sprintf("billing-%d", i), "billing", i)
	}
	w.addService("tariffs-0", "tariffs", 0)
	w.submitAll(seed)
	for i := range hostCount {
		w.startHost(i)
	}
	return w
}

func (w *world) serveTarget(name string, f *faultyTarget) {
	w.faulty[name] = f
	w.closers = append(w.closers, w.targets.serve(name, f))
}

// addEngine starts an engine. Every second engine ignores fencing numbers.
func (w *world) addEngine(name string, i int) {
	e := engine.New(engine.Options{
		Name: name, MemoryBytes: engineMemory, ChecksFence: i%2 == 0, TokenDelay: tokenDelay,
		ReportLag: 50 * time.Millisecond, Fetch: w.weights, HasSlot: w.hasSlot,
	})
	w.engines[name] = e
	crash := func() {
		e.Restart()
		w.targets.forEachConn("", name, closeConn)
	}
	w.serveTarget(name, &faultyTarget{name: name, next: e.Handler(), requests: w.requests, crash: crash, rng: rand.New(rand.NewPCG(uint64(i), 2))})
	w.engineNames = append(w.engineNames, name)
	w.submitEngine(name, i, false)
}

func (w *world) addService(name, svc string, i int) {
	w.serveTarget(name, &faultyTarget{name: name, next: service.New(svc), requests: w.requests, rng: rand.New(rand.NewPCG(uint64(i), 3))})
	w.submit(name, "service-target", map[string]any{"name": name, "service": svc, "address": addressOf(name), "zone": zones[i%len(zones)]})
}

// hasSlot reports whether the stored placement of an engine has a slot for a model.
func (w *world) hasSlot(engine, model string) bool {
	obj, err := w.store.Get(context.Background(), platform.KindPlacements, "target."+engine)
	var rec placement.TargetRecord
	return err == nil && json.Unmarshal(obj.Data, &rec) == nil && rec.SlotOf(model) != nil
}

// submit stores a template instance, as an operator does, and returns its version.
func (w *world) submit(name, template string, params map[string]any) platform.Version {
	return w.put(name, config.Instance{Template: template, Params: encode(params)})
}

func encode(params map[string]any) map[string]json.RawMessage {
	raw := make(map[string]json.RawMessage, len(params))
	for k, v := range params {
		data, err := json.Marshal(v)
		if err != nil {
			panic(err) // the parameters are constants of the test
		}
		raw[k] = data
	}
	return raw
}

func (w *world) put(name string, inst config.Instance) platform.Version {
	data, err := json.Marshal(inst)
	if err != nil {
		panic(err) // the parameters are constants of the test
	}
	obj := platform.Object{Kind: platform.KindInstances, Name: name, Data: data}
	if old, err := w.store.Get(context.Background(), obj.Kind, name); err == nil {
		obj.Version = old.Version
	}
	stored, err := w.store.Put(context.Background(), obj)
	if err != nil {
		w.t.Fatal(err) // nothing else writes instances, and no faults are set on the store itself
	}
	return stored.Version
}

// registerHost adds a host to the platform's host list or updates its entry.
func (w *world) registerHost(self peer.Member) {
	data, err := json.Marshal(member.HostEntry{Name: self.ID.Name, Zone: self.Zone, Address: self.Address, PeerAddress: self.PeerAddress})
	if err != nil {
		panic(err) // strings always encode
	}
	obj := platform.Object{Kind: platform.KindHosts, Name: self.ID.Name, Data: data}
	if old, err := w.store.Get(context.Background(), obj.Kind, obj.Name); err == nil {
		obj.Version = old.Version
	}
	_, _ = w.store.Put(context.Background(), obj) // no faults are set on the store itself
}

// startHost starts a host, or a new incarnation of one that stopped.
func (w *world) startHost(i int) {
	name := fmt.Sprintf("host-%d", i)
	self := peer.Member{
		ID: peer.ID{Name: name, Incarnation: uuid.NewString()}, Zone: zones[i%len(zones)], Address: name, PeerAddress: name,
	}
	w.registerHost(self)
	h := &host{name: name, index: i, peer: w.peers.Add(self)}
	h.api.Store(&objectapi.Faults{})
	h.ctx, h.cancel = context.WithCancel(context.Background())
	log := w.log.WithField("host", name)
	api, caller := faultAPI{API: w.store.Client(h.faults), host: h}, boundedCaller{h.peer}
	h.view = member.NewView(member.Options{Self: self, API: api, Caller: caller, Registrar: h.peer, Log: log, Metrics: tally.NoopScope})
	targets := target.NewClientWithDialer(w.targets.dialer(self.ID.String(), h.dead.Load))
	core, err := app.NewCore(app.Dependencies{
		Members: h.view, Caller: caller, Registrar: h.peer, API: api, Targets: targets, Log: log, Metrics: tally.NoopScope,
	}, requestSettings)
	if err != nil {
		w.t.Fatal(err)
	}
	h.core = core
	h.view.SetLoadSource(core.Handler.Load)
	w.wait.Go(func() { _ = h.view.Run(h.ctx) })
	w.wait.Go(func() { _ = core.Run(h.ctx) })
	w.wait.Go(func() {
		<-h.ctx.Done()
		h.dead.Store(true)
		h.peer.SetDown(true)
		w.targets.forEachConn(self.ID.String(), "", closeConn)
		targets.Close()
	})
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
}

// removeHost removes a host from those that callers use.
func (w *world) removeHost(h *host) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, other := range w.hosts {
		if other == h {
			w.hosts = append(w.hosts[:i:i], w.hosts[i+1:]...)
			return
		}
	}
}

func (w *world) upHosts() []*host {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]*host(nil), w.hosts...)
}

// fail records a failed check.
func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = append(w.failures, fmt.Sprintf("%v: ", time.Since(w.start))+fmt.Sprintf(format, args...))
}

// close stops all hosts and targets.
func (w *world) close() {
	for _, h := range w.upHosts() {
		h.cancel()
	}
	w.wait.Wait()
	for _, f := range w.closers {
		f()
	}
	w.targets.forEachConn("", "", closeConn)
}
