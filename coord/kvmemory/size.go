// Package kvmemory keeps the tokens of all requests at an engine within its memory. Small requests are bounded by the
// slots of the engine. A large one needs a reservation, granted by a coordinator that keeps a Ledger; a NodeMemory holds
// the reservations of a node, and Copies what a node keeps for the ledgers of others. It is a core without I/O.
package kvmemory

// Shares of an engine's memory.
const (
	smallShare = 4 // small requests that fill all slots once take the memory divided by this
	// overrun is how many small requests may be at an engine, as a multiple of its slots: nodes choose at the same time by
	// counts that are up to 0.8 s old. A model of the choice gave 2.4 with 295 nodes and 60 % of the slots in use.
	overrun = 2.5
)

// SmallLimit returns the largest number of tokens of a request that needs no reservation. It returns 0 if the memory
// or the slots are unknown: no request needs one then.
func SmallLimit(capacity int64, slots int) int64 {
	if capacity <= 0 || slots <= 0 {
		return 0
	}
	return max(1, capacity/int64(smallShare*slots))
}

// Largest returns the largest number of tokens that a reservation may have.
func Largest(capacity int64) int64 { return capacity - capacity/smallShare }

// Room is the memory of an engine that large requests may take.
type Room struct {
	Together int64 // tokens of all reservations
	Alone    int64 // tokens of a reservation while there is no other one
}

// RoomFor returns the room of an engine with the given memory, at which small requests are, as far as known.
func RoomFor(capacity int64, slots, small int) Room {
	limit := float64(SmallLimit(capacity, slots))
	set := max(overrun*float64(slots), float64(small)) * limit
	alone := max(float64(slots), float64(small)) * limit
	return Room{Together: max(0, capacity-int64(set)), Alone: max(0, min(Largest(capacity), capacity-int64(alone)))}
}

// scaled returns the part of the room that a group of nodes may grant. Another group may grant at the same engine, so nothing is alone
// there.
func (r Room) scaled(share float64) Room {
	if share >= 1 {
		return r
	}
	return Room{Together: int64(float64(r.Together) * share)}
}
