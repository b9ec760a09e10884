package steer

import (
	"fmt"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// choiceBoard returns a board with four engines that hold model m.
func choiceBoard() *FleetView {
	b := NewFleetView("z", func() time.Duration { return time.Hour })
	targets := map[string]fleet.Target{}
	for i := range 4 {
		id := fmt.Sprintf("e%d", i)
		targets[id] = fleet.Target{ID: id, Service: "s", Zone: "z", Slots: 12, Models: map[string][]string{"m": nil}}
	}
	b.SetTargets(fleet.NewTargets(targets))
	return b
}

func shares(b *FleetView) map[string]int {
	got := map[string]int{}
	for range 2000 {
		c, _ := b.Pick(Requirements{Service: "s", Model: "m"})
		got[c.Target.ID]++
	}
	return got
}

// TestChoiceByOldCountsSpreads: all hosts see the same counts, 0.4 s old, and
// send the requests of that time by them.
func TestChoiceByOldCountsSpreads(t *testing.T) {
	b := choiceBoard()
	b.SetRemote(map[string]int{"e0": 3, "e1": 4, "e2": 4, "e3": 4})
	if got := shares(b); got["e0"] > 1000 || got["e1"] < 200 {
		t.Errorf("one target takes most of what all hosts send: %v", got)
	}
	b.SetRemote(map[string]int{"e0": 11, "e1": 1, "e2": 1, "e3": 1})
	if got := shares(b); got["e0"] > 100 {
		t.Errorf("a target with many requests takes its share all the same: %v", got)
	}
}

// TestFullEnginesTakeNothing: hot copies are full; waiting asks for another copy.
func TestFullEnginesTakeNothing(t *testing.T) {
	b := choiceBoard()
	b.SetRemote(map[string]int{"e0": 12, "e1": 12, "e2": 12, "e3": 12})
	if c, ok := b.Pick(Requirements{Service: "s", Model: "m"}); ok {
		t.Errorf("%s is full and was chosen", c.Target.ID)
	}
}

func TestDarkEngineTakesNothing(t *testing.T) {
	b := choiceBoard()
	for _, id := range []string{"e0", "e1", "e2", "e3"} {
		b.RecordUnreachable(id)
	}
	if c, ok := b.Pick(Requirements{Service: "s", Model: "m"}); ok {
		t.Errorf("%s can't be reached and was chosen", c.Target.ID)
	}
}
