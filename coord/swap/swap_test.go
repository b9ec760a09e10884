package swap

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func disk(models ...string) map[string]bool {
	out := map[string]bool{}
	for _, m := range models {
		out[m] = true
	}
	return out
}

func models(names ...string) map[string]Model {
	out := map[string]Model{}
	for _, n := range names {
		out[n] = Model{SizeMB: 70, Load: [3]time.Duration{400 * time.Millisecond, 500 * time.Millisecond, 6 * time.Second}}
	}
	return out
}

func engine(id string, onDisk map[string]bool, copies map[string]Copy) Engine {
	return Engine{ID: id, CapacityMB: 220, Slots: 64, Serves: true, Copies: copies, OnDisk: onDisk}
}

const now = 10 * time.Second

func TestWaitingModelReplacesLeastRequestedModel(t *testing.T) {
	s := State{
		Now: now, Models: models("hot", "cool", "cold", "new"),
		Engines: []Engine{engine("e1", disk("hot", "cool", "cold", "new"), map[string]Copy{"hot": {}, "cool": {}, "cold": {}})},
		Demands: map[string]Demand{"hot": {Rate: 20}, "cool": {Rate: 0.5}, "cold": {Rate: 0.1}, "new": {Waiting: 1, Due: now + time.Second}},
	}
	want := []Move{{Engine: "e1", Unload: []string{"cold"}, Load: "new", Source: FromDisk}}
	if got := Plan(s, DefaultOptions()); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestLastCopyOfHotModelIsKept(t *testing.T) {
	s := State{
		Now: now, Models: models("h1", "h2", "h3", "new"),
		Engines: []Engine{engine("e1", disk("new"), map[string]Copy{"h1": {}, "h2": {}, "h3": {}})},
		Demands: map[string]Demand{"h1": {Rate: 20}, "h2": {Rate: 9}, "h3": {Rate: 3}, "new": {Waiting: 3, Due: now}},
	}
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("a hot model lost its last copy: %+v", got)
	}
}

func TestStoreLoadOnlyWithoutAnyDiskCopy(t *testing.T) {
	s := State{
		Now: now, Models: models("a", "new"),
		Engines: []Engine{
			engine("e1", disk("a"), map[string]Copy{}),
			{ID: "e2", CapacityMB: 220, Slots: 64, Serves: true, Busy: true, Copies: map[string]Copy{}, OnDisk: disk("new")},
		},
		Demands: map[string]Demand{"new": {Waiting: 1, Due: now + time.Second}},
	}
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("got %+v, want no load from the store: a busy engine has the model on disk", got)
	}
	s.Engines[1].OnDisk = nil
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Source != FromStore {
		t.Errorf("got %+v, want one load from the store", got)
	}
	s.StoreLoads = DefaultOptions().MaxStoreLoads
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("got %+v, want no load above MaxStoreLoads", got)
	}
}

func TestRequestsInTimeGoBeforeLateOnes(t *testing.T) {
	s := State{
		Now: now, Models: models("late", "soon"),
		Engines: []Engine{engine("e1", disk("late", "soon"), map[string]Copy{})},
		Demands: map[string]Demand{"late": {Waiting: 1, Due: now - time.Second}, "soon": {Waiting: 1, Due: now + time.Second}},
	}
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Load != "soon" {
		t.Errorf("got %+v, want the model whose request can still begin in time", got)
	}
}

// TestHotSetMovesOnAFullFleet checks that a model that has just become hot and has no
// copy is loaded before a rare one.
func TestHotSetMovesOnAFullFleet(t *testing.T) {
	s := State{
		Now: now, Models: models("hot", "rare"),
		Engines: []Engine{engine("e1", disk("hot", "rare"), map[string]Copy{})},
		Demands: map[string]Demand{"hot": {Rate: 20, Waiting: 12, Due: now - time.Second}, "rare": {Waiting: 1, Due: now + time.Second}},
	}
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Load != "hot" {
		t.Errorf("got %+v, want a load of the hot model", got)
	}
}

func TestHotModelGetsASecondCopy(t *testing.T) {
	s := State{
		Now: now, Models: models("hot"),
		Engines: []Engine{engine("e1", disk("hot"), map[string]Copy{"hot": {}}), engine("e2", disk("hot"), map[string]Copy{})},
		Demands: map[string]Demand{"hot": {Rate: 10}},
	}
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Engine != "e2" {
		t.Errorf("got %+v, want a copy on e2", got)
	}
}

func TestNewCopyIsKeptForWaitingRequests(t *testing.T) {
	s := State{
		Now: now, Models: models("a", "b", "c", "new"),
		Engines: []Engine{engine("e1", disk("new"), map[string]Copy{"a": {ReadyAt: now}, "b": {ReadyAt: now}, "c": {ReadyAt: now}})},
		Demands: map[string]Demand{"new": {Waiting: 1, Due: now + time.Second}},
	}
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("got %+v, want no eviction of copies that have just become ready", got)
	}
}

func TestHotModelOnOneDiskGetsCopiesFromStore(t *testing.T) {
	s := State{
		Now: now, Models: models("hot", "cool"),
		Engines: []Engine{engine("e1", disk("hot"), map[string]Copy{"hot": {Running: 16}}), engine("e2", disk("cool"), map[string]Copy{"cool": {}})},
		Demands: map[string]Demand{"hot": {Rate: 34}},
	}
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Engine != "e2" || got[0].Source != FromStore {
		t.Errorf("got %+v, want a copy from the store on e2", got)
	}
}

func TestRareModelDoesNotTakeACopyThatTheHotOneNeeds(t *testing.T) {
	s := State{
		Now: now, Models: models("hot", "h2", "h3", "rare"),
		Engines: []Engine{
			engine("e1", disk("hot", "rare"), map[string]Copy{"hot": {Running: 9}, "h2": {Running: 6}, "h3": {Running: 6}}),
			engine("e2", disk("hot"), map[string]Copy{"hot": {Running: 9}, "h2": {Running: 6}, "h3": {Running: 6}}),
		},
		Demands: map[string]Demand{"hot": {Rate: 34}, "h2": {Rate: 9}, "h3": {Rate: 9}, "rare": {Waiting: 1, Due: now + time.Second}},
	}
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("got %+v, want no eviction of a copy that a hot model's load needs", got)
	}
}

// fleetState returns a fleet of engines that hold two models each. One model in ten has
// a waiting request, and each model is on the disk of a few engines.
func fleetState(engines, modelCount int) State {
	names := make([]string, modelCount)
	for i := range names {
		names[i] = fmt.Sprintf("m%d", i)
	}
	s := State{Now: now, Models: models(names...), Demands: map[string]Demand{}}
	for i := range engines {
		onDisk := map[string]bool{}
		for j := range 20 {
			onDisk[names[(i*7+j*13)%modelCount]] = true
		}
		e := engine(fmt.Sprintf("e%d", i), onDisk, map[string]Copy{names[i%modelCount]: {}, names[(i*3+1)%modelCount]: {}})
		e.CapacityMB, e.Busy = 150, i%3 == 0
		s.Engines = append(s.Engines, e)
	}
	for i, n := range names {
		d := Demand{Rate: 0.2}
		if i%10 == 0 {
			d.Waiting, d.Due = 1, now+time.Second
		}
		s.Demands[n] = d
	}
	return s
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ engines, models int }{{9, 51}, {90, 274}, {4900, 5000}} {
		s := fleetState(size.engines, size.models)
		b.Run(fmt.Sprintf("engines=%d/models=%d", size.engines, size.models), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Plan(s, DefaultOptions())
			}
		})
	}
}

// rareBurstOnAFullFleet returns a fleet in which requests wait for a hot model that has
// three copies, and for rare models that are on no disk.
func rareBurstOnAFullFleet() State {
	s := State{Now: now, Models: models("hot", "r1", "r2", "cool"), Demands: map[string]Demand{
		"hot": {Rate: 70, Waiting: 9, Due: now - time.Second},
		"r1":  {Rate: 0.5, Waiting: 1, Due: now + time.Second},
		"r2":  {Rate: 0.5, Waiting: 1, Due: now + time.Second},
	}}
	for i := range 18 {
		copies := map[string]Copy{"cool": {}}
		if i < 3 {
			copies["hot"] = Copy{Running: 12}
		}
		s.Engines = append(s.Engines, engine(fmt.Sprintf("e%d", i), disk("d1", "d2", "d3", "d4", "d5", "d6", "d7"), copies))
	}
	return s
}

// TestOverloadedHotModelLoadsFromStoreFirst checks that an overloaded hot model gets a
// load from the weight store before rare models do.
func TestOverloadedHotModelLoadsFromStoreFirst(t *testing.T) {
	got := Plan(rareBurstOnAFullFleet(), DefaultOptions())
	if len(got) == 0 || got[0].Load != "hot" || got[0].Source != FromStore {
		t.Errorf("got %+v, want the hot model from the store first", got)
	}
}

// TestEnginesWithEmptyDisksAreFilled replaces five of nine engines by empty ones, so that
// many rare models are on no disk. The empty engines could not swap anyway, so they load
// from the weight store up to its limit, and the others stay free for swaps.
func TestEnginesWithEmptyDisksAreFilled(t *testing.T) {
	s := State{Now: now, Models: models("r1", "r2", "r3", "r4", "r5", "cool"), Demands: map[string]Demand{}}
	for i := range 5 {
		s.Demands[fmt.Sprintf("r%d", i+1)] = Demand{Rate: 0.2, Waiting: 1, Due: now + time.Second}
		s.Engines = append(s.Engines, engine(fmt.Sprintf("new%d", i), nil, nil))
	}
	for i := range 4 {
		s.Engines = append(s.Engines, engine(fmt.Sprintf("old%d", i), disk("a", "b", "c", "d", "e", "f", "g", "h"), map[string]Copy{"cool": {}}))
	}
	opts := DefaultOptions()
	opts.MaxStoreLoads = 4
	got := Plan(s, opts)
	if len(got) != 4 {
		t.Errorf("got %d loads, want 4: %+v", len(got), got)
	}
	for _, m := range got {
		if m.Engine[:3] != "new" {
			t.Errorf("got %+v, want loads only at engines with empty disks", m)
		}
	}
}

// TestEngineFullOfHotModelsStillSwaps covers a fleet after engines were replaced by empty
// ones: the only engine with the rare model on its disk holds three hot models. It must
// evict one that has a second copy for its load, but never a last copy.
func TestEngineFullOfHotModelsStillSwaps(t *testing.T) {
	s := State{Now: now, Models: models("h1", "h2", "h3", "rare"), Demands: map[string]Demand{
		"h1": {Rate: 20}, "h2": {Rate: 6}, "h3": {Rate: 2}, "rare": {Waiting: 1, Due: now + time.Second},
	}}
	three := func(running int) map[string]Copy {
		return map[string]Copy{"h1": {Running: 4}, "h2": {Running: running}, "h3": {}}
	}
	s.Engines = []Engine{engine("old", disk("rare", "h1", "h2", "h3", "d1", "d2", "d3"), three(1)), engine("new", disk("h1", "h2", "h3"), three(1))}
	want := []Move{{Engine: "old", Unload: []string{"h3"}, Load: "rare", Source: FromDisk}}
	if got := Plan(s, DefaultOptions()); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	s.Engines = s.Engines[:1]
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("a hot model lost its last copy: %+v", got)
	}
}

// TestMoreHotModelsThanFit covers hot models that do not all fit into the engines'
// memory: a loaded one without waiting requests is evicted only if more requests wait
// than would arrive for it while it is unloaded.
func TestMoreHotModelsThanFit(t *testing.T) {
	s := State{Now: now, Models: models("a", "b", "c"), Demands: map[string]Demand{
		"a": {Rate: 2.5}, "b": {Rate: 2}, "c": {Rate: 2, Waiting: 4, Due: now - time.Second},
	}}
	e := engine("e", disk("a", "b", "c"), map[string]Copy{"a": {}, "b": {}})
	e.CapacityMB = 150
	s.Engines = []Engine{e}
	want := []Move{{Engine: "e", Unload: []string{"b"}, Load: "c", Source: FromDisk}}
	if got := Plan(s, DefaultOptions()); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	s.Demands["c"] = Demand{Rate: 2, Waiting: 1, Due: now + time.Second}
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("got %+v, want none: fewer requests wait than would arrive for the evicted model", got)
	}
}

// TestNearlyFullHotModelLoadsFromStoreEarly checks that a load of a hot model begins
// before its requests wait: from the weight store it takes many seconds.
func TestNearlyFullHotModelLoadsFromStoreEarly(t *testing.T) {
	s := rareBurstOnAFullFleet()
	s.Demands["hot"] = Demand{Rate: 70}
	for i := range 3 {
		s.Engines[i].Slots, s.Engines[i].Copies["hot"] = 12, Copy{Running: 10}
	}
	for i := range s.Engines {
		s.Engines[i].Slots = 12
	}
	if got := Plan(s, DefaultOptions()); len(got) == 0 || got[0].Load != "hot" {
		t.Errorf("got %+v, want the hot model first", got)
	}
}

// TestRareStoreLoadsDoNotDelayHotModel checks that rare models leave one concurrent load
// from the weight store to hot models, and that no load exceeds the number that the store
// serves at full speed: beyond it, all loads would take longer.
func TestRareStoreLoadsDoNotDelayHotModel(t *testing.T) {
	s := rareBurstOnAFullFleet()
	delete(s.Demands, "hot")
	if got := Plan(s, DefaultOptions()); len(got) != 1 {
		t.Errorf("got %+v, want one load for the rare models", got)
	}
	s = rareBurstOnAFullFleet()
	s.StoreLoads = DefaultOptions().MaxStoreLoads - 1
	if got := Plan(s, DefaultOptions()); len(got) != 1 || got[0].Load != "hot" {
		t.Errorf("got %+v, want one load, of the hot model", got)
	}
	s.StoreLoads++
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("got %+v, want no load above MaxStoreLoads", got)
	}
}
