package coordinator

import (
	"testing"
	"time"
)

// TestMoveOfSilentOwnerIsNotStartedAgain guards against a load that is planned a second time, at another engine, because the owner
// of the first one does not report for a while; and against one that is never planned again, if the owner is lost.
func TestMoveOfSilentOwnerIsNotStartedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		returnsAfter time.Duration // 0: never
		kept         time.Duration // how long the move counts as in progress
	}{
		"silent for 2 s": {2 * time.Second, 8 * time.Second},
		"lost":           {0, silentMoveTime},
	} {
		co, now := testCoordinator()
		co.calls = okCaller{}
		setListed(co.fleetView, true)
		began := *now
		busy := Report{Incarnation: "1", Full: true, Owned: []EngineView{{ID: "e1", Busy: true, FromOwner: true}}}
		co.Report("h1", busy)
		co.moves["e1"] = &move{id: 7, owner: "h1", command: SwapCommand{Move: 7, Engine: "e1", Load: "m"}, expires: began + moveExpiry}
		kept := time.Duration(0)
		for ; *now-began < 10*time.Second; *now += 100 * time.Millisecond {
			since := *now - began
			co.Report("h2", Report{Incarnation: "2", Full: since == 0})
			if c.returnsAfter > 0 && since >= c.returnsAfter {
				if since >= 8*time.Second {
					busy.Owned[0].Busy, busy.Owned[0].LastMove = false, 7
				}
				co.Report("h1", busy)
			}
			co.step(t.Context())
			if co.moves["e1"] != nil {
				kept = since
			}
		}
		if kept < c.kept-200*time.Millisecond || kept > c.kept {
			t.Errorf("%s: the move was in progress for %v, want %v", name, kept, c.kept)
		}
	}
}
