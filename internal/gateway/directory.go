package gateway

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

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
	// LastKnownHosts returns all hosts in the last list, and how old it is. It returns false if there has been none.
	LastKnownHosts() (hosts []string, age time.Duration, ok bool)
}

// Directory returns the hosts that callers may connect to.
type Directory struct {
	View   *coordinator.FleetView
	Client LiveHosts
	Self   fleet.Host
	// Contact is the contact time of the deployment. The last list of hosts is used for somewhat longer after the coordinator
	// has fallen silent.
	Contact time.Duration
	Log     logrus.FieldLogger // nil: nothing is logged
	Metrics tally.Scope        // nil: nothing is counted

	leaving atomic.Bool
	source  atomic.Int32 // what the last answer rested on
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

// listMargin is for how long after the contact time the last list of hosts is used. It may name hosts that had then been silent
// for 1.2 s, and at a coordinator of the previous version for the 0.1 s until it drops them; hosts that have been gone for the
// contact time and 3 s must not be named.
const listMargin = 1400 * time.Millisecond

// defaultContact is the contact time of a deployment that states none.
const defaultContact = 4 * time.Second

// staying returns the hosts that do not leave, as the coordinator last told. After the contact time without a list, this is this
// host alone: the entries of other hosts tell nothing of whether they run.
func (d *Directory) staying() []fleet.Host {
	live, known := d.Client.LiveHosts()
	source := fromCoordinator
	switch {
	case !d.listIsYoung(): // also in a reply that this host read only after it had been suspended
		live, source = nil, fromNobody
	case !known:
		source = fromLastList
	}
	d.recordSource(source)
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
		case alive[name] && (known || !h.Leaving):
			out = append(out, h)
		}
	}
	return out
}

// listSource is what answers rest on.
type listSource int32

// The sources. Before the first answer there is none.
const (
	noSource        listSource = iota
	fromCoordinator            // a list that the coordinator has just sent or confirmed
	fromLastList               // its last list, while it is silent
	fromNobody                 // nothing is known of other hosts; this one alone is named
)

func (s listSource) String() string {
	return [...]string{"none", "coordinator", "last list", "this host alone"}[s]
}

// recordSource logs when answers begin to rest on something else.
func (d *Directory) recordSource(s listSource) {
	before := listSource(d.source.Swap(int32(s)))
	if before != s && d.Log != nil {
		d.Log.WithFields(logrus.Fields{"event": "directory_source", "from": before.String(), "to": s.String()}).Info("the directory names hosts by another source")
	}
}

// listIsYoung reports whether the hosts in the last list may be named.
func (d *Directory) listIsYoung() bool {
	_, age, ok := d.Client.LastKnownHosts()
	return ok && age < cmp.Or(d.Contact, defaultContact)+listMargin
}

// lastLeaving returns the half of the hosts that leaves last, as the coordinator reports them, or else, of those in its last list,
// by the order in which they marked their entries.
func (d *Directory) lastLeaving() []fleet.Host {
	hosts := d.View.Hosts()
	var leaving []fleet.Host
	if _, known := d.Client.LiveHosts(); known && d.listIsYoung() {
		for _, name := range d.Client.LastLeaving() {
			if h, ok := hosts[name]; ok {
				leaving = append(leaving, h)
			}
		}
		return leaving
	}
	var known []string
	if d.listIsYoung() {
		known, _, _ = d.Client.LastKnownHosts()
	}
	for name, h := range hosts {
		if h.Leaving && (name == d.Self.Name || slices.Contains(known, name)) {
			leaving = append(leaving, h)
		}
	}
	slices.SortFunc(leaving, func(a, b fleet.Host) int { return cmp.Compare(b.ModRevision, a.ModRevision) })
	return leaving[:(len(leaving)+1)/2]
}
