package coordinator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"buckthornseam.dev/coord/kvmemory"
	"buckthornseam.dev/seam/internal/fleet"
)

// slotFleet is a fleet of views that choose engines while their counts of other hosts are up to 0.8 s old. Engines turn
// nothing away.
type slotFleet struct {
	random   *rand.Rand
	now      time.Duration
	views    []*FleetView
	reported []map[string]int // by host, as last reported
	total    map[string]int   // as reported
	inside   map[string]int
	ends     []func()
	endsAt   []time.Duration
	waiting  []int // requests by host
	most     int   // requests at one engine
	tokens   map[string]int64
	limit    int64 // tokens of a small request
	worst    int64 // tokens at one engine
	served   int
}

const slotStep = 5 * time.Millisecond

func newSlotFleet(hosts, engines, slots, copies int, seed uint64) *slotFleet {
	f := &slotFleet{random: rand.New(rand.NewPCG(seed, 3)), now: time.Hour, total: map[string]int{}, inside: map[string]int{}, tokens: map[string]int64{}, waiting: make([]int, hosts)}
	targets := map[string]fleet.Target{}
	for i := range engines {
		t := fleet.Target{ID: fmt.Sprint("e", i), Service: "s", Slots: slots, Models: map[string][]string{}}
		if i < copies {
			t.Models["m"] = nil
		}
		targets[t.ID] = t
	}
	set := fleet.NewTargets(targets)
	for range hosts {
		v := NewFleetView("", func() time.Duration { return f.now })
		v.SetTargets(set)
		f.views, f.reported = append(f.views, v), append(f.reported, map[string]int{})
	}
	return f
}

// report exchanges the counts of a host with the others'.
func (f *slotFleet) report(i int) {
	v, others := f.views[i], map[string]int{}
	for id := range v.targets.ByID {
		f.total[id] += v.load[id] - f.reported[i][id]
		f.reported[i][id] = v.load[id]
		others[id] = f.total[id] - v.load[id]
	}
	v.SetRemoteLoad(others)
	if f.waiting[i] > 0 {
		n := 0
		for _, w := range f.waiting {
			n += w
		}
		v.SetBacklogs([]Backlog{{Service: "s", Model: "m", InTime: n}})
	}
}

func (f *slotFleet) tryOne(i int, runTime time.Duration) bool {
	c, ok := f.views[i].Pick(Requirements{Service: "s", Model: "m"})
	if !ok {
		return false
	}
	end, _ := f.views[i].BeginRequest(c.Target, "m")
	f.inside[c.Target.ID]++
	f.most, f.served = max(f.most, f.inside[c.Target.ID]), f.served+1
	tokens := f.limit/4 + f.random.Int64N(f.limit-f.limit/4+1)
	f.tokens[c.Target.ID] += tokens
	f.worst = max(f.worst, f.tokens[c.Target.ID])
	f.ends = append(f.ends, func() {
		f.inside[c.Target.ID]--
		f.tokens[c.Target.ID] -= tokens
		end()
	})
	f.endsAt = append(f.endsAt, f.now+time.Duration(f.random.ExpFloat64()*float64(runTime)))
	return true
}

// play sends perSecond requests a second, which run for runTime in the mean.
func (f *slotFleet) play(d time.Duration, perSecond float64, runTime time.Duration) {
	const retrySteps, reportSteps = int(100 * time.Millisecond / slotStep), int(reportInterval / slotStep)
	due := 0.0
	for step := range int(d / slotStep) {
		f.now += slotStep
		for i := len(f.ends) - 1; i >= 0; i-- {
			if f.now >= f.endsAt[i] {
				f.ends[i]()
				last := len(f.ends) - 1
				f.ends[i], f.endsAt[i] = f.ends[last], f.endsAt[last]
				f.ends, f.endsAt = f.ends[:last], f.endsAt[:last]
			}
		}
		for i := range f.views {
			if (step+i*7)%reportSteps == 0 {
				f.report(i)
			}
			for (step+i*3)%retrySteps == 0 && f.waiting[i] > 0 && f.tryOne(i, runTime) {
				f.waiting[i]--
			}
		}
		due += perSecond * slotStep.Seconds() * -math.Log(1-f.random.Float64())
		for ; due >= 1; due-- {
			if i := f.random.IntN(len(f.views)); !f.tryOne(i, runTime) {
				f.waiting[i] = min(f.waiting[i]+1, 20)
			}
		}
	}
}

// TestSmallRequestsStayWithinTheirShare guards against small requests that take more memory than reservations leave, because hosts
// choose by counts of others that lag, at engines that turn nothing away.
func TestSmallRequestsStayWithinTheirShare(t *testing.T) {
	for _, c := range []struct {
		hosts, engines, slots int
		perSecond             float64
		capacity              int64
	}{{8, 9, 12, 40, 60_000}, {70, 90, 12, 400, 168_547}, {64, 60, 24, 440, 208_516}, {80, 56, 16, 350, 208_515}, {295, 60, 24, 440, 208_516}} {
		left := c.capacity - kvmemory.RoomFor(c.capacity, c.slots, 0).Together
		for _, copies := range []int{c.engines, 2, 1} {
			f := newSlotFleet(c.hosts, c.engines, c.slots, copies, 1)
			f.limit = kvmemory.SmallLimit(c.capacity, c.slots)
			perSecond := c.perSecond * float64(copies) / float64(c.engines)
			f.play(6*time.Second, perSecond, time.Duration(0.6*float64(copies*c.slots)/perSecond*float64(time.Second)))
			t.Logf("%d hosts, %d engines with %d slots, %d copies: %.2f times the slots and %.2f of the memory at most, %d served", c.hosts, c.engines, c.slots, copies,
				float64(f.most)/float64(c.slots), float64(f.worst)/float64(c.capacity), f.served)
			if f.worst > left {
				t.Errorf("%d hosts, %d copies: small requests hold %d tokens, %d are left to them", c.hosts, copies, f.worst, left)
			}
		}
	}
}
