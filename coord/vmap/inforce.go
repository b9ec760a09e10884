package vmap

import (
	"sort"
	"time"
)

// Ack is what is known of one replica.
type Ack struct {
	Floor   uint64 `json:"f"` // it is complete up to this version
	Members int    `json:"m"` // what it takes its quorum of
}

// PropagationStatus says whether a change is in force.
type PropagationStatus struct {
	InForce     bool
	Waiting     []string // replicas that may still act on an older state, sorted
	WaitBounded bool     // the wait for Waiting ends by itself at Ready
	ReadyAt     time.Duration
}

// PropagationTracker follows one change until no replica acts on an older state.
//
// A replica that has not acknowledged may still act on an older state only
// while its evidence holds. Confirmations by the source end when the change is
// stored. Evidence from a replica that acknowledged ends with its
// acknowledgement, since whoever hears from it afterwards learns the change.
// So, once the replicas that have not acknowledged are too few for a quorum
// among themselves, the last of them stops when the limit has passed.
type PropagationTracker struct {
	version uint64
	limit   time.Duration // evidence holds that long, clock drift and late bookmarks included
	waiting map[string]bool
	since   time.Duration // when waiting last became smaller
	started bool
}

// NewPropagationTracker follows the change with that version. Limit is the longest time
// that a replica acts on evidence, with a margin for drift between clocks and
// for the delay of the source's bookmarks.
func NewPropagationTracker(version uint64, limit time.Duration) *PropagationTracker {
	return &PropagationTracker{version: version, limit: limit}
}

// Update takes the listed replicas and what is known of each, and returns the
// verdict at time now.
func (f *PropagationTracker) Update(now time.Duration, listed []string, acks map[string]Ack) PropagationStatus {
	waiting := make(map[string]bool)
	members := len(listed)
	for _, name := range listed {
		a, known := acks[name]
		if known && a.Floor >= f.version {
			continue
		}
		waiting[name] = true
		if known && a.Members > 0 {
			members = min(members, a.Members)
		}
	}
	if !f.started || !sameSet(waiting, f.waiting) {
		f.started = true
		f.since = now
	}
	f.waiting = waiting
	v := PropagationStatus{Waiting: names(waiting), ReadyAt: f.since + f.limit}
	v.WaitBounded = len(waiting) < Quorum(members)
	v.InForce = len(waiting) == 0 || v.WaitBounded && now >= v.ReadyAt
	return v
}

func sameSet(a, b map[string]bool) bool {
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

func names(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for name := range set {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}
