package storecache

import (
	"time"

	"buckthornseam.dev/seam/internal/platform"
)

// removalMemory is how long a removal is remembered. Copies from which a store is restored are some seconds old.
const removalMemory = 30 * time.Second

// withheldObject is an object of a restored store that had been removed before.
type withheldObject struct {
	object platform.Object
	until  time.Duration
}

// removals remembers which objects were removed lately, and withholds those that a restored store lists again.
type removals struct {
	at       map[string]time.Duration // by name, when it was removed
	withheld map[string]withheldObject
}

func newRemovals() removals {
	return removals{at: map[string]time.Duration{}, withheld: map[string]withheldObject{}}
}

func (r *removals) removed(name string, now time.Duration) {
	r.at[name] = now
	delete(r.withheld, name)
}

func (r *removals) written(name string) {
	delete(r.at, name)
	delete(r.withheld, name)
}

// listed reports whether an object that was listed is withheld. After a restore it is if it had been removed lately.
// Later lists show it until it is written again or the time has passed.
func (r *removals) listed(obj platform.Object, restored bool, now, withhold time.Duration) bool {
	if w, ok := r.withheld[obj.Name]; ok && w.object.Version == obj.Version {
		return true
	}
	if at, ok := r.at[obj.Name]; restored && ok && now-at < removalMemory && withhold > 0 {
		r.withheld[obj.Name] = withheldObject{object: obj, until: now + withhold}
		return true
	}
	r.written(obj.Name)
	return false
}

// release returns the objects that are no longer withheld, and forgets old removals.
func (r *removals) release(now time.Duration) []platform.Object {
	var out []platform.Object
	for name, w := range r.withheld {
		if now >= w.until {
			r.written(name)
			out = append(out, w.object)
		}
	}
	for name, at := range r.at {
		if _, withheld := r.withheld[name]; !withheld && now-at >= removalMemory {
			delete(r.at, name)
		}
	}
	return out
}

// enterEra records the era of a list, and reports whether the store was restored since the one before. What was written
// after the copy is missing then for a moment, like after an outage. It must be called with m.mu held.
func (m *Mirror) enterEra(era platform.Era) (restored bool) {
	restored = m.listed && era > m.era
	m.era = era
	if restored {
		m.outageEnd = m.opts.Now()
	}
	return restored
}
