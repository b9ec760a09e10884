package coordinator

import (
	"maps"
	"slices"
	"sync"
	"time"

	"buckthornseam.dev/coord/homes"
	"buckthornseam.dev/seam/internal/fleet"
)

// BeginRequest counts a request as running at a target until end is called. It returns false if the target is brittle and all
// slots of this host are in use.
func (f *FleetView) BeginRequest(t fleet.Target, model string) (end func(), ok bool) {
	key := runKey{t.ID, model}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isBrittle(t.Service) {
		if f.load[t.ID] >= f.slotsHeld(t.ID) {
			return nil, false
		}
		f.brittle.slots.Used(f.now(), t.ID, f.load[t.ID]+1)
	}
	f.count(key, 1)
	return sync.OnceFunc(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.count(key, -1)
	}), true
}

// count must be called with f.mu held.
func (f *FleetView) count(key runKey, n int) {
	f.running[key] += n
	f.load[key.engine] += n
	if f.running[key] == 0 {
		delete(f.running, key)
	}
	if f.load[key.engine] == 0 {
		delete(f.load, key.engine)
	}
	f.dirty[key] = true
}

// RecordArrival counts a new request for a model that may be served in the given regions; nil: in all.
func (f *FleetView) RecordArrival(service, model string, regions []string) {
	f.mu.Lock()
	f.arrivals[modelKey{service, model}]++
	f.recordBoundArrival(modelKey{service, model}, regions)
	f.mu.Unlock()
}

// missingTTL is how long a model that turned out to be missing at an engine is not chosen
// there. Updated views of the engine arrive within a few tenths of a second.
const missingTTL = 500 * time.Millisecond

// RecordMissingModel records that an engine does not have a model that its view lists, or
// could not load an adapter, given as MODEL/ADAPTER.
func (f *FleetView) RecordMissingModel(engine, model string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.missingUntil[runKey{engine, model}] = f.now() + missingTTL
}

// BeginWait counts a request as waiting for a model until the returned function is
// called. The request should begin by due, at a target of the given software version and in the given
// regions; nil means any.
func (f *FleetView) BeginWait(service, model string, version *string, regions []string, due time.Duration) func() {
	key := modelKey{service, model}
	f.mu.Lock()
	w := f.waiting[key]
	if w == nil {
		w = &waitList{countAt: map[string]int{}}
		f.waiting[key] = w
	}
	w.dues = append(w.dues, due)
	w.addAt(version, 1)
	w.addBound(regions, version, due)
	f.mu.Unlock()
	f.requestReport()
	return sync.OnceFunc(func() {
		f.mu.Lock()
		if i := slices.Index(w.dues, due); i >= 0 {
			w.dues = slices.Delete(w.dues, i, i+1)
			w.addAt(version, -1)
			w.removeBound(regions, version, due)
		}
		if len(w.dues) == 0 && f.waiting[key] == w {
			delete(f.waiting, key)
		}
		f.mu.Unlock()
		f.requestReport()
	})
}

// Waiting returns how many requests of this host wait for a model.
func (f *FleetView) Waiting(service, model string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.waiting[modelKey{service, model}]; w != nil {
		return len(w.dues)
	}
	return 0
}

// refusedTTL is how long a model counts as requested after a request for it was refused,
// so that the coordinator has time to begin its load.
const refusedTTL = 2 * time.Second

// refusedKey identifies requests for a model that was refused, by the regions to which they are bound.
type refusedKey struct {
	model   modelKey
	regions string // homes.Key
}

// RecordUnloadable records that a request was refused because no engine can load its model
// in time. The model counts as requested for refusedTTL, so that it is loaded for later
// requests. The regions are those in which the request may be served; nil: all.
func (f *FleetView) RecordUnloadable(service, model string, regions []string, due time.Duration) {
	key := refusedKey{modelKey{service, model}, homes.Key(regions)}
	f.mu.Lock()
	known := f.now() < f.refusedUntil[key]
	f.refusedUntil[key] = f.now() + refusedTTL
	f.mu.Unlock()
	if !known {
		time.AfterFunc(refusedTTL, f.BeginWait(service, model, nil, regions, due))
	}
}

// addAt changes the number of requests for a software version.
func (w *waitList) addAt(version *string, n int) {
	if version == nil {
		return
	}
	if w.countAt[*version] += n; w.countAt[*version] == 0 {
		delete(w.countAt, *version)
	}
}

// late returns the number of requests that are past their due time.
func (w *waitList) late(now time.Duration) int {
	return countLate(w.dues, now)
}

func countLate(dues []time.Duration, now time.Duration) int {
	n := 0
	for _, due := range dues {
		if due < now {
			n++
		}
	}
	return n
}

// report adds to r what changed since the last report.
func (f *FleetView) report(r *Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for key, w := range f.waiting {
		r.Waiting = append(r.Waiting, WaitingRequests{Service: key.service, Model: key.model, Count: len(w.dues), Late: w.late(now), DueMS: (slices.Min(w.dues) - now).Milliseconds(), CountAt: maps.Clone(w.countAt), Bound: w.boundCounts(now)})
	}
	if r.Full {
		for key, n := range f.running {
			r.Running = append(r.Running, RunningCount{key.engine, key.model, n})
		}
	} else {
		for key := range f.dirty {
			r.Running = append(r.Running, RunningCount{key.engine, key.model, f.running[key]})
		}
	}
	clear(f.dirty)
	for id := range f.health {
		if f.unreachable(id) {
			r.Unreachable = append(r.Unreachable, id)
		}
	}
	for key, n := range f.arrivals {
		r.Arrivals = append(r.Arrivals, Arrivals{key.service, key.model, n, f.takeBoundArrivals(key)})
	}
	clear(f.arrivals)
}

// SetRemoteLoad updates the number of requests of other hosts at the given targets.
func (f *FleetView) SetRemoteLoad(byTarget map[string]int) {
	f.mu.Lock()
	for id, n := range byTarget {
		f.remoteLoad[id] = n
	}
	f.mu.Unlock()
}
