package journal

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"buckthornseam.dev/seam/internal/peer"
)

// ownersTTL is how long the computed owners are cached: with 1,200 members it
// takes tens of microseconds to compute them.
const ownersTTL = 100 * time.Millisecond

// ownerCache holds the owner of each shard.
type ownerCache struct {
	mu         sync.Mutex
	computedAt time.Time
	draining   bool
	hosts      []string
}

// ownerOf returns the host that should serve a shard: the first in rendezvous
// order among the alive members that are not in skip, or "" if there is none.
// Hosts may disagree on the owner, which costs additional writes but never
// causes a second run.
func (j *Journal) ownerOf(shard int, skip []string) string {
	if len(skip) > 0 {
		return j.rank(skip).Lookup(shardKey(shard))
	}
	o := &j.owners
	o.mu.Lock()
	defer o.mu.Unlock()
	draining := j.draining.Load()
	if o.hosts == nil || o.draining != draining || time.Since(o.computedAt) > ownersTTL {
		o.computedAt = time.Now()
		o.draining = draining
		o.hosts = make([]string, len(j.shards))
		ranked := j.rank(nil)
		for i := range o.hosts {
			o.hosts[i] = ranked.Lookup(shardKey(i))
		}
	}
	return o.hosts[shard]
}

func shardKey(shard int) string { return "journal/" + strconv.Itoa(shard) }

// rank returns a rendezvous hash of the members that may own shards.
func (j *Journal) rank(skip []string) *rendezvous.Rendezvous {
	var names []string
	for _, m := range j.opts.Members.Members() {
		leaving := m.State != peer.StateAlive || (m.ID.Name == j.self.Name && j.draining.Load())
		if !leaving && !contains(skip, m.ID.Name) {
			names = append(names, m.ID.Name)
		}
	}
	return rendezvous.New(names, xxhash.Sum64String)
}
