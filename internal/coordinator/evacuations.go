package coordinator

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/evacuation"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// evacuations is what a FleetView knows of evacuated zones.
type evacuations struct {
	core *evacuation.Core
	// awaitedUntil is until when nothing is sent to targets if no list is known. A host that has just started would
	// otherwise send to evacuated targets.
	awaitedUntil time.Duration
	onChange     func(zone string, began bool)
}

func newEvacuations() evacuations {
	return evacuations{
		core:     evacuation.New(func(version uint64) uint64 { return uint64(platform.Version(version).Era()) }),
		onChange: func(string, bool) {},
	}
}

// sourceStore is the source of lists that this host has read itself.
const sourceStore = "store"

// OnEvacuation sets a function to call when the evacuation of a zone begins or ends. It must not call the view. OnEvacuation
// must be called before the view is used.
func (f *FleetView) OnEvacuation(onChange func(zone string, began bool)) {
	f.evacuations.onChange = onChange
}

// AwaitEvacuations has nothing sent to targets for a time unless a list of evacuated zones is known.
func (f *FleetView) AwaitEvacuations(limit time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations.awaitedUntil = f.now() + limit
}

// SetEvacuations applies a list of evacuated zones from the store, and reports whether it is newer than the one known before.
func (f *FleetView) SetEvacuations(l fleet.Evacuations) bool {
	newer := f.mergeEvacuations(l, sourceStore)
	if newer {
		f.requestReport()
	}
	return newer
}

// mergeEvacuations applies a list of evacuated zones. The source is the host that has sent it, or sourceStore.
func (f *FleetView) mergeEvacuations(l fleet.Evacuations, source string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, known := f.evacuations.core.List()
	newer, changes := f.evacuations.core.Merge(f.now(), l)
	f.applyEvacuationChanges(changes, source)
	if !known && newer {
		f.notify()
	}
	return newer
}

// stepEvacuations ends what lasts for a time after a restore of the store.
func (f *FleetView) stepEvacuations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.applyEvacuationChanges(f.evacuations.core.Step(f.now()), "time")
}

// applyEvacuationChanges logs and counts changes, and wakes the waiting requests. The caller must hold f.mu.
func (f *FleetView) applyEvacuationChanges(changes []evacuation.Change, source string) {
	for _, c := range changes {
		event, message := "evacuation_ended", "targets of the zone are used again"
		if c.Began {
			event, message = "evacuation_began", "targets of the zone are sent nothing new"
		}
		list, _ := f.evacuations.core.List()
		f.logNotice(event, logrus.Fields{"zone": c.Zone, "cause": c.Cause, "source": source, "targets": f.targetsIn(c.Zone), "revision": list.Version}, message)
		f.evacuations.onChange(c.Zone, c.Began)
	}
	if len(changes) > 0 {
		f.notify()
	}
}

// targetsIn returns the number of registered targets of a zone. The caller must hold f.mu.
func (f *FleetView) targetsIn(zone string) int {
	n := 0
	for _, t := range f.targets.ByID {
		if t.Zone == zone {
			n++
		}
	}
	return n
}

// Evacuations returns the newest list of evacuated zones as stored, and when it was last known to be complete (0: never). It
// returns false if there is no list.
func (f *FleetView) Evacuations() (l fleet.Evacuations, confirmedAt time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l, ok = f.evacuations.core.List()
	return l, f.evacuations.core.ConfirmedAt(), ok
}

// confirmationJump is by how much a confirmation from the store has to be newer than the one before for other hosts to be
// told at once. The coordinator's own polls are less apart.
const confirmationJump = time.Second

// ConfirmEvacuations records that this host's copy of the list in the store was complete at a time.
func (f *FleetView) ConfirmEvacuations(at time.Duration) {
	if f.confirmEvacuations(at) > confirmationJump {
		f.requestReport()
	}
}

// confirmEvacuations records that the newest list was complete at a time, and returns how much newer that is.
func (f *FleetView) confirmEvacuations(at time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.evacuations.core.ConfirmedAt()
	f.evacuations.core.Confirm(at)
	return at - before
}

// EvacuatedZones returns the evacuated zones in order.
func (f *FleetView) EvacuatedZones() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.core.Zones()
}

// Evacuated reports whether targets of a zone are to get nothing.
func (f *FleetView) Evacuated(zone string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuated(zone)
}

// EvacuationEnded returns when the last evacuation of a zone ended at this host, on the clock of the view. It returns false
// while the zone is evacuated, and if none has ended since the host started.
func (f *FleetView) EvacuationEnded(zone string) (at time.Duration, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations.core.EndedAt(zone)
}

// evacuated reports whether targets of a zone are to get nothing, or whether that is not known yet. The caller must hold f.mu.
func (f *FleetView) evacuated(zone string) bool {
	if f.evacuations.core.Evacuated(zone) {
		return true
	}
	_, known := f.evacuations.core.List()
	return !known && f.now() < f.evacuations.awaitedUntil
}

// AllEvacuated returns the zones of a service's targets if there are any and all that do not leave are in evacuated zones,
// otherwise nil.
func (f *FleetView) AllEvacuated(service string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.evacuations.core.Zones()) == 0 {
		return nil
	}
	var zones []string
	for _, id := range f.targets.ByService[service] {
		t := f.targets.ByID[id]
		if t.Draining {
			continue
		}
		if !f.evacuations.core.Evacuated(t.Zone) {
			return nil
		}
		if !slices.Contains(zones, t.Zone) {
			zones = append(zones, t.Zone)
		}
	}
	slices.Sort(zones)
	return zones
}
