package swap

import (
	"fmt"
	"testing"
	"time"
)

// hotFleet returns four engines, each full with a copy of one overloaded model, that all have a rare model on their disks.
func hotFleet(rare Demand) State {
	s := State{Now: now, Models: models("top", "rare"), Demands: map[string]Demand{
		"top": {Rate: 87, Waiting: 190, Due: now - time.Second}, "rare": rare,
	}}
	for i := range 4 {
		e := engine(fmt.Sprint("e", i), disk("top", "rare"), map[string]Copy{"top": {Running: 20}})
		e.CapacityMB, e.Slots = 80, 24
		s.Engines = append(s.Engines, e)
	}
	return s
}

// TestNeededCopyIsKeptWhileItsModelIsOverloaded guards against a hot model, for which 190 requests wait, losing a copy to a
// single request for a rare one. It had three copies or more, so that none counted as its last.
func TestNeededCopyIsKeptWhileItsModelIsOverloaded(t *testing.T) {
	for _, rare := range []Demand{
		{Rate: 0.9, Waiting: 1, Due: now + 5*time.Second},
		{Rate: 1.9, Waiting: 1, Due: now + 5*time.Second}, // a few requests within a moment count as a high rate
		{Rate: 1.9, Waiting: 1, Due: now + 500*time.Millisecond},
	} {
		for _, m := range Plan(hotFleet(rare), DefaultOptions()) {
			for _, model := range m.Unload {
				if model == "top" {
					t.Errorf("a copy of the overloaded model is evicted for a model with %+v", rare)
				}
			}
		}
	}
}

// TestManyWaitingRequestsTakeANeededCopy is the control: a rare model for which many requests wait gets a copy.
func TestManyWaitingRequestsTakeANeededCopy(t *testing.T) {
	s := hotFleet(Demand{Rate: 1, Waiting: 60, Due: now + time.Second})
	s.Demands["top"] = Demand{Rate: 87}
	if len(Plan(s, DefaultOptions())) == 0 {
		t.Error("sixty requests wait for a model, and no engine loads it")
	}
}

// TestReserveCopiesLeaveRoomInABurst guards against a second copy of each of many rare models that are asked for a few times
// within a second: they took all memory, and models that were asked for next had to evict a copy first.
func TestReserveCopiesLeaveRoomInABurst(t *testing.T) {
	s := State{Now: now, Models: map[string]Model{}, Demands: map[string]Demand{}}
	const engines = 40
	for i := range engines {
		name := fmt.Sprint("rare", i)
		s.Models[name], s.Demands[name] = models(name)[name], Demand{Rate: 1.6 + float64(i)/100}
	}
	for i := range engines {
		e := engine(fmt.Sprint("e", i), map[string]bool{}, map[string]Copy{fmt.Sprint("rare", i): {}})
		e.CapacityMB = 150 // two models
		for name := range s.Models {
			e.OnDisk[name] = true
		}
		s.Engines = append(s.Engines, e)
	}
	if n := len(Plan(s, DefaultOptions())); n == 0 || float64(n) > reserveShare*engines+1 {
		t.Errorf("%d of %d rare models get a second copy, want some, and room for %d other models", n, engines, engines/2)
	}
}
