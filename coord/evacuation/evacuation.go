package evacuation

import (
	"maps"
	"slices"
	"time"
)

// List is the stored list of evacuated zones at one version of the store. Two lists of the same version are equal.
type List struct {
	Version uint64            `json:"v"`           // era and revision of the store; higher is newer
	Zones   map[string]uint64 `json:"z,omitempty"` // by zone, the version of its object
}

// Times after a restore of the store. What a host keeps or withholds ends with the first list that is known to be complete after
// that time: without one, the host may not have heard yet that an operator repeated the change.
const (
	KeepMissing   = 3 * time.Second  // for which an evacuation that the copy lacks stays in force; operators write it again by then
	Withhold      = 5 * time.Second  // for which a removed evacuation that the copy has is left out; operators remove it again by then
	removalMemory = 30 * time.Second // copies from which a store is restored are some seconds old
)

// Cause tells why an evacuation began or ended.
type Cause string

// The causes.
const (
	CauseListed       Cause = "listed"        // the store lists it
	CauseRemoved      Cause = "removed"       // the store no longer lists it
	CauseNotRewritten Cause = "not_rewritten" // a restored store lacks it, and it was not written again
	CauseNotRemoved   Cause = "not_removed"   // a restored store has it again, and it was not removed again
)

// Change is the beginning or the end of an evacuation at this host.
type Change struct {
	Zone  string
	Began bool
	Cause Cause
}

// withheldZone is a zone of a restored list that had been removed before.
type withheldZone struct {
	version uint64        // of its object in the restored list
	until   time.Duration // or later, until a list is complete at this time
}

// Core holds what one host knows of the evacuated zones.
type Core struct {
	eraOf       func(version uint64) uint64
	list        List
	known       bool
	confirmedAt time.Duration
	kept        map[string]time.Duration // zones that a restored list lacks, kept until a list is complete at this time
	withheld    map[string]withheldZone
	removed     map[string]time.Duration // zones that were removed lately, and when
	evacuated   map[string]bool
	endedAt     map[string]time.Duration
}

// New returns a Core that knows no list. The function returns the era of a version.
func New(eraOf func(version uint64) uint64) *Core {
	return &Core{
		eraOf: eraOf, kept: map[string]time.Duration{}, withheld: map[string]withheldZone{}, removed: map[string]time.Duration{},
		evacuated: map[string]bool{}, endedAt: map[string]time.Duration{},
	}
}

// List returns the newest list, and whether there is one. It must not be modified.
func (c *Core) List() (List, bool) { return c.list, c.known }

// Confirm records that the newest list was complete at a time.
func (c *Core) Confirm(at time.Duration) { c.confirmedAt = max(c.confirmedAt, at) }

// ConfirmedAt returns when the newest list was last known to be complete, 0 if never.
func (c *Core) ConfirmedAt() time.Duration { return c.confirmedAt }

// Evacuated reports whether a zone is evacuated as of the last call of Merge or Step.
func (c *Core) Evacuated(zone string) bool { return c.evacuated[zone] }

// Zones returns the evacuated zones in order, as of the last call of Merge or Step.
func (c *Core) Zones() []string { return slices.Sorted(maps.Keys(c.evacuated)) }

// EndedAt returns when the last evacuation of a zone ended at this host. It returns false while the zone is evacuated, and
// if no evacuation of it has ended since the host started.
func (c *Core) EndedAt(zone string) (time.Duration, bool) {
	at, ok := c.endedAt[zone]
	return at, ok
}

// Merge applies a list from the store or from another host. It returns whether the list is newer than the one known
// before, and the evacuations that began or ended.
func (c *Core) Merge(now time.Duration, l List) (newer bool, changes []Change) {
	if c.known && l.Version <= c.list.Version {
		return false, nil
	}
	restored := c.known && c.eraOf(l.Version) > c.eraOf(c.list.Version)
	for zone := range c.list.Zones {
		if _, listed := l.Zones[zone]; !listed {
			c.unlisted(now, zone, restored)
		}
	}
	for zone, version := range l.Zones {
		c.listed(now, zone, version, restored)
	}
	c.list, c.known = l, true
	return true, c.update(now)
}

// unlisted handles a zone that a newer list lacks.
func (c *Core) unlisted(now time.Duration, zone string, restored bool) {
	_, withheld := c.withheld[zone]
	delete(c.withheld, zone)
	if restored && !withheld {
		c.kept[zone] = now + KeepMissing
	} else {
		c.removed[zone] = now
	}
}

// listed handles a zone of a newer list.
func (c *Core) listed(now time.Duration, zone string, version uint64, restored bool) {
	if w, ok := c.withheld[zone]; ok && w.version == version {
		return
	}
	delete(c.kept, zone)
	delete(c.withheld, zone)
	if at, ok := c.removed[zone]; ok && restored && now-at < removalMemory {
		c.withheld[zone] = withheldZone{version: version, until: now + Withhold}
		return
	}
	delete(c.removed, zone)
}

// Step ends what lasts for a time, and returns the evacuations that began or ended.
func (c *Core) Step(now time.Duration) []Change {
	if len(c.kept)+len(c.withheld) == 0 {
		return nil
	}
	return c.update(now)
}

// update recomputes what is in force.
func (c *Core) update(now time.Duration) []Change {
	ended := map[string]Cause{}
	for zone, until := range c.kept {
		if c.confirmedAt >= until {
			delete(c.kept, zone)
			c.removed[zone], ended[zone] = now, CauseNotRewritten
		}
	}
	began := map[string]Cause{}
	for zone, w := range c.withheld {
		if c.confirmedAt >= w.until {
			delete(c.withheld, zone)
			delete(c.removed, zone)
			began[zone] = CauseNotRemoved
		}
	}
	maps.DeleteFunc(c.removed, func(zone string, at time.Duration) bool {
		_, withheld := c.withheld[zone]
		return !withheld && now-at >= removalMemory
	})
	return c.apply(now, began, ended)
}

// apply recomputes the evacuated zones. The causes are those other than a change of the list.
func (c *Core) apply(now time.Duration, began, ended map[string]Cause) []Change {
	next := map[string]bool{}
	for zone := range c.list.Zones {
		if _, withheld := c.withheld[zone]; !withheld {
			next[zone] = true
		}
	}
	for zone := range c.kept {
		next[zone] = true
	}
	var out []Change
	for _, zone := range slices.Sorted(maps.Keys(next)) {
		if !c.evacuated[zone] {
			delete(c.endedAt, zone)
			out = append(out, Change{Zone: zone, Began: true, Cause: orElse(began[zone], CauseListed)})
		}
	}
	for _, zone := range c.Zones() {
		if !next[zone] {
			c.endedAt[zone] = now
			out = append(out, Change{Zone: zone, Cause: orElse(ended[zone], CauseRemoved)})
		}
	}
	c.evacuated = next
	return out
}

func orElse(cause, other Cause) Cause {
	if cause == "" {
		return other
	}
	return cause
}
