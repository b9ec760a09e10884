package enginereports

import (
	"encoding/binary"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
)

// meanBucketSize is the mean number of engines in a bucket. The engines of a
// bucket share an owner, so that one call to the owner returns several reports.
const meanBucketSize = 4

// bucket is a group of engines of one pool that share an owner.
type bucket struct {
	pool    string
	owner   string
	engines []string // sorted
	rank    uint64   // position in this host's order of the buckets
}

// planner determines which host polls which engines. The plan is recomputed only
// if the configuration or the alive members changed.
type planner struct {
	self       string
	subsetSize int

	mu          sync.Mutex
	snapshot    *config.Snapshot
	membersHash uint64
	buckets     []bucket
	owners      map[string]string // by engine
	ownSubset   map[string]bool   // engines that this host follows by default
	owned       []string
}

func newPlanner(self string, subsetSize int) *planner {
	return &planner{self: self, subsetSize: subsetSize}
}

// assignment states which engines this host polls and which owners it asks for
// the reports of others.
type assignment struct {
	poll []string            // engines owned by this host
	ask  map[string][]string // other engines that this host follows, by owner
}

// assign returns the assignment of this host for a configuration and members. In
// addition to its own subset the host follows the pinned engines and the pools.
func (p *planner) assign(s *config.Snapshot, members []peer.Member, pins []string, pools map[string]bool) assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.update(s, members)
	a := assignment{poll: p.owned, ask: map[string][]string{}}
	wanted := map[string]bool{}
	for name := range p.ownSubset {
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
	alive, membersHash := aliveHosts(members, p.self)
	if p.snapshot == s && p.membersHash == membersHash {
		return
	}
	p.snapshot, p.membersHash = s, membersHash
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
	p.chooseSubset()
}

// chooseSubset adds whole buckets to this host's subset until it is full. The
// pools take turns, so that each has engines in the subset. Each host has its
// own order of the buckets, so engines are followed by about equally many hosts.
func (p *planner) chooseSubset() {
	p.ownSubset = map[string]bool{}
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
	for turn := 0; len(p.ownSubset) < p.subsetSize; turn++ {
		before := len(p.ownSubset)
		for _, pool := range pools {
			if turn >= len(byPool[pool]) {
				continue
			}
			for _, name := range byPool[pool][turn].engines {
				p.ownSubset[name] = true
			}
		}
		if len(p.ownSubset) == before {
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
	return pinned[name] || pools[t.Pool] || p.ownSubset[name] || p.owners[name] == p.self
}

// makeBuckets groups the engines of each pool by hash, so that adding or removing
// an engine usually leaves the other engines in their groups.
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
		n := uint64((len(names) + meanBucketSize - 1) / meanBucketSize)
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

// aliveHosts returns the alive members and self, and a hash of their names.
func aliveHosts(members []peer.Member, self string) ([]host, uint64) {
	hosts := make([]host, 0, len(members))
	var membersHash uint64
	for _, m := range members {
		if m.State != peer.StateAlive && m.ID.Name != self {
			continue
		}
		h := host{name: m.ID.Name, hash: xxhash.Sum64String(m.ID.Name)}
		hosts = append(hosts, h)
		membersHash = score(membersHash, h.hash)
	}
	return hosts, membersHash
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

// score combines two hashes into one.
func score(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}
