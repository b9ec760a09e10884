package vmap

import (
	"sort"
	"time"
)

// Ack is the last known state of a replica.
type Ack struct {
	Floor   uint64 `json:"f"` // version up to which the replica is complete
	Members int    `json:"m"` // number of members from which it computes its quorum
}

// PropagationStatus tells whether a change is in force, which means that no replica
// can still act on an older state.
type PropagationStatus struct {
	InForce     bool
	Waiting     []string // replicas that may still act on an older state, sorted
	WaitBounded bool     // the wait for Waiting ends at ReadyAt at the latest
	ReadyAt     time.Duration
}

// PropagationTracker tracks one change until no replica acts on an older state.
//
// A replica that has not acknowledged the change may act on an older state only
// while it has valid evidence, see Freshness. The source confirms no older state
// once the change is stored. A replica that has acknowledged the change provides no
// evidence for an older state from then on, since any replica in contact with it
// learns the change. So, once the remaining replicas are too few to form a quorum,
// the last of them stops after limit.
type PropagationTracker struct {
	version      uint64
	limit        time.Duration // validity of evidence, including margins for clock drift and late bookmarks
	waiting      map[string]bool
	waitingSince time.Duration // time of the last change of waiting
	started      bool
}

// NewPropagationTracker returns a tracker of the change with the given version. Limit
// is the longest time for which a replica acts on evidence, including margins for
// drift between clocks and for the delay of the source's bookmarks.
func NewPropagationTracker(version uint64, limit time.Duration) *PropagationTracker {
	return &PropagationTracker{version: version, limit: limit}
}

// Update returns the status at time now, given the listed replicas and the last
// known state of each.
func (t *PropagationTracker) Update(now time.Duration, listed []string, acks map[string]Ack) PropagationStatus {
	waiting := make(map[string]bool)
	members := len(listed)
	for _, name := range listed {
		a, known := acks[name]
		if known && a.Floor >= t.version {
			continue
		}
		waiting[name] = true
		if known && a.Members > 0 {
			members = min(members, a.Members)
		}
	}
	if !t.started || !equalSets(waiting, t.waiting) {
		t.started = true
		t.waitingSince = now
	}
	t.waiting = waiting
	status := PropagationStatus{Waiting: sortedNames(waiting), ReadyAt: t.waitingSince + t.limit}
	status.WaitBounded = len(waiting) < Quorum(members)
	status.InForce = len(waiting) == 0 || status.WaitBounded && now >= status.ReadyAt
	return status
}

func equalSets(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for name := range a {
		if !b[name] {
			return false
		}
	}
	return true
}

func sortedNames(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for name := range set {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
