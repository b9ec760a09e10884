package coordinator

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// homesView returns a view of two engines in region eu, one in us and one in a zone without a region.
func homesView(now func() time.Duration) *FleetView {
	f := NewFleetView("z0", now)
	f.SetRegions(map[string]string{"z0": "eu", "z1": "us"})
	targets := map[string]fleet.Target{}
	for id, zone := range map[string]string{"eu1": "z0", "eu2": "z0", "us1": "z1", "none": "z2"} {
		targets[id] = fleet.Target{ID: id, Service: "s", Zone: zone, Version: "v-" + zone, Slots: 12, StartedMS: 1, Models: map[string][]string{"m": nil, "in-" + zone: nil}}
	}
	f.SetTargets(fleet.NewTargets(targets))
	return f
}

// TestChoiceKeepsToHomes guards against requests with homes that reach a target elsewhere, whatever the load, and against a model,
// a software version or a request for quiet elsewhere counting for them.
func TestChoiceKeepsToHomes(t *testing.T) {
	f := homesView(func() time.Duration { return time.Hour })
	f.SetRemoteLoad(map[string]int{"eu1": 11, "eu2": 11})
	for name, c := range map[string]struct {
		regions []string
		want    []string
	}{
		"no homes": {nil, []string{"eu1", "eu2", "none", "us1"}}, "eu": {[]string{"eu"}, []string{"eu1", "eu2"}},
		"both": {[]string{"eu", "us"}, []string{"eu1", "eu2", "us1"}}, "unknown": {[]string{"mars"}, nil}, "none left": {[]string{}, nil},
	} {
		got := map[string]bool{}
		for range 20_000 {
			if choice, ok := f.Pick(Requirements{Service: "s", Model: "m", Regions: c.regions}); ok {
				got[choice.Target.ID] = true
			}
		}
		for id := range got {
			if !slices.Contains(c.want, id) {
				t.Errorf("%s: %s is chosen", name, id)
			}
		}
		if len(got) < min(1, len(c.want)) {
			t.Errorf("%s: none is chosen, want one of %v", name, c.want)
		}
	}
	us, mars := []string{"us"}, []string{"mars"}
	for name, c := range map[string]struct{ got, want bool }{
		"weights in the home":                {f.HasLocalWeights("s", "in-z1", nil, us), true},
		"weights elsewhere":                  {f.HasLocalWeights("s", "in-z0", nil, us), false},
		"weights without homes":              {f.HasLocalWeights("s", "in-z0", nil, nil), true},
		"weights, no engine known in homes":  {f.HasLocalWeights("s", "in-z0", nil, mars), true},
		"version in the home":                {f.ServesVersion("s", "v-z1", us, nil), true},
		"version elsewhere":                  {f.ServesVersion("s", "v-z0", us, nil), false},
		"version elsewhere without homes":    {f.ServesVersion("s", "v-z0", nil, nil), true},
		"version of a zone without a region": {f.ServesVersion("s", "v-z2", us, nil), false},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", name, c.got, c.want)
		}
	}
	us1, _ := f.Target("us1")
	f.RecordQuiet(us1, time.Minute)
	if _, all := f.QuietUntil("s", us); !all {
		t.Error("the only target of the home asks for quiet, but the service counts as available there")
	}
	if _, all := f.QuietUntil("s", nil); all {
		t.Error("without homes the whole service counts as quiet")
	}
}

// TestBoundDemandIsReported guards against a planner that loads a model where the waiting requests may not run: the coordinator
// has to learn how many are bound to which regions and version, and no more of it when they end.
func TestBoundDemandIsReported(t *testing.T) {
	now := time.Hour
	f := homesView(func() time.Duration { return now })
	v1, eu := "v1", []string{"eu"}
	ends := []func(){f.BeginWait("s", "m", &v1, eu, now+time.Second), f.BeginWait("s", "m", nil, eu, now-time.Second), f.BeginWait("s", "m", nil, nil, now)}
	f.RecordArrival("s", "m", eu)
	f.RecordArrival("s", "m", nil)
	c, _ := testCoordinator()
	c.fleetView = f
	var r Report
	f.report(&r)
	r.Incarnation, r.Full = "1", true
	c.Report("a", r)
	d := c.demands("s", now)["m"]
	if d.Waiting != 3 || d.WaitingAt[v1] != 0 || len(d.Bound) != 2 {
		t.Fatalf("demand %+v, want three waiting, two of them bound", d)
	}
	waiting, rate := 0, 0.0
	for _, b := range d.Bound {
		waiting, rate = waiting+b.Waiting, rate+b.Rate
		if !slices.Equal(b.Regions, eu) || b.Version != nil && *b.Version != v1 {
			t.Errorf("bound demand %+v", b)
		}
	}
	if waiting != 2 || rate <= 0 || rate > 0.6*d.Rate {
		t.Errorf("%d waiting, %.2f of %.2f a second are bound, want 2 and half", waiting, rate, d.Rate)
	}
	for _, end := range ends {
		end()
	}
	r = Report{Incarnation: "1"}
	f.report(&r)
	if c.Report("a", r); len(r.Waiting) > 0 || len(c.totals.boundBacklogs) > 0 {
		t.Errorf("still waiting: %+v, %v", r.Waiting, c.totals.boundBacklogs)
	}
	now += time.Hour
	if d := c.demands("s", now)["m"]; len(d.Bound) > 0 || len(c.boundRates) > 0 {
		t.Errorf("an hour later the demand is %+v", d)
	}
}

// TestRefusedModelIsWantedInTheHomes guards against a load elsewhere for a model whose requests were refused because no engine in their homes
// could load it in time. The control is a refusal without homes.
func TestRefusedModelIsWantedInTheHomes(t *testing.T) {
	f := homesView(func() time.Duration { return time.Hour })
	for range 2 {
		f.RecordUnloadable("s", "m", []string{"eu"}, time.Hour)
		f.RecordUnloadable("s", "m", nil, time.Hour)
	}
	var r Report
	f.report(&r)
	if w := r.Waiting[0]; w.Count != 2 || fmt.Sprint(w.Bound) != "[{[eu] <nil> 1 0}]" {
		t.Errorf("reported %+v, want two, one of them bound to eu", w)
	}
}

// TestBoundDemandBetweenVersions guards against an upgrade in which a host and a coordinator of different versions misread each
// other: each field must be missing where nothing is bound, and a report without them means unbound requests.
func TestBoundDemandBetweenVersions(t *testing.T) {
	w := WaitingRequests{Service: "s", Model: "m", Count: 2}
	plain, _ := json.Marshal([]any{w, Arrivals{Service: "s", Model: "m", N: 1}, Update{Backlogs: []Backlog{{Service: "s", Model: "m", InTime: 4}}}})
	if want := `[{"s":"s","m":"m","n":2,"d":0},{"s":"s","m":"m","n":1},{"k":[{"s":"s","m":"m","n":4}]}]`; string(plain) != want {
		t.Errorf("without homes the messages are %s, want those of the previous version, %s", plain, want)
	}
	w.Bound = []RegionCount{{Regions: []string{"eu"}, N: 2}}
	bound, _ := json.Marshal(w)
	var previous struct { // WaitingRequests of the previous version
		Service string         `json:"s"`
		Model   string         `json:"m"`
		Count   int            `json:"n"`
		Late    int            `json:"l,omitempty"`
		DueMS   int64          `json:"d"`
		CountAt map[string]int `json:"v,omitempty"`
	}
	if err := json.Unmarshal(bound, &previous); err != nil || previous.Count != 2 {
		t.Errorf("a coordinator of the previous version reads %+v: %v", previous, err)
	}
	c, _ := testCoordinator()
	c.Report("a", Report{Incarnation: "1", Full: true, Waiting: []WaitingRequests{{Service: "s", Model: "m", Count: 2}}, Arrivals: []Arrivals{{Service: "s", Model: "m", N: 3}}})
	if d := c.demands("s", time.Hour)["m"]; d.Waiting != 2 || !reflect.DeepEqual(d.Bound, []swap.Bound(nil)) {
		t.Errorf("the report of a host of the previous version leads to the demand %+v", d)
	}
}

// TestBacklogOfAnotherRegionHoldsNothingBack guards against requests of a region with free slots being held back for those of a
// region that is full. The controls are the same backlog in the region itself, and one that is not bound.
func TestBacklogOfAnotherRegionHoldsNothingBack(t *testing.T) {
	f := homesView(func() time.Duration { return time.Hour })
	f.SetRemoteLoad(map[string]int{"us1": 12, "none": 12, "eu1": 10, "eu2": 10})
	admitted := func(bound ...RegionCount) int {
		f.SetBacklogs([]Backlog{{Service: "s", Model: "m", InTime: 200}})
		f.setBoundBacklogs([]BoundBacklog{{Service: "s", Model: "m", Counts: bound}})
		n := 0
		for range 1000 {
			if _, ok := f.Pick(Requirements{Service: "s", Model: "m", Regions: []string{"eu"}}); ok {
				n++
			}
		}
		return n
	}
	if n := admitted(RegionCount{Regions: []string{"us"}, N: 198}); n != 1000 {
		t.Errorf("%d of 1000 choices while 198 of 200 requests wait for another region, want all", n)
	}
	if n := admitted(RegionCount{Regions: []string{"eu"}, N: 198}); n > 50 {
		t.Errorf("%d of 1000 choices while 198 requests wait for four slots of the region", n)
	}
	if n := admitted(); n > 50 {
		t.Errorf("%d of 1000 choices while 200 requests that are bound to no region wait", n)
	}
	c, _ := testCoordinator()
	waiting := []WaitingRequests{{Service: "s", Model: "m", Count: 5, Late: 1, Bound: []RegionCount{{Regions: []string{"us"}, N: 3, Late: 1}}}}
	c.Report("a", Report{Incarnation: "1", Full: true, Waiting: waiting})
	if got := c.Report("b", Report{Incarnation: "1", Full: true, Waiting: waiting}).BoundBacklogs; fmt.Sprint(got) != "[{s m [{[us] <nil> 6 2}]}]" {
		t.Errorf("the coordinator tells of bound backlogs %v, want 6 of us, 2 of them late", got)
	}
}
