package placement

import "time"

// Serving says whether requests for a model can be served.
type Serving string

// The states of a model.
const (
	ServingReady      Serving = "ready"
	ServingLoading    Serving = "loading"    // ReadyBy tells when
	ServingWaiting    Serving = "waiting"    // for memory or a replica; no time known
	ServingImpossible Serving = "impossible" // no target could ever hold it
	ServingIdle       Serving = "idle"
)

// SlotStatus is one slot of a model.
type SlotStatus struct {
	Target   string `json:"target"`
	Decision string `json:"decision"`
	State    string `json:"state"`
	Bytes    int64  `json:"bytes"`
	Usable   bool   `json:"usable"` // false for targets that leave or are silent
}

// Status tells why a model is where it is.
type Status struct {
	Model   string        `json:"model"`
	Serving Serving       `json:"serving"`
	ReadyBy time.Duration `json:"-"` // on the decider's clock, 0 if not known
	Reason  string        `json:"reason"`
	Waiting int           `json:"waiting"`
	Running int           `json:"running"`
	Slots   []SlotStatus  `json:"places"`
}

var stateNames = map[placeState]string{
	placeEmpty: "empty", placeLoading: "loading", placeReady: "ready", placeClosing: "unloading", placeRetiring: "retiring",
}

// Status returns the state of a model.
func (d *Decider) Status(model string) Status {
	spec, ok := d.specs[model]
	if !ok {
		return Status{Model: model, Serving: ServingImpossible, Reason: "model is not configured"}
	}
	ms := d.model(model)
	places := d.places(model)
	st := Status{Model: model, Reason: ms.reason, Waiting: ms.waiting(), Running: ms.running()}
	for _, p := range places {
		st.Slots = append(st.Slots, SlotStatus{
			Target: p.ts.rec.Target, Decision: p.slot.Decision, State: stateNames[p.state],
			Bytes: p.slot.Bytes, Usable: d.usable(p.ts),
		})
	}
	switch {
	case d.count(places, placeReady) > 0:
		st.Serving = ServingReady
	case !d.possible(&spec):
		st.Serving = ServingImpossible
		st.Reason = "no target of pool " + spec.Pool + " can hold it"
	case ms.readyBy > 0 && ms.need > 0:
		st.Serving = ServingLoading
		st.ReadyBy = ms.readyBy
	case ms.need > 0:
		st.Serving = ServingWaiting
	default:
		st.Serving = ServingIdle
	}
	return st
}

// possible reports whether some target of the pool is large enough.
func (d *Decider) possible(spec *ModelSpec) bool {
	for _, name := range d.pools[spec.Pool] {
		ts := d.targets[name]
		if !ts.spec.Leaving && ts.spec.Bytes >= spec.Bytes {
			return true
		}
	}
	return false
}

// Models returns the names of models with a slot or a want, sorted.
func (d *Decider) Models() []string {
	names := map[string]bool{}
	for name := range d.where {
		names[name] = true
	}
	for name := range d.wanted {
		names[name] = true
	}
	return sortedKeys(names)
}

// NeedsSync reports whether records are missing, so that the complete list
// must be read.
func (d *Decider) NeedsSync() bool {
	for _, ts := range d.targets {
		if ts.present && !ts.known {
			return true
		}
	}
	for base := range d.bases() {
		if cs := d.claims[base]; cs == nil || !cs.known {
			return true
		}
	}
	return false
}

// BusyTargets returns the targets with something under way, whose own reports are
// needed often.
func (d *Decider) BusyTargets() []string {
	var out []string
	for _, name := range sortedKeys(d.work) {
		if ts := d.targets[name]; ts.present && len(ts.orders)+len(ts.retired) > 0 {
			out = append(out, name)
		}
	}
	return out
}
