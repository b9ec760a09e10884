package coordinator

import (
	"fmt"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// choiceView returns a view of four engines that hold model m.
func choiceView() *FleetView {
	f := NewFleetView("z", func() time.Duration { return time.Hour })
	targets := map[string]fleet.Target{}
	for i := range 4 {
		id := fmt.Sprintf("e%d", i)
		targets[id] = fleet.Target{ID: id, Service: "s", Zone: "z", Slots: 12, Models: map[string][]string{"m": nil}}
	}
	f.SetTargets(fleet.NewTargets(targets))
	return f
}

func shares(f *FleetView) map[string]int {
	got := map[string]int{}
	for range 2000 {
		c, _ := f.Pick(Requirements{Service: "s", Model: "m"})
		got[c.Target.ID]++
	}
	return got
}

// TestChoiceSpreadsLoadDespiteStaleCounts checks that the least loaded engine does not get
// most requests: all hosts choose by the same counts, which are up to 0.4 s old.
func TestChoiceSpreadsLoadDespiteStaleCounts(t *testing.T) {
	f := choiceView()
	f.SetRemoteLoad(map[string]int{"e0": 3, "e1": 4, "e2": 4, "e3": 4})
	if got := shares(f); got["e0"] > 1000 || got["e1"] < 200 {
		t.Errorf("requests by engine: %v, want a spread over all engines", got)
	}
	f.SetRemoteLoad(map[string]int{"e0": 11, "e1": 1, "e2": 1, "e3": 1})
	if got := shares(f); got["e0"] > 100 {
		t.Errorf("requests by engine: %v, want few at the loaded engine e0", got)
	}
}

// TestFullEnginesAreNotChosen checks that requests wait if all copies of a hot model are
// full. The waiting requests lead to another copy.
func TestFullEnginesAreNotChosen(t *testing.T) {
	f := choiceView()
	f.SetRemoteLoad(map[string]int{"e0": 12, "e1": 12, "e2": 12, "e3": 12})
	if c, ok := f.Pick(Requirements{Service: "s", Model: "m"}); ok {
		t.Errorf("chose engine %s, which is full", c.Target.ID)
	}
}

func TestUnreachableEngineIsNotChosen(t *testing.T) {
	f := choiceView()
	for _, id := range []string{"e0", "e1", "e2", "e3"} {
		f.RecordUnreachable(id)
	}
	if c, ok := f.Pick(Requirements{Service: "s", Model: "m"}); ok {
		t.Errorf("chose engine %s, which is unreachable", c.Target.ID)
	}
}

// TestTargetWithLimitIsChosenLast guards against requests that another target can take going to one in need, be it an
// engine or a plain target.
func TestTargetWithLimitIsChosenLast(t *testing.T) {
	now := time.Hour
	f := NewFleetView("z", func() time.Duration { return now })
	a, b := fleet.Target{ID: "a", Service: "s", Slots: 8}, fleet.Target{ID: "b", Service: "s", Slots: 8}
	f.SetTargets(fleet.NewTargets(map[string]fleet.Target{"a": a, "b": b}))
	f.RecordLimit(a, 1.5)
	for range 20 { // the choice is random
		if c, ok := f.Pick(Requirements{Service: "s"}); !ok || c.Target.ID != "b" || c.NeedsPermit {
			t.Fatalf("chosen %+v, want b without a permit", c)
		}
	}
	if c, ok := f.Pick(Requirements{Service: "s", Avoid: map[string]bool{"b": true}}); !ok || c.Target.ID != "a" || !c.NeedsPermit {
		t.Errorf("chosen %+v, want a with a permit", c)
	}
	f.avoidWithoutPermit("a", time.Second)
	if c, ok := f.Pick(Requirements{Service: "s", Avoid: map[string]bool{"b": true}}); ok {
		t.Errorf("chosen %+v while a permit is denied, want none", c)
	}
	now += time.Second
	f.RecordLimit(a, 0)
	if c, ok := f.Pick(Requirements{Service: "s", Avoid: map[string]bool{"b": true}}); !ok || c.NeedsPermit {
		t.Errorf("chosen %+v after the limit has ended, want a without a permit", c)
	}
}
