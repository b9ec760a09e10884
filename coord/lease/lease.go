// Package lease implements the state machine of a lease kept in a store with
// conditional updates. It does no input or output and reads no clock: the caller
// passes its own monotonic time and carries out the writes it is asked for.
//
// A lease assigns a piece of work to one process at a time. The epoch rises with
// each change of holder and serves as the fencing token. A holder considers its
// lease valid until TTL minus DriftMargin after the start of its last successful
// write. A rival takes over only after it has seen the same stored version for
// TTL plus DriftMargin on its own clock. Clock readings of two processes are never
// compared, so only their rates matter: the margin covers rates that differ by up
// to 2*DriftMargin/TTL.
//
// A holder that was paused must call Held again before it acts. Between that call
// and the action only a fence at the receiver protects it, so anything that must
// never happen twice should rest on a conditional update and not on the lease alone.
package lease

import "time"

// Record is the stored value.
type Record struct {
	Holder string `json:"holder"` // unique id of one run of a process, empty if released
	Epoch  uint64 `json:"epoch"`  // rises by one with each change of holder
}

// Config configures a lease.
type Config struct {
	Holder        string        // unique id of this run of the process
	TTL           time.Duration // validity of the lease after a renewal
	DriftMargin   time.Duration // allows for clocks of different rate, less than TTL/2
	RenewInterval time.Duration // time between renewals, less than TTL-DriftMargin
}

// Outcome says how a write ended.
type Outcome int

// The outcomes of a write.
const (
	Written  Outcome = iota // took effect
	Conflict                // precondition failed, had no effect
	Failed                  // had no effect
	Unknown                 // may have taken effect
)

// Write is a conditional update to carry out.
type Write struct {
	Record  Record
	Version uint64 // expected stored version, 0 if the object must not exist
}

// Lease is one process's view of a lease. It is not safe for concurrent use.
type Lease struct {
	cfg Config

	known         bool
	rec           Record
	version       uint64
	versionSeenAt time.Duration // start of the first read that returned version, or of the write that stored it

	writing    bool
	writeStart time.Duration
	pending    Record

	held       bool
	validUntil time.Duration // by this process's clock
	renewAt    time.Duration
	epoch      uint64
}

// New returns a lease that is not held.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

// Observe records the result of a read of the object that began at the given
// time. A missing object has version 0.
func (l *Lease) Observe(began time.Duration, rec Record, version uint64) {
	if l.known && version < l.version {
		return // this read was overtaken by a newer one
	}
	if !l.known || version > l.version {
		l.versionSeenAt = began
	}
	l.known = true
	l.rec = rec
	l.version = version
	if l.held && (rec.Holder != l.cfg.Holder || rec.Epoch != l.epoch) {
		l.held = false
	}
}

// ExpireOther treats the lease as expired if another process holds it. Call it
// when that process is believed to be gone, and only for work whose safety does not
// depend on the lease alone: the holder may still be alive behind a network partition.
func (l *Lease) ExpireOther() {
	if l.known && l.rec.Holder != l.cfg.Holder {
		l.versionSeenAt = -l.cfg.TTL - l.cfg.DriftMargin
	}
}

// NeedsRead reports whether the object must be read first: it was never read, or
// the last write met a conflict or had an unknown outcome.
func (l *Lease) NeedsRead() bool { return !l.known }

// Next returns the write that is due, if any. The caller must report its outcome
// with Finish before another write is returned.
func (l *Lease) Next(now time.Duration) (Write, bool) {
	if l.writing || !l.known {
		return Write{}, false
	}
	if l.rec.Holder == l.cfg.Holder {
		// Renew the process's own record. If a write had an unknown outcome and
		// a read then showed that it took effect, renew at once.
		if l.held && now < l.renewAt {
			return Write{}, false
		}
		return l.startWrite(now, l.rec)
	}
	if l.rec.Holder != "" && now < l.versionSeenAt+l.cfg.TTL+l.cfg.DriftMargin {
		return Write{}, false
	}
	return l.startWrite(now, Record{Holder: l.cfg.Holder, Epoch: l.rec.Epoch + 1})
}

// Release returns the write that gives up the lease, so that a rival need not wait
// for it to expire. Held reports false from this call on, whatever the outcome of
// the write. There is no write if the lease is not held or a write is in progress.
func (l *Lease) Release(now time.Duration) (Write, bool) {
	held := l.held
	l.held = false
	if !held || l.writing {
		return Write{}, false
	}
	return l.startWrite(now, Record{Epoch: l.rec.Epoch})
}

func (l *Lease) startWrite(now time.Duration, rec Record) (Write, bool) {
	l.writing = true
	l.writeStart = now
	l.pending = rec
	return Write{Record: rec, Version: l.version}, true
}

// Finish records the outcome of the write returned last. Version is the new
// stored version if the outcome is Written.
func (l *Lease) Finish(o Outcome, version uint64) {
	l.writing = false
	switch o {
	case Written:
		l.rec = l.pending
		l.version = version
		l.versionSeenAt = l.writeStart
		l.applyWritten()
	case Conflict:
		l.held = false
		l.known = false
	case Unknown:
		l.known = false
	}
}

// applyWritten updates the lease after a successful write. Validity counts from the
// start of the write, because the store cannot have applied it earlier.
func (l *Lease) applyWritten() {
	l.held = l.pending.Holder == l.cfg.Holder
	l.epoch = l.pending.Epoch
	l.validUntil = l.writeStart + l.cfg.TTL - l.cfg.DriftMargin
	l.renewAt = l.writeStart + l.cfg.RenewInterval
}

// Held reports whether the lease is held, and its epoch. Call it again after every
// wait.
func (l *Lease) Held(now time.Duration) (epoch uint64, ok bool) {
	if !l.held || now >= l.validUntil {
		return 0, false
	}
	return l.epoch, true
}

// Holder returns the holder last seen in the store, empty if unknown or released.
func (l *Lease) Holder() string { return l.rec.Holder }
