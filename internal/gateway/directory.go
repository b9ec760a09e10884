package gateway

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

// LiveHosts is what the coordinator reports on the hosts.
type LiveHosts interface {
	// LiveHosts returns the hosts that do not leave, and whether this is known.
	LiveHosts() ([]string, bool)
	// LastLeaving returns the hosts that leave last if all hosts leave, the last one first.
	LastLeaving() []string
}

// Directory returns the hosts that callers may connect to.
type Directory struct {
	View    *coordinator.FleetView
	Client  LiveHosts
	Self    fleet.Host
	Log     logrus.FieldLogger // nil: nothing is logged
	Metrics tally.Scope        // nil: nothing is counted

	leaving atomic.Bool
	homes   homesDirectory
}

// Leave removes this host from the addresses, unless no other host can be named.
func (d *Directory) Leave() { d.leaving.Store(true) }

// maxAddresses is the largest number of addresses that callers accept.
const maxAddresses = 64

// Addresses returns the addresses, for a caller, of the hosts that serve and do not leave. While
// all hosts leave, those that leave last are named, since callers without an address would keep
// using the hosts that leave first. Of these hosts, it names those that the homes of the routes
// of the name suggest, if there are any. Addresses is never empty.
func (d *Directory) Addresses(q fleet.Lookup) []string {
	hosts := d.staying()
	if len(hosts) == 0 {
		hosts = d.lastLeaving()
	}
	if len(hosts) == 0 {
		hosts = []fleet.Host{d.Self}
	}
	hosts = choose(d.inHomes(hosts, q), q.Zone)
	out := make([]string, 0, len(hosts))
	for _, h := range hosts {
		out = append(out, h.Address)
	}
	return out
}

// Shares of the callers' zone in a response.
const (
	// minHostsOfZone is the number of hosts in a zone from which on its callers are sent there
	// by preference. Fewer would be loaded unevenly.
	minHostsOfZone = 8
	// otherZones is the least share of hosts of other zones, for callers whose zone is lost.
	otherZones = 0.25
)

// choose draws at most maxAddresses of the hosts, by preference those of the caller's zone:
// traffic between zones is dear.
func choose(hosts []fleet.Host, zone string) []fleet.Host {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var near, far []fleet.Host
	for _, h := range hosts {
		if h.Zone == zone {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	if len(near) < minHostsOfZone {
		return hosts[:min(len(hosts), maxAddresses)]
	}
	near = near[:min(len(near), int((1-otherZones)*maxAddresses))]
	others := int(math.Ceil(otherZones / (1 - otherZones) * float64(len(near))))
	return append(near, far[:min(len(far), others)]...)
}

// OthersStay reports whether another host is known that serves and does not leave.
func (d *Directory) OthersStay() bool {
	return slices.ContainsFunc(d.staying(), func(h fleet.Host) bool { return h.Name != d.Self.Name })
}

// staying returns the hosts that do not leave. If the coordinator has not
// replied recently, these are all hosts with an entry.
func (d *Directory) staying() []fleet.Host {
	live, known := d.Client.LiveHosts()
	alive := make(map[string]bool, len(live))
	for _, name := range live {
		alive[name] = true
	}
	var out []fleet.Host
	for name, h := range d.View.Hosts() {
		switch {
		case name == d.Self.Name:
			if !d.leaving.Load() {
				out = append(out, h)
			}
		case alive[name] || (!known && !h.Leaving):
			out = append(out, h)
		}
	}
	return out
}

// lastLeaving returns the half of the hosts that leaves last, as the coordinator reports them,
// or else by the order in which they marked their entries.
func (d *Directory) lastLeaving() []fleet.Host {
	hosts := d.View.Hosts()
	var leaving []fleet.Host
	if _, known := d.Client.LiveHosts(); known {
		for _, name := range d.Client.LastLeaving() {
			if h, ok := hosts[name]; ok {
				leaving = append(leaving, h)
			}
		}
		return leaving
	}
	for _, h := range hosts {
		if h.Leaving {
			leaving = append(leaving, h)
		}
	}
	slices.SortFunc(leaving, func(a, b fleet.Host) int { return cmp.Compare(b.ModRevision, a.ModRevision) })
	return leaving[:(len(leaving)+1)/2]
}
