package platformhost

import (
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/homes"
	"buckthornseam.dev/seam/internal/fleet"
)

// maxHomesNotices limits the log lines on homes and zones: names come from operators and targets.
const maxHomesNotices = 1000

// homesLog logs each fault of homes and zones once.
type homesLog struct {
	mu     sync.Mutex
	logged map[string]bool
}

// once reports whether something has not been logged before.
func (l *homesLog) once(what ...string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := strings.Join(what, "\x00")
	if l.logged[key] || len(l.logged) >= maxHomesNotices {
		return false
	}
	if l.logged == nil {
		l.logged = map[string]bool{}
	}
	l.logged[key] = true
	return true
}

// logUnknownHomes logs the homes in a configuration in which the deployment has no zone. Requests bound to them alone are refused.
func (h *Host) logUnknownHomes(c *fleet.Config) {
	for i := range c.Routes {
		h.logUnknownHomesOf("route", c.Routes[i].Name, c.Routes[i].Homes)
	}
	for i := range c.Teams {
		h.logUnknownHomesOf("team", c.Teams[i].Name, c.Teams[i].Homes)
	}
}

func (h *Host) logUnknownHomesOf(kind, name string, regions []string) {
	unknown := homes.Unknown(regions, h.settings.Regions)
	if len(unknown) == 0 || !h.homesLog.once(append([]string{kind, name}, unknown...)...) {
		return
	}
	h.log.WithFields(logrus.Fields{"event": "homes_unknown", kind: name, "homes": strings.Join(regions, ","), "unknown": strings.Join(unknown, ","),
		"none_left": len(unknown) == len(regions)}).Warn("home regions in which the deployment has no zone, or that could not be read")
}

// logZonesWithoutRegion logs the zones of targets that the settings assign to no region, if the settings have regions. Requests with homes are not
// sent there.
func (h *Host) logZonesWithoutRegion(targets map[string]fleet.Target) {
	if len(h.settings.Regions) == 0 {
		return
	}
	for id, t := range targets {
		h.logZone(t.Zone, "target", id)
	}
}

// logHostZones is logZonesWithoutRegion for hosts.
func (h *Host) logHostZones(hosts map[string]fleet.Host) {
	if len(h.settings.Regions) == 0 {
		return
	}
	for name, host := range hosts {
		h.logZone(host.Zone, "peer", name)
	}
}

func (h *Host) logZone(zone, kind, name string) {
	if h.settings.Regions[zone] == "" && h.homesLog.once("zone", zone) {
		h.log.WithFields(logrus.Fields{"event": "zone_without_region", "zone": zone, kind: name}).Warn("the settings give no region for this zone; requests with homes are not sent there")
	}
}
