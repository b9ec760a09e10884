package permit

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Bounds and times of the simulated hosts.
const (
	coldTestRate  = 20.0
	simStep       = 10 * time.Millisecond
	simReport     = 400 * time.Millisecond
	simReportFail = 350 * time.Millisecond // until a host reports elsewhere
	simDelay      = 90 * time.Millisecond  // from the use of a permit until the request reaches the target
)

// simHost is a host that reports to the first host of its group, and its issuer.
type simHost struct {
	name       string
	group      int
	up         bool
	to         int // host that it reports to; -1: none
	nextAt     time.Duration
	issuer     *Issuer
	members    *Members
	share      float64
	askAfter   time.Duration
	shareSince time.Duration
	listedAt   time.Duration
}

// coldSim is a set of hosts that all want to send to one cold target.
type coldSim struct {
	now      time.Duration
	random   *rand.Rand
	hosts    []*simHost
	listed   map[string]bool
	bounds   ColdBounds
	arrivals []time.Duration
	excess   string // sums that were above what the bound allows; empty: none
}

// checkSums checks what the bound follows from: the parts of all issuers sum to the whole at most, and their buckets to the burst.
func (s *coldSim) checkSums() {
	share, tokens := 0.0, 0.0
	for _, h := range s.hosts {
		if !h.up {
			continue
		}
		share += h.share
		if b := h.issuer.buckets["e"]; b != nil {
			tokens += b.tokens
		}
	}
	if burst := s.bounds.Limit(coldTestRate, 1).Burst; share > 1+1e-9 || tokens > burst+1e-9 {
		s.excess = fmt.Sprintf("parts sum to %.3f, buckets to %.1f of %.1f", share, tokens, burst)
	}
}

func newColdSim(hosts int, seed uint64) *coldSim {
	s := &coldSim{now: start, random: rand.New(rand.NewPCG(seed, 7)), listed: map[string]bool{}, bounds: defaultColdBounds}
	for i := range hosts {
		s.hosts = append(s.hosts, &simHost{name: fmt.Sprint(i)})
		s.listed[fmt.Sprint(i)] = true
		s.startHost(i)
	}
	return s
}

func (s *coldSim) startHost(i int) {
	h := s.hosts[i]
	h.up, h.to, h.nextAt, h.issuer, h.members, h.share, h.shareSince = true, -1, s.now+time.Duration(s.random.Int64N(int64(simReport))), NewIssuer(), NewMembers(s.now), 0, 0
}

// coordinatorOf returns the first host that runs of a host's group.
func (s *coldSim) coordinatorOf(h *simHost) int {
	return slices.IndexFunc(s.hosts, func(o *simHost) bool { return o.up && o.group == h.group })
}

// report has a host report, or notice that its coordinator is out of reach.
func (s *coldSim) report(h *simHost) {
	to := s.coordinatorOf(h)
	if h.to != to && h.to >= 0 {
		h.to, h.nextAt = -1, s.now+simReportFail
		return
	}
	first := h.to != to
	h.to = to
	s.hosts[to].members.Report(s.now, h.name, first)
	h.nextAt = s.now + simReport
}

// ask has a host ask for a permit. If it gets one, the request reaches the target at once or as late as it may.
func (s *coldSim) ask(h *simHost) {
	if h.to < 0 || s.coordinatorOf(h) != h.to {
		return
	}
	c := s.hosts[h.to]
	s.updateShare(c)
	limit := s.bounds.Limit(coldTestRate, c.share)
	limit.Since = c.shareSince
	a := c.issuer.Ask(s.now, Request{Target: "e", Host: h.name}, limit)
	if !a.Granted {
		h.askAfter = s.now + time.Duration(float64(max(a.Wait, 50*time.Millisecond))*(0.75+0.5*s.random.Float64()))
		return
	}
	s.arrivals = append(s.arrivals, s.now+time.Duration(s.random.IntN(2))*(TTL+simDelay))
}

func (s *coldSim) updateShare(c *simHost) {
	before := c.share
	if s.now != c.listedAt {
		c.members.List(s.now, maps.Keys(s.listed))
		c.listedAt = s.now
	}
	if c.share, _ = c.members.Share(s.now, 0); c.share < before {
		c.issuer.Shrink(s.now, c.share/before)
	}
	if c.share != before {
		c.shareSince = s.now
	}
}

// run has hosts ask for a duration, wanted times a second over all.
func (s *coldSim) run(d time.Duration, wanted float64) {
	for end := s.now + d; s.now < end; s.now += simStep {
		for _, h := range s.hosts {
			if h.up && s.now >= h.nextAt {
				s.report(h)
			}
			if h.up && s.now >= h.askAfter && s.random.Float64() < wanted*simStep.Seconds()/float64(len(s.hosts)) {
				s.ask(h)
			}
		}
		if s.now%(100*time.Millisecond) == 0 {
			for _, h := range s.hosts {
				if len(h.members.hosts) > 0 || h.share > 0 {
					s.updateShare(h)
				}
			}
			s.checkSums()
		}
	}
}

// mostInASecond returns the largest number of requests that reached the target in any second.
func (s *coldSim) mostInASecond() int {
	slices.Sort(s.arrivals)
	most, first := 0, 0
	for i, at := range s.arrivals {
		for s.arrivals[first] <= at-time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// disturb splits the hosts into groups, heals them, restarts a host, kills the coordinators or takes a host out of all
// groups, while they want a number of requests a second.
func (s *coldSim) disturb(wanted float64) {
	switch s.random.IntN(5) {
	case 0:
		groups := 2 + s.random.IntN(3)
		for _, h := range s.hosts {
			h.group = s.random.IntN(groups)
		}
	case 1:
		for _, h := range s.hosts {
			h.group = 0
		}
	case 2:
		i := s.random.IntN(len(s.hosts))
		s.hosts[i].up = false
		s.run(time.Duration(s.random.Int64N(int64(2*time.Second))), wanted)
		s.startHost(i)
	case 3:
		for i := range 1 + s.random.IntN(3) {
			s.hosts[i].up = false
		}
		s.run(time.Duration(s.random.Int64N(int64(2*time.Second))), wanted)
		for i := range s.hosts {
			if !s.hosts[i].up {
				s.startHost(i)
			}
		}
	case 4:
		s.hosts[s.random.IntN(len(s.hosts))].group = 1000 + s.random.IntN(1000)
	}
}

// TestRequestsToAColdTargetInAnySecond guards against hosts that together send a cold target more than it bears, while they
// are split into groups, change their coordinators, restart or hear nobody.
func TestRequestsToAColdTargetInAnySecond(t *testing.T) {
	allowed := int(coldTestRate*defaultColdBounds.Overage + defaultColdBounds.Slack)
	for _, hosts := range []int{8, 70, 295} {
		for seed := range uint64(12) {
			s := newColdSim(hosts, seed)
			s.run(11*time.Second, 400)
			for range 40 {
				wanted := []float64{0, 30, 3000}[s.random.IntN(3)] // quiet times fill the buckets
				s.disturb(wanted)
				s.run(time.Duration(s.random.Int64N(int64(3*time.Second))), wanted)
			}
			got := s.mostInASecond()
			t.Logf("%d hosts, seed %d: %d requests in a second at most", hosts, seed, got)
			if s.excess != "" {
				t.Errorf("%d hosts, seed %d: %s", hosts, seed, s.excess)
			}
			if got > allowed {
				t.Errorf("%d hosts, seed %d: %d requests in a second, %d allowed", hosts, seed, got, allowed)
			}
		}
	}
}

// TestCapacityOfAColdTargetIsUsed is the control: hosts that hear each other use the rate, also if few want it, and those of
// a group of half of them use half.
func TestCapacityOfAColdTargetIsUsed(t *testing.T) {
	for _, hosts := range []int{8, 70, 295} {
		for _, wanted := range []float64{400, 15} {
			s := newColdSim(hosts, 1)
			s.run(12*time.Second, wanted)
			used := len(s.arrivals)
			s.run(20*time.Second, wanted)
			if got, least := float64(len(s.arrivals)-used)/20, 0.85*min(wanted, coldTestRate); got < least {
				t.Errorf("%d hosts that want %v a second: %.1f a second, want %.1f at least", hosts, wanted, got, least)
			}
			for i, h := range s.hosts {
				h.group = i % 2
			}
			s.run(3*time.Second, wanted)
			used = len(s.arrivals)
			s.run(20*time.Second, wanted)
			if got, least := float64(len(s.arrivals)-used)/20, 0.85*min(wanted, coldTestRate); got < least {
				t.Errorf("%d hosts in two groups that want %v a second: %.1f a second, want %.1f at least", hosts, wanted, got, least)
			}
		}
	}
}

// TestGroupWithoutAWholeRequestIssuesNone guards against many small groups that each issue one request at once.
func TestGroupWithoutAWholeRequestIssuesNone(t *testing.T) {
	b := ColdBounds{}.Valid()
	i := NewIssuer()
	for at := start; at < start+time.Minute; at += 50 * time.Millisecond {
		if a := i.Ask(at, Request{Target: "e", Host: "h"}, b.Limit(20, 1.0/70)); a.Granted || a.Cause != NoPart {
			t.Fatalf("granted %v, cause %q", a.Granted, a.Cause)
		}
	}
}

// TestInvalidColdRates guards against a rate or bounds that cannot be meant leading to requests without a limit.
func TestInvalidColdRates(t *testing.T) {
	for _, rate := range []float64{0, -3} {
		if l := (ColdBounds{1.5, 5}).Limit(rate, 1); l.Rate != 0 || l.Burst != 0 {
			t.Errorf("rate %v: %+v", rate, l)
		}
	}
	for b, want := range map[ColdBounds]ColdBounds{{}: {1.5, 5}, {-1, 5}: {1.5, 5}, {0.5, -2}: {1, 0}, {2, 0}: {2, 0}, {0, 1}: {1.5, 1}, {math.Inf(1), math.Inf(1)}: {1.5, 5}, {2, math.Inf(1)}: {2, 0}} {
		if got := b.Valid(); got != want {
			t.Errorf("%+v: %+v, want %+v", b, got, want)
		}
	}
	if got, want := (ColdBounds{2, math.NaN()}).Valid(), (ColdBounds{2, 0}); got != want {
		t.Errorf("slack not a number: %+v, want %+v", got, want)
	}
}

// TestUrgentRequestsGoFirst guards against late requests and those of less urgent routes taking what others need, and against
// late ones that are never served.
func TestUrgentRequestsGoFirst(t *testing.T) {
	const seconds = 60
	levels := []int{Level(100*time.Millisecond, 0), Level(100*time.Millisecond, 5), Level(-time.Second, 0)}
	i, random, granted := NewIssuer(), rand.New(rand.NewPCG(3, 4)), make([]int, 3)
	next := make([]time.Duration, 24)
	for now := start; now < start+seconds*time.Second; now += 5 * time.Millisecond {
		for h := range next {
			if now < next[h] || random.Float64() > 0.2 {
				continue
			}
			kind := h % 3
			a := i.Ask(now, Request{Target: "e", Host: fmt.Sprint(h), Level: levels[kind]}, defaultColdBounds.Limit(coldTestRate, 1))
			next[h] = now + time.Duration(float64(a.Wait)*(0.75+0.5*random.Float64()))
			if a.Granted {
				granted[kind]++
			}
		}
	}
	t.Logf("granted in %d s by urgency: %v", seconds, granted)
	total := granted[0] + granted[1] + granted[2]
	if float64(total) < 0.9*coldTestRate*seconds {
		t.Errorf("%d granted, want nearly all of %v", total, coldTestRate*seconds)
	}
	if float64(granted[0]) < 0.7*float64(total) || granted[2] > total/10 {
		t.Errorf("granted by urgency: %v, want most to the first and few to the last", granted)
	}
	if granted[2] < total/100 {
		t.Errorf("%d late requests of %d granted, want 1 in 100 at least", granted[2], total)
	}
}

// TestLateRequestsTakeWhatOthersLeave is the control: without more urgent ones, late requests get the whole rate.
func TestLateRequestsTakeWhatOthersLeave(t *testing.T) {
	i, granted := NewIssuer(), 0
	for now := start; now < start+10*time.Second; now += 5 * time.Millisecond {
		if i.Ask(now, Request{Target: "e", Host: "h", Level: Level(-1, 9)}, defaultColdBounds.Limit(coldTestRate, 1)).Granted {
			granted++
		}
	}
	if granted < 195 {
		t.Errorf("%d granted in 10 s, want 200", granted)
	}
}

// TestColdTimeIsNeverShortened guards against a stale registration or news that come late ending the cold time, and against
// hosts telling each other for ever.
func TestColdTimeIsNeverShortened(t *testing.T) {
	a, b, now := NewCold(), NewCold(), start
	a.Observe(now, "e", 3*time.Second, FromTarget)
	a.Observe(now+time.Second, "e", 500*time.Millisecond, FromTarget)
	a.Observe(now+time.Second, "e", -1, FromTarget)
	if left := a.Left(now+time.Second, "e"); left != 2*time.Second {
		t.Errorf("%v left, want 2 s", left)
	}
	records, sent := a.Changes(now+time.Second, 0, ToCoordinator)
	if b.Merge(now+1050*time.Millisecond, records, FromCoordinator); b.Left(now+1050*time.Millisecond, "e") < 1950*time.Millisecond {
		t.Errorf("another host has %v left", b.Left(now+1050*time.Millisecond, "e"))
	}
	if back, _ := b.Changes(now+1100*time.Millisecond, 1, ToCoordinator); len(back) > 0 {
		t.Errorf("told back: %v", back)
	}
	if again, _ := a.Changes(now+2*time.Second, sent, ToHost); len(again) > 0 {
		t.Errorf("told again: %v", again)
	}
	a.TakeChanges(now)
	if changes := a.TakeChanges(now + 3*time.Second); len(changes) != 1 || changes[0].Left != 0 || a.Left(now+3*time.Second, "e") != 0 {
		t.Errorf("changes at the end: %+v", changes)
	}
	if a.Observe(now, "f", time.Hour, FromFirstList); a.Left(now, "f") != maxCold {
		t.Errorf("a target stays cold for %v", a.Left(now, "f"))
	}
	if told, _ := a.Changes(now, 0, ToCoordinator); len(told) != 1 {
		t.Errorf("told %v, want no registration of unknown age", told)
	}
}
