package coordinator

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// TestShortUpdatesGiveTheSameView checks that hosts which receive only what changed have the
// same view of all engines as the coordinator, over random swaps, adapter loads and
// restarts of engines, and that a swap costs few bytes.
func TestShortUpdatesGiveTheSameView(t *testing.T) {
	const engines, changes = 20, 400
	random := rand.New(rand.NewPCG(1, 1))
	c, _ := testCoordinator()
	c.fleetView.SetConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{}}}})
	targets := map[string]fleet.Target{}
	for i := range engines {
		id := fmt.Sprintf("i-%08d", i)
		targets[id] = fleet.Target{ID: id, Service: "s"}
	}
	c.fleetView.SetTargets(fleet.NewTargets(targets))
	client := testClient("h", fleet.Host{Name: "h"})
	client.opts.FleetView.SetTargets(fleet.NewTargets(targets))
	c.Report("h", Report{Incarnation: "h", Full: true})
	owned := map[string]EngineView{}
	bytes, swaps := 0, 0
	for range changes {
		id := fmt.Sprintf("i-%08d", random.IntN(engines))
		v, known := owned[id]
		if !known {
			v = EngineView{ID: id, FromOwner: true, Models: map[string]ModelView{"model-0": {}, "model-1": {}}}
		}
		v.Models = cloneModels(v.Models)
		kind := random.IntN(10)
		changeView(random, &v, kind)
		owned[id] = v
		c.Report("owner", Report{Incarnation: "1", Full: c.hosts["owner"] == nil, Owned: []EngineView{v}})
		update := overWire(t, c.Report("h", Report{Incarnation: "h"}))
		if data, err := json.Marshal(update.Engines); err != nil {
			t.Fatal(err)
		} else if known && kind >= 3 {
			bytes, swaps = bytes+len(data), swaps+1
		}
		client.applyUpdate(update)
	}
	for id, want := range c.engineUpdates {
		got := updateOf(client.opts.FleetView.views[id])
		got.ReadyOnly = false
		if !want.owned {
			continue
		}
		if got.StartedMS != want.update.StartedMS || got.Owner != want.update.Owner || !slices.Equal(got.Ready, want.update.Ready) || fmt.Sprint(got.Adapters) != fmt.Sprint(want.update.Adapters) {
			t.Errorf("%s: the host sees %+v, the coordinator %+v", id, got, want.update)
		}
	}
	if mean := bytes / max(1, swaps); mean > 100 {
		t.Errorf("a swap takes %d bytes in the mean, want 100 at most", mean)
	}
}

// changeView changes an engine's view: its start, an adapter, or its models.
func changeView(random *rand.Rand, v *EngineView, kind int) {
	switch kind {
	case 0:
		v.StartedMS += 1000
	case 1, 2:
		for model, m := range v.Models {
			m.Adapters = append(slices.Clone(m.Adapters), fmt.Sprintf("a%d", random.IntN(1000)))
			v.Models[model] = m
			break
		}
	default:
		for model := range v.Models {
			delete(v.Models, model)
			break
		}
		v.Models[fmt.Sprintf("model-%d", random.IntN(300))] = ModelView{State: swap.Ready}
	}
}

// TestMissedUpdateIsRepeated covers a host that no longer has the view to which an update
// refers: it asks for everything again.
func TestMissedUpdateIsRepeated(t *testing.T) {
	client := testClient("h", fleet.Host{Name: "h"})
	client.sendFull = false
	client.applyUpdate(Update{Engines: []EngineUpdate{{ID: "e1", Ready: []string{"m"}, ReadyOnly: true}}})
	if !client.sendFull {
		t.Error("the host does not ask for the full state")
	}
}

// TestHostsTellEachOtherTheEra guards against a host that reaches others but not the store going by what it knew before a
// restore, and against a coordinator that learns of it last.
func TestHostsTellEachOtherTheEra(t *testing.T) {
	c, _ := testCoordinator()
	c.eras.Learn(2)
	client := testClient("a", fleet.Host{Name: "a"})
	client.opts.Eras.Learn(1)
	u := c.Report("a", Report{Incarnation: "1", Full: true, Era: 1})
	client.applyStoreAge(*u.StoreAge, client.opts.Now())
	if era := client.opts.Eras.Current(); era != 2 {
		t.Errorf("the host goes by era %d, want 2", era)
	}
	c.Report("b", Report{Incarnation: "1", Full: true, Era: 3})
	if era := c.eras.Current(); era != 3 {
		t.Errorf("the coordinator goes by era %d, want 3", era)
	}
}
