package steer

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"sync"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// Board is what this host believes of targets, models and requests under way.
type Board struct {
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
	refuted  map[runKey]time.Duration   // copies that turned out to be missing, until when to believe so
}

type runKey struct{ engine, model string }

type modelKey struct{ service, model string }

// want gathers the requests of this host that wait for a model.
type want struct {
	dues []time.Duration
}

// NewBoard returns a board that knows nothing. Now counts suspended time.
func NewBoard(zone string, now func() time.Duration) *Board {
	return &Board{
		zone: zone, now: now, config: &fleet.Config{}, targets: fleet.NewTargets(nil),
		views: map[string]EngineView{}, running: map[runKey]int{}, load: map[string]int{}, remote: map[string]int{},
		health: map[string]*health{}, arrivals: map[modelKey]int{}, wants: map[modelKey]*want{}, dirty: map[runKey]bool{},
		changed: make(chan struct{}), kick: func() {}, hosts: map[string]fleet.Host{},
		refuted: map[runKey]time.Duration{}, unusable: map[string]time.Duration{}, missed: map[modelKey]time.Duration{},
	}
}

// Changed returns a channel that is closed at the next change of the board.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

func (b *Board) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetConfig takes in a configuration.
func (b *Board) SetConfig(c *fleet.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = c
	b.wake()
}

// Config returns the configuration in force.
func (b *Board) Config() *fleet.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config
}

// SetTargets takes in the registered targets.
func (b *Board) SetTargets(t *fleet.Targets) {
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
func (b *Board) SetHosts(hosts map[string]fleet.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
}

// Hosts returns the known hosts by name.
func (b *Board) Hosts() map[string]fleet.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hosts
}

// Host returns a known host.
func (b *Board) Host(name string) (fleet.Host, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h, ok := b.hosts[name]
	return h, ok
}

// PeerAddress implements peer.AddressBook.
func (b *Board) PeerAddress(name string) (string, bool) {
	h, ok := b.Host(name)
	return h.PeerAddress, ok
}

// Target returns a registered target.
func (b *Board) Target(id string) (fleet.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.targets.ByID[id]
	return t, ok
}

// Targets returns the registered targets.
func (b *Board) Targets() *fleet.Targets {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.targets
}

// Publish takes in views of engines.
func (b *Board) Publish(views ...EngineView) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range views {
		b.views[v.ID] = v
	}
	b.wake()
}

// Tell takes in the coordinator's news of engines. The own engines are known
// better.
func (b *Board) Tell(self string, news ...EngineNews) {
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
func (b *Board) SetUnusable(ids []string) {
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
func (b *Board) view(t fleet.Target) EngineView {
	if v, ok := b.views[t.ID]; ok && v.Born == t.Born {
		return v
	}
	return viewOf(t)
}

// viewOf makes a view from a check-in.
func viewOf(t fleet.Target) EngineView {
	v := EngineView{ID: t.ID, Born: t.Born, Models: make(map[string]ModelView, len(t.Models))}
	for model, adapters := range t.Models {
		v.Models[model] = ModelView{Adapters: adapters}
	}
	return v
}

// Ask says what a target has to offer.
type Ask struct {
	Service string
	Model   string // empty: a plain service
	Adapter string
	Avoid   map[string]bool // targets tried before
}

// Choice is the target chosen.
type Choice struct {
	Target       fleet.Target
	NeedsAdapter bool // it must be loaded first
	Load         int  // requests of all hosts there, as known
	Reason       string
}

// Weights of a choice, in requests at once.
const (
	zonePenalty    = 4    // another availability zone: bytes between zones cost more than a few requests more at once
	adapterPenalty = 6    // an adapter that must be loaded first
	firstPenalty   = 8    // each second that first events took lately
	darkPenalty    = 1000 // only where all targets of a plain service are dark
	// spread is the temperature of the choice. Counts of other hosts are up to
	// 0.4 s old: if all took the least, one target would get the requests of
	// all hosts for that long.
	spread = 1.5
)

// noise returns a random number by which the least of scores less noise is
// chosen with a probability that falls by e for each spread of difference
// (Gumbel's distribution).
func noise() float64 { return -spread * math.Log(rand.ExpFloat64()) }

// Pick chooses a target, or none if no target can take the request now.
func (b *Board) Pick(ask Ask) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, bestScore, found := Choice{}, 0.0, false
	for _, id := range b.targets.ByService[ask.Service] {
		t := b.targets.ByID[id]
		if t.Draining || ask.Avoid[id] || b.now() < b.unusable[id] {
			continue
		}
		dark := b.dark(id)
		needsAdapter := false
		if ask.Model != "" {
			if dark || (t.Slots > 0 && b.load[id]+b.remote[id] >= t.Slots) {
				continue // waiting here shows that another copy is needed
			}
			m, ok := b.view(t).Models[ask.Model]
			if !ok || m.State != swap.Ready || b.now() < b.refuted[runKey{id, ask.Model}] {
				continue
			}
			needsAdapter = ask.Adapter != "" && !slices.Contains(m.Adapters, ask.Adapter)
			if needsAdapter && (b.views[id].Owner == "" || b.now() < b.refuted[runKey{id, ask.Model + "/" + ask.Adapter}]) {
				continue
			}
		}
		score := b.score(t) - noise()
		if needsAdapter {
			score += adapterPenalty
		}
		if dark {
			score += darkPenalty
		}
		if !found || score < bestScore {
			found, bestScore = true, score
			best = Choice{Target: t, NeedsAdapter: needsAdapter, Load: b.load[id] + b.remote[id]}
		}
	}
	return best, found
}

// score is what speaks against a target, in requests at once.
func (b *Board) score(t fleet.Target) float64 {
	score := float64(b.load[t.ID] + b.remote[t.ID])
	if t.Zone != b.zone {
		score += zonePenalty
	}
	if h := b.health[t.ID]; h != nil {
		score += h.penalty(b.now())
	}
	return score
}

// Reachable reports whether a model could be loaded by some engine that has it
// on its disk or in its memory, or is there already.
func (b *Board) Reachable(service, model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range b.targets.ByService[service] {
		t := b.targets.ByID[id]
		if t.Draining {
			continue
		}
		if _, there := b.view(t).Models[model]; there || slices.Contains(t.OnDisk, model) || slices.Contains(t.InMemory, model) {
			return true
		}
	}
	return false
}

// Begin counts a request as under way. The returned function ends it.
func (b *Board) Begin(target, model string) func() {
	key := runKey{target, model}
	b.count(key, 1)
	return sync.OnceFunc(func() { b.count(key, -1) })
}

func (b *Board) count(key runKey, n int) {
	b.mu.Lock()
	b.running[key] += n
	b.load[key.engine] += n
	if b.running[key] == 0 {
		delete(b.running, key)
	}
	if b.load[key.engine] == 0 {
		delete(b.load, key.engine)
	}
	b.dirty[key] = true
	b.mu.Unlock()
}

// Arrived counts a request for a model.
func (b *Board) Arrived(service, model string) {
	b.mu.Lock()
	b.arrivals[modelKey{service, model}]++
	b.mu.Unlock()
}

// refuteFor is how long a copy that turned out to be missing is left alone:
// news of it come within a few tenths of a second.
const refuteFor = 500 * time.Millisecond

// Refute notes that an engine did not have a model that it should have.
func (b *Board) Refute(engine, model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuted[runKey{engine, model}] = b.now() + refuteFor
}

// Await counts a request as waiting for a model until the returned function is
// called. Due is when it should have begun.
func (b *Board) Await(service, model string, due time.Duration) func() {
	key := modelKey{service, model}
	b.mu.Lock()
	w := b.wants[key]
	if w == nil {
		w = &want{}
		b.wants[key] = w
	}
	w.dues = append(w.dues, due)
	b.mu.Unlock()
	b.kick()
	return sync.OnceFunc(func() {
		b.mu.Lock()
		if i := slices.Index(w.dues, due); i >= 0 {
			w.dues = slices.Delete(w.dues, i, i+1)
		}
		if len(w.dues) == 0 && b.wants[key] == w {
			delete(b.wants, key)
		}
		b.mu.Unlock()
		b.kick()
	})
}

// Waiting returns how many requests of this host wait for a model.
func (b *Board) Waiting(service, model string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.wants[modelKey{service, model}]; w != nil {
		return len(w.dues)
	}
	return 0
}

// missFor is how long a model counts as asked for after a request for it was
// refused: until the coordinator has begun its load.
const missFor = 2 * time.Second

// Miss notes that a request was refused since no engine can have its model in
// time. The model is loaded all the same, for those that come later.
func (b *Board) Miss(service, model string, due time.Duration) {
	key := modelKey{service, model}
	b.mu.Lock()
	known := b.now() < b.missed[key]
	b.missed[key] = b.now() + missFor
	b.mu.Unlock()
	if !known {
		time.AfterFunc(missFor, b.Await(service, model, due))
	}
}

// report fills in what changed since the last report.
func (b *Board) report(r *Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for key, w := range b.wants {
		r.Wants = append(r.Wants, Want{Service: key.service, Model: key.model, Waiting: len(w.dues), DueMS: (slices.Min(w.dues) - now).Milliseconds()})
	}
	if r.Full {
		for key, n := range b.running {
			r.Running = append(r.Running, RunCount{key.engine, key.model, n})
		}
	} else {
		for key := range b.dirty {
			r.Running = append(r.Running, RunCount{key.engine, key.model, b.running[key]})
		}
	}
	clear(b.dirty)
	for id := range b.health {
		if b.dark(id) {
			r.Dark = append(r.Dark, id)
		}
	}
	for key, n := range b.arrivals {
		r.Arrivals = append(r.Arrivals, Arrivals{key.service, key.model, n})
	}
	clear(b.arrivals)
}

// SetRemote takes in how many requests of other hosts run at targets.
func (b *Board) SetRemote(byTarget map[string]int) {
	b.mu.Lock()
	for id, n := range byTarget {
		b.remote[id] = n
	}
	b.mu.Unlock()
}

// sameView reports whether two views say the same.
func sameView(a, b EngineView) bool { return reflect.DeepEqual(a, b) }

// OwnerOf returns the host that orders an engine; empty if unknown.
func (b *Board) OwnerOf(engine string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.views[engine].Owner
}
