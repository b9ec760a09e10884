package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/evacuation"
	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

func evacuate(version uint64, zones ...string) fleet.Evacuations {
	l := fleet.Evacuations{Version: version, Zones: map[string]uint64{}}
	for _, zone := range zones {
		l.Zones[zone] = 1
	}
	return l
}

// zonesView returns a view with target a in zone x and b in zone y.
func zonesView() *FleetView {
	f, list := leavingView()
	list(func(m map[string]fleet.Target) {
		for id, zone := range map[string]string{"a": "x", "b": "y"} {
			t := m[id]
			t.Zone, t.Models, t.OnDisk = zone, map[string][]string{"only-" + id: nil}, []string{"only-" + id}
			m[id] = t
		}
	})
	return f
}

// TestEvacuatedTargetsAreNotChosen guards against requests to targets of an evacuated zone, also to one that was chosen before.
// The target of the other zone is the control.
func TestEvacuatedTargetsAreNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := zonesView()
		a, _ := f.Target("a")
		b, _ := f.Target("b")
		f.SetEvacuations(evacuate(5, "x", "unknown"))
		for i, n := range f.takeNoticesToLog() { // in the order of the names
			if want := []string{"unknown", "x"}[i]; n.event != "evacuation_began" || n.fields["zone"] != want || n.fields["targets"] != i || n.fields["cause"] != evacuation.CauseListed {
				t.Errorf("logged %s %v", n.event, n.fields)
			}
		}
		if n := picks(f); n > 0 || f.Accepts(a) {
			t.Errorf("the evacuated target is chosen %d times of 100, accepted %v", n, f.Accepts(a))
		}
		if !f.Accepts(b) || f.AllEvacuated("s") != nil {
			t.Error("the other target is not used")
		}
		if f.HasLocalWeights("s", "only-a", nil, nil) || !f.HasLocalWeights("s", "only-b", nil, nil) {
			t.Error("weights of evacuated engines are counted, or those of others are not")
		}
		if f.ServesVersion("s", "", nil, map[string]bool{"b": true}) {
			t.Error("an evacuated target counts for its software version")
		}
		if _, ended := f.EvacuationEnded("x"); ended {
			t.Error("the evacuation has ended")
		}
		f.SetEvacuations(evacuate(6, "x", "y"))
		if zones := f.AllEvacuated("s"); len(zones) != 2 {
			t.Errorf("zones of the service, all evacuated: %v", zones)
		}
		f.SetEvacuations(evacuate(7, "y"))
		if at, ended := f.EvacuationEnded("x"); !ended || at != f.now() || !f.Accepts(a) || picks(f) != 100 {
			t.Error("the target is not used after the evacuation")
		}
	})
}

// TestAllEvacuatedNeedsATarget guards against the refusal at once of requests that wait for a first or a returning target.
func TestAllEvacuatedNeedsATarget(t *testing.T) {
	for name, c := range map[string]struct {
		change func(map[string]fleet.Target)
		all    bool
	}{
		"none": {func(m map[string]fleet.Target) { clear(m) }, false},
		"evacuated": {func(m map[string]fleet.Target) {
			delete(m, "b")
			m["a"] = fleet.Target{ID: "a", Service: "s", Zone: "x"}
		}, true},
		"another one drains": {func(m map[string]fleet.Target) {
			m["b"] = fleet.Target{ID: "b", Service: "s", Zone: "y", Draining: true}
		}, true},
		"another one is missing": {func(m map[string]fleet.Target) {
			m["b"] = fleet.Target{ID: "b", Service: "s", Zone: "y", Missing: true}
		}, false},
		"another one has no zone": {func(m map[string]fleet.Target) { m["b"] = fleet.Target{ID: "b", Service: "s"} }, false},
	} {
		f, list := leavingView()
		f.SetEvacuations(evacuate(5, "x"))
		list(func(m map[string]fleet.Target) {
			m["a"] = fleet.Target{ID: "a", Service: "s", Zone: "x"}
			c.change(m)
		})
		if all := f.AllEvacuated("s") != nil; all != c.all {
			t.Errorf("%s: all evacuated %v, want %v", name, all, c.all)
		}
	}
}

// TestHostThatStartsAwaitsTheEvacuations guards against a host that sends to evacuated targets before it knows of them, and
// against one that never sends because it gets no list.
func TestHostThatStartsAwaitsTheEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := zonesView()
		f.AwaitEvacuations(4 * time.Second)
		if _, ok := f.Pick(Requirements{Service: "s"}); ok {
			t.Error("a target is chosen before the list is known")
		}
		time.Sleep(4 * time.Second)
		if _, ok := f.Pick(Requirements{Service: "s"}); !ok {
			t.Error("no target is chosen four seconds after the start")
		}
		f.AwaitEvacuations(4 * time.Second)
		f.SetEvacuations(evacuate(3))
		if _, ok := f.Pick(Requirements{Service: "s"}); !ok {
			t.Error("no target is chosen with a list")
		}
	})
}

// exchange has a host report and apply the reply, both over the wire.
func exchange(t *testing.T, c *Coordinator, client *Client) (Report, Update) {
	t.Helper()
	client.currentCoordinator = c.self
	r := Report{Incarnation: "1", Full: client.sendFull}
	client.addEvacuations(&r)
	data, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	var received Report
	if err := json.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	u := overWire(t, c.Report(client.opts.Self.Name, received))
	client.sendFull = false
	client.applyStoreAge(*u.StoreAge, client.opts.Now())
	return r, u
}

// TestHostsTellEachOtherOfEvacuations guards against a host that reads the store itself keeping its list to itself, as when
// the store refuses the coordinator, and against a list in each message.
func TestHostsTellEachOtherOfEvacuations(t *testing.T) {
	c, _ := testCoordinator()
	a, b := testClient("a", fleet.Host{Name: "a"}), testClient("b", fleet.Host{Name: "b"})
	exchange(t, c, b)
	a.opts.FleetView.SetEvacuations(evacuate(9, "x"))
	a.opts.FleetView.ConfirmEvacuations(a.opts.Now() - 100*time.Millisecond)
	exchange(t, c, a)
	if r, u := exchange(t, c, b); !b.opts.FleetView.Evacuated("x") || r.Evacuations != nil || u.StoreAge.Evacuations == nil {
		t.Errorf("host b was not told of the evacuation: %+v", u.StoreAge)
	}
	_, confirmedAt, _ := b.opts.FleetView.Evacuations()
	if age := b.opts.Now() - confirmedAt; age < 100*time.Millisecond || age > 600*time.Millisecond {
		t.Errorf("host b takes its list for %v old, want 100 ms and the time for which a report may be under way", age)
	}
	for _, host := range []*Client{a, b} {
		if r, u := exchange(t, c, host); r.Evacuations != nil || u.StoreAge.Evacuations != nil {
			t.Error("a list is sent again to a receiver that has it")
		}
	}
	next, _ := testCoordinator()
	b.sendFull, b.sentEvacuations = true, 0
	exchange(t, next, b)
	if !next.fleetView.Evacuated("x") {
		t.Error("a new coordinator does not get the list")
	}
}

// TestLostReplyConfirmsNoEarlierList guards against a host that misses a list, since the reply with it was lost, and takes the
// confirmations of that list for its own one. It gets the list with its next report.
func TestLostReplyConfirmsNoEarlierList(t *testing.T) {
	c, _ := testCoordinator()
	b := testClient("b", fleet.Host{Name: "b"})
	c.fleetView.SetEvacuations(evacuate(5))
	b.sendFull = true
	full, _ := exchange(t, c, b)
	c.fleetView.SetEvacuations(evacuate(6, "x"))
	c.Report("b", full) // it was under way for long, and nobody waits for the reply
	c.fleetView.ConfirmEvacuations(b.opts.Now())
	exchange(t, c, b)
	if _, confirmedAt, _ := b.opts.FleetView.Evacuations(); !b.opts.FleetView.Evacuated("x") && confirmedAt > 0 {
		t.Error("the earlier list counts as confirmed")
	}
	exchange(t, c, b)
	if !b.opts.FleetView.Evacuated("x") {
		t.Error("the host does not get the list that it lacks")
	}
}

// TestAgesOfEvacuationsThatCannotBe guards against an age that overflows confirming a list for all time.
func TestAgesOfEvacuationsThatCannotBe(t *testing.T) {
	for _, ms := range []int64{math.MaxInt64, math.MaxInt64 / 1000, -1, math.MinInt64, 1 << 62, 18446744073000} {
		f := zonesView()
		f.SetEvacuations(evacuate(5))
		f.applyEvacuationNews(EvacuationNews{EvacuationAgeMS: ms}, "h", f.now())
		if _, confirmedAt, _ := f.Evacuations(); confirmedAt > f.now() {
			t.Errorf("age of %d ms: confirmed %v after now", ms, confirmedAt-f.now())
		}
	}
}

// TestReportOfManyHostsIsOld guards against a new coordinator, to which few hosts have reported, taking a report that was under way
// for as long as its sender allows for newer than it is.
func TestReportOfManyHostsIsOld(t *testing.T) {
	c, _ := testCoordinator()
	hosts := map[string]fleet.Host{}
	for i := range 295 {
		hosts[fmt.Sprint("h", i)] = fleet.Host{Name: fmt.Sprint("h", i)}
	}
	c.fleetView.SetHosts(hosts)
	list := evacuate(5)
	now := c.now()
	c.Report("h1", Report{Incarnation: "1", Full: true, EvacuationNews: EvacuationNews{Evacuations: &list, EvacuationAgeMS: 1}})
	_, confirmedAt, _ := c.fleetView.Evacuations()
	if age, least := now-confirmedAt, reportTimeout+295*fullReportTime; age < least {
		t.Errorf("the list counts as %v old, the report may have been under way for %v", age, least)
	}
}

// TestEarlierVersionsAndEvacuations guards against a message without the new fields changing the list, or counting as a
// confirmation of it.
func TestEarlierVersionsAndEvacuations(t *testing.T) {
	c, _ := testCoordinator()
	c.fleetView.SetEvacuations(evacuate(9, "x"))
	var old Report
	if err := json.Unmarshal([]byte(`{"i":"1","f":true,"w":[{"s":"s","m":"m","n":1,"d":5}],"e":0}`), &old); err != nil {
		t.Fatal(err)
	}
	if u := c.Report("old", old); !c.fleetView.Evacuated("x") || u.StoreAge.Evacuations == nil {
		t.Error("the report of an earlier version ends the evacuation, or is not answered")
	}
	client := testClient("a", fleet.Host{Name: "a"})
	client.opts.FleetView.SetEvacuations(evacuate(9, "x"))
	var u Update
	if err := json.Unmarshal([]byte(`{"ue":4,"l":["a"],"v":{"c":1,"a":5,"t":5,"u":["i-9"]}}`), &u); err != nil {
		t.Fatal(err)
	}
	client.applyUpdate(u)
	client.applyStoreAge(*u.StoreAge, client.opts.Now())
	if _, confirmedAt, _ := client.opts.FleetView.Evacuations(); confirmedAt != 0 || !client.opts.FleetView.Evacuated("x") {
		t.Error("the update of an earlier version confirms the list, or ends the evacuation")
	}
	data, err := json.Marshal(Report{})
	if err != nil || string(data) != `{"i":""}` {
		t.Errorf("a report without a list is %s, %v", data, err)
	}
}

// TestPlannerLeavesOutEvacuatedEngines guards against models that are not loaded elsewhere because an evacuated engine holds
// them, and against loads there. Without the evacuation, no move is planned.
func TestPlannerLeavesOutEvacuatedEngines(t *testing.T) {
	for _, evacuated := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c, now := testCoordinator()
			calls := &recordingCaller{}
			c.calls = calls
			c.fleetView.SetConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{Slots: 8, CapacityMB: 100, Models: map[string]fleet.Model{
				"m": {SizeMB: 60, DiskLoad: time.Second}, "n": {SizeMB: 60, DiskLoad: time.Second},
			}}}}})
			targets, owned := map[string]fleet.Target{}, []EngineView{}
			for id, zone := range map[string]string{"e1": "x", "e2": "y"} {
				targets[id] = fleet.Target{ID: id, Service: "s", Zone: zone, Slots: 8, OnDisk: []string{"m", "n"}}
				v := EngineView{ID: id, FromOwner: true, Models: map[string]ModelView{}}
				if id == "e1" {
					v.Models["m"] = ModelView{State: swap.Ready}
				}
				owned = append(owned, v)
			}
			c.fleetView.SetTargets(fleet.NewTargets(targets))
			if evacuated {
				c.fleetView.SetEvacuations(evacuate(3, "x"))
			}
			c.Report("h", Report{Incarnation: "1", Full: true, Owned: owned, Waiting: []WaitingRequests{{Service: "s", Model: "m", Count: 1, DueMS: 2000}}})
			*now += time.Second
			c.step(context.Background())
			if len(c.owners()) != 2 {
				t.Errorf("evacuated %v: owners %v, want both engines owned", evacuated, c.owners())
			}
			if m := c.moves["e2"]; (m != nil && m.command.Load == "m") != evacuated || c.moves["e1"] != nil {
				t.Errorf("evacuated %v: moves %v", evacuated, c.moves)
			}
			synctest.Wait()
		})
	}
}

// TestOwnerSendsNoLoadsToEvacuatedEngines guards against a move that was planned before the evacuation, or by a coordinator that
// does not know of it.
func TestOwnerSendsNoLoadsToEvacuatedEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newFakeEngine()
		o, f := newTestOwner(t, engine)
		before := engine.orderCount()
		f.SetEvacuations(evacuate(3, "", "z"))
		err := o.LoadAdapter(t.Context(), AdapterCommand{Engine: "e1", Model: "b", Adapter: "a1"})
		var evacuated *EvacuatedEngineError
		if !errors.As(err, &evacuated) || engine.orderCount() != before {
			t.Errorf("adapter: %v, %d orders", err, engine.orderCount()-before)
		}
		if err := o.Swap(SwapCommand{Move: 1, Engine: "e1", Unload: []string{"a"}, Load: "c"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		owned := o.Owned()
		if engine.orderCount() != before || len(owned) != 1 {
			t.Fatalf("a move: %d orders, owned %v", engine.orderCount()-before, owned)
		}
		if a, there := owned[0].Models["a"]; !there || a.State != swap.Ready || owned[0].Busy {
			t.Errorf("the engine's view after a move that was not carried out: %+v", owned[0])
		}
		f.SetEvacuations(evacuate(4))
		if err := o.LoadAdapter(t.Context(), AdapterCommand{Engine: "e1", Model: "b", Adapter: "a1"}); err != nil {
			t.Errorf("after the evacuation: %v", err)
		}
	})
}
