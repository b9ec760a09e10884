package streamorigin

import (
	"maps"
	"slices"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// versionHistory knows the software versions of each service's targets that were registered within the last
// retention.
type versionHistory struct {
	targets    *fleet.Targets                      // last observed
	registered map[string]map[string]bool          // versions of these targets by service
	goneAt     map[string]map[string]time.Duration // by service and version, when it was last found missing
}

// observe must be called more often than the versions of a service come and go.
func (h *versionHistory) observe(targets *fleet.Targets, now time.Duration) {
	if targets == h.targets {
		return
	}
	if h.goneAt == nil {
		h.goneAt = map[string]map[string]time.Duration{}
	}
	for service, versions := range h.registered {
		if h.goneAt[service] == nil {
			h.goneAt[service] = map[string]time.Duration{}
		}
		for version := range versions {
			h.goneAt[service][version] = now
		}
	}
	h.targets, h.registered = targets, map[string]map[string]bool{}
	for _, t := range targets.ByID {
		if h.registered[t.Service] == nil {
			h.registered[t.Service] = map[string]bool{}
		}
		h.registered[t.Service][t.Version] = true
	}
}

// recall adds a version that was last registered at a time, as another process knows.
func (h *versionHistory) recall(service, version string, at time.Duration) {
	if h.goneAt == nil {
		h.goneAt = map[string]map[string]time.Duration{}
	}
	if h.goneAt[service] == nil {
		h.goneAt[service] = map[string]time.Duration{}
	}
	if before, ok := h.goneAt[service][version]; !ok || before < at {
		h.goneAt[service][version] = at
	}
}

// services returns the services that have or lately had targets, sorted.
func (h *versionHistory) services() []string {
	services := slices.Collect(maps.Keys(h.registered))
	services = slices.AppendSeq(services, maps.Keys(h.goneAt))
	slices.Sort(services)
	return slices.Compact(services)
}

// ages returns the recent versions of a service with the time since each was last registered.
func (h *versionHistory) ages(service string, now time.Duration) map[string]time.Duration {
	ages := map[string]time.Duration{}
	for _, version := range h.of(service, now) {
		if !h.registered[service][version] {
			ages[version] = now - h.goneAt[service][version]
		} else {
			ages[version] = 0
		}
	}
	return ages
}

// of returns the recent versions of a service, sorted.
func (h *versionHistory) of(service string, now time.Duration) []string {
	gone := h.goneAt[service]
	maps.DeleteFunc(gone, func(_ string, at time.Duration) bool { return now-at > retention })
	versions := slices.Collect(maps.Keys(h.registered[service]))
	versions = slices.AppendSeq(versions, maps.Keys(gone))
	slices.Sort(versions)
	return slices.Compact(versions)
}
