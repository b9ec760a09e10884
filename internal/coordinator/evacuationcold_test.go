package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// TestTargetsAreColdAfterAnEvacuation guards against full load on targets that became cold while their zone was evacuated and
// whose registration does not say so yet. The control is a target of another zone.
func TestTargetsAreColdAfterAnEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		f := NewFleetView("za", func() time.Duration { return time.Hour + time.Since(start) })
		f.SetConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Name: "s", Cold: &fleet.ColdLimit{Time: 3 * time.Second, Rate: 20}}}})
		f.SetTargets(fleet.NewTargets(map[string]fleet.Target{"a": {ID: "a", Service: "s", Zone: "za", StartedMS: 1}, "b": {ID: "b", Service: "s", Zone: "zb", StartedMS: 1}}))
		time.Sleep(time.Second)
		f.SetEvacuations(fleet.Evacuations{Version: 1, Zones: map[string]uint64{"za": 1}})
		time.Sleep(time.Second)
		f.SetEvacuations(fleet.Evacuations{Version: 2, Zones: map[string]uint64{}})
		needsPermit := func(avoid string) bool {
			c, ok := f.Pick(Requirements{Service: "s", Avoid: map[string]bool{avoid: true}})
			if !ok {
				t.Fatalf("no target beside %s", avoid)
			}
			return c.NeedsPermit
		}
		if !needsPermit("b") || needsPermit("a") {
			t.Errorf("permit needed in the zone that was evacuated: %v, want true; in the other: %v, want false", needsPermit("b"), needsPermit("a"))
		}
		time.Sleep(3100 * time.Millisecond)
		if needsPermit("b") {
			t.Error("the target still needs a permit after the cold time")
		}
	})
}
