package coordinator

import (
	"fmt"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// TestBacklogDoesNotOverloadNewCopy covers sixty hosts with five waiting requests each that
// learn at the same time of the only ready copy of a hot model, after one of ninety engines
// crashed. The engine takes twelve requests and sheds the others, which would use up the
// retry budget.
func TestBacklogDoesNotOverloadNewCopy(t *testing.T) {
	const hosts, each, slots, rounds = 60, 5, 12, 50
	sent := 0
	for range rounds {
		for range hosts {
			f := NewFleetView("z", func() time.Duration { return time.Hour })
			f.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e": {ID: "e", Service: "s", Zone: "z", Slots: slots, Models: map[string][]string{"m": nil}}}))
			f.SetBacklogs([]Backlog{{Service: "s", Model: "m", InTime: hosts * each}})
			for range each {
				if _, ok := f.Pick(Requirements{Service: "s", Model: "m"}); ok {
					f.BeginRequest(fleet.Target{ID: "e", Service: "s"}, "m")
					sent++
				}
			}
		}
	}
	if perRound := float64(sent) / rounds; perRound > slots || perRound < slots/4 {
		t.Errorf("sent %.1f requests at the same time to an engine with %d slots", perRound, slots)
	}
}

// TestFewRequestsAreNotHeldBack checks that requests do not wait while there are enough
// slots for all that can begin in time, and that late requests yield to these.
func TestFewRequestsAreNotHeldBack(t *testing.T) {
	f := choiceView()
	f.SetBacklogs([]Backlog{{Service: "s", Model: "m", InTime: 20, Late: 400}})
	for range 200 {
		if _, ok := f.Pick(Requirements{Service: "s", Model: "m"}); !ok {
			t.Fatal("no target chosen, want one: there are slots for all requests that can begin in time")
		}
	}
	c, ok := Choice{}, true
	for i := 0; ok && i < 1000; i++ {
		c, ok = f.Pick(Requirements{Service: "s", Model: "m", Late: true})
	}
	if ok || !c.Deferred {
		t.Error("late requests were not deferred, want them to yield to requests that can begin in time")
	}
}

// TestBacklogsCountAllHosts checks the backlog of a model while requests of two hosts wait
// for it, and after those of one host stop waiting.
func TestBacklogsCountAllHosts(t *testing.T) {
	c, _ := testCoordinator()
	waiting := func(n, late int) []WaitingRequests {
		return []WaitingRequests{{Service: "s", Model: "m", Count: n, Late: late}}
	}
	c.Report("a", Report{Incarnation: "1", Full: true, Waiting: waiting(5, 2)})
	update := c.Report("b", Report{Incarnation: "1", Full: true, Waiting: waiting(4, 0)})
	if got, want := fmt.Sprint(update.Backlogs), "[{s m 7 2}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	c.Report("a", Report{Incarnation: "1"})
	update = c.Report("b", Report{Incarnation: "1", Waiting: waiting(4, 1)})
	if got, want := fmt.Sprint(update.Backlogs), "[{s m 3 1}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if c.Report("b", Report{Incarnation: "1"}); len(c.totals.backlogs) != 0 {
		t.Errorf("got backlogs %v, want none", c.totals.backlogs)
	}
}
