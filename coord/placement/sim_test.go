package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// sim is a store of records, some engines and some deciders in fake time.
type sim struct {
	rng     *rand.Rand
	now     time.Duration
	events  eventQueue
	serial  int
	version uint64
	targets map[string]StoredTarget
	claims  map[string]StoredClaims
	engines map[string]*simEngine
	nodes   []*simNode
	models  []ModelSpec
	specs   []TargetSpec
	down    bool // store of records
	faults  bool
	errs    []string
	loads   map[string]int // loads begun, by model
	loadLog []string

	inStore int
	speed   [3]float64
}

type event struct {
	at time.Duration
	n  int
	f  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newSim(seed uint64) *sim {
	return &sim{
		rng:     rand.New(rand.NewPCG(seed, 5)),
		targets: map[string]StoredTarget{},
		claims:  map[string]StoredClaims{},
		engines: map[string]*simEngine{},
		loads:   map[string]int{},
		speed:   [3]float64{CacheRemote: 1e9, CacheDisk: 4e9, CacheMemory: 16e9},
		version: 1,
	}
}

func (s *sim) after(d time.Duration, f func()) {
	s.serial++
	heap.Push(&s.events, event{at: s.now + d, n: s.serial, f: f})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.f()
	}
	s.now = until
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d) + 1)) }
func (s *sim) chance(p float64) bool              { return s.faults && s.rng.Float64() < p }

func (s *sim) fail(format string, args ...any) {
	s.errs = append(s.errs, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// simEngine is a target that trusts its orders, so that the check shows what
// the deciders let through.
type simEngine struct {
	s        *sim
	spec     TargetSpec
	inc      int
	born     time.Duration
	down     bool
	seq      uint64
	maxFence uint64
	done     map[string]bool
	replicas map[string]Replica
	cached   map[string]Cache
	running  int
}

func (s *sim) addEngine(spec TargetSpec) *simEngine {
	e := &simEngine{s: s, spec: spec, cached: map[string]Cache{}}
	e.start()
	s.engines[spec.Name] = e
	s.specs = append(s.specs, spec)
	return e
}

func (e *simEngine) start() {
	e.inc++
	e.born = e.s.now
	e.down = false
	e.maxFence = 0
	e.done = map[string]bool{}
	e.replicas = map[string]Replica{}
}

func (e *simEngine) stop() {
	e.down = true
	e.replicas = map[string]Replica{}
}

func (e *simEngine) report() Report {
	r := Report{
		Incarnation: fmt.Sprint(e.inc), Sequence: e.seq, MaxFence: e.maxFence, Capacity: e.spec.Bytes,
		Replicas: map[string]Replica{}, Cached: map[string]Cache{}, TakenAt: e.s.now, Running: e.running,
	}
	for m, rep := range e.replicas {
		r.Replicas[m] = rep
		if rep.State != StateFailed {
			r.Used += rep.Bytes
		}
	}
	for m, c := range e.cached {
		r.Cached[m] = c
	}
	return r
}

func (e *simEngine) take(o Order) Outcome {
	if e.spec.ChecksFence && o.Fence < e.maxFence {
		return Refused
	}
	e.seq++
	e.maxFence = max(e.maxFence, o.Fence)
	if e.done[o.Decision] {
		return Succeeded
	}
	e.done[o.Decision] = true
	if o.Op == OrderUnload {
		delete(e.replicas, o.Model)
		return Succeeded
	}
	if r, ok := e.replicas[o.Model]; ok && r.State != StateFailed {
		return Succeeded
	}
	e.load(o)
	return Succeeded
}

func (e *simEngine) load(o Order) {
	e.s.loads[o.Model]++
	e.s.loadLog = append(e.s.loadLog, o.Model)
	e.replicas[o.Model] = Replica{State: StateLoading, Order: o.Decision, Bytes: o.Bytes}
	e.s.check(e)
	from := e.cached[o.Model]
	took := time.Duration(float64(o.Bytes) / e.s.speed[from] * 1e9)
	if from == CacheRemote {
		e.s.inStore++
		if e.s.inStore > 4 {
			took = took * time.Duration(e.s.inStore) / 4
		}
	}
	inc := e.inc
	e.s.after(took, func() {
		if from == CacheRemote {
			e.s.inStore--
		}
		r, ok := e.replicas[o.Model]
		if e.inc != inc || !ok || r.Order != o.Decision {
			return
		}
		e.seq++
		r.State = StateReady
		if e.s.chance(0.1) {
			r.State = StateFailed
		}
		e.cached[o.Model] = CacheDisk
		e.replicas[o.Model] = r
	})
}

// check holds the state of the engines against the decisions stored now.
func (s *sim) check(e *simEngine) {
	rec := s.targets[e.spec.Name].Record
	var sum int64
	for m, r := range e.replicas {
		if r.State == StateFailed {
			continue
		}
		sum += r.Bytes
		slot := rec.SlotOf(m)
		if slot == nil {
			s.fail("%s loads %s without a slot", e.spec.Name, m)
		}
	}
	if sum > e.spec.Bytes {
		s.fail("%s holds %d of %d bytes", e.spec.Name, sum, e.spec.Bytes)
	}
	for _, m := range s.models {
		n := 0
		for _, other := range s.engines {
			if r, ok := other.replicas[m.Name]; ok && r.State != StateFailed {
				n++
			}
		}
		if n > m.MaxReplicas {
			s.fail("%d replicas of %s, %d allowed", n, m.Name, m.MaxReplicas)
		}
	}
}

// apply carries out a call of the store of records.
func (s *sim) apply(a Action) Result {
	r := Result{Action: a}
	t, c := s.targets[a.Name], s.claims[a.Name]
	switch a.Kind {
	case ReadTarget:
		r.Target, r.Version = t.Record.Clone(), t.Version
	case ReadClaims:
		r.Claims, r.Version = c.Record.Clone(), c.Version
	case WriteTarget:
		if t.Version != a.Version {
			r.Outcome = Conflict
			return r
		}
		s.version++
		r.Version = s.version
		s.targets[a.Name] = StoredTarget{Record: a.Target.Clone(), Version: s.version}
		s.checkStored(a.Target)
	case WriteClaims:
		if c.Version != a.Version {
			r.Outcome = Conflict
			return r
		}
		s.version++
		r.Version = s.version
		s.claims[a.Name] = StoredClaims{Record: a.Claims.Clone(), Version: s.version}
		for _, name := range sortedKeys(s.targets) {
			for _, slot := range s.targets[name].Record.Slots {
				if slot.Base == a.Name || slot.Model == a.Name {
					s.checkClaimed(name, slot)
				}
			}
		}
	}
	return r
}

// checkStored holds a record against the limits, and the engine against it.
func (s *sim) checkStored(rec TargetRecord) {
	e := s.engines[rec.Target]
	if rec.DecidedBytes() > e.spec.Bytes {
		s.fail("%s has %d of %d bytes decided", rec.Target, rec.DecidedBytes(), e.spec.Bytes)
	}
	s.check(e)
	for _, slot := range rec.Slots {
		s.checkClaimed(rec.Target, slot)
	}
}

// checkClaimed requires the claim of a slot.
func (s *sim) checkClaimed(target string, slot Slot) {
	base := slot.Base
	if base == "" {
		base = slot.Model
	}
	for _, c := range s.claims[base].Record.Claims {
		if c.Decision == slot.Decision && c.Target == target {
			return
		}
	}
	s.fail("slot %s of %s on %s has no claim", slot.Decision, slot.Model, target)
}

// every repeats f from now on.
func (s *sim) every(d time.Duration, f func()) {
	f()
	s.after(d, func() { s.every(d, f) })
}
