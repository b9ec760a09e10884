package vmap

import "github.com/cespare/xxhash/v2"

// Digest summarizes the state of a replica.
type Digest struct {
	Floor      uint64 `json:"f"` // version up to which the replica is complete
	Head       uint64 `json:"h"` // largest version seen
	AboveFloor int    `json:"x"` // number of names with changes above the floor
	Synced     bool   `json:"k"` // the replica has received a full state
}

// Digest returns the digest of the replica.
func (m *Map[V]) Digest() Digest {
	return Digest{Floor: m.floor, Head: m.head, AboveFloor: len(m.aboveFloor), Synced: m.synced}
}

// Lacks reports whether a replica with digest d lacks changes that a replica with
// digest other holds. Digests with equal floors and heads may hide different changes
// in between, until one of the floors advances.
func (d Digest) Lacks(other Digest) bool {
	if !other.Synced {
		return false
	}
	if !d.Synced || other.Head > d.Head || other.Floor > d.Floor {
		return true
	}
	return other.Floor == d.Floor && other.AboveFloor > d.AboveFloor
}

// isLatest reports whether r is the last known change of its name.
func (m *Map[V]) isLatest(r logEntry) bool {
	v, _ := m.VersionOf(r.name)
	return v == r.version
}

// Delta holds the last change of each name that has changed after version Since.
type Delta[V any] struct {
	Since   uint64      `json:"s"`
	Floor   uint64      `json:"f"` // floor of the sender
	Synced  bool        `json:"k"` // the sender has received a full state
	Changes []Change[V] `json:"c,omitempty"`
}

// Delta returns the changes after since. It reports false if the log does not reach
// back that far or if there are more than limit changes; the other replica then
// needs a full read. A limit of 0 means no limit.
func (m *Map[V]) Delta(since uint64, limit int) (Delta[V], bool) {
	d := Delta[V]{Since: since, Floor: m.floor, Synced: m.synced}
	if since < m.logStart {
		return d, false
	}
	for _, r := range m.log {
		if r.version <= since || !m.isLatest(r) {
			continue
		}
		if limit > 0 && len(d.Changes) == limit {
			return d, false
		}
		d.Changes = append(d.Changes, m.changeAt(r.name, r.version))
	}
	return d, true
}

func (m *Map[V]) changeAt(name string, version uint64) Change[V] {
	it, ok := m.items[name]
	if !ok {
		return Change[V]{Name: name, Version: version, Deleted: true}
	}
	return Change[V]{Name: name, Version: version, Value: it.value}
}

// Merge applies a delta and returns the changes that were new. If this replica is
// complete up to d.Since, its floor rises to that of the sender, since the delta
// contains everything that the sender held between the two versions.
func (m *Map[V]) Merge(d Delta[V]) []Applied[V] {
	var applied []Applied[V]
	for _, c := range d.Changes {
		if a, ok := m.Apply(c); ok {
			applied = append(applied, a)
		}
	}
	if d.Synced && d.Since <= m.floor {
		m.synced = true
		m.Advance(d.Floor)
	}
	return applied
}

// Page is one part of a full read of a replica's objects.
type Page[V any] struct {
	Floor   uint64      `json:"f"`
	Index   int         `json:"i"`
	Pages   int         `json:"p"`
	Objects []Change[V] `json:"o"`
}

// Page returns part index of a full read, which is split into the given number of
// pages. Names are assigned to pages by hash, so no state is kept between calls. The
// read is complete as of the floor of its first page. A Delta since that floor,
// taken after the last page, supplies the changes made in the meantime.
func (m *Map[V]) Page(index, pages int) Page[V] {
	p := Page[V]{Floor: m.floor, Index: index, Pages: pages}
	for name, it := range m.items {
		if xxhash.Sum64String(name)%uint64(pages) == uint64(index) {
			p.Objects = append(p.Objects, Change[V]{Name: name, Version: it.version, Value: it.value})
		}
	}
	return p
}
