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
func (w *world) submitAll(seed uint64) {
	for i := range teamCount {
		w.submitTeam(i, teamRate[i], teamBurst[i])
		w.addKey(i, fmt.Sprintf("secret-%d-%d-stable", seed, i))
	}
	for m := range modelCount {
		w.submit(modelName(m), "model", map[string]any{
			"name": modelName(m), "bytes": int64(modelBytes), "pool": "drafting", "idle_seconds": 5, "max_replicas": 2,
		})
		for i := range teamCount {
			if offered(i, m) {
				name := fmt.Sprintf("offer-%d-%d", i, m)
				w.submit(name, "offering", map[string]any{"team": teamName(i), "name": modelName(m), "model": modelName(m), "max_tokens": 8})
			}
		}
	}
	w.submit("billing", "service", map[string]any{"name": "billing", "prefix": "/billing", "non_repeatable": true, "cost": billingCost})
	w.submit("tariffs", "service", map[string]any{"name": "tariffs", "prefix": "/tariffs", "open": true})
	w.putMarker(0)
}

func (w *world) submitTeam(i, rate, burst int) {
	w.submit(teamName(i), "team", map[string]any{"name": teamName(i), "rate": rate, "burst": burst})
}

// putMarker stores configuration number n. The burst of a team without traffic
// encodes the number, so that checks can read it from a host's configuration.
func (w *world) putMarker(n int) {
	w.submit("marker", "team", map[string]any{"name": "marker", "rate": 1, "burst": n + 1})
}

// markerOf returns the number of the configuration in force on a host, -1 if none.
func markerOf(h *host) int64 {
	snap := h.core.Config.Snapshot()
	if snap == nil || snap.Teams["marker"] == nil {
		return -1
	}
	return snap.Teams["marker"].Burst - 1
}

func (w *world) addKey(team int, value string) *key {
	k := &key{value: value, team: teamName(team), instance: "key-" + value}
	w.requests.mu.Lock()
	w.requests.keys = append(w.requests.keys, value)
	w.requests.mu.Unlock()
	w.submit(k.instance, "key", map[string]any{"team": k.team, "hash": config.HashKey(value)})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys[team] = append(w.keys[team], k)
	return k
}

// withdrawKey withdraws a key. Callers go on using it.
func (w *world) withdrawKey(k *key) {
	w.put(k.instance, config.Instance{
		Template: "key", Withdrawn: true, Params: encode(map[string]any{"team": k.team, "hash": config.HashKey(k.value)}),
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	k.withdrawn = time.Now()
}

// keyOf returns one of a team's keys, selected by a random number. It may be
// withdrawn.
func (w *world) keyOf(team, draw int) *key {
	w.mu.Lock()
	defer w.mu.Unlock()
	keys := w.keys[team]
	return keys[draw%len(keys)]
}

// setLeaving marks an engine as leaving, or removes the mark.
func (w *world) setLeaving(name string, leaving bool) {
	i := slices.Index(w.engineNames, name)
	w.submitEngine(name, i, leaving)
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving {
		w.leavingPeriods = append(w.leavingPeriods, leavingPeriod{from: time.Now(), target: name})
		return
	}
	for j := range w.leavingPeriods {
		if w.leavingPeriods[j].target == name && w.leavingPeriods[j].until.IsZero() {
			w.leavingPeriods[j].until = time.Now()
		}
	}
}

func (w *world) submitEngine(name string, i int, leaving bool) {
	w.submit(name, "engine", map[string]any{
		"name": name, "address": addressOf(name), "zone": zones[i%len(zones)], "pool": "drafting", "memory_bytes": int64(engineMemory),
		"checks_fence": i%2 == 0, "order_seconds": 10, "leaving": leaving,
	})
}
