package vmap

// Change is the state of one name as of a version.
type Change[V any] struct {
	Name    string `json:"n"`
	Version uint64 `json:"v"`
	Deleted bool   `json:"d,omitempty"`
	Value   V      `json:"o,omitempty"` // zero if Deleted
}

// Applied is a change that a replica took over, with the value it replaced.
type Applied[V any] struct {
	Change[V]
	Old    V
	HadOld bool
}

// DefaultLogSize is the number of recent changes kept for deltas when New is
// given none: a day of changes of a large fleet.
const DefaultLogSize = 4096

type item[V any] struct {
	version uint64
	value   V
}

type ref struct {
	name    string
	version uint64
}

// Map is one replica. It is not safe for concurrent use.
type Map[V any] struct {
	items    map[string]item[V]
	deleted  map[string]uint64 // tombstones: above the floor, or still in the log
	above    map[string]uint64 // last changes with versions above the floor
	floor    uint64            // complete up to and including this version
	head     uint64            // largest version seen
	known    bool              // floor is meaningful: a full state has been taken
	log      []ref             // applied changes with versions above logStart
	logStart uint64
	logSize  int
}

// New returns an empty replica that keeps about logSize recent changes for
// deltas, DefaultLogSize if logSize is 0.
func New[V any](logSize int) *Map[V] {
	if logSize == 0 {
		logSize = DefaultLogSize
	}
	return &Map[V]{
		items:   make(map[string]item[V]),
		deleted: make(map[string]uint64),
		above:   make(map[string]uint64),
		logSize: logSize,
	}
}

// Len returns the number of objects.
func (m *Map[V]) Len() int { return len(m.items) }

// Floor returns the version up to which the replica is complete.
func (m *Map[V]) Floor() uint64 { return m.floor }

// Synced reports whether the replica has ever taken a full state.
func (m *Map[V]) Synced() bool { return m.known }

// Get returns the value of a name and its version.
func (m *Map[V]) Get(name string) (value V, version uint64, ok bool) {
	it, ok := m.items[name]
	return it.value, it.version, ok
}

// VersionOf returns the version of the last known change of a name. For a
// name that is absent without a tombstone it is the floor: the name did not
// exist as of that version.
func (m *Map[V]) VersionOf(name string) (version uint64, present bool) {
	if it, ok := m.items[name]; ok {
		return it.version, true
	}
	if v, ok := m.deleted[name]; ok {
		return v, false
	}
	return m.floor, false
}

// Deleted reports whether the replica holds a tombstone of the name.
func (m *Map[V]) Deleted(name string) bool {
	_, ok := m.deleted[name]
	return ok
}

// Each calls f for every object until it returns false.
func (m *Map[V]) Each(f func(name string, version uint64, value V) bool) {
	for name, it := range m.items {
		if !f(name, it.version, it.value) {
			return
		}
	}
}

// Apply merges one change and reports whether the replica changed.
func (m *Map[V]) Apply(c Change[V]) (Applied[V], bool) {
	known, _ := m.VersionOf(c.Name)
	if c.Version <= known {
		// Older than what is held, or, for an absent name, at or below the
		// floor: the name was deleted since.
		return Applied[V]{}, false
	}
	return m.set(c), true
}

func (m *Map[V]) set(c Change[V]) Applied[V] {
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
		m.above[c.Name] = c.Version
	}
	m.log = append(m.log, ref{name: c.Name, version: c.Version})
	m.trim()
	return Applied[V]{Change: c, Old: old.value, HadOld: had}
}

// Advance records that every change up to version has been applied, as a
// bookmark of the source says. An older version has no effect.
func (m *Map[V]) Advance(version uint64) {
	if version <= m.floor {
		return
	}
	m.floor = version
	m.head = max(m.head, version)
	for name, v := range m.above {
		if v <= version {
			delete(m.above, name)
		}
	}
}

// Replace merges a full reading taken at version, and returns the changes that
// it made. A reading older than the floor says nothing new and is ignored.
func (m *Map[V]) Replace(version uint64, objects []Change[V]) []Applied[V] {
	if version < m.floor {
		return nil
	}
	m.known = true
	listed := make(map[string]struct{}, len(objects))
	var made []Applied[V]
	for _, c := range objects {
		listed[c.Name] = struct{}{}
		if m.newer(c) {
			made = append(made, m.set(c))
		}
	}
	for _, name := range m.absent(version, listed) {
		// Absent as of version; the deletion itself is older, so every put
		// up to version is too.
		made = append(made, m.set(Change[V]{Name: name, Version: version, Deleted: true}))
	}
	if version > m.floor {
		m.Advance(version)
		m.resetLog()
	}
	return made
}

// resetLog starts a new log at the floor after a full reading. Names that were
// put and deleted between the old floor and the reading left no trace here, so
// a delta across the reading would not be complete.
func (m *Map[V]) resetLog() {
	m.log = nil
	m.logStart = m.floor
	above := make(map[string]uint64, len(m.above))
	for name, v := range m.above {
		above[name] = v
		m.log = append(m.log, ref{name: name, version: v})
	}
	m.above = above
	for name, v := range m.deleted {
		if v <= m.floor {
			delete(m.deleted, name)
		}
	}
}

// newer reports whether an object of a full reading is newer than what is
// held. Unlike in Apply an absent name below the floor is: the reading is at or
// above the floor and shows the name.
func (m *Map[V]) newer(c Change[V]) bool {
	if it, ok := m.items[c.Name]; ok {
		return it.version < c.Version
	}
	return m.deleted[c.Name] < c.Version
}

// absent returns the names held as of version that a reading lacks.
func (m *Map[V]) absent(version uint64, listed map[string]struct{}) []string {
	var absent []string
	for name, it := range m.items {
		if _, ok := listed[name]; !ok && it.version <= version {
			absent = append(absent, name)
		}
	}
	return absent
}

// trim bounds the log. A tombstone goes with its log entry once the floor
// covers it.
func (m *Map[V]) trim() {
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
	kept := make([]ref, m.logSize, 2*m.logSize)
	copy(kept, m.log[drop:])
	m.log = kept
}
