package gateway

import (
	"context"
	"math/rand/v2"
	"slices"

	"buckthornseam.dev/coord/homes"
	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// ReachingHosts is what the coordinator reports on the hosts that may help.
type ReachingHosts interface {
	LiveHosts
	// CutOffHosts returns the hosts that have lost their way to all targets.
	CutOffHosts() []string
}

// HelperHosts implements Helpers by the other hosts of the fleet.
type HelperHosts struct {
	Self   fleet.Host
	View   *coordinator.FleetView
	Client ReachingHosts
	Sender Sender // to relay addresses
}

// Forward implements Helpers.
func (h *HelperHosts) Forward(ctx context.Context, address string, f target.ForwardRequest, idOf target.ResponseIDFunc) (*target.ForwardResponse, error) {
	return h.Sender.Forward(ctx, address, f, idOf)
}

// Choose implements Helpers.
func (h *HelperHosts) Choose(tried map[string]bool, regions []string) (fleet.Host, bool) {
	live, known := h.Client.LiveHosts()
	return chooseHelper(helperChoice{
		self: h.Self, hosts: h.View.Hosts(), live: live, known: known, cutOff: h.Client.CutOffHosts(), tried: tried, regions: regions, regionOf: h.View.Region,
	}, rand.Float64)
}

// helperChoice is what the choice of a helper rests on.
type helperChoice struct {
	self   fleet.Host
	hosts  map[string]fleet.Host
	live   []string // hosts that report to the coordinator; only if known
	known  bool
	cutOff []string // hosts that have lost their way to all targets
	tried  map[string]bool
	// regions are those in which the helper may be; nil: all.
	regions  []string
	regionOf func(zone string) string // only if regions is not nil
}

// zoneShare is the least processor time of the helpers in this host's zone, as a share of that of the hosts there that
// need one, for which they are preferred: traffic between zones is dear, but helpers have callers of their own.
const zoneShare = 0.5

func (c helperChoice) inRegions(h fleet.Host) bool {
	return c.regions == nil || homes.Allows(c.regions, c.regionOf(h.Zone))
}

// chooseHelper draws one of the hosts that reach targets, by their processor time.
func chooseHelper(c helperChoice, random func() float64) (fleet.Host, bool) {
	var near, all []fleet.Host
	nearWeight, nearNeed, allWeight := 0.0, c.self.Weight, 0.0
	for name, host := range c.hosts {
		cutOff := slices.Contains(c.cutOff, name)
		if cutOff && host.Zone == c.self.Zone && name != c.self.Name {
			nearNeed += host.Weight
		}
		if name == c.self.Name || cutOff || c.tried[name] || host.Leaving || host.RelayAddress == "" || c.known && !slices.Contains(c.live, name) || !c.inRegions(host) {
			continue
		}
		all, allWeight = append(all, host), allWeight+host.Weight
		if host.Zone == c.self.Zone {
			near, nearWeight = append(near, host), nearWeight+host.Weight
		}
	}
	if nearWeight > 0 && nearWeight >= zoneShare*nearNeed {
		all, allWeight = near, nearWeight
	}
	if len(all) == 0 {
		return fleet.Host{}, false
	}
	point := random() * allWeight
	for _, host := range all {
		if point -= host.Weight; point < 0 {
			return host, true
		}
	}
	return all[len(all)-1], true
}
