package journal

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"buckthornseam.dev/seam/internal/peer"
)

// ownersLife is how long the owners found are used: at 1,200 members it takes
// tens of microseconds to find them.
const ownersLife = 100 * time.Millisecond

// owners caches the owner of each shard.
type owners struct {
	mu       sync.Mutex
	found    time.Time
	draining bool
	hosts    []string
}

// ownerOf returns the host that should serve a shard: the first in rendezvous
// order of the alive members but those to skip, "" if there is none. Two hosts
// may disagree, which costs writes and never a second run.
func (j *Journal) ownerOf(shard int, skip []string) string {
	if len(skip) > 0 {
		return j.rank(skip).Lookup(shardKey(shard))
	}
	o := &j.owners
	o.mu.Lock()
	defer o.mu.Unlock()
	draining := j.draining.Load()
	if o.hosts == nil || o.draining != draining || time.Since(o.found) > ownersLife {
		o.found = time.Now()
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

// rank returns the members that may own shards.
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
