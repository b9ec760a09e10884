package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// coldEngines is the part of an engineFleet that plays engines that are cold.
type coldEngines struct {
	limit    *fleet.ColdLimit           // of the service; it must be set before the hosts start
	until    map[string]time.Duration   // by engine, when it is warm
	since    map[string]time.Duration   // by engine, when it became cold
	told     map[string]time.Duration   // by engine, until when hosts need not know yet that it is cold
	arrivals map[string][]time.Duration // of requests at engines that have ever been cold
	crashes  int
}

// Bounds of requests to a cold engine in any second.
const (
	coldOverage = 1.5
	coldSlack   = 5
)

// newColdFleet starts a fleet whose engines take a rate of requests while they are cold.
func newColdFleet(t *testing.T, hosts, engines, slots int, rate float64, seed uint64) *engineFleet {
	f := newEngineFleetWithSlots(t, hosts, engines, slots, seed)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold = coldEngines{
		limit: &fleet.ColdLimit{Time: 3 * time.Second, Rate: rate}, until: map[string]time.Duration{}, since: map[string]time.Duration{},
		told: map[string]time.Duration{}, arrivals: map[string][]time.Duration{},
	}
	for _, view := range f.views {
		c := *view.Config()
		spec := c.Services["llm"]
		spec.Cold = f.cold.limit
		c.Services = map[string]fleet.Service{"llm": spec}
		c.Index()
		view.SetConfig(&c)
	}
	return f
}

// returnEngines starts engines that are registered as cold, and lists them together.
func (f *engineFleet) returnEngines(n int, cold time.Duration) (ids []string) {
	f.mu.Lock()
	for range n {
		f.startEngine()
		id := fmt.Sprint("e", f.started)
		t := f.listed[id]
		t.WarmupLeft = cold
		f.listed[id] = t
		f.cold.since[id], f.cold.until[id], f.cold.told[id] = f.now(), f.now()+cold, f.now()
		ids = append(ids, id)
	}
	f.mu.Unlock()
	f.list()
	return ids
}

// playSound sends sound requests for a duration, also more than one in a step.
func (f *engineFleet) playSound(d time.Duration, perSecond float64) {
	const step = 10 * time.Millisecond
	due := 0.0
	for end := f.now() + d; f.now() < end; time.Sleep(step) {
		for due += f.random.ExpFloat64() * perSecond * step.Seconds(); due >= 1; due-- {
			f.send(f.soundParts()...)
		}
	}
}

// turnCold makes an engine cold, of which only its responses tell.
func (f *engineFleet) turnCold(id string, cold time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cold.since[id], f.cold.until[id], f.cold.told[id] = f.now(), f.now()+cold, f.now()+toldTime
}

// arriveAtCold records a request at an engine that has ever been cold. If the engine is cold, its responses say so, and it
// crashes above the bound.
func (f *engineFleet) arriveAtCold(e *simulatedEngine, header http.Header) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	left := f.cold.until[e.id] - now
	if f.cold.until[e.id] == 0 {
		return
	}
	f.cold.arrivals[e.id] = append(f.cold.arrivals[e.id], now)
	if left <= 0 {
		return
	}
	header.Set("Cold", left.String())
	n := 0
	for _, at := range f.cold.arrivals[e.id] {
		if at > max(now-time.Second, f.cold.told[e.id]) {
			n++
		}
	}
	if float64(n) > coldOverage*f.cold.limit.Rate+coldSlack && f.engines[e.id] != nil {
		f.cold.crashes++
		go f.crash(e.id)
	}
}

// coldUse returns the most requests that any of the engines got in a second while it was cold and hosts had been told, and the
// mean of all in a second.
func (f *engineFleet) coldUse(ids []string) (most int, mean float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	total, seconds := 0, 0.0
	for _, id := range ids {
		var at []time.Duration
		for _, a := range f.cold.arrivals[id] {
			if a >= f.cold.told[id] && a < f.cold.until[id] {
				at = append(at, a)
			}
		}
		total += len(at)
		seconds += (min(f.cold.until[id], f.now()) - f.cold.told[id]).Seconds()
		for i := range at {
			first, _ := slices.BinarySearch(at, at[i]-time.Second+1)
			most = max(most, i-first+1)
		}
	}
	return most, float64(total) / seconds
}

// checkCold fails the test if an engine crashed since it got too many requests while it was cold, or if all got fewer than a share
// of their rate.
func (f *engineFleet) checkCold(ids []string, least float64) {
	f.t.Helper()
	most, mean := f.coldUse(ids)
	f.t.Logf("cold engines got %d requests in a second at most, %.1f in the mean", most, mean)
	f.mu.Lock()
	defer f.mu.Unlock()
	if allowed := coldOverage*f.cold.limit.Rate + coldSlack; float64(most) > allowed || f.cold.crashes > 0 {
		f.t.Errorf("cold engines got %d requests in a second, %.0f allowed; %d crashed", most, allowed, f.cold.crashes)
	}
	if mean < least*f.cold.limit.Rate {
		f.t.Errorf("cold engines got %.1f requests a second in the mean, want %.1f at least", mean, least*f.cold.limit.Rate)
	}
}

// TestEnginesOfAZoneReturnTogether guards against thirty engines that are listed at once as cold crashing under the load that
// they attract, and against the thirty others turning requests away.
func TestEnginesOfAZoneReturnTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 30, 30, 12, 2, 1)
		f.playSound(4*time.Second, 250)
		ids := f.returnEngines(30, 3*time.Second)
		back := f.now()
		f.playSound(3*time.Second, 250)
		f.checkCold(ids, 0)
		warm := f.now()
		f.playSound(5*time.Second, 250)
		time.Sleep(time.Second)
		f.checkBegun(back, 0.98)
		if n := f.arrivedAtCold(ids, warm+2*time.Second); n < 3*250/2/2 {
			t.Errorf("%d requests reached the thirty engines from 2 s after they were warm, want half of their share at least", n)
		}
	})
}

// TestEnginesOfTheOnlyZoneReturnTogether guards against hosts that use a small part of what cold engines take, where there are no
// others, and against the engines crashing.
func TestEnginesOfTheOnlyZoneReturnTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newColdFleet(t, 30, 0, 12, 4, 1)
		time.Sleep(4 * time.Second)
		ids := f.returnEngines(30, 3*time.Second)
		f.playSound(3*time.Second, 250)
		f.checkCold(ids, 0.8)
		warm := f.now()
		f.playSound(3*time.Second, 250)
		time.Sleep(time.Second)
		f.checkBegun(warm, 0.98)
	})
}

// arrivedAtCold returns how many requests reached engines that have ever been cold since a time.
func (f *engineFleet) arrivedAtCold(ids []string, from time.Duration) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		for _, at := range f.cold.arrivals[id] {
			if at >= from {
				n++
			}
		}
	}
	return n
}

// TestWarmEngineTurnsCold guards against an engine that turns cold without notice going on to get its share, and against its not
// getting it back. Each of the engines has about sixty requests, and the share rises more slowly than among many engines with few.
func TestWarmEngineTurnsCold(t *testing.T) {
	const window, fair, seeds = 500 * time.Millisecond, 25, 5
	early, late := 0, 0
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newColdFleet(t, 8, 4, 0, 20, seed)
		f.playSound(3*time.Second, 200)
		turned := f.now()
		f.turnCold("e1", 4*time.Second)
		f.playSound(4*time.Second, 200)
		f.checkCold([]string{"e1"}, 0)
		warm := f.now()
		f.playSound(8*time.Second, 200)
		counts := f.countArrivals("e1", warm, window, 16)
		t.Logf("requests in each %v once warm: %v, a fair share is %d", window, counts, fair)
		run := 0
		for i, n := range counts[4:] {
			if i < 4 {
				early += n
			} else {
				run += n
			}
		}
		if run < 8*fair/2 {
			t.Errorf("%d requests from 4 to 8 s after it was warm, a fair share is %d", run, 8*fair)
		}
		late += run
		f.checkBegun(turned, 0.99)
	})
	if got := float64(early) / (4 * fair * seeds); got < 0.35 { // usually a half
		t.Errorf("%.2f of a fair share from 2 to 4 s after it was warm, in the mean of %d runs", got, seeds)
	}
	if got := float64(late) / (8 * fair * seeds); got < 0.75 { // usually 0.85
		t.Errorf("%.2f of a fair share from 4 to 8 s after it was warm, in the mean of %d runs", got, seeds)
	}
}

// TestColdEnginesWhileHostsAreCut guards against two groups of hosts that each send a cold engine what it takes from all, and is the
// control of what they use together.
func TestColdEnginesWhileHostsAreCut(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newColdFleet(t, 8, 3, 0, 20, seed)
		f.playSound(10*time.Second, 20)
		for a := range 4 {
			for b := 4; b < 8; b++ {
				f.network.SetBlocked(fmt.Sprint("h", a), fmt.Sprint("h", b), true)
			}
		}
		ids := []string{"e1", "e2", "e3"}
		for _, id := range ids {
			f.turnCold(id, 15*time.Second)
		}
		f.playSound(8*time.Second, 180)
		f.checkCold(ids, 0.7)
		for a := range 4 {
			for b := 4; b < 8; b++ {
				f.network.SetBlocked(fmt.Sprint("h", a), fmt.Sprint("h", b), false)
			}
		}
		f.playSound(7*time.Second, 180)
		f.checkCold(ids, 0.7)
	})
}

// TestColdEnginesWhileHostsRestart guards against hosts that share the rate anew with each coordinator.
func TestColdEnginesWhileHostsRestart(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newColdFleet(t, 8, 3, 0, 20, seed)
		f.playSound(5*time.Second, 20)
		ids := []string{"e1", "e2", "e3"}
		for _, id := range ids {
			f.turnCold(id, time.Minute)
		}
		f.playSound(2*time.Second, 180)
		for i := range 4 { // the coordinator is the first host that runs
			f.killHost(i)
			f.playSound(1500*time.Millisecond, 180)
			f.startHost(i)
			f.playSound(2500*time.Millisecond, 180)
		}
		f.checkCold(ids, 0.3)
	})
}

// TestShareOfAnEngineRisesOnceItIsWarm guards against all hosts sending their next requests to an engine that has no load yet, and
// against its being left without load. Another engine shows what the counts of other hosts, which are old, make of an even load.
func TestShareOfAnEngineRisesOnceItIsWarm(t *testing.T) {
	const engines, perSecond, window, seeds = 15, 300, 200 * time.Millisecond, 5
	fair := perSecond * window.Seconds() / (engines + 1)
	late, most, usual, firsts := 0, 0, 0, 0
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newColdFleet(t, 24, engines, 0, 2, seed)
		f.playSound(4*time.Second, perSecond)
		id := f.returnEngines(1, 2*time.Second)[0]
		f.mu.Lock()
		for _, other := range []string{"e1", "e2", "e3"} { // their arrivals are recorded
			f.cold.until[other] = f.now()
		}
		f.mu.Unlock()
		f.playSound(2*time.Second, perSecond)
		warm := f.now()
		f.playSound(10*time.Second, perSecond)
		counts := f.countArrivals(id, warm, window, 50)
		for _, other := range []string{"e1", "e2", "e3"} {
			usual = max(usual, slices.Max(f.countArrivals(other, warm, window, 50)))
		}
		t.Logf("requests in each %v once warm: %v; at most %d at three other engines so far; a fair share is %.1f", window, counts, usual, fair)
		first := slices.Max(counts[:5])
		if float64(first) > 3.5*fair {
			t.Errorf("%d requests in %v of the first second, a fair share is %.1f", first, window, fair)
		}
		firsts += first
		most = max(most, slices.Max(counts[:20]))
		run := 0
		for _, n := range counts[10:] {
			run += n
		}
		if got := float64(run) / (fair * 40); got < 0.5 {
			t.Errorf("%.2f of a fair share from 2 to 10 s after it was warm", got)
		}
		late += run
	})
	// One run in twenty has 10; without the rise over time it is 22 in the mean, 16 at least.
	if mean := float64(firsts) / seeds; mean > 2.2*fair {
		t.Errorf("%.1f requests in %v of the first second, in the mean of the largest of %d runs, a fair share is %.1f", mean, window, seeds, fair)
	}
	// Later on it is like any other engine. Loads of equal engines oscillate, so that in one run one of them may get twice the most of others.
	if float64(most) > 1.3*float64(usual) {
		t.Errorf("%d requests in %v of the first 4 s, %d at most at other engines", most, window, usual)
	}
	// Equal engines differ by a third in one run. In the mean of many runs the share over this time is 0.95.
	if got := float64(late) / (fair * 40 * seeds); got < 0.75 {
		t.Errorf("%.2f of a fair share from 2 to 10 s after it was warm, in the mean of %d runs", got, seeds)
	}
}

// countArrivals returns how many requests reached an engine in each of n windows from a time on.
func (f *engineFleet) countArrivals(id string, from, window time.Duration, n int) []int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make([]int, n)
	for _, at := range f.cold.arrivals[id] {
		if i := int((at - from) / window); at >= from && i < n {
			counts[i]++
		}
	}
	return counts
}
