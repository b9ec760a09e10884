package coldstart

import (
	"fmt"
	"time"

	"buckthornseam.dev/coord/placement"
)

// engine is a model engine in fake time.
type engine struct {
	r        *replay
	spec     placement.TargetSpec
	seq      uint64
	maxFence uint64
	replicas map[string]*replica
	memory   []string // models in host memory, last unloaded last
	disk     map[string]bool
}

type replica struct {
	state   placement.State
	order   string
	bytes   int64
	base    string
	running int
	idleAt  time.Duration // since when ready without a request
	usedAt  time.Duration
	closing bool
}

// memoryCached is the number of unloaded models that stay in host memory.
const memoryCached = 2

func (e *engine) used() int64 {
	var n int64
	for _, r := range e.replicas {
		n += r.bytes
	}
	return n
}

func (e *engine) cache(model string) placement.Cache {
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
		Replicas: map[string]placement.Replica{}, Cached: map[string]placement.Cache{}, TakenAt: e.r.now,
	}
	for name, r := range e.replicas {
		state := r.state
		if r.closing {
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

func (e *engine) take(o placement.Order) placement.Outcome {
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
		rep.idleAt = e.r.now
		rep.usedAt = e.r.now
		e.disk[model] = true
		e.r.ready(model)
	}
	cache := e.cache(model)
	switch {
	case base != "":
		e.r.after(adapterTime, done)
	case cache == placement.CacheRemote:
		e.r.store.fetch(float64(bytes), func() bool { return e.replicas[model] == rep }, done)
	default:
		e.r.after(time.Duration(float64(bytes)/loadSpeed[cache]*float64(time.Second)), done)
	}
}

func (e *engine) unload(model string) {
	rep := e.replicas[model]
	if rep == nil {
		return
	}
	rep.closing = true
	if rep.running > 0 {
		return
	}
	e.seq++
	if rep.state == placement.StateReady {
		e.r.idle(e, rep)
		e.memory = append(e.memory, model)
		if len(e.memory) > memoryCached {
			e.memory = e.memory[1:]
		}
	}
	delete(e.replicas, model)
}

// store is the weight store: loads start at a bounded rate and share the
// speed of storeParallel loads.
type store struct {
	r      *replay
	rate   float64
	next   time.Duration
	active []*fetch
	at     time.Duration // when the progress was last brought up to date
	gen    int
}

type fetch struct {
	left   float64
	wanted func() bool
	done   func()
}

func (s *store) fetch(bytes float64, wanted func() bool, done func()) {
	start := max(s.r.now, s.next)
	s.next = start + time.Duration(float64(time.Second)/s.rate)
	s.r.at(start, func() {
		s.progress()
		s.active = append(s.active, &fetch{left: bytes, wanted: wanted, done: done})
		s.plan()
	})
}

func (s *store) speed() float64 {
	return loadSpeed[placement.CacheRemote] * min(1, storeParallel/float64(max(1, len(s.active))))
}

// progress brings all loads up to date and ends those that are finished.
func (s *store) progress() {
	gone := s.speed() * (s.r.now - s.at).Seconds()
	s.at = s.r.now
	kept := s.active[:0]
	var ended []*fetch
	for _, f := range s.active {
		f.left -= gone
		if f.left <= 1 {
			ended = append(ended, f)
			continue
		}
		if f.wanted() {
			kept = append(kept, f)
		}
	}
	s.active = kept
	for _, f := range ended {
		f.done()
	}
}

// plan wakes the store at the end of the load that ends first.
func (s *store) plan() {
	s.gen++
	gen := s.gen
	first := -1.0
	for _, f := range s.active {
		if first < 0 || f.left < first {
			first = f.left
		}
	}
	if first < 0 {
		return
	}
	wait := time.Duration(first/s.speed()*float64(time.Second)) + time.Microsecond
	s.r.after(wait, func() {
		if gen == s.gen {
			s.progress()
			s.plan()
		}
	})
}

func engineName(pool string, i int) string { return fmt.Sprintf("%s-%02d", pool, i) }
