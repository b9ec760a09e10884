package coldstart

import (
	"sort"
	"time"

	"buckthornseam.dev/coord/placement"
)

// Policy says how models are loaded in a replay.
type Policy struct {
	Name string
	// PerHost selects a baseline without a decider: each host loads models
	// for its own demand, evicts the least recently used ones, and keeps
	// models for ModelSpec.Idle.
	PerHost bool
	Options placement.Options
	Idle    time.Duration // overrides ModelSpec.Idle if not 0
}

// ColdStart is one load that requests waited for.
type ColdStart struct {
	Model       string
	At          time.Duration // arrival of the first request that waited
	MinLoadTime time.Duration // of the load alone, from the best cached copy at full speed
	FromStore   bool          // loaded from the weight store, without a cached copy
	Ready       time.Duration // when the waiting requests could be served
}

// Result is the outcome of a replay.
type Result struct {
	Policy          string
	Requests        int
	Waits           []time.Duration // waits of the cold requests, sorted
	ColdRequests    []ColdRequest   // requests that waited for a load
	ColdStarts      []ColdStart
	MissedDeadlines int // requests past their deadline
	Loads           int
	Overcommits     int
	IdleHours       float64 // accelerator hours in which loaded models ran no request
	Steps           int
}

// ColdRequest is a request that waited for a cold start.
type ColdRequest struct {
	ColdStart int           // index in Result.ColdStarts
	Offset    time.Duration // time since the first request of the cold start
}

// ColdQuantile returns a quantile of the waits of cold requests.
func (r *Result) ColdQuantile(q float64) time.Duration { return quantile(r.Waits, q) }

// Quantile returns a quantile of the waits of all requests.
func (r *Result) Quantile(q float64) time.Duration {
	all := make([]time.Duration, r.Requests-len(r.Waits), r.Requests)
	return quantile(append(all, r.Waits...), q)
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	i := int(q * float64(len(sorted)))
	return sorted[min(i, len(sorted)-1)]
}

// Delays and intervals of the simulation.
const (
	apiDelay         = 5 * time.Millisecond // of a call of the object API
	networkDelay     = time.Millisecond     // one way
	busyPollInterval = 20 * time.Millisecond
	pollInterval     = time.Second
	useInterval      = time.Second
)

type replay struct {
	clock
	trace        *Trace
	policy       Policy
	decider      *placement.Decider
	store        *weightStore
	engines      []*engine
	engineByName map[string]*engine
	specs        map[string]*placement.ModelSpec
	version      uint64
	records      map[string]uint64 // versions of the records, by kind and name
	waiting      map[string][]*waiter
	coldStart    map[string]int // current cold start of a model, index in Result.ColdStarts
	started      map[string]int
	running      map[string]int
	result       *Result
}

type waiter struct {
	req Request
}

// Run replays a trace under a policy.
func Run(t *Trace, p Policy) *Result {
	r := &replay{
		trace: t, policy: p, engineByName: map[string]*engine{}, specs: map[string]*placement.ModelSpec{},
		records: map[string]uint64{}, waiting: map[string][]*waiter{}, coldStart: map[string]int{},
		started: map[string]int{}, running: map[string]int{},
		result: &Result{Policy: p.Name, Requests: len(t.Requests)},
	}
	r.store = &weightStore{r: r, rate: t.StoreRate}
	r.setup()
	for i := range t.Requests {
		r.at(t.Requests[i].At, func() { r.handleArrival(t.Requests[i]) })
	}
	r.run(t.Length + time.Minute)
	for _, e := range r.engines {
		for _, rep := range e.replicas {
			r.addIdleTime(e, rep)
		}
	}
	sort.Slice(r.result.Waits, func(i, j int) bool { return r.result.Waits[i] < r.result.Waits[j] })
	return r.result
}

func (r *replay) setup() {
	var targets []placement.TargetSpec
	for _, pool := range r.trace.Pools {
		for i := range pool.Engines {
			spec := placement.TargetSpec{
				Name: engineName(pool.Name, i), Pool: pool.Name, Zone: "z", Bytes: pool.Bytes, RequestSlots: 8,
				ChecksFence: true, OrderTTL: 10 * time.Second,
			}
			targets = append(targets, spec)
			e := &engine{r: r, spec: spec, replicas: map[string]*replica{}, disk: map[string]bool{}}
			r.engines = append(r.engines, e)
			r.engineByName[spec.Name] = e
		}
	}
	models := append([]placement.ModelSpec(nil), r.trace.Models...)
	for i := range models {
		if r.policy.Idle > 0 {
			models[i].Idle = r.policy.Idle
		}
		r.specs[models[i].Name] = &models[i]
	}
	if r.policy.PerHost {
		r.every(time.Second, r.trace.Length, r.unloadIdle)
		return
	}
	opt := r.policy.Options
	opt.StoreRate = r.trace.StoreRate
	r.decider = placement.NewDecider(opt)
	r.decider.Configure(targets, models)
	r.decider.Sync(0, 0, nil, nil, 1)
	r.decider.SetActive(true)
	end := r.trace.Length + time.Minute
	r.every(pollInterval, end, func() {
		for _, e := range r.engines {
			r.decider.RecordReport(r.now, e.spec.Name, e.report())
		}
	})
	r.every(busyPollInterval, end, func() {
		if busy := r.decider.BusyTargets(); len(busy) > 0 {
			for _, name := range busy {
				r.decider.RecordReport(r.now, name, r.engineByName[name].report())
			}
			r.step()
		}
	})
	r.every(useInterval, end, r.recordUse)
}

func (r *replay) step() {
	r.result.Steps++
	for _, a := range r.decider.Step(r.now) {
		r.perform(a)
	}
}

// perform carries out an action; there are no faults in a replay.
func (r *replay) perform(a placement.Action) {
	wait := apiDelay
	res := placement.Result{Action: a}
	switch a.Kind {
	case placement.SendOrder:
		wait = 2 * networkDelay
		r.after(networkDelay, func() { res.Outcome = r.engineByName[a.Name].handleOrder(a.Order) })
	case placement.WriteTarget, placement.WriteClaims:
		key := string(rune('a'+int(a.Kind))) + a.Name
		if r.records[key] != a.Version {
			res.Outcome = placement.Conflict
			break
		}
		r.version++
		r.records[key] = r.version
		res.Version = r.version
	default:
		res.Outcome = placement.Failed // without faults the decider reads nothing back
	}
	r.after(wait, func() {
		r.decider.Done(r.now, res)
		r.step()
	})
}

func (r *replay) recordUse() {
	for _, name := range sortedNames(r.specs) {
		if r.started[name] > 0 || r.running[name] > 0 {
			r.decider.RecordUse(r.now, "hosts", name, r.started[name], r.running[name])
			r.started[name] = 0
		}
		if len(r.waiting[name]) > 0 {
			r.recordDemand(name)
		}
	}
	r.step()
}

func sortedNames(m map[string]*placement.ModelSpec) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// recordDemand reports the requests that wait for the model to the decider, for each host.
func (r *replay) recordDemand(model string) {
	byHost := map[int]*placement.Demand{}
	for _, w := range r.waiting[model] {
		deadline := w.req.At + r.trace.Deadline
		demand := byHost[w.req.Host]
		if demand == nil {
			demand = &placement.Demand{Host: string(rune('A' + w.req.Host)), Model: model, Earliest: deadline}
			byHost[w.req.Host] = demand
		}
		demand.Waiting++
		demand.Latest = max(demand.Latest, deadline)
	}
	for host := range r.trace.Hosts {
		if demand := byHost[host]; demand != nil {
			r.decider.RecordDemand(r.now, *demand)
		}
	}
}

// readyReplica returns a ready replica of the model.
func (r *replay) readyReplica(model string) (*engine, *replica) {
	for _, e := range r.engines {
		if rep := e.replicas[model]; rep != nil && rep.state == placement.StateReady && !rep.unloading {
			return e, rep
		}
	}
	return nil, nil
}

func (r *replay) handleArrival(req Request) {
	r.started[req.Model]++
	if e, rep := r.readyReplica(req.Model); rep != nil {
		r.serve(e, rep, req)
		return
	}
	if len(r.waiting[req.Model]) == 0 {
		r.coldStart[req.Model] = len(r.result.ColdStarts)
		r.result.ColdStarts = append(r.result.ColdStarts, r.newColdStart(req))
	}
	r.result.ColdRequests = append(r.result.ColdRequests, ColdRequest{ColdStart: r.coldStart[req.Model], Offset: req.At - r.result.ColdStarts[r.coldStart[req.Model]].At})
	r.waiting[req.Model] = append(r.waiting[req.Model], &waiter{req: req})
	if r.policy.PerHost {
		r.loadForHost(req)
		return
	}
	r.after(networkDelay, func() {
		r.recordDemand(req.Model)
		r.step()
	})
}

// newColdStart returns a cold start with the shortest time in which the model
// could be loaded now.
func (r *replay) newColdStart(req Request) ColdStart {
	spec := r.specs[req.Model]
	c := ColdStart{Model: req.Model, At: req.At, FromStore: true}
	best := placement.CacheRemote
	for _, e := range r.engines {
		if e.spec.Pool == spec.Pool {
			best = max(best, e.cache(req.Model))
		}
	}
	if spec.Base != "" {
		c.MinLoadTime, c.FromStore = adapterLoadTime, false
		if !r.hasReplica(spec.Base) {
			base := req
			base.Model = spec.Base
			c.MinLoadTime += r.newColdStart(base).MinLoadTime
		}
		return c
	}
	c.MinLoadTime = time.Duration(float64(spec.Bytes) / loadSpeed[best] * float64(time.Second))
	c.FromStore = best == placement.CacheRemote
	return c
}

// handleReady serves the requests that wait for a model, except those past their deadline.
func (r *replay) handleReady(model string) {
	e, rep := r.readyReplica(model)
	if rep == nil {
		return
	}
	waiting := r.waiting[model]
	r.waiting[model] = nil
	if len(waiting) > 0 {
		r.result.ColdStarts[r.coldStart[model]].Ready = r.now
	}
	for _, w := range waiting {
		wait := r.now - w.req.At
		r.result.Waits = append(r.result.Waits, wait)
		if wait > r.trace.Deadline {
			r.result.MissedDeadlines++
			continue
		}
		r.serve(e, rep, w.req)
	}
}

func (r *replay) serve(e *engine, rep *replica, req Request) {
	base := e.replicas[rep.base]
	r.startRequest(e, rep, req.Model)
	if base != nil {
		r.startRequest(e, base, rep.base)
	}
	r.after(req.Run, func() {
		r.endRequest(e, rep, req.Model)
		if base != nil {
			r.endRequest(e, base, rep.base)
		}
	})
}

func (r *replay) startRequest(e *engine, rep *replica, model string) {
	if rep.running == 0 {
		r.addIdleTime(e, rep)
	}
	rep.running++
	rep.lastUsed = r.now
	r.running[model]++
}

func (r *replay) endRequest(e *engine, rep *replica, model string) {
	r.running[model]--
	rep.running--
	rep.lastUsed = r.now
	if rep.running > 0 {
		return
	}
	rep.idleSince = r.now
	if rep.unloading {
		e.unload(model)
	}
}

// addIdleTime adds the idle time of a replica until now to the result.
func (r *replay) addIdleTime(e *engine, rep *replica) {
	if rep.state != placement.StateReady || rep.running > 0 {
		return
	}
	share := float64(rep.bytes) / float64(e.spec.Bytes)
	r.result.IdleHours += share * (r.now - rep.idleSince).Hours()
	rep.idleSince = r.now
}
