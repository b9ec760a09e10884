// Package hosted runs an entry host on a platform that has a store, a list of
// targets and settings of its own. It wires the duties; what the platform calls
// things comes in through Adapter.
package hosted

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/framing"
	"buckthornseam.dev/seam/internal/gateway"
	"buckthornseam.dev/seam/internal/mirror"
	"buckthornseam.dev/seam/internal/observe"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/steer"
	"buckthornseam.dev/seam/internal/target"
)

// Store is the platform's store.
type Store interface {
	mirror.Source
	steer.Store
	Delete(ctx context.Context, kind platform.Kind, name string, version platform.Version) error
}

// Codec translates what the platform stores and asks.
type Codec interface {
	fleet.Codec
	Config(obj platform.Object) (*fleet.Config, error)
	Target(obj platform.Object) (fleet.Target, error)
	EntryAnswer(addresses []string, life time.Duration) []byte
}

// Adapter is what the platform looks like.
type Adapter struct {
	NewStore    func(m *observe.Metrics) Store
	Engines     steer.EngineClient
	Codec       Codec
	ConfigKind  platform.Kind
	ConfigName  string
	TargetKind  platform.Kind
	ReadyPath   string
	EntryPath   string
	MetricsPath string
}

// kindHosts holds an object a host.
const kindHosts platform.Kind = "seam-hosts"

// Paces of the copies of the store's objects: strict for the coordinator, lone
// for a host that hears too little of it, relaxed for one that relies on its word.
var (
	configStrict  = mirror.Pace{Wait: 700 * time.Millisecond}  // a fifth of the trust in a configuration, so that polls may fail
	configLone    = mirror.Pace{Wait: 1300 * time.Millisecond} // a third of it: many hosts may be alone at once
	configRelaxed = mirror.Pace{Wait: 12 * time.Second, Spacing: time.Second}
	targetStrict  = mirror.Pace{Wait: 500 * time.Millisecond, Spacing: 450 * time.Millisecond} // a quarter of the time until a leaving target must get nothing new
	targetLone    = mirror.Pace{Wait: time.Second, Spacing: 900 * time.Millisecond}            // half of it
	targetRelaxed = mirror.Pace{Wait: 8 * time.Second, Spacing: 2500 * time.Millisecond, Stale: true}
	hostPace      = mirror.Pace{Wait: 20 * time.Second, Spacing: 1500 * time.Millisecond}
	hostKnown     = mirror.Pace{Wait: 20 * time.Second, Spacing: 1500 * time.Millisecond, Stale: true} // a host that reports makes itself known to the coordinator
)

// Bounds of what the coordinator vouches for.
const (
	vouchFresh   = 1300 * time.Millisecond // three reports, or a strict poll
	targetLinger = 2 * time.Second         // entries that lapsed with the store away are back by then
)

// Host is an entry host.
type Host struct {
	site    fleet.HostSettings
	adapter Adapter
	log     logrus.FieldLogger
	metrics *observe.Metrics

	self    fleet.Host
	board   *steer.FleetView
	store   Store
	lease   *steer.Lease
	owner   *steer.Owner
	coord   *steer.Coordinator
	link    *steer.Client
	peers   *peer.Client
	serve   *peer.Server
	gateway *gateway.Gateway
	entry   *gateway.Directory
	config  *mirror.Mirror
	targets *mirror.Mirror
	stop    chan struct{}
	ended   chan struct{} // closed once stopping has begun
}

// New wires a host.
func New(site fleet.HostSettings, adapter Adapter, log logrus.FieldLogger) *Host {
	h := &Host{
		site: site, adapter: adapter, log: log.WithField("host", site.Host), metrics: observe.NewMetrics(),
		stop: make(chan struct{}), ended: make(chan struct{}),
	}
	h.self = fleet.Host{
		Name: site.Host, Incarnation: uuid.NewString(), Zone: site.Zone, Address: site.Listen.Callers,
		PeerAddress: net.JoinHostPort(site.IP, strconv.Itoa(site.PeerPort)), Weight: site.CPUShare,
	}
	h.board = steer.NewFleetView(site.Zone, bootclock.Now)
	h.board.SetHosts(map[string]fleet.Host{h.self.Name: h.self})
	h.store = adapter.NewStore(h.metrics)
	h.wireSteering()
	h.wireGateway()
	h.config = mirror.New(mirror.Options{
		Source: h.store, Kind: adapter.ConfigKind, Pace: h.configPace,
		Now: bootclock.Now, Log: h.log, OnChange: h.configChanged,
	})
	h.targets = mirror.New(mirror.Options{
		Source: h.store, Kind: adapter.TargetKind, Pace: h.targetPace,
		Linger: targetLinger, Now: bootclock.Now, Log: h.log, OnChange: h.targetsChanged,
	})
	return h
}

func (h *Host) wireSteering() {
	id := peer.ID{Name: h.self.Name, Incarnation: h.self.Incarnation}
	h.serve = peer.NewServer(id, "", h.log, h.metrics.Scope)
	h.peers = peer.NewClient(id, "", h.board, h.metrics.Scope)
	holder := steer.HolderName(h.self.Name, h.site.IP)
	h.lease = steer.NewLease(holder, h.store, bootclock.Now, h.log)
	h.owner = steer.NewOwner(h.self.Name, holder, h.lease, h.board, h.adapter.Engines, h.site.Bounds, bootclock.Now, h.log)
	h.coord = steer.NewCoordinator(h.self.Name, h.board, h.peers, h.confirmedCopies, h.site.FirstBoot, bootclock.Now, h.log)
}

func (h *Host) wireGateway() {
	allotments := gateway.NewQuotas(h.site.Bounds, h.hostCount, bootclock.Now)
	h.link = steer.NewClient(steer.ClientOptions{
		Self: h.self, Board: h.board, Owner: h.owner, Coordinator: h.coord, Calls: h.peers,
		Use: allotments.LocalUse, OnUse: func(epoch uint64, use map[string]float64) {
			allotments.SetRemoteUse(h.board.Config().Teams, epoch, use)
		}, Now: bootclock.Now, Log: h.log,
	})
	h.owner.Register(h.serve)
	h.coord.Register(h.serve)
	h.link.Register(h.serve)
	h.entry = &gateway.Directory{View: h.board, Client: h.link, Self: h.self}
	h.gateway = gateway.New(gateway.Options{
		Codec: h.adapter.Codec, View: h.board, Sender: target.NewClient(), Quotas: allotments,
		Budget:      gateway.NewRetryBudget(h.site.Bounds, h.hostCount, bootclock.Now),
		LoadAdapter: h.loadAdapter, ReportEngineFailure: h.link.ReportEngineFailure, EngineFailures: h.link.EngineFailures,
		ConfigConfirmed: h.configConfirmed,
		Now:             bootclock.Now, Bounds: h.site.Bounds, Log: h.log, Metrics: h.metrics.Scope,
	})
}

// hostCount returns the number of hosts, and whether this one hears of the
// others.
func (h *Host) hostCount() (int, bool) {
	live, heard := h.link.LiveHosts()
	return max(len(h.board.Hosts()), len(live)), heard
}

func (h *Host) loadAdapter(ctx context.Context, owner string, c steer.AdapterCommand) error {
	if owner == h.self.Name {
		return h.owner.LoadAdapter(ctx, c)
	}
	return h.peers.Call(ctx, owner, steer.MethodAdapter, c, nil)
}

// Stop begins a planned stop.
func (h *Host) Stop() {
	select {
	case <-h.stop:
	default:
		close(h.stop)
	}
}

// Reload notes that the settings changed. What a running host uses of them, its
// addresses and bounds, stays as it was at the start.
func (h *Host) Reload() {
	h.log.WithField("event", "settings_reloaded").Info("settings file changed; addresses and bounds in use stay")
}

// Run serves until Stop was called and the stop has ended.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.log.WithFields(logrus.Fields{"event": "host_started", "callers": h.self.Address, "zone": h.self.Zone, "store": h.site.Store, "incarnation": h.self.Incarnation}).Info("host started")
	group, ctx := errgroup.WithContext(ctx)
	peers, err := net.Listen("tcp", h.self.PeerAddress)
	if err != nil {
		return err
	}
	for _, duty := range h.duties(ctx, peers) {
		group.Go(duty)
	}
	servers, err := h.servers()
	if err != nil {
		return err
	}
	for _, s := range servers {
		group.Go(s.run)
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-h.stop:
			h.drain(ctx)
		}
		for _, s := range servers {
			s.Close()
		}
		cancel()
		return nil
	})
	return group.Wait()
}

func (h *Host) duties(ctx context.Context, peers net.Listener) []func() error {
	hosts := mirror.New(mirror.Options{
		Source: h.store, Kind: kindHosts, Pace: h.hostPace, Now: bootclock.Now, Log: h.log, OnChange: h.hostsChanged,
	})
	return []func() error{
		func() error { return h.config.Run(ctx) },
		func() error { return h.targets.Run(ctx) },
		func() error { return hosts.Run(ctx) },
		func() error { return h.join(ctx) },
		func() error { return h.lease.Run(ctx) },
		func() error { return h.coord.Run(ctx) },
		func() error { return h.link.Run(ctx) },
		func() error { return h.link.RunProbes(ctx) },
		func() error { return h.serve.Serve(ctx, peers) },
	}
}

// server is one HTTP server with its listener.
type server struct {
	*http.Server
	listener net.Listener
}

func (s server) run() error {
	if err := s.Serve(s.listener); err != http.ErrServerClosed {
		return &ServeError{Address: s.listener.Addr().String(), Cause: err}
	}
	return nil
}

// ServeError reports a server that ended by itself.
type ServeError struct {
	Address string
	Cause   error
}

func (e *ServeError) Error() string { return "server at " + e.Address + " ended: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// Bounds on what a caller sends, above those of any configuration.
const (
	headTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
	maxHead     = 64 << 10
)

func (h *Host) servers() ([]server, error) {
	ready, directory, metrics := mux.NewRouter(), mux.NewRouter(), mux.NewRouter()
	ready.HandleFunc(h.adapter.ReadyPath, h.answerReady).Methods(http.MethodGet)
	directory.HandleFunc(h.adapter.EntryPath, h.answerEntry).Methods(http.MethodGet)
	metrics.Handle(h.adapter.MetricsPath, h.metrics.Handler).Methods(http.MethodGet)
	var out []server
	for _, s := range []struct {
		address string
		handler http.Handler
		checked bool
	}{
		{h.site.Listen.Callers, h.gateway, true},
		{h.site.Listen.Ready, ready, false},
		{h.site.Listen.Directory, directory, false},
		{net.JoinHostPort(h.site.IP, strconv.Itoa(h.site.MetricsPort)), metrics, false},
	} {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			return nil, &ServeError{Address: s.address, Cause: err}
		}
		if s.checked {
			l = framing.Listener{Listener: l, MaxHead: maxHead}
		}
		out = append(out, server{&http.Server{
			Handler: s.handler, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
		}, l})
	}
	return out, nil
}

func (h *Host) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !h.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// ready reports whether this host should get callers.
func (h *Host) ready() bool {
	select {
	case <-h.ended:
		return false
	default:
	}
	confirmed, ok := h.configConfirmed()
	return ok && h.board.Config().Version > 0 && len(h.board.Targets().ByID) > 0 && bootclock.Now()-confirmed < h.site.Bounds.Revoke
}

// entryLife is the life of an entry answer: short, so that a stopped host leaves
// the answers that callers keep, some for three times their life, before its
// grace ends.
const entryLife = 2 * time.Second

func (h *Host) answerEntry(w http.ResponseWriter, _ *http.Request) {
	life := entryLife
	if most := h.site.Bounds.EntryTTLMax; most > 0 {
		life = min(life, most)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(h.adapter.Codec.EntryAnswer(h.entry.Addresses(), life))
}
