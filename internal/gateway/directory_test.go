package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	logrustest "github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

type reportedHosts struct {
	live, lastLeaving []string
	known             bool
	age               time.Duration // of the last list
}

func (r reportedHosts) LiveHosts() ([]string, bool) { return r.live, r.known }
func (r reportedHosts) LastKnownHosts() ([]string, time.Duration, bool) {
	return slices.Concat(r.live, r.lastLeaving), r.age, len(r.live)+len(r.lastLeaving) > 0
}
func (r reportedHosts) LastLeaving() []string { return r.lastLeaving }

// TestDirectoryDuringPlannedStops covers look-ups while some or all hosts leave. A look-up
// without an address would leave callers with the hosts that stop first. Hosts of which nobody has told for the contact time are
// not named, whatever their entries say: they may be gone.
func TestDirectoryDuringPlannedStops(t *testing.T) {
	entries := func(leaving ...string) map[string]fleet.Host {
		out := map[string]fleet.Host{}
		for i, name := range []string{"a", "b", "c", "d"} {
			out[name] = fleet.Host{Name: name, Address: name, ModRevision: uint64(i + 1), Leaving: slices.Contains(leaving, name)}
		}
		return out
	}
	for _, c := range []struct {
		name     string
		hosts    map[string]fleet.Host
		reported reportedHosts
		leaving  bool
		want     []string
		others   bool
	}{
		{"nobody leaves", entries(), reportedHosts{live: []string{"a", "b"}, known: true}, false, []string{"a", "b"}, true},
		{"this host leaves", entries("a"), reportedHosts{live: []string{"a", "b"}, known: true}, true, []string{"b"}, true},
		{"all leave", entries(), reportedHosts{lastLeaving: []string{"d", "c"}, known: true}, true, []string{"d", "c"}, false},
		{"all leave, this host last", entries(), reportedHosts{lastLeaving: []string{"a", "d"}, known: true}, true, []string{"a", "d"}, false},
		{"all leave, coordinator silent", entries("a", "b", "c", "d"), reportedHosts{live: []string{"a", "b", "c", "d"}, age: 5 * time.Second}, true, []string{"d", "c"}, false},
		{"all leave, list too old", entries("a", "b", "c", "d"), reportedHosts{live: []string{"a", "b", "c", "d"}, age: 6 * time.Second}, true, []string{"a"}, false},
		{"all leave, list of those that leave last too old", entries("a", "b", "c", "d"), reportedHosts{lastLeaving: []string{"d", "c"}, age: 6 * time.Second}, true, []string{"a"}, false},
		{"all leave, no list yet", entries("a", "b", "c", "d"), reportedHosts{}, true, []string{"a"}, false},
		{"coordinator silent", entries("b"), reportedHosts{live: []string{"a", "b", "c", "d"}, age: 5 * time.Second}, false, []string{"a", "c", "d"}, true},
		{"reply read long after it was sent", entries(), reportedHosts{live: []string{"a", "b"}, known: true, age: 30 * time.Second}, false, []string{"a"}, false},
		{"the same while all leave", entries("a", "b", "c", "d"), reportedHosts{lastLeaving: []string{"d", "c"}, known: true, age: 30 * time.Second}, true, []string{"a"}, false},
		{"coordinator silent, one gone before", entries(), reportedHosts{live: []string{"a", "b", "c"}, age: 5 * time.Second}, false, []string{"a", "b", "c"}, true},
		{"list too old", entries("b"), reportedHosts{live: []string{"a", "b", "c", "d"}, age: 5400 * time.Millisecond}, false, []string{"a"}, false},
		{"no list yet", entries(), reportedHosts{}, false, []string{"a"}, false},
		{"alone and leaving", map[string]fleet.Host{"a": {Name: "a", Address: "a"}}, reportedHosts{}, true, []string{"a"}, false},
	} {
		view := coordinator.NewFleetView("z", func() time.Duration { return 0 })
		view.SetHosts(c.hosts)
		d := &Directory{View: view, Client: c.reported, Self: c.hosts["a"], Contact: 4 * time.Second}
		if c.leaving {
			d.Leave()
		}
		got := d.Addresses(fleet.Lookup{Zone: "z"})
		slices.Sort(got)
		slices.Sort(c.want)
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
		if d.OthersStay() != c.others {
			t.Errorf("%s: others stay is %v", c.name, !c.others)
		}
	}
}

// TestDirectoryPrefersZone covers a large fleet: most addresses are in the caller's zone, some
// are not, and all hosts of the zone get their share of the callers.
func TestDirectoryPrefersZone(t *testing.T) {
	view := coordinator.NewFleetView("z0", func() time.Duration { return 0 })
	hosts, live := map[string]fleet.Host{}, []string{}
	for i := range 295 {
		name := fmt.Sprintf("h%d", i)
		hosts[name] = fleet.Host{Name: name, Address: name, Zone: fmt.Sprintf("z%d", i%5)}
		live = append(live, name)
	}
	view.SetHosts(hosts)
	d := &Directory{View: view, Client: reportedHosts{live: live, known: true}, Self: hosts["h0"]}
	named := map[string]int{}
	for range 200 {
		inZone := 0
		addresses := d.Addresses(fleet.Lookup{Zone: "z3"})
		for _, a := range addresses {
			named[a]++
			if hosts[a].Zone == "z3" {
				inZone++
			}
		}
		if share := float64(inZone) / float64(len(addresses)); len(addresses) != maxAddresses || share < 0.7 || share > 0.8 {
			t.Fatalf("%d addresses, %.2f of them in the zone, want %d and three quarters", len(addresses), share, maxAddresses)
		}
	}
	for name, h := range hosts {
		if h.Zone == "z3" && named[name] < 100 {
			t.Errorf("%s is named in %d of 200 responses", name, named[name])
		}
	}
	for _, zone := range []string{"", "elsewhere"} {
		if n := len(d.Addresses(fleet.Lookup{Zone: zone})); n != maxAddresses {
			t.Errorf("%d addresses for zone %q, want %d", n, zone, maxAddresses)
		}
	}
}

// TestSourceOfTheDirectoryIsLogged guards against a host that names itself alone without a trace, and against a line for each answer.
func TestSourceOfTheDirectoryIsLogged(t *testing.T) {
	view := coordinator.NewFleetView("z", func() time.Duration { return 0 })
	view.SetHosts(map[string]fleet.Host{"a": {Name: "a", Address: "a"}, "b": {Name: "b", Address: "b"}})
	log, hook := logrustest.NewNullLogger()
	d := &Directory{View: view, Self: fleet.Host{Name: "a", Address: "a"}, Contact: 4 * time.Second, Log: log}
	for _, r := range []reportedHosts{{}, {live: []string{"a", "b"}, known: true}, {live: []string{"a", "b"}, age: 2 * time.Second}, {live: []string{"a", "b"}, age: 9 * time.Second}} {
		for range 3 {
			d.Client = r
			d.Addresses(fleet.Lookup{})
		}
	}
	var got []string
	for _, e := range hook.AllEntries() {
		got = append(got, fmt.Sprint(e.Data["to"]))
	}
	if want := []string{"this host alone", "coordinator", "last list", "this host alone"}; !slices.Equal(got, want) {
		t.Errorf("logged %q, want %q", got, want)
	}
}

// TestDirectoryOutsideHomesIsLoggedAndCounted guards against callers who are sent outside the homes without a trace, while none of the hosts
// there runs, against a line for each look-up where callers of one region are and those of another are not, and against metrics by whatever
// region callers state.
func TestDirectoryOutsideHomesIsLoggedAndCounted(t *testing.T) {
	view := coordinator.NewFleetView("z", func() time.Duration { return 0 })
	view.SetRegions(map[string]string{"z0": "eu", "z1": "us"})
	config := &fleet.Config{Version: 1, Routes: []fleet.Route{{Host: "n", PathPrefix: "/", Homes: []string{"eu"}}}}
	config.Index()
	view.SetConfig(config)
	view.SetHosts(map[string]fleet.Host{"a": {Name: "a", Address: "a", Zone: "z1"}, "b": {Name: "b", Address: "b", Zone: "z0"}, "c": {Name: "c", Address: "c", Zone: "elsewhere"}})
	log, hook := logrustest.NewNullLogger()
	scope := tally.NewTestScope("", nil)
	d := &Directory{View: view, Self: fleet.Host{Name: "a", Address: "a", Zone: "z1"}, Log: log, Metrics: scope}
	for _, c := range []struct {
		live   []string
		region string
		want   []string
	}{
		{[]string{"a", "b", "c"}, "us", []string{"a", "b"}}, {[]string{"a", "b", "c"}, "made up", []string{"b"}}, {[]string{"a", "b", "c"}, "", []string{"b"}},
		{[]string{"a", "c"}, "made up", []string{"a", "c"}}, {[]string{"a", "c"}, "us", []string{"a"}}, {[]string{"a", "c"}, "", []string{"a", "c"}},
		{[]string{"a", "b", "c"}, "eu", []string{"b"}}, {[]string{"a", "b", "c"}, "made up", []string{"b"}},
	} {
		d.Client = reportedHosts{live: c.live, known: true}
		got := d.Addresses(fleet.Lookup{Name: "n", Region: c.region})
		if slices.Sort(got); !slices.Equal(got, c.want) {
			t.Errorf("hosts %v run, caller in %q: got %v, want %v", c.live, c.region, got, c.want)
		}
	}
	var outside []any
	for _, e := range hook.AllEntries() {
		if e.Data["event"] == "directory_outside_homes" {
			outside = append(outside, e.Data["outside"])
		}
	}
	if fmt.Sprint(outside) != "[true false]" {
		t.Errorf("logged changes %v, want one to outside and one back", outside)
	}
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Tags()["region"]+" "+c.Tags()["named"]] = c.Value()
	}
	if fmt.Sprint(counts) != "map[eu home:1 unknown home:3 unknown other:2 us home:2]" {
		t.Errorf("counted %v", counts)
	}
}
