package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// sim simulates a record store, engines and deciders in fake time.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	events    eventQueue
	serial    int
	version   uint64
	targets   map[string]StoredTarget
	claims    map[string]StoredClaims
	engines   map[string]*simEngine
	nodes     []*simNode
	models    []ModelSpec
	specs     []TargetSpec
	storeDown bool // the record store fails
	faults    bool
	errs      []string
	loads     map[string]int // loads started, by model
	loadLog   []string

	weightStoreLoads int
	speed            [3]float64
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
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
	heap.Push(&s.events, event{at: s.now + d, serial: s.serial, run: f})
}

func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = until
}

func (s *sim) randUpTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

func (s *sim) chance(p float64) bool { return s.faults && s.rng.Float64() < p }

func (s *sim) fail(format string, args ...any) {
	s.errs = append(s.errs, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// simEngine is a target that loads every model it is ordered to, without checking its
// memory, so that checkEngine finds the effect of a wrong decision.
type simEngine struct {
	sim         *sim
	spec        TargetSpec
	incarnation int
	startedAt   time.Duration
	down        bool
	sequence    uint64
	maxFence    uint64
	carriedOut  map[string]bool
	replicas    map[string]Replica
	cached      map[string]CacheTier
	running     int
}

func (s *sim) addEngine(spec TargetSpec) *simEngine {
	e := &simEngine{sim: s, spec: spec, cached: map[string]CacheTier{}}
	e.start()
	s.engines[spec.Name] = e
	s.specs = append(s.specs, spec)
	return e
}

func (e *simEngine) start() {
	e.incarnation++
	e.startedAt = e.sim.now
	e.down = false
	e.maxFence = 0
	e.carriedOut = map[string]bool{}
	e.replicas = map[string]Replica{}
}

func (e *simEngine) stop() {
	e.down = true
	e.replicas = map[string]Replica{}
}

func (e *simEngine) report() Report {
	r := Report{
		Incarnation: fmt.Sprint(e.incarnation), Sequence: e.sequence, MaxFence: e.maxFence, Capacity: e.spec.Bytes,
		Replicas: map[string]Replica{}, Cached: map[string]CacheTier{}, TakenAt: e.sim.now, Running: e.running,
	}
	for m, replica := range e.replicas {
		r.Replicas[m] = replica
		if replica.State != StateFailed {
			r.Used += replica.Bytes
		}
	}
	for m, c := range e.cached {
		r.Cached[m] = c
	}
	return r
}

func (e *simEngine) handleOrder(o Order) Outcome {
	if e.spec.ChecksFence && o.Fence < e.maxFence {
		return Refused
	}
	e.sequence++
	e.maxFence = max(e.maxFence, o.Fence)
	if e.carriedOut[o.Decision] {
		return Succeeded
	}
	e.carriedOut[o.Decision] = true
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
	e.sim.loads[o.Model]++
	e.sim.loadLog = append(e.sim.loadLog, o.Model)
	e.replicas[o.Model] = Replica{State: StateLoading, Order: o.Decision, Bytes: o.Bytes}
	e.sim.checkEngine(e)
	from := e.cached[o.Model]
	took := time.Duration(float64(o.Bytes) / e.sim.speed[from] * 1e9)
	if from == CacheRemote {
		e.sim.weightStoreLoads++
		if e.sim.weightStoreLoads > 4 {
			took = took * time.Duration(e.sim.weightStoreLoads) / 4
		}
	}
	incarnation := e.incarnation
	e.sim.after(took, func() {
		if from == CacheRemote {
			e.sim.weightStoreLoads--
		}
		r, ok := e.replicas[o.Model]
		if e.incarnation != incarnation || !ok || r.Order != o.Decision {
			return
		}
		e.sequence++
		r.State = StateReady
		if e.sim.chance(0.1) {
			r.State = StateFailed
		}
		e.cached[o.Model] = CacheDisk
		e.replicas[o.Model] = r
	})
}

// checkEngine checks the replicas of an engine against its stored record and its
// memory, and the number of replicas of each model on all engines.
func (s *sim) checkEngine(e *simEngine) {
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
		s.fail("%s holds %d bytes, memory is %d", e.spec.Name, sum, e.spec.Bytes)
	}
	for _, m := range s.models {
		n := 0
		for _, other := range s.engines {
			if r, ok := other.replicas[m.Name]; ok && r.State != StateFailed {
				n++
			}
		}
		if n > m.MaxReplicas {
			s.fail("%d replicas of %s, maximum is %d", n, m.Name, m.MaxReplicas)
		}
	}
}

// apply carries out a call of the record store.
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
		s.checkTargetRecord(a.Target)
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
					s.checkSlotClaimed(name, slot)
				}
			}
		}
	}
	return r
}

// checkTargetRecord checks a record against the engine's memory and the claims, and
// the engine against the record.
func (s *sim) checkTargetRecord(rec TargetRecord) {
	e := s.engines[rec.Target]
	if rec.AssignedBytes() > e.spec.Bytes {
		s.fail("record of %s assigns %d bytes, memory is %d", rec.Target, rec.AssignedBytes(), e.spec.Bytes)
	}
	s.checkEngine(e)
	for _, slot := range rec.Slots {
		s.checkSlotClaimed(rec.Target, slot)
	}
}

// checkSlotClaimed checks that a slot has a claim.
func (s *sim) checkSlotClaimed(target string, slot Slot) {
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

// every calls f at once, and again at intervals of d.
func (s *sim) every(d time.Duration, f func()) {
	f()
	s.after(d, func() { s.every(d, f) })
}
