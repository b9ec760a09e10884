package platformhost

import (
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/fleet"
)

// copies returns this host's copies of the configuration and of the list of targets.
func (h *Host) copies() (fleet.Dated[*fleet.Config], fleet.Dated[*fleet.Targets]) {
	config, _ := h.currentConfig()
	return config, h.currentTargets()
}

// currentConfig returns the configuration in force and when it was last known to be the newest. It returns false if this host has
// none, or only one that a restored store went back to, or that may be one: the restored store confirms nothing until this host
// knows which configuration was in force before.
func (h *Host) currentConfig() (fleet.Dated[*fleet.Config], bool) {
	for {
		era := h.eras.Current()
		heldAt, settled := h.inquiry.Settled() // before the view is read, which has what other hosts said until then
		c, wentBack := h.view.DatedConfig(h.client.StoreFreshness())
		if h.eras.Current() != era {
			continue // the configuration may be that of a restored store, which is not settled yet
		}
		switch {
		case c.Copy.Version == 0 || wentBack || !settled && heldAt == 0:
			c.CurrentAt = 0
			return c, false
		case !settled:
			c.CurrentAt = min(c.CurrentAt, heldAt)
			return c, true
		}
		h.logConfirmation(c.Copy)
		return c, true
	}
}

// copyConfirmed returns the latest time at which the configuration in force was known to be the newest in the store, whatever the
// store has lost since, and whether there is one.
func (h *Host) copyConfirmed() (time.Duration, bool) {
	c, _ := h.view.DatedConfig(h.client.StoreFreshness())
	return c.CurrentAt, c.Copy.Version > 0
}

// currentTargets returns the list of targets and when it was last known to be the newest.
func (h *Host) currentTargets() fleet.Dated[*fleet.Targets] {
	return h.view.DatedTargets(h.client.StoreFreshness())
}

// logConfirmation logs the first confirmation in each era of the store: by which configuration this host admits requests from
// now on, and what it had heard from another host by then.
func (h *Host) logConfirmation(config *fleet.Config) {
	era := h.eras.Current()
	if before := h.confirmedEra.Load(); before == uint32(era) || !h.confirmedEra.CompareAndSwap(before, uint32(era)) {
		return
	}
	word, newest := h.view.ConfigWord(), h.view.NewestConfig()
	fields := logrus.Fields{
		"event": "config_confirmed", "era": era, "version": config.Version, "revision": config.Revision, "newest": newest.Number,
		"uptime_ms": (bootclock.Now() - h.startedAt).Milliseconds(), "coordinator": h.client.Coordinator(),
	}
	if word.Host != "" {
		fields["told_by"], fields["told"], fields["told_ms_ago"] = word.Host, word.Version.Number, (bootclock.Now() - word.At).Milliseconds()
	}
	h.log.WithFields(fields).Info("requests are admitted by this configuration; without told_by, no other host has said anything of it")
}
