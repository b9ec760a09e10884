package coordinator

import (
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/seam/internal/fleet"
)

// leavingView returns a view with targets a and b of service s, and a function that lists them again.
func leavingView() (f *FleetView, list func(change func(map[string]fleet.Target))) {
	start := time.Now()
	f = NewFleetView("z", func() time.Duration { return time.Since(start) + time.Hour })
	list = func(change func(map[string]fleet.Target)) {
		targets := map[string]fleet.Target{
			"a": {ID: "a", Service: "s", Address: "1", StartedMS: 5}, "b": {ID: "b", Service: "s", Address: "2", StartedMS: 5},
		}
		change(targets)
		f.SetTargets(fleet.NewTargets(targets))
	}
	list(func(map[string]fleet.Target) {})
	return f, list
}

// picks returns how many of a hundred requests get target a.
func picks(f *FleetView) int {
	n := 0
	for range 100 {
		if c, ok := f.Pick(Requirements{Service: "s"}); ok && c.Target.ID == "a" {
			n++
		}
	}
	return n
}

// TestLeavingEndsWithTheInstance guards against a target that said it leaves being chosen again because the list of
// targets does not say so, or no longer, and against a new instance at the same address being taken for it.
func TestLeavingEndsWithTheInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, list := leavingView()
		a, _ := f.Target("a")
		digest := f.Targets().Digest
		f.RecordNotices("a", fleet.Notices{Leaving: true})
		if f.Targets().Digest != digest {
			t.Error("the digest of the list changes, so that hosts would read it again")
		}
		list(func(map[string]fleet.Target) {})
		time.Sleep(time.Hour)
		if n := picks(f); n > 0 || f.Accepts(a) {
			t.Errorf("the leaving target is chosen %d times an hour later", n)
		}
		list(func(m map[string]fleet.Target) { delete(m, "a") })
		time.Sleep(10 * time.Second)
		list(func(map[string]fleet.Target) {})
		if n := picks(f); n > 0 {
			t.Errorf("the leaving target is chosen %d times after it was listed once more", n)
		}
		list(func(m map[string]fleet.Target) {
			m["a"] = fleet.Target{ID: "a", Service: "s", Address: "1", StartedMS: 6}
		})
		if n := picks(f); n < 20 {
			t.Errorf("its next instance is chosen %d times of 100", n)
		}
	})
}

// TestDrainingTargetStaysSoWhateverTheListSays guards against a list that goes back, as that of a restored store does.
func TestDrainingTargetStaysSoWhateverTheListSays(t *testing.T) {
	f, list := leavingView()
	list(func(m map[string]fleet.Target) {
		a := m["a"]
		a.Draining = true
		m["a"] = a
	})
	list(func(map[string]fleet.Target) {})
	if n := picks(f); n > 0 {
		t.Errorf("the draining target is chosen %d times", n)
	}
}

// TestLeavingIsToldToOtherHosts guards against each host finding out by a request of its own.
func TestLeavingIsToldToOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		from, _ := leavingView()
		to, _ := leavingView()
		from.RecordNotices("a", fleet.Notices{Leaving: true})
		time.Sleep(3 * time.Second)
		told, sent := from.leavingChanges(0)
		if len(told) != 1 || told[0].AgeMS < 3000 {
			t.Fatalf("told %+v, want target a with its age", told)
		}
		to.mergeLeaving(told)
		if n := picks(to); n > 0 {
			t.Errorf("the other host chooses it %d times", n)
		}
		if again, _ := from.leavingChanges(sent); len(again) > 0 {
			t.Errorf("told again: %+v", again)
		}
		if on, _ := to.leavingChanges(0); len(on) != 1 || on[0].AgeMS < 3000 {
			t.Errorf("told on: %+v, want it with the same age", on)
		}
	})
}

// TestLeavingEngineGetsNoOrders guards against calls that a host makes on its own: orders and reports of an engine that
// said it leaves in the response to the last one.
func TestLeavingEngineGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, f := newTestOwner(t, engine)
		if err := o.Swap(SwapCommand{Engine: "e1", Unload: []string{"a"}, Load: "c"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond) // the load is under way
		f.RecordNotices("e1", fleet.Notices{Leaving: true})
		before := engine.calls()
		time.Sleep(10 * time.Second)
		if n := engine.calls() - before; n > 0 {
			t.Errorf("%d calls to an engine that leaves", n)
		}
		if len(o.Owned()) > 0 {
			t.Error("the engine is still owned")
		}
	})
}

// TestNoticesOfUnknownTargetsAreIgnored is a control: a late response of a target that is no longer listed.
func TestNoticesOfUnknownTargetsAreIgnored(t *testing.T) {
	f, _ := leavingView()
	f.RecordNotices("gone", fleet.Notices{Leaving: true, Limit: 3})
	if told, _ := f.leavingChanges(0); len(told) > 0 {
		t.Errorf("told %+v", told)
	}
	if limits, _ := f.limitChanges(0, permit.ToHost); len(limits) > 0 {
		t.Errorf("limits %+v", limits)
	}
	if n := picks(f); n < 20 {
		t.Errorf("target a is chosen %d times of 100", n)
	}
}
