package gateway

import (
	"strings"
	"sync"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/homes"
	"buckthornseam.dev/seam/internal/fleet"
)

// homesDirectory remembers which callers are sent outside the homes, to log each change once.
type homesDirectory struct {
	mu      sync.Mutex
	outside map[outsideKey]bool
}

// outsideKey identifies callers: those of a region with hosts may be within the homes of a name while others are not.
type outsideKey struct{ name, region string }

// inHomes returns those hosts that are in the caller's region, or in a region that is a home of every route of the name that has
// homes. It returns all hosts if no route has, or if none of these hosts runs.
func (d *Directory) inHomes(hosts []fleet.Host, q fleet.Lookup) []fleet.Host {
	common := homesOfName(d.View.Config(), q.Name)
	if common == nil {
		return hosts
	}
	named := withinRegions(hosts, common, q.Region, d.View.Region)
	d.recordHomes(q, common, len(named) == 0)
	if len(named) == 0 {
		return hosts
	}
	return named
}

// homesOfName returns the regions that are a home of every route of a host name that has homes, nil if none has.
func homesOfName(config *fleet.Config, name string) []string {
	var lists [][]string
	for _, r := range config.RoutesOf(name) {
		lists = append(lists, r.Homes)
	}
	return homes.Common(lists...)
}

// withinRegions returns the hosts in one of the homes or in the caller's region. Hosts of a zone without a region are in neither.
func withinRegions(hosts []fleet.Host, common []string, caller string, regionOf func(zone string) string) []fleet.Host {
	var out []fleet.Host
	for _, h := range hosts {
		region := regionOf(h.Zone)
		if homes.Allows(common, region) || region != "" && region == caller {
			out = append(out, h)
		}
	}
	return out
}

// recordHomes counts a look-up of a name with homes, and logs when hosts outside the homes begin or cease to be named.
func (d *Directory) recordHomes(q fleet.Lookup, common []string, outside bool) {
	region := d.countedRegion(q.Region)
	if d.Metrics != nil {
		named := map[bool]string{false: "home", true: "other"}[outside]
		d.Metrics.Tagged(map[string]string{"region": region, "named": named}).Counter("directory_homes").Inc(1)
	}
	key := outsideKey{q.Name, region}
	d.homes.mu.Lock()
	changed := d.homes.outside[key] != outside
	if d.homes.outside == nil {
		d.homes.outside = map[outsideKey]bool{}
	}
	if d.homes.outside[key] = outside; !outside {
		delete(d.homes.outside, key)
	}
	d.homes.mu.Unlock()
	if changed && d.Log != nil {
		d.Log.WithFields(logrus.Fields{"event": "directory_outside_homes", "name": q.Name, "homes": strings.Join(common, ","), "caller_region": q.Region, "outside": outside}).
			Warn("whether hosts outside the homes of a name are named has changed")
	}
}

// countedRegion returns a region as a tag of a metric: callers state any.
func (d *Directory) countedRegion(region string) string {
	for _, known := range d.View.Regions() {
		if known == region {
			return region
		}
	}
	return "unknown"
}
