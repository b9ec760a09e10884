package quota

import (
	"flag"
	"fmt"
	"math"
	"sort"
	"testing"
	"time"
)

var (
	seeds     = flag.Int("quota.seeds", 50, "seeded runs of the randomised test")
	firstSeed = flag.Int("quota.first", 0, "first seed of the randomised test")
)

// overspend returns the most by which the log exceeds what an ideal bucket
// with the largest rate and burst in force on any host would have allowed. A
// bucket that never runs below zero is the same as the bound holding in every
// window.
func (w *world) overspend(limit string) int64 {
	current := make([]conf, len(w.nodes))
	level, worst, last := math.Inf(1), 0.0, time.Duration(0)
	var rate, burst float64
	advance := func(to time.Duration) {
		if rate == 0 {
			last = to
			return // nothing was in force yet
		}
		level = min(burst, level+rate*Nano*(to-last).Seconds())
		last = to
	}
	next := 0
	for _, s := range w.log[limit] {
		for ; next < len(w.views) && w.views[next].order < s.order; next++ {
			if v := w.views[next]; v.limit == limit {
				advance(v.at)
				current[v.node] = v.conf
				rate, burst = 0, 0
				for _, c := range current {
					rate = max(rate, c.rate)
					burst = max(burst, float64(c.burst*Nano))
				}
			}
		}
		advance(s.at)
		level -= float64(s.used)
		worst = max(worst, -level)
	}
	return int64(worst)
}

// heldAtOnce returns the most permits in use at any time.
func (w *world) heldAtOnce(limit string) int64 {
	type change struct {
		at time.Duration
		n  int64
	}
	var changes []change
	for _, s := range w.log[limit] {
		changes = append(changes, change{s.at, s.taken})
		if s.ended >= 0 {
			changes = append(changes, change{s.ended, -s.taken})
		}
	}
	sort.Slice(changes, func(i, j int) bool {
		return changes[i].at < changes[j].at || changes[i].at == changes[j].at && changes[i].n < changes[j].n
	})
	var sum, most int64
	for _, c := range changes {
		sum += c.n
		most = max(most, sum)
	}
	return most
}

// TestBoundHolds runs fleets under every fault at once and proves from the log
// that no window holds more than burst + rate*(e-s).
func TestBoundHolds(t *testing.T) {
	granted := 0
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		w := chaos(uint64(seed))
		for _, limit := range []string{"steady", "changing"} {
			// One nanotoken is the resolution of the checker's arithmetic
			// on 1e12 units held in a float64.
			if over := w.overspend(limit); over > 1000 {
				t.Fatalf("seed %d: %s overspent by %d nanotokens", seed, limit, over)
			}
			granted += len(w.log[limit])
		}
		if most := w.heldAtOnce("permits"); most > 4*Nano {
			t.Fatalf("seed %d: %d of 4 permits held at once", seed, most/Nano)
		}
		granted += len(w.log["permits"])
	}
	if granted < *seeds*100 {
		t.Fatalf("only %d reservations granted in %d runs", granted, *seeds)
	}
	t.Logf("%d seeds, %d reservations granted", *seeds, granted)
}

func chaos(seed uint64) *world {
	limits := map[string]conf{"steady": {100, 200}, "changing": {200, 100}, "permits": {0, 4}}
	w := newWorld(seed, 5, limits, map[string]Kind{"permits": Permits})
	w.faults = faults{lose: 0.05, duplicate: 0.05, slow: 0.02, loseAnswer: 0.1}
	const length = 90 * time.Second
	for at := time.Duration(0); at < length; at += time.Duration(w.rng.Int64N(int64(20 * time.Millisecond))) {
		w.after(at, func() { w.randomRequest() })
	}
	for at := 3 * time.Second; at < length; at += time.Duration(w.rng.Int64N(int64(4 * time.Second))) {
		w.after(at, w.randomFault)
	}
	w.run(length + 5*time.Second)
	return w
}

func (w *world) randomRequest() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	ignore := func(bool) {}
	hold := time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	switch w.rng.IntN(5) {
	case 0:
		n.request("permits", Nano, 0, hold/4, ignore)
	case 1, 2:
		taken := 1 + w.rng.Int64N(50*Nano)
		n.request("steady", taken, w.rng.Int64N(taken+1), hold, ignore)
	default:
		taken := 1 + w.rng.Int64N(50*Nano)
		n.request("changing", taken, w.rng.Int64N(taken+1), hold, ignore)
	}
}

func (w *world) randomFault() {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	long := time.Duration(w.rng.Int64N(int64(10 * time.Second)))
	switch w.rng.IntN(6) {
	case 0:
		if n.up {
			n.die(long)
			w.after(time.Duration(w.rng.Int64N(int64(15*time.Second))), n.restart)
		}
	case 1:
		if n.up && !n.paused {
			n.pause(time.Second + 3*long)
		}
	case 2:
		w.apiDown = true
		w.after(2*long, func() { w.apiDown = false })
	case 3:
		if n.up && !n.leaving {
			n.leave()
			w.after(10*time.Second, func() {
				if n.leaving && n.up {
					n.die(0)
				}
				n.restart()
			})
		}
	default:
		c := conf{50 + float64(w.rng.IntN(300)), 60 + w.rng.Int64N(200)}
		w.conf["changing"] = c
		for _, m := range w.nodes {
			m.do(time.Duration(w.rng.Int64N(int64(3*time.Second))), func() {
				if w.conf["changing"] == c {
					m.configure("changing", c)
				}
			})
		}
	}
}

// pair returns a home with the whole of a limit and a host that borrows.
func pair(kind Kind, rate float64, burst int64) (home, borrower *Limit) {
	a, b := ID{Name: "a"}, ID{Name: "b"}
	home, borrower = New("x", a, kind), New("x", b, kind)
	for _, l := range []*Limit{home, borrower} {
		l.Configure(0, rate, burst)
		l.Assign(0, Assignment{Epoch: 1, Home: a, Full: true})
	}
	return home, borrower
}

// exchange delivers all messages between the two until none is left.
func exchange(now time.Duration, home, borrower *Limit) (verdicts []WaitResult) {
	for {
		out := append(borrower.Outputs(), home.Outputs()...)
		if len(out) == 0 {
			return verdicts
		}
		for _, o := range out {
			switch {
			case o.LoanRequest != nil:
				home.HandleLoanRequest(now, borrower.self, *o.LoanRequest)
			case o.LoanReply != nil:
				borrower.HandleLoanReply(now, home.self, *o.LoanReply)
			case o.Recall != nil:
				borrower.HandleRecall(now, home.self, *o.Recall)
			default:
				verdicts = append(verdicts, *o.WaitResult)
			}
		}
	}
}

func TestWholeBurstInOneExchange(t *testing.T) {
	home, borrower := pair(Rate, 10, 100)
	borrower.Wait(0, 100*Nano, time.Second)
	home.HandleLoanRequest(0, borrower.self, *borrower.Outputs()[0].LoanRequest)
	borrower.HandleLoanReply(0, home.self, *home.Outputs()[0].LoanReply)
	v := exchange(0, home, borrower)
	if len(v) != 1 || !v[0].Granted || home.moves.Repeats != 0 {
		t.Fatalf("verdicts %+v after %d asks", v, borrower.moves.LoanRequests)
	}
}

// lendHalf has the borrower take half of a burst of 100 that home does not
// grant any request for, since its request went away.
func lendHalf(home, borrower *Limit) {
	wait := borrower.Wait(0, 50*Nano, time.Second)
	ask := *borrower.Outputs()[0].LoanRequest
	borrower.Cancel(0, wait)
	home.HandleLoanRequest(0, borrower.self, ask)
	borrower.HandleLoanReply(0, home.self, *home.Outputs()[0].LoanReply)
}

// TestReturnCutToLoweredBurst lowers the burst while half of the old one, or a
// claim on it, is on its way back to home, which meanwhile spent its half of
// the new one.
func TestReturnCutToLoweredBurst(t *testing.T) {
	for name, settle := range map[string]bool{"tokens": false, "claim": true} {
		home, borrower := pair(Rate, 1e-3, 100)
		lendHalf(home, borrower)
		r, ok := borrower.Take(0, 50*Nano)
		if !ok {
			t.Fatal("nothing was lent")
		}
		if !settle {
			borrower.Settle(0, r, 0)
		}
		borrower.HandleRecall(0, home.self, Recall{Limit: "x", Epoch: 1})
		home.Configure(0, 1e-3, 20)
		if _, ok := home.Take(0, 10*Nano); !ok {
			t.Fatal("home could not spend its half of the new burst")
		}
		exchange(0, home, borrower)
		if settle {
			borrower.Settle(0, r, 0)
			borrower.Tick(time.Second)
			exchange(time.Second, home, borrower)
		}
		if got := home.Held(0).Tokens; got > 10*Nano+Nano/100 {
			t.Errorf("%s: home holds %d nanotokens, 10 tokens of 20 were spent", name, got)
		}
	}
}

// TestOldAnswerIgnored delivers an answer of an earlier epoch of the same home.
func TestOldAnswerIgnored(t *testing.T) {
	home, borrower := pair(Rate, 1, 100)
	borrower.Wait(0, 50*Nano, time.Second)
	home.HandleLoanRequest(0, borrower.self, *borrower.Outputs()[0].LoanRequest)
	old := *home.Outputs()[0].LoanReply
	borrower.Assign(0, Assignment{Epoch: 3, Home: home.self})
	borrower.HandleLoanReply(0, home.self, old)
	for _, o := range borrower.Outputs() {
		if o.WaitResult != nil {
			t.Errorf("credited an earlier epoch: %+v", o.WaitResult)
		}
	}
}

func TestLedgerFencesByEpoch(t *testing.T) {
	a, b := ID{Name: "a"}, ID{Name: "b"}
	var l Ledger
	l.Open("x", a)
	if !l.Reassign("x", 1, b, 5) || l.Reassign("x", 1, a, 5) || l.Open("x", a) {
		t.Errorf("ledger changed from a past epoch: %+v", l.Limits["x"])
	}
}

// TestPermitsOutliveHome holds a release back while permits of the home that
// is gone are in use.
func TestPermitsOutliveHome(t *testing.T) {
	home, borrower := pair(Permits, 0, 4)
	borrower.Wait(0, 3*Nano, time.Second)
	v := exchange(0, home, borrower)
	if borrower.Release(0, home.self) {
		t.Fatal("released while permits are in use")
	}
	borrower.Settle(0, v[0].Reservation, 0)
	if !borrower.Release(0, home.self) {
		t.Fatal("not released with no permit in use")
	}
}

func ExampleLimit() {
	l := New("team", ID{Name: "a", Incarnation: "1"}, Rate)
	l.Configure(0, 10, 100)
	var ledger Ledger
	ledger.Open("team", ID{Name: "a", Incarnation: "1"})
	l.Assign(0, ledger.Limits["team"])
	r, ok := l.Take(0, 60*Nano)
	l.Settle(time.Second, r, 20*Nano)
	fmt.Println(ok, l.Held(time.Second).Tokens/Nano)
	// Output: true 90
}
