package steer

import (
	"testing"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

func testCoordinator() (*Coordinator, *time.Duration) {
	now := time.Hour
	clock := func() time.Duration { return now }
	confirmed := func() (uint64, time.Duration, time.Duration) { return 1, now, now }
	return NewCoordinator("c", NewFleetView("z", clock), nil, confirmed, false, clock, quietLog()), &now
}

func use(n float64) map[string]float64 { return map[string]float64{"t": n} }

// TestHostsThatReportLateHaveNotSpentNow: hosts come to a new coordinator one
// after the other, each with what it spent since its start.
func TestHostsThatReportLateHaveNotSpentNow(t *testing.T) {
	c, _ := testCoordinator()
	first := c.Report("a", Report{Incarnation: "1", Full: true, Use: use(100_000)})
	c.Report("b", Report{Incarnation: "1", Full: true, Use: use(900_000)})
	n := c.Report("a", Report{Incarnation: "1"})
	if n.Use["t"] != first.Use["t"] || n.UseEpoch != first.UseEpoch {
		t.Errorf("host a is told that the others spent %v", n.Use)
	}
	c.Report("b", Report{Incarnation: "1", Use: use(905_000)})
	if n = c.Report("a", Report{Incarnation: "1"}); n.Use["t"] != 5_000 {
		t.Errorf("host a is told of %v, want 5000", n.Use)
	}
}

// TestReportInFullAgainCountsOnce: the answer to a report was lost.
func TestReportInFullAgainCountsOnce(t *testing.T) {
	c, _ := testCoordinator()
	c.Report("a", Report{Incarnation: "1", Full: true, Use: use(0)})
	c.Report("b", Report{Incarnation: "1", Full: true, Use: use(1_000), Running: []RunCount{{"e", "m", 3}}})
	c.Report("b", Report{Incarnation: "1", Full: true, Use: use(3_000), Running: []RunCount{{"e", "m", 3}}})
	n := c.Report("a", Report{Incarnation: "1"})
	if n.Use["t"] != 2_000 || n.Load["e"] != 3 {
		t.Errorf("host a is told of use %v and load %v, want 2000 and 3", n.Use, n.Load)
	}
}

// TestLoadsOfTheCoordinatorBeforeCount: coordinators change during herd kills;
// the next one must not order as many loads from the store again.
func TestLoadsOfTheCoordinatorBeforeCount(t *testing.T) {
	c, _ := testCoordinator()
	target := fleet.Target{ID: "e", OnDisk: []string{"a"}}
	for _, each := range []struct {
		name string
		view EngineView
		want bool
	}{
		{"idle", EngineView{Models: map[string]ModelView{"a": {}}}, false},
		{"from its disk", EngineView{Busy: true, Models: map[string]ModelView{"a": {State: swap.Loading}}}, false},
		{"from the store", EngineView{Busy: true, Models: map[string]ModelView{"b": {State: swap.Loading}}}, true},
		{"of an owner that is gone", EngineView{Busy: true, Unasked: true}, true},
	} {
		if got := c.loadsFromStore(target, each.view); got != each.want {
			t.Errorf("%s: got %v", each.name, got)
		}
	}
	c.moves["e"] = &move{command: SwapCommand{Load: "b", Source: swap.FromStore}}
	if !c.loadsFromStore(target, EngineView{Models: map[string]ModelView{}}) {
		t.Error("the own move does not count")
	}
}
