package coordinator

import (
	"cmp"
	"slices"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// compareCoordinators orders hosts by which is the coordinator rather: one that does not
// leave, the one with the largest CPU share, the one with the oldest entry, so that a
// restart of all hosts selects the same one again. A host that has just started and is not
// yet on its own list of hosts has no entry and comes last. Of leaving hosts, the one that
// leaves last comes first.
func compareCoordinators(a, b fleet.Host) int {
	if a.Leaving != b.Leaving {
		if a.Leaving {
			return 1
		}
		return -1
	}
	if a.Leaving {
		return cmp.Or(cmp.Compare(b.ModRevision, a.ModRevision), cmp.Compare(a.Name, b.Name))
	}
	return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(entryAge(a), entryAge(b)), cmp.Compare(a.Name, b.Name))
}

// entryAge returns the revision at which the entry of a host was created, or the highest
// number if it has none. The subtraction makes 0 the highest.
func entryAge(h fleet.Host) uint64 { return h.CreateRevision - 1 }

// lastLeaving returns the half of the hosts that leaves last, the last one first, if all
// hosts leave. The others stop before callers would reach them.
func (c *Coordinator) lastLeaving(asked string, now time.Duration) []string {
	names := make([]string, 0, len(c.hosts))
	for name, h := range c.hosts {
		if !c.runs(name, h, asked, now) {
			continue
		}
		if !h.leaving {
			return nil
		}
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(c.hosts[b].leavingSince, c.hosts[a].leavingSince), cmp.Compare(a, b))
	})
	return names[:(len(names)+1)/2]
}
