package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/seam/internal/peer"
)

// watchersPerZone is the number of hosts of an availability zone that watch the
// object API and relay to the others. Four leave two after a planned stop and
// a failure at once.
const watchersPerZone = 4

// topology is the place of this host among the members. It is a function of
// the member list alone, so hosts with the same list agree without a message;
// while lists differ there are a few watchers more or less for a moment.
type topology struct {
	self     peer.Member
	others   []peer.Member // all but self and suspects
	zone     []peer.Member // those of others in this availability zone
	watchers []string      // names of this zone's watchers, by rank
	rank     int           // rank of self in watchers, -1 if it is none
	near     []string      // hosts of the zone that this host exchanges digests with
	far      []string      // hosts anywhere that it exchanges digests with
}

// The numbers of hosts of the zone and anywhere that a host exchanges digests
// with. They bound the connections of a host. Every host chooses others, so the
// hosts stay connected through any few that fail; in a small fleet all exchange
// with all.
const (
	nearNeighbours = 4
	farNeighbours  = 8
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
	t.near = neighboursOf(self, t.zone, nearNeighbours)
	t.far = neighboursOf(self, t.others, farNeighbours)
	return t
}

// ranked is a member with its rank.
type ranked struct {
	rank uint64
	name string
}

// first returns the names of the n members with the smallest ranks.
func first(members []peer.Member, n int, rank func(peer.Member) uint64) []string {
	list := make([]ranked, len(members))
	for i, m := range members {
		list[i] = ranked{rank: rank(m), name: m.ID.Name}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
	})
	names := make([]string, min(n, len(list)))
	for i := range names {
		names[i] = list[i].name
	}
	return names
}

// neighboursOf returns the n members that rank first for this host.
func neighboursOf(self peer.Member, members []peer.Member, n int) []string {
	return first(members, n, func(m peer.Member) uint64 { return xxhash.Sum64String(self.ID.Name + "/" + m.ID.Name) })
}

// watchersOf returns the watchers among the members of one zone.
func watchersOf(zone []peer.Member) []string { return first(zone, watchersPerZone, score) }

func score(m peer.Member) uint64 { return xxhash.Sum64String(m.Zone + "/" + m.ID.Name) }

// share returns the members of the zone that this host, as a watcher, is the
// first to relay to. The watchers divide the zone among them.
func (t topology) share() []string {
	if t.rank < 0 {
		return nil
	}
	var names []string
	for _, m := range t.zone {
		if score(m)%uint64(len(t.watchers)) == uint64(t.rank) {
			names = append(names, m.ID.Name)
		}
	}
	return names
}

// relays returns the watchers of every zone, for collecting acknowledgements.
func relays(members []peer.Member) []string {
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

// samePlaces reports whether two member lists give the same topology.
func samePlaces(a, b []peer.Member) bool {
	return slices.EqualFunc(a, b, func(x, y peer.Member) bool {
		return x.ID == y.ID && x.State == y.State && x.Zone == y.Zone
	})
}
