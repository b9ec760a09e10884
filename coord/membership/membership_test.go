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

// fleet runs cores over a lossy network in fake time. A probe is answered at
// once or fails after its timeout.
type fleet struct {
	rng   *rand.Rand
	cores []*Core
	alive []bool
	cut   map[[2]int]bool
	loss  float64
	now   time.Duration
	late  []func() // work due at the next tick
}

func newFleet(n int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 9)), cut: map[[2]int]bool{}}
	for i := range n {
		f.cores = append(f.cores, f.start(i, 0))
		f.alive = append(f.alive, true)
	}
	f.list(n)
	return f
}

func name(i int) string { return fmt.Sprintf("host-%04d", i) }

func (f *fleet) start(i, run int) *Core {
	return New(Config{
		Name: name(i), Incarnation: fmt.Sprintf("%d-%d", i, run), Fanout: 4, SmallFleetSize: 16, IndirectProbes: 2,
		ForgetAfter: 30 * time.Second, Seed: uint64(i*1000 + run),
	})
}

func (f *fleet) list(n int) {
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

func (f *fleet) reaches(a, b int) bool {
	return f.alive[a] && f.alive[b] && !f.cut[[2]int{a, b}] && !f.cut[[2]int{b, a}] && f.rng.Float64() >= f.loss
}

// exchange carries one probe and its answer.
func (f *fleet) exchange(a, b int, rumors []Rumor) bool {
	if !f.reaches(a, b) {
		return false
	}
	ca, cb := f.cores[a], f.cores[b]
	cb.RecordCall(ca.cfg.Name, ca.cfg.Incarnation, rumors, f.now)
	if !f.reaches(b, a) {
		return false
	}
	ca.RecordAnswer(cb.cfg.Name, cb.cfg.Incarnation, cb.TakeRumors(), f.now)
	return true
}

func (f *fleet) step() {
	f.now += tick
	due := f.late
	f.late = nil
	for _, work := range due {
		work()
	}
	for i, c := range f.cores {
		if !f.alive[i] {
			continue
		}
		for _, p := range c.Tick(f.now) {
			if f.exchange(i, index(p.Name), p.Rumors) {
				continue
			}
			f.late = append(f.late, func() { f.indirect(i, p.Name) })
		}
	}
}

func (f *fleet) indirect(i int, target string) {
	reached := false
	probes := f.cores[i].RecordFailure(target, f.now)
	if len(probes) == 0 {
		return
	}
	for _, p := range probes {
		via := index(p.Via)
		if f.reaches(i, via) && f.exchange(via, index(target), p.Rumors) {
			reached = true
		}
	}
	f.late = append(f.late, func() { f.cores[i].RecordIndirectResult(target, reached, f.now) })
}

func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.step()
	}
}

// states counts how the live hosts see one host.
func (f *fleet) states(of int) map[State]int {
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
	// 3 s is the bound for silent links; a large fleet gets the rumor's
	// spreading time on top.
	for _, tc := range []struct {
		hosts int
		bound time.Duration
	}{{8, 3 * time.Second}, {300, 8 * time.Second}} {
		f := newFleet(tc.hosts, 1)
		f.run(5 * time.Second)
		f.alive[3] = false
		f.run(tc.bound)
		if s := f.states(3); s[Alive] != 0 {
			t.Errorf("%d hosts: after %s: %v", tc.hosts, tc.bound, s)
		}
	}
}

func TestRestartedHostHasNewIdentity(t *testing.T) {
	f := newFleet(8, 2)
	f.run(5 * time.Second)
	f.alive[2] = false
	f.run(5 * time.Second)
	f.cores[2] = f.start(2, 1)
	f.list(8)
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
	// A late rumor about the predecessor must not touch the successor.
	f.cores[0].ApplyRumors([]Rumor{{Name: name(2), Incarnation: "2-0", State: Suspect, Counter: 99}}, f.now)
	if m := f.cores[0].members[name(2)]; m.State != Alive || m.Incarnation != "2-1" {
		t.Errorf("a rumor about the predecessor changed the member: %+v", *m)
	}
}

// TestCutLinkIsNotSuspicion cuts one pair of hosts: others still reach both,
// so neither becomes suspect, and each routes round its own dead link.
func TestCutLinkIsNotSuspicion(t *testing.T) {
	f := newFleet(8, 3)
	f.cut[[2]int{0, 1}] = true
	f.run(20 * time.Second)
	if s := f.states(1); s[Suspect] != 0 {
		t.Errorf("suspect over a single cut link: %v", s)
	}
	if f.cores[0].members[name(1)].Reachable {
		t.Error("the cut link still counts as direct")
	}
}

func TestLeavingSpreads(t *testing.T) {
	f := newFleet(8, 4)
	f.run(3 * time.Second)
	f.cores[5].Leave()
	f.run(2 * time.Second) // a leaving host gets nothing new after a few seconds
	if s := f.states(5); s[Leaving] != 7 {
		t.Errorf("after 2 s: %v", s)
	}
}

// TestLossyFleetConverges loses one message in ten for a while: suspicions may
// come up, and are all refuted once the loss ends.
func TestLossyFleetConverges(t *testing.T) {
	for seed := range uint64(50) {
		f := newFleet(8, seed)
		f.loss = 0.1
		f.run(30 * time.Second)
		f.loss = 0
		f.run(10 * time.Second)
		for i := range f.cores {
			if s := f.states(i); s[Alive] != 7 {
				t.Fatalf("seed %d: host %d seen as %v", seed, i, s)
			}
		}
	}
}

func TestListedHostsStayAndUnlistedGo(t *testing.T) {
	f := newFleet(3, 5)
	f.run(2 * time.Second)
	f.alive[2] = false
	f.run(time.Minute)
	if f.cores[0].members[name(2)] == nil {
		t.Fatal("a listed silent host was removed")
	}
	f.list(2)
	f.run(time.Second)
	if f.cores[0].members[name(2)] != nil {
		t.Fatal("a host that is neither listed nor heard stayed")
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
