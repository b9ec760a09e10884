package swap

import (
	"reflect"
	"testing"
	"time"
)

// TestWaitingForVersionGetsCopyAtIt guards against requests for a software version waiting while the model's only copy is at another.
func TestWaitingForVersionGetsCopyAtIt(t *testing.T) {
	onVersion := func(e Engine, version string) Engine { e.Version = version; return e }
	s := State{
		Now: now, Models: models("m", "other"),
		Engines: []Engine{
			onVersion(engine("new1", disk("m", "other"), map[string]Copy{"m": {}}), "v2"),
			onVersion(engine("new2", disk("m", "other"), map[string]Copy{}), "v2"),
			onVersion(engine("old", disk("m", "other"), map[string]Copy{"other": {}}), "v1"),
		},
		Demands: map[string]Demand{"m": {Waiting: 2, WaitingAt: map[string]int{"v1": 2}, Due: now + time.Second}},
	}
	want := []Move{{Engine: "old", Load: "m", Source: FromDisk}}
	if got := Plan(s, DefaultOptions()); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
	s.Engines[2].Copies["m"] = Copy{State: Loading}
	if got := Plan(s, DefaultOptions()); len(got) != 0 {
		t.Errorf("got %+v while the copy is loading, want none", got)
	}
	delete(s.Engines[2].Copies, "m")
	s.Engines[0].Copies = map[string]Copy{}
	if got := Plan(s, DefaultOptions()); !reflect.DeepEqual(got, want) {
		t.Errorf("without any copy: got %+v, want %+v alone", got, want)
	}
}
