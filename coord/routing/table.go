package routing

import (
	"math/rand/v2"
	"time"
)

// Options configure a Table. The costs are times by which a first token comes
// later.
type Options struct {
	Zone       string        // availability zone of this host
	ZoneCost   time.Duration // another zone
	PrefixGain time.Duration // prompt prefix cached
	StaleAfter time.Duration // age of a report after which a target counts as silent
	Seed       uint64
}

// Defaults for zero options.
const (
	DefaultZoneCost   = 4 * time.Millisecond // two round trips of a millisecond each way
	DefaultPrefixGain = 120 * time.Millisecond
	DefaultStaleAfter = 5 * time.Second
)

const (
	initialHeld    = 2 * time.Second // of a request, until some have ended
	silentCost     = time.Second     // a target whose reports stopped while others report
	suspectCost    = 500 * time.Millisecond
	ejectFailures  = 2 // failures in a row after which a target is ejected
	ejectBase      = time.Second
	ejectLimit     = 30 * time.Second
	othersDamping  = 0.5
	reportWeight   = 0.7
	othersLimit    = 16.0  // load of other hosts for each request of this one
	shareSmoothing = 0.002 // of the reports that the share is worked out from
	heldSmoothing  = 0.05
	firstSmoothing = 0.1
)

// state is what is known of one target.
type state struct {
	Target
	removed   bool
	groups    []membership
	ready     []string
	inflight  int
	history   history
	load      Load
	reported  bool
	first     float64       // seconds to the first token as seen here, smoothed
	failures  int           // in a row
	failed    time.Duration // moment of the last failure
	ejected   time.Duration // end of the ejection
	suspect   time.Duration // avoided until then
	probes    int           // requests under way since the ejection ended
	quota     int           // slots that this host has for itself in a contended pool
	common    int           // slots that any host may use
	eventSeq  uint64
	eventGaps uint32 // gaps in the cache events
}

// membership is the place of a target in a group.
type membership struct {
	group *group
	place int
}

// group holds the targets that can take requests for one model of a pool.
type group struct {
	key   groupKey
	near  []Handle // in this host's zone
	far   []Handle
	fresh time.Duration // moment of the newest report of a member
	held  float64       // seconds a request takes, smoothed
}

type groupKey struct {
	pool  string
	model string
}

// Table is what one host knows of its targets.
type Table struct {
	opts   Options
	rng    *rand.Rand
	states []*state
	byName map[string]Handle
	free   []Handle // of removed targets without requests
	groups map[groupKey]*group
	prefix prefixes

	quotaEnd map[string]time.Duration // by pool
	quotas   map[string][]Handle      // targets with slots for this host, by pool

	reports uint64  // taken over
	ownLoad float64 // smoothed over reports: requests of this host
	allLoad float64 // and of all hosts
	others  float64 // load of other hosts for each request of this one
}

// New returns an empty table.
func New(o Options) *Table {
	if o.ZoneCost == 0 {
		o.ZoneCost = DefaultZoneCost
	}
	if o.PrefixGain == 0 {
		o.PrefixGain = DefaultPrefixGain
	}
	if o.StaleAfter == 0 {
		o.StaleAfter = DefaultStaleAfter
	}
	return &Table{
		opts:   o,
		rng:    rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		byName: map[string]Handle{},
		groups: map[groupKey]*group{},
		prefix: newPrefixes(),

		quotaEnd: map[string]time.Duration{},
		quotas:   map[string][]Handle{},
	}
}

// SetTargets replaces the targets that may take new requests. Targets left out
// get none from now on; what is known of the others is kept. It returns the
// names of those that are new.
func (t *Table) SetTargets(targets []Target) (added []string) {
	wanted := make(map[string]*Target, len(targets))
	for i := range targets {
		wanted[targets[i].Name] = &targets[i]
	}
	for i, s := range t.states {
		h, name := Handle(i), s.Name
		if s.removed {
			continue
		}
		w := wanted[name]
		if w != nil && w.Pool == s.Pool && w.Zone == s.Zone && w.Engine == s.Engine {
			s.Slots = w.Slots
			delete(wanted, name)
			continue
		}
		t.leaveAll(h)
		s.removed = true
		delete(t.byName, name)
		t.reuse(h)
	}
	for i := range targets {
		if wanted[targets[i].Name] == &targets[i] {
			t.add(targets[i])
			added = append(added, targets[i].Name)
		}
	}
	return added
}

func (t *Table) add(target Target) {
	h := t.newHandle(&state{Target: target})
	t.byName[target.Name] = h
	if !target.Engine {
		t.join(h, "")
	}
}

// newHandle puts a state under a free handle or a new one.
func (t *Table) newHandle(s *state) Handle {
	if n := len(t.free); n > 0 {
		h := t.free[n-1]
		t.free = t.free[:n-1]
		// What prefixes know of the handle is of its former target.
		s.eventGaps = t.states[h].eventGaps + forgottenGaps
		t.states[h] = s
		return h
	}
	t.states = append(t.states, s)
	return Handle(len(t.states) - 1)
}

// reuse frees the handle of a removed target that has no requests.
func (t *Table) reuse(h Handle) {
	if s := t.states[h]; s.removed && s.inflight == 0 {
		t.free = append(t.free, h)
	}
}

// ApplyReport takes over a load report of a target. It is ignored for unknown
// targets and if older than the last.
func (t *Table) ApplyReport(name string, l Load) {
	h, ok := t.byName[name]
	if !ok {
		return
	}
	s := t.states[h]
	if s.reported && l.At < s.load.At {
		return
	}
	s.load, s.reported = l, true
	t.learnShare(float64(s.history.at(l.At, s.inflight)), float64(l.Running+l.Waiting))
	if s.Engine && !equal(s.ready, l.Ready) {
		t.setReady(h, l.Ready)
	}
	for _, m := range s.groups {
		m.group.fresh = max(m.group.fresh, l.At)
	}
}

// learnShare keeps the ratio of others' load to this host's.
func (t *Table) learnShare(own, all float64) {
	t.reports++
	part := max(1/float64(t.reports), shareSmoothing)
	t.ownLoad += part * (own - t.ownLoad)
	t.allLoad += part * (all - t.allLoad)
	t.others = 0
	if t.ownLoad > 0 && t.allLoad > t.ownLoad {
		t.others = min(t.allLoad/t.ownLoad-1, othersLimit)
	}
}

func equal(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// setReady moves the target to the groups of the models that are ready on it.
func (t *Table) setReady(h Handle, models []string) {
	t.leaveAll(h)
	for _, model := range models {
		t.join(h, model)
	}
	t.states[h].ready = models
}

func (t *Table) join(h Handle, model string) {
	s := t.states[h]
	key := groupKey{pool: s.Pool, model: model}
	g := t.groups[key]
	if g == nil {
		g = &group{key: key, held: initialHeld.Seconds()}
		t.groups[key] = g
	}
	list := g.list(s.Zone == t.opts.Zone)
	s.groups = append(s.groups, membership{group: g, place: len(*list)})
	*list = append(*list, h)
}

func (g *group) list(near bool) *[]Handle {
	if near {
		return &g.near
	}
	return &g.far
}

func (t *Table) leaveAll(h Handle) {
	s := t.states[h]
	for _, m := range s.groups {
		list := m.group.list(s.Zone == t.opts.Zone)
		last := len(*list) - 1
		moved := (*list)[last]
		(*list)[m.place] = moved
		*list = (*list)[:last]
		t.states[moved].setPlace(m.group, m.place)
		if len(m.group.near)+len(m.group.far) == 0 {
			delete(t.groups, m.group.key)
		}
	}
	s.groups = s.groups[:0]
	s.ready = nil
}

func (s *state) setPlace(g *group, place int) {
	for i := range s.groups {
		if s.groups[i].group == g {
			s.groups[i].place = place
			return
		}
	}
}

// has reports whether the target is in the group.
func (s *state) has(g *group) bool {
	for i := range s.groups {
		if s.groups[i].group == g {
			return true
		}
	}
	return false
}

// Name returns the name of a target, also of a removed one.
func (t *Table) Name(h Handle) string { return t.states[h].Name }

// RecordSent counts a request that is sent to a target.
func (t *Table) RecordSent(now time.Duration, h Handle, q Query) {
	s := t.states[h]
	s.inflight++
	s.history.set(now, s.inflight)
	if s.failures >= ejectFailures {
		s.probes++
	}
	if q.Prefix != 0 {
		t.prefix.store(q.Model, q.Prefix, h, s.eventGaps)
	}
}

// RecordDone counts the end of a request.
func (t *Table) RecordDone(now time.Duration, h Handle, q Query, o Outcome) {
	s := t.states[h]
	s.inflight--
	s.history.set(now, s.inflight)
	s.probes = max(s.probes-1, 0)
	t.reuse(h)
	if o.Canceled {
		return
	}
	if !o.OK {
		s.fail(now)
		return
	}
	s.failures, s.ejected, s.suspect, s.probes = 0, 0, 0, 0
	if o.FirstToken > 0 {
		s.first += firstSmoothing * (o.FirstToken.Seconds() - s.first)
	}
	if g := t.groups[groupKey{pool: s.Pool, model: q.Model}]; g != nil && o.Duration > 0 {
		g.held += heldSmoothing * (o.Duration.Seconds() - g.held)
	}
}

// fail avoids the target for a while after one failure, which may be the
// request's own, and ejects it after more in a row.
func (s *state) fail(now time.Duration) {
	s.failures++
	s.failed = now
	s.suspect = now + ejectBase
	if s.failures < ejectFailures {
		return
	}
	wait := ejectBase << min(s.failures-ejectFailures, 5)
	s.ejected = now + min(wait, ejectLimit)
	s.probes = 0
}
