package steer

import (
	"slices"
	"sync"
	"time"
)

// BeginRequest counts a request as under way. The returned function ends it.
func (b *FleetView) BeginRequest(target, model string) func() {
	key := runKey{target, model}
	b.count(key, 1)
	return sync.OnceFunc(func() { b.count(key, -1) })
}

func (b *FleetView) count(key runKey, n int) {
	b.mu.Lock()
	b.running[key] += n
	b.load[key.engine] += n
	if b.running[key] == 0 {
		delete(b.running, key)
	}
	if b.load[key.engine] == 0 {
		delete(b.load, key.engine)
	}
	b.dirty[key] = true
	b.mu.Unlock()
}

// RecordArrival counts a request for a model.
func (b *FleetView) RecordArrival(service, model string) {
	b.mu.Lock()
	b.arrivals[modelKey{service, model}]++
	b.mu.Unlock()
}

// refuteFor is how long a copy that turned out to be missing is left alone:
// news of it come within a few tenths of a second.
const refuteFor = 500 * time.Millisecond

// RecordMissingModel notes that an engine did not have a model that it should have.
func (b *FleetView) RecordMissingModel(engine, model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuted[runKey{engine, model}] = b.now() + refuteFor
}

// BeginWait counts a request as waiting for a model until the returned function is
// called. Due is when it should have begun.
func (b *FleetView) BeginWait(service, model string, due time.Duration) func() {
	key := modelKey{service, model}
	b.mu.Lock()
	w := b.wants[key]
	if w == nil {
		w = &want{}
		b.wants[key] = w
	}
	w.dues = append(w.dues, due)
	b.mu.Unlock()
	b.kick()
	return sync.OnceFunc(func() {
		b.mu.Lock()
		if i := slices.Index(w.dues, due); i >= 0 {
			w.dues = slices.Delete(w.dues, i, i+1)
		}
		if len(w.dues) == 0 && b.wants[key] == w {
			delete(b.wants, key)
		}
		b.mu.Unlock()
		b.kick()
	})
}

// Waiting returns how many requests of this host wait for a model.
func (b *FleetView) Waiting(service, model string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.wants[modelKey{service, model}]; w != nil {
		return len(w.dues)
	}
	return 0
}

// missFor is how long a model counts as asked for after a request for it was
// refused: until the coordinator has begun its load.
const missFor = 2 * time.Second

// RecordUnloadable notes that a request was refused since no engine can have its model in
// time. The model is loaded all the same, for those that come later.
func (b *FleetView) RecordUnloadable(service, model string, due time.Duration) {
	key := modelKey{service, model}
	b.mu.Lock()
	known := b.now() < b.missed[key]
	b.missed[key] = b.now() + missFor
	b.mu.Unlock()
	if !known {
		time.AfterFunc(missFor, b.BeginWait(service, model, due))
	}
}

// late returns how many requests should have begun by now.
func (w *want) late(now time.Duration) int {
	n := 0
	for _, due := range w.dues {
		if due < now {
			n++
		}
	}
	return n
}

// report fills in what changed since the last report.
func (b *FleetView) report(r *Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for key, w := range b.wants {
		r.Wants = append(r.Wants, Want{Service: key.service, Model: key.model, Waiting: len(w.dues), Late: w.late(now), DueMS: (slices.Min(w.dues) - now).Milliseconds()})
	}
	if r.Full {
		for key, n := range b.running {
			r.Running = append(r.Running, RunCount{key.engine, key.model, n})
		}
	} else {
		for key := range b.dirty {
			r.Running = append(r.Running, RunCount{key.engine, key.model, b.running[key]})
		}
	}
	clear(b.dirty)
	for id := range b.health {
		if b.dark(id) {
			r.Dark = append(r.Dark, id)
		}
	}
	for key, n := range b.arrivals {
		r.Arrivals = append(r.Arrivals, Arrivals{key.service, key.model, n})
	}
	clear(b.arrivals)
}

// SetRemote takes in how many requests of other hosts run at targets.
func (b *FleetView) SetRemote(byTarget map[string]int) {
	b.mu.Lock()
	for id, n := range byTarget {
		b.remote[id] = n
	}
	b.mu.Unlock()
}
