package fair

import (
	"fmt"
	"os"
	"testing"
	"time"
)

const (
	simDuration = 60 * time.Second
	simWarmUp   = 15 * time.Second
	simSeeds    = 2
)

var allHosts = []int{0, 1, 2, 3, 4, 5, 6, 7}

// runTwoTeams simulates a small team that sends through one of eight hosts and,
// unless alone, a large team that sends ten times its share through all hosts.
// 20 engines of 8 slots serve 80 requests per second, 40 for each of the two
// teams of equal weight. Requests are routed by reports that are half a second old.
func runTwoTeams(c simConfig, smallRate float64, alone bool) *sim {
	s := newTwoTeams(c, smallRate, alone)
	s.run()
	return s
}

func newTwoTeams(c simConfig, smallRate float64, alone bool) *sim {
	c.hosts, c.engines, c.slots, c.duration = 8, 20, 8, simDuration
	c.reportLag = 500 * time.Millisecond
	s := newSim(c)
	s.arrivals(simTeam{name: "small", weight: 1, rate: smallRate, hosts: []int{3}, service: 2 * time.Second, deadline: 30 * time.Second})
	if !alone {
		s.arrivals(simTeam{name: "large", weight: 1, rate: 400, hosts: allHosts, service: 2 * time.Second, deadline: 30 * time.Second})
	}
	return s
}

// TestSmallTeamBesideLargeTeam checks that a large team does not slow down a
// small one: the 95th percentile of the small team's time to first token is at
// most 1.2 times what it is alone, at 5, 50 and 90% of the small team's share.
func TestSmallTeamBesideLargeTeam(t *testing.T) {
	for _, rate := range []float64{2, 20, 36} {
		for seed := range uint64(simSeeds) {
			alone := runTwoTeams(simConfig{seed: seed}, rate, true).stats("small", simWarmUp, simDuration)
			s := runTwoTeams(simConfig{seed: seed}, rate, false)
			beside, large := s.stats("small", simWarmUp, simDuration), s.stats("large", simWarmUp, simDuration)
			t.Logf("small team at %v requests per second, seed %d: first token p95 %v alone, %v beside the large team; queue wait p95 %v alone, %v beside; refused %d; large team served %d, refused %d; %.1f%% of slots idle with requests waiting; %d messages",
				rate, seed, alone.p95, beside.p95, alone.queueP95, beside.queueP95, beside.refused, large.served, large.refused,
				100*s.idle.Seconds()/(160*simDuration.Seconds()), s.messages)
			if s.violation != "" {
				t.Error(s.violation)
			}
			if float64(beside.p95) > 1.2*float64(alone.p95) || float64(beside.queueP95) > 0.2*float64(alone.p95) {
				t.Errorf("rate %v seed %d: p95 %v beside the large team, %v alone", rate, seed, beside.p95, alone.p95)
			}
			if beside.refused > 0 {
				t.Errorf("%d requests of the small team refused within its share", beside.refused)
			}
		}
	}
	for name, c := range map[string]simConfig{
		"plain FIFO": {fifo: true}, "no coordinator": {noCoordinator: true}, "no slot quotas": {noQuotas: true},
	} {
		st := runTwoTeams(c, 20, false).stats("small", simWarmUp, simDuration)
		t.Logf("baseline %s, small team at 20 requests per second: first token p95 %v, refused %d", name, st.p95, st.refused)
	}
}

// TestSmallTeamOnSharedEngine checks that a large team that floods a model on
// four engines does not slow down a small team whose model is ready on one of
// them and on one engine more.
func TestSmallTeamOnSharedEngine(t *testing.T) { testSharedEngine(t, simSeeds) }

// TestSmallTeamOnSharedEngineMoreSeeds is the same test over all seeds of the
// published measurement. See KNOWN-RED.txt.
func TestSmallTeamOnSharedEngineMoreSeeds(t *testing.T) { testSharedEngine(t, 8) }

func testSharedEngine(t *testing.T, seeds uint64) {
	run := func(c simConfig, large bool) teamStats {
		c.hosts, c.engines, c.slots, c.duration, c.reportLag = 8, 20, 8, simDuration, 500*time.Millisecond
		c.ready = map[string][]int{"l": {0, 1, 2, 3}, "s": {3, 4}}
		s := newSim(c)
		s.arrivals(simTeam{name: "small", model: "s", weight: 1, rate: 3, hosts: []int{3}, service: 2 * time.Second, deadline: 30 * time.Second})
		if large {
			s.arrivals(simTeam{name: "large", model: "l", weight: 1, rate: 160, hosts: allHosts, service: 2 * time.Second, deadline: 30 * time.Second})
		}
		s.run()
		if s.violation != "" {
			t.Error(s.violation)
		}
		return s.stats("small", simWarmUp, simDuration)
	}
	for seed := range seeds {
		alone, beside := run(simConfig{seed: seed}, false), run(simConfig{seed: seed}, true)
		unbounded := run(simConfig{seed: seed, noFlowGrants: true}, true)
		t.Logf("small team, seed %d: first token p95 %v alone, %v beside, %v beside without windows by model", seed, alone.p95, beside.p95, unbounded.p95)
		if beside.refused > 0 || float64(beside.p95) > 1.2*float64(alone.p95) {
			t.Errorf("small team, seed %d: p95 %v beside, %v alone; refused %d", seed, beside.p95, alone.p95, beside.refused)
		}
	}
}

// TestCoordinatorLost removes the coordinator; the other hosts notice after
// three seconds and use another one. No request of the small team may be
// refused. If the coordinator's host crashed, the small team's latency must
// recover. If that host is only cut off from its peers, it goes on serving and
// takes slots that the others do not know of, so recovery is not checked.
func TestCoordinatorLost(t *testing.T) {
	const lostAt, detectionDelay = 30 * time.Second, 3 * time.Second
	for _, crashed := range []bool{true, false} {
		for seed := range uint64(simSeeds) {
			s := newTwoTeams(simConfig{seed: seed}, 20, false)
			s.loseCoordinator(lostAt, detectionDelay, crashed)
			s.run()
			during, after := s.stats("small", lostAt, lostAt+detectionDelay), s.stats("small", lostAt+detectionDelay+5*time.Second, simDuration)
			t.Logf("crashed %v, seed %d: first token p95 %v without a coordinator, %v from 5 s after its replacement", crashed, seed, during.p95, after.p95)
			if s.violation != "" {
				t.Error(s.violation)
			}
			if all := s.stats("small", 0, simDuration); all.refused > 0 {
				t.Errorf("%d requests of the small team refused within its share", all.refused)
			}
			if crashed && float64(after.p95) > 1.2*float64(simPrefill) {
				t.Errorf("p95 %v after the coordinator was replaced, %v alone", after.p95, simPrefill)
			}
		}
	}
}

// TestFleet simulates 1,200 hosts that use one pool of 1,960 slots, with a large
// team on all hosts and a small one on a single host. It is slow; set FAIR_FLEET
// to run it.
func TestFleet(t *testing.T) {
	if os.Getenv("FAIR_FLEET") == "" {
		t.Skip("set FAIR_FLEET to run")
	}
	c := simConfig{hosts: 1200, engines: 245, slots: 8, duration: 40 * time.Second, reportLag: time.Second, ideal: true}
	all := make([]int, c.hosts)
	for i := range all {
		all[i] = i
	}
	s := newSim(c)
	s.arrivals(simTeam{name: "small", weight: 1, rate: 50, hosts: []int{3}, service: 2 * time.Second, deadline: 30 * time.Second})
	s.arrivals(simTeam{name: "large", weight: 1, rate: 2000, hosts: all, service: 2 * time.Second, deadline: 30 * time.Second})
	s.run()
	if s.violation != "" {
		t.Error(s.violation)
	}
	t.Logf("small: %+v", s.stats("small", 20*time.Second, c.duration))
	t.Logf("large: %+v", s.stats("large", 20*time.Second, c.duration))
	t.Logf("%.1f messages per second and host; %.1f%% of slots idle with requests waiting",
		float64(s.messages)/float64(c.hosts)/c.duration.Seconds(), 100*s.idle.Seconds()/(float64(c.engines*c.slots)*c.duration.Seconds()))
}

// BenchmarkRoot measures the handling of one report and its grant at a root with 16 children.
func BenchmarkRoot(b *testing.B) {
	for _, teams := range []int{5, 50} {
		b.Run(fmt.Sprintf("%d teams", teams), func(b *testing.B) {
			n := NewNode()
			n.SetRoot(0, Targets{Slots: []int{2000}}, -1)
			d := Demand{}
			for i := range teams {
				d.Teams = append(d.Teams, TeamDemand{Team: fmt.Sprintf("team-%02d", i), Weight: 1, Running: 10, Waiting: 20})
			}
			i := 0
			for b.Loop() {
				i++
				d.Seq = uint64(i)
				from := fmt.Sprintf("h%d", i%Fanout)
				now := time.Duration(i) * time.Millisecond
				n.RecordDemand(now, from, d)
				n.Grant(now, from)
			}
		})
	}
}
