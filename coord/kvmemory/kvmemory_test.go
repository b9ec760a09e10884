package kvmemory

import (
	"fmt"
	"testing"
	"time"
)

// memories are those of the deployments' engines, and a small one.
var memories = []struct {
	capacity int64
	slots    int
}{{208_516, 24}, {168_547, 12}, {60_000, 12}}

// load sends large requests for a time, perSecond in the mean, with bursts of long ones.
func (s *sim) load(d time.Duration, perSecond float64, capacity int64, slots int) {
	const step = 20 * time.Millisecond
	small := SmallLimit(capacity, slots)
	for end := s.now + d; s.now < end; s.play(step) {
		n := 0
		for p := perSecond * step.Seconds(); p > s.random.Float64(); p-- {
			n++
		}
		if s.random.IntN(100) == 0 {
			n += 20
		}
		for range n {
			tokens := small + 1 + int64(s.random.ExpFloat64()*9_000)
			if tokens > Largest(capacity) {
				tokens = Largest(capacity)
			}
			s.asked++
			id := fmt.Sprint("r", s.asked)
			due := s.now + 600*time.Millisecond + time.Duration(s.random.Int64N(int64(1400*time.Millisecond)))
			until := s.now + 3*time.Second + time.Duration(s.random.Int64N(int64(5*time.Second)))
			if s.random.IntN(40) == 0 {
				until = s.now + 29*time.Second
			}
			s.ask(s.nodes[s.random.IntN(len(s.nodes))], id, tokens, due, until, 300*time.Millisecond+time.Duration(s.random.ExpFloat64()*float64(2*time.Second)))
		}
	}
}

// fault does one of the faults that a fleet has to stand.
func (s *sim) fault() {
	s.lose = 0.001
	switch s.random.IntN(7) {
	case 0: // the coordinator restarts
		s.start(0)
	case 1: // some hosts restart together, perhaps the coordinator and its witness
		for range 1 + s.random.IntN(2) {
			s.start(s.random.IntN(min(4, len(s.nodes))))
		}
	case 2: // a cut, perhaps between the coordinator and its witness
		for i := range s.side {
			s.side[i] = s.random.IntN(2)
		}
	case 3: // the coordinator is cut off
		for i := range s.side {
			s.side[i] = 0
		}
		s.side[0] = 1
	case 5: // planned stop of the coordinator
		n := s.nodes[0]
		n.leaves, n.leavesAt = true, s.now-n.hears
		s.after(1500*time.Millisecond, func() { s.start(0) })
	case 4: // calls and replies are lost
		s.lose = 0.02
	default:
		clear(s.side)
	}
}

// TestSumStaysWithinMemory guards against engines that crash because hosts reserve more than their memory: at bursts of long prompts
// and a team at six times its rate, while replies are lost, hosts restart, coordinators change and the fleet is cut.
func TestSumStaysWithinMemory(t *testing.T) {
	for _, nodes := range []int{8, 64, 80, 295} {
		for i, m := range memories {
			for seed := range uint64(1 + 16/nodes) {
				t.Run(fmt.Sprint(nodes, " nodes, memory ", m.capacity, ", seed ", seed), func(t *testing.T) {
					t.Parallel()
					s := newSim(nodes, 4, RoomFor(m.capacity, m.slots, 0), seed*3+uint64(i))
					s.load(4*time.Second, 10, m.capacity, m.slots)
					for range 9 {
						s.fault()
						s.load(time.Duration(s.random.Int64N(int64(5*time.Second))), 10*float64(1+5*s.random.IntN(2)), m.capacity, m.slots)
					}
					if s.worst > 1 {
						t.Errorf("%.3f of the memory in use", s.worst)
					}
					t.Logf("%.3f of the memory in use at most, %d of %d served", s.worst, s.served, s.asked)
				})
			}
		}
	}
}

// TestFreeMemoryIsUsed is the control: without faults, requests that fit are served, and before they are due.
func TestFreeMemoryIsUsed(t *testing.T) {
	for _, nodes := range []int{8, 64, 80, 295} {
		for _, m := range memories {
			engines := 12 * int(1+60_000/(m.capacity/4))
			s := newSim(nodes, engines, RoomFor(m.capacity, m.slots, 0), 1)
			s.lose = 0
			s.play(3 * time.Second)
			s.load(6*time.Second, 9, m.capacity, m.slots)
			s.play(8 * time.Second)
			t.Logf("%d nodes, %d engines with %d tokens: %d of %d served, %d before they were due", nodes, engines, m.capacity, s.served, s.asked, s.early)
			if share := float64(s.served) / float64(s.asked); share < 0.97 || float64(s.early) < 0.9*float64(s.served) {
				t.Errorf("%d nodes, memory %d: %.3f served, %d of %d before they were due", nodes, m.capacity, share, s.early, s.served)
			}
		}
	}
}

const testRoom = 1000

func testLedger() *Ledger {
	l := NewLedger(1)
	l.Report(0, "a", NodeReport{Incarnation: "1"})
	return l
}

func ask(l *Ledger, now time.Duration, seq uint64, tokens int64, due time.Duration) Answer {
	l.nodes["a"].seenAt = now
	return l.Ask(now, Request{Key: Key{"a", "1", seq}, ID: fmt.Sprint(seq), Engines: []string{"e"}, Tokens: tokens, Due: due, Until: now + 10*time.Second}, 1,
		func(string) Room { return Room{Together: testRoom, Alone: 2 * testRoom} })
}

// TestLostReplyLeaksNothing guards against memory that nobody uses and nobody gives back, and against memory that is granted twice: the
// reply to request 1 is lost, and the report that was under way when request 2 was granted must not end it.
func TestLostReplyLeaksNothing(t *testing.T) {
	l, now := testLedger(), 5*time.Second
	if a := ask(l, now, 1, testRoom, 0); !a.Granted {
		t.Fatalf("not granted: %v", a.Reason)
	}
	l.Report(now, "a", NodeReport{Incarnation: "1", Asked: 1, Pending: []uint64{1}})
	if a := ask(l, now, 2, 1, 0); a.Granted {
		t.Error("memory was granted twice while the first reply may still arrive")
	}
	l.Report(now, "a", NodeReport{Incarnation: "1", Asked: 1})
	if a := ask(l, now, 3, testRoom, 0); !a.Granted {
		t.Errorf("the memory of a lost reply was not released: %v", a.Reason)
	}
	l.Report(now, "a", NodeReport{Incarnation: "1", Asked: 2}) // sent before request 3
	if a := ask(l, now, 4, 1, 0); a.Granted {
		t.Error("an earlier report released a later reservation")
	}
	if a := ask(l, now, 1, 1, 0); a.Granted {
		t.Error("a request that its node gave up was granted")
	}
}

// TestSilentNodeKeepsItsMemory guards against memory being granted anew while the engine may still hold the request of a host that fell
// silent or has restarted.
func TestSilentNodeKeepsItsMemory(t *testing.T) {
	l, now := testLedger(), 5*time.Second
	ask(l, now, 1, testRoom, 0)
	l.Report(now, "a", NodeReport{Incarnation: "2"})
	l.Report(now, "b", NodeReport{Incarnation: "1"})
	for ; now < 14*time.Second; now += time.Second {
		l.Report(now, "b", NodeReport{Incarnation: "1"})
		l.Expire(now)
		if used, _ := l.Used(now, "e"); used != testRoom {
			t.Fatalf("%d tokens reserved after %v, want %d until the deadline", used, now, testRoom)
		}
	}
	if used, _ := l.Used(16*time.Second, "e"); used != 0 {
		t.Errorf("%d tokens reserved after the deadline", used)
	}
}

// TestEarliestDueFirst guards against a large request that smaller ones overtake for ever.
func TestEarliestDueFirst(t *testing.T) {
	l, now := testLedger(), 5*time.Second
	ask(l, now, 1, 600, now)
	if a := ask(l, now, 2, 900, now+time.Second); a.Granted || a.Free == 0 {
		t.Errorf("%+v, want a denial that tells when memory is free", a)
	}
	if a := ask(l, now, 3, 300, now+2*time.Second); a.Granted || a.Reason != ReasonOrder {
		t.Errorf("%+v, want a denial because of the request that is due earlier", a)
	}
	if a := ask(l, now, 4, 300, now); !a.Granted {
		t.Errorf("the request that is due first is denied: %v", a.Reason)
	}
	if a := ask(l, now+waitTTL+1, 5, 100, now+3*time.Second); !a.Granted {
		t.Errorf("an engine stays set aside for a request that does not ask any more: %v", a.Reason)
	}
}

// TestSmallRequestsFit guards against shares of small and large requests that together exceed the memory.
func TestSmallRequestsFit(t *testing.T) {
	for _, m := range memories {
		limit := SmallLimit(m.capacity, m.slots)
		for small := range 4 * m.slots {
			room := RoomFor(m.capacity, m.slots, small)
			if sum := room.Together + int64(small)*limit; room.Together > 0 && sum > m.capacity {
				t.Errorf("memory %d: %d small requests and the reservations take %d", m.capacity, small, sum)
			}
			if sum := room.Alone + int64(small)*limit; room.Alone > 0 && sum > m.capacity {
				t.Errorf("memory %d: %d small requests and one reservation take %d", m.capacity, small, sum)
			}
		}
	}
	if SmallLimit(0, 12) != 0 || SmallLimit(100, 0) != 0 || SmallLimit(-1, -1) != 0 {
		t.Error("unknown memory or slots give a limit")
	}
}

// TestCopyThatWasHandedOverIsClosed guards against a coordinator that goes on with a witness whose copy another one already uses.
func TestCopyThatWasHandedOverIsClosed(t *testing.T) {
	c, r := NewCopies(), []Reservation{{Key: Key{"a", "1", 1}, Engine: "e", Tokens: 5, Until: time.Minute}}
	if c.Keep(0, "a", 7, false, r) {
		t.Error("a part of an unknown ledger was kept")
	}
	if !c.Keep(0, "a", 7, true, r) || len(c.HandOver(0, "a")) != 1 || !c.Keep(0, "a", 7, false, nil) {
		t.Error("the owner of a ledger, which may have restarted, does not get its copy, or cannot go on with it")
	}
	if copies := c.HandOver(0, "b"); len(copies) != 1 || len(copies[0].Reservations) != 1 || c.Keep(0, "a", 7, false, nil) {
		t.Error("a copy that another ledger uses is not whole, or accepts more")
	}
}

// TestSecondLongPrefillGoesElsewhere guards against long prompts that wait behind one another while another copy is free, and against
// those that wait although they would be late.
func TestSecondLongPrefillGoesElsewhere(t *testing.T) {
	l, now, seq := testLedger(), 5*time.Second, uint64(0)
	askLong := func(due time.Duration) Answer {
		seq++
		l.nodes["a"].seenAt = now
		return l.Ask(now, Request{Key: Key{"a", "1", seq}, ID: fmt.Sprint(seq), Engines: []string{"e", "f"}, Tokens: 10, Prefill: 200 * time.Millisecond, Due: due, Until: now + 5*time.Second}, 1,
			func(string) Room { return Room{Together: testRoom} })
	}
	for i, want := range []string{"e", "f"} {
		if a := askLong(now + 2*time.Second); a.Engine != want {
			t.Errorf("long prompt %d goes to %q, want %q", i, a.Engine, want)
		}
	}
	if a := askLong(now + 2*time.Second); a.Granted || a.Reason != ReasonLong || a.Free != now+200*time.Millisecond {
		t.Errorf("%+v, want a long prompt with time to wait", a)
	}
	if a := askLong(now + 600*time.Millisecond); !a.Granted {
		t.Errorf("a long prompt that would be late waits: %v", a.Reason)
	}
	seq++
	if a := ask(l, now, seq, 10, now+2*time.Second); !a.Granted {
		t.Errorf("a request that is not long waits: %v", a.Reason)
	}
}

// TestPlannedStopsServeLongPrompts guards against long prompts that starve while hosts are replaced one after the other: each change of
// the coordinator would cost two seconds if its successor had to wait until the former one no longer counts its hosts.
func TestPlannedStopsServeLongPrompts(t *testing.T) {
	for _, nodes := range []int{8, 64} {
		m := memories[0]
		s := newSim(nodes, 24, RoomFor(m.capacity, m.slots, 0), 1)
		s.lose = 0
		s.play(3 * time.Second)
		for i := range 8 {
			n := s.nodes[i%2]
			n.leaves, n.leavesAt = true, s.now
			s.after(1500*time.Millisecond, func() { s.start(n.index) })
			s.load(3*time.Second, 9, m.capacity, m.slots)
		}
		s.play(8 * time.Second)
		share := float64(s.served) / float64(s.asked)
		t.Logf("%d nodes: %d of %d served, %d before they were due, %.3f of the memory in use at most", nodes, s.served, s.asked, s.early, s.worst)
		if share < 0.9 || s.worst > 1 || float64(s.early) < 0.7*float64(s.served) {
			t.Errorf("%d nodes: %.3f served, %d of %d before they were due", nodes, share, s.early, s.served)
		}
	}
}

// TestUnknownLedgerIsWaitedForOnce guards against a coordinator that grants although it does not know what the former one has granted, also
// if it had heard of that one long before, and against one that waits for ever because its nodes go on naming the former one.
func TestUnknownLedgerIsWaitedForOnce(t *testing.T) {
	l, now := NewLedger(1), time.Hour
	report := func() { l.Report(now, "a", NodeReport{Incarnation: "1", Epoch: 7}) }
	report() // to a deputy, for a moment
	now += 5 * time.Minute
	for start := now; now < start+LongestUse; now += 400 * time.Millisecond {
		report()
		l.Expire(now)
		if a := ask(l, now, uint64(now), 1, now); a.Granted {
			t.Fatalf("granted %v after an unknown ledger was named", now-start)
		}
	}
	now += 5 * time.Second
	for range 4 {
		now += 400 * time.Millisecond
		report()
		l.Expire(now)
	}
	if a := ask(l, now, uint64(now), 1, now); a.Granted {
		t.Error("granted to a node that was silent for seconds, and may have been granted memory elsewhere")
	}
	for start := now; now < start+LongestUse+2*joinTime; now += 400 * time.Millisecond {
		report()
		l.Expire(now)
	}
	if a := ask(l, now, uint64(now), 1, now); !a.Granted {
		t.Errorf("still not granted: %v", a.Reason)
	}
}

// TestReleaseIsExpectedBeforeTheDeadline guards against requests that are refused because reservations of others, which end in a second,
// have late deadlines: also right after a change of coordinators, when nothing is known of the time of use.
func TestReleaseIsExpectedBeforeTheDeadline(t *testing.T) {
	l, now := testLedger(), 5*time.Second
	l.nodes["a"].seenAt = now
	l.Report(now, "a", NodeReport{Incarnation: "1", Asked: 1, Held: []Reservation{{Key: Key{Seq: 1}, Engine: "e", Tokens: testRoom, Until: now + 25*time.Second}}})
	if a := ask(l, now, 2, testRoom, now); a.Reason != ReasonRoom || a.Free > now+useFactor*defaultUse {
		t.Errorf("%+v, want a release within %v", a, useFactor*defaultUse)
	}
	for seq := uint64(3); seq < 100; seq++ {
		l.Report(now, "a", NodeReport{Incarnation: "1", Asked: seq - 1})
		ask(l, now, seq, testRoom, now)
		now += 200 * time.Millisecond
	}
	if a := ask(l, now, 100, testRoom, now); a.Reason != ReasonRoom || a.Free > now+time.Second {
		t.Errorf("%+v at %v, want a release within a second, as all before", a, now)
	}
	l.Report(now, "a", NodeReport{Incarnation: "1", Asked: 100, Held: []Reservation{{Key: Key{Seq: 99}, Engine: "e", Tokens: testRoom, Until: now + 300*time.Millisecond}}})
	if a := ask(l, now, 101, testRoom, now); a.Reason != ReasonRoom || a.Free > now+300*time.Millisecond {
		t.Errorf("%+v, want the deadline, which is earlier", a)
	}
}
