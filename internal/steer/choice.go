package steer

import (
	"math"
	"math/rand/v2"
	"slices"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
)

// Requirements says what a target has to offer.
type Requirements struct {
	Service string
	Model   string // empty: a plain service
	Adapter string
	Avoid   map[string]bool // targets tried before
	Late    bool            // it missed its objective: others that can still begin in time go first
}

// Choice is the target chosen.
type Choice struct {
	Target       fleet.Target
	NeedsAdapter bool // it must be loaded first
	Load         int  // requests of all hosts there, as known
	Reason       string
	Deferred     bool // none was chosen: others that wait take the room first
}

// Weights of a choice, in requests at once.
const (
	zonePenalty    = 4    // another availability zone: bytes between zones cost more than a few requests more at once
	adapterPenalty = 6    // an adapter that must be loaded first
	firstPenalty   = 8    // each second that first events took lately
	darkPenalty    = 1000 // only where all targets of a plain service are dark
	// spread is the temperature of the choice. Counts of other hosts are up to
	// 0.4 s old: if all took the least, one target would get the requests of
	// all hosts for that long.
	spread = 1.5
)

// noise returns a random number by which the least of scores less noise is
// chosen with a probability that falls by e for each spread of difference
// (Gumbel's distribution).
func noise() float64 { return -spread * math.Log(rand.ExpFloat64()) }

// Pick chooses a target, or none if no target can take the request now.
func (b *FleetView) Pick(ask Requirements) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, bestScore, found, room := Choice{}, 0.0, false, 0
	for _, id := range b.targets.ByService[ask.Service] {
		t := b.targets.ByID[id]
		if t.Draining || ask.Avoid[id] || b.now() < b.unusable[id] {
			continue
		}
		dark := b.dark(id)
		needsAdapter := false
		if ask.Model != "" {
			if dark || b.room(t, ask.Late) <= 0 {
				continue // waiting here shows that another copy is needed
			}
			m, ok := b.view(t).Models[ask.Model]
			if !ok || m.State != swap.Ready || b.now() < b.refuted[runKey{id, ask.Model}] {
				continue
			}
			needsAdapter = ask.Adapter != "" && !slices.Contains(m.Adapters, ask.Adapter)
			if needsAdapter && (b.views[id].Owner == "" || b.now() < b.refuted[runKey{id, ask.Model + "/" + ask.Adapter}]) {
				continue
			}
		}
		room += b.room(t, ask.Late)
		score := b.score(t) - noise()
		if needsAdapter {
			score += adapterPenalty
		}
		if dark {
			score += darkPenalty
		}
		if !found || score < bestScore {
			found, bestScore = true, score
			best = Choice{Target: t, NeedsAdapter: needsAdapter, Load: b.load[id] + b.remote[id]}
		}
	}
	if found && ask.Model != "" && !b.goesNow(ask, room) {
		return Choice{Deferred: true}, false
	}
	return best, found
}

// lateShare is the part of an engine's slots that late requests leave to those
// that can begin in time: with fewer, all of a hot model's requests are late as
// soon as more come than its copies run.
const lateShare = 0.25

// unbounded is the room of a target that names no slots.
const unbounded = 1 << 20

// room returns how many more requests an engine has room for.
func (b *FleetView) room(t fleet.Target, late bool) int {
	if t.Slots <= 0 {
		return unbounded
	}
	slots := t.Slots
	if late {
		slots -= max(1, int(lateShare*float64(slots)))
	}
	return slots - b.load[t.ID] - b.remote[t.ID]
}

// score is what speaks against a target, in requests at once.
func (b *FleetView) score(t fleet.Target) float64 {
	score := float64(b.load[t.ID] + b.remote[t.ID])
	if t.Zone != b.zone {
		score += zonePenalty
	}
	if h := b.health[t.ID]; h != nil {
		score += h.penalty(b.now())
	}
	return score
}

// HasLocalWeights reports whether a model could be loaded by some engine that has it
// on its disk or in its memory, or is there already. Before any engine of the
// service is known it may be.
func (b *FleetView) HasLocalWeights(service, model string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.targets.ByService[service]) == 0 {
		return true
	}
	for _, id := range b.targets.ByService[service] {
		t := b.targets.ByID[id]
		if t.Draining {
			continue
		}
		if _, there := b.view(t).Models[model]; there || slices.Contains(t.OnDisk, model) || slices.Contains(t.InMemory, model) {
			return true
		}
	}
	return false
}
