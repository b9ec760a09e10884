package steer

import (
	"math/rand/v2"
	"time"
)

// reporter is what one host has reported.
type reporter struct {
	incarnation string
	at          time.Duration
	wants       []Want
	wantsAt     time.Duration
	running     map[runKey]int
	load        map[string]int     // of running, by target
	use         map[string]float64 // by team since the host started
	spent       map[string]float64 // its part of totals.use
	epoch       uint64             // of what it is told of the others' use
	owned       map[string]EngineView
	dark        []string
	leaving     bool

	sent     map[string]uint64 // version of the news of each engine that it has
	sentUse  map[string]float64
	sentLoad map[string]int
	toldAt   uint64 // version of the news it has
	live     []string
	struck   map[string]bool
	pushing  bool
}

func newReporter(incarnation string) *reporter {
	return &reporter{
		incarnation: incarnation, running: map[runKey]int{}, load: map[string]int{}, use: map[string]float64{}, spent: map[string]float64{}, epoch: rand.Uint64(), owned: map[string]EngineView{},
		sent: map[string]uint64{}, sentUse: map[string]float64{}, sentLoad: map[string]int{}, struck: map[string]bool{},
	}
}

// totals are sums over all hosts that report.
type totals struct {
	running map[runKey]int
	load    map[string]int     // by target
	use     map[string]float64 // by team, since this coordinator first heard of each host
	crowds  map[modelKey]Crowd // waiting requests by model
}

func newTotals() totals {
	return totals{running: map[runKey]int{}, load: map[string]int{}, use: map[string]float64{}, crowds: map[modelKey]Crowd{}}
}

// setRunning takes in a host's count of requests.
func (t *totals) setRunning(h *reporter, key runKey, n int) {
	d := n - h.running[key]
	add(h.running, key, d)
	add(h.load, key.engine, d)
	add(t.running, key, d)
	add(t.load, key.engine, d)
}

// remove takes a host out of the sums.
func (t *totals) remove(h *reporter) {
	for key := range h.running {
		t.setRunning(h, key, 0)
	}
	t.setWants(h, nil)
}

// spend takes in what a host has spent since its start.
func (t *totals) spend(h *reporter, team string, n float64) {
	d := n - h.use[team]
	h.use[team] = n
	h.spent[team] += d
	t.use[team] += d
}

// add changes a count and keeps only those above 0.
func add[K comparable](counts map[K]int, key K, d int) {
	counts[key] += d
	if counts[key] == 0 {
		delete(counts, key)
	}
}
