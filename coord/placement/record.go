// Package placement decides which model is loaded on which target. It does no
// input or output and reads no clock: the caller passes records, reports and demand
// together with the monotonic time, and carries out the writes, reads and orders
// that the Decider returns.
//
// # Stored records
//
// There are two kinds of record, each changed by conditional updates only:
//
//   - A TargetRecord for each target holds its slots. A slot is memory of the
//     target assigned to one model, whether or not the model is loaded at the
//     moment. The slots never add up to more than the memory of the target.
//   - A ClaimRecord for each base model holds the claims of the model and of its
//     adapters, one for each replica. A model never has more claims than its
//     maximum number of replicas.
//
// # Why no model is loaded without a slot and a claim
//
// To add a slot, a decider reads the target record at version v, adds a claim that
// names v, and then adds the slot with an update conditional on v. A claim is
// removed only after the target record was seen at a version above v without the
// slot. Either the slot was removed again, or it can never appear, because its
// update is conditional on v. So every slot has a claim at all times, however many
// deciders are active and however long one was paused between its two writes.
//
// A slot is removed only when a report of the target proves that the model is no
// longer loaded and that no order sent for the slot can still take effect; see
// Slot.ProvenEmpty. A late or repeated order can therefore only load a model into
// the slot assigned to it.
package placement

import "fmt"

// Phase is the stage of a slot.
type Phase string

// The phases of a slot. In PhaseHold the model may be loaded without a further
// write, and on targets that check fencing tokens also unloaded and loaded again.
// PhaseRetire is final: no load is ordered any more, and the slot is removed once a
// report proves that it is empty.
const (
	PhaseHold   Phase = "hold"
	PhaseRetire Phase = "retire"
)

// Slot is memory of a target assigned to a model.
type Slot struct {
	Decision string `json:"decision"` // unique id, shared with the claim
	Model    string `json:"model"`
	Base     string `json:"base,omitempty"` // base model of an adapter
	Bytes    int64  `json:"bytes"`
	Phase    Phase  `json:"phase"`
	Fence    uint64 `json:"fence"` // fencing token of the record when Phase was entered

	// SeenIncarnation and SeenSequence identify the report that showed the load
	// order of the slot when the slot was retired, if there was one. They matter only
	// for targets that ignore fencing tokens.
	SeenIncarnation string `json:"seen_incarnation,omitempty"`
	SeenSequence    uint64 `json:"seen_sequence,omitempty"`
}

// claimBase returns the name of the claim record that holds the slot's claim.
func (s *Slot) claimBase() string {
	if s.Base != "" {
		return s.Base
	}
	return s.Model
}

// TargetRecord is the stored record of the slots of one target.
type TargetRecord struct {
	Target string `json:"target"`
	Fence  uint64 `json:"fence"` // fencing token of orders, rises whenever slots are retired
	Slots  []Slot `json:"slots"`
}

// Claim counts one replica of a model.
type Claim struct {
	Decision      string `json:"decision"`
	Model         string `json:"model"`
	Target        string `json:"target"`
	TargetVersion uint64 `json:"target_version"` // precondition of the update that adds the slot
}

// ClaimRecord is the stored record of the claims of a base model and its adapters.
type ClaimRecord struct {
	Base   string  `json:"base"`
	Claims []Claim `json:"claims"`
}

// MemoryError reports a slot that does not fit.
type MemoryError struct {
	Target    string
	Model     string
	Bytes     int64 // required
	FreeBytes int64
}

func (e *MemoryError) Error() string {
	return fmt.Sprintf("not enough memory for %s on %s: %d bytes required, %d free", e.Model, e.Target, e.Bytes, e.FreeBytes)
}

// DuplicateError reports a second slot for a model on one target.
type DuplicateError struct {
	Target string
	Model  string
}

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("%s already has a slot on %s", e.Model, e.Target)
}

// ReplicasError reports a claim beyond the maximum number of replicas.
type ReplicasError struct {
	Model string
	Max   int
}

func (e *ReplicasError) Error() string {
	return fmt.Sprintf("%s already has claims for its maximum of %d replicas", e.Model, e.Max)
}

// Slot returns the slot with the given decision id, nil if there is none.
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

// Add adds a slot. Used is the memory in use as returned by UsedBytes.
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

// Retire moves the slots to PhaseRetire and raises the fencing token, so that
// targets that check it refuse earlier orders. Seen is the latest report of the
// target, nil if there is none.
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

// Remove removes the slots with the given decision ids.
func (r *TargetRecord) Remove(decisions map[string]bool) {
	kept := r.Slots[:0]
	for _, s := range r.Slots {
		if !decisions[s.Decision] {
			kept = append(kept, s)
		}
	}
	r.Slots = kept
}

// AssignedBytes returns the memory assigned to all slots.
func (r *TargetRecord) AssignedBytes() int64 {
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

// Add adds a claim unless the model already has max claims.
func (r *ClaimRecord) Add(c Claim, max int) error {
	if r.Count(c.Model) >= max {
		return &ReplicasError{Model: c.Model, Max: max}
	}
	r.Claims = append(r.Claims, c)
	return nil
}

// Remove removes the claims with the given decision ids.
func (r *ClaimRecord) Remove(decisions map[string]bool) {
	kept := r.Claims[:0]
	for _, c := range r.Claims {
		if !decisions[c.Decision] {
			kept = append(kept, c)
		}
	}
	r.Claims = kept
}

// Obsolete reports whether the claim can be removed, given the target record at a
// version: the record has no slot for it and can never get one.
func (c *Claim) Obsolete(rec *TargetRecord, version uint64) bool {
	return version > c.TargetVersion && rec.Slot(c.Decision) == nil
}
