package platformhost

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/evacuation"
	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/storecache"
)

// Poll policies of the list of evacuated zones; see policy.go. Besides the coordinator, the hosts that poll when it does not
// confirm the list poll once each time, and then go by what they have found.
var (
	evacuationPolicyStarting  = storecache.PollPolicy{MaxWait: historyWait, AllowStale: true, MaxRetryDelay: isolatedRetryDelay}
	evacuationPolicyStrict    = storecache.PollPolicy{MaxWait: 700 * time.Millisecond, MaxRetryDelay: strictRetryDelay} // a seventh of the bound
	evacuationPolicyIsolated  = storecache.PollPolicy{MaxWait: time.Millisecond, MinInterval: 900 * time.Millisecond, MaxRetryDelay: isolatedRetryDelay, NewsWait: newsWait}
	evacuationPolicyConfirmed = storecache.PollPolicy{MaxWait: historyWait, MinInterval: time.Hour, MaxRetryDelay: isolatedRetryDelay, Confirmed: true}
)

// evacuationsWait is how long a host that starts sends nothing to targets while it knows no list of evacuated zones.
const evacuationsWait = 4 * time.Second

// evacuationPolicyOf returns the policy of the list of evacuated zones. confirmedAgo is the time since the list of this host
// was known to be complete, pollAge the time after which it reads the list itself.
func evacuationPolicyOf(s copyState, pollAge time.Duration) storecache.PollPolicy {
	switch {
	case s.coordinator == coordinatorSelf:
		return evacuationPolicyStrict
	case s.starting() && s.confirmedAgo < pollAge:
		return evacuationPolicyStarting
	case s.confirmedAgo >= pollAge:
		return evacuationPolicyIsolated
	}
	return evacuationPolicyConfirmed
}

func (h *Host) evacuationPolicy() storecache.PollPolicy {
	_, confirmedAt, _ := h.view.Evacuations()
	now, state := bootclock.Now(), h.coordinatorState()
	if together, _ := h.client.CountedTogether(); state == coordinatorSelf && together <= 1 {
		state = coordinatorReplied // nobody else relies on this host: it is cut off, like perhaps many others
	}
	return evacuationPolicyOf(copyState{coordinator: state, uptime: now - h.startedAt, confirmedAgo: now - confirmedAt},
		h.client.EvacuationPollAge(h.settings.Bounds.Evacuate))
}

// initEvacuations creates the copy of the evacuated zones if the platform has this kind and the settings state a bound for
// evacuations. Other deployments have none, and are spared the calls.
func (h *Host) initEvacuations() {
	if h.adapter.EvacuationKind == "" || h.settings.Bounds.Evacuate == 0 {
		return
	}
	if bound := h.settings.Bounds.Evacuate; bound < 0 {
		h.log.WithFields(logrus.Fields{"event": "evacuate_bound_ignored", "evacuate_ms": bound.Milliseconds(), "used_ms": evacuation.DefaultBound.Milliseconds()}).Warn("the bound of evacuations in the settings is negative")
	}
	h.view.AwaitEvacuations(evacuationsWait)
	h.view.OnEvacuation(func(zone string, began bool) {
		name := "evacuations_ended"
		if began {
			name = "evacuations_began"
		}
		h.metrics.Scope.Tagged(map[string]string{"zone": zone}).Counter(name).Inc(1)
	})
	h.evacuations = storecache.New(storecache.Options{
		Source: h.store, Outage: &h.outage, Eras: &h.eras, Kind: h.adapter.EvacuationKind, Policy: h.bounded(h.evacuationPolicy),
		Now: bootclock.Now, Log: h.log, OnChange: h.evacuationsChanged, OnConfirm: h.view.ConfirmEvacuations,
	})
}

// runEvacuations keeps the copy of the evacuated zones up to date until ctx ends.
func (h *Host) runEvacuations(ctx context.Context) error {
	if h.evacuations == nil {
		return nil
	}
	return h.evacuations.Run(ctx)
}

// evacuationsChanged applies the stored list of evacuated zones. What the objects hold does not matter.
func (h *Host) evacuationsChanged(objects map[string]platform.Object) {
	l := fleet.Evacuations{Version: uint64(h.evacuations.Version()), Zones: make(map[string]uint64, len(objects))}
	for zone, obj := range objects {
		l.Zones[zone] = uint64(obj.Version)
	}
	h.view.SetEvacuations(l)
}
