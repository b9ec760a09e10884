package placement

import (
	"strings"
	"time"
)

// State is the state of a model on a target according to the target's report.
type State string

// The states of a replica. A replica in StateFailed uses no memory.
const (
	StateLoading State = "loading"
	StateReady   State = "ready"
	StateFailed  State = "failed"

	// StateUnloading means that the replica takes no new requests but still uses
	// its memory.
	StateUnloading State = "unloading"
)

// CacheTier is the place from which a target loads the weights of a model.
type CacheTier int

// The places of weights, slowest first. CacheRemote is the weight store.
const (
	CacheRemote CacheTier = iota
	CacheDisk
	CacheMemory
)

// Replica is one model in a report.
type Replica struct {
	State State
	Order string // id of the order that loaded it, see Order.Decision
	Bytes int64
}

// Report is a target's description of its own state at TakenAt.
type Report struct {
	Incarnation string
	Sequence    uint64
	MaxFence    uint64
	Capacity    int64 // bytes, 0 if not reported
	Used        int64 // bytes
	Running     int   // requests
	Waiting     int   // requests
	Replicas    map[string]Replica
	Cached      map[string]CacheTier
	TakenAt     time.Duration // on the receiver's clock, not later than the state described
	Relayed     bool          // received through another host, so that TakenAt is uncertain
}

// idSeparator separates the decision id of a slot from the rest of an order id. In the
// demand for a base model it separates the host from the adapter that needs the model.
const idSeparator = "/"

// decisionOf returns the decision id of the slot that an order id belongs to.
func decisionOf(order string) string {
	d, _, _ := strings.Cut(order, idSeparator)
	return d
}

// showsOrder reports whether a replica in the report was loaded by an order for the
// slot with the given decision id.
func (r *Report) showsOrder(decision string) bool {
	for _, replica := range r.Replicas {
		if decisionOf(replica.Order) == decision {
			return true
		}
	}
	return false
}

// holds reports whether the model uses memory on the target.
func (r *Report) holds(model string) bool {
	replica, ok := r.Replicas[model]
	return ok && replica.State != StateFailed
}

// newerThan reports whether r supersedes other.
func (r *Report) newerThan(other *Report) bool {
	if other == nil || r.Incarnation != other.Incarnation {
		return other == nil || r.TakenAt > other.TakenAt
	}
	return r.Sequence > other.Sequence || r.Sequence == other.Sequence && r.TakenAt > other.TakenAt
}

// UsedBytes returns the memory to count as used: for each slot the larger of its
// assigned and its reported memory, and all other memory that the target reports as
// used. Report may be nil.
func (r *TargetRecord) UsedBytes(report *Report) int64 {
	assigned := r.AssignedBytes()
	if report == nil {
		return assigned
	}
	var reported, larger int64
	for _, s := range r.Slots {
		held := int64(0)
		if report.holds(s.Model) {
			held = report.Replicas[s.Model].Bytes
		}
		reported += held
		larger += max(s.Bytes, held)
	}
	other := max(report.Used-reported, 0)
	return larger + other
}

// EmptyParams holds the parameters of Slot.ProvenEmpty besides the report.
type EmptyParams struct {
	ChecksFence bool
	// RetiredAt is when this process first saw that the slot is retired. After a
	// further SendWindow plus OrderTTL, no order can still take effect that was sent
	// by a process that did not know of the retirement.
	RetiredAt  time.Duration
	SendWindow time.Duration
	OrderTTL   time.Duration
}

// ProvenEmpty reports whether the report proves that a retired slot is empty and
// stays empty.
//
// For a target that checks fencing tokens, the proof is that the target has seen
// the fencing token of the retirement, because every load order for the slot
// carries a smaller one.
//
// For a target that ignores fencing tokens, the proof is that an earlier report
// showed the load order and a later report of the same incarnation no longer shows
// the model. Such a slot has only one load order id, and retries of an order that
// was carried out have no effect. Without an earlier report of that kind, all
// orders must have expired: SendWindow plus OrderTTL must have passed since
// RetiredAt on this process's monotonic clock.
func (s *Slot) ProvenEmpty(report *Report, params EmptyParams) bool {
	if s.Phase != PhaseRetire || report == nil || report.holds(s.Model) {
		return false
	}
	if params.ChecksFence {
		return report.MaxFence >= s.Fence
	}
	if s.SeenIncarnation != "" && report.Incarnation == s.SeenIncarnation {
		return report.Sequence > s.SeenSequence
	}
	return !report.Relayed && report.TakenAt >= params.RetiredAt+params.SendWindow+params.OrderTTL
}
