package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/seam/internal/peer"
)

// watchersPerZone is the number of hosts of an availability zone that watch the object
// API and relay changes to the others. Four leave two after a planned stop and a failure
// at the same time.
const watchersPerZone = 4

// topology is the position of this host among the members. It depends only on the member
// list, so hosts with the same list agree without exchanging messages. While their lists
// differ, a zone may briefly have a few watchers more or less.
type topology struct {
	self            peer.Member
	others          []peer.Member // all but self and suspects
	zone            []peer.Member // the members of others in this availability zone
	watchers        []string      // names of this zone's watchers, by rank
	rank            int           // index of self in watchers, -1 if it is not one of them
	zoneNeighbours  []string      // hosts of the zone that this host exchanges digests with
	fleetNeighbours []string      // hosts of any zone that this host exchanges digests with
}

// Bounds of the neighbours in the zone and in the whole fleet that a host exchanges
// digests with. They bound the connections of a host. Each host chooses its own set, so
// the fleet stays connected when any few hosts fail. In a small fleet, every host
// exchanges with every other.
const (
	maxZoneNeighbours  = 4
	maxFleetNeighbours = 8
)

func newTopology(self peer.Member, members []peer.Member) topology {
	t := topology{self: self, rank: -1}
	for _, m := range members {
		if m.ID.Name != self.ID.Name && m.State != peer.StateSuspect {
			t.others = append(t.others, m)
			if m.Zone == self.Zone {
				t.zone = append(t.zone, m)
			}
		}
	}
	t.watchers = watchersOf(append(slices.Clone(t.zone), self))
	t.rank = slices.Index(t.watchers, self.ID.Name)
	t.zoneNeighbours = neighboursOf(self, t.zone, maxZoneNeighbours)
	t.fleetNeighbours = neighboursOf(self, t.others, maxFleetNeighbours)
	return t
}

// ranked is the name of a member with its rank.
type ranked struct {
	rank uint64
	name string
}

// lowestRanked returns the names of the n members with the smallest ranks.
func lowestRanked(members []peer.Member, n int, rank func(peer.Member) uint64) []string {
	byRank := make([]ranked, len(members))
	for i, m := range members {
		byRank[i] = ranked{rank: rank(m), name: m.ID.Name}
	}
	slices.SortFunc(byRank, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	names := make([]string, min(n, len(byRank)))
	for i := range names {
		names[i] = byRank[i].name
	}
	return names
}

// neighboursOf returns the n members with the smallest ranks for this host.
func neighboursOf(self peer.Member, members []peer.Member, n int) []string {
	return lowestRanked(members, n, func(m peer.Member) uint64 { return xxhash.Sum64String(self.ID.Name + "/" + m.ID.Name) })
}

// watchersOf returns the watchers of a zone, given its members.
func watchersOf(zone []peer.Member) []string { return lowestRanked(zone, watchersPerZone, zoneRank) }

func zoneRank(m peer.Member) uint64 { return xxhash.Sum64String(m.Zone + "/" + m.ID.Name) }

// relayHosts returns the hosts that this host pushes changes to if it is a watcher. The
// watchers of a zone divide its hosts among themselves.
func (t topology) relayHosts() []string {
	if t.rank < 0 {
		return nil
	}
	var names []string
	for _, m := range t.zone {
		if zoneRank(m)%uint64(len(t.watchers)) == uint64(t.rank) {
			names = append(names, m.ID.Name)
		}
	}
	return names
}

// allWatchers returns the watchers of all zones. They are asked for acknowledgements.
func allWatchers(members []peer.Member) []string {
	zones := make(map[string][]peer.Member)
	for _, m := range members {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	var names []string
	for _, zone := range zones {
		names = append(names, watchersOf(zone)...)
	}
	slices.Sort(names)
	return names
}

// sameTopology reports whether two member lists lead to the same topology.
func sameTopology(a, b []peer.Member) bool {
	return slices.EqualFunc(a, b, func(x, y peer.Member) bool {
		return x.ID == y.ID && x.State == y.State && x.Zone == y.Zone
	})
}
