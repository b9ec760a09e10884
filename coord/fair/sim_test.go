package fair

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"buckthornseam.dev/coord/routing"
)

// The simulation runs the queues, nodes and routing tables of several hosts in
// simulated time. Each engine runs a fixed number of requests and queues the
// rest in order of arrival.

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type simConfig struct {
	seed              uint64
	hosts             int
	engines           int
	slots             int // of each engine
	duration          time.Duration
	fifo              bool // hosts dispatch at once, without fair queueing
	noCoordinator     bool
	loss, duplication float64 // of messages between hosts
	maxDelay          time.Duration
	reportLag         time.Duration
	ready             map[string][]int // engines on which a model is ready, by model; nil for no models
	noFlowGrants      bool
	noQuotas          bool // hosts route by reports alone
	ideal             bool // requests go to the engine with the least load at that moment
}

type simTeam struct {
	name     string
	model    string
	weight   float64
	rate     float64 // requests per second
	hosts    []int
	service  time.Duration // mean; half is constant and half exponentially distributed
	deadline time.Duration
	from     time.Duration // first arrival
	duration time.Duration // of the arrivals; zero for the whole run
}

type simRequest struct {
	Request
	arrived, dispatched, firstToken time.Duration
	service                         time.Duration
	host                            *simHost
	route                           routing.Handle
	refused                         *Refusal
}

const (
	simPrefill      = 200 * time.Millisecond
	simTick         = 250 * time.Millisecond
	simLatency      = time.Millisecond
	simMinReportGap = 20 * time.Millisecond
	simQueueLimit   = 100000
)

type simEngine struct {
	running int
	queue   []*simRequest
}

type simHost struct {
	name            string
	q               *Queue
	node            *Node
	routes          *routing.Table
	lastReport      time.Duration
	reportScheduled bool
}

type sim struct {
	simConfig
	now          time.Duration
	seq          int
	events       events
	rng          *rand.Rand
	tree         *Tree
	hosts        []*simHost
	byName       map[string]*simHost
	engines      []*simEngine
	byTarget     map[string]*simEngine
	targets      Targets
	seenLoad     []int // running and waiting by engine, as known to the hosts
	requests     []*simRequest
	byID         map[uint64]*simRequest
	messages     int
	crashedHost  string        // empty if none
	isolatedHost string        // cut off from its peers; empty if none
	idle         time.Duration // slot time idle while a request waited at a host
	violation    string
}

func newSim(c simConfig) *sim {
	s := &sim{simConfig: c, rng: rand.New(rand.NewPCG(c.seed, 1)), byName: map[string]*simHost{}, byID: map[uint64]*simRequest{}, byTarget: map[string]*simEngine{}}
	s.seenLoad = make([]int, c.engines)
	if !c.noFlowGrants {
		s.targets.Ready = c.ready
	}
	var names []string
	for i := range c.hosts {
		h := &simHost{name: fmt.Sprintf("h%d", i), q: NewQueue(Limits{MaxTeamWaiting: simQueueLimit, MaxPoolWaiting: simQueueLimit}), node: NewNode()}
		h.routes = routing.New(routing.Options{Seed: c.seed + uint64(i)})
		h.routes.SetTargets(simTargets(c))
		for i := range c.engines {
			h.routes.ApplyReport(fmt.Sprintf("e%d", i), routing.Load{Ready: c.models(i)})
		}
		s.hosts = append(s.hosts, h)
		s.byName[h.name] = h
		names = append(names, h.name)
	}
	s.tree = NewTree("pool", names)
	for i := range c.engines {
		e := &simEngine{}
		s.engines = append(s.engines, e)
		s.byTarget[fmt.Sprintf("e%d", i)] = e
		s.targets.Slots = append(s.targets.Slots, c.slots)
	}
	for i, h := range s.hosts {
		h.q.SetCapacity(Capacity{Slots: c.engines * c.slots, Free: -1, Hosts: c.hosts}, s.modelCapacity())
		h.node.SetTree(s.tree)
		tick := s.tree.Interval()
		s.every(tick*time.Duration(i+1)/time.Duration(c.hosts), tick, func() { s.tick(h) })
	}
	s.every(simTick, simTick, s.readEngines)
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: f})
}

func (s *sim) every(first, period time.Duration, f func()) {
	s.after(first, func() {
		f()
		s.every(period, period, f)
	})
}

// arrivals schedules the requests of a team as a Poisson process.
func (s *sim) arrivals(t simTeam) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(len(t.name))+uint64(t.rate)))
	end := s.duration
	if t.duration > 0 {
		end = t.from + t.duration
	}
	at := t.from
	for n := 0; ; n++ {
		at += time.Duration(rng.ExpFloat64() / t.rate * float64(time.Second))
		if at > end {
			return
		}
		service := t.service/2 + time.Duration(rng.ExpFloat64()*float64(t.service/2))
		h := s.hosts[t.hosts[rng.IntN(len(t.hosts))]]
		r := &simRequest{arrived: at, service: max(service, simPrefill), host: h}
		r.Request = Request{ID: uint64(len(s.requests) + 1), Team: t.name, Model: t.model, Weight: t.weight, Tokens: int64(service / (10 * time.Millisecond)), Deadline: at + t.deadline}
		s.requests = append(s.requests, r)
		s.byID[r.ID] = r
		s.after(at, func() { s.arrive(r) })
	}
}

func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > s.duration+time.Minute {
			return
		}
		s.account(e.at)
		s.now = e.at
		e.run()
	}
}

// account adds up the time for which slots are idle while a request waits at a host.
func (s *sim) account(next time.Duration) {
	waiting, busy := 0, 0
	for _, h := range s.hosts {
		waiting += h.q.Waiting()
	}
	for _, e := range s.engines {
		busy += e.running
	}
	if free := s.slots*len(s.engines) - busy; waiting > 0 && s.now < s.duration {
		s.idle += time.Duration(min(free, waiting)) * (next - s.now)
	}
}

func (s *sim) arrive(r *simRequest) {
	for i := 0; r.host.name == s.crashedHost; i++ {
		r.host = s.hosts[i]
	}
	if s.fifo {
		s.send(r)
		return
	}
	if ref := r.host.q.Push(s.now, r.Request); ref != nil {
		s.refuse(ref)
	}
	s.after(r.Deadline-s.now, func() { s.dispatch(r.host) })
	s.dispatch(r.host)
}

func (s *sim) refuse(ref *Refusal) {
	r := s.byID[ref.Request.ID]
	if r.refused != nil || r.dispatched > 0 {
		s.violation = fmt.Sprintf("request %d answered twice", r.ID)
	}
	if s.now > r.Deadline {
		s.violation = fmt.Sprintf("request %d refused %v after its deadline", r.ID, s.now-r.Deadline)
	}
	r.refused = ref
}

func (s *sim) dispatch(h *simHost) {
	if h.name == s.crashedHost {
		return
	}
	for {
		req, ok := h.q.Next(s.now)
		if !ok {
			break
		}
		s.send(s.byID[req.ID])
	}
	for _, ref := range h.q.TakeRefusals(s.now) {
		s.refuse(ref)
	}
	if h.q.HasUrgentDemand(s.now) && !h.reportScheduled {
		h.reportScheduled = true
		s.after(max(h.lastReport+simMinReportGap-s.now, 0), func() {
			h.reportScheduled = false
			s.report(h)
		})
	}
}

func (s *sim) send(r *simRequest) {
	if r.refused != nil || r.dispatched > 0 || s.now >= r.Deadline && !s.fifo {
		s.violation = fmt.Sprintf("request %d dispatched after it was answered or its deadline passed", r.ID)
	}
	r.dispatched = max(s.now, 1)
	e := s.choose(r)
	if e.running < s.slots {
		s.start(e, r)
		return
	}
	e.queue = append(e.queue, r)
}

// choose picks an engine by the host's routing table, or the least loaded one if ideal is set.
func (s *sim) choose(r *simRequest) *simEngine {
	if s.ideal {
		best := s.engines[0]
		for _, e := range s.engines {
			if e.running+len(e.queue) < best.running+len(best.queue) {
				best = e
			}
		}
		return best
	}
	var d routing.Decision
	if !r.host.routes.Pick(s.now, r.query(), &d) {
		panic("no target")
	}
	r.route = d.Chosen
	r.host.routes.RecordSent(s.now, d.Chosen, r.query())
	return s.byTarget[r.host.routes.Name(d.Chosen)]
}

func (r *simRequest) query() routing.Query { return routing.Query{Pool: "pool", Model: r.Model} }

// models returns the models that are ready on an engine.
func (c *simConfig) models(engine int) []string {
	var out []string
	for model, engines := range c.ready {
		if slices.Contains(engines, engine) {
			out = append(out, model)
		}
	}
	slices.Sort(out)
	return out
}

func simTargets(c simConfig) []routing.Target {
	var out []routing.Target
	for i := range c.engines {
		out = append(out, routing.Target{Name: fmt.Sprintf("e%d", i), Pool: "pool", Slots: c.slots, Engine: c.ready != nil})
	}
	return out
}

func (s *sim) start(e *simEngine, r *simRequest) {
	e.running++
	r.firstToken = s.now + simPrefill
	s.after(r.service, func() {
		e.running--
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			s.start(e, next)
		}
		if !s.ideal {
			r.host.routes.RecordDone(s.now, r.route, r.query(), routing.Outcome{OK: true, Duration: s.now - r.dispatched})
		}
		if !s.fifo {
			r.host.q.Release(r.Request)
			s.dispatch(r.host)
		}
	})
}

// teamStats summarizes the outcomes of one team's requests over a period.
type teamStats struct {
	served, refused int
	p50, p95, p99   time.Duration // arrival to first token
	queueP95        time.Duration // arrival to dispatch
	slotTime        time.Duration
}

func (s *sim) stats(team string, from, to time.Duration) teamStats {
	var st teamStats
	var first, queue []time.Duration
	for _, r := range s.requests {
		if r.Team != team || r.arrived < from || r.arrived >= to {
			continue
		}
		if r.refused != nil {
			st.refused++
			continue
		}
		if r.firstToken == 0 {
			continue // still waiting at an engine when the run ended
		}
		st.served++
		st.slotTime += r.service
		first = append(first, r.firstToken-r.arrived)
		queue = append(queue, r.dispatched-r.arrived)
	}
	st.p50, st.p95, st.p99 = quantile(first, 0.5), quantile(first, 0.95), quantile(first, 0.99)
	st.queueP95 = quantile(queue, 0.95)
	return st
}

func quantile(d []time.Duration, q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[min(int(q*float64(len(d))), len(d)-1)]
}
