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
	targets *fleet.Targets                      // last observed
	seenAt  map[string]map[string]time.Duration // by service and version
}

// observe must be called more often than the versions of a service come and go.
func (h *versionHistory) observe(targets *fleet.Targets, now time.Duration) {
	if h.targets != nil {
		h.mark(h.targets, now) // registered until about now
	}
	if targets != h.targets {
		h.mark(targets, now)
		h.targets = targets
	}
}

func (h *versionHistory) mark(targets *fleet.Targets, now time.Duration) {
	if h.seenAt == nil {
		h.seenAt = map[string]map[string]time.Duration{}
	}
	for _, t := range targets.ByID {
		versions := h.seenAt[t.Service]
		if versions == nil {
			versions = map[string]time.Duration{}
			h.seenAt[t.Service] = versions
		}
		versions[t.Version] = now
	}
}

// of returns the recent versions of a service, sorted.
func (h *versionHistory) of(service string, now time.Duration) []string {
	versions := h.seenAt[service]
	maps.DeleteFunc(versions, func(_ string, at time.Duration) bool { return now-at > retention })
	return slices.Sorted(maps.Keys(versions))
}
