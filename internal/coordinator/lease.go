package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/platform"
)

// Kinds of objects that store ownership.
const (
	kindLeases platform.Kind = "seam-leases" // one object per host
	kindOwners platform.Kind = "seam-owners" // one object per engine
)

// Times of a host's lease. A host may order engines until leaseTTL after the start of its
// last renewal. Another host declares the lease ended only after it has seen no renewal
// for leaseTTL plus leaseDriftMargin.
const (
	leaseTTL           = 6 * time.Second        // longer than the usual outages of the store, which last 4 to 5 s
	leaseDriftMargin   = 500 * time.Millisecond // allows for clocks whose rates differ by a twelfth
	leaseRenewInterval = 2 * time.Second        // two renewals may fail
)

// Store is the part of the platform's store that is used for ownership.
type Store interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (platform.Object, error)
}

type leaseRecord struct {
	Holder  string `json:"holder"`
	Ended   bool   `json:"ended"` // declared ended by another host, or released
	Renewal uint64 `json:"renewal"`
}

type ownerRecord struct {
	Holder string       `json:"holder"`
	Claim  uint64       `json:"claim,omitempty"` // increases when the holder claims the engine again
	Era    platform.Era `json:"era,omitempty"`   // of the store when it was written
	From   string       `json:"from,omitempty"`  // earlier holder, until the new one has claimed the engine again
}

// Lease is the right of this host to order the engines that it owns. It also records in
// the store which engines those are.
//
// When the store is restored from a copy, a renewal or a claim that it has acknowledged may be gone. What was
// acknowledged in the era before stays valid until its time has passed, since no host claims anything until then (see
// eraSettling), but is not prolonged: an engine goes on being owned only if its owner writes itself down again in
// the new era before that (Reassert).
type Lease struct {
	holder   string
	store    Store
	eras     *platform.Eras
	settling *eraSettling
	now      func() time.Duration
	log      logrus.FieldLogger

	renewLock  sync.Mutex // held during a renewal
	mu         sync.Mutex
	renewing   bool
	released   bool             // set by Release; the lease is not acquired again
	foundEnded bool             // the stored lease had ended, so another host may be taking engines over
	version    platform.Version // of this host's lease object; 0 if unknown
	renewal    uint64
	validUntil map[platform.Era]time.Duration // this host may order engines that it claimed in an era until then
	term       uint64                         // increases each time the lease is lost
	seenLeases map[string]leaseObservation    // leases of other hosts
	seenOwners map[string]ownerObservation    // owners of engines that other hosts own
	takenOver  map[string]platform.Version    // engines that this process has taken over, with the version of its claim
}

// leaseObservation is a version of another host's lease and when it was first read.
type leaseObservation struct {
	version   platform.Version
	firstSeen time.Duration
	lastRead  time.Duration // when it was last read
}

// ownerObservation is the owner of an engine as last read.
type ownerObservation struct {
	holder string
	at     time.Duration
}

// observationTTL is how long an observation of another host's lease or engine is reused.
// It limits the store reads: after the loss of a host, each of its engines is claimed
// every second.
const observationTTL = 2 * time.Second

// LeaseOptions holds the settings of a lease.
type LeaseOptions struct {
	Holder     string // identifies the machine, so a process that restarts on it keeps its engines
	Store      Store
	Eras       *platform.Eras // of the store
	FirstBoot  bool           // the deployment starts for the first time
	OrderLease time.Duration  // least time between the orders of two holders to an engine
	Now        func() time.Duration
	Log        logrus.FieldLogger
}

// NewLease returns a lease that is not held yet.
func NewLease(o LeaseOptions) *Lease {
	settling := &eraSettling{store: o.Store, eras: o.Eras, firstBoot: o.FirstBoot, after: leaseTTL + o.OrderLease + 2*leaseDriftMargin, now: o.Now}
	return &Lease{
		holder: o.Holder, store: o.Store, eras: o.Eras, settling: settling, now: o.Now, log: o.Log,
		validUntil: map[platform.Era]time.Duration{}, seenLeases: map[string]leaseObservation{}, seenOwners: map[string]ownerObservation{}, takenOver: map[string]platform.Version{},
	}
}

// Held reports whether the lease is valid in the current era of the store.
func (l *Lease) Held() bool { return l.validIn(l.eras.Current()) }

// Holds reports whether this host may order an engine that it claimed with a fencing token now. It must be called right
// before each order, since the machine may have been suspended.
func (l *Lease) Holds(fence uint64) bool { return l.validIn(platform.Version(fence).Era()) }

func (l *Lease) validIn(era platform.Era) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now() < l.validUntil[era]
}

// Outdated reports whether the store was restored since an engine was claimed with a fencing token.
func (l *Lease) Outdated(fence uint64) bool { return platform.Version(fence).Era() != l.eras.Current() }

// Term returns a number that increases each time the lease is lost. Engines that were
// owned in an earlier term are no longer owned.
func (l *Lease) Term() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// Acquire makes sure that the lease is held, and that Run renews it from now on.
func (l *Lease) Acquire(ctx context.Context) error {
	l.mu.Lock()
	l.renewing = !l.released
	released := l.released
	l.mu.Unlock()
	if released {
		return &NoLeaseError{}
	}
	if l.Held() {
		return nil
	}
	return l.renew(ctx)
}

// Release ends the lease permanently, so that other hosts need not wait for its expiry. No
// order may be in progress. If the store does not confirm it, Release returns an error and
// the lease expires on its own.
func (l *Lease) Release(ctx context.Context) error {
	l.renewLock.Lock()
	defer l.renewLock.Unlock()
	l.mu.Lock()
	l.released, l.renewing = true, false // before the write, which allows others to order
	clear(l.validUntil)
	l.term++
	held := l.version > 0
	l.mu.Unlock()
	if !held {
		return nil
	}
	version, renewal, err := l.ownVersion(ctx)
	if err != nil {
		return err
	}
	_, err = l.put(ctx, kindLeases, l.holder, version, leaseRecord{Holder: l.holder, Ended: true, Renewal: renewal + 1})
	return err
}

// Yield ends the lease, so that other hosts need not wait for its expiry, like Release, but it may be acquired again. The
// caller must wait for orders in progress before it calls Yield; no further ones are sent once Suspend was called.
func (l *Lease) Yield(ctx context.Context) error {
	l.renewLock.Lock()
	defer l.renewLock.Unlock()
	version, renewal, err := l.ownVersion(ctx)
	if err != nil || version == 0 {
		return err
	}
	l.mu.Lock()
	l.foundEnded = true // another host may read this and be about to claim an engine
	l.version = 0
	l.mu.Unlock()
	_, err = l.put(ctx, kindLeases, l.holder, version, leaseRecord{Holder: l.holder, Ended: true, Renewal: renewal + 1})
	return err
}

// Suspend gives up the right to order engines until the lease is acquired again.
func (l *Lease) Suspend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewing = false
	clear(l.validUntil)
	l.term++
}

// Run renews the lease from the first call of Acquire until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := leaseRenewInterval
		l.mu.Lock()
		renewing := l.renewing
		l.mu.Unlock()
		if !renewing {
			pause = leaseRenewInterval / 5
		} else if err := l.renew(ctx); err != nil {
			l.log.WithFields(logrus.Fields{"event": "lease_not_renewed"}).Warn(err.Error())
			pause = leaseRenewInterval / 5
		}
		_, restored := l.eras.Changed()
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-restored:
			ctxsleep.Sleep(ctx, rand.N(restoreSpread))
		case <-timer.C:
		}
		timer.Stop()
	}
	return nil
}

// restoreSpread is the time over which the hosts make their first calls to a store that was restored.
const restoreSpread = 300 * time.Millisecond

func (l *Lease) renew(ctx context.Context) error {
	l.renewLock.Lock()
	defer l.renewLock.Unlock()
	l.mu.Lock()
	released := l.released
	l.mu.Unlock()
	if released {
		return &NoLeaseError{}
	}
	version, renewal, err := l.ownVersion(ctx)
	if err != nil {
		return err
	}
	began := l.now()
	stored, err := l.put(ctx, kindLeases, l.holder, version, leaseRecord{Holder: l.holder, Renewal: renewal + 1})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.version = 0 // read it again, as the write may have been stored or another host may have ended the lease
		return err
	}
	era := stored.Version.Era()
	if l.validUntil[era] == 0 {
		l.log.WithFields(logrus.Fields{"event": "lease_won", "holder": l.holder, "version": stored.Version, "era": era}).Info("lease acquired; this host may order engines")
	}
	l.version, l.renewal, l.validUntil[era] = stored.Version, renewal+1, began+leaseTTL
	return nil
}

// ownVersion returns the version of this host's lease in the store and the number of its last renewal. It reads the lease
// if the version is unknown or belongs to an earlier era.
func (l *Lease) ownVersion(ctx context.Context) (version platform.Version, renewal uint64, err error) {
	l.mu.Lock()
	if l.version.Era() != l.eras.Current() {
		l.version = 0
	}
	known := l.version > 0
	l.mu.Unlock()
	if !known {
		err = l.readOwn(ctx)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.version, l.renewal, err
}

// readOwn reads the stored lease of this host after a start or after a write with unknown
// outcome. If another host has declared it ended, this host has lost its engines.
func (l *Lease) readOwn(ctx context.Context) error {
	obj, err := l.store.Get(ctx, kindLeases, l.holder)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return err
	}
	var rec leaseRecord
	if err := json.Unmarshal(obj.Data, &rec); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.renewal = obj.Version, rec.Renewal
	if rec.Ended {
		l.foundEnded = true
	}
	// If it was never valid in this era, the mark comes from the copy, or from a host that waited until the validity
	// of the era before had passed.
	if rec.Ended && l.validUntil[obj.Version.Era()] > 0 {
		l.term++
		clear(l.validUntil)
		l.log.WithFields(logrus.Fields{"event": "lease_lost", "version": obj.Version}).Warn("another host declared the lease ended")
	}
	return nil
}

func (l *Lease) put(ctx context.Context, kind platform.Kind, name string, version platform.Version, value any) (platform.Object, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return platform.Object{}, err
	}
	return l.store.Put(ctx, platform.Object{Kind: kind, Name: name, Version: version, Data: data})
}
