package kvmemory

import (
	"cmp"
	"slices"
	"time"
)

// Copy is a ledger as another node knows it.
type Copy struct {
	Epoch        uint64
	Owner        string // node that keeps the ledger
	Reservations []Reservation
	Closed       bool // the ledger grants no more
	keptAt       time.Duration
	sealed       bool
}

// Copies are the ledgers of other nodes of which this one is a witness. It is not safe for concurrent use.
type Copies struct{ byEpoch map[uint64]*Copy }

// NewCopies returns no copies.
func NewCopies() *Copies { return &Copies{byEpoch: map[uint64]*Copy{}} }

// Keep adds reservations to a copy, and reports whether it did. Whole is set if they are all that the ledger has.
func (c *Copies) Keep(now time.Duration, owner string, epoch uint64, whole bool, reservations []Reservation) bool {
	c.expire(now)
	held := c.byEpoch[epoch]
	if held == nil {
		if !whole {
			return false
		}
		held = &Copy{Epoch: epoch, Owner: owner}
		c.byEpoch[epoch] = held
	}
	if held.sealed {
		return false
	}
	held.keptAt = now
	held.Reservations = append(held.Reservations, reservations...)
	return true
}

// HandOver returns the copies for a ledger that the node to keeps. Those of other owners accept no more.
func (c *Copies) HandOver(now time.Duration, to string) []Copy {
	c.expire(now)
	var out []Copy
	for _, held := range c.byEpoch {
		held.sealed = held.sealed || held.Owner != to
		out = append(out, Copy{Epoch: held.Epoch, Owner: held.Owner, Reservations: slices.Clone(held.Reservations)})
	}
	slices.SortFunc(out, func(a, b Copy) int { return cmp.Compare(a.Epoch, b.Epoch) })
	return out
}

// expire removes what nobody will ask for: reservations past their deadline, and ledgers whose nodes have heard of a later one.
func (c *Copies) expire(now time.Duration) {
	for epoch, held := range c.byEpoch {
		held.Reservations = slices.DeleteFunc(held.Reservations, func(r Reservation) bool { return now >= r.Until })
		if len(held.Reservations) == 0 && now-held.keptAt > 2*(LongestUse+joinTime) {
			delete(c.byEpoch, epoch)
		}
	}
}
