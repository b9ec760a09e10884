package coordinator

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

func testCoordinator() (*Coordinator, *time.Duration) {
	now := time.Hour
	clock := func() time.Duration { return now }
	view := NewFleetView("z", clock)
	confirmed := copiesOf(view, clock)
	return NewCoordinator("c", view, nil, NewPartFailures("c", view.Hosts, clock, quietLog()), confirmed, false, clock, quietLog()), &now
}

func use(n float64) map[string]float64 { return map[string]float64{"t": n} }

// TestUseBeforeFirstReportIsNotCounted checks that hosts are not told of use from before a
// host's first report to a new coordinator: each reports all use since its start.
func TestUseBeforeFirstReportIsNotCounted(t *testing.T) {
	c, _ := testCoordinator()
	first := c.Report("a", Report{Incarnation: "1", Full: true, LocalUse: use(100_000)})
	c.Report("b", Report{Incarnation: "1", Full: true, LocalUse: use(900_000)})
	update := c.Report("a", Report{Incarnation: "1"})
	if update.RemoteUse["t"] != first.RemoteUse["t"] || update.UseEpoch != first.UseEpoch {
		t.Errorf("use of the other hosts sent to host a: %v, want no change", update.RemoteUse)
	}
	c.Report("b", Report{Incarnation: "1", LocalUse: use(905_000)})
	if update = c.Report("a", Report{Incarnation: "1"}); update.RemoteUse["t"] != 5_000 {
		t.Errorf("use of the other hosts sent to host a: %v, want 5000", update.RemoteUse)
	}
}

// TestRepeatedFullReportCountsOnce covers a host that reports in full again after the
// reply to its report was lost.
func TestRepeatedFullReportCountsOnce(t *testing.T) {
	c, _ := testCoordinator()
	c.Report("a", Report{Incarnation: "1", Full: true, LocalUse: use(0)})
	c.Report("b", Report{Incarnation: "1", Full: true, LocalUse: use(1_000), Running: []RunningCount{{"e", "m", 3}}})
	c.Report("b", Report{Incarnation: "1", Full: true, LocalUse: use(3_000), Running: []RunningCount{{"e", "m", 3}}})
	update := c.Report("a", Report{Incarnation: "1"})
	if update.RemoteUse["t"] != 2_000 || update.Load["e"] != 3 {
		t.Errorf("sent to host a: use %v and load %v, want 2000 and 3", update.RemoteUse, update.Load)
	}
}

// TestStoreLoadsOfPreviousCoordinatorCount checks that loads from the weight store that a
// previous coordinator began count against the limit. When many hosts are lost together,
// the coordinator changes, and the next one must not begin as many loads again.
func TestStoreLoadsOfPreviousCoordinatorCount(t *testing.T) {
	c, _ := testCoordinator()
	target := fleet.Target{ID: "e", OnDisk: []string{"a"}}
	for _, each := range []struct {
		name string
		view EngineView
		want bool
	}{
		{"idle", EngineView{Models: map[string]ModelView{"a": {}}}, false},
		{"from its disk", EngineView{Busy: true, Models: map[string]ModelView{"a": {State: swap.Loading}}}, false},
		{"from the store", EngineView{Busy: true, Models: map[string]ModelView{"b": {State: swap.Loading}}}, true},
		{"of a lost owner", EngineView{Busy: true, ForeignOrder: true}, true},
	} {
		if got := c.loadsFromStore(target, each.view); got != each.want {
			t.Errorf("%s: got %v", each.name, got)
		}
	}
	c.moves["e"] = &move{command: SwapCommand{Load: "b", Source: swap.FromStore}}
	if !c.loadsFromStore(target, EngineView{Models: map[string]ModelView{}}) {
		t.Error("a load of this coordinator is not counted")
	}
}

// TestLoneCoordinatorsAssignNoOwners guards against each of eighty hosts, which all take themselves for the coordinator for a
// second after they have restarted, claiming all engines: that was 4,000 claims and 11,000 calls to the store. The controls are a
// coordinator to which the others report, and one that stays alone.
func TestLoneCoordinatorsAssignNoOwners(t *testing.T) {
	for _, test := range []struct {
		reporting int
		after     time.Duration
		want      bool
	}{{1, time.Second, false}, {19, time.Second, false}, {20, time.Second, true}, {1, 4 * time.Second, true}} {
		c, now := testCoordinator()
		hosts := map[string]fleet.Host{}
		for i := range 80 {
			hosts[fmt.Sprint("h", i)] = fleet.Host{Name: fmt.Sprint("h", i)}
		}
		c.fleetView.SetHosts(hosts)
		began := *now
		for *now = began; *now < began+test.after; *now += 200 * time.Millisecond {
			for i := range test.reporting {
				c.Report(fmt.Sprint("h", i), Report{Incarnation: "1", Full: *now == began})
			}
		}
		if got := *now-c.activeSince > c.ownershipDelay(); got != test.want {
			t.Errorf("%d of 80 hosts report for %v: assigns owners: %v, want %v", test.reporting, test.after, got, test.want)
		}
	}
}

// TestHostsThatLeaveLastAreReported covers planned stops of all hosts, a second apart. Each
// update must replace the list of hosts that serve, also when none is left on it.
func TestHostsThatLeaveLastAreReported(t *testing.T) {
	c, now := testCoordinator()
	names := []string{"a", "b", "c", "d"}
	for _, name := range names {
		c.Report(name, Report{Incarnation: name, Full: true})
	}
	client := testClient("a", fleet.Host{Name: "a"})
	for i := range names {
		*now += time.Second
		for j, other := range names[1:] {
			c.Report(other, Report{Incarnation: other, Leaving: j < i})
		}
		client.applyUpdate(overWire(t, c.Report("a", Report{Incarnation: "a", Leaving: true})))
	}
	if live, _ := client.LiveHosts(); len(live) != 0 {
		t.Errorf("hosts %v are reported as serving, want none", live)
	}
	if got := client.LastLeaving(); !slices.Equal(got, []string{"d", "c"}) {
		t.Errorf("hosts that leave last: %v, want d and c", got)
	}
}

// overWire returns an update as the host receives it.
func overWire(t *testing.T, u Update) Update {
	t.Helper()
	data, err := json.Marshal(u)
	if err != nil {
		t.Fatal(err)
	}
	var out Update
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}
