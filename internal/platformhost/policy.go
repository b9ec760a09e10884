package platformhost

import (
	"time"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/storecache"
)

// Poll policies of the mirrors: starting for a host that does not know the coordinator
// yet, strict for the coordinator, isolated for a host
// without recent confirmation by the coordinator, confirmed for a host whose copy
// the coordinator confirms, newer and behind for one that it reports to be out of date: at first
// such a host takes the reported revision from where it costs least.
// Strict polls of the configuration may fail a few times before it is too old to
// be used. Calls of hosts other than the coordinator cost the platform the more the
// larger the fleet is: a confirmed host makes next to none, and a host that the store
// refuses waits longer after each failure, since the coordinator finds out first.
var (
	configPolicyStarting  = storecache.PollPolicy{MaxWait: historyWait, AllowStale: true, MaxRetryDelay: isolatedRetryDelay}
	configPolicyStrict    = storecache.PollPolicy{MaxWait: 700 * time.Millisecond, MaxRetryDelay: strictRetryDelay}                        // a fifth of the greatest age of a usable configuration
	configPolicyIsolated  = storecache.PollPolicy{MaxWait: 1300 * time.Millisecond, MaxRetryDelay: isolatedRetryDelay, NewsWait: newsWait} // a third of that age: many hosts may be isolated at once
	configPolicyConfirmed = storecache.PollPolicy{MaxWait: historyWait, MinInterval: time.Hour, MaxRetryDelay: isolatedRetryDelay, Confirmed: true}
	configPolicyNewer     = storecache.PollPolicy{MaxWait: 300 * time.Millisecond, AllowStale: true, MaxRetryDelay: isolatedRetryDelay}
	configPolicyBehind    = storecache.PollPolicy{MaxWait: time.Millisecond, MinInterval: 300 * time.Millisecond, MaxRetryDelay: isolatedRetryDelay}
	targetPolicyStarting  = storecache.PollPolicy{MaxWait: time.Millisecond, MinInterval: 2500 * time.Millisecond, AllowStale: true, MaxRetryDelay: isolatedRetryDelay}
	targetPolicyStrict    = storecache.PollPolicy{MaxWait: 500 * time.Millisecond, MinInterval: 450 * time.Millisecond}                                                           // a quarter of the drain bound
	targetPolicyIsolated  = storecache.PollPolicy{MaxWait: time.Second, MinInterval: 900 * time.Millisecond, MaxRetryDelay: isolatedRetryDelay, NewsWait: newsWait}               // half of the drain bound
	targetPolicyConfirmed = storecache.PollPolicy{MaxWait: time.Millisecond, MinInterval: 10 * time.Second, AllowStale: true, MaxRetryDelay: isolatedRetryDelay, Confirmed: true} // for the models of engines without an owner
	targetPolicyReturning = storecache.PollPolicy{MaxWait: time.Millisecond, MinInterval: 300 * time.Millisecond, MaxRetryDelay: isolatedRetryDelay}
	targetPolicyBehind    = storecache.PollPolicy{MaxWait: time.Millisecond, MinInterval: 2500 * time.Millisecond, AllowStale: true, MaxRetryDelay: isolatedRetryDelay}
	hostPolicyStarting    = storecache.PollPolicy{MaxWait: 500 * time.Millisecond, MinInterval: 300 * time.Millisecond, AllowStale: true, MaxRetryDelay: isolatedRetryDelay}
	hostPolicyStrict      = storecache.PollPolicy{MaxWait: historyWait, MinInterval: 1500 * time.Millisecond}
	hostPolicyRelaxed     = storecache.PollPolicy{MaxWait: historyWait, MinInterval: 3 * time.Second, AllowStale: true, MaxRetryDelay: isolatedRetryDelay, Confirmed: true} // the coordinator learns of new hosts from their reports
)

// historyWait is the longest wait of a poll: half of the time for which the store keeps its
// history. A poll that waits for all of it ends as expired and the list is read again.
const historyWait = 10 * time.Second

// newsWait is how long a host that the store answers again waits for the coordinator's report on
// its copies: one report interval and some more.
const newsWait = 500 * time.Millisecond

// strictRetryDelay is the longest delay of the coordinator, whose return to the store all hosts
// wait for.
const strictRetryDelay = 200 * time.Millisecond

// isolatedRetryDelay is the longest delay of a host that the store refuses and that is not the
// coordinator. contactShare bounds it too: a host that was cut off has to have the current
// configuration within the contact time.
const (
	isolatedRetryDelay = 3 * time.Second
	contactShare       = 4
)

// Times of a host that starts.
const (
	firstReplyWait = 3 * time.Second // for the coordinator's first reply, before the host polls for itself
	staleHostsWait = time.Second     // for a list of hosts that may be out of date, if it has none but this one
)

// staleConfigShare is the part of the time in which a configuration has to apply during which a
// reported revision is looked for in data that may be out of date.
const staleConfigShare = 4

// copyState is what the poll policy of a copy of the store follows from.
type copyState struct {
	coordinator  coordinatorState
	uptime       time.Duration // of this host
	confirmedAgo time.Duration // since the coordinator's copy was current, as it reported
	same, behind bool          // this host's copy is the coordinator's, or an older one
	newerFor     time.Duration // since the coordinator first told of its copy
	currentAgo   time.Duration // since this host's copy was last known to be current
	staleWait    time.Duration // how long a newer copy is looked for in data that may be out of date
}

// coordinatorState is what this host knows of the coordinator.
type coordinatorState int

const (
	coordinatorUnknown coordinatorState = iota
	coordinatorSilent                   // chosen, but it has not replied since this host's start
	coordinatorReplied
	coordinatorSelf
)

func (h *Host) coordinatorState() coordinatorState {
	switch {
	case h.client.Coordinator() == "":
		return coordinatorUnknown
	case !h.client.CoordinatorIsRemote():
		return coordinatorSelf
	case h.client.StoreFreshness().ConfigAt == 0:
		return coordinatorSilent
	}
	return coordinatorReplied
}

// starting reports whether the host still waits for the coordinator's first reply. Hundreds of
// hosts that start at once would otherwise all ask the store what the reply says.
func (s copyState) starting() bool {
	return s.coordinator == coordinatorUnknown || s.coordinator == coordinatorSilent && s.uptime < firstReplyWait
}

// configPolicy follows from what the coordinator reports on this host's revision of the
// configuration.
func (h *Host) configPolicy() storecache.PollPolicy {
	freshness, config := h.client.StoreFreshness(), h.view.Config()
	same := freshness.IsOf(config)
	return configPolicyOf(copyState{
		coordinator: h.coordinatorState(), uptime: bootclock.Now() - h.startedAt, confirmedAgo: bootclock.Now() - freshness.ConfigAt,
		same: same, behind: !same && freshness.Config > config.Revision, newerFor: bootclock.Now() - freshness.ConfigSince,
		staleWait: h.settings.Bounds.ConfigApply / staleConfigShare,
	})
}

func configPolicyOf(s copyState) storecache.PollPolicy {
	switch {
	case s.starting():
		return configPolicyStarting
	case s.coordinator == coordinatorSelf:
		return configPolicyStrict
	case s.confirmedAgo >= maxFreshnessAge+configPolicyStrict.MaxWait:
		return configPolicyIsolated
	case s.behind && s.newerFor < s.staleWait:
		return configPolicyNewer
	case s.behind:
		return configPolicyBehind
	case !s.same:
		return configPolicyIsolated // the coordinator is behind and confirms nothing
	}
	return configPolicyConfirmed
}

// targetPolicy follows from what the coordinator reports on the list of targets. It
// also tells this host which targets are draining.
func (h *Host) targetPolicy() storecache.PollPolicy {
	freshness, now := h.client.StoreFreshness(), bootclock.Now()
	return targetPolicyOf(copyState{
		coordinator: h.coordinatorState(), uptime: now - h.startedAt, confirmedAgo: now - freshness.TargetsAt, same: freshness.Targets == h.view.Targets().Digest,
		currentAgo: now - h.currentTargets().CurrentAt,
	})
}

func targetPolicyOf(s copyState) storecache.PollPolicy {
	switch {
	case s.starting():
		return targetPolicyStarting
	case s.coordinator == coordinatorSelf:
		return targetPolicyStrict
	case s.confirmedAgo >= maxFreshnessAge:
		return targetPolicyIsolated
	case !s.same && s.currentAgo > coordinator.RemovedTargetTTL/2:
		return targetPolicyReturning // the coordinator may no longer name all targets that were removed meanwhile
	case !s.same:
		return targetPolicyBehind
	}
	return targetPolicyConfirmed
}

// bounded limits the retry delays of policies by the contact time of the deployment.
func (h *Host) bounded(policy func() storecache.PollPolicy) func() storecache.PollPolicy {
	return func() storecache.PollPolicy {
		p := policy()
		if contact := h.settings.Bounds.Contact; contact > 0 {
			p.MaxRetryDelay = min(p.MaxRetryDelay, contact/contactShare)
		}
		return p
	}
}

// hostPolicy is the policy of the list of hosts.
func (h *Host) hostPolicy() storecache.PollPolicy {
	return hostPolicyOf(h.coordinatorState(), len(h.view.Hosts()), bootclock.Now()-h.startedAt)
}

// hostPolicyOf returns the policy of the list of hosts. It is relaxed once this host has found
// the coordinator. To find it, the host needs to know the others: a list that may be seconds out
// of date serves if it has any.
func hostPolicyOf(coordinator coordinatorState, knownHosts int, uptime time.Duration) storecache.PollPolicy {
	switch {
	case coordinator == coordinatorSilent || coordinator == coordinatorReplied:
		return hostPolicyRelaxed
	case coordinator == coordinatorUnknown && (knownHosts > 1 || uptime < staleHostsWait):
		return hostPolicyStarting
	}
	return hostPolicyStrict
}
