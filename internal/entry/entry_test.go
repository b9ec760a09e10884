package entry

import (
	"fmt"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/peer"
)

// eightMembers returns eight hosts spread over three availability zones.
func eightMembers() []peer.Member {
	var out []peer.Member
	for i := range 8 {
		out = append(out, peer.Member{
			ID: peer.ID{Name: fmt.Sprintf("host-%d", i)}, Zone: fmt.Sprintf("zone-%d", i%3), State: peer.StateAlive,
		})
	}
	return out
}

func TestCallersSpreadOverZonesAndHosts(t *testing.T) {
	const rounds = 9000
	h := New(nil, time.Second, 1)
	first, second := map[string]int{}, map[string]int{}
	for i := range rounds {
		out := h.order(eightMembers(), fmt.Sprintf("zone-%d", i%3))
		if out[0].Zone != fmt.Sprintf("zone-%d", i%3) || out[1].Zone == out[0].Zone {
			t.Fatalf("first two hosts %v and %v", out[0], out[1])
		}
		first[out[0].Name]++
		if out[0].Name == "host-0" {
			second[out[1].Name]++
		}
	}
	// The callers of a failed host reconnect to their second address. A host in
	// the other two zones may get at most 1.5 times its even share of them.
	total := 0
	for _, n := range second {
		total += n
	}
	even := float64(total) / 5
	for name, n := range second {
		if float64(n) > 1.5*even {
			t.Errorf("%s is the second address of %d of %d callers of host-0, even share %.0f", name, n, total, even)
		}
	}
	if len(first) != 8 {
		t.Errorf("got first addresses %v, want all eight hosts", first)
	}
}

func TestListOmitsLeavingHostsAndWeighsLoad(t *testing.T) {
	const rounds = 2000
	members := eightMembers()
	members[1].State = peer.StateLeaving
	members[2].State = peer.StateSuspect
	members[3].Load = 0.9 // zone-0, as hosts 0 and 6
	h := New(nil, time.Second, 1)
	first := map[string]int{}
	for range rounds {
		out := h.order(members, "zone-0")
		first[out[0].Name]++
		for _, x := range out {
			if x.Name == "host-1" {
				t.Fatal("a leaving host is in the list")
			}
		}
		if last := out[len(out)-1]; last.Name != "host-2" {
			t.Fatalf("a suspect host is not last: %v", out)
		}
	}
	if first["host-3"]*3 > first["host-0"] {
		t.Errorf("a host at 90%% load is chosen too often: first addresses %v", first)
	}
}

func TestListOfLargeFleetIsBounded(t *testing.T) {
	var members []peer.Member
	for i := range 1200 {
		members = append(members, peer.Member{
			ID: peer.ID{Name: fmt.Sprintf("host-%d", i)}, Zone: fmt.Sprintf("zone-%d", i%12), State: peer.StateAlive,
		})
	}
	out := New(nil, time.Second, 1).order(members, "zone-7")
	if len(out) != maxHosts || out[0].Zone != "zone-7" || out[1].Zone == "zone-7" {
		t.Errorf("got %d hosts, first %v and %v", len(out), out[0], out[1])
	}
}
