package coordinator

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// Requirements describe the target that a request needs.
type Requirements struct {
	Service string
	Model   string // empty for a plain service
	Adapter string
	Version *string         // software version of the target; nil: any
	Regions []string        // in which the target may be, as homes.Bind returns them; nil: any
	Avoid   map[string]bool // targets that were tried before
	Prompt  Prompt
	Tokens  int64   // of the prompt and of the longest response; 0: not stated
	Late    bool    // the request missed its objective and yields to requests that can still begin in time
	Urgency Urgency // for permits
}

// Choice is the result of Pick.
type Choice struct {
	Target       fleet.Target
	NeedsAdapter bool           // the adapter must be loaded first
	NeedsPermit  bool           // the target names a limit or is cold; see Client.RequestPermit
	NeedsSlot    bool           // the target is brittle and this host has no free slot of it; see Client.RequestSlot
	Load         int            // known requests of all hosts at the target
	Cold         bool           // the target is cold and limited
	PermitUntil  time.Duration  // before which the request must be sent, once a permit was granted; see FleetView.MaySend
	OtherCold    []fleet.Target // further cold targets that can take the request as it is, at most maxOthers
	NeedsMemory  bool           // a reservation must be granted first; see Client.RequestMemory
	Others       []Choice       // with NeedsMemory, other engines that can take the request, the best first
	Prefill      time.Duration  // expected at the target, if it is long; 0: it is not
	ReaderPlace  int            // place of the target, from 1 on, in the order in which copies take long prompts; 0: the prompt is not long
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

// Pick chooses a target. It returns false if no target can take the request now. Targets that name a limit or are cold are
// left to requests that no other target can take, but for one now and then to learn whether they still do.
func (f *FleetView) Pick(req Requirements) (Choice, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, bestScore, found, free := Choice{}, 0.0, false, 0
	var freeIn []string // regions with free slots, if they matter
	byRegion := len(f.backlogs[modelKey{req.Service, req.Model}].bound) > 0
	limited, limitedScore := Choice{}, math.Inf(1) // best one that needs a permit
	var otherCold []fleet.Target
	brittle := f.isBrittle(req.Service)
	lowLoad, warming := f.lowWarmLoad(req)
	var ranked []candidate // that need a reservation
	plan := f.planPrompt(req)
	for _, id := range f.targets.ByService[req.Service] {
		c, ok := f.candidate(f.targets.ByID[id], req, brittle)
		if !ok {
			continue
		}
		if !c.NeedsPermit {
			free += f.freeSlots(c.Target, req.Late)
			if region := f.regions[c.Target.Zone]; byRegion && region != "" && !slices.Contains(freeIn, region) {
				freeIn = append(freeIn, region)
			}
		}
		f.addPrompt(&c.Choice, plan, req.Prompt)
		score := c.score + f.promptPenalty(plan, c.Target.ID) - noise()
		if warming {
			score += f.warmingScore(c.Target, lowLoad)
		}
		if c.NeedsMemory && !(c.NeedsPermit && !c.limitStale) {
			ranked = append(ranked, candidate{Choice: c.Choice, score: score})
		}
		switch {
		case c.NeedsPermit && !c.limitStale:
			if c.Cold && !c.NeedsAdapter && !c.NeedsSlot {
				otherCold = addOther(otherCold, c.Target)
			}
			if score < limitedScore {
				limited, limitedScore = c.Choice, score
			}
		case !found || score < bestScore:
			found, bestScore, best = true, score, c.Choice
		}
	}
	limited.addOthers(otherCold)
	if limited.NeedsPermit && (!found || limited.Cold && f.nearlyFull(best.Target)) {
		return limited, true
	}
	if found && req.Model != "" && !best.NeedsPermit && !f.admit(req, free, freeIn) {
		if limited.Cold { // it needs no slot that others wait for
			return limited, true
		}
		return Choice{Deferred: true}, false
	}
	best.Others = othersOf(best, ranked)
	return best, found
}

// othersOf returns the targets that can take a request instead of the best one, which all need a reservation.
func othersOf(best Choice, ranked []candidate) []Choice {
	if !best.NeedsMemory {
		return nil
	}
	slices.SortFunc(ranked, func(a, b candidate) int { return cmp.Compare(a.score, b.score) })
	var out []Choice
	for _, c := range ranked {
		if c.Target.ID != best.Target.ID && len(out) < maxMemoryEngines-1 {
			out = append(out, c.Choice)
		}
	}
	return out
}

// candidate is a target that can take a request now.
type candidate struct {
	Choice
	score      float64 // without noise; lower is better
	limitStale bool    // the limit that the target named may no longer hold
}

// candidate returns how a target can take a request, and whether it can. The caller must hold f.mu.
func (f *FleetView) candidate(t fleet.Target, req Requirements, brittle bool) (candidate, bool) {
	if !f.usable(t, req) {
		return candidate{}, false
	}
	unreachable := f.unreachable(t.ID)
	needsAdapter := false
	if req.Model != "" {
		// If no target has the model and a free slot, the request waits, which tells the coordinator that another copy is needed.
		if unreachable || f.leftOut(t.ID) || f.freeSlots(t, req.Late) <= 0 || !f.holds(t, req.Model) {
			return candidate{}, false
		}
		needsAdapter = req.Adapter != "" && !slices.Contains(f.view(t).Models[req.Model].Adapters, req.Adapter)
		if needsAdapter && !f.mayLoadAdapter(t, req) {
			return candidate{}, false
		}
	}
	rate, stale := 0.0, false
	if f.limits.Any() {
		rate, stale = f.limits.Rate(f.now(), runOf(t))
	}
	coldRate, cold := f.coldRate(t)
	if cold && coldRate <= 0 {
		return candidate{}, false
	}
	needsSlot := brittle && f.load[t.ID] >= f.slotsHeld(t.ID)
	if rate > 0 || cold || needsSlot {
		if _, denied := f.noPermit[t.ID].of(f.now(), req.Urgency.level()); denied {
			return candidate{}, false
		}
	}
	c := candidate{
		Choice:     Choice{Target: t, NeedsAdapter: needsAdapter, NeedsPermit: rate > 0 || cold, Cold: cold, NeedsSlot: needsSlot, NeedsMemory: f.needsMemory(t, req), Load: f.load[t.ID] + f.remoteLoad[t.ID]},
		score:      f.score(t),
		limitStale: stale && !cold,
	}
	if needsAdapter {
		c.score += adapterPenalty
	}
	if unreachable {
		c.score += unreachablePenalty
	}
	if needsSlot {
		c.score += slotPenalty
	}
	return c, true
}

// usable reports whether a target may be sent a request, whatever it holds. The caller must hold f.mu.
func (f *FleetView) usable(t fleet.Target, req Requirements) bool {
	if t.Draining || t.Missing || f.evacuated(t.Zone) || req.Avoid[t.ID] || f.now() < f.unusableUntil[t.ID] || req.Version != nil && t.Version != *req.Version || !f.inRegions(t, req.Regions) {
		return false
	}
	return !f.isQuiet(t)
}

// holds reports whether a model is ready at a target. The caller must hold f.mu.
func (f *FleetView) holds(t fleet.Target, model string) bool {
	m, ok := f.view(t).Models[model]
	return ok && m.State == swap.Ready && f.now() >= f.missingUntil[runKey{t.ID, model}]
}

// mayLoadAdapter reports whether the owner of an engine can be asked to load the adapter of a request. The caller must
// hold f.mu.
func (f *FleetView) mayLoadAdapter(t fleet.Target, req Requirements) bool {
	return f.views[t.ID].Owner != "" && f.now() >= f.missingUntil[runKey{t.ID, req.Model + "/" + req.Adapter}]
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

// ServesVersion reports whether a target of the given software version is registered in the given regions (nil:
// all), does not leave, is not in an evacuated zone and not one to avoid.
func (f *FleetView) ServesVersion(service, version string, regions []string, avoid map[string]bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.ContainsFunc(f.targets.ByService[service], func(id string) bool {
		t := f.targets.ByID[id]
		return t.Version == version && !t.Draining && !f.evacuations.core.Evacuated(t.Zone) && !avoid[id] && f.inRegions(t, regions)
	})
}

// HasLocalWeights reports whether some engine of the given software version and in the given regions, outside evacuated
// zones, holds a model, or has its weights on its disk or in its memory. nil means any. It returns true while no engine of
// the service is known there.
func (f *FleetView) HasLocalWeights(service, model string, version *string, regions []string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	known := false
	for _, id := range f.targets.ByService[service] {
		t := f.targets.ByID[id]
		if !f.inRegions(t, regions) {
			continue
		}
		known = true
		if t.Draining || f.evacuations.core.Evacuated(t.Zone) || version != nil && t.Version != *version {
			continue
		}
		if _, there := f.view(t).Models[model]; there || slices.Contains(t.OnDisk, model) || slices.Contains(t.InMemory, model) {
			return true
		}
	}
	return !known
}
