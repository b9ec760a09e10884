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

// silentAfter is the age of a report after which an engine counts as not
// there, as long as other engines of the pool report.
const silentAfter = 10 * time.Second

// view is what is known of a pool outside its queue.
type view struct {
	tree     *fair.Tree
	hosts    int
	targets  []*config.Target         // that take new work, by name
	slots    fair.Targets             // their sizes, 0 for silent ones
	total    int                      // of slots
	occupied int                      // running and waiting at the targets by the latest reports, -1 if unknown
	models   map[string]fair.Capacity // of models that are ready on few targets
}

// capacity returns what the host may use without a grant.
func (v *view) capacity() fair.Capacity {
	c := fair.Capacity{Slots: v.total, Free: -1, Hosts: v.hosts}
	if v.occupied >= 0 {
		c.Free = max(v.total-v.occupied, 0)
	}
	return c
}

// topology caches what follows from one configuration and set of members.
type topology struct {
	snapshot *config.Snapshot
	members  []peer.Member
	targets  map[string][]*config.Target // by pool, leaving ones left out, sorted
	versions map[string]uint64           // of the list of each pool
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

// listVersion identifies a list of targets, which hosts refer to by number.
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

// view works out the present view of a pool.
func (q *Queue) view(pool string) view {
	s, members := q.opts.Config.Snapshot(), q.opts.Members.Members()
	q.mu.Lock()
	if !q.topology.current(s, members) {
		q.topology = newTopology(q.self.Name, s, members)
	}
	v := view{tree: q.topology.tree(pool), hosts: len(q.topology.hosts), targets: q.topology.targets[pool]}
	v.slots.Version = q.topology.versions[pool]
	q.mu.Unlock()
	q.occupancy(&v)
	return v
}

// occupancy fills in slots and load of the targets. Load is projected from the
// targets that report to all of them: a host follows only some engines of a
// large pool.
func (q *Queue) occupancy(v *view) {
	v.slots.Sizes = make([]int, len(v.targets))
	v.slots.Ready = map[string][]int{}
	loads := make([]int, len(v.targets))
	var silent []int
	seen, load := 0, 0
	for i, t := range v.targets {
		v.slots.Sizes[i] = t.Slots
		v.total += t.Slots
		r, age, ok := q.latest(t.Name)
		switch {
		case !ok:
		case age > silentAfter:
			silent = append(silent, i)
		default:
			seen += t.Slots
			loads[i] = r.Running + r.Waiting
			load += loads[i]
			v.addReady(i, r)
		}
	}
	v.occupied = -1
	if seen == 0 {
		return
	}
	for _, i := range silent {
		v.total -= v.slots.Sizes[i]
		v.slots.Sizes[i] = 0
	}
	v.occupied = load * v.total / seen
	v.modelCapacities(loads)
}

func (q *Queue) latest(name string) (r target.Report, age time.Duration, ok bool) {
	if q.opts.Reports == nil {
		return target.Report{}, 0, false
	}
	return q.opts.Reports.Latest(name)
}

// perTarget reports whether reports and grants of the pool list its targets.
func (v *view) perTarget() bool {
	return v.tree.Flat() && len(v.targets) <= maxSlotTargets
}

// addReady notes the models that are ready on the i-th target.
func (v *view) addReady(i int, r target.Report) {
	if !v.perTarget() {
		return
	}
	for _, replica := range r.Replicas {
		if replica.State == target.ReplicaReady {
			v.slots.Ready[replica.Model] = append(v.slots.Ready[replica.Model], i)
		}
	}
}

// modelCapacities works out what the host may use of each model that is ready
// on few targets while it has no grant.
func (v *view) modelCapacities(loads []int) {
	v.models = map[string]fair.Capacity{}
	for model, list := range v.slots.Ready {
		if !v.slots.Restricted(model) {
			continue
		}
		c := fair.Capacity{Hosts: v.hosts}
		for _, i := range list {
			c.Slots += v.slots.Sizes[i]
			c.Free += max(v.slots.Sizes[i]-loads[i], 0)
		}
		v.models[model] = c
	}
}
