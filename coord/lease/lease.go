// Package lease is the core of one lease kept in a store with conditional
// updates. It does no input or output and reads no clock: the caller passes
// monotonic time of its own process and carries out the writes it is asked for.
//
// A lease tells one process at a time to do a piece of work. The epoch rises
// with each change of holder and serves as fencing number. A holder trusts its
// lease until TTL minus Guard after the start of its last successful write; a
// rival takes over only after it has seen the same stored version for TTL plus
// Guard on its own clock. No two clocks are compared, only their rates: the
// guard covers a difference of rate of 2*Guard/TTL. A holder that was paused
// must ask Held again before it acts; between that check and the act nothing
// but a fence at the receiver protects it, so what must never happen twice
// should rest on a conditional update and not on the lease alone.
package lease

import "time"

// Record is the stored value.
type Record struct {
	Holder string `json:"holder"` // unique id of one run of a process, empty if released
	Epoch  uint64 `json:"epoch"`  // rises by one with each change of holder
}

// Config sets the times of a lease.
type Config struct {
	Holder        string        // unique id of this run of the process
	TTL           time.Duration // life of the lease after a renewal
	DriftMargin   time.Duration // margin for clocks of different rate, less than TTL/2
	RenewInterval time.Duration // time between renewals, less than TTL-Guard
}

// Outcome says how a write ended.
type Outcome int

// The outcomes of a write.
const (
	Written  Outcome = iota // took effect
	Conflict                // precondition failed, certainly no effect
	Failed                  // certainly no effect
	Unknown                 // may have taken effect
)

// Write is a conditional update to carry out.
type Write struct {
	Record  Record
	Version uint64 // precondition, 0 if the object must not exist
}

// Lease is the state of one process towards one lease.
type Lease struct {
	cfg Config

	known   bool
	rec     Record
	version uint64
	seenAt  time.Duration // start of the first read that returned version

	writing bool
	began   time.Duration
	pending Record

	holds   bool
	until   time.Duration // trusted until
	renewAt time.Duration
	epoch   uint64
}

// New returns a lease that is not held.
func New(cfg Config) *Lease { return &Lease{cfg: cfg} }

// Observe takes in a read of the object that began at the given time. A
// missing object has version 0.
func (l *Lease) Observe(began time.Duration, rec Record, version uint64) {
	if l.known && version < l.version {
		return // an older read that was overtaken
	}
	if !l.known || version > l.version {
		l.seenAt = began
	}
	l.known = true
	l.rec = rec
	l.version = version
	if l.holds && (rec.Holder != l.cfg.Holder || rec.Epoch != l.epoch) {
		l.holds = false
	}
}

// ExpireOther tells that the holder seen last is known to be gone, so that its
// lease need not run out. Only for work whose safety rests on more than the
// lease: the holder may be alive beyond a partition.
func (l *Lease) ExpireOther() {
	if l.known && l.rec.Holder != l.cfg.Holder {
		l.seenAt = -l.cfg.TTL - l.cfg.DriftMargin
	}
}

// NeedsRead reports whether the object must be read before anything else: it
// was never read, or the outcome of a write is unknown.
func (l *Lease) NeedsRead() bool { return !l.known }

// Next returns the write that is due, if any. The caller reports its end with
// Finish before it asks again.
func (l *Lease) Next(now time.Duration) (Write, bool) {
	if l.writing || !l.known {
		return Write{}, false
	}
	if l.rec.Holder == l.cfg.Holder {
		// Renewal of an own record, also of one whose write was answered
		// as unknown and then read back.
		if l.holds && now < l.renewAt {
			return Write{}, false
		}
		return l.begin(now, l.rec)
	}
	if l.rec.Holder != "" && now < l.seenAt+l.cfg.TTL+l.cfg.DriftMargin {
		return Write{}, false
	}
	return l.begin(now, Record{Holder: l.cfg.Holder, Epoch: l.rec.Epoch + 1})
}

// Release returns the write that gives the lease up, so that a rival need not
// wait. From here on Held is false.
func (l *Lease) Release(now time.Duration) (Write, bool) {
	held := l.holds
	l.holds = false
	if !held || l.writing {
		return Write{}, false
	}
	return l.begin(now, Record{Epoch: l.rec.Epoch})
}

func (l *Lease) begin(now time.Duration, rec Record) (Write, bool) {
	l.writing = true
	l.began = now
	l.pending = rec
	return Write{Record: rec, Version: l.version}, true
}

// Finish takes in the end of the write returned last. Version is the new
// version after Written.
func (l *Lease) Finish(o Outcome, version uint64) {
	l.writing = false
	switch o {
	case Written:
		l.rec = l.pending
		l.version = version
		l.seenAt = l.began
		l.accept()
	case Conflict:
		l.holds = false
		l.known = false
	case Unknown:
		l.known = false
	}
}

// accept counts the life of the lease from the start of the write: the store
// cannot have applied it earlier.
func (l *Lease) accept() {
	l.holds = l.pending.Holder == l.cfg.Holder
	l.epoch = l.pending.Epoch
	l.until = l.began + l.cfg.TTL - l.cfg.DriftMargin
	l.renewAt = l.began + l.cfg.RenewInterval
}

// Held returns the epoch while the lease is held. Ask again after every wait.
func (l *Lease) Held(now time.Duration) (epoch uint64, ok bool) {
	if !l.holds || now >= l.until {
		return 0, false
	}
	return l.epoch, true
}

// Holder returns the holder seen last, empty if unknown or released.
func (l *Lease) Holder() string { return l.rec.Holder }
