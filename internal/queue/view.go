package queue

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/coord/fair"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/target"
)

// reportTimeout is the age of a load report after which an engine counts as
// absent, as long as other engines of the pool report.
const reportTimeout = 10 * time.Second

// view is the state of a pool that its queue depends on: hosts, targets and
// their load.
type view struct {
	tree          *fair.Tree
	hosts         int
	targets       []*config.Target         // those that take new requests, sorted by name
	targetSlots   fair.Targets             // slots of the targets, 0 for those that stopped reporting
	totalSlots    int                      // of all targets that count as present
	occupied      int                      // requests on the targets by the latest reports, -1 if unknown
	modelCapacity map[string]fair.Capacity // by model, for models that are ready on few targets
}

// capacity returns the capacity of the pool, by which the host limits itself without a grant.
func (v *view) capacity() fair.Capacity {
	c := fair.Capacity{Slots: v.totalSlots, Free: -1, Hosts: v.hosts}
	if v.occupied >= 0 {
		c.Free = max(v.totalSlots-v.occupied, 0)
	}
	return c
}

// topology caches what is derived from one configuration and one list of members.
type topology struct {
	snapshot *config.Snapshot
	members  []peer.Member
	targets  map[string][]*config.Target // by pool, sorted by name, without leaving ones
	versions map[string]uint64           // version of the target list, by pool
	hosts    []string                    // alive
	trees    map[string]*fair.Tree       // by pool
}

func (t *topology) isCurrent(s *config.Snapshot, members []peer.Member) bool {
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
		versions: map[string]uint64{},
		trees:    map[string]*fair.Tree{},
	}
	for _, each := range s.Targets {
		if !each.Leaving {
			t.targets[each.Pool] = append(t.targets[each.Pool], each)
		}
	}
	for pool, list := range t.targets {
		slices.SortFunc(list, func(a, b *config.Target) int { return strings.Compare(a.Name, b.Name) })
		t.versions[pool] = listVersion(list)
	}
	for _, m := range members {
		if m.State == peer.StateAlive || m.ID.Name == self {
			t.hosts = append(t.hosts, m.ID.Name)
		}
	}
	return t
}

// listVersion returns a hash that identifies a list of targets. Hosts refer to
// targets by their positions in the list.
func listVersion(list []*config.Target) uint64 {
	d := xxhash.New()
	for _, t := range list {
		_, _ = d.WriteString(t.Name + "\x00") // never fails
	}
	return d.Sum64()
}

func (t *topology) tree(pool string) *fair.Tree {
	tree := t.trees[pool]
	if tree == nil {
		tree = fair.NewTree(pool, t.hosts)
		t.trees[pool] = tree
	}
	return tree
}

// view returns the current view of a pool.
func (q *Queue) view(pool string) view {
	s, members := q.opts.Config.Snapshot(), q.opts.Members.Members()
	q.mu.Lock()
	if !q.topology.isCurrent(s, members) {
		q.topology = newTopology(q.self.Name, s, members)
	}
	v := view{tree: q.topology.tree(pool), hosts: len(q.topology.hosts), targets: q.topology.targets[pool]}
	v.targetSlots.Version = q.topology.versions[pool]
	q.mu.Unlock()
	q.addLoad(&v)
	return v
}

// addLoad sets the slots and the load of the targets. A host has reports of only
// some engines of a large pool; their load is extrapolated to all targets.
func (q *Queue) addLoad(v *view) {
	v.targetSlots.Slots = make([]int, len(v.targets))
	v.targetSlots.Ready = map[string][]int{}
	loads := make([]int, len(v.targets))
	var stale []int
	reportedSlots, totalLoad := 0, 0
	for i, t := range v.targets {
		v.targetSlots.Slots[i] = t.RequestSlots
		v.totalSlots += t.RequestSlots
		r, age, ok := q.latest(t.Name)
		switch {
		case !ok:
		case age > reportTimeout:
			stale = append(stale, i)
		default:
			reportedSlots += t.RequestSlots
			loads[i] = r.Running + r.Waiting
			totalLoad += loads[i]
			v.addReady(i, r)
		}
	}
	v.occupied = -1
	if reportedSlots == 0 {
		return
	}
	for _, i := range stale {
		v.totalSlots -= v.targetSlots.Slots[i]
		v.targetSlots.Slots[i] = 0
	}
	v.occupied = totalLoad * v.totalSlots / reportedSlots
	v.setModelCapacity(loads)
}

func (q *Queue) latest(name string) (r target.Report, age time.Duration, ok bool) {
	if q.opts.Reports == nil {
		return target.Report{}, 0, false
	}
	return q.opts.Reports.Latest(name)
}

// listsTargets reports whether the reports and grants of the pool list its
// targets: the pool has few hosts and few targets.
func (v *view) listsTargets() bool {
	return v.tree.Flat() && len(v.targets) <= maxQuotaTargets
}

// addReady records the models that are ready on the i-th target.
func (v *view) addReady(i int, r target.Report) {
	if !v.listsTargets() {
		return
	}
	for _, replica := range r.Replicas {
		if replica.State == target.ReplicaReady {
			v.targetSlots.Ready[replica.Model] = append(v.targetSlots.Ready[replica.Model], i)
		}
	}
}

// setModelCapacity sets the capacity for each model that is ready on few
// targets, by which the host limits itself without a grant.
func (v *view) setModelCapacity(loads []int) {
	v.modelCapacity = map[string]fair.Capacity{}
	for model, list := range v.targetSlots.Ready {
		if !v.targetSlots.Restricted(model) {
			continue
		}
		c := fair.Capacity{Hosts: v.hosts}
		for _, i := range list {
			c.Slots += v.targetSlots.Slots[i]
			c.Free += max(v.targetSlots.Slots[i]-loads[i], 0)
		}
		v.modelCapacity[model] = c
	}
}
