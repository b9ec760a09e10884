package placement

import (
	"strings"
	"time"
)

// State is the state of a model on a target as its report shows it.
type State string

// The states of a replica. StateFailed holds no memory.
const (
	StateLoading State = "loading"
	StateReady   State = "ready"
	StateFailed  State = "failed"

	// StateUnloading takes no new requests and still holds its memory.
	StateUnloading State = "unloading"
)

// Cache says where a target finds the weights of a model.
type Cache int

// The places of cached weights, slowest first.
const (
	CacheRemote Cache = iota
	CacheDisk
	CacheMemory
)

// Replica is one model in a report.
type Replica struct {
	State State
	Order string // id of the order that loaded it, see Order.Decision
	Bytes int64
}

// Report is a target's own word on its state at TakenAt.
type Report struct {
	Incarnation string
	Sequence    uint64
	MaxFence    uint64
	Capacity    int64 // bytes, 0 if not told
	Used        int64 // bytes
	Running     int   // requests
	Waiting     int   // requests
	Replicas    map[string]Replica
	Cached      map[string]Cache
	TakenAt     time.Duration // not later than the state described, on the receiver's clock
	Relayed     bool          // came through another host: TakenAt is not certain
}

// orderSeparator joins the decision of a slot and the number of an order.
const orderSeparator = "/"

// decisionOf returns the decision behind an order id.
func decisionOf(order string) string {
	d, _, _ := strings.Cut(order, orderSeparator)
	return d
}

// showsOrder reports whether the target shows an order of the slot.
func (r *Report) showsOrder(decision string) bool {
	for _, rep := range r.Replicas {
		if decisionOf(rep.Order) == decision {
			return true
		}
	}
	return false
}

// holds reports whether the model takes memory on the target.
func (r *Report) holds(model string) bool {
	rep, ok := r.Replicas[model]
	return ok && rep.State != StateFailed
}

// newerThan reports whether r supersedes other.
func (r *Report) newerThan(other *Report) bool {
	if other == nil || r.Incarnation != other.Incarnation {
		return other == nil || r.TakenAt > other.TakenAt
	}
	return r.Sequence > other.Sequence || r.Sequence == other.Sequence && r.TakenAt > other.TakenAt
}

// UsedBytes returns the memory to count as used: for each slot the larger of
// decided and reported, and whatever else the target reports. Rep may be nil.
func (r *TargetRecord) UsedBytes(rep *Report) int64 {
	decided := r.DecidedBytes()
	if rep == nil {
		return decided
	}
	var reported, larger int64
	for _, s := range r.Slots {
		have := int64(0)
		if rep.holds(s.Model) {
			have = rep.Replicas[s.Model].Bytes
		}
		reported += have
		larger += max(s.Bytes, have)
	}
	other := max(rep.Used-reported, 0)
	return larger + other
}

// GoneRule holds what Slot.Gone needs besides the report.
type GoneRule struct {
	ChecksFence bool
	// RetiredAt is when this process first knew the slot to be retired.
	// SendWindow plus OrderLife later every order sent by a process that did
	// not know it has ended.
	RetiredAt  time.Duration
	SendWindow time.Duration
	OrderLife  time.Duration
}

// Gone reports whether the report proves that a retired slot is empty and
// stays empty.
//
// A target that checks fencing numbers proves it by having seen the number of
// the retirement: every load order for the slot carries a smaller one.
//
// A target that ignores them proves it if it showed the load order before the
// retirement and, in the same incarnation, no longer shows it: repeats of an
// order carried out change nothing, and such a slot gets one load order only.
// Failing that, the longest life of an order must have passed since the
// retirement was known, counted on this process's monotonic clock.
func (s *Slot) Gone(rep *Report, rule GoneRule) bool {
	if s.Phase != PhaseRetire || rep == nil || rep.holds(s.Model) {
		return false
	}
	if rule.ChecksFence {
		return rep.MaxFence >= s.Fence
	}
	if s.SeenIncarnation != "" && rep.Incarnation == s.SeenIncarnation {
		return rep.Sequence > s.SeenSequence
	}
	return !rep.Relayed && rep.TakenAt >= rule.RetiredAt+rule.SendWindow+rule.OrderLife
}
