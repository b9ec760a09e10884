package evacuation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Times of the simulated fleet.
const (
	tick           = 50 * time.Millisecond
	reportInterval = 400 * time.Millisecond
	silence        = 1200 * time.Millisecond
	strictWait     = 700 * time.Millisecond
	contact        = 4 * time.Second
)

// simHost is a host that has a Core, reports to a coordinator and polls the store.
type simHost struct {
	core        *Core
	id          int
	startedAt   time.Duration
	coordinator int           // -1: none that it hears
	heardAt     time.Duration // from a coordinator
	nextReport  time.Duration
	nextPoll    time.Duration
	group       int  // hosts of different groups do not hear each other
	refused     bool // by the store
	soundSince  time.Duration
	known       map[int]uint64 // at a coordinator: the versions of the lists that hosts have
}

// sim is a fleet with a store.
type sim struct {
	random   *rand.Rand
	now      time.Duration
	era, rev uint64
	zones    map[string]uint64
	history  map[string]time.Duration // zone, when it was last acknowledged; only of those that exist
	removed  map[string]time.Duration
	hosts    []*simHost
	polls    int
	restored time.Duration
}

func (s *sim) version() uint64 { return s.era<<40 + s.rev }

func (s *sim) stored() List {
	l := List{Version: s.version(), Zones: map[string]uint64{}}
	for zone, rev := range s.zones {
		l.Zones[zone] = s.era<<40 + rev
	}
	return l
}

func (s *sim) write(zone string) {
	s.rev++
	s.zones[zone], s.history[zone] = s.rev, s.now
	delete(s.removed, zone)
}

func (s *sim) remove(zone string) {
	s.rev++
	delete(s.zones, zone)
	delete(s.history, zone)
	s.removed[zone] = s.now
}

// reliedOn reports whether another host reports to a host.
func (s *sim) reliedOn(h *simHost) bool {
	return slices.ContainsFunc(s.hosts[h.id+1:], func(other *simHost) bool { return other.coordinator == h.id })
}

// rank returns a host's place among those that report to its coordinator.
func (s *sim) rank(h *simHost) int {
	if h.coordinator < 0 || s.now-h.heardAt > silence || h.coordinator == h.id && !s.reliedOn(h) {
		return FirstPollers
	}
	n := 0
	for _, other := range s.hosts[:h.id] {
		if other.coordinator == h.coordinator {
			n++
		}
	}
	return n
}

func (s *sim) poll(h *simHost) {
	_, known := h.core.List()
	age := s.now - h.core.ConfirmedAt()
	if s.now < h.nextPoll || (h.coordinator != h.id || !s.reliedOn(h)) && known && (age < PollAge(DefaultBound, 0) || age < PollAge(DefaultBound, s.rank(h))) {
		return
	}
	s.polls++
	h.nextPoll = s.now + strictWait
	if h.refused {
		h.nextPoll = s.now + time.Second
		return
	}
	h.core.Merge(s.now, s.stored())
	h.core.Confirm(s.now)
	h.nextReport = min(h.nextReport, s.now) // the others are told at once
}

// report has a host report to the first host that it hears, as coordinators are chosen.
func (s *sim) report(h *simHost) {
	if s.now < h.nextReport {
		return
	}
	h.nextReport = s.now + reportInterval
	to := h
	for _, other := range s.hosts[:h.id] {
		if other.group == h.group {
			to = other
			break
		}
	}
	if h.coordinator != to.id {
		h.coordinator = to.id
		delete(to.known, h.id) // a full report
	}
	h.heardAt = s.now
	if to == h {
		return
	}
	mine, known := h.core.List()
	if known && mine.Version > to.known[h.id] {
		to.core.Merge(s.now, mine)
		to.known[h.id] = mine.Version
	}
	to.core.Confirm(h.core.ConfirmedAt() - 500*time.Millisecond) // time that the report may be under way
	if theirs, ok := to.core.List(); ok {
		if theirs.Version > to.known[h.id] {
			h.core.Merge(s.now, theirs)
			to.known[h.id] = theirs.Version
		}
		h.core.Confirm(to.core.ConfirmedAt())
	}
}

func (s *sim) start(id int) *simHost {
	return &simHost{core: newCore(), id: id, coordinator: -1, startedAt: s.now, soundSince: s.now, known: map[int]uint64{}, nextReport: s.now + time.Duration(s.random.Int64N(int64(reportInterval)))}
}

func newSim(hosts int, seed uint64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 7)), now: time.Hour, era: 1, rev: 100, zones: map[string]uint64{}, history: map[string]time.Duration{}, removed: map[string]time.Duration{}}
	for id := range hosts {
		s.hosts = append(s.hosts, s.start(id))
	}
	return s
}

func (s *sim) restart(h *simHost) {
	fresh := s.start(h.id)
	fresh.group, fresh.refused = h.group, h.refused
	s.hosts[h.id] = fresh
	for _, other := range s.hosts {
		delete(other.known, h.id)
	}
}

// disturb restarts hosts, cuts the fleet in parts, changes the coordinator and has the store refuse hosts.
func (s *sim) disturb() {
	host := s.hosts[s.random.IntN(len(s.hosts))]
	if s.random.IntN(3) == 0 {
		host = s.hosts[0] // the coordinator
	}
	switch s.random.IntN(6) {
	case 0:
		s.restart(host)
	case 1:
		host.group = 1 + host.id // it hears nobody
	case 2:
		for _, other := range s.hosts {
			other.group = s.random.IntN(3)
		}
	case 3:
		for _, other := range s.hosts {
			other.group = 0
		}
	case 4:
		host.refused = true
	case 5:
		for _, other := range s.hosts {
			if other.refused {
				other.refused, other.soundSince = false, s.now
			}
		}
	}
}

// operate writes and removes evacuations.
func (s *sim) operate() {
	zone := fmt.Sprint("evacuated-", s.random.IntN(3))
	_, there := s.zones[zone]
	switch n := s.random.IntN(60); {
	case n < 6 && !there:
		s.write(zone)
	case n < 10 && there && s.now-s.history[zone] > 12*time.Second:
		s.remove(zone)
	case n < 12:
		s.rev++ // an object of another kind
	}
}

// check fails if a host sends to a zone that it must have stopped sending to, or withholds targets of another zone.
func (s *sim) check(t *testing.T, label string) {
	for _, h := range s.hosts {
		h.core.Step(s.now)
		if h.core.Evacuated("served") {
			t.Fatalf("%s: host %d sends nothing to a zone that was never evacuated", label, h.id)
		}
		if _, known := h.core.List(); !known || h.refused {
			continue // one that has just started sends nothing
		}
		sound := max(h.soundSince, h.startedAt) + contact
		for zone, at := range s.history {
			if s.now > max(at, sound)+DefaultBound && !h.core.Evacuated(zone) {
				t.Fatalf("%s: host %d sends to %s %v after its evacuation", label, h.id, zone, s.now-at)
			}
		}
		for zone, at := range s.removed {
			if s.now > max(at, sound)+DefaultBound && h.core.Evacuated(zone) {
				t.Fatalf("%s: host %d sends nothing to %s %v after the end of its evacuation", label, h.id, zone, s.now-at)
			}
		}
	}
}

// TestEvacuationsOfAFleet guards against requests in evacuated zones over cuts, restarts, changes of the coordinator, a store that
// refuses hosts, and hosts that hear nobody. A zone that is never evacuated must be served all the time, and one whose
// evacuation has ended again within the bound.
func TestEvacuationsOfAFleet(t *testing.T) {
	for _, hosts := range []int{8, 70, 295} {
		for seed := range uint64(max(2, 160/hosts)) {
			s := newSim(hosts, seed)
			for end := s.now + 2*time.Minute; s.now < end; s.now += tick {
				s.operate()
				if s.random.IntN(30) == 0 {
					s.disturb()
				}
				for _, h := range s.hosts {
					s.poll(h)
					s.report(h)
				}
				s.check(t, fmt.Sprintf("%d hosts, seed %d", hosts, seed))
			}
		}
	}
}

// TestRestoreOfAFleetsStore guards against a restore that opens an evacuated zone or closes one whose evacuation was removed, while
// hosts restart, change coordinators and poll for themselves. The operator repeats what was lost two seconds later.
func TestRestoreOfAFleetsStore(t *testing.T) {
	for _, hosts := range []int{8, 70, 295} {
		for seed := range uint64(max(2, 200/hosts)) {
			s := newSim(hosts, seed)
			s.write("old")
			step := func(d time.Duration, still, sent string, disturb bool) {
				for end := s.now + d; s.now < end; s.now += tick {
					if disturb && s.random.IntN(20) == 0 {
						h := s.hosts[s.random.IntN(len(s.hosts))]
						h.refused, h.soundSince = !h.refused, s.now // in turns, so that the coordinator changes its source
						s.hosts[0].group = s.random.IntN(2)         // it is cut off from the others and comes back
						if s.random.IntN(2) == 0 {
							s.restart(s.hosts[s.random.IntN(hosts)])
						}
					}
					for _, h := range s.hosts {
						s.poll(h)
						s.report(h)
						h.core.Step(s.now)
						if _, known := h.core.List(); !known {
							continue
						}
						if h.startedAt > s.restored && s.now < s.restored+2*time.Second+DefaultBound {
							continue // it knows the copy only, until it hears what the operator repeated
						}
						if still != "" && !h.core.Evacuated(still) || sent != "" && h.core.Evacuated(sent) {
							t.Fatalf("%d hosts, seed %d: host %d has %v evacuated %v after the restore", hosts, seed, h.id, h.core.Zones(), s.now-s.restored)
						}
					}
				}
			}
			step(6*time.Second, "", "", false)
			objects, rev := maps.Clone(s.zones), s.rev
			s.remove("old")
			s.write("new")
			step(6*time.Second, "", "", false)
			s.era, s.rev, s.zones, s.restored = s.era+1, rev, objects, s.now // "old" is back and "new" is gone
			step(2*time.Second, "new", "old", true)
			s.remove("old")
			s.write("new")
			step(6*time.Second, "new", "old", true)
		}
	}
}

// TestPollsDoNotGrowWithTheFleet guards against all hosts polling when the store refuses the coordinator alone. The control is
// that all of them learn of an evacuation in time, also if it refuses all hosts that would poll first.
func TestPollsDoNotGrowWithTheFleet(t *testing.T) {
	for _, hosts := range []int{8, 70, 295} {
		for _, refused := range []int{0, 1, FirstPollers} {
			s := newSim(hosts, 1)
			run := func(d time.Duration) {
				for end := s.now + d; s.now < end; s.now += tick {
					for _, h := range s.hosts {
						s.poll(h)
						s.report(h)
					}
				}
			}
			run(3 * time.Second)
			for _, h := range s.hosts[:refused] {
				h.refused = true
			}
			run(4 * time.Second)
			s.polls = 0
			run(20 * time.Second)
			perSecond := float64(s.polls) / 20
			t.Logf("%d hosts, %d refused: %.2f polls a second", hosts, refused, perSecond)
			if refused <= 1 && perSecond > 4 {
				t.Errorf("%d hosts, %d refused: %.2f polls a second, want 4 at most", hosts, refused, perSecond)
			}
			s.write("z")
			run(DefaultBound)
			for _, h := range s.hosts {
				if !h.core.Evacuated("z") {
					t.Errorf("%d hosts, %d refused: host %d sends on", hosts, refused, h.id)
				}
			}
		}
	}
}
