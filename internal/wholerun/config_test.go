package wholerun

import (
	"fmt"
	"slices"
	"time"

	"buckthornseam.dev/seam/internal/config"
)

// Rates of the teams. The traffic of the first team is well beyond its rate, that
// of the others now and then.
var (
	teamRate  = [teamCount]int{20, 60, 120} // tokens a second
	teamBurst = [teamCount]int{40, 200, 300}
)

// moneyCost is what a call to the billing service is charged.
const moneyCost = 5 // tokens

// key is a key of a team with its life in the operators' view.
type key struct {
	value     string
	team      string
	instance  string
	withdrawn time.Time // zero while in force
}

// applied is a change of the configuration whose effect is checked.
type applied struct {
	at     time.Time
	target string // leaving target
	until  time.Time
}

// span is a stretch of time.
type span struct{ from, until time.Time }

func teamName(i int) string  { return fmt.Sprintf("team-%d", i) }
func modelName(i int) string { return fmt.Sprintf("m-%d", i) }

// offered reports whether a team may use a model: each model has two teams.
func offered(team, model int) bool { return model%teamCount == team || (model+1)%teamCount == team }

// submitAll puts the configuration that the run starts with.
func (w *world) submitAll(seed uint64) {
	for i := range teamCount {
		w.submitTeam(i, teamRate[i], teamBurst[i])
		w.giveKey(i, fmt.Sprintf("secret-%d-%d-stable", seed, i))
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
	w.submit("billing", "service", map[string]any{"name": "billing", "prefix": "/billing", "non_repeatable": true, "cost": moneyCost})
	w.submit("tariffs", "service", map[string]any{"name": "tariffs", "prefix": "/tariffs", "open": true})
	w.mark(0)
}

func (w *world) submitTeam(i, rate, burst int) {
	w.submit(teamName(i), "team", map[string]any{"name": teamName(i), "rate": rate, "burst": burst})
}

// mark puts a configuration that is newer than all before it and can be told
// from them by the burst of a team that nobody uses.
func (w *world) mark(n int) {
	w.submit("marker", "team", map[string]any{"name": "marker", "rate": 1, "burst": n + 1})
}

// markOf returns the mark of the configuration in force on a host, -1 if none.
func markOf(h *host) int64 {
	snap := h.core.Config.Snapshot()
	if snap == nil || snap.Teams["marker"] == nil {
		return -1
	}
	return snap.Teams["marker"].Burst - 1
}

func (w *world) giveKey(team int, value string) *key {
	k := &key{value: value, team: teamName(team), instance: "key-" + value}
	w.watch.mu.Lock()
	w.watch.keys = append(w.watch.keys, value)
	w.watch.mu.Unlock()
	w.submit(k.instance, "key", map[string]any{"team": k.team, "hash": config.HashKey(value)})
	w.mu.Lock()
	defer w.mu.Unlock()
	w.keys[team] = append(w.keys[team], k)
	return k
}

// withdraw ends a key. Callers go on using it.
func (w *world) withdraw(k *key) {
	w.put(k.instance, config.Instance{
		Template: "key", Withdrawn: true, Params: encode(map[string]any{"team": k.team, "hash": config.HashKey(k.value)}),
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	k.withdrawn = time.Now()
}

// anyKey returns a key of a team, now and then a withdrawn one.
func (w *world) anyKey(team, draw int) *key {
	w.mu.Lock()
	defer w.mu.Unlock()
	keys := w.keys[team]
	return keys[draw%len(keys)]
}

// setLeaving marks an engine as leaving, or takes the mark away.
func (w *world) setLeaving(name string, leaving bool) {
	i := slices.Index(w.engineNames, name)
	w.submitEngine(name, i, leaving)
	w.mu.Lock()
	defer w.mu.Unlock()
	if leaving {
		w.apply = append(w.apply, applied{at: time.Now(), target: name})
		return
	}
	for j := range w.apply {
		if w.apply[j].target == name && w.apply[j].until.IsZero() {
			w.apply[j].until = time.Now()
		}
	}
}

func (w *world) submitEngine(name string, i int, leaving bool) {
	w.submit(name, "engine", map[string]any{
		"name": name, "address": addressOf(name), "zone": zones[i%len(zones)], "pool": "drafting", "memory_bytes": int64(engineMemory),
		"checks_fence": i%2 == 0, "order_seconds": 10, "leaving": leaving,
	})
}
