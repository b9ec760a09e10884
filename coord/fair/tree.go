package fair

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Reporting intervals by the depth of the tree. They bound the load of a node
// with 16 children to 64 reports per second in a pool of up to 17 hosts and to
// 16 per second in the largest pools.
const (
	shortInterval  = 250 * time.Millisecond
	mediumInterval = 500 * time.Millisecond
	longInterval   = time.Second
)

// Fanout is the number of children of a node in a pool's tree. Three levels
// below the root hold 4,368 hosts.
const Fanout = 16

// Tree is the reporting tree of the hosts of a pool. Each host computes it from
// its own view of the members. If views differ, some reports go to a host where
// they are less useful, with no other harm.
type Tree struct {
	order []string // root first
	rank  map[string]int
}

// NewTree orders hosts by rendezvous hashing, so that pools have different
// roots and inner nodes.
func NewTree(pool string, hosts []string) *Tree {
	type scored struct {
		name  string
		score uint64
	}
	list := make([]scored, len(hosts))
	for i, h := range hosts {
		list[i] = scored{name: h, score: xxhash.Sum64String(pool + "\x00" + h)}
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].score != list[j].score {
			return list[i].score > list[j].score
		}
		return list[i].name < list[j].name
	})
	t := &Tree{order: make([]string, len(list)), rank: make(map[string]int, len(list))}
	for i, s := range list {
		t.order[i] = s.name
		t.rank[s.name] = i
	}
	return t
}

// Parent returns the host that the given one reports to. It returns false for
// the root and for a host that is not in the tree.
func (t *Tree) Parent(host string) (string, bool) {
	r, ok := t.rank[host]
	if !ok || r == 0 {
		return "", false
	}
	return t.order[(r-1)/Fanout], true
}

// Root returns the pool's coordinator, empty if there are no hosts.
func (t *Tree) Root() string {
	if len(t.order) == 0 {
		return ""
	}
	return t.order[0]
}

// Interval returns the time between two reports of a host.
func (t *Tree) Interval() time.Duration {
	switch hosts := len(t.order); {
	case hosts <= 1+Fanout:
		return shortInterval
	case hosts <= 1+Fanout+Fanout*Fanout:
		return mediumInterval
	}
	return longInterval
}

// Flat reports whether every host reports to the root itself.
func (t *Tree) Flat() bool { return len(t.order) <= 1+Fanout }

// Depth returns the number of steps from the given host to the root.
func (t *Tree) Depth(host string) int {
	d := 0
	for r := t.rank[host]; r > 0; r = (r - 1) / Fanout {
		d++
	}
	return d
}
