package coordinator

import (
	"time"

	"buckthornseam.dev/coord/kvmemory"
)

// Reservation is memory of an engine that a host holds.
type Reservation struct {
	Host        string `json:"h,omitempty"` // empty: the host that reports
	Incarnation string `json:"i,omitempty"`
	Seq         uint64 `json:"s"`
	Engine      string `json:"e"` // of runOf
	Tokens      int64  `json:"n"`
	LeftMS      int64  `json:"l"` // until kvmemory.EndOf the deadline of the request
}

// LedgerCopy is what a host knows of the ledger of a coordinator.
type LedgerCopy struct {
	Epoch        uint64        `json:"e"`
	Reservations []Reservation `json:"r,omitempty"`
	Closed       bool          `json:"c,omitempty"` // the coordinator grants no more: it reports to another one
}

// MemoryReport is what a host holds of the memory of engines; always complete. A host of an earlier version reports none.
type MemoryReport struct {
	Asked   uint64        `json:"a,omitempty"` // highest number of a reservation given out
	Pending []uint64      `json:"p,omitempty"` // numbers asked for without an answer yet
	Held    []Reservation `json:"h,omitempty"`
	Epoch   uint64        `json:"e,omitempty"` // last one told by a coordinator
	Copies  []LedgerCopy  `json:"c,omitempty"` // if the coordinator asked for them, or this host was the coordinator
}

// memoryRequest asks the coordinator for memory at one of several engines.
type memoryRequest struct {
	Seq         uint64   `json:"s"`
	ID          string   `json:"id"`
	Incarnation string   `json:"i"`
	Engines     []string `json:"e"` // of runOf, the preferred one first
	Tokens      int64    `json:"n"`
	DueMS       int64    `json:"d"`
	LeftMS      int64    `json:"l"`
	PrefillMS   int64    `json:"p,omitempty"` // expected time of a long prefill at the first engine
}

type memoryReply struct {
	Engine string `json:"e,omitempty"` // empty: denied
	Reason string `json:"r,omitempty"`
	FreeMS int64  `json:"f,omitempty"` // until memory is known to become free; 0: unknown
}

// memoryCopy tells the witness reservations that are about to be granted.
type memoryCopy struct {
	Epoch        uint64        `json:"e"`
	Whole        bool          `json:"w,omitempty"` // Reservations are all that the ledger has
	Reservations []Reservation `json:"r,omitempty"`
}

type memoryCopyReply struct {
	Kept bool `json:"k,omitempty"`
}

func toWire(now time.Duration, in []kvmemory.Reservation) []Reservation {
	out := make([]Reservation, 0, len(in))
	for _, r := range in {
		out = append(out, Reservation{Host: r.Node, Incarnation: r.Incarnation, Seq: r.Seq, Engine: r.Engine, Tokens: r.Tokens, LeftMS: (r.Until - now).Milliseconds() + 1})
	}
	return out
}

// fromWire leaves out what no host can mean.
func fromWire(now time.Duration, in []Reservation) []kvmemory.Reservation {
	out := make([]kvmemory.Reservation, 0, len(in))
	for _, r := range in {
		if r.Tokens > 0 && r.LeftMS > 0 && r.LeftMS < maxLeftMS && r.Engine != "" {
			out = append(out, kvmemory.Reservation{Key: kvmemory.Key{Node: r.Host, Incarnation: r.Incarnation, Seq: r.Seq}, Engine: r.Engine, Tokens: r.Tokens, Until: now + time.Duration(r.LeftMS)*time.Millisecond})
		}
	}
	return out
}

// maxLeftMS bounds deadlines, so that their sums with the clock do not overflow.
const maxLeftMS = int64(24 * time.Hour / time.Millisecond)
