package quarantine

import (
	"cmp"
	"sort"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// ID identifies a request by its team and the hash of its content.
type ID struct {
	Team        string `json:"team"`
	Fingerprint string `json:"fingerprint"`
}

// Entry is a request that is or was in quarantine. Of two entries with the same
// ID, the one with the larger Sequence applies.
type Entry struct {
	ID
	Sequence uint64        `json:"sequence"`
	Released bool          `json:"released"`
	Losses   []string      `json:"targets"` // losses of targets that ran the request, see lossID
	Age      time.Duration `json:"age_ns"`  // time since the request was quarantined or released
}

// storedEntry is an Entry with the time at which it was quarantined or released.
type storedEntry struct {
	Entry
	updatedAt time.Duration
}

// suspect is a request that may have crashed targets.
type suspect struct {
	losses    []string
	lastLoss  time.Duration // time of the last loss
	heldUntil time.Duration // not dispatched before this time, since the owners' count is not known
}

// table holds the entries and suspects of one host. Its size is limited: the
// least recently used entry or suspect is evicted first.
type table struct {
	limits   Limits
	entries  *lru.Cache[ID, *storedEntry]
	suspects *lru.Cache[ID, *suspect]
}

// Limits are the limits of a quarantine. Zero fields get defaults.
type Limits struct {
	Losses     int           // losses after which a request is quarantined
	EntryTTL   time.Duration // time for which an entry is valid
	SuspectTTL time.Duration // time after the last loss for which the losses of a request count
	Hold       time.Duration // time for which a request is not dispatched if no owner replies
	Entries    int           // limit of entries stored
	Suspects   int           // limit of suspects stored
}

// Default limits.
const (
	DefaultLosses     = 2
	DefaultEntryTTL   = 24 * time.Hour
	DefaultSuspectTTL = 15 * time.Minute
	DefaultHold       = 10 * time.Second
	DefaultEntries    = 1024
	DefaultSuspects   = 8192
)

func (l *Limits) setDefaults() {
	l.Losses = cmp.Or(l.Losses, DefaultLosses)
	l.EntryTTL = cmp.Or(l.EntryTTL, DefaultEntryTTL)
	l.SuspectTTL = cmp.Or(l.SuspectTTL, DefaultSuspectTTL)
	l.Hold = cmp.Or(l.Hold, DefaultHold)
	l.Entries = cmp.Or(l.Entries, DefaultEntries)
	l.Suspects = cmp.Or(l.Suspects, DefaultSuspects)
}

func newTable(l Limits) (*table, error) {
	l.setDefaults()
	entries, err := lru.New[ID, *storedEntry](l.Entries)
	if err != nil {
		return nil, &OptionsError{Field: "Limits.Entries"}
	}
	suspects, err := lru.New[ID, *suspect](l.Suspects)
	if err != nil {
		return nil, &OptionsError{Field: "Limits.Suspects"}
	}
	return &table{limits: l, entries: entries, suspects: suspects}, nil
}

// blocked reports whether a request must not be dispatched.
func (t *table) blocked(now time.Duration, id ID) bool {
	if e, ok := t.entries.Get(id); ok && !e.Released && now-e.updatedAt < t.limits.EntryTTL {
		return true
	}
	s, ok := t.suspects.Get(id)
	return ok && now < s.heldUntil
}

// recordLosses adds losses to those of a request and returns all of them. If
// that puts the request into quarantine, changed is its new entry.
func (t *table) recordLosses(now time.Duration, id ID, losses []string) (all []string, changed *Entry) {
	s, ok := t.suspects.Get(id)
	if !ok || now-s.lastLoss > t.limits.SuspectTTL {
		s = &suspect{}
		t.suspects.Add(id, s)
	}
	for _, loss := range losses {
		if !contains(s.losses, loss) && len(s.losses) < t.limits.Losses {
			s.losses = append(s.losses, loss)
		}
	}
	s.lastLoss = now
	if len(s.losses) < t.limits.Losses {
		return s.losses, nil
	}
	if e, ok := t.entries.Get(id); ok && !e.Released && now-e.updatedAt < t.limits.EntryTTL {
		return s.losses, nil
	}
	e := t.replace(now, id, false, s.losses)
	return s.losses, &e
}

// hold blocks a suspect for Limits.Hold, since no owner can tell how many
// targets it has already crashed.
func (t *table) hold(now time.Duration, id ID) {
	if s, ok := t.suspects.Get(id); ok {
		s.heldUntil = now + t.limits.Hold
	}
}

// removeSuspect discards the losses of a request.
func (t *table) removeSuspect(id ID) bool { return t.suspects.Remove(id) }

// release ends the quarantine of a request and reports whether it was in
// quarantine.
func (t *table) release(now time.Duration, id ID) (Entry, bool) {
	e, ok := t.entries.Get(id)
	if !ok || e.Released {
		return Entry{}, false
	}
	t.suspects.Remove(id)
	return t.replace(now, id, true, e.Losses), true
}

func (t *table) replace(now time.Duration, id ID, released bool, losses []string) Entry {
	var sequence uint64
	if old, ok := t.entries.Get(id); ok {
		sequence = old.Sequence
	}
	e := Entry{ID: id, Sequence: sequence + 1, Released: released, Losses: losses}
	t.entries.Add(id, &storedEntry{Entry: e, updatedAt: now})
	return e
}

// merge stores an entry of another host and reports whether it did. It ignores an
// expired entry and one that is no newer than this host's. With equal sequences,
// a quarantine takes precedence over a release, since that is safer.
func (t *table) merge(now time.Duration, e Entry) bool {
	if e.Age > t.limits.EntryTTL {
		return false
	}
	old, ok := t.entries.Get(e.ID)
	if ok && (old.Sequence > e.Sequence || (old.Sequence == e.Sequence && (!old.Released || e.Released))) {
		return false
	}
	t.entries.Add(e.ID, &storedEntry{Entry: e, updatedAt: now - e.Age})
	if e.Released {
		t.suspects.Remove(e.ID)
	}
	return true
}

// list returns the entries that have not expired, sorted by team and
// fingerprint. It removes the others.
func (t *table) list(now time.Duration) []Entry {
	out := []Entry{}
	for _, e := range t.entries.Values() {
		age := now - e.updatedAt
		if age > t.limits.EntryTTL {
			t.entries.Remove(e.ID)
			continue
		}
		listed := e.Entry
		listed.Age = age
		out = append(out, listed)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Team != out[j].Team {
			return out[i].Team < out[j].Team
		}
		return out[i].Fingerprint < out[j].Fingerprint
	})
	return out
}

func contains(list []string, s string) bool {
	for _, each := range list {
		if each == s {
			return true
		}
	}
	return false
}
