package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// TestSuspendedCoordinatorListsNoSilentHosts guards against a coordinator that was suspended naming, to the first hosts that
// report afterwards, those that have gone meanwhile, also if reports from before its suspension are read then. The control are
// hosts that report in time.
func TestSuspendedCoordinatorListsNoSilentHosts(t *testing.T) {
	c, now := testCoordinator()
	for _, name := range []string{"a", "b", "c"} {
		c.Report(name, Report{Incarnation: name, Full: true})
	}
	*now += hostTimeout / 2
	if got := c.Report("a", Report{Incarnation: "a", Full: true}).LiveHosts; !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("hosts %v are listed, want all", got)
	}
	*now += 20 * time.Second
	if got := c.Report("a", Report{Incarnation: "a", Full: true}).LiveHosts; !slices.Equal(got, []string{"a"}) {
		t.Errorf("after 20 s hosts %v are listed, want a alone", got)
	}
	c.Report("b", Report{Incarnation: "b", Full: true}) // had been waiting to be read
	*now += settleTime + time.Millisecond
	c.Report("c", Report{Incarnation: "c", Full: true})
	if got := c.Report("a", Report{Incarnation: "a"}).LiveHosts; !slices.Equal(got, []string{"a", "c"}) {
		t.Errorf("after 20 s and reports of all, hosts %v are listed, want a and c", got)
	}
	for _, name := range []string{"a", "b", "c"} {
		c.Report(name, Report{Incarnation: name, Full: true, Leaving: true})
	}
	*now += 20 * time.Second
	if got := c.Report("a", Report{Incarnation: "a", Full: true, Leaving: true}).LastLeaving; !slices.Equal(got, []string{"a"}) {
		t.Errorf("after 20 s hosts %v are listed as leaving last, want a alone", got)
	}
}

// replies answers each report with the next update, after a delay.
type replies struct {
	updates []Update
	delay   func()
}

func (r *replies) Call(_ context.Context, _, _ string, _, result any) error {
	data, err := json.Marshal(r.updates[0])
	if err != nil {
		return err
	}
	r.updates = r.updates[1:]
	if r.delay != nil {
		r.delay()
	}
	return json.Unmarshal(data, result)
}

// scriptedClient returns the client of host a, which gets the given replies to its reports at the time now.
func scriptedClient(now *time.Duration, r *replies, hosts ...fleet.Host) *Client {
	c := testClient("a", append(hosts, fleet.Host{Name: "a"})...)
	c.opts.Now = func() time.Duration { return *now }
	c.opts.LocalUse = func() map[string]float64 { return nil }
	c.opts.Coordinator, _ = testCoordinator()
	c.opts.Owner = &Owner{lease: NewLease(LeaseOptions{Holder: "a", Eras: &platform.Eras{}, Now: c.opts.Now, Log: quietLog()})}
	c.opts.Calls = r
	return c
}

// TestAgeOfTheListOfHosts guards against an old list that passes for a new one since its host got replies without one: from a
// coordinator that has restarted, from deputies, and read long after its report. The control is a reply of the coordinator, which confirms the list.
func TestAgeOfTheListOfHosts(t *testing.T) {
	now := time.Hour
	answers := &replies{updates: []Update{{LiveHosts: []string{"a", "b"}}, {}, {UnknownHost: true}, {Coordinator: "other"}, {UnknownHost: true}, {}}}
	c := scriptedClient(&now, answers, fleet.Host{Name: "b", Weight: 2, CreateRevision: 1})
	for i, want := range []time.Duration{0, 0, time.Second, 2 * time.Second, 3 * time.Second} {
		c.report(t.Context())
		hosts, age, ok := c.LastKnownHosts()
		if !ok || !slices.Equal(hosts, []string{"a", "b"}) || age != want {
			t.Errorf("after reply %d: hosts %v of %v before, want a and b of %v before", i, hosts, age, want)
		}
		if _, known := c.LiveHosts(); known != (want < hostTimeout) {
			t.Errorf("after reply %d: the list counts as recent: %v", i, known)
		}
		now += time.Second
	}
	answers.delay = func() { now += 30 * time.Second }
	c.report(t.Context())
	if _, age, _ := c.LastKnownHosts(); age != 30*time.Second {
		t.Errorf("after a reply that was read 30 s after its report, the list counts as %v old", age)
	}
}

// TestReportReadsTheClockSeldom guards against a system call for each listed host in each reply: in a fleet of n hosts, n² times each
// report interval at the coordinator.
func TestReportReadsTheClockSeldom(t *testing.T) {
	c, _ := testCoordinator()
	for i := range 295 {
		c.Report(fmt.Sprint("h", i), Report{Incarnation: "1", Full: true})
	}
	reads, clock := 0, c.now
	c.now = func() time.Duration { reads++; return clock() }
	if got := c.Report("h0", Report{Incarnation: "1"}).LiveHosts; len(got) != 295 || reads > 10 {
		t.Errorf("%d hosts listed, clock read %d times; want 295 and at most 10", len(got), reads)
	}
}

// TestNewCoordinatorListsHostsOneByOne guards against the first hosts that report to a new coordinator, or to one that has restarted, being
// named alone, and against hosts of the list before that are unreachable, leave or are gone being named.
func TestNewCoordinatorListsHostsOneByOne(t *testing.T) {
	for name, first := range map[string]Update{"another one": {LiveHosts: []string{"a"}}, "restarted": {UnknownHost: true}} {
		now := time.Hour
		answers := &replies{updates: []Update{{LiveHosts: []string{"a", "b", "c", "d", "e"}}, first, {LiveHosts: []string{"a", "b"}}, {}, {}}}
		c := scriptedClient(&now, answers, fleet.Host{Name: "b", Weight: 2}, fleet.Host{Name: "c", Weight: 3}, fleet.Host{Name: "d"}, fleet.Host{Name: "e", Leaving: true})
		c.report(t.Context())
		want := []string{"a", "b", "c", "d"}
		if !first.UnknownHost {
			c.unreachableSince["c"] = now
			want = []string{"a", "b", "d"}
		}
		now += hostTimeout
		c.report(t.Context())
		c.report(t.Context())
		for _, w := range [][]string{want, {"a", "b"}} {
			live, known := c.LiveHosts()
			if slices.Sort(live); !slices.Equal(live, w) || !known {
				t.Errorf("%s: %v after the change, known: %v, want %v", name, live, known, w)
			}
			now += previousListTTL
			c.report(t.Context())
		}
	}
}
