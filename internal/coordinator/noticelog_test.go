package coordinator

import (
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// TestNoticesOfTargetsAreLoggedOnce guards against requests that avoid a target for no reason that a log line states, and
// against a line for each response that repeats it.
func TestNoticesOfTargetsAreLoggedOnce(t *testing.T) {
	now := time.Hour
	f := NewFleetView("z", func() time.Duration { return now })
	f.SetTargets(fleet.NewTargets(map[string]fleet.Target{"e": {ID: "e", Service: "s", Zone: "z", Slots: 8}}))
	for range 50 {
		f.RecordNotices("e", fleet.Notices{Quiet: 5 * time.Second, Brittle: 2})
		now += time.Millisecond
	}
	got := map[string]int{}
	for _, n := range f.takeNoticesToLog() {
		got[n.event]++
	}
	if got["target_quiet"] != 1 || got["service_brittle"] != 1 {
		t.Errorf("logged %v, want one line each", got)
	}
	now += 20 * time.Second
	f.RecordNotices("e", fleet.Notices{Quiet: time.Second, Brittle: 2})
	if n := len(f.takeNoticesToLog()); n != 2 {
		t.Errorf("%d lines for the next time, want 2", n)
	}
}
