package platformhost

import (
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

// confirmations returns the revision of this host's configuration, and the times
// at which the configuration and the targets were last known to be current.
func (h *Host) confirmations() (config uint64, configAt, targetsAt time.Duration) {
	configAt, _ = h.configConfirmed()
	targetsAt, _ = h.targets.Confirmed()
	return h.view.Config().Revision, configAt, targetsAt
}

// configConfirmed returns the latest time at which the configuration was known to be current. It returns false if this host has
// none, or only one that a restored store went back to, or that may be one: the restored store confirms nothing until this host
// knows which configuration was in force before.
func (h *Host) configConfirmed() (time.Duration, bool) {
	at, ok := h.copyConfirmed()
	if !ok || h.view.ConfigWentBack() {
		return 0, false
	}
	heldAt, settled := h.inquiry.Settled()
	if !settled {
		return min(at, heldAt), heldAt > 0
	}
	h.logConfirmation()
	return at, true
}

// copyConfirmed returns the latest time at which this host's copy of the configuration was known to be that of the store, either
// from its own mirror or from the coordinator's confirmation of the same one.
func (h *Host) copyConfirmed() (time.Duration, bool) {
	at, ok := h.config.Confirmed()
	return max(at, confirmedBy(h.client.StoreFreshness(), h.view.Config())), ok
}

// logConfirmation logs the first confirmation in each era of the store: by which configuration this host admits requests from
// now on, and what it had heard from another host by then.
func (h *Host) logConfirmation() {
	era := h.eras.Current()
	if before := h.confirmedEra.Load(); before == uint32(era) || !h.confirmedEra.CompareAndSwap(before, uint32(era)) {
		return
	}
	config, word, newest := h.view.Config(), h.view.ConfigWord(), h.view.NewestConfig()
	fields := logrus.Fields{
		"event": "config_confirmed", "era": era, "version": config.Version, "revision": config.Revision, "newest": newest.Number,
		"uptime_ms": (bootclock.Now() - h.startedAt).Milliseconds(), "coordinator": h.client.Coordinator(),
	}
	if word.Host != "" {
		fields["told_by"], fields["told"], fields["told_ms_ago"] = word.Host, word.Version.Number, (bootclock.Now() - word.At).Milliseconds()
	}
	h.log.WithFields(fields).Info("requests are admitted by this configuration; without told_by, no other host has said anything of it")
}

// confirmedBy returns when coordinators last reported a configuration as in force.
// While a host takes a newer one, the one it has was in force until a moment ago.
func confirmedBy(f coordinator.StoreFreshness, c *fleet.Config) time.Duration {
	switch {
	case isConfigOf(f, c):
		return f.ConfigAt
	case c.Revision == f.Earlier:
		return f.EarlierAt
	}
	return 0
}

// isConfigOf reports whether a configuration is the one that the coordinator has. After a restore of the store, the same
// one may have been written again.
func isConfigOf(f coordinator.StoreFreshness, c *fleet.Config) bool {
	return c.Revision == f.Config || c.Digest == f.Digest && c.Digest != 0
}
