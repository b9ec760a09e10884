package vmap

// Change is the state of one name as of a version.
type Change[V any] struct {
	Name    string `json:"n"`
	Version uint64 `json:"v"`
	Deleted bool   `json:"d,omitempty"`
	Value   V      `json:"o,omitempty"` // zero if Deleted
}

// Applied is a change that a replica has applied, with the value that it replaced.
type Applied[V any] struct {
	Change[V]
	Old    V
	HadOld bool
}

// DefaultLogSize is the default number of recent changes kept for deltas. It covers
// a day of changes in a large fleet.
const DefaultLogSize = 4096

type item[V any] struct {
	version uint64
	value   V
}

type logEntry struct {
	name    string
	version uint64
}

// Map is one replica. It is not safe for concurrent use.
type Map[V any] struct {
	items      map[string]item[V]
	deleted    map[string]uint64 // tombstones: versions of deletions, above the floor or still in the log
	aboveFloor map[string]uint64 // version of the last change of a name, if above the floor
	floor      uint64            // version up to and including which the replica is complete
	head       uint64            // largest version seen
	synced     bool              // a full state has been received, so that the floor is valid
	log        []logEntry        // applied changes with versions above logStart
	logStart   uint64
	logSize    int
}

// New returns an empty replica that keeps about logSize recent changes for deltas,
// or DefaultLogSize if logSize is 0.
func New[V any](logSize int) *Map[V] {
	if logSize == 0 {
		logSize = DefaultLogSize
	}
	return &Map[V]{
		items:      make(map[string]item[V]),
		deleted:    make(map[string]uint64),
		aboveFloor: make(map[string]uint64),
		logSize:    logSize,
	}
}

// Len returns the number of objects.
func (m *Map[V]) Len() int { return len(m.items) }

// Floor returns the version up to which the replica is complete.
func (m *Map[V]) Floor() uint64 { return m.floor }

// Synced reports whether the replica has ever received a full state.
func (m *Map[V]) Synced() bool { return m.synced }

// Get returns the value of a name and its version.
func (m *Map[V]) Get(name string) (value V, version uint64, ok bool) {
	it, ok := m.items[name]
	return it.value, it.version, ok
}

// VersionOf returns the version of the last known change of a name. For an absent
// name without a tombstone it returns the floor, since the name did not exist as of
// that version.
func (m *Map[V]) VersionOf(name string) (version uint64, present bool) {
	if it, ok := m.items[name]; ok {
		return it.version, true
	}
	if v, ok := m.deleted[name]; ok {
		return v, false
	}
	return m.floor, false
}

// Deleted reports whether the replica holds a tombstone for the name.
func (m *Map[V]) Deleted(name string) bool {
	_, ok := m.deleted[name]
	return ok
}

// Each calls f for every object until f returns false.
func (m *Map[V]) Each(f func(name string, version uint64, value V) bool) {
	for name, it := range m.items {
		if !f(name, it.version, it.value) {
			return
		}
	}
}

// Apply applies one change unless it is outdated, and reports whether it did.
func (m *Map[V]) Apply(c Change[V]) (Applied[V], bool) {
	known, _ := m.VersionOf(c.Name)
	if c.Version <= known {
		// The change is not newer than the one held. If the name is absent and has
		// no tombstone, the version is at or below the floor, so the name has been
		// deleted since.
		return Applied[V]{}, false
	}
	return m.store(c), true
}

func (m *Map[V]) store(c Change[V]) Applied[V] {
	old, had := m.items[c.Name]
	if c.Deleted {
		delete(m.items, c.Name)
		m.deleted[c.Name] = c.Version
	} else {
		delete(m.deleted, c.Name)
		m.items[c.Name] = item[V]{version: c.Version, value: c.Value}
	}
	m.head = max(m.head, c.Version)
	if c.Version > m.floor {
		m.aboveFloor[c.Name] = c.Version
	}
	m.log = append(m.log, logEntry{name: c.Name, version: c.Version})
	m.trimLog()
	return Applied[V]{Change: c, Old: old.value, HadOld: had}
}

// Advance raises the floor to version, which means that every change up to it has
// been applied. Bookmarks of the source provide such versions. An older version has
// no effect.
func (m *Map[V]) Advance(version uint64) {
	if version <= m.floor {
		return
	}
	m.floor = version
	m.head = max(m.head, version)
	for name, v := range m.aboveFloor {
		if v <= version {
			delete(m.aboveFloor, name)
		}
	}
}

// Replace merges the objects of a full read as of version, and returns the changes
// that it applied. It ignores a read older than the floor, which contains nothing new.
func (m *Map[V]) Replace(version uint64, objects []Change[V]) []Applied[V] {
	if version < m.floor {
		return nil
	}
	m.synced = true
	listed := make(map[string]struct{}, len(objects))
	var applied []Applied[V]
	for _, c := range objects {
		listed[c.Name] = struct{}{}
		if m.isNewer(c) {
			applied = append(applied, m.store(c))
		}
	}
	for _, name := range m.missingFrom(version, listed) {
		// The name does not exist as of version: it was deleted then or earlier, so
		// a deletion at that version supersedes every put up to it.
		applied = append(applied, m.store(Change[V]{Name: name, Version: version, Deleted: true}))
	}
	if version > m.floor {
		m.Advance(version)
		m.resetLog()
	}
	return applied
}

// resetLog starts a new log at the floor after a full read. The read does not show
// names that were put and deleted between the old floor and the read, so a delta
// that starts before the read would be incomplete.
func (m *Map[V]) resetLog() {
	m.log = nil
	m.logStart = m.floor
	above := make(map[string]uint64, len(m.aboveFloor))
	for name, v := range m.aboveFloor {
		above[name] = v
		m.log = append(m.log, logEntry{name: name, version: v})
	}
	m.aboveFloor = above
	for name, v := range m.deleted {
		if v <= m.floor {
			delete(m.deleted, name)
		}
	}
}

// isNewer reports whether an object of a full read is newer than the one held.
// Unlike in Apply, an absent name with a version below the floor counts as newer,
// since the read is at or above the floor and contains the name.
func (m *Map[V]) isNewer(c Change[V]) bool {
	if it, ok := m.items[c.Name]; ok {
		return it.version < c.Version
	}
	return m.deleted[c.Name] < c.Version
}

// missingFrom returns the names held with versions up to version that are not in
// listed.
func (m *Map[V]) missingFrom(version uint64, listed map[string]struct{}) []string {
	var absent []string
	for name, it := range m.items {
		if _, ok := listed[name]; !ok && it.version <= version {
			absent = append(absent, name)
		}
	}
	return absent
}

// trimLog drops the oldest entries of a log that has grown to twice logSize. It
// also drops their tombstones if these are not above the floor.
func (m *Map[V]) trimLog() {
	if len(m.log) < 2*m.logSize {
		return
	}
	drop := len(m.log) - m.logSize
	for _, r := range m.log[:drop] {
		m.logStart = max(m.logStart, r.version)
		if v, ok := m.deleted[r.name]; ok && v == r.version && v <= m.floor {
			delete(m.deleted, r.name)
		}
	}
	kept := make([]logEntry, m.logSize, 2*m.logSize)
	copy(kept, m.log[drop:])
	m.log = kept
}
