package steer

import (
	"reflect"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// FleetView is what this host believes of targets, models and requests under way.
type FleetView struct {
	zone string
	now  func() time.Duration

	mu       sync.Mutex
	config   *fleet.Config
	targets  *fleet.Targets
	views    map[string]EngineView // by engine, as told by the coordinator or the own owner
	running  map[runKey]int        // own requests
	load     map[string]int        // own requests by target
	remote   map[string]int        // requests of other hosts by target, as last told
	health   map[string]*health
	arrivals map[modelKey]int
	wants    map[modelKey]*want
	dirty    map[runKey]bool
	changed  chan struct{}
	kick     func()
	hosts    map[string]fleet.Host
	unusable map[string]time.Duration   // targets that leave or went, until when to believe so
	missed   map[modelKey]time.Duration // models refused as out of reach, until when they count as asked for
	crowds   map[modelKey]seenCrowd     // as last told
	refuted  map[runKey]time.Duration   // copies that turned out to be missing, until when to believe so
}

type runKey struct{ engine, model string }

type modelKey struct{ service, model string }

// want gathers the requests of this host that wait for a model.
type want struct {
	dues []time.Duration
}

// NewFleetView returns a board that knows nothing. Now counts suspended time.
func NewFleetView(zone string, now func() time.Duration) *FleetView {
	return &FleetView{
		zone: zone, now: now, config: &fleet.Config{}, targets: fleet.NewTargets(nil),
		views: map[string]EngineView{}, running: map[runKey]int{}, load: map[string]int{}, remote: map[string]int{},
		health: map[string]*health{}, arrivals: map[modelKey]int{}, wants: map[modelKey]*want{}, dirty: map[runKey]bool{},
		changed: make(chan struct{}), kick: func() {}, hosts: map[string]fleet.Host{},
		refuted: map[runKey]time.Duration{}, unusable: map[string]time.Duration{}, missed: map[modelKey]time.Duration{},
		crowds: map[modelKey]seenCrowd{},
	}
}

// Changed returns a channel that is closed at the next change of the board.
func (b *FleetView) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *FleetView) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetConfig takes in a configuration.
func (b *FleetView) SetConfig(c *fleet.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = c
	b.wake()
}

// Config returns the configuration in force.
func (b *FleetView) Config() *fleet.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config
}

// SetTargets takes in the registered targets.
func (b *FleetView) SetTargets(t *fleet.Targets) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.targets = t
	for id := range b.views {
		if _, ok := t.ByID[id]; !ok {
			delete(b.views, id)
		}
	}
	for id := range b.health {
		if _, ok := t.ByID[id]; !ok {
			delete(b.health, id)
		}
	}
	b.wake()
}

// SetHosts takes in the other hosts.
func (b *FleetView) SetHosts(hosts map[string]fleet.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
}

// Hosts returns the known hosts by name.
func (b *FleetView) Hosts() map[string]fleet.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts
}

// Host returns a known host.
func (b *FleetView) Host(name string) (fleet.Host, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.hosts[name]
	return h, ok
}

// PeerAddress implements peer.AddressBook.
func (b *FleetView) PeerAddress(name string) (string, bool) {
	h, ok := b.Host(name)
	return h.PeerAddress, ok
}

// Target returns a registered target.
func (b *FleetView) Target(id string) (fleet.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.targets.ByID[id]
	return t, ok
}

// Targets returns the registered targets.
func (b *FleetView) Targets() *fleet.Targets {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets
}

// Publish takes in views of engines.
func (b *FleetView) Publish(views ...EngineView) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range views {
		b.views[v.ID] = v
	}
	b.wake()
}

// Tell takes in the coordinator's news of engines. The own engines are known
// better.
func (b *FleetView) Tell(self string, news ...EngineNews) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range news {
		if n.Owner == self && b.views[n.ID].Owner == self && b.views[n.ID].Born == n.Born {
			continue
		}
		v := EngineView{ID: n.ID, Born: n.Born, Owner: n.Owner, Models: make(map[string]ModelView, len(n.Ready))}
		for _, model := range n.Ready {
			v.Models[model] = ModelView{Adapters: n.Adapters[model]}
		}
		b.views[n.ID] = v
	}
	b.wake()
}

// unusableFor is how long a target is left alone after a coordinator named it:
// the next one may learn of its leaving a little later.
const unusableFor = 1500 * time.Millisecond

// SetUnusable takes in the targets that the coordinator knows to leave.
func (b *FleetView) SetUnusable(ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, until := range b.unusable {
		if now >= until {
			delete(b.unusable, id)
		}
	}
	for _, id := range ids {
		b.unusable[id] = now + unusableFor
	}
}

// view returns the best view of an engine: the told one if it is of the same
// start, as check-ins lag, else what the check-in says.
func (b *FleetView) view(t fleet.Target) EngineView {
	if v, ok := b.views[t.ID]; ok && v.Born == t.StartedMS {
		return v
	}
	return viewOf(t)
}

// viewOf makes a view from a check-in.
func viewOf(t fleet.Target) EngineView {
	v := EngineView{ID: t.ID, Born: t.StartedMS, Models: make(map[string]ModelView, len(t.Models))}
	for model, adapters := range t.Models {
		v.Models[model] = ModelView{Adapters: adapters}
	}
	return v
}

// sameView reports whether two views say the same.
func sameView(a, b EngineView) bool { return reflect.DeepEqual(a, b) }

// OwnerOf returns the host that orders an engine; empty if unknown.
func (b *FleetView) OwnerOf(engine string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.views[engine].Owner
}
