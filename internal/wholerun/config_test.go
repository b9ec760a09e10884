package wholerun

import (
	"fmt"
	"slices"
	"time"

	"buckthornseam.dev/seam/internal/config"
)

// Rates and bursts of the teams. The first team's traffic always exceeds its rate by
// far, that of the others exceeds theirs at times.
var (
	teamRate  = [teamCount]int{20, 60, 120} // tokens a second
	teamBurst = [teamCount]int{40, 200, 300}
)

// billingCost is the cost of a call to the billing service.
const billingCost = 5 // tokens

// key is an API key of a team.
type key struct {
	value     string
	team      string
	instance  string
	withdrawn time.Time // zero if not withdrawn
}

// leavingPeriod is a time during which a target is marked as leaving.
type leavingPeriod struct {
	from   time.Time
	target string // name of the target
	until  time.Time
}

// period is a span of time.
type period struct{ from, until time.Time }

func teamName(i int) string  { return fmt.Sprintf("team-%d", i) }
func modelName(i int) string { return fmt.Sprintf("m-%d", i) }

// offered reports whether a team may use a model. Each model is offered to two teams.
func offered(team, model int) bool { return model%teamCount == team || (model+1)%teamCount == team }

// submitAll stores the initial configuration.
func (sim *simulation) submitAll(seed uint64) {
	for i := range teamCount {
		sim.submitTeam(i, teamRate[i], teamBurst[i])
		sim.addKey(i, fmt.Sprintf("secret-%d-%d-stable", seed, i))
	}
	for m := range modelCount {
		sim.submit(modelName(m), "model", map[string]any{
			"name": modelName(m), "bytes": int64(modelBytes), "pool": "drafting", "idle_seconds": 5, "max_replicas": 2,
		})
		for i := range teamCount {
			if offered(i, m) {
				name := fmt.Sprintf("offer-%d-%d", i, m)
				sim.submit(name, "offering", map[string]any{"team": teamName(i), "name": modelName(m), "model": modelName(m), "max_tokens": 8})
			}
		}
	}
	sim.submit("billing", "service", map[string]any{"name": "billing", "prefix": "/billing", "non_repeatable": true, "cost": billingCost})
	sim.submit("tariffs", "service", map[string]any{"name": "tariffs", "prefix": "/tariffs", "open": true})
	sim.putMarker(0)
}

func (sim *simulation) submitTeam(i, rate, burst int) {
	sim.submit(teamName(i), "team", map[string]any{"name": teamName(i), "rate": rate, "burst": burst})
}

// putMarker stores configuration number n. The burst of a team without traffic
// encodes the number, so that checks can read it from a host's configuration.
func (sim *simulation) putMarker(n int) {
	sim.submit("marker", "team", map[string]any{"name": "marker", "rate": 1, "burst": n + 1})
}

// markerOf returns the number of the configuration in force on a host, -1 if none.
func markerOf(h *host) int64 {
	snap := h.core.Config.Snapshot()
	if snap == nil || snap.Teams["marker"] == nil {
		return -1
	}
	return snap.Teams["marker"].Burst - 1
}

func (sim *simulation) addKey(team int, value string) *key {
	k := &key{value: value, team: teamName(team), instance: "key-" + value}
	sim.requests.mu.Lock()
	sim.requests.keys = append(sim.requests.keys, value)
	sim.requests.mu.Unlock()
	sim.submit(k.instance, "key", map[string]any{"team": k.team, "hash": config.HashKey(value)})
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.keys[team] = append(sim.keys[team], k)
	return k
}

// withdrawKey withdraws a key. Callers go on using it.
func (sim *simulation) withdrawKey(k *key) {
	sim.put(k.instance, config.Instance{
		Template: "key", Withdrawn: true, Params: encode(map[string]any{"team": k.team, "hash": config.HashKey(k.value)}),
	})
	sim.mu.Lock()
	defer sim.mu.Unlock()
	k.withdrawn = time.Now()
}

// keyOf returns one of a team's keys, selected by a random number. It may be
// withdrawn.
func (sim *simulation) keyOf(team, draw int) *key {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	keys := sim.keys[team]
	return keys[draw%len(keys)]
}

// setLeaving marks an engine as leaving, or removes the mark.
func (sim *simulation) setLeaving(name string, leaving bool) {
	i := slices.Index(sim.engineNames, name)
	sim.submitEngine(name, i, leaving)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if leaving {
		sim.leavingPeriods = append(sim.leavingPeriods, leavingPeriod{from: time.Now(), target: name})
		return
	}
	for j := range sim.leavingPeriods {
		if sim.leavingPeriods[j].target == name && sim.leavingPeriods[j].until.IsZero() {
			sim.leavingPeriods[j].until = time.Now()
		}
	}
}

func (sim *simulation) submitEngine(name string, i int, leaving bool) {
	sim.submit(name, "engine", map[string]any{
		"name": name, "address": addressOf(name), "zone": zones[i%len(zones)], "pool": "drafting", "memory_bytes": int64(engineMemory),
		"checks_fence": i%2 == 0, "order_seconds": 10, "leaving": leaving,
	})
}
