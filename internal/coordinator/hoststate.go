package coordinator

import (
	"math/rand/v2"
	"time"

	"buckthornseam.dev/coord/crashcause"
	"buckthornseam.dev/coord/longprompt"
)

// hostState is what a host has reported and what the coordinator has sent to it.
type hostState struct {
	incarnation  string
	reportedAt   time.Duration
	waiting      []WaitingRequests
	waitingAt    time.Duration
	running      map[runKey]int
	load         map[string]int     // running requests by target
	use          map[string]float64 // by team since the host started
	countedUse   map[string]float64 // the host's part of totals.use
	useEpoch     uint64             // epoch of the use of other hosts that is sent to it
	sentBalances bool
	owned        map[string]EngineView
	unreachable  []string
	leaving      bool
	cutOff       bool   // it has lost its way to all targets
	reports      uint64 // reports received from it
	othersCount  uint64 // reports of all other hosts at the last update sent to it
	// leavingSince is when the host first reported that it leaves.
	leavingSince time.Duration

	sentVersions  map[string]uint64 // version of the last update sent of each engine
	sentUse       map[string]float64
	sentLoad      map[string]int
	updateVersion uint64 // Coordinator.updateVersion of the last update sent
	sentLiveHosts []string
	sentLeaving   []string // last Update.LastLeaving sent
	sentCutOff    []string // last Update.CutOffHosts sent
	sentFailures  map[string]bool
	sentParts     crashcause.Cursor
	sentLong      map[string]*longprompt.Load // loads of long prefills that it was sent, by engine
	sentLimits    uint64                      // version of the limits that it was sent
	sentTargets   uint64                      // version of the leaving targets that it was sent
	sentCold      uint64                      // version of the cold targets that it was sent
	knownConfig   ConfigVersion               // the newest one that it has reported or was sent
	pushing       bool
	// knownEvacuations is the version of the list of evacuated zones that it has reported or was sent.
	knownEvacuations uint64
}

func newHostState(incarnation string) *hostState {
	return &hostState{
		incarnation: incarnation, running: map[runKey]int{}, load: map[string]int{}, use: map[string]float64{}, countedUse: map[string]float64{}, useEpoch: rand.Uint64(), owned: map[string]EngineView{},
		sentVersions: map[string]uint64{}, sentUse: map[string]float64{}, sentLoad: map[string]int{}, sentFailures: map[string]bool{}, sentLong: map[string]*longprompt.Load{},
	}
}

// totals are sums over all reporting hosts.
type totals struct {
	running       map[runKey]int
	load          map[string]int                      // by target
	use           map[string]float64                  // by team, since the first report of each host to this coordinator
	backlogs      map[modelKey]Backlog                // waiting requests by model
	boundBacklogs map[modelKey]map[string]RegionCount // those that are bound to regions, by homes.Key
}

func newTotals() totals {
	return totals{running: map[runKey]int{}, load: map[string]int{}, use: map[string]float64{}, backlogs: map[modelKey]Backlog{}}
}

// setRunning sets a host's number of running requests.
func (t *totals) setRunning(h *hostState, key runKey, n int) {
	d := n - h.running[key]
	addCount(h.running, key, d)
	addCount(h.load, key.engine, d)
	addCount(t.running, key, d)
	addCount(t.load, key.engine, d)
}

// remove subtracts a host's requests from the totals.
func (t *totals) remove(h *hostState) {
	for key := range h.running {
		t.setRunning(h, key, 0)
	}
	t.setWaiting(h, nil)
}

// addUse sets the use of a team at a host since its start and adds the difference to the
// total.
func (t *totals) addUse(h *hostState, team string, n float64) {
	d := n - h.use[team]
	h.use[team] = n
	h.countedUse[team] += d
	t.use[team] += d
}

// addCount adds d to a count and deletes it if it becomes 0.
func addCount[K comparable](counts map[K]int, key K, d int) {
	counts[key] += d
	if counts[key] == 0 {
		delete(counts, key)
	}
}
