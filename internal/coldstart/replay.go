package coldstart

import (
	"sort"
	"time"

	"buckthornseam.dev/coord/placement"
)

// Policy says how models are loaded in a replay.
type Policy struct {
	Name string
	// OwnDemand has each host load on its own demand, evict the least
	// recently used, and keep models for ModelSpec.Idle.
	OwnDemand bool
	Options   placement.Options
	Idle      time.Duration // overrides ModelSpec.Idle if not 0
}

// Cold is one load that requests waited for.
type Cold struct {
	Model string
	At    time.Duration // first request that waited
	Alone time.Duration // the load alone at full speed from the best cached copy
	Store bool          // no cached copy: came from the weight store
	Ready time.Duration // when the requests were served
}

// Result is the outcome of a replay.
type Result struct {
	Policy      string
	Requests    int
	Waits       []time.Duration // of requests that waited, sorted
	Offsets     []Offset        // of requests that waited
	Colds       []Cold
	Missed      int // requests past their deadline
	Loads       int
	Overcommits int
	IdleHours   float64 // accelerator hours that loaded models ran nothing
	Steps       int
}

// Offset places a request that waited in its cold start.
type Offset struct {
	Cold  int           // index in Colds
	After time.Duration // arrival after the first request
}

// P returns a quantile of the waits of cold requests.
func (r *Result) P(q float64) time.Duration { return quantile(r.Waits, q) }

// PAll returns a quantile of the waits of all requests.
func (r *Result) PAll(q float64) time.Duration {
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

// Delays of the fake world.
const (
	writeTime = 5 * time.Millisecond // of one call of the object API
	wireTime  = time.Millisecond     // one way
	fastPoll  = 20 * time.Millisecond
	slowPoll  = time.Second
	useEvery  = time.Second
)

type replay struct {
	clock
	trace   *Trace
	policy  Policy
	d       *placement.Decider
	store   *store
	engines []*engine
	byName  map[string]*engine
	specs   map[string]*placement.ModelSpec
	version uint64
	records map[string]uint64 // versions of the records, by kind and name
	waiting map[string][]*waiter
	cold    map[string]int // current cold start of a model, index in Colds
	used    map[string]int
	running map[string]int
	result  *Result
}

type waiter struct {
	req Request
}

// Run replays a trace under a policy.
func Run(t *Trace, p Policy) *Result {
	r := &replay{
		trace: t, policy: p, byName: map[string]*engine{}, specs: map[string]*placement.ModelSpec{},
		records: map[string]uint64{}, waiting: map[string][]*waiter{}, cold: map[string]int{},
		used: map[string]int{}, running: map[string]int{},
		result: &Result{Policy: p.Name, Requests: len(t.Requests)},
	}
	r.store = &store{r: r, rate: t.StoreRate}
	r.setup()
	for i := range t.Requests {
		r.at(t.Requests[i].At, func() { r.arrive(t.Requests[i]) })
	}
	r.run(t.Length + time.Minute)
	for _, e := range r.engines {
		for _, rep := range e.replicas {
			r.idle(e, rep)
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
			r.byName[spec.Name] = e
		}
	}
	models := append([]placement.ModelSpec(nil), r.trace.Models...)
	for i := range models {
		if r.policy.Idle > 0 {
			models[i].Idle = r.policy.Idle
		}
		r.specs[models[i].Name] = &models[i]
	}
	if r.policy.OwnDemand {
		r.every(time.Second, r.trace.Length, r.unloadIdle)
		return
	}
	opt := r.policy.Options
	opt.StoreRate = r.trace.StoreRate
	r.d = placement.NewDecider(opt)
	r.d.Configure(targets, models)
	r.d.Sync(0, 0, nil, nil, 1)
	r.d.SetActive(true)
	end := r.trace.Length + time.Minute
	r.every(slowPoll, end, func() {
		for _, e := range r.engines {
			r.d.Report(r.now, e.spec.Name, e.report())
		}
	})
	r.every(fastPoll, end, func() {
		if watched := r.d.BusyTargets(); len(watched) > 0 {
			for _, name := range watched {
				r.d.Report(r.now, name, r.byName[name].report())
			}
			r.step()
		}
	})
	r.every(useEvery, end, r.tellUse)
}

func (r *replay) step() {
	r.result.Steps++
	for _, a := range r.d.Step(r.now) {
		r.perform(a)
	}
}

// perform carries out an action without faults.
func (r *replay) perform(a placement.Action) {
	wait := writeTime
	res := placement.Result{Action: a}
	switch a.Kind {
	case placement.SendOrder:
		wait = 2 * wireTime
		r.after(wireTime, func() { res.Outcome = r.byName[a.Name].take(a.Order) })
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
		res.Outcome = placement.Failed // nothing is read back in a world without faults
	}
	r.after(wait, func() {
		r.d.Done(r.now, res)
		r.step()
	})
}

func (r *replay) tellUse() {
	for _, name := range sortedNames(r.specs) {
		if r.used[name] > 0 || r.running[name] > 0 {
			r.d.RecordUse(r.now, "hosts", name, r.used[name], r.running[name])
			r.used[name] = 0
		}
		if len(r.waiting[name]) > 0 {
			r.want(name)
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

// want tells the decider who waits for the model, host by host.
func (r *replay) want(model string) {
	byHost := map[int]*placement.Demand{}
	for _, w := range r.waiting[model] {
		deadline := w.req.At + r.trace.Deadline
		have := byHost[w.req.Host]
		if have == nil {
			have = &placement.Demand{Host: string(rune('A' + w.req.Host)), Model: model, Earliest: deadline}
			byHost[w.req.Host] = have
		}
		have.Waiting++
		have.Latest = max(have.Latest, deadline)
	}
	for host := range r.trace.Hosts {
		if w := byHost[host]; w != nil {
			r.d.RecordDemand(r.now, *w)
		}
	}
}

// replicaOf returns a ready replica of the model.
func (r *replay) replicaOf(model string) (*engine, *replica) {
	for _, e := range r.engines {
		if rep := e.replicas[model]; rep != nil && rep.state == placement.StateReady && !rep.closing {
			return e, rep
		}
	}
	return nil, nil
}

func (r *replay) arrive(req Request) {
	r.used[req.Model]++
	if e, rep := r.replicaOf(req.Model); rep != nil {
		r.serve(e, rep, req)
		return
	}
	if len(r.waiting[req.Model]) == 0 {
		r.cold[req.Model] = len(r.result.Colds)
		r.result.Colds = append(r.result.Colds, r.newCold(req))
	}
	r.result.Offsets = append(r.result.Offsets, Offset{Cold: r.cold[req.Model], After: req.At - r.result.Colds[r.cold[req.Model]].At})
	r.waiting[req.Model] = append(r.waiting[req.Model], &waiter{req: req})
	if r.policy.OwnDemand {
		r.ownLoad(req)
		return
	}
	r.after(wireTime, func() {
		r.want(req.Model)
		r.step()
	})
}

// newCold notes the shortest time in which the model could be loaded now.
func (r *replay) newCold(req Request) Cold {
	spec := r.specs[req.Model]
	c := Cold{Model: req.Model, At: req.At, Store: true}
	best := placement.CacheRemote
	for _, e := range r.engines {
		if e.spec.Pool == spec.Pool {
			best = max(best, e.cache(req.Model))
		}
	}
	if spec.Base != "" {
		c.Alone, c.Store = adapterTime, false
		if !r.loading(spec.Base) {
			base := req
			base.Model = spec.Base
			c.Alone += r.newCold(base).Alone
		}
		return c
	}
	c.Alone = time.Duration(float64(spec.Bytes) / loadSpeed[best] * float64(time.Second))
	c.Store = best == placement.CacheRemote
	return c
}

// ready serves the requests that waited for a model.
func (r *replay) ready(model string) {
	e, rep := r.replicaOf(model)
	if rep == nil {
		return
	}
	waiting := r.waiting[model]
	r.waiting[model] = nil
	if len(waiting) > 0 {
		r.result.Colds[r.cold[model]].Ready = r.now
	}
	for _, w := range waiting {
		wait := r.now - w.req.At
		r.result.Waits = append(r.result.Waits, wait)
		if wait > r.trace.Deadline {
			r.result.Missed++
			continue
		}
		r.serve(e, rep, w.req)
	}
}

func (r *replay) serve(e *engine, rep *replica, req Request) {
	base := e.replicas[rep.base]
	r.begin(e, rep, req.Model)
	if base != nil {
		r.begin(e, base, rep.base)
	}
	r.after(req.Run, func() {
		r.end(e, rep, req.Model)
		if base != nil {
			r.end(e, base, rep.base)
		}
	})
}

func (r *replay) begin(e *engine, rep *replica, model string) {
	if rep.running == 0 {
		r.idle(e, rep)
	}
	rep.running++
	rep.usedAt = r.now
	r.running[model]++
}

func (r *replay) end(e *engine, rep *replica, model string) {
	r.running[model]--
	rep.running--
	rep.usedAt = r.now
	if rep.running > 0 {
		return
	}
	rep.idleAt = r.now
	if rep.closing {
		e.unload(model)
	}
}

// idle adds the idle time of a replica up to now to the result.
func (r *replay) idle(e *engine, rep *replica) {
	if rep.state != placement.StateReady || rep.running > 0 {
		return
	}
	share := float64(rep.bytes) / float64(e.spec.Bytes)
	r.result.IdleHours += share * (r.now - rep.idleAt).Hours()
	rep.idleAt = r.now
}
