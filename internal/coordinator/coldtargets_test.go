package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/seam/internal/fleet"
)

func coldConfig(rate float64) *fleet.Config {
	return &fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Cold: &fleet.ColdLimit{Time: 3 * time.Second, Rate: rate}}}}
}

// setColdTargets lists two targets, of which "a" is registered as cold for a time, in some revision.
func setColdTargets(f *FleetView, left time.Duration, revision uint64) {
	f.SetTargets(fleet.NewTargets(map[string]fleet.Target{
		"a": {ID: "a", Service: "s", Zone: "z", StartedMS: 7, WarmupLeft: left, Revision: revision}, "b": {ID: "b", Service: "s", Zone: "z", StartedMS: 7},
	}))
}

func runningView(rate float64) *FleetView {
	start := time.Now()
	f := NewFleetView("z", func() time.Duration { return time.Since(start) + time.Hour })
	f.SetConfig(coldConfig(rate))
	setColdTargets(f, 0, 1)
	return f
}

// TestColdTargetIsChosenLast guards against a cold target being chosen while a warm one can take the request, against its being
// left out where none can, and against its being sent to without a permit.
func TestColdTargetIsChosenLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runningView(20)
		setColdTargets(f, 3*time.Second, 2)
		for range 50 {
			if c, ok := f.Pick(Requirements{Service: "s"}); !ok || c.Target.ID != "b" {
				t.Fatalf("chose %q", c.Target.ID)
			}
		}
		c, ok := f.Pick(Requirements{Service: "s", Avoid: map[string]bool{"b": true}})
		if !ok || !c.NeedsPermit || !c.Cold || f.MaySend(c) {
			t.Errorf("%+v: want the cold target, with a permit only", c)
		}
		c.PermitUntil = f.now() + time.Millisecond
		if !f.MaySend(c) {
			t.Error("a permit is not used")
		}
		time.Sleep(3 * time.Second)
		if c, ok := f.Pick(Requirements{Service: "s", Avoid: map[string]bool{"b": true}}); !ok || c.NeedsPermit || !f.MaySend(c) {
			t.Errorf("%+v: want no permit once it is warm", c)
		}
	})
}

// TestRegistrationsOfColdTargets guards against a registration that is read again making a target cold anew, against a stale one making
// the time shorter, and against a new target counting as cold that does not say so.
func TestRegistrationsOfColdTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runningView(20)
		expect := func(want time.Duration) {
			t.Helper()
			f.mu.Lock()
			defer f.mu.Unlock()
			if got := f.coldLeft(f.targets.ByID["a"]); got != want {
				t.Errorf("%v left, want %v", got, want)
			}
		}
		expect(0)
		setColdTargets(f, 3*time.Second, 2)
		time.Sleep(time.Second)
		setColdTargets(f, 3*time.Second, 2)
		expect(2 * time.Second)
		setColdTargets(f, time.Second, 1) // an older one
		expect(2 * time.Second)
		f.RecordNotices("a", fleet.Notices{Cold: 4 * time.Second})
		expect(4 * time.Second)
		if told, _ := f.coldChanges(0, permit.ToCoordinator); len(told) != 1 || told[0].Target != "a@7" {
			t.Errorf("told others %+v", told)
		}
		time.Sleep(4 * time.Second)
		expect(0)
	})
}

// TestEndOfAnEvacuationMakesTargetsCold guards against targets that were sent nothing for long getting their whole share at once.
func TestEndOfAnEvacuationMakesTargetsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := runningView(20)
		time.Sleep(time.Second)
		end := f.now()
		f.cold.evacuationEnded = func(zone string) (time.Duration, bool) { return end, zone == "z" }
		time.Sleep(time.Second)
		if b, _ := f.Target("b"); !f.isCold(b) {
			t.Error("a target is warm 1 s after the evacuation of its zone")
		}
		targets := maps.Clone(f.ListedTargets().ByID)
		targets["new"] = fleet.Target{ID: "new", Service: "s", Zone: "z", StartedMS: 9}
		f.SetTargets(fleet.NewTargets(targets))
		if started, _ := f.Target("new"); f.isCold(started) {
			t.Error("a target that started after the evacuation is cold although it does not say so")
		}
		time.Sleep(2100 * time.Millisecond)
		if b, _ := f.Target("b"); f.isCold(b) {
			t.Error("a target is cold 3.1 s after the evacuation of its zone")
		}
	})
}

// reportingCoordinator returns a coordinator of hosts h1 and h2, which have reported for long enough.
func reportingCoordinator(t *testing.T) *Coordinator {
	c, now := testCoordinator()
	c.fleetView.SetConfig(coldConfig(20))
	c.fleetView.SetHosts(map[string]fleet.Host{"h1": {}, "h2": {}})
	setColdTargets(c.fleetView, 0, 1)
	setColdTargets(c.fleetView, 30*time.Second, 2)
	for i := range 6 {
		c.Report("h1", Report{Incarnation: "1", Full: i == 0})
		c.Report("h2", Report{Incarnation: "2", Full: i == 0})
		c.step(t.Context())
		*now += reportInterval
	}
	return c
}

// permitOverWire asks a coordinator for a permit with a message as it is sent.
func permitOverWire(t *testing.T, c *Coordinator, message string) permitReply {
	t.Helper()
	var r permitRequest
	if err := json.Unmarshal([]byte(message), &r); err != nil {
		t.Fatal(err)
	}
	return c.issuePermit("h1", r)
}

// earlierCoordinator answers requests for permits like a coordinator of the earlier version that knows of no limit.
type earlierCoordinator struct{}

func (earlierCoordinator) Call(_ context.Context, _, _ string, _, reply any) error {
	return json.Unmarshal([]byte(`{"w":2000}`), reply)
}

// TestColdTargetsUnderAnEarlierCoordinator guards against a host sending to a cold target of which an earlier coordinator knows
// nothing, and against its asking over and over.
func TestColdTargetsUnderAnEarlierCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := testClient("h1", fleet.Host{Name: "h1"}, fleet.Host{Name: "h0"})
		f := runningView(20)
		client.opts.FleetView, client.opts.Calls, client.currentCoordinator = f, earlierCoordinator{}, "h0"
		setColdTargets(f, 3*time.Second, 2)
		c, _ := f.Pick(Requirements{Service: "s", Avoid: map[string]bool{"b": true}})
		if p := client.RequestPermit(t.Context(), PermitRequest{Target: c.Target}); p.Granted || p.Cause != permit.Unknown {
			t.Errorf("got %+v", p)
		}
		if c, ok := f.Pick(Requirements{Service: "s", Avoid: map[string]bool{"b": true}}); ok {
			t.Errorf("chose %s right after the denial", c.Target.ID)
		}
		if c, ok := f.Pick(Requirements{Service: "s"}); !ok || c.Target.ID != "b" {
			t.Error("the warm target is not chosen")
		}
	})
}

// TestColdTargetsBesideEarlierVersions guards against hosts of the earlier version being refused permits, and against an update
// without the new field being taken for news of cold targets.
func TestColdTargetsBesideEarlierVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := reportingCoordinator(t)
		if r := permitOverWire(t, c, `{"t":"a@7"}`); !r.Granted {
			t.Errorf("an earlier host gets %+v", r)
		}
		if r := permitOverWire(t, c, `{"t":"b@7"}`); r.Granted {
			t.Errorf("an earlier host gets %+v for a target without a limit", r)
		}
		if r := permitOverWire(t, c, `{"t":"unknown@1","s":"s","c":true,"d":-5,"p":3}`); !r.Granted {
			t.Errorf("for a cold target that the coordinator does not know: %+v", r)
		}
		u := c.Report("h1", Report{Incarnation: "1"})
		data, err := json.Marshal(u)
		if err != nil {
			t.Fatal(err)
		}
		var earlier map[string]json.RawMessage
		if err := json.Unmarshal(data, &earlier); err != nil {
			t.Fatal(err)
		}
		delete(earlier, "ct")
		client := testClient("h1", fleet.Host{Name: "h1"})
		client.opts.FleetView.SetConfig(coldConfig(20))
		setColdTargets(client.opts.FleetView, 0, 1)
		data, _ = json.Marshal(earlier)
		var stripped Update
		if err := json.Unmarshal(data, &stripped); err != nil {
			t.Fatal(err)
		}
		client.applyUpdate(stripped)
		if a, _ := client.opts.FleetView.Target("a"); client.opts.FleetView.isCold(a) {
			t.Error("an update of an earlier version makes a target cold")
		}
	})
}

// TestUpdatesTellOfColdTargets guards against hosts that send to a target of which only another one knows that it is cold, and against
// telling it again in each update.
func TestUpdatesTellOfColdTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := reportingCoordinator(t)
		c.Report("h2", Report{Incarnation: "2", Cold: []permit.ColdRecord{{Target: "b@7", LeftMS: 2000}}})
		first := c.Report("h1", Report{Incarnation: "1"})
		if len(first.Cold) != 1 || first.Cold[0].Target != "b@7" {
			t.Errorf("told %+v", first.Cold)
		}
		if again := c.Report("h1", Report{Incarnation: "1"}); len(again.Cold) > 0 {
			t.Errorf("told again %+v", again.Cold)
		}
	})
}

// TestHostWithoutTheListOfHostsIssuesNone guards against a host that has just started and hears nobody taking itself for all hosts.
func TestHostWithoutTheListOfHostsIssuesNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		alone, now := testCoordinator()
		alone.fleetView.SetConfig(coldConfig(20))
		alone.fleetView.SetOwnHost(fleet.Host{Name: "h1"})
		setColdTargets(alone.fleetView, 30*time.Second, 2)
		for i := range 6 {
			alone.Report("h1", Report{Incarnation: "1", Full: i == 0})
			alone.step(t.Context())
			*now += reportInterval
		}
		if r := permitOverWire(t, alone, `{"t":"a@7","s":"s","c":true}`); r.Granted {
			t.Errorf("got %+v", r)
		}
	})
}

// TestPlannerLimitOfColdEngines guards against the planner counting on a cold engine for hot models, or on one that gets nothing.
func TestPlannerLimitOfColdEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for rate, want := range map[float64]float64{20: 3, 2: 2, -1: leastPlannedRate} {
			f := runningView(rate)
			setColdTargets(f, 3*time.Second, 2)
			a, _ := f.Target("a")
			b, _ := f.Target("b")
			f.RecordLimit(a, 3)
			if got := f.plannerLimit(a); got != want {
				t.Errorf("rate %v beside a named limit of 3: limit %v, want %v", rate, got, want)
			}
			if got := f.plannerLimit(b); got != 0 {
				t.Errorf("a warm engine has limit %v", got)
			}
		}
	})
}
