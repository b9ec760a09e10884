package routing

import (
	"math/rand/v2"
	"time"
)

// Options configure a Table. Costs and gains are changes of the time to first token.
type Options struct {
	Zone       string        // availability zone of this host
	ZoneCost   time.Duration // cost of a target in another zone
	PrefixGain time.Duration // gain from a cached prompt prefix
	StaleAfter time.Duration // lag behind the newest report after which a target counts as silent
	Seed       uint64
}

// Defaults for options that are zero.
const (
	DefaultZoneCost   = 4 * time.Millisecond // two round trips at one millisecond each way
	DefaultPrefixGain = 120 * time.Millisecond
	DefaultStaleAfter = 5 * time.Second
)

const (
	initialDuration     = 2 * time.Second // initial estimate of the duration of a request
	silentCost          = time.Second     // for a target whose reports stopped while others still report
	avoidCost           = 500 * time.Millisecond
	failuresToEject     = 2 // consecutive failures after which a target is ejected
	minEjection         = time.Second
	maxEjection         = 30 * time.Second
	othersDamping       = 0.5
	reportWeight        = 0.7
	maxOthersRatio      = 16.0  // maximum assumed ratio of other hosts' load to this host's
	loadSmoothing       = 0.002 // smoothing factor of the mean loads over all reports
	durationSmoothing   = 0.05
	firstTokenSmoothing = 0.1
)

// targetState is the state of one target as known to this host.
type targetState struct {
	Target
	removed      bool
	groups       []groupEntry
	ready        []string
	inflight     int
	history      history
	load         Load
	reported     bool
	firstToken   float64       // smoothed time to first token seen by this host, in seconds
	failures     int           // consecutive failures
	lastFailure  time.Duration // time of the last failure
	ejectedUntil time.Duration // time at which the ejection ends
	avoidUntil   time.Duration // time until which avoidCost applies
	probes       int           // probe requests in flight
	// beforeEjection is the number of requests in flight that were sent before the ejection.
	beforeEjection int
	quota          int // slots reserved for this host in a contended pool
	sharedQuota    int // slots that any host may use
	eventSeq       uint64
	eventGaps      uint32 // number of gaps in the sequence of cache events
}

// groupEntry is the index of a target in a list of a group.
type groupEntry struct {
	group *group
	index int
}

// group holds the targets that can serve one model of a pool.
type group struct {
	key          groupKey
	sameZone     []Handle // targets in this host's zone
	otherZone    []Handle
	newestReport time.Duration // time of the newest report from any of the targets
	duration     float64       // smoothed duration of a request, in seconds
}

type groupKey struct {
	pool  string
	model string
}

// Table is one host's view of the targets.
type Table struct {
	opts     Options
	rng      *rand.Rand
	states   []*targetState
	byName   map[string]Handle
	free     []Handle // handles available for reuse
	groups   map[groupKey]*group
	prefixes prefixIndex

	quotaEnd map[string]time.Duration // time at which the quotas end, by pool
	quotas   map[string][]Handle      // targets with a quota, by pool

	reportCount uint64  // number of reports applied
	ownLoad     float64 // smoothed load of a target by this host
	allLoad     float64 // smoothed load of a target by all hosts
	othersRatio float64 // ratio of other hosts' load to this host's
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
		opts:     o,
		rng:      rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		byName:   map[string]Handle{},
		groups:   map[groupKey]*group{},
		prefixes: newPrefixIndex(),

		quotaEnd: map[string]time.Duration{},
		quotas:   map[string][]Handle{},
	}
}

// SetTargets replaces the list of targets that may receive new requests. A target
// missing from the list gets no more requests. The state of a remaining target is
// kept unless its Pool, Zone or Engine field has changed; such a target is replaced
// by a new one. SetTargets returns the names of the added targets, new ones of the
// same name included.
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
		t.leaveGroups(h)
		s.removed = true
		delete(t.byName, name)
		t.releaseHandle(h)
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
	h := t.newHandle(&targetState{Target: target})
	t.byName[target.Name] = h
	if !target.Engine {
		t.addToGroup(h, "")
	}
}

// newHandle stores a state under a free handle, or under a new one if there is none.
func (t *Table) newHandle(s *targetState) Handle {
	if n := len(t.free); n > 0 {
		h := t.free[n-1]
		t.free = t.free[:n-1]
		// Invalidate prefix records left by the previous target of this handle.
		s.eventGaps = t.states[h].eventGaps + maxGaps
		t.states[h] = s
		return h
	}
	t.states = append(t.states, s)
	return Handle(len(t.states) - 1)
}

// releaseHandle makes the handle of a removed target available for reuse once the
// target has no requests in flight.
func (t *Table) releaseHandle(h Handle) {
	if s := t.states[h]; s.removed && s.inflight == 0 {
		t.free = append(t.free, h)
	}
}

// ApplyReport applies a load report. It ignores reports of unknown targets and
// reports older than the last one applied.
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
	t.updateLoadRatio(float64(s.history.at(l.At, s.inflight)), float64(l.Running+l.Waiting))
	if s.Engine && !equal(s.ready, l.Ready) {
		t.setReady(h, l.Ready)
	}
	for _, m := range s.groups {
		m.group.newestReport = max(m.group.newestReport, l.At)
	}
}

// updateLoadRatio updates the mean loads and the ratio of other hosts' load to this
// host's.
func (t *Table) updateLoadRatio(own, all float64) {
	t.reportCount++
	part := max(1/float64(t.reportCount), loadSmoothing)
	t.ownLoad += part * (own - t.ownLoad)
	t.allLoad += part * (all - t.allLoad)
	t.othersRatio = 0
	if t.ownLoad > 0 && t.allLoad > t.ownLoad {
		t.othersRatio = min(t.allLoad/t.ownLoad-1, maxOthersRatio)
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

// setReady moves a target to the groups of its ready models.
func (t *Table) setReady(h Handle, models []string) {
	t.leaveGroups(h)
	for _, model := range models {
		t.addToGroup(h, model)
	}
	t.states[h].ready = models
}

func (t *Table) addToGroup(h Handle, model string) {
	s := t.states[h]
	key := groupKey{pool: s.Pool, model: model}
	g := t.groups[key]
	if g == nil {
		g = &group{key: key, duration: initialDuration.Seconds()}
		t.groups[key] = g
	}
	list := g.zoneList(s.Zone == t.opts.Zone)
	s.groups = append(s.groups, groupEntry{group: g, index: len(*list)})
	*list = append(*list, h)
}

func (g *group) zoneList(same bool) *[]Handle {
	if same {
		return &g.sameZone
	}
	return &g.otherZone
}

func (t *Table) leaveGroups(h Handle) {
	s := t.states[h]
	for _, m := range s.groups {
		list := m.group.zoneList(s.Zone == t.opts.Zone)
		last := len(*list) - 1
		moved := (*list)[last]
		(*list)[m.index] = moved
		*list = (*list)[:last]
		t.states[moved].setIndex(m.group, m.index)
		if len(m.group.sameZone)+len(m.group.otherZone) == 0 {
			delete(t.groups, m.group.key)
		}
	}
	s.groups = s.groups[:0]
	s.ready = nil
}

func (s *targetState) setIndex(g *group, index int) {
	for i := range s.groups {
		if s.groups[i].group == g {
			s.groups[i].index = index
			return
		}
	}
}

// inGroup reports whether the target is in the group.
func (s *targetState) inGroup(g *group) bool {
	for i := range s.groups {
		if s.groups[i].group == g {
			return true
		}
	}
	return false
}

// Name returns the name of a target, which may have been removed.
func (t *Table) Name(h Handle) string { return t.states[h].Name }

// RecordSent records that a request has been sent to a target.
func (t *Table) RecordSent(now time.Duration, h Handle, q Query) {
	s := t.states[h]
	s.inflight++
	s.history.set(now, s.inflight)
	if s.failures >= failuresToEject {
		s.probes++
	}
	if q.Prefix != 0 {
		t.prefixes.store(q.Model, q.Prefix, h, s.eventGaps)
	}
}

// RecordDone records the end of a request.
func (t *Table) RecordDone(now time.Duration, h Handle, q Query, o Outcome) {
	s := t.states[h]
	s.inflight--
	s.history.set(now, s.inflight)
	if s.beforeEjection > 0 {
		s.beforeEjection-- // no probe: those are sent later, and old requests end first or fail with it
	} else {
		s.probes = max(s.probes-1, 0)
	}
	t.releaseHandle(h)
	if o.Canceled {
		return
	}
	if !o.OK {
		s.recordFailure(now)
		return
	}
	s.failures, s.ejectedUntil, s.avoidUntil, s.probes, s.beforeEjection = 0, 0, 0, 0, 0
	if o.FirstToken > 0 {
		s.firstToken += firstTokenSmoothing * (o.FirstToken.Seconds() - s.firstToken)
	}
	if g := t.groups[groupKey{pool: s.Pool, model: q.Model}]; g != nil && o.Duration > 0 {
		g.duration += durationSmoothing * (o.Duration.Seconds() - g.duration)
	}
}

// recordFailure raises the cost of the target for a while after a single failure,
// which the request itself may have caused. It ejects the target after consecutive
// failures, each time for longer.
func (s *targetState) recordFailure(now time.Duration) {
	s.failures++
	s.lastFailure = now
	s.avoidUntil = now + minEjection
	if s.failures < failuresToEject {
		return
	}
	wait := minEjection << min(s.failures-failuresToEject, 5)
	s.ejectedUntil = now + min(wait, maxEjection)
	s.probes, s.beforeEjection = 0, s.inflight
}
