package steer

import (
	"fmt"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// TestCrowdDoesNotOverrunAFreshCopy: one of ninety engines crashed, a hot model's
// only copy becomes ready, and sixty hosts with five waiting requests each hear
// of it at once. The engine runs twelve and sheds the rest, which use up the
// budget of repeats.
func TestCrowdDoesNotOverrunAFreshCopy(t *testing.T) {
	const hosts, each, slots, rounds = 60, 5, 12, 50
	sent := 0
	for range rounds {
		for range hosts {
			b := NewFleetView("z", func() time.Duration { return time.Hour })
			b.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e": {ID: "e", Service: "s", Zone: "z", Slots: slots, Models: map[string][]string{"m": nil}}}))
			b.SetCrowds([]Crowd{{Service: "s", Model: "m", InTime: hosts * each}})
			for range each {
				if _, ok := b.Pick(Requirements{Service: "s", Model: "m"}); ok {
					b.BeginRequest("e", "m")
					sent++
				}
			}
		}
	}
	if perRound := float64(sent) / rounds; perRound > slots || perRound < slots/4 {
		t.Errorf("%.1f requests at once go to an engine with room for %d", perRound, slots)
	}
}

// TestFewRequestsAreNotHeldBack: what fits goes at once, also where others wait.
func TestFewRequestsAreNotHeldBack(t *testing.T) {
	b := choiceBoard()
	b.SetCrowds([]Crowd{{Service: "s", Model: "m", InTime: 20, Late: 400}})
	for range 200 {
		if _, ok := b.Pick(Requirements{Service: "s", Model: "m"}); !ok {
			t.Fatal("held back with room for all that can be in time")
		}
	}
	c, ok := Choice{}, true
	for i := 0; ok && i < 1000; i++ {
		c, ok = b.Pick(Requirements{Service: "s", Model: "m", Late: true})
	}
	if ok || !c.Deferred {
		t.Error("late requests do not make way")
	}
}

// TestCrowdsOfAllHostsAreTold: two hosts wait for a model, one leaves off.
func TestCrowdsOfAllHostsAreTold(t *testing.T) {
	c, _ := testCoordinator()
	wants := func(n, late int) []Want { return []Want{{Service: "s", Model: "m", Waiting: n, Late: late}} }
	c.Report("a", Report{Incarnation: "1", Full: true, Wants: wants(5, 2)})
	n := c.Report("b", Report{Incarnation: "1", Full: true, Wants: wants(4, 0)})
	if got, want := fmt.Sprint(n.Crowds), "[{s m 7 2}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	c.Report("a", Report{Incarnation: "1"})
	n = c.Report("b", Report{Incarnation: "1", Wants: wants(4, 1)})
	if got, want := fmt.Sprint(n.Crowds), "[{s m 3 1}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if c.Report("b", Report{Incarnation: "1"}); len(c.totals.crowds) != 0 {
		t.Errorf("crowds are left: %v", c.totals.crowds)
	}
}
