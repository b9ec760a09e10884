package swap

import (
	"testing"
	"time"
)

// TestPlanWithoutEngines guards against a panic of the planner while a service with hot models has no engine listed.
func TestPlanWithoutEngines(t *testing.T) {
	s := State{Now: now, Models: models("hot", "rare"), Demands: map[string]Demand{
		"hot": {Rate: 20, Waiting: 3, Due: now + time.Second}, "rare": {Waiting: 1, Due: now + time.Second},
	}}
	if moves := Plan(s, DefaultOptions()); len(moves) != 0 {
		t.Errorf("got %+v, want no moves", moves)
	}
	s.Demands["hot"] = Demand{Rate: 20}
	if moves := Plan(s, DefaultOptions()); len(moves) != 0 {
		t.Errorf("got %+v, want no moves", moves)
	}
}
