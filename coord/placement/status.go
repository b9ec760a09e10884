package placement

import "time"

// Serving tells whether a model can serve requests.
type Serving string

// The values of Serving.
const (
	ServingReady      Serving = "ready"
	ServingLoading    Serving = "loading"    // will be ready at Status.ReadyBy
	ServingWaiting    Serving = "waiting"    // waits for memory or a slot, time unknown
	ServingImpossible Serving = "impossible" // not configured, or too large for every target
	ServingIdle       Serving = "idle"
)

// SlotStatus describes one slot of a model.
type SlotStatus struct {
	Target   string `json:"target"`
	Decision string `json:"decision"`
	State    string `json:"state"`
	Bytes    int64  `json:"bytes"`
	Usable   bool   `json:"usable"` // whether the target may take new work
}

// Status describes the placement of a model and the last decision about it.
type Status struct {
	Model   string        `json:"model"`
	Serving Serving       `json:"serving"`
	ReadyBy time.Duration `json:"-"` // on the decider's clock, 0 if unknown
	Reason  string        `json:"reason"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Slots   []SlotStatus  `json:"places"`
}

var stateNames = map[slotState]string{
	slotEmpty: "empty", slotLoading: "loading", slotReady: "ready", slotUnloading: "unloading", slotRetiring: "retiring",
}

// Status returns the state of a model.
func (d *Decider) Status(model string) Status {
	spec, ok := d.specs[model]
	if !ok {
		return Status{Model: model, Serving: ServingImpossible, Reason: "model is not configured"}
	}
	ms := d.model(model)
	slots := d.slotsOf(model)
	st := Status{Model: model, Reason: ms.reason, Waiting: ms.waiting(), Running: ms.running()}
	for _, ref := range slots {
		st.Slots = append(st.Slots, SlotStatus{
			Target: ref.ts.rec.Target, Decision: ref.slot.Decision, State: stateNames[ref.state],
			Bytes: ref.slot.Bytes, Usable: d.usable(ref.ts),
		})
	}
	switch {
	case d.countUsable(slots, slotReady) > 0:
		st.Serving = ServingReady
	case !d.fitsSomeTarget(&spec):
		st.Serving = ServingImpossible
		st.Reason = "no target of pool " + spec.Pool + " can hold it"
	case ms.readyBy > 0 && ms.replicasNeeded > 0:
		st.Serving = ServingLoading
		st.ReadyBy = ms.readyBy
	case ms.replicasNeeded > 0:
		st.Serving = ServingWaiting
	default:
		st.Serving = ServingIdle
	}
	return st
}

// fitsSomeTarget reports whether a target of the pool is large enough for the model
// and is not leaving.
func (d *Decider) fitsSomeTarget(spec *ModelSpec) bool {
	for _, name := range d.targetsByPool[spec.Pool] {
		ts := d.targets[name]
		if !ts.spec.Leaving && ts.spec.Bytes >= spec.Bytes {
			return true
		}
	}
	return false
}

// Models returns the names of the models with slots or demand, sorted.
func (d *Decider) Models() []string {
	names := map[string]bool{}
	for name := range d.targetsByModel {
		names[name] = true
	}
	for name := range d.demanded {
		names[name] = true
	}
	return sortedKeys(names)
}

// NeedsSync reports whether some record is not known, so that the caller must call
// Sync.
func (d *Decider) NeedsSync() bool {
	for _, ts := range d.targets {
		if ts.present && !ts.known {
			return true
		}
	}
	for base := range d.claimBases() {
		if cs := d.claims[base]; cs == nil || !cs.known {
			return true
		}
	}
	return false
}

// BusyTargets returns the targets with orders in progress or retired slots. The
// caller should pass their reports often.
func (d *Decider) BusyTargets() []string {
	var out []string
	for _, name := range sortedKeys(d.busyTargets) {
		if ts := d.targets[name]; ts.present && len(ts.orders)+len(ts.retiredAt) > 0 {
			out = append(out, name)
		}
	}
	return out
}
