package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick    = 500 * time.Millisecond
	timeout = 700 * time.Millisecond
)

// fleet runs cores over a simulated lossy network in fake time. A probe is answered
// immediately or reported as failed on the next tick.
type fleet struct {
	rng      *rand.Rand
	cores    []*Core
	alive    []bool
	cutLinks map[[2]int]bool
	lossRate float64
	now      time.Duration
	nextTick []func() // functions to run at the start of the next tick
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 9)), cutLinks: map[[2]int]bool{}}
	for i := range n {
		f.cores = append(f.cores, f.newCore(i, 0))
		f.alive = append(f.alive, true)
	}
	f.setHostList(n)
	return f
}

func name(i int) string { return fmt.Sprintf("host-%04d", i) }

func (f *fleet) newCore(i, run int) *Core {
	return New(Config{
		Name: name(i), Incarnation: fmt.Sprintf("%d-%d", i, run), Fanout: 4, SmallFleetSize: 16, IndirectProbes: 2,
		ForgetAfter: 30 * time.Second, Seed: uint64(i*1000 + run),
	})
}

func (f *fleet) setHostList(n int) {
	var entries []Entry
	for i := range n {
		entries = append(entries, Entry{Name: name(i)})
	}
	for _, c := range f.cores {
		c.SetHostList(entries, f.now)
	}
}

func index(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "host-%d", &i)
	return i
}

func (f *fleet) delivers(a, b int) bool {
	return f.alive[a] && f.alive[b] && !f.cutLinks[[2]int{a, b}] && !f.cutLinks[[2]int{b, a}] &&
		f.rng.Float64() >= f.lossRate
}

// probe delivers one probe and the reply, and reports whether both arrived.
func (f *fleet) probe(a, b int, rumors []Rumor) bool {
	if !f.delivers(a, b) {
		return false
	}
	ca, cb := f.cores[a], f.cores[b]
	cb.RecordCall(ca.cfg.Name, ca.cfg.Incarnation, rumors, f.now)
	if !f.delivers(b, a) {
		return false
	}
	ca.RecordReply(cb.cfg.Name, cb.cfg.Incarnation, cb.TakeRumors(), f.now)
	return true
}

func (f *fleet) step() {
	f.now += tick
	due := f.nextTick
	f.nextTick = nil
	for _, work := range due {
		work()
	}
	for i, c := range f.cores {
		if !f.alive[i] {
			continue
		}
		for _, p := range c.Tick(f.now) {
			if f.probe(i, index(p.Name), p.Rumors) {
				continue
			}
			f.nextTick = append(f.nextTick, func() { f.probeIndirectly(i, p.Name) })
		}
	}
}

func (f *fleet) probeIndirectly(i int, target string) {
	reached := false
	probes := f.cores[i].RecordFailure(target, f.now)
	if len(probes) == 0 {
		return
	}
	for _, p := range probes {
		via := index(p.Via)
		if f.delivers(i, via) && f.probe(via, index(target), p.Rumors) {
			reached = true
		}
	}
	f.nextTick = append(f.nextTick, func() { f.cores[i].RecordIndirectResult(target, reached, f.now) })
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// statesOf counts the states in which the live hosts see a host.
func (f *fleet) statesOf(of int) map[State]int {
	out := map[State]int{}
	for i, c := range f.cores {
		if i == of || !f.alive[i] {
			continue
		}
		if m := c.members[name(of)]; m != nil {
			out[m.State]++
		}
	}
	return out
}

func TestDeadHostIsSuspected(t *testing.T) {
	// A silent host must be detected within 3 s. A large fleet is given extra time
	// for the rumor to spread.
	for _, tc := range []struct {
		hosts int
		bound time.Duration
	}{{8, 3 * time.Second}, {300, 8 * time.Second}} {
		f := newFleet(tc.hosts, 1)
		f.run(5 * time.Second)
		f.alive[3] = false
		f.run(tc.bound)
		if s := f.statesOf(3); s[Alive] != 0 {
			t.Errorf("%d hosts: some still see the dead host as alive after %s: %v", tc.hosts, tc.bound, s)
		}
	}
}

func TestRestartedHostGetsNewIncarnation(t *testing.T) {
	f := newFleet(8, 2)
	f.run(5 * time.Second)
	f.alive[2] = false
	f.run(5 * time.Second)
	f.cores[2] = f.newCore(2, 1)
	f.setHostList(8)
	f.alive[2] = true
	f.run(3 * time.Second)
	for i, c := range f.cores {
		if i == 2 {
			continue
		}
		m := c.members[name(2)]
		if m.Incarnation != "2-1" || m.State != Alive {
			t.Errorf("host %d sees %+v", i, *m)
		}
	}
	// A late rumor about the previous incarnation must not affect the current one.
	f.cores[0].ApplyRumors([]Rumor{{Name: name(2), Incarnation: "2-0", State: Suspect, Counter: 99}}, f.now)
	if m := f.cores[0].members[name(2)]; m.State != Alive || m.Incarnation != "2-1" {
		t.Errorf("a rumor about the previous incarnation changed the member: %+v", *m)
	}
}

// TestSingleCutLinkRaisesNoSuspicion cuts the link between two hosts. Other hosts still
// reach both, so neither becomes suspect, but each sees the other as unreachable.
func TestSingleCutLinkRaisesNoSuspicion(t *testing.T) {
	f := newFleet(8, 3)
	f.cutLinks[[2]int{0, 1}] = true
	f.run(20 * time.Second)
	if s := f.statesOf(1); s[Suspect] != 0 {
		t.Errorf("a single cut link made the host suspect: %v", s)
	}
	if f.cores[0].members[name(1)].Reachable {
		t.Error("the host behind the cut link still counts as reachable")
	}
}

func TestLeavingStateSpreads(t *testing.T) {
	f := newFleet(8, 4)
	f.run(3 * time.Second)
	f.cores[5].Leave()
	f.run(2 * time.Second) // a leaving host must soon get no new requests
	if s := f.statesOf(5); s[Leaving] != 7 {
		t.Errorf("states after 2 s: %v, want 7 hosts to see it as leaving", s)
	}
}

// TestLossyFleetConverges drops one message in ten for a while. This may raise
// suspicions, which must all be refuted once the loss ends.
func TestLossyFleetConverges(t *testing.T) {
	for seed := range uint64(50) {
		f := newFleet(8, seed)
		f.lossRate = 0.1
		f.run(30 * time.Second)
		f.lossRate = 0
		f.run(10 * time.Second)
		for i := range f.cores {
			if s := f.statesOf(i); s[Alive] != 7 {
				t.Fatalf("seed %d: host %d seen as %v", seed, i, s)
			}
		}
	}
}

func TestOnlyUnlistedSilentHostsAreRemoved(t *testing.T) {
	f := newFleet(3, 5)
	f.run(2 * time.Second)
	f.alive[2] = false
	f.run(time.Minute)
	if f.cores[0].members[name(2)] == nil {
		t.Fatal("a silent host was removed although it is listed")
	}
	f.setHostList(2)
	f.run(time.Second)
	if f.cores[0].members[name(2)] != nil {
		t.Fatal("a silent host that is no longer listed was not removed")
	}
}

func BenchmarkTick(b *testing.B) {
	f := newFleet(1200, 6)
	c := f.cores[0]
	b.ReportAllocs()
	for b.Loop() {
		c.Tick(f.now)
	}
}
