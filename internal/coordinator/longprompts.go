package coordinator

import (
	"math"
	"time"

	"buckthornseam.dev/coord/longprompt"
	"buckthornseam.dev/seam/internal/fleet"
)

// minLongChange is the smallest change of an engine's load of long prefills that is sent to hosts. Both sides let the values
// decline, so that only arrivals are sent.
const minLongChange = 0.03

// maxPrefillMS bounds what a host can report of one engine between two reports.
const maxPrefillMS = 60_000

// Prompt describes the prompt of a request.
type Prompt struct {
	Tokens int
	Shared int    // tokens of the shared parts
	Part   string // last shared part; empty: none
}

// longState is what this host knows of long prompts. It is guarded by FleetView.mu.
type longState struct {
	speeds    *longprompt.Speeds
	sent      map[string]float64 // milliseconds of long prefills sent to each engine since the last report
	loads     map[string]*longprompt.Load
	config    *fleet.Config            // that objective was computed from
	objective map[string]time.Duration // of short requests, by service
}

func newLongState() longState {
	return longState{speeds: longprompt.NewSpeeds(), sent: map[string]float64{}, loads: map[string]*longprompt.Load{}}
}

// shortObjective returns the shortest objective of the streams of a service, or 0 if its engines state no memory. The caller must hold f.mu.
func (f *FleetView) shortObjective(service string) time.Duration {
	if f.long.config != f.config {
		f.long.config, f.long.objective = f.config, map[string]time.Duration{}
		for _, route := range f.config.Routes {
			for _, d := range route.Destinations {
				spec := f.config.Services[d.Service].Engine
				if old := f.long.objective[d.Service]; spec != nil && spec.KVTokens > 0 && route.Kind == fleet.Streaming && route.Objective > 0 && (old == 0 || route.Objective < old) {
					f.long.objective[d.Service] = route.Objective
				}
			}
		}
	}
	return f.long.objective[service]
}

// promptPlan is how the prompt of a request affects the choice of an engine.
type promptPlan struct {
	place map[string]int // of the copies that take long prompts, by engine, if the prompt is long; nil: it is short
}

// planPrompt returns how the prompt of a request affects the choice. The caller must hold f.mu.
func (f *FleetView) planPrompt(req Requirements) promptPlan {
	objective := f.shortObjective(req.Service)
	if objective == 0 || !longprompt.IsLong(f.long.speeds.Prefill("", req.Service, req.Prompt.Tokens), objective) {
		return promptPlan{}
	}
	var copies []string
	for _, id := range f.targets.ByService[req.Service] {
		if t := f.targets.ByID[id]; f.usable(t, req) && f.holds(t, req.Model) {
			copies = append(copies, id)
		}
	}
	if len(copies) < 2 {
		return promptPlan{}
	}
	longprompt.Order(req.Service, req.Model, copies)
	plan := promptPlan{place: make(map[string]int, len(copies))}
	for i, id := range copies {
		plan.place[id] = i
	}
	return plan
}

// promptPenalty returns the penalty of an engine for a request with the given plan. The caller must hold f.mu.
func (f *FleetView) promptPenalty(plan promptPlan, id string) float64 {
	load := 0.0
	if l := f.long.loads[id]; l != nil {
		load = l.Share(f.now())
	}
	if plan.place == nil {
		return longprompt.ShortPenalty(load)
	}
	return longprompt.LongPenalty(plan.place[id], load)
}

// prefillOf returns the expected time in which an engine prefills a prompt if that is long, else 0. The caller must hold f.mu.
func (f *FleetView) prefillOf(t fleet.Target, p Prompt) time.Duration {
	tokens := f.long.speeds.Tokens(f.now(), t.ID, p.Tokens, p.Shared, p.Part)
	prefill := f.long.speeds.Prefill(t.ID, t.Service, tokens)
	if !longprompt.IsLong(prefill, f.shortObjective(t.Service)) {
		return 0
	}
	return prefill
}

// PrefillTime returns how long an engine of a service is expected to take for a prompt of which it has kept nothing.
func (f *FleetView) PrefillTime(service string, p Prompt) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.long.speeds.Prefill("", service, p.Tokens)
}

// addPrompt adds to a choice what its prompt means for the engine. The caller must hold f.mu.
func (f *FleetView) addPrompt(c *Choice, plan promptPlan, p Prompt) {
	if plan.place != nil {
		c.ReaderPlace, c.Prefill = plan.place[c.Target.ID]+1, f.prefillOf(c.Target, p)
	}
}

// RecordPrompt records that a request was sent to an engine. It returns how many tokens the engine has to prefill; 0: unknown, as other
// hosts may have had the shared parts prefilled there.
func (f *FleetView) RecordPrompt(t fleet.Target, p Prompt) (tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.shortObjective(t.Service) == 0 {
		return 0
	}
	if rest := f.long.speeds.Tokens(f.now(), t.ID, p.Tokens, p.Shared, p.Part); rest < p.Tokens || p.Part == "" {
		tokens = rest
	}
	if prefill := f.prefillOf(t, p); prefill > 0 {
		f.long.sent[t.ID] += math.Round(prefill.Seconds() * 1000)
		f.addLongLoad(t.ID, f.now(), prefill)
	}
	f.long.speeds.Prefilled(f.now(), t.ID, p.Part)
	return tokens
}

// addLongLoad must be called with f.mu held.
func (f *FleetView) addLongLoad(id string, now, prefill time.Duration) {
	if f.long.loads[id] == nil {
		f.long.loads[id] = &longprompt.Load{}
	}
	f.long.loads[id].Add(now, prefill)
}

// RecordPrefill records how long an engine took until the first event of a request for which RecordPrompt returned tokens.
func (f *FleetView) RecordPrefill(t fleet.Target, tokens int, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.long.speeds.Learn(t.ID, t.Service, tokens, took)
}

// takeLongSent returns the long prefills sent since the last report, by engine in milliseconds.
func (f *FleetView) takeLongSent() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.long.sent
	f.long.sent = map[string]float64{}
	f.long.speeds.Forget(func(id string) bool { _, ok := f.targets.ByID[id]; return ok })
	for id := range f.long.loads {
		if _, ok := f.targets.ByID[id]; !ok {
			delete(f.long.loads, id)
		}
	}
	return out
}

// setLongLoads records the loads of engines that the coordinator tells.
func (f *FleetView) setLongLoads(loads map[string]float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, share := range loads {
		if _, listed := f.targets.ByID[id]; listed && share >= 0 {
			f.long.loads[id] = longprompt.NewLoad(f.now(), share)
		}
	}
}

// reportLong adds the long prefills that a host has sent. The caller must hold c.mu.
func (c *Coordinator) reportLong(sent map[string]float64) {
	for id, ms := range sent {
		if _, listed := c.fleetView.Target(id); !listed || !(ms > 0 && ms < maxPrefillMS) {
			continue
		}
		if c.memory.longLoads[id] == nil {
			c.memory.longLoads[id] = &longprompt.Load{}
		}
		c.memory.longLoads[id].Add(c.now(), time.Duration(ms*float64(time.Millisecond)))
	}
}

// longLoadsFor returns the loads of long prefills that differ from what a host was sent. The caller must hold c.mu.
func (c *Coordinator) longLoadsFor(h *hostState) map[string]float64 {
	now := c.now()
	var out map[string]float64
	for id, load := range c.memory.longLoads {
		share, sent := load.Share(now), h.sentLong[id].Share(now)
		if _, listed := c.fleetView.Target(id); !listed {
			delete(c.memory.longLoads, id)
			continue
		}
		if d := share - sent; d < minLongChange && d > -minLongChange {
			continue
		}
		if out == nil {
			out = map[string]float64{}
		}
		share = math.Round(share*1000) / 1000 // few digits on the wire
		out[id], h.sentLong[id] = share, longprompt.NewLoad(now, share)
	}
	return out
}
