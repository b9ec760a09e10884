package swap

import (
	"reflect"
	"slices"
	"testing"
	"time"
)

func inRegion(e Engine, region string) Engine { e.Region = region; return e }

// TestBoundDemandGetsCopyInItsRegions guards against requests with homes that wait until their deadline while the model's only
// copy is in another region, and against a second copy for requests that the first one serves.
func TestBoundDemandGetsCopyInItsRegions(t *testing.T) {
	eu := []string{"eu"}
	s := State{
		Now: now, Models: models("m", "other"),
		Engines: []Engine{
			inRegion(engine("us1", disk("m", "other"), map[string]Copy{"m": {}}), "us"),
			inRegion(engine("us2", disk("m", "other"), map[string]Copy{}), "us"),
			inRegion(engine("none", disk("m", "other"), map[string]Copy{}), ""),
			inRegion(engine("eu1", disk("m", "other"), map[string]Copy{"other": {}}), "eu"),
		},
		Demands: map[string]Demand{"m": {Waiting: 3, Bound: []Bound{{Regions: eu, Waiting: 2}}, Due: now + time.Second}},
	}
	want := []Move{{Engine: "eu1", Load: "m", Source: FromDisk}}
	if got := Plan(s, DefaultOptions()); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	s.Engines[0].Copies = map[string]Copy{}
	if got := Plan(s, DefaultOptions()); !reflect.DeepEqual(got, want) {
		t.Errorf("without any copy: got %+v, want %+v alone", got, want)
	}
	s.Demands["m"] = Demand{Waiting: 4, Bound: []Bound{{Regions: []string{"eu", "us"}, Waiting: 3}, {Regions: eu, Waiting: 1}}, Due: now + time.Second}
	if got := Plan(s, DefaultOptions()); !reflect.DeepEqual(got, want) {
		t.Errorf("requests that are bound to one and to two regions: got %+v, want %+v alone", got, want)
	}
	s.Engines[3].Copies["m"] = Copy{State: Loading}
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("got %+v while the copy is loading, want none", got)
	}
	s.Engines = s.Engines[:3]
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Load != "m" {
		t.Errorf("no engine in the home: got %+v, want a load for the request that is bound to no region", got)
	}
	s.Demands["m"] = Demand{Waiting: 2, Bound: []Bound{{Regions: []string{}, Waiting: 2}}, Due: now + time.Second}
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("all waiting requests are bound to no region that exists: got %+v, want none", got)
	}
}

// TestHotModelGetsCopiesInItsRegions guards against copies of a hot model in regions to which none of its requests may go, and
// against the eviction of the last copy in a region although others are elsewhere. The control is unbound demand.
func TestHotModelGetsCopiesInItsRegions(t *testing.T) {
	s := State{
		Now: now, Models: models("m", "other"),
		Engines: []Engine{
			inRegion(engine("us1", disk("m", "other"), map[string]Copy{"m": {}}), "us"),
			inRegion(engine("us2", disk("m", "other"), map[string]Copy{}), "us"),
			inRegion(engine("eu1", disk("m", "other"), map[string]Copy{"m": {}}), "eu"),
			inRegion(engine("eu2", disk("m", "other"), map[string]Copy{}), "eu"),
		},
	}
	demand := Demand{Rate: 60, Bound: []Bound{{Regions: []string{"eu"}, Rate: 60}}}
	s.Demands = map[string]Demand{"m": demand}
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Engine != "eu2" {
		t.Errorf("got %+v, want one load at eu2", got)
	}
	hot := DefaultOptions().HotRate
	s.Demands["m"] = Demand{Rate: hot, Bound: []Bound{{Regions: []string{"eu"}, Rate: hot}}}
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Engine != "eu2" {
		t.Errorf("just hot: got %+v, want a second copy at eu2", got)
	}
	s.Demands["m"] = demand
	s.Engines[3].Busy = true
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("while the region's other engine is busy: got %+v, want none", got)
	}
	s.Demands["m"] = Demand{Rate: 60}
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Engine != "us2" {
		t.Errorf("unbound demand: got %+v, want one load at us2", got)
	}
	full := map[string]Copy{"m": {}, "a": {}}
	s.Models = models("m", "a", "other")
	s.Engines = []Engine{inRegion(engine("us1", disk("m"), map[string]Copy{"m": {}}), "us"), inRegion(engine("eu1", disk("m", "other"), full), "eu")}
	s.Engines[1].CapacityMB = 140
	s.Demands = map[string]Demand{"m": {Waiting: 1, Bound: []Bound{{Regions: []string{"eu"}, Waiting: 1}}, Due: now}, "a": {Rate: 1}, "other": {Waiting: 1, Due: now + time.Second}}
	got := Plan(s, DefaultOptions())
	if i := slices.IndexFunc(got, func(m Move) bool { return m.Load == "other" }); i < 0 || !slices.Equal(got[i].Unload, []string{"a"}) {
		t.Errorf("got %+v, want the load of other in place of a, as requests wait for the region's last copy of m", got)
	}
}

// TestOnePlanLeavesACopyInTheRegions guards against two loads of one plan that together evict all copies in the regions to which waiting
// requests are bound. The control is that one of them is evicted.
func TestOnePlanLeavesACopyInTheRegions(t *testing.T) {
	s := State{
		Now: now, Models: models("m", "x", "y"),
		Engines: []Engine{
			inRegion(engine("us1", disk("m"), map[string]Copy{"m": {}}), "us"),
			inRegion(engine("eu1", disk("m", "x", "y"), map[string]Copy{"m": {}}), "eu"),
			inRegion(engine("eu2", disk("m", "x", "y"), map[string]Copy{"m": {}}), "eu"),
		},
		Demands: map[string]Demand{"m": {Waiting: 1, Bound: []Bound{{Regions: []string{"eu"}, Waiting: 1}}, Due: now}, "x": {Waiting: 1, Due: now + time.Second}, "y": {Waiting: 1, Due: now + time.Second}},
	}
	for i := range s.Engines {
		s.Engines[i].CapacityMB = s.Models["m"].SizeMB
	}
	got := Plan(s, DefaultOptions())
	if inEU := slices.DeleteFunc(slices.Clone(got), func(m Move) bool { return m.Engine == "us1" }); len(inEU) != 1 || !slices.Equal(inEU[0].Unload, []string{"m"}) {
		t.Errorf("got %+v, want one load in place of m in eu", got)
	}
}
