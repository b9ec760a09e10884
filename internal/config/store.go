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

// StaleAfter is the time after which a host that can confirm its configuration
// neither by the object API nor by enough peers stops accepting requests.
const StaleAfter = 5 * time.Second

// Timing of the store.
const (
	syncPeriod    = 500 * time.Millisecond  // between exchanges with a peer
	callTimeout   = time.Second             // of a call to a peer
	watchSilence  = 1900 * time.Millisecond // bookmarks come every second
	listTimeout   = 15 * time.Second        // the API may be as slow as 5 s a call
	ownWatchAfter = 3 * time.Second         // without confirmation, a host opens a watch itself
	ownWatchStart = 6 * time.Second         // a starting host leaves the watchers that long
	ownWatchLife  = 30 * time.Second        // before such a watch may be closed again
	bootstrapWait = time.Second             // a starting host asks peers for so long before it lists
	retryBackoff  = 200 * time.Millisecond  // doubled after each failed call to the API
	retryLimit    = 5 * time.Second
	ackLimit      = StaleAfter + watchSilence + 500*time.Millisecond // see vmap.InForce
)

// Bounds of the store's queues and messages.
const (
	maxDeltaChanges = 500  // changes in one message; more take a full reading
	pageObjects     = 2000 // objects in a part of a full reading
	pushQueue       = 1    // a waiting push carries all changes since the last one
	pushFanout      = 2    // hosts anywhere that each new change is passed on to
	syncsAtOnce     = 4
	pushesAtOnce    = 16
)

// StoreOptions configure a Store.
type StoreOptions struct {
	API       platform.API
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	Log       logrus.FieldLogger
	Metrics   tally.Scope
	Seed      uint64 // of the choice of peers
}

// Store keeps this host's replica of the configuration. It implements Source.
//
// A few hosts of each availability zone watch the object API; every host
// exchanges digests with peers and takes over what it lacks, so that one host
// that saw a change is enough for all.
type Store struct {
	opts     StoreOptions
	origin   time.Time
	snapshot atomic.Pointer[Snapshot]
	until    atomic.Int64 // time since origin up to which requests may be accepted
	place    atomic.Pointer[topology]
	stats    storeMetrics

	mu        sync.Mutex // guards what follows
	objects   *vmap.Map[json.RawMessage]
	fresh     *vmap.Freshness
	index     *index
	acks      map[peer.ID]vmap.Ack
	withdrawn map[string]withdrawal
	tracked   map[platform.Version]*vmap.PropagationTracker
	members   []peer.Member // as of the last refresh
	pushed    uint64        // floor at the last push
	rng       *rand.Rand
	reading   bool // a full reading from a peer is in progress
	round     uint64

	push   chan struct{}
	sema   chan struct{} // bounds concurrent exchanges
	asking chan struct{} // bounds concurrent collections of acknowledgements
}

// NewStore returns a store with an empty configuration, which accepts nothing
// until it has taken a full state from the object API or a peer.
func NewStore(o StoreOptions) (*Store, error) {
	x, err := newIndex()
	if err != nil {
		return nil, err
	}
	self := o.Members.Self().ID.Name
	s := &Store{
		opts:      o,
		origin:    time.Now(),
		objects:   vmap.New[json.RawMessage](0),
		fresh:     vmap.NewFreshness(self, StaleAfter),
		index:     x,
		acks:      make(map[peer.ID]vmap.Ack),
		withdrawn: make(map[string]withdrawal),
		tracked:   make(map[platform.Version]*vmap.PropagationTracker),
		rng:       rand.New(rand.NewPCG(o.Seed, vmapSeed(self))),
		push:      make(chan struct{}, pushQueue),
		sema:      make(chan struct{}, syncsAtOnce),
		asking:    make(chan struct{}, progressAtOnce),
		stats:     newStoreMetrics(o.Metrics),
	}
	s.until.Store(-1)
	s.snapshot.Store(x.snapshot(0))
	s.refresh()
	o.Registrar.Handle(methodSync, s.handleSync)
	o.Registrar.Handle(methodPage, s.handlePage)
	o.Registrar.Handle(methodAcks, s.handleAcks)
	return s, nil
}

func vmapSeed(name string) uint64 { return uint64(vmap.ContactID(name)) }

// Snapshot implements Source.
func (s *Store) Snapshot() *Snapshot { return s.snapshot.Load() }

// now is the time since the store was made, on the monotonic clock.
func (s *Store) now() time.Duration { return time.Since(s.origin) }

// Accepting reports whether requests may be accepted by this configuration: it
// was confirmed by the object API, directly or through peers, within
// StaleAfter, or a quorum of peers is in touch that is no further.
func (s *Store) Accepting() bool { return int64(s.now()) <= s.until.Load() }

// Run keeps the configuration up to date until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { s.runWatch(ctx); return nil })
	g.Go(func() error { s.runSync(ctx); return nil })
	g.Go(func() error { s.runPush(ctx); return nil })
	g.Go(func() error { s.runSweep(ctx); return nil })
	return g.Wait()
}

// topology returns the place of this host among the members as of the last
// round of exchanges.
func (s *Store) topology() *topology { return s.place.Load() }

// refresh takes the member list over.
func (s *Store) refresh() {
	members := s.opts.Members.Members()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.place.Load() == nil || !samePlaces(members, s.members) {
		t := newTopology(s.opts.Members.Self(), members)
		s.place.Store(&t)
		s.members = members
		s.forgetAcks(members)
	}
	s.fresh.SetMembers(len(members), s.now())
	s.judge()
}

// changed publishes a new snapshot after changes were merged and asks for
// them to be passed on. The caller holds mu.
func (s *Store) changed(made []vmap.Applied[json.RawMessage]) {
	if len(made) > 0 {
		s.publish(made)
	}
	s.judge()
	if len(made) == 0 {
		return
	}
	select {
	case s.push <- struct{}{}:
	default: // the waiting push takes these changes along
	}
}

func (s *Store) publish(made []vmap.Applied[json.RawMessage]) {
	version := s.snapshot.Load().Version
	for _, a := range made {
		s.index.apply(a.Name, a.Old, a.Value)
		s.noteWithdrawal(a)
		version = max(version, platform.Version(a.Version))
	}
	s.stats.changes.Inc(int64(len(made)))
	s.stats.snapshots.Inc(1)
	s.snapshot.Store(s.index.snapshot(version))
}

// judge recomputes until when requests may be accepted. The caller holds mu.
func (s *Store) judge() {
	until := time.Duration(-1)
	if s.objects.Synced() {
		until = s.fresh.ValidUntil(s.now())
	}
	invariant.Check(until <= s.now()+StaleAfter, invariant.KeyWithdrawn, "keys would be accepted until %v on evidence of the future", until)
	s.until.Store(int64(until))
	s.stats.observe(s)
}

// merge applies f under the lock, checks that the replica did not step back
// and publishes what changed.
func (s *Store) merge(f func() []vmap.Applied[json.RawMessage]) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.objects.Floor()
	made := f()
	for _, a := range made {
		v, _ := s.objects.VersionOf(a.Name)
		invariant.Check(v >= a.Version, invariant.ConfigMonotonic, "instance %s went back to version %d from %d", a.Name, v, a.Version)
	}
	invariant.Check(s.objects.Floor() >= before, invariant.ConfigMonotonic, "floor went back to %d from %d", s.objects.Floor(), before)
	s.changed(made)
}

// Interface check.
var _ Source = (*Store)(nil)
