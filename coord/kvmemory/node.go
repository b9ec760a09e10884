package kvmemory

import (
	"maps"
	"slices"
	"time"
)

// lingerTime is how long the memory of a request that was broken off stays reserved: engines go on for a moment.
const lingerTime = 2 * time.Second

// EndOf returns until when a request with the given deadline may use memory: one that is broken off at its deadline goes on for
// lingerTime at the engine. It is the Until of a Request and of its Reservation.
func EndOf(deadline time.Duration) time.Duration { return deadline + lingerTime }

// NodeMemory holds the reservations of a node. It is not safe for concurrent use.
type NodeMemory struct {
	asked   uint64
	pending map[uint64]bool
	held    map[uint64]Reservation
	epoch   uint64
	epochAt time.Duration
}

// NewNodeMemory returns the reservations of a node that holds none.
func NewNodeMemory() *NodeMemory {
	return &NodeMemory{pending: map[uint64]bool{}, held: map[uint64]Reservation{}}
}

// Begin returns the number of a new request to the ledger.
func (m *NodeMemory) Begin() uint64 {
	m.asked++
	m.pending[m.asked] = true
	return m.asked
}

// GiveUp ends a request that was denied or not answered.
func (m *NodeMemory) GiveUp(seq uint64) { delete(m.pending, seq) }

// Grant records that a request was granted.
func (m *NodeMemory) Grant(seq uint64, engine string, tokens int64, until time.Duration) {
	delete(m.pending, seq)
	m.held[seq] = Reservation{Key: Key{Seq: seq}, Engine: engine, Tokens: tokens, Until: until}
}

// Release gives a reservation back. If the request was broken off, that is done after a while.
func (m *NodeMemory) Release(now time.Duration, seq uint64, brokenOff bool) {
	r, ok := m.held[seq]
	if !ok {
		return
	}
	if !brokenOff {
		delete(m.held, seq)
		return
	}
	r.Until = min(r.Until, now+lingerTime)
	m.held[seq] = r
}

// LearnEpoch records the epoch of the ledger that the node reports to; 0: it tells none now.
func (m *NodeMemory) LearnEpoch(now time.Duration, epoch uint64) {
	if epoch != 0 {
		m.epoch, m.epochAt = epoch, now
	}
}

// Report returns what the node tells the ledger, and whether that is anything at all.
func (m *NodeMemory) Report(now time.Duration, incarnation string) (r NodeReport, any bool) {
	maps.DeleteFunc(m.held, func(_ uint64, r Reservation) bool { return now >= r.Until })
	r = NodeReport{Incarnation: incarnation, Asked: m.asked, Pending: slices.Collect(maps.Keys(m.pending)), Held: slices.Collect(maps.Values(m.held))}
	if now-m.epochAt <= EndOf(LongestUse) {
		r.Epoch = m.epoch
	}
	return r, m.asked > 0 || r.Epoch != 0
}
