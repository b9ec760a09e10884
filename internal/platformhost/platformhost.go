// Package platformhost runs a host on a platform that provides a store, registered
// targets and host settings. The formats and names of the platform are supplied
// by an Adapter.
package platformhost

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/callerconn"
	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/gateway"
	"buckthornseam.dev/seam/internal/heldbytes"
	"buckthornseam.dev/seam/internal/observe"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/storecache"
	"buckthornseam.dev/seam/internal/streamorigin"
	"buckthornseam.dev/seam/internal/target"
	"buckthornseam.dev/seam/internal/targetreach"
)

// Store is the platform's store.
type Store interface {
	storecache.Source
	coordinator.Store
	Delete(ctx context.Context, kind platform.Kind, name string, version platform.Version) error
}

// Codec translates between the platform's formats and the types of package fleet.
type Codec interface {
	fleet.Codec
	Config(obj platform.Object) (*fleet.Config, error)
	Target(obj platform.Object) (fleet.Target, error)
	DirectoryLookup(r *http.Request) fleet.Lookup
	DirectoryResponse(addresses []string, ttl time.Duration) []byte
}

// Adapter holds what is specific to the platform.
type Adapter struct {
	NewStore   func(eras *platform.Eras, m *observe.Metrics) Store
	NewEngines func(onNotice coordinator.NoticeFunc) coordinator.EngineClient
	Codec      Codec
	Dial       target.DialFunc // to targets; nil: over TCP, with detection of lost paths
	ConfigKind platform.Kind
	ConfigName string
	TargetKind platform.Kind
	// EvacuationKind is the kind of the objects that name the zones whose targets are to get nothing; empty: there are none.
	EvacuationKind platform.Kind
	ReadyPath      string
	DirectoryPath  string
	MetricsPath    string
}

// kindHosts is the kind of the hosts' own entries, one object per host.
const kindHosts platform.Kind = "seam-hosts"

// Times related to the mirrors.
const (
	maxFreshnessAge   = 1300 * time.Millisecond // of the coordinator's confirmation: three report intervals, or a strict poll
	hostKeepMissing   = 3 * time.Second         // entries that a restored store has forgotten are written again by then
	targetWithhold    = 5 * time.Second         // the removal of an entry that a restored store lists again is written by then
	targetKeepMissing = 2 * time.Second         // entries that expired during a store outage are renewed by then
)

// Host runs the services of one host.
type Host struct {
	settings fleet.HostSettings
	adapter  Adapter
	log      logrus.FieldLogger
	metrics  *observe.Metrics

	self         fleet.Host
	view         *coordinator.FleetView
	store        Store
	eras         platform.Eras // of the store
	lease        *coordinator.Lease
	owner        *coordinator.Owner
	coordinator  *coordinator.Coordinator
	parts        *coordinator.PartFailures
	client       *coordinator.Client
	inquiry      *coordinator.ConfigInquiry
	origins      *streamorigin.Registry
	reach        *targetreach.Monitor
	peerClient   *peer.Client
	peerServer   *peer.Server
	gateway      *gateway.Gateway
	retries      *gateway.RetryBudget
	callers      *callerconn.Pool // buffers of slow callers
	directory    *gateway.Directory
	outage       storecache.Outage // of the store, as seen by this host
	config       *storecache.Mirror
	targets      *storecache.Mirror
	evacuations  *storecache.Mirror // nil: the platform has no such kind
	startedAt    time.Duration
	homesLog     homesLog
	confirmedEra atomic.Uint32 // era of the last config_confirmed line
	// configUnreadable is set while the stored configuration cannot be decoded. Only the mirror of the configuration uses it.
	configUnreadable bool
	hostsListed      sync.Once
	knowsHosts       chan struct{} // closed with the first list of hosts
	listedAt         time.Duration // when this host's entry was last seen, or written first; only join uses it
	stop             chan struct{}
	stopping         chan struct{} // closed when the planned stop starts
}

// New returns a host that does not run yet.
func New(settings fleet.HostSettings, adapter Adapter, log logrus.FieldLogger) *Host {
	h := &Host{
		settings: settings, adapter: adapter, log: log.WithField("host", settings.Host), metrics: observe.NewMetrics(),
		startedAt: bootclock.Now(), knowsHosts: make(chan struct{}), stop: make(chan struct{}), stopping: make(chan struct{}),
	}
	h.self = fleet.Host{
		Name: settings.Host, Incarnation: uuid.NewString(), Zone: settings.Zone, Address: settings.Listen.Callers, StartedMS: time.Now().UnixMilli(),
		PeerAddress: net.JoinHostPort(settings.IP, strconv.Itoa(settings.PeerPort)), Weight: settings.CPUShare,
	}
	if settings.RelayPort > 0 {
		h.self.RelayAddress = net.JoinHostPort(settings.IP, strconv.Itoa(settings.RelayPort))
	}
	h.view = coordinator.NewFleetView(settings.Zone, bootclock.Now)
	h.view.SetRegions(settings.Regions)
	h.view.SetOwnHost(h.self)
	if !settings.CrashOnFullMemory {
		h.view.IgnoreEngineMemory()
	}
	h.store = adapter.NewStore(&h.eras, h.metrics)
	h.callers = callerconn.NewPool(callerconn.Bound(settings.MemoryMB), h.log, h.metrics.Scope)
	h.initSteering()
	h.initGateway()
	h.config = storecache.New(storecache.Options{
		Source: h.store, Outage: &h.outage, Eras: &h.eras, Kind: adapter.ConfigKind, Policy: h.bounded(h.configPolicy),
		Now: bootclock.Now, Log: h.log, OnChange: h.configChanged, OnConfirm: h.confirmConfig,
	})
	h.targets = storecache.New(storecache.Options{
		Source: h.store, Outage: &h.outage, Eras: &h.eras, Kind: adapter.TargetKind, Policy: h.bounded(h.targetPolicy),
		StaleStart: true, KeepMissing: targetKeepMissing, WithholdRemoved: targetWithhold, Now: bootclock.Now, Log: h.log, OnChange: h.targetsChanged, OnConfirm: h.view.ConfirmTargets,
	})
	h.initEvacuations()
	return h
}

func (h *Host) initSteering() {
	id := peer.ID{Name: h.self.Name, Incarnation: h.self.Incarnation}
	h.peerServer = peer.NewServer(id, "", h.log, h.metrics.Scope)
	h.peerClient = peer.NewClient(id, "", h.view, h.metrics.Scope)
	holder := coordinator.HolderName(h.self.Name, h.settings.IP)
	h.lease = coordinator.NewLease(coordinator.LeaseOptions{
		Holder: holder, Store: h.store, Eras: &h.eras, FirstBoot: h.settings.FirstBoot, OrderLease: h.settings.Bounds.OrderLease, Now: bootclock.Now, Log: h.log,
	})
	h.owner = coordinator.NewOwner(h.self.Name, holder, h.lease, h.view, h.adapter.NewEngines(h.view.RecordNotices), h.settings.Bounds, bootclock.Now, h.log)
	h.parts = coordinator.NewPartFailures(h.self.Name, h.view.Hosts, bootclock.Now, h.log)
	h.coordinator = coordinator.NewCoordinator(h.self.Name, h.view, h.peerClient, h.parts, h.copies, h.settings.FirstBoot, bootclock.Now, h.log)
}

func (h *Host) initGateway() {
	quotas := gateway.NewQuotas(h.settings.Bounds, h.hostCount, bootclock.Now, rand.Float64)
	dial := h.adapter.Dial
	if dial == nil {
		dial = target.DialContext
	}
	h.reach = targetreach.New(targetreach.Options{
		Addresses: h.targetAddresses, Dial: dial, Now: bootclock.Now, Log: h.log, OnChange: h.view.RequestReport,
	})
	h.client = coordinator.NewClient(coordinator.ClientOptions{
		Self: h.self, FleetView: h.view, Owner: h.owner, Coordinator: h.coordinator, Calls: h.peerClient, Parts: h.parts, Eras: &h.eras,
		CutOff:   func() bool { _, cutOff := h.reach.CutOff(); return cutOff },
		LocalUse: quotas.LocalUse, SetRemoteUse: func(epoch uint64, use, balances map[string]float64) {
			quotas.SetRemoteUse(h.view.Config().Teams, epoch, use, balances)
		}, Now: bootclock.Now, Log: h.log,
	})
	h.coordinator.ShareBalances(quotas.Balances)
	h.coordinator.ShareEras(&h.eras)
	h.coordinator.BoundCold(h.settings.Bounds)
	h.owner.Register(h.peerServer)
	h.coordinator.Register(h.peerServer)
	h.client.Register(h.peerServer)
	h.inquiry = coordinator.NewConfigInquiry(coordinator.ConfigInquiryOptions{
		FleetView: h.view, Self: h.self.Name, Calls: h.peerClient, Eras: &h.eras, Confirmed: h.copyConfirmed, Wait: h.settings.Bounds.Contact,
		Now: bootclock.Now, Log: h.log, Metrics: h.metrics.Scope,
	})
	h.inquiry.Register(h.peerServer)
	h.origins = streamorigin.New(streamorigin.Options{
		Self: h.self.Name, Hosts: h.stayingHosts, Targets: h.currentTargets, Calls: h.peerClient,
		Store: h.store, StoreInterval: h.originsStoreInterval, Now: bootclock.Now, Log: h.log,
	})
	h.origins.Register(h.peerServer)
	h.directory = &gateway.Directory{View: h.view, Client: h.client, Self: h.self, Contact: h.settings.Bounds.Contact, Log: h.log, Metrics: h.metrics.Scope}
	h.retries = gateway.NewRetryBudget(h.settings.Bounds, h.hostCount, bootclock.Now)
	h.gateway = gateway.New(gateway.Options{
		Codec: h.adapter.Codec, View: h.view, Sender: target.NewClientWithDialer(h.reach.Dial), Quotas: quotas,
		Reach: h.reach, Helpers: &gateway.HelperHosts{Self: h.self, View: h.view, Client: h.client, Sender: target.NewClient()}, Self: h.self.Name,
		Budget:      h.retries,
		Origins:     h.origins,
		LoadAdapter: h.loadAdapter, ReportEngineFailure: h.client.ReportEngineFailure, EngineFailures: h.client.EngineFailures, Parts: h.parts, RequestPermit: h.client.RequestPermit, RequestSlot: h.client.RequestSlot, RequestMemory: h.client.RequestMemory,
		Held:          heldbytes.NewPool(heldbytes.Bound(h.settings.MemoryMB), "responses", h.log, h.metrics.Scope),
		HeldBodies:    heldbytes.NewPool(heldbytes.Bound(h.settings.MemoryMB), "bodies", h.log, h.metrics.Scope),
		CurrentConfig: h.currentConfig,
		Now:           bootclock.Now, Bounds: h.settings.Bounds, Log: h.log, Metrics: h.metrics.Scope,
	})
}

// targetAddresses returns the addresses of all targets that do not leave and are not in evacuated zones.
func (h *Host) targetAddresses() []string {
	var out []string
	for _, t := range h.view.Targets().ByID {
		if !t.Draining && !h.view.Evacuated(t.Zone) {
			out = append(out, t.Address)
		}
	}
	return out
}

// hostCount counts the hosts, and those of them that report to the coordinator. Hosts in a planned stop
// still serve requests. It returns zeros until the list of hosts has come.
func (h *Host) hostCount() gateway.HostCount {
	select {
	case <-h.knowsHosts:
	default:
		return gateway.HostCount{}
	}
	together, lately := h.client.CountedTogether()
	return gateway.HostCount{All: max(len(h.view.Hosts()), lately), Together: together, Lately: lately}
}

// stayingHosts returns the names of the hosts that are not in a planned stop.
func (h *Host) stayingHosts() []string {
	var names []string
	for name, host := range h.view.Hosts() {
		if !host.Leaving {
			names = append(names, name)
		}
	}
	return names
}

// originsStoreShare is the share of the store's writes that the hosts use for the versions of streams while a service has
// several.
const originsStoreShare = 0.1

// originsStoreInterval returns the time between two writes of this host at which all hosts use originsStoreShare.
func (h *Host) originsStoreInterval() time.Duration {
	if h.settings.StoreWrites <= 0 {
		return 0
	}
	return time.Duration(float64(len(h.view.Hosts())) / (originsStoreShare * h.settings.StoreWrites) * float64(time.Second))
}

func (h *Host) newPartStore() *coordinator.PartStore {
	return &coordinator.PartStore{
		Parts: h.parts, Store: h.store, Coordinates: func() bool { return h.client.Coordinator() == h.self.Name }, Log: h.log, Eras: &h.eras,
	}
}

func (h *Host) loadAdapter(ctx context.Context, owner string, c coordinator.AdapterCommand) error {
	if owner == h.self.Name {
		return h.owner.LoadAdapter(ctx, c)
	}
	return h.peerClient.Call(ctx, owner, coordinator.MethodAdapter, c, nil)
}

// Stop starts a planned stop. It does not wait for its end.
func (h *Host) Stop() {
	select {
	case <-h.stop:
	default:
		close(h.stop)
	}
}

// Reload logs that the settings file changed. A running host keeps using the
// addresses and bounds that it was started with.
func (h *Host) Reload() {
	h.log.WithField("event", "settings_reloaded").Info("settings file changed; the running host keeps its addresses and bounds")
}

// Run serves until a planned stop has ended, ctx ends or a task fails.
func (h *Host) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h.log.WithFields(logrus.Fields{"event": "host_started", "callers": h.self.Address, "zone": h.self.Zone, "store": h.settings.Store, "incarnation": h.self.Incarnation}).Info("host started")
	group, ctx := errgroup.WithContext(ctx)
	peers, err := net.Listen("tcp", h.self.PeerAddress)
	if err != nil {
		return err
	}
	for _, task := range h.tasks(ctx, peers) {
		group.Go(task)
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
			h.finish(servers)
		case <-h.stop:
			summary := h.drain(ctx)
			h.logStopped(summary, h.finish(servers))
		}
		cancel()
		return nil
	})
	return group.Wait()
}

func (h *Host) tasks(ctx context.Context, peers net.Listener) []func() error {
	hosts := storecache.New(storecache.Options{
		Source: h.store, Outage: &h.outage, Eras: &h.eras, Kind: kindHosts, Policy: h.bounded(h.hostPolicy), StaleStart: true, KeepMissing: hostKeepMissing, Now: bootclock.Now, Log: h.log, OnChange: h.hostsChanged,
	})
	return []func() error{
		func() error { return h.logEras(ctx) },
		func() error { return h.config.Run(ctx) },
		func() error { return h.targets.Run(ctx) },
		func() error { return h.runEvacuations(ctx) },
		func() error { return hosts.Run(ctx) },
		func() error { return h.join(ctx) },
		func() error { return h.lease.Run(ctx) },
		func() error { return h.owner.RunRestores(ctx) },
		func() error { return h.coordinator.Run(ctx) },
		func() error { return h.client.Run(ctx) },
		func() error { return h.client.RunProbes(ctx) },
		func() error { return h.inquiry.Run(ctx) },
		func() error { return h.reach.Run(ctx) },
		func() error { return h.yieldEngines(ctx) },
		func() error { return h.newPartStore().Run(ctx) },
		func() error { return h.origins.Run(ctx) },
		func() error { return h.peerServer.Serve(ctx, peers) },
	}
}
