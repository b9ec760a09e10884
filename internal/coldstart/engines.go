package coldstart

import (
	"fmt"
	"time"

	"buckthornseam.dev/coord/placement"
)

// engine simulates a model engine.
type engine struct {
	r        *replay
	spec     placement.TargetSpec
	seq      uint64
	maxFence uint64
	replicas map[string]*replica
	memory   []string // models cached in host memory, in the order of unloading
	disk     map[string]bool
}

type replica struct {
	state     placement.State
	order     string
	bytes     int64
	base      string
	running   int
	idleSince time.Duration // start of the idle time not yet added to the result
	lastUsed  time.Duration
	unloading bool
}

// maxMemoryCached is the number of unloaded models that stay in host memory.
const maxMemoryCached = 2

func (e *engine) used() int64 {
	var n int64
	for _, r := range e.replicas {
		n += r.bytes
	}
	return n
}

func (e *engine) cache(model string) placement.CacheTier {
	for _, m := range e.memory {
		if m == model {
			return placement.CacheMemory
		}
	}
	if e.disk[model] {
		return placement.CacheDisk
	}
	return placement.CacheRemote
}

func (e *engine) report() placement.Report {
	rep := placement.Report{
		Incarnation: "1", Sequence: e.seq, MaxFence: e.maxFence, Capacity: e.spec.Bytes, Used: e.used(),
		Replicas: map[string]placement.Replica{}, Cached: map[string]placement.CacheTier{}, TakenAt: e.r.now,
	}
	for name, r := range e.replicas {
		state := r.state
		if r.unloading {
			state = placement.StateUnloading
		}
		rep.Replicas[name] = placement.Replica{State: state, Order: r.order, Bytes: r.bytes}
		rep.Running += r.running
	}
	for m := range e.disk {
		rep.Cached[m] = e.cache(m)
	}
	return rep
}

func (e *engine) handleOrder(o placement.Order) placement.Outcome {
	if o.Fence < e.maxFence {
		return placement.Refused
	}
	e.seq++
	e.maxFence = o.Fence
	if o.Op == placement.OrderUnload {
		e.unload(o.Model)
		return placement.Succeeded
	}
	if e.replicas[o.Model] == nil {
		e.load(o.Model, o.Base, o.Bytes, o.Decision)
	}
	return placement.Succeeded
}

func (e *engine) load(model, base string, bytes int64, order string) {
	e.seq++
	rep := &replica{state: placement.StateLoading, order: order, bytes: bytes, base: base}
	e.replicas[model] = rep
	if e.used() > e.spec.Bytes {
		e.r.result.Overcommits++
	}
	e.r.result.Loads++
	done := func() {
		if e.replicas[model] != rep {
			return
		}
		e.seq++
		rep.state = placement.StateReady
		rep.idleSince = e.r.now
		rep.lastUsed = e.r.now
		e.disk[model] = true
		e.r.handleReady(model)
	}
	cache := e.cache(model)
	switch {
	case base != "":
		e.r.after(adapterLoadTime, done)
	case cache == placement.CacheRemote:
		e.r.store.startTransfer(float64(bytes), func() bool { return e.replicas[model] == rep }, done)
	default:
		e.r.after(time.Duration(float64(bytes)/loadSpeed[cache]*float64(time.Second)), done)
	}
}

func (e *engine) unload(model string) {
	rep := e.replicas[model]
	if rep == nil {
		return
	}
	rep.unloading = true
	if rep.running > 0 {
		return
	}
	e.seq++
	if rep.state == placement.StateReady {
		e.r.addIdleTime(e, rep)
		e.memory = append(e.memory, model)
		if len(e.memory) > maxMemoryCached {
			e.memory = e.memory[1:]
		}
	}
	delete(e.replicas, model)
}

// weightStore simulates the weight store: loads start at a bounded rate and share
// the speed of storeParallel loads.
type weightStore struct {
	r          *replay
	rate       float64
	nextStart  time.Duration
	transfers  []*transfer
	updatedAt  time.Duration // time of the last update
	generation int
}

type transfer struct {
	bytesLeft float64
	wanted    func() bool
	done      func()
}

func (s *weightStore) startTransfer(bytes float64, wanted func() bool, done func()) {
	start := max(s.r.now, s.nextStart)
	s.nextStart = start + time.Duration(float64(time.Second)/s.rate)
	s.r.at(start, func() {
		s.update()
		s.transfers = append(s.transfers, &transfer{bytesLeft: bytes, wanted: wanted, done: done})
		s.scheduleNext()
	})
}

func (s *weightStore) speed() float64 {
	return loadSpeed[placement.CacheRemote] * min(1, storeParallel/float64(max(1, len(s.transfers))))
}

// update advances all transfers to the current time, completes the finished ones
// and drops those that are no longer wanted.
func (s *weightStore) update() {
	transferred := s.speed() * (s.r.now - s.updatedAt).Seconds()
	s.updatedAt = s.r.now
	kept := s.transfers[:0]
	var finished []*transfer
	for _, t := range s.transfers {
		t.bytesLeft -= transferred
		if t.bytesLeft <= 1 {
			finished = append(finished, t)
			continue
		}
		if t.wanted() {
			kept = append(kept, t)
		}
	}
	s.transfers = kept
	for _, t := range finished {
		t.done()
	}
}

// scheduleNext schedules an update at the time when the next transfer finishes.
func (s *weightStore) scheduleNext() {
	s.generation++
	gen := s.generation
	minLeft := -1.0
	for _, t := range s.transfers {
		if minLeft < 0 || t.bytesLeft < minLeft {
			minLeft = t.bytesLeft
		}
	}
	if minLeft < 0 {
		return
	}
	wait := time.Duration(minLeft/s.speed()*float64(time.Second)) + time.Microsecond
	s.r.after(wait, func() {
		if gen == s.generation {
			s.update()
			s.scheduleNext()
		}
	})
}

func engineName(pool string, i int) string { return fmt.Sprintf("%s-%02d", pool, i) }
