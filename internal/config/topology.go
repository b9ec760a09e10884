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
	var ranked []peer.Member
	for _, m := range members {
		if m.ID.Name != self.ID.Name && m.State != peer.StateSuspect {
			t.others = append(t.others, m)
			if m.Zone == self.Zone {
				t.zone = append(t.zone, m)
			}
		}
	}
	ranked = append(append(ranked, t.zone...), self)
	t.watchers = watchersOf(ranked)
	t.rank = slices.Index(t.watchers, self.ID.Name)
	t.near = neighboursOf(self, t.zone, nearNeighbours)
	t.far = neighboursOf(self, t.others, farNeighbours)
	return t
}

// neighboursOf returns the n members that rank first for this host.
func neighboursOf(self peer.Member, members []peer.Member, n int) []string {
	rank := func(m peer.Member) uint64 { return xxhash.Sum64String(self.ID.Name + "/" + m.ID.Name) }
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b peer.Member) int { return cmp.Compare(rank(a), rank(b)) })
	names := make([]string, min(n, len(ranked)))
	for i := range names {
		names[i] = ranked[i].ID.Name
	}
	return names
}

// watchersOf returns the watchers among the members of one zone.
func watchersOf(zone []peer.Member) []string {
	ranked := slices.Clone(zone)
	slices.SortFunc(ranked, func(a, b peer.Member) int {
		return cmp.Or(cmp.Compare(score(a), score(b)), cmp.Compare(a.ID.Name, b.ID.Name))
	})
	names := make([]string, min(watchersPerZone, len(ranked)))
	for i := range names {
		names[i] = ranked[i].ID.Name
	}
	return names
}

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
