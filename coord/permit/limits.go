package permit

import "time"

// Times of limits.
const (
	reorderTime     = 200 * time.Millisecond // responses of different connections may overtake each other by so much
	refreshInterval = 400 * time.Millisecond // in which other hosts are told that a target still names its limit
	staleAfter      = 2 * time.Second        // without a response, a target may no longer be in need; longer than news take to all hosts
	memory          = 10 * time.Minute       // without a response
	maxTargets      = 8192
)

// Limits holds the limits that targets name. It is not safe for concurrent use.
type Limits struct {
	known   map[string]*limit // by target
	version uint64            // from 1; increases with each change that others are told of
	changes []Change
}

// limit of a target.
type limit struct {
	rate            float64       // requests a second; 0: the target names no limit any more
	at              time.Duration // of the last response
	told            time.Duration // value of at when version last changed
	fromCoordinator bool          // learned from the coordinating host
	version         uint64
}

// Change is a limit that is new, differs or has ended.
type Change struct {
	Target string
	Rate   float64 // 0: it has ended
}

// NewLimits returns empty Limits.
func NewLimits() *Limits { return &Limits{known: map[string]*limit{}, version: 1} }

// TakeChanges returns the changes since the last call.
func (l *Limits) TakeChanges() []Change {
	out := l.changes
	l.changes = nil
	return out
}

// Observe records a response of a target that names a limit in requests a second, or none (0). The name of
// the target must be unique to one start of it.
func (l *Limits) Observe(now time.Duration, target string, rate float64) {
	l.set(now, target, rate, false)
}

func (l *Limits) set(at time.Duration, target string, rate float64, fromCoordinator bool) {
	k := l.known[target]
	switch {
	case k == nil && (rate == 0 || len(l.known) >= maxTargets):
		return
	case k == nil:
		k = &limit{}
		l.known[target] = k
	case at < k.at || rate == 0 && k.rate > 0 && at < k.at+reorderTime:
		return
	}
	if rate != k.rate {
		l.changes = append(l.changes, Change{Target: target, Rate: rate})
	}
	if rate != k.rate || at >= k.told+refreshInterval {
		l.version++
		k.told, k.fromCoordinator, k.version = at, fromCoordinator, l.version
	}
	k.rate, k.at = rate, at
}

// Any reports whether any target has named a limit lately.
func (l *Limits) Any() bool { return len(l.known) > 0 }

// Rate returns the limit of a target in requests a second; 0: it names none. A limit is stale if no
// response has confirmed it lately.
func (l *Limits) Rate(now time.Duration, target string) (rate float64, stale bool) {
	k := l.known[target]
	if k == nil {
		return 0, false
	}
	return k.rate, now-k.at >= staleAfter
}

// Expire forgets targets that have not responded for long.
func (l *Limits) Expire(now time.Duration) {
	for target, k := range l.known {
		if now-k.at > memory {
			delete(l.known, target)
		}
	}
}

// Record is what one host tells another one of a limit.
type Record struct {
	Target string  `json:"t"`
	Rate   float64 `json:"r,omitempty"`
	AgeMS  int64   `json:"a"` // time since the response, in ms
}

// Direction tells which way records go.
type Direction int

// The directions.
const (
	ToCoordinator Direction = iota // what this host learned from it is left out
	ToHost
)

// Changes returns the records that a receiver has not been sent, which has all up to the version sent, and
// the version that it has with them. To a receiver that has none, 0, it returns all.
func (l *Limits) Changes(now time.Duration, sent uint64, to Direction) (records []Record, version uint64) {
	if sent > 0 && sent >= l.version {
		return nil, sent
	}
	for target, k := range l.known {
		if k.version > sent && (!k.fromCoordinator || to == ToHost || sent == 0) {
			records = append(records, Record{target, k.rate, (now - k.at).Milliseconds()})
		}
	}
	return records, l.version
}

// Merge adds the records of another host.
func (l *Limits) Merge(now time.Duration, records []Record, fromCoordinator bool) {
	for _, r := range records {
		l.set(now-time.Duration(r.AgeMS)*time.Millisecond, r.Target, max(0, r.Rate), fromCoordinator)
	}
}
