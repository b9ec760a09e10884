package reports

import (
	"encoding/binary"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
)

// bucketSize is the mean number of engines that share an owner, so that one
// call to an owner brings several reports.
const bucketSize = 4

// bucket is a group of engines of one pool.
type bucket struct {
	pool    string
	owner   string
	engines []string // sorted
	rank    uint64   // place in this host's own order
}

// planner works out who polls what. It is recomputed only if the engines or
// the alive members changed.
type planner struct {
	self   string
	subset int

	mu       sync.Mutex
	snapshot *config.Snapshot
	members  uint64
	buckets  []bucket
	owners   map[string]string // engine to owner
	chosen   map[string]bool   // this host's subset
	owned    []string
}

func newPlanner(self string, subset int) *planner {
	return &planner{self: self, subset: subset}
}

// assignment says what this host polls and whom it asks for the rest.
type assignment struct {
	poll []string            // engines owned by this host
	ask  map[string][]string // engines wanted, by owner
}

// assign returns the plan for a configuration, members and extra interest.
func (p *planner) assign(s *config.Snapshot, members []peer.Member, pins []string, pools map[string]bool) assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(s, members)
	a := assignment{poll: p.owned, ask: map[string][]string{}}
	wanted := map[string]bool{}
	for name := range p.chosen {
		wanted[name] = true
	}
	for _, name := range pins {
		wanted[name] = true
	}
	for i := range p.buckets {
		if !pools[p.buckets[i].pool] {
			continue
		}
		for _, name := range p.buckets[i].engines {
			wanted[name] = true
		}
	}
	for name := range wanted {
		owner, known := p.owners[name]
		if known && owner != p.self {
			a.ask[owner] = append(a.ask[owner], name)
		}
	}
	for _, names := range a.ask {
		sort.Strings(names)
	}
	return a
}

// update recomputes the buckets if their inputs changed; the caller holds mu.
func (p *planner) update(s *config.Snapshot, members []peer.Member) {
	alive, sum := aliveHosts(members, p.self)
	if p.snapshot == s && p.members == sum {
		return
	}
	p.snapshot, p.members = s, sum
	p.buckets = makeBuckets(s)
	p.owners = map[string]string{}
	p.owned = nil
	for i := range p.buckets {
		b := &p.buckets[i]
		key := xxhash.Sum64String(b.pool + "\x00" + b.engines[0])
		b.owner = rendezvous(alive, key)
		b.rank = score(xxhash.Sum64String(p.self), key)
		for _, name := range b.engines {
			p.owners[name] = b.owner
		}
		if b.owner == p.self {
			p.owned = append(p.owned, b.engines...)
		}
	}
	p.choose()
}

// choose takes whole buckets in this host's own order until the subset is
// full, the pools taking turns so that each has engines in it. Hosts differ in
// their order, so every engine is followed by about equally many.
func (p *planner) choose() {
	p.chosen = map[string]bool{}
	byPool := map[string][]*bucket{}
	for i := range p.buckets {
		b := &p.buckets[i]
		byPool[b.pool] = append(byPool[b.pool], b)
	}
	pools := make([]string, 0, len(byPool))
	for pool, list := range byPool {
		pools = append(pools, pool)
		sort.Slice(list, func(i, j int) bool { return list[i].rank < list[j].rank })
	}
	sort.Strings(pools)
	for turn := 0; len(p.chosen) < p.subset; turn++ {
		before := len(p.chosen)
		for _, pool := range pools {
			if turn >= len(byPool[pool]) {
				continue
			}
			for _, name := range byPool[pool][turn].engines {
				p.chosen[name] = true
			}
		}
		if len(p.chosen) == before {
			return
		}
	}
}

func (p *planner) wanted(name string, pinned, pools map[string]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot == nil {
		return true
	}
	t := p.snapshot.Targets[name]
	if t == nil {
		return false
	}
	return pinned[name] || pools[t.Pool] || p.chosen[name] || p.owners[name] == p.self
}

// makeBuckets groups the engines of each pool by hash, so that one engine more
// or less leaves most groups as they are.
func makeBuckets(s *config.Snapshot) []bucket {
	pools := map[string][]string{}
	for name, t := range s.Targets {
		if t.Kind == config.TargetEngine {
			pools[t.Pool] = append(pools[t.Pool], name)
		}
	}
	var out []bucket
	for pool, names := range pools {
		groups := make(map[uint64][]string)
		n := uint64((len(names) + bucketSize - 1) / bucketSize)
		for _, name := range names {
			g := xxhash.Sum64String(name) % n
			groups[g] = append(groups[g], name)
		}
		for _, engines := range groups {
			sort.Strings(engines)
			out = append(out, bucket{pool: pool, engines: engines})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].engines[0] < out[j].engines[0] })
	return out
}

// host is a member with the hash of its name.
type host struct {
	name string
	hash uint64
}

func aliveHosts(members []peer.Member, self string) ([]host, uint64) {
	hosts := make([]host, 0, len(members))
	var sum uint64
	for _, m := range members {
		if m.State != peer.StateAlive && m.ID.Name != self {
			continue
		}
		h := host{name: m.ID.Name, hash: xxhash.Sum64String(m.ID.Name)}
		hosts = append(hosts, h)
		sum = score(sum, h.hash)
	}
	return hosts, sum
}

// rendezvous returns the host with the highest score for a key.
func rendezvous(hosts []host, key uint64) string {
	var best string
	var top uint64
	for i := range hosts {
		if s := score(hosts[i].hash, key); best == "" || s > top {
			best, top = hosts[i].name, s
		}
	}
	return best
}

// score hashes two hashes into one.
func score(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
