package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

type reportedHosts struct {
	live, lastLeaving []string
	known             bool
}

func (r reportedHosts) LiveHosts() ([]string, bool) { return r.live, r.known }
func (r reportedHosts) LastLeaving() []string       { return r.lastLeaving }

// TestDirectoryDuringPlannedStops covers look-ups while some or all hosts leave. A look-up
// without an address would leave callers with the hosts that stop first.
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
		{"nobody leaves", entries(), reportedHosts{[]string{"a", "b"}, nil, true}, false, []string{"a", "b"}, true},
		{"this host leaves", entries("a"), reportedHosts{[]string{"a", "b"}, nil, true}, true, []string{"b"}, true},
		{"all leave", entries(), reportedHosts{nil, []string{"d", "c"}, true}, true, []string{"d", "c"}, false},
		{"all leave, this host last", entries(), reportedHosts{nil, []string{"a", "d"}, true}, true, []string{"a", "d"}, false},
		{"all leave, coordinator silent", entries("a", "b", "c", "d"), reportedHosts{}, true, []string{"d", "c"}, false},
		{"coordinator silent", entries("b"), reportedHosts{}, false, []string{"a", "c", "d"}, true},
		{"alone and leaving", map[string]fleet.Host{"a": {Name: "a", Address: "a"}}, reportedHosts{}, true, []string{"a"}, false},
	} {
		view := coordinator.NewFleetView("z", func() time.Duration { return 0 })
		view.SetHosts(c.hosts)
		d := &Directory{View: view, Client: c.reported, Self: c.hosts["a"]}
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
	d := &Directory{View: view, Client: reportedHosts{live, nil, true}, Self: hosts["h0"]}
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
