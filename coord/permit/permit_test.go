package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const start = time.Hour

// TestIssuedRate guards against more permits than the limit, however many hosts ask, and against unused ones.
func TestIssuedRate(t *testing.T) {
	for _, hosts := range []int{1, 8, 295} {
		for _, rate := range []float64{0.3, 1.9, 12} {
			i, random := NewIssuer(), rand.New(rand.NewPCG(1, 2))
			next := make([]time.Duration, hosts)
			granted, asked := 0, 0
			const seconds = 60
			for now := start; now < start+seconds*time.Second; now += 5 * time.Millisecond {
				for h := range hosts {
					if now < next[h] {
						continue
					}
					asked++
					a := i.Ask(now, Request{Target: "target", Host: fmt.Sprint(h)}, Named(rate, 1))
					next[h] = now + time.Duration(float64(a.Wait)*(0.75+0.5*random.Float64()))
					if a.Granted {
						granted++
					}
				}
			}
			if most := rate*seconds + 1 + rate; float64(granted) > most || float64(granted) < 0.9*rate*seconds-1 {
				t.Errorf("%d hosts: %d permits in %d s at %v a second", hosts, granted, seconds, rate)
			}
			if float64(asked) > 4*rate*seconds+float64(seconds*hosts) {
				t.Errorf("%d hosts, %v a second: asked %d times in %d s, want 4 times a permit and once a second and host at most", hosts, rate, asked, seconds)
			}
		}
	}
}

// TestNewIssuerHasNoPermits guards against a change of coordinating hosts giving each a burst.
func TestNewIssuerHasNoPermits(t *testing.T) {
	r := Request{Target: "target", Host: "a"}
	if a := NewIssuer().Ask(start, r, Named(2, 1)); a.Granted || a.Wait != time.Second/2 {
		t.Errorf("granted %v, wait %v, want none for half a second", a.Granted, a.Wait)
	}
	if a := NewIssuer().Ask(start, r, Named(0, 1)); a.Granted || a.Wait != maxWait {
		t.Errorf("granted %v, wait %v without a rate", a.Granted, a.Wait)
	}
}

// TestLimitsOfTargets covers what is known of a target after its responses.
func TestLimitsOfTargets(t *testing.T) {
	l := NewLimits()
	expect := func(at, want float64, wantStale bool) {
		t.Helper()
		now := start + time.Duration(at*float64(time.Second))
		if rate, stale := l.Rate(now, "e"); rate != want || stale != wantStale {
			t.Errorf("at %v s: limit %v, stale %v, want %v, %v", at, rate, stale, want, wantStale)
		}
	}
	l.Observe(start, "e", 0)
	expect(0, 0, false)
	l.Observe(start, "e", 2)
	l.Observe(start+50*time.Millisecond, "e", 0) // overtaken by the one before
	expect(0.5, 2, false)
	expect(2.5, 2, true)
	l.Observe(start+2500*time.Millisecond, "e", 0)
	expect(2.6, 0, false)
	l.Merge(start+2700*time.Millisecond, []Record{{Target: "e", Rate: 2, AgeMS: 1000}}, true)
	expect(2.8, 0, false)
	if got := len(l.TakeChanges()); got != 2 {
		t.Errorf("%d changes, want 2", got)
	}
	l.Expire(start + 2*memory)
	if len(l.known) != 0 {
		t.Error("a target without responses is not forgotten")
	}
}

// TestLimitsReachAllHosts guards against hosts that know only the limits that they were told themselves, and against
// records that go back and forth.
func TestLimitsReachAllHosts(t *testing.T) {
	coordinator, now := NewLimits(), start
	hosts := []*Limits{NewLimits(), NewLimits(), NewLimits()}
	up, down := make([]uint64, 3), make([]uint64, 3)
	exchange := func() (sent int) {
		for i, l := range hosts {
			var records []Record
			records, up[i] = l.Changes(now, up[i], ToCoordinator)
			coordinator.Merge(now, records, false)
			sent += len(records)
			records, down[i] = coordinator.Changes(now, down[i], ToHost)
			l.Merge(now, records, true)
			sent += len(records)
		}
		return sent
	}
	hosts[2].Observe(now, "e", 2)
	exchange()
	now += 100 * time.Millisecond
	exchange()
	for i, l := range hosts {
		if rate, _ := l.Rate(now, "e"); rate != 2 {
			t.Errorf("host %d: limit %v, want 2", i, rate)
		}
	}
	now += 100 * time.Millisecond
	if n := exchange(); n > 0 {
		t.Errorf("%d records sent again", n)
	}
	now += time.Second
	hosts[0].Observe(now, "e", 0)
	exchange()
	exchange()
	for i, l := range hosts {
		if rate, _ := l.Rate(now, "e"); rate != 0 {
			t.Errorf("host %d: limit %v after its end", i, rate)
		}
	}
	if records, _ := coordinator.Changes(now, 0, ToHost); len(records) != 1 {
		t.Errorf("a new host is sent %d records, want 1", len(records))
	}
}
