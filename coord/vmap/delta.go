package vmap

import "github.com/cespare/xxhash/v2"

// Digest is the state of a replica in a few numbers.
type Digest struct {
	Floor      uint64 `json:"f"` // complete up to this version
	Head       uint64 `json:"h"` // largest version seen
	AboveFloor int    `json:"x"` // changes held above the floor
	Synced     bool   `json:"k"` // a full state has been taken
}

// Digest returns the digest of the replica.
func (m *Map[V]) Digest() Digest {
	return Digest{Floor: m.floor, Head: m.head, AboveFloor: len(m.above), Synced: m.known}
}

// Lacks reports whether a replica with digest d lacks something that one with
// digest other holds. Two replicas with the same floor and head may still hold
// different changes in between; the next advance of a floor settles that.
func (d Digest) Lacks(other Digest) bool {
	if !other.Synced {
		return false
	}
	if !d.Synced || other.Head > d.Head || other.Floor > d.Floor {
		return true
	}
	return other.Floor == d.Floor && other.AboveFloor > d.AboveFloor
}

// current reports whether r is the last change of its name.
func (m *Map[V]) current(r ref) bool {
	v, _ := m.VersionOf(r.name)
	return v == r.version
}

// Delta holds the last change of each name that changed after Since.
type Delta[V any] struct {
	Since   uint64      `json:"s"`
	Floor   uint64      `json:"f"` // floor of the sender
	Synced  bool        `json:"k"` // the sender has taken a full state
	Changes []Change[V] `json:"c,omitempty"`
}

// Delta returns the changes after since. It reports false if the log does not
// reach back that far, or if there are more than limit changes; the asker then
// needs a full reading. A limit of 0 means none.
func (m *Map[V]) Delta(since uint64, limit int) (Delta[V], bool) {
	d := Delta[V]{Since: since, Floor: m.floor, Synced: m.known}
	if since < m.logStart {
		return d, false
	}
	for _, r := range m.log {
		if r.version <= since || !m.current(r) {
			continue
		}
		if limit > 0 && len(d.Changes) == limit {
			return d, false
		}
		d.Changes = append(d.Changes, m.change(r.name, r.version))
	}
	return d, true
}

func (m *Map[V]) change(name string, version uint64) Change[V] {
	it, ok := m.items[name]
	if !ok {
		return Change[V]{Name: name, Version: version, Deleted: true}
	}
	return Change[V]{Name: name, Version: version, Value: it.value}
}

// Merge applies a delta and returns the changes that were new. The floor
// rises to the sender's if this replica was complete up to d.Since: what the
// sender held between the two is all in the delta.
func (m *Map[V]) Merge(d Delta[V]) []Applied[V] {
	var made []Applied[V]
	for _, c := range d.Changes {
		if a, ok := m.Apply(c); ok {
			made = append(made, a)
		}
	}
	if d.Synced && d.Since <= m.floor {
		m.known = true
		m.Advance(d.Floor)
	}
	return made
}

// Page is one part of a full reading of a replica.
type Page[V any] struct {
	Floor   uint64      `json:"f"`
	Index   int         `json:"i"`
	Pages   int         `json:"p"`
	Objects []Change[V] `json:"o"`
}

// Page returns the objects of part index out of pages. Names are spread over
// the parts by hash, so that no state is held between the calls. A reading is
// complete as of the floor of its first page; a Delta since that floor, taken
// after the last page, brings what changed in the meantime.
func (m *Map[V]) Page(index, pages int) Page[V] {
	p := Page[V]{Floor: m.floor, Index: index, Pages: pages}
	for name, it := range m.items {
		if xxhash.Sum64String(name)%uint64(pages) == uint64(index) {
			p.Objects = append(p.Objects, Change[V]{Name: name, Version: it.version, Value: it.value})
		}
	}
	return p
}
