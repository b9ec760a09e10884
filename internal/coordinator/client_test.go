package coordinator

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// testClient returns the client of host self, which knows the given hosts.
func testClient(self string, hosts ...fleet.Host) *Client {
	now := func() time.Duration { return time.Hour }
	view := NewFleetView("z", now)
	byName := map[string]fleet.Host{}
	for _, h := range hosts {
		byName[h.Name] = h
	}
	view.SetHosts(byName)
	return NewClient(ClientOptions{Self: byName[self], FleetView: view, Owner: &Owner{}, Now: now, Log: quietLog(), Parts: NewPartFailures(self, view.Hosts, now, quietLog()),
		SetRemoteUse: func(uint64, map[string]float64, map[string]float64) {}})
}

// TestHostWithoutEntryFollowsOthers covers a host that has restarted: until its new entry
// is on its list of hosts, it must not take itself for the one with the oldest entry.
func TestHostWithoutEntryFollowsOthers(t *testing.T) {
	c := testClient("a", fleet.Host{Name: "a"}, fleet.Host{Name: "b", CreateRevision: 7})
	if got := c.chooseCoordinator(); got != "b" {
		t.Errorf("coordinator %q, want b", got)
	}
}

// TestCoordinatorOfEarlierVersionIsCounted guards against hosts granting only a small part of quotas during an upgrade.
func TestCoordinatorOfEarlierVersionIsCounted(t *testing.T) {
	c := testClient("a", fleet.Host{Name: "a"})
	c.lastReplyAt = c.opts.Now()
	c.applyUpdate(Update{UseEpoch: 1, LiveHosts: []string{"a", "b", "c"}})
	if now, lately := c.CountedTogether(); now != 3 || lately != 3 {
		t.Errorf("%d hosts count together, %d lately, want 3", now, lately)
	}
}

// TestLeavingHostIsNotCoordinator covers planned stops: a leaving host coordinates only if
// all hosts leave, and then the one that leaves last does.
func TestLeavingHostIsNotCoordinator(t *testing.T) {
	a := fleet.Host{Name: "a", CreateRevision: 1, ModRevision: 20, Leaving: true}
	b := fleet.Host{Name: "b", CreateRevision: 2, ModRevision: 30, Leaving: true}
	c := fleet.Host{Name: "c", CreateRevision: 3, ModRevision: 3}
	if got := testClient("a", a, b, c).chooseCoordinator(); got != "c" {
		t.Errorf("coordinator %q, want c", got)
	}
	if got := testClient("a", a, b).chooseCoordinator(); got != "b" {
		t.Errorf("coordinator %q, want b, which leaves last", got)
	}
	self := testClient("a", fleet.Host{Name: "a", CreateRevision: 1}, c)
	self.Leave()
	if got := self.chooseCoordinator(); got != "c" {
		t.Errorf("coordinator %q of a leaving host, want c", got)
	}
}

// deputyCalls answers reports as a deputy of the coordinator, and pings if that host is reachable.
type deputyCalls struct {
	coordinator string
	reported    []string
}

func (s *deputyCalls) Call(_ context.Context, host, method string, _, result any) error {
	if method == methodReport {
		s.reported = append(s.reported, host)
		if host != s.coordinator {
			*result.(*Update) = Update{Coordinator: s.coordinator}
		}
	}
	return nil
}

// TestHostReturnsFromDeputy covers a large fleet after a restart: hosts whose first report to
// the coordinator timed out must not stay with its deputy for seconds, since each of the two
// would count the use of its own hosts only.
func TestHostReturnsFromDeputy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := testClient("self", fleet.Host{Name: "self"}, fleet.Host{Name: "first", CreateRevision: 1}, fleet.Host{Name: "second", CreateRevision: 2})
		calls := &deputyCalls{coordinator: "first"}
		c.opts.Calls, c.opts.Coordinator = calls, NewCoordinator("self", c.opts.FleetView, calls, c.opts.Parts, nil, false, c.opts.Now, quietLog())
		c.opts.Owner = &Owner{lease: NewLease(LeaseOptions{Holder: "self", Store: nil, Eras: &platform.Eras{}, Now: c.opts.Now, Log: quietLog()})}
		c.opts.LocalUse = func() map[string]float64 { return nil }
		c.unreachableSince["first"] = c.opts.Now()
		c.report(t.Context())
		synctest.Wait()
		c.report(t.Context())
		if want := []string{"second", "first"}; !slices.Equal(calls.reported, want) {
			t.Errorf("reported to %v, want %v", calls.reported, want)
		}
		if c.opts.Coordinator.follows != "first" {
			t.Errorf("follows %q, want first", c.opts.Coordinator.follows)
		}
	})
}

// TestFullReportsOfLargeFleetHaveTime covers hundreds of hosts that report in full at once.
func TestFullReportsOfLargeFleetHaveTime(t *testing.T) {
	hosts := []fleet.Host{{Name: "self"}}
	for i := range 295 {
		hosts = append(hosts, fleet.Host{Name: strconv.Itoa(i), CreateRevision: uint64(i + 1)})
	}
	if got := testClient("self", hosts...).timeoutOf(Report{Full: true}); got < time.Second {
		t.Errorf("a full report to the coordinator of 295 hosts may take %v, want a second and more", got)
	}
	if got := testClient("self", hosts...).timeoutOf(Report{}); got < 500*time.Millisecond || got > hostTimeout-reportInterval {
		t.Errorf("a report to the coordinator of 295 hosts may take %v, want half a second, and a host that waits so long must not count as silent", got)
	}
	if got := testClient("self", hosts[:8]...).timeoutOf(Report{Full: true}); got > 400*time.Millisecond {
		t.Errorf("a full report to the coordinator of 8 hosts may take %v, want no more than 0.4 s", got)
	}
}
