package platformhost

import (
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/storecache"
)

// TestHostsThatRelyOnTheCoordinatorBackOff covers a store that turns a hundred hosts away while
// the coordinator tells them of newer versions: none of them may call it several times a second.
func TestHostsThatRelyOnTheCoordinatorBackOff(t *testing.T) {
	for name, p := range map[string]storecache.PollPolicy{
		"config, starting": configPolicyStarting, "config, confirmed": configPolicyConfirmed, "config, behind": configPolicyBehind,
		"config, isolated": configPolicyIsolated, "targets, starting": targetPolicyStarting, "targets, confirmed": targetPolicyConfirmed,
		"targets, behind": targetPolicyBehind, "targets, isolated": targetPolicyIsolated, "hosts": hostPolicyRelaxed,
	} {
		if p.MaxRetryDelay != isolatedRetryDelay {
			t.Errorf("%s: the longest delay after refusals is %v, want %v", name, p.MaxRetryDelay, isolatedRetryDelay)
		}
	}
	for name, p := range map[string]storecache.PollPolicy{"config": configPolicyStrict, "hosts": hostPolicyStrict, "hosts, relaxed": hostPolicyRelaxed} {
		if p.MaxWait > historyWait {
			t.Errorf("%s: a watch of %v outlives the store's history", name, p.MaxWait)
		}
	}
}

// TestIsolatedHostsAwaitTheCoordinator covers hundreds of hosts when the store is back: the coordinator's
// word on their copies comes with its next reply to a report.
func TestIsolatedHostsAwaitTheCoordinator(t *testing.T) {
	for name, p := range map[string]storecache.PollPolicy{"config": configPolicyIsolated, "targets": targetPolicyIsolated} {
		if p.NewsWait < reportIntervalOfModel {
			t.Errorf("%s: waits %v for the coordinator's word, less than the %v between two reports", name, p.NewsWait, reportIntervalOfModel)
		}
	}
}

// TestRetryDelayIsWithinContactTime covers a host that was cut off: a call that hangs until its
// timeout and the delay after it must leave most of the contact time.
func TestRetryDelayIsWithinContactTime(t *testing.T) {
	for _, contact := range []time.Duration{3 * time.Second, 5 * time.Second} {
		h := &Host{settings: fleet.HostSettings{Bounds: fleet.Bounds{Contact: contact}}}
		policy := h.bounded(func() storecache.PollPolicy { return configPolicyBehind })()
		if policy.MaxRetryDelay > contact/3 || policy.MaxRetryDelay < contact/10 {
			t.Errorf("contact time %v: longest delay %v", contact, policy.MaxRetryDelay)
		}
	}
}

// TestHostReturningAfterALongCutReadsTheTargetsAtOnce guards against relying on the coordinator's notices of removed
// targets after a cut that was longer than it keeps them.
func TestHostReturningAfterALongCutReadsTheTargetsAtOnce(t *testing.T) {
	s := copyState{coordinator: coordinatorReplied, uptime: time.Hour, confirmedAgo: reportIntervalOfModel, currentAgo: coordinator.RemovedTargetTTL}
	if p := targetPolicyOf(s); p.AllowStale || p.MinInterval > 500*time.Millisecond {
		t.Errorf("after a cut of %v: policy %+v, want current data at once", s.currentAgo, p)
	}
	s.currentAgo = coordinator.RemovedTargetTTL / 4
	if p := targetPolicyOf(s); !p.AllowStale {
		t.Errorf("after a cut of %v: policy %+v, want cheap calls, as the coordinator still names what was removed", s.currentAgo, p)
	}
	s.currentAgo, s.same = coordinator.RemovedTargetTTL, true
	if p := targetPolicyOf(s); !p.Confirmed {
		t.Errorf("with the coordinator's list: policy %+v, want none of its own", p)
	}
}

// TestStartOfFleet covers the pattern of hundreds of hosts that start at once: until the
// coordinator's first reply no host asks the store for more than its first lists.
func TestStartOfFleet(t *testing.T) {
	for _, c := range []struct {
		coordinator     coordinatorState
		uptime          time.Duration
		hosts           int
		polls           bool // config and targets are polled for lack of news from the coordinator
		strictHostsList bool
	}{
		{coordinatorUnknown, 100 * time.Millisecond, 1, false, false},
		{coordinatorUnknown, 1500 * time.Millisecond, 1, false, true}, // alone, as far as it knows
		{coordinatorUnknown, 1500 * time.Millisecond, 295, false, false},
		{coordinatorSilent, 1500 * time.Millisecond, 295, false, false},
		{coordinatorSilent, 3500 * time.Millisecond, 295, true, false},
		{coordinatorSelf, 1500 * time.Millisecond, 1, true, true},
	} {
		s := copyState{coordinator: c.coordinator, uptime: c.uptime, confirmedAgo: time.Hour, behind: true}
		if polls := targetPolicyOf(s) != targetPolicyStarting; polls != c.polls {
			t.Errorf("%+v: polls of the targets %v, want %v", c, polls, c.polls)
		}
		if polls := configPolicyOf(s) != configPolicyStarting; polls != c.polls {
			t.Errorf("%+v: polls of the configuration %v, want %v", c, polls, c.polls)
		}
		if strict := !hostPolicyOf(c.coordinator, c.hosts, c.uptime).AllowStale; strict != c.strictHostsList {
			t.Errorf("%+v: strict list of hosts %v, want %v", c, strict, c.strictHostsList)
		}
	}
}

// TestChangeOfConfiguration covers a change that hundreds of hosts hear of at once: for a second
// each looks for the reported revision where it costs the platform least.
func TestChangeOfConfiguration(t *testing.T) {
	s := copyState{coordinator: coordinatorReplied, uptime: time.Minute, behind: true, staleWait: time.Second}
	if !configPolicyOf(s).AllowStale {
		t.Error("a host that has just heard of a newer configuration asks for current data")
	}
	s.newerFor = 1100 * time.Millisecond
	if p := configPolicyOf(s); p.AllowStale || p.MaxWait > 100*time.Millisecond {
		t.Errorf("a host that knows of a newer configuration for a second polls with %+v, want a short call for current data", p)
	}
}

// TestEarlierConfigurationStaysConfirmed covers a host that takes a newer configuration: until then it
// serves by the one that was in force when the coordinator reported last.
func TestEarlierConfigurationStaysConfirmed(t *testing.T) {
	f := coordinator.StoreFreshness{Config: 8, ConfigAt: 20 * time.Second, Earlier: 7, EarlierAt: 19 * time.Second}
	for revision, want := range map[uint64]time.Duration{8: 20 * time.Second, 7: 19 * time.Second, 6: 0} {
		if got := f.ConfirmedAt(&fleet.Config{Revision: revision}); got != want {
			t.Errorf("revision %d confirmed at %v, want %v", revision, got, want)
		}
	}
}
