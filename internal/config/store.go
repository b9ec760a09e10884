package config

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// StaleAfter is how long a host goes on accepting requests while neither the object API
// nor a quorum of peers confirms its configuration.
const StaleAfter = 5 * time.Second

// Timing of the store.
const (
	syncPeriod              = 500 * time.Millisecond  // between digest exchanges with peers
	callTimeout             = time.Second             // of a call to a peer
	watchIdleTimeout        = 1900 * time.Millisecond // of a watch; bookmarks arrive every second
	listTimeout             = 15 * time.Second        // the API may take up to 5 s a call
	fallbackWatchAfter      = 3 * time.Second         // a host without a confirmation for this long opens its own watch
	fallbackWatchStartDelay = 6 * time.Second         // the same for a starting host that has had none yet
	fallbackWatchMinLife    = 30 * time.Second        // minimum lifetime of such a watch
	bootstrapWait           = time.Second             // a starting host asks peers for this long before it lists
	retryBackoff            = 200 * time.Millisecond  // doubled after each failed call to the API
	maxRetryBackoff         = 5 * time.Second
	isolationTimeout        = StaleAfter + watchIdleTimeout + 500*time.Millisecond // validity of evidence, late bookmarks, clock drift: see vmap.NewPropagationTracker
)

// Bounds of the store's queues and messages.
const (
	maxDeltaChanges     = 500  // in one message; more require a full read
	objectsPerPage      = 2000 // of a full read
	pushQueueLen        = 1    // a pending push carries all changes since the last one
	pushFanout          = 2    // random neighbours that each new change is pushed to
	maxConcurrentSyncs  = 4
	maxConcurrentPushes = 16
)

// StoreOptions configure a Store.
type StoreOptions struct {
	API       platform.API
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	Log       logrus.FieldLogger
	Metrics   tally.Scope
	Seed      uint64 // of the random choice of peers
}

// Store keeps this host's replica of the configuration. It implements Source.
//
// A few hosts of each availability zone watch the object API. Every host regularly
// exchanges digests with peers and fetches the changes it lacks, so a change that one
// host has seen reaches all.
type Store struct {
	opts      StoreOptions
	startTime time.Time
	current   atomic.Pointer[inForce]
	topo      atomic.Pointer[topology]
	stats     storeMetrics

	mu              sync.Mutex // guards the fields of this group
	objects         *vmap.Map[json.RawMessage]
	freshness       *vmap.Freshness
	index           *index
	acks            map[peer.ID]vmap.Ack
	withdrawn       map[string]withdrawal
	trackers        map[platform.Version]*vmap.PropagationTracker
	members         []peer.Member // as of the last refreshMembers
	pushedFloor     uint64        // floor at the last push
	rng             *rand.Rand
	fullReadRunning bool // a full read from a peer is in progress
	round           uint64

	pushSignal chan struct{}
	syncSem    chan struct{} // bounds concurrent exchanges
	collectSem chan struct{} // bounds concurrent collections of acknowledgements
}

// inForce is a configuration and the time since startTime until which requests may be
// accepted with it.
type inForce struct {
	snapshot    *Snapshot
	acceptUntil time.Duration
}

// NewStore returns a store with an empty configuration. It accepts no requests until it
// has taken a full state from the object API or a peer.
func NewStore(o StoreOptions) (*Store, error) {
	x, err := newIndex()
	if err != nil {
		return nil, err
	}
	self := o.Members.Self().ID.Name
	s := &Store{
		opts:       o,
		startTime:  time.Now(),
		objects:    vmap.New[json.RawMessage](0),
		freshness:  vmap.NewFreshness(self, StaleAfter),
		index:      x,
		acks:       make(map[peer.ID]vmap.Ack),
		withdrawn:  make(map[string]withdrawal),
		trackers:   make(map[platform.Version]*vmap.PropagationTracker),
		rng:        rand.New(rand.NewPCG(o.Seed, hostSeed(self))),
		pushSignal: make(chan struct{}, pushQueueLen),
		syncSem:    make(chan struct{}, maxConcurrentSyncs),
		collectSem: make(chan struct{}, maxConcurrentCollections),
		stats:      newStoreMetrics(o.Metrics),
	}
	s.current.Store(&inForce{snapshot: x.snapshot(0), acceptUntil: -1})
	s.refreshMembers()
	o.Registrar.Handle(methodSync, s.handleSync)
	o.Registrar.Handle(methodPage, s.handlePage)
	o.Registrar.Handle(methodAcks, s.handleAcks)
	return s, nil
}

func hostSeed(name string) uint64 { return uint64(vmap.ContactID(name)) }

// Snapshot implements Source.
func (s *Store) Snapshot() *Snapshot { return s.current.Load().snapshot }

// now returns the monotonic time since the store was created.
func (s *Store) now() time.Duration { return time.Since(s.startTime) }

// Accepting reports whether requests may be accepted with this configuration: within
// StaleAfter, either the object API confirmed it, directly or through peers, or a quorum
// of peers was in touch and none held a newer state.
func (s *Store) Accepting() bool {
	_, accepting := s.InForce()
	return accepting
}

// InForce returns the configuration, and what Accepting returns for it. A caller that asks for the
// two one after the other may get an earlier configuration with the answer for the next one.
func (s *Store) InForce() (snapshot *Snapshot, accepting bool) {
	c := s.current.Load()
	return c.snapshot, s.now() <= c.acceptUntil
}

// Run keeps the configuration up to date until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.runWatch(ctx); return nil })
	g.Go(func() error { s.runSync(ctx); return nil })
	g.Go(func() error { s.runPush(ctx); return nil })
	g.Go(func() error { s.runWithdrawalSweep(ctx); return nil })
	return g.Wait()
}

// topology returns this host's topology as of the last round of exchanges.
func (s *Store) topology() *topology { return s.topo.Load() }

// refreshMembers reads the current member list and recomputes the topology if the list
// has changed.
func (s *Store) refreshMembers() {
	members := s.opts.Members.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topo.Load() == nil || !sameTopology(members, s.members) {
		t := newTopology(s.opts.Members.Self(), members)
		s.topo.Store(&t)
		s.members = members
		s.pruneAcks(members)
	}
	s.freshness.SetMembers(len(members), s.now())
	s.updateAcceptUntil()
}

// afterMerge publishes a new snapshot if changes were applied, and requests a push of
// them. The caller holds mu.
func (s *Store) afterMerge(applied []vmap.Applied[json.RawMessage]) {
	if len(applied) > 0 {
		s.publishSnapshot(applied)
	}
	s.updateAcceptUntil()
	if len(applied) == 0 {
		return
	}
	select {
	case s.pushSignal <- struct{}{}:
	default: // the pending push includes these changes
	}
}

func (s *Store) publishSnapshot(applied []vmap.Applied[json.RawMessage]) {
	version := s.Snapshot().Version
	for _, a := range applied {
		s.index.apply(a.Name, a.Old, a.Value)
		s.trackWithdrawal(a)
		version = max(version, platform.Version(a.Version))
	}
	s.stats.changes.Inc(int64(len(applied)))
	s.stats.snapshots.Inc(1)
	s.current.Store(&inForce{snapshot: s.index.snapshot(version), acceptUntil: s.current.Load().acceptUntil})
}

// updateAcceptUntil recomputes the time until which requests may be accepted. The caller
// holds mu.
func (s *Store) updateAcceptUntil() {
	until := time.Duration(-1)
	if s.objects.Synced() {
		until = s.freshness.ValidUntil(s.now())
	}
	invariant.Check(until <= s.now()+StaleAfter, invariant.KeyWithdrawn, "keys would be accepted until %v, based on evidence dated in the future", until)
	if c := s.current.Load(); c.acceptUntil != until {
		s.current.Store(&inForce{snapshot: c.snapshot, acceptUntil: until})
	}
	s.stats.observe(s)
}

// merge runs f, which applies changes, while it holds mu. It checks that neither an
// instance nor the floor went back to an older version, and publishes the changes.
func (s *Store) merge(f func() []vmap.Applied[json.RawMessage]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.objects.Floor()
	applied := f()
	for _, a := range applied {
		v, _ := s.objects.VersionOf(a.Name)
		invariant.Check(v >= a.Version, invariant.ConfigMonotonic, "instance %s went back to version %d from %d", a.Name, v, a.Version)
	}
	invariant.Check(s.objects.Floor() >= before, invariant.ConfigMonotonic, "floor went back to %d from %d", s.objects.Floor(), before)
	s.afterMerge(applied)
}

// Interface check.
var _ Source = (*Store)(nil)
