package quarantine

import (
	"cmp"
	"sort"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// ID names a request: its team and the hash of its content.
type ID struct {
	Team        string `json:"team"`
	Fingerprint string `json:"fingerprint"`
}

// Entry is a request that is or was in quarantine. Of two entries of the same
// ID the one with the larger Sequence is in force.
type Entry struct {
	ID
	Sequence uint64        `json:"sequence"`
	Released bool          `json:"released"`
	Targets  []string      `json:"targets"` // losses of targets while they ran it
	Age      time.Duration `json:"age_ns"`  // since it was put in or released
}

// entry is an Entry with the time it dates from.
type entry struct {
	Entry
	since time.Duration
}

// suspicion is the targets that a request may have crashed.
type suspicion struct {
	targets []string
	since   time.Duration // of the last one
	hold    time.Duration // no dispatch before, as the count is not known
}

// table is the state without I/O. Its size is bounded: the entry or suspicion
// used least recently goes first.
type table struct {
	limits   Limits
	entries  *lru.Cache[ID, *entry]
	suspects *lru.Cache[ID, *suspicion]
}

// Limits bound the quarantine. Zero fields get defaults.
type Limits struct {
	Targets     int           // losses that put a request into quarantine
	Life        time.Duration // time in quarantine
	SuspectLife time.Duration // time for which a lost target is held against a request
	Hold        time.Duration // time without dispatch if no owner answers
	Entries     int           // requests in quarantine or released
	Suspects    int           // requests under suspicion
}

// Default limits.
const (
	DefaultTargets     = 2
	DefaultLife        = 24 * time.Hour
	DefaultSuspectLife = 15 * time.Minute
	DefaultHold        = 10 * time.Second
	DefaultEntries     = 1024
	DefaultSuspects    = 8192
)

func (l *Limits) setDefaults() {
	l.Targets = cmp.Or(l.Targets, DefaultTargets)
	l.Life = cmp.Or(l.Life, DefaultLife)
	l.SuspectLife = cmp.Or(l.SuspectLife, DefaultSuspectLife)
	l.Hold = cmp.Or(l.Hold, DefaultHold)
	l.Entries = cmp.Or(l.Entries, DefaultEntries)
	l.Suspects = cmp.Or(l.Suspects, DefaultSuspects)
}

func newTable(l Limits) (*table, error) {
	l.setDefaults()
	entries, err := lru.New[ID, *entry](l.Entries)
	if err != nil {
		return nil, &OptionsError{Field: "Limits.Entries"}
	}
	suspects, err := lru.New[ID, *suspicion](l.Suspects)
	if err != nil {
		return nil, &OptionsError{Field: "Limits.Suspects"}
	}
	return &table{limits: l, entries: entries, suspects: suspects}, nil
}

// blocked reports whether a request must not be dispatched.
func (t *table) blocked(now time.Duration, id ID) bool {
	if e, ok := t.entries.Get(id); ok && !e.Released && now-e.since < t.limits.Life {
		return true
	}
	s, ok := t.suspects.Get(id)
	return ok && now < s.hold
}

// suspect records targets lost while they ran the request and returns all of
// them. Changed is the new entry if that puts the request into quarantine.
func (t *table) suspect(now time.Duration, id ID, targets []string) (all []string, changed *Entry) {
	s, ok := t.suspects.Get(id)
	if !ok || now-s.since > t.limits.SuspectLife {
		s = &suspicion{}
		t.suspects.Add(id, s)
	}
	for _, target := range targets {
		if !contains(s.targets, target) && len(s.targets) < t.limits.Targets {
			s.targets = append(s.targets, target)
		}
	}
	s.since = now
	if len(s.targets) < t.limits.Targets {
		return s.targets, nil
	}
	if e, ok := t.entries.Get(id); ok && !e.Released && now-e.since < t.limits.Life {
		return s.targets, nil
	}
	e := t.replace(now, id, false, s.targets)
	return s.targets, &e
}

// holdOff keeps a request back while no owner can say how many targets it has
// crashed already.
func (t *table) holdOff(now time.Duration, id ID) {
	if s, ok := t.suspects.Get(id); ok {
		s.hold = now + t.limits.Hold
	}
}

// clear forgets the suspicion against a request that a target ran.
func (t *table) clear(id ID) bool { return t.suspects.Remove(id) }

// release ends the quarantine of a request.
func (t *table) release(now time.Duration, id ID) (Entry, bool) {
	e, ok := t.entries.Get(id)
	if !ok || e.Released {
		return Entry{}, false
	}
	t.suspects.Remove(id)
	return t.replace(now, id, true, e.Targets), true
}

func (t *table) replace(now time.Duration, id ID, released bool, targets []string) Entry {
	var sequence uint64
	if old, ok := t.entries.Get(id); ok {
		sequence = old.Sequence
	}
	e := Entry{ID: id, Sequence: sequence + 1, Released: released, Targets: targets}
	t.entries.Add(id, &entry{Entry: e, since: now})
	return e
}

// merge takes over an entry of another host; it reports whether that was news.
// At equal sequence a quarantine wins over a release, the safer of the two.
func (t *table) merge(now time.Duration, e Entry) bool {
	if e.Age > t.limits.Life {
		return false
	}
	old, ok := t.entries.Get(e.ID)
	if ok && (old.Sequence > e.Sequence || (old.Sequence == e.Sequence && (!old.Released || e.Released))) {
		return false
	}
	t.entries.Add(e.ID, &entry{Entry: e, since: now - e.Age})
	if e.Released {
		t.suspects.Remove(e.ID)
	}
	return true
}

// list returns all entries within their life, sorted.
func (t *table) list(now time.Duration) []Entry {
	out := []Entry{}
	for _, e := range t.entries.Values() {
		age := now - e.since
		if age > t.limits.Life {
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
