package queue

import (
	"time"

	"buckthornseam.dev/coord/fair"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
)

// silentAfter is the age of a report after which an engine counts as not
// there, as long as other engines of the pool report.
const silentAfter = 10 * time.Second

// view is what is known of a pool outside its queue.
type view struct {
	tree     *fair.Tree
	hosts    int
	slots    int            // of all targets that take new work
	occupied int            // running and waiting at the targets by the latest reports, -1 if unknown
	models   map[string]int // limit of running requests by model
}

// capacity returns what the host may use without a grant.
func (v *view) capacity() fair.Capacity {
	c := fair.Capacity{Slots: v.slots, Spare: -1, Hosts: v.hosts}
	if v.occupied >= 0 {
		c.Spare = max(v.slots-v.occupied, 0)
	}
	return c
}

// topology caches what follows from one configuration and set of members.
type topology struct {
	snapshot *config.Snapshot
	members  []peer.Member
	targets  map[string][]*config.Target // by pool, leaving ones left out
	hosts    []string                    // alive
	trees    map[string]*fair.Tree       // by pool
}

func (t *topology) current(s *config.Snapshot, members []peer.Member) bool {
	if t == nil || t.snapshot != s || len(t.members) != len(members) {
		return false
	}
	for i := range members {
		if t.members[i].ID != members[i].ID || t.members[i].State != members[i].State {
			return false
		}
	}
	return true
}

func newTopology(self string, s *config.Snapshot, members []peer.Member) *topology {
	t := &topology{
		snapshot: s,
		members:  members,
		targets:  map[string][]*config.Target{},
		trees:    map[string]*fair.Tree{},
	}
	for _, target := range s.Targets {
		if !target.Leaving {
			t.targets[target.Pool] = append(t.targets[target.Pool], target)
		}
	}
	for _, m := range members {
		if m.State == peer.StateAlive || m.ID.Name == self {
			t.hosts = append(t.hosts, m.ID.Name)
		}
	}
	return t
}

func (t *topology) tree(pool string) *fair.Tree {
	tree := t.trees[pool]
	if tree == nil {
		tree = fair.NewTree(pool, t.hosts)
		t.trees[pool] = tree
	}
	return tree
}

// view works out the present view of a pool.
func (q *Queue) view(pool string) view {
	s, members := q.opts.Config.Snapshot(), q.opts.Members.Members()
	q.mu.Lock()
	if !q.topology.current(s, members) {
		q.topology = newTopology(q.self.Name, s, members)
	}
	targets := q.topology.targets[pool]
	v := view{tree: q.topology.tree(pool), hosts: len(q.topology.hosts)}
	q.mu.Unlock()
	v.slots, v.occupied = q.occupancy(targets)
	return v
}

// occupancy adds up slots and load of targets. Load is projected from the
// targets that report to all of them: a host follows only some engines of a
// large pool.
func (q *Queue) occupancy(targets []*config.Target) (slots, occupied int) {
	silent, seen, load := 0, 0, 0
	for _, t := range targets {
		slots += t.Slots
		if q.opts.Reports == nil {
			continue
		}
		r, age, ok := q.opts.Reports.Latest(t.Name)
		switch {
		case !ok:
		case age > silentAfter:
			silent += t.Slots
		default:
			seen += t.Slots
			load += r.Running + r.Waiting
		}
	}
	if seen == 0 {
		return slots, -1
	}
	slots -= silent
	return slots, load * slots / seen
}
