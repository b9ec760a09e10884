package gateway

import (
	"testing"

	"buckthornseam.dev/seam/internal/fleet"
)

// choices returns how many of a thousand requests of host a are passed on through each host.
func choices(c helperChoice) map[string]int {
	out := map[string]int{}
	for i := range 1000 {
		h, _ := chooseHelper(c, func() float64 { return float64(i) / 1000 })
		out[h.Name]++
	}
	return out
}

// TestHelperIsChosenByZoneAndSize guards against dear traffic between zones where hosts of the zone can help, and against
// the few hosts of a zone bearing the load of many.
func TestHelperIsChosenByZoneAndSize(t *testing.T) {
	host := func(name, zone string, weight float64) fleet.Host {
		return fleet.Host{Name: name, Zone: zone, Weight: weight, RelayAddress: name}
	}
	hosts := map[string]fleet.Host{}
	for _, h := range []fleet.Host{host("a", "z", 1), host("b", "z", 1), host("c", "z", 1), host("d", "y", 1), host("e", "y", 3)} {
		hosts[h.Name] = h
	}
	leaving, silent := host("f", "z", 1), host("g", "z", 1)
	leaving.Leaving = true
	hosts["f"], hosts["g"], hosts["old"] = leaving, silent, fleet.Host{Name: "old", Zone: "z", Weight: 1}
	c := helperChoice{self: hosts["a"], hosts: hosts, live: []string{"a", "b", "c", "d", "e", "f", "old"}, known: true, cutOff: []string{"a"}}
	if got := choices(c); got["b"]+got["c"] != 1000 || got["b"] < 450 || got["c"] < 450 {
		t.Errorf("two hosts of the zone help: got %v", got)
	}
	c.cutOff = []string{"a", "c", "g"}
	if got := choices(c); got["b"]+got["d"]+got["e"] != 1000 || got["e"] < 550 || got["d"] < 150 {
		t.Errorf("one host of the zone for three: got %v, want all that reach targets, by their size", got)
	}
	c.cutOff = []string{"a", "b", "c"}
	if got := choices(c); got["d"]+got["e"] != 1000 || got["d"] < 200 || got["e"] < 700 {
		t.Errorf("a whole zone is cut off: got %v", got)
	}
	c.tried = map[string]bool{"d": true, "e": true}
	if h, ok := chooseHelper(c, func() float64 { return 0 }); ok {
		t.Errorf("%s is chosen although it was tried, or cannot help", h.Name)
	}
}
