// Package placement is the core that decides which model is loaded on which
// target. It does no input or output and reads no clock: records, reports and
// wants go in with the monotonic time, and writes, reads and orders come out.
//
// # What is stored
//
// Two kinds of record, each changed by conditional update only:
//
//   - a TargetRecord for each target holds its slots. A slot is memory decided
//     for one model on that target, whether the model is loaded there now or
//     not. Slots never sum to more than the memory of the target.
//   - a ClaimRecord for each base model holds the claims of the model and of
//     its adapters. There are never more claims than replicas allowed.
//
// # Why no model is loaded beyond the decisions
//
// A decision reads the target record at version v, adds a claim that names v,
// and then adds the slot by an update conditional on v. A claim is dropped only
// when the target record is seen at a version above v without the slot: the
// slot can then never appear, as its update is conditional on v, or has gone
// again. So every slot has its claim at every instant, whoever decides, and
// however long a decider was paused between its two writes.
//
// A slot is removed only on the target's own word that the model is gone and
// that no order sent for the slot can still be taken on; see Slot.Gone. A late
// or repeated order can therefore only load a model into the slot that was
// decided for it.
package placement

import "fmt"

// Phase is the stage of a slot.
type Phase string

// The phases of a slot. Within PhaseHold the model may be loaded, and on
// targets that check fencing numbers also unloaded and loaded again, without a
// write. PhaseRetire is final: nothing is loaded any more, and the slot goes
// once the target shows that it is empty.
const (
	PhaseHold   Phase = "hold"
	PhaseRetire Phase = "retire"
)

// Slot is memory of a target decided for a model.
type Slot struct {
	Decision string `json:"decision"` // unique id, also of the claim
	Model    string `json:"model"`
	Base     string `json:"base,omitempty"` // base model of an adapter
	Bytes    int64  `json:"bytes"`
	Phase    Phase  `json:"phase"`
	Fence    uint64 `json:"fence"` // fencing number of the record when Phase was entered

	// SeenIncarnation and SeenSequence name the report in which the target
	// showed the load order of the slot before it was retired. Only set for
	// targets that ignore fencing numbers.
	SeenIncarnation string `json:"seen_incarnation,omitempty"`
	SeenSequence    uint64 `json:"seen_sequence,omitempty"`
}

// base returns the base model whose record holds the claim of the slot.
func (s *Slot) base() string {
	if s.Base != "" {
		return s.Base
	}
	return s.Model
}

// TargetRecord is the stored placement of one target.
type TargetRecord struct {
	Target string `json:"target"`
	Fence  uint64 `json:"fence"` // fencing number of orders, rises with each retired slot
	Slots  []Slot `json:"slots"`
}

// Claim is one replica counted for a model.
type Claim struct {
	Decision      string `json:"decision"`
	Model         string `json:"model"`
	Target        string `json:"target"`
	TargetVersion uint64 `json:"target_version"` // precondition of the update that adds the slot
}

// ClaimRecord is the stored replica count of a base model and its adapters.
type ClaimRecord struct {
	Base   string  `json:"base"`
	Claims []Claim `json:"claims"`
}

// MemoryError reports a slot that does not fit.
type MemoryError struct {
	Target    string
	Model     string
	Bytes     int64 // wanted
	FreeBytes int64
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("no memory for %s on %s: %d bytes wanted, %d free", e.Model, e.Target, e.Bytes, e.FreeBytes)
}

// DuplicateError reports a second slot for a model on one target.
type DuplicateError struct {
	Target string
	Model  string
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s has a slot on %s already", e.Model, e.Target)
}

// ReplicasError reports a claim beyond the replicas allowed.
type ReplicasError struct {
	Model string
	Max   int
}

func (e *ReplicasError) Error() string {
	return fmt.Sprintf("%s has its %d replicas decided already", e.Model, e.Max)
}

// Slot returns the slot of a decision, nil if there is none.
func (r *TargetRecord) Slot(decision string) *Slot {
	for i := range r.Slots {
		if r.Slots[i].Decision == decision {
			return &r.Slots[i]
		}
	}
	return nil
}

// SlotOf returns the slot of a model, nil if there is none.
func (r *TargetRecord) SlotOf(model string) *Slot {
	for i := range r.Slots {
		if r.Slots[i].Model == model {
			return &r.Slots[i]
		}
	}
	return nil
}

// Clone returns a copy that shares nothing with r.
func (r *TargetRecord) Clone() TargetRecord {
	c := *r
	c.Slots = append([]Slot(nil), r.Slots...)
	return c
}

// Add adds a slot. Used is the memory in use as told by UsedBytes.
func (r *TargetRecord) Add(s Slot, capacity, used int64) error {
	if r.SlotOf(s.Model) != nil {
		return &DuplicateError{Target: r.Target, Model: s.Model}
	}
	if s.Bytes > capacity-used {
		return &MemoryError{Target: r.Target, Model: s.Model, Bytes: s.Bytes, FreeBytes: capacity - used}
	}
	s.Phase = PhaseHold
	s.Fence = r.Fence
	r.Slots = append(r.Slots, s)
	return nil
}

// Retire moves the slots into PhaseRetire and raises the fencing number, so
// that orders sent before are refused by targets that check it. Seen is the
// latest report of the target, nil if there is none.
func (r *TargetRecord) Retire(decisions map[string]bool, seen *Report) {
	r.Fence++
	for i := range r.Slots {
		s := &r.Slots[i]
		if !decisions[s.Decision] || s.Phase == PhaseRetire {
			continue
		}
		s.Phase = PhaseRetire
		s.Fence = r.Fence
		if seen != nil && seen.showsOrder(s.Decision) {
			s.SeenIncarnation = seen.Incarnation
			s.SeenSequence = seen.Sequence
		}
	}
}

// Remove drops the slots.
func (r *TargetRecord) Remove(decisions map[string]bool) {
	kept := r.Slots[:0]
	for _, s := range r.Slots {
		if !decisions[s.Decision] {
			kept = append(kept, s)
		}
	}
	r.Slots = kept
}

// DecidedBytes returns the memory of all slots.
func (r *TargetRecord) DecidedBytes() int64 {
	var sum int64
	for _, s := range r.Slots {
		sum += s.Bytes
	}
	return sum
}

// Clone returns a copy that shares nothing with r.
func (r *ClaimRecord) Clone() ClaimRecord {
	c := *r
	c.Claims = append([]Claim(nil), r.Claims...)
	return c
}

// Count returns the number of claims of a model.
func (r *ClaimRecord) Count(model string) int {
	n := 0
	for _, c := range r.Claims {
		if c.Model == model {
			n++
		}
	}
	return n
}

// Add adds a claim unless the model has max already.
func (r *ClaimRecord) Add(c Claim, max int) error {
	if r.Count(c.Model) >= max {
		return &ReplicasError{Model: c.Model, Max: max}
	}
	r.Claims = append(r.Claims, c)
	return nil
}

// Drop removes the claims of the decisions.
func (r *ClaimRecord) Drop(decisions map[string]bool) {
	kept := r.Claims[:0]
	for _, c := range r.Claims {
		if !decisions[c.Decision] {
			kept = append(kept, c)
		}
	}
	r.Claims = kept
}

// Void reports whether the claim counts nothing any more, given the target
// record at a version: its slot is not there and can never appear.
func (c *Claim) Void(rec *TargetRecord, version uint64) bool {
	return version > c.TargetVersion && rec.Slot(c.Decision) == nil
}
