package coordinator

import (
	"maps"
	"reflect"
	"sync"
	"time"

	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/seam/internal/fleet"
)

// FleetView is what this host knows of the configuration, the targets, the models they
// hold and the requests in progress.
type FleetView struct {
	zone string
	now  func() time.Duration

	mu            sync.Mutex
	config        *fleet.Config
	configAt      time.Duration // when it was last known to be the newest; 0: never
	newestConfig  ConfigVersion
	configWord    ConfigWord
	listed        *fleet.Targets // as registered
	targetsAt     time.Duration  // when that list was last known to be the newest; 0: never
	targets       *fleet.Targets // as registered, but those that leave are marked as draining
	leaving       leavingTargets
	brittle       brittleness
	evacuations   evacuations
	memory        memoryState
	long          longState
	noticesToLog  []notice
	quietUntil    map[string]time.Duration // by start of a target, until when it wants nothing from this host
	views         map[string]EngineView    // by engine, from the coordinator or this host's own Owner
	running       map[runKey]int           // this host's requests
	load          map[string]int           // this host's requests by target
	remoteLoad    map[string]int           // other hosts' requests by target, as last reported
	health        map[string]*health
	arrivals      map[modelKey]int
	regions       map[string]string           // of availability zones
	boundArrivals map[modelKey]map[string]int // those of arrivals that are bound to regions, by homes.Key
	waiting       map[modelKey]*waitList
	dirty         map[runKey]bool
	changed       chan struct{}
	requestReport func()
	hosts         map[string]fleet.Host
	unusableUntil map[string]time.Duration     // targets that leave or have been removed, and when this expires
	refusedUntil  map[refusedKey]time.Duration // refused models, until when they still count as requested
	backlogs      map[modelKey]seenBacklog     // as last reported
	missingUntil  map[runKey]time.Duration     // set by RecordMissingModel, and when this expires
	limits        *permit.Limits               // that targets name
	noPermit      map[string]denials           // by target, when a permit is asked for again
	cold          coldTargets
}

type runKey struct{ engine, model string }

type modelKey struct{ service, model string }

// waitList holds the due times of this host's requests that wait for a model.
type waitList struct {
	dues    []time.Duration
	countAt map[string]int               // those that only targets of one software version may serve
	bound   map[boundKey][]time.Duration // due times of those that only targets in some regions may serve
}

// NewFleetView returns an empty view. The clock now must include time during which the
// machine was suspended.
func NewFleetView(zone string, now func() time.Duration) *FleetView {
	f := &FleetView{
		zone: zone, now: now, config: &fleet.Config{}, listed: fleet.NewTargets(nil), targets: fleet.NewTargets(nil), leaving: leavingTargets{records: map[string]leavingRecord{}}, brittle: newBrittleness(), evacuations: newEvacuations(), memory: newMemoryState(), long: newLongState(), quietUntil: map[string]time.Duration{},
		views: map[string]EngineView{}, running: map[runKey]int{}, load: map[string]int{}, remoteLoad: map[string]int{},
		health: map[string]*health{}, arrivals: map[modelKey]int{}, waiting: map[modelKey]*waitList{}, dirty: map[runKey]bool{},
		changed: make(chan struct{}), requestReport: func() {}, hosts: map[string]fleet.Host{},
		missingUntil: map[runKey]time.Duration{}, unusableUntil: map[string]time.Duration{}, refusedUntil: map[refusedKey]time.Duration{},
		backlogs: map[modelKey]seenBacklog{}, limits: permit.NewLimits(), noPermit: map[string]denials{}, cold: newColdTargets(),
	}
	f.cold.evacuationEnded = f.evacuations.core.EndedAt
	return f
}

// Changed returns a channel that is closed at the next change of the view.
func (f *FleetView) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// RequestReport has this host report to the coordinator soon, and wakes what waits for a change of the view.
func (f *FleetView) RequestReport() {
	f.mu.Lock()
	f.notify()
	f.mu.Unlock()
	f.requestReport()
}

func (f *FleetView) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// SetConfig replaces the configuration.
func (f *FleetView) SetConfig(c *fleet.Config) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config = c
	f.recordConfig(configVersionOf(c))
	f.notify()
}

// Config returns the configuration in force.
func (f *FleetView) Config() *fleet.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.config
}

// SetTargets replaces the registered targets and drops what is known of unregistered ones. A target that was
// registered as draining, or said that it leaves, stays so whatever the list says later.
func (f *FleetView) SetTargets(t *fleet.Targets) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordRegistrations(t)
	f.listed = t
	runs := make(map[string]bool, len(t.ByID))
	for _, target := range t.ByID {
		runs[runOf(target)] = true
		if target.Draining {
			f.leaving.add(runOf(target), f.now(), false)
		}
	}
	f.leaving.expire(f.now(), runs)
	maps.DeleteFunc(f.quietUntil, func(run string, _ time.Duration) bool { return !runs[run] })
	f.markLeaving()
	for id := range f.views {
		if _, ok := t.ByID[id]; !ok {
			delete(f.views, id)
		}
	}
	for id := range f.health {
		if _, ok := t.ByID[id]; !ok {
			delete(f.health, id)
		}
	}
	for id := range f.noPermit {
		if _, ok := t.ByID[id]; !ok {
			delete(f.noPermit, id)
		}
	}
	f.notify()
}

// SetHosts replaces the known hosts.
func (f *FleetView) SetHosts(hosts map[string]fleet.Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts, f.cold.hostsListed = hosts, true
	f.notify()
}

// Hosts returns the known hosts by name.
func (f *FleetView) Hosts() map[string]fleet.Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts
}

// Host returns a known host.
func (f *FleetView) Host(name string) (fleet.Host, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.hosts[name]
	return h, ok
}

// PeerAddress implements peer.AddressResolver.
func (f *FleetView) PeerAddress(name string) (string, bool) {
	h, ok := f.Host(name)
	return h.PeerAddress, ok
}

// Target returns a registered target.
func (f *FleetView) Target(id string) (fleet.Target, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.targets.ByID[id]
	return t, ok
}

// Targets returns the registered targets. Those that leave are marked as draining.
func (f *FleetView) Targets() *fleet.Targets {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.targets
}

// ListedTargets returns the targets as they are registered.
func (f *FleetView) ListedTargets() *fleet.Targets {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed
}

// Accepts reports whether a target that was chosen still takes requests: it is registered, does not leave and is not in an
// evacuated zone.
func (f *FleetView) Accepts(chosen fleet.Target) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t, ok := f.targets.ByID[chosen.ID]
	return ok && !t.Draining && !t.Missing && t.StartedMS == chosen.StartedMS && !f.evacuated(t.Zone)
}

// SetViews stores views of engines.
func (f *FleetView) SetViews(views ...EngineView) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range views {
		f.views[v.ID] = v
	}
	f.notify()
}

// ApplyUpdates applies the coordinator's updates of engines, except for those that this
// host owns: their Owner has newer views. It returns false if an update refers to an earlier
// one that this host no longer has.
func (f *FleetView) ApplyUpdates(self string, updates ...EngineUpdate) (ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok = true
	for _, u := range updates {
		if u.ReadyOnly {
			old, known := f.views[u.ID]
			if !known {
				ok = false
				continue
			}
			u = completeUpdate(u, old)
		}
		if u.Owner == self && f.views[u.ID].Owner == self && f.views[u.ID].StartedMS == u.StartedMS {
			continue
		}
		v := EngineView{ID: u.ID, StartedMS: u.StartedMS, Owner: u.Owner, Models: make(map[string]ModelView, len(u.Ready))}
		for _, model := range u.Ready {
			v.Models[model] = ModelView{Adapters: u.Adapters[model]}
		}
		f.views[u.ID] = v
	}
	f.notify()
	return ok
}

// completeUpdate fills in what a ReadyOnly update leaves out.
func completeUpdate(u EngineUpdate, old EngineView) EngineUpdate {
	u.Owner, u.StartedMS, u.Adapters = old.Owner, old.StartedMS, map[string][]string{}
	for _, model := range u.Ready {
		if m, ok := old.Models[model]; ok && len(m.Adapters) > 0 {
			u.Adapters[model] = m.Adapters
		}
	}
	return u
}

// unusableTTL is how long a target is not chosen after a coordinator reported it as
// unusable. It covers a change of coordinators: the new one may learn of it a little later.
const unusableTTL = 1500 * time.Millisecond

// SetUnusable records the targets that leave or have been removed, as reported by the
// coordinator.
func (f *FleetView) SetUnusable(ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for id, until := range f.unusableUntil {
		if now >= until {
			delete(f.unusableUntil, id)
		}
	}
	for _, id := range ids {
		f.unusableUntil[id] = now + unusableTTL
	}
}

// view returns the newest view of an engine: the stored view if it describes the same
// process of the engine as the check-in, which lags behind, otherwise that of the check-in.
func (f *FleetView) view(t fleet.Target) EngineView {
	if v, ok := f.views[t.ID]; ok && v.StartedMS == t.StartedMS {
		return v
	}
	return viewOfTarget(t)
}

// viewOfTarget returns the view that follows from a target's check-in.
func viewOfTarget(t fleet.Target) EngineView {
	v := EngineView{ID: t.ID, StartedMS: t.StartedMS, Models: make(map[string]ModelView, len(t.Models))}
	for model, adapters := range t.Models {
		v.Models[model] = ModelView{Adapters: adapters}
	}
	return v
}

// sameView reports whether two views are equal.
func sameView(a, b EngineView) bool { return reflect.DeepEqual(a, b) }

// OwnerOf returns the host that owns an engine, or an empty string if it is unknown.
func (f *FleetView) OwnerOf(engine string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.views[engine].Owner
}
