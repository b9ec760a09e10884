package steer

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/platform"
)

// The kinds of objects that ownership rests on.
const (
	kindLeases platform.Kind = "seam-leases" // an object a host
	kindOwners platform.Kind = "seam-owners" // an object an engine
)

// Times of a host's lease. A host orders engines until leaseTTL after the start
// of its last renewal; another one declares the lease ended only after it saw
// no renewal for leaseTTL and leaseGuard.
const (
	leaseTTL   = 6 * time.Second        // outlasts the usual outages of the store, 4 to 5 s
	leaseGuard = 500 * time.Millisecond // clocks that differ in rate by a twelfth
	leaseRenew = 2 * time.Second        // two renewals may fail
)

// Store is the part of the platform's store that ownership needs.
type Store interface {
	Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error)
	Put(ctx context.Context, obj platform.Object) (platform.Object, error)
}

type leaseRecord struct {
	Holder  string `json:"holder"`
	Ended   bool   `json:"ended"` // declared ended by another host, or given up
	Renewal uint64 `json:"renewal"`
}

type ownerRecord struct {
	Holder string `json:"holder"`
}

// Lease is the right of this host to order engines, and the record of which it
// owns.
type Lease struct {
	holder string
	store  Store
	now    func() time.Duration
	log    logrus.FieldLogger

	turn    sync.Mutex // held during a renewal
	mu      sync.Mutex
	needed  bool
	left    bool             // it was given up for good
	version platform.Version // of the own lease object; 0: not known
	renewal uint64
	until   time.Duration       // orders are allowed until then
	term    uint64              // rises when the lease was lost
	seen    map[string]sighting // leases of other hosts
	owners  map[string]reading  // of engines that other hosts own
}

// sighting is the first time that a version of another host's lease was read.
type sighting struct {
	version platform.Version
	at      time.Duration
	readAt  time.Duration // when it was last read
}

// reading is the holder of an engine as last read.
type reading struct {
	holder string
	at     time.Duration
}

// claimMemory is how long what was read for a claim answers the next ones: claims
// come every second for each engine of a host that is gone.
const claimMemory = 2 * time.Second

// NewLease returns a lease that is not held. Holder identifies the machine: a
// process that starts again on it goes on with its engines.
func NewLease(holder string, store Store, now func() time.Duration, log logrus.FieldLogger) *Lease {
	return &Lease{holder: holder, store: store, now: now, log: log, seen: map[string]sighting{}, owners: map[string]reading{}}
}

// Held reports whether this host may order engines now. Ask right before each
// order: the host may have been suspended since.
func (l *Lease) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now() < l.until
}

// Term rises each time the lease was lost; what was owned before is not any
// more.
func (l *Lease) Term() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term
}

// Need makes sure that the lease is held and renewed from now on.
func (l *Lease) Need(ctx context.Context) error {
	l.mu.Lock()
	l.needed = !l.left
	left := l.left
	l.mu.Unlock()
	if left {
		return &NoLeaseError{}
	}
	if l.Held() {
		return nil
	}
	return l.renew(ctx)
}

// Release gives the lease up for good, so that others need not wait for its end.
// No order may be under way. It fails if the store did not confirm it; the lease
// then ends by itself.
func (l *Lease) Release(ctx context.Context) error {
	l.turn.Lock()
	defer l.turn.Unlock()
	l.mu.Lock()
	version, renewal := l.version, l.renewal
	l.left, l.needed, l.until = true, false, 0 // before the write: nothing is ordered once others may
	l.term++
	l.mu.Unlock()
	if version == 0 {
		return nil
	}
	_, err := l.put(ctx, kindLeases, l.holder, version, leaseRecord{Holder: l.holder, Ended: true, Renewal: renewal + 1})
	return err
}

// Run renews the lease, once it is needed, until ctx ends.
func (l *Lease) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := leaseRenew
		l.mu.Lock()
		needed := l.needed
		l.mu.Unlock()
		if !needed {
			pause = leaseRenew / 5
		} else if err := l.renew(ctx); err != nil {
			l.log.WithFields(logrus.Fields{"event": "lease_not_renewed"}).Warn(err.Error())
			pause = leaseRenew / 5
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
	}
	return nil
}

func (l *Lease) renew(ctx context.Context) error {
	l.turn.Lock()
	defer l.turn.Unlock()
	l.mu.Lock()
	version, renewal, left := l.version, l.renewal, l.left
	l.mu.Unlock()
	if left {
		return &NoLeaseError{}
	}
	if version == 0 {
		if err := l.read(ctx); err != nil {
			return err
		}
		l.mu.Lock()
		version, renewal = l.version, l.renewal
		l.mu.Unlock()
	}
	began := l.now()
	stored, err := l.put(ctx, kindLeases, l.holder, version, leaseRecord{Holder: l.holder, Renewal: renewal + 1})
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.version = 0 // read it again: the write may have been stored, or another host ended the lease
		return err
	}
	if l.until == 0 {
		l.log.WithFields(logrus.Fields{"event": "lease_won", "holder": l.holder, "version": stored.Version}).Info("engines may be ordered")
	}
	l.version, l.renewal, l.until = stored.Version, renewal+1, began+leaseTTL
	return nil
}

// read takes in the stored lease of this host, after a start or a write without
// answer. A lease that was declared ended has lost its engines.
func (l *Lease) read(ctx context.Context) error {
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
		l.term++
		l.until = 0
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

// OwnedElsewhereError reports an engine whose owner may still order it.
type OwnedElsewhereError struct {
	Engine string
	Holder string
}

func (e *OwnedElsewhereError) Error() string {
	return "engine " + e.Engine + " is owned by " + e.Holder
}

// Claim makes this host the owner of an engine. It returns the fence, and
// whether another host may have ordered the engine before. It fails with
// *OwnedElsewhereError while another owner's lease has not ended; call again
// later.
func (l *Lease) Claim(ctx context.Context, engine string) (fence uint64, taken bool, err error) {
	if holder, ok := l.elsewhere(engine); ok {
		return 0, false, &OwnedElsewhereError{Engine: engine, Holder: holder}
	}
	obj, err := l.store.Get(ctx, kindOwners, engine)
	var missing *platform.NotFoundError
	var rec ownerRecord
	switch {
	case errors.As(err, &missing):
	case err != nil:
		return 0, false, err
	default:
		if err := json.Unmarshal(obj.Data, &rec); err != nil {
			return 0, false, err
		}
	}
	if rec.Holder == l.holder {
		return uint64(obj.Version), false, nil
	}
	if rec.Holder != "" {
		l.mu.Lock()
		l.owners[engine] = reading{rec.Holder, l.now()}
		l.mu.Unlock()
		if err := l.end(ctx, rec.Holder); err != nil {
			return 0, false, err
		}
	}
	stored, err := l.put(ctx, kindOwners, engine, obj.Version, ownerRecord{Holder: l.holder})
	if err != nil {
		return 0, false, err
	}
	return uint64(stored.Version), rec.Holder != "", nil
}

// elsewhere returns the holder of an engine whose lease can't have ended yet, as
// far as was read a moment ago.
func (l *Lease) elsewhere(engine string) (holder string, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, known := l.owners[engine]
	return r.holder, known && l.now() < r.at+claimMemory && l.holdsOn(r.holder)
}

// holdsOn reports whether a host's lease can't have ended yet, as far as was
// read a moment ago. Call with l.mu held.
func (l *Lease) holdsOn(holder string) bool {
	s, seen := l.seen[holder]
	now := l.now()
	return seen && now < s.readAt+claimMemory && now < s.at+leaseTTL+leaseGuard
}

// end makes sure that another host's lease has ended for good. It writes the
// end into the lease at the version that went without renewal: the holder's
// next renewal then fails, so that it can't come back to what is taken.
func (l *Lease) end(ctx context.Context, holder string) error {
	l.mu.Lock()
	holdsOn := l.holdsOn(holder)
	l.mu.Unlock()
	if holdsOn {
		return &OwnedElsewhereError{Holder: holder}
	}
	obj, err := l.store.Get(ctx, kindLeases, holder)
	if err != nil {
		var missing *platform.NotFoundError
		if errors.As(err, &missing) {
			return nil
		}
		return err
	}
	var rec leaseRecord
	if err := json.Unmarshal(obj.Data, &rec); err != nil {
		return err
	}
	if rec.Ended {
		return nil
	}
	now := l.now()
	l.mu.Lock()
	s, ok := l.seen[holder]
	if !ok || s.version != obj.Version {
		s = sighting{version: obj.Version, at: now}
	}
	s.readAt = now
	l.seen[holder] = s
	l.mu.Unlock()
	if now < s.at+leaseTTL+leaseGuard {
		return &OwnedElsewhereError{Holder: holder}
	}
	rec.Ended = true
	_, err = l.put(ctx, kindLeases, holder, obj.Version, rec)
	if err == nil {
		l.log.WithFields(logrus.Fields{"event": "lease_ended", "holder": holder, "version": obj.Version, "silent_ms": (now - s.at).Milliseconds()}).Warn("host renewed its lease no more")
	}
	return err
}
