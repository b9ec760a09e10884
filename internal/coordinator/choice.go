package coordinator

import (
	"math"
	"math/rand/v2"
	"slices"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// Requirements describe the target that a request needs.
type Requirements struct {
	Service string
	Model   string // empty for a plain service
	Adapter string
	Version *string         // software version of the target; nil: any
	Avoid   map[string]bool // targets that were tried before
	Late    bool            // the request missed its objective and yields to requests that can still begin in time
}

// Choice is the result of Pick.
type Choice struct {
	Target       fleet.Target
	NeedsAdapter bool // the adapter must be loaded first
	NeedsPermit  bool // the target names a limit; see Client.RequestPermit
	NeedsSlot    bool // the target is brittle and this host has no free slot of it; see Client.RequestSlot
	Load         int  // known requests of all hosts at the target
	Reason       string
	Deferred     bool // none was chosen, because other waiting requests take the free slots first
}

// Weights of a choice, in concurrent requests.
const (
	zonePenalty        = 4    // another availability zone: traffic between zones costs more than a few additional concurrent requests
	adapterPenalty     = 6    // the adapter must be loaded first
	firstEventPenalty  = 8    // per second of the recent time until the first event
	slotPenalty        = 2    // a slot must be asked for first
	unreachablePenalty = 1000 // chosen only if all targets of a plain service are unreachable
	// choiceSpread is the temperature of the random choice. Counts of other hosts are up
	// to 0.4 s old: if all hosts chose the least loaded target, it would get the requests
	// of all hosts for that long.
	choiceSpread = 1.5
)

// noise returns a random number with a Gumbel distribution. If a noise is subtracted from
// each score and the lowest one is chosen, the probability of a target falls by a factor
// of e for each choiceSpread by which its score is higher.
func noise() float64 { return -choiceSpread * math.Log(rand.ExpFloat64()) }

// Pick chooses a target. It returns false if no target can take the request now. Targets that name a limit are
// left to requests that no other target can take, but for one now and then to learn whether they still do.
func (f *FleetView) Pick(req Requirements) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, bestScore, found, free := Choice{}, 0.0, false, 0
	limited, limitedScore := Choice{}, math.Inf(1) // best one that needs a permit
	brittle := f.isBrittle(req.Service)
	for _, id := range f.targets.ByService[req.Service] {
		t := f.targets.ByID[id]
		if t.Draining || t.Missing || req.Avoid[id] || f.now() < f.unusableUntil[id] || req.Version != nil && t.Version != *req.Version {
			continue
		}
		if f.isQuiet(t) {
			continue
		}
		unreachable := f.unreachable(id)
		needsAdapter := false
		if req.Model != "" {
			if unreachable || f.freeSlots(t, req.Late) <= 0 {
				continue // the request waits, which tells the coordinator that another copy is needed
			}
			m, ok := f.view(t).Models[req.Model]
			if !ok || m.State != swap.Ready || f.now() < f.missingUntil[runKey{id, req.Model}] {
				continue
			}
			needsAdapter = req.Adapter != "" && !slices.Contains(m.Adapters, req.Adapter)
			if needsAdapter && (f.views[id].Owner == "" || f.now() < f.missingUntil[runKey{id, req.Model + "/" + req.Adapter}]) {
				continue
			}
		}
		rate, stale := f.limits.Rate(f.now(), runOf(t))
		needsSlot := brittle && f.load[id] >= f.slotsHeld(id)
		if (rate > 0 || needsSlot) && f.now() < f.noPermitUntil[id] {
			continue
		}
		if rate == 0 {
			free += f.freeSlots(t, req.Late)
		}
		score := f.score(t) - noise()
		if needsAdapter {
			score += adapterPenalty
		}
		if unreachable {
			score += unreachablePenalty
		}
		if needsSlot {
			score += slotPenalty
		}
		choice := Choice{Target: t, NeedsAdapter: needsAdapter, NeedsPermit: rate > 0, NeedsSlot: needsSlot, Load: f.load[id] + f.remoteLoad[id]}
		switch {
		case rate > 0 && !stale:
			if score < limitedScore {
				limited, limitedScore = choice, score
			}
		case !found || score < bestScore:
			found, bestScore, best = true, score, choice
		}
	}
	if !found && limited.NeedsPermit {
		return limited, true
	}
	if found && req.Model != "" && !best.NeedsPermit && !f.admit(req, free) {
		return Choice{Deferred: true}, false
	}
	return best, found
}

// timelyShare is the share of an engine's slots that late requests leave to those that can
// begin in time. With a lower share, all requests of a hot model become late as soon as
// more arrive than its copies can serve.
const timelyShare = 0.25

// unlimitedSlots is the number of free slots of a target that declares no limit.
const unlimitedSlots = 1 << 20

// freeSlots returns how many more requests a target can take.
func (f *FleetView) freeSlots(t fleet.Target, late bool) int {
	if t.Slots <= 0 {
		return unlimitedSlots
	}
	slots := t.Slots
	if late {
		slots -= max(1, int(timelyShare*float64(slots)))
	}
	return slots - f.load[t.ID] - f.remoteLoad[t.ID]
}

// score returns the cost of choosing a target, in concurrent requests; lower is better.
func (f *FleetView) score(t fleet.Target) float64 {
	score := float64(f.load[t.ID] + f.remoteLoad[t.ID])
	if t.Zone != f.zone {
		score += zonePenalty
	}
	if h := f.health[t.ID]; h != nil {
		score += h.penalty(f.now())
	}
	return score
}

// ServesVersion reports whether a target of the given software version is registered, does not leave and is
// not one to avoid.
func (f *FleetView) ServesVersion(service, version string, avoid map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.targets.ByService[service], func(id string) bool {
		t := f.targets.ByID[id]
		return t.Version == version && !t.Draining && !avoid[id]
	})
}

// HasLocalWeights reports whether some engine of the given software version holds a model, or
// has its weights on its disk or in its memory. A nil version means any. It returns true while no
// engine of the service is known.
func (f *FleetView) HasLocalWeights(service, model string, version *string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.targets.ByService[service]) == 0 {
		return true
	}
	for _, id := range f.targets.ByService[service] {
		t := f.targets.ByID[id]
		if t.Draining || version != nil && t.Version != *version {
			continue
		}
		if _, there := f.view(t).Models[model]; there || slices.Contains(t.OnDisk, model) || slices.Contains(t.InMemory, model) {
			return true
		}
	}
	return false
}
