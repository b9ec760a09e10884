package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"
)

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

// request is one entry of the trace, which is the same for all policies.
type request struct {
	at      time.Duration
	host    int
	service time.Duration
	prefix  uint64
}

const (
	simHosts    = 8
	simEngines  = 60
	simSlots    = 8
	simPrefill  = 200 * time.Millisecond
	simCached   = 80 * time.Millisecond // prefill with a cached prefix
	simCacheLen = 40                    // number of prefixes in the cache of an engine
	simLag      = time.Second
	simPeriod   = 500 * time.Millisecond
	simDuration = 60 * time.Second
)

// newTrace returns Poisson arrivals whose load alternates between 0.6 and 1.0 of the
// engines' slots, with Zipf-distributed prefixes.
func newTrace(seed uint64) []request {
	rng := rand.New(rand.NewPCG(seed, 7))
	zipf := rand.NewZipf(rng, 1.2, 4, 600)
	var out []request
	at := time.Duration(0)
	for at < simDuration {
		load := 0.6
		if at/(5*time.Second)%2 == 1 {
			load = 1.0
		}
		rate := load * simEngines * simSlots / 2
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		out = append(out, request{
			at:      at,
			host:    rng.IntN(simHosts),
			service: time.Second + time.Duration(rng.ExpFloat64()*float64(time.Second)),
			prefix:  zipf.Uint64() + 1,
		})
	}
	return out
}

type engine struct {
	running  int
	queue    []func()
	prefixes []uint64 // least recently used first
	events   []CacheEvent
	seq      uint64
}

// usePrefix looks a prefix up in the LRU cache, adds it if it is missing, and reports
// whether it was cached.
func (e *engine) usePrefix(p uint64) bool {
	for i, q := range e.prefixes {
		if q == p {
			e.prefixes = append(append(e.prefixes[:i:i], e.prefixes[i+1:]...), p)
			return true
		}
	}
	e.prefixes = append(e.prefixes, p)
	e.publish(p, true)
	if len(e.prefixes) > simCacheLen {
		e.publish(e.prefixes[0], false)
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func (e *engine) publish(p uint64, stored bool) {
	e.seq++
	e.events = append(e.events, CacheEvent{Sequence: e.seq, Model: "m", Prefix: p, Stored: stored})
}

type sim struct {
	now          time.Duration
	seq          int
	events       events
	engines      []*engine
	reportedLoad []int // delayed load of each engine
	tables       []*Table
	rng          *rand.Rand
	firstTokens  []time.Duration
	hits         int
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now + d, seq: s.seq, run: f})
}

// policy chooses an engine for a request. It may return a function to be called when
// the request ends.
type policy func(s *sim, r request) (engine int, done func(first, duration time.Duration))

func pickRandom(s *sim, _ request) (int, func(time.Duration, time.Duration)) {
	return s.rng.IntN(simEngines), nil
}

func pickLeastLoaded(s *sim, _ request) (int, func(time.Duration, time.Duration)) {
	best := s.rng.IntN(simEngines)
	for i := range s.reportedLoad {
		if s.reportedLoad[i] < s.reportedLoad[best] {
			best = i
		}
	}
	return best, nil
}

func pickTwoChoices(s *sim, _ request) (int, func(time.Duration, time.Duration)) {
	a, b := s.rng.IntN(simEngines), s.rng.IntN(simEngines)
	if s.reportedLoad[b] < s.reportedLoad[a] {
		a = b
	}
	return a, nil
}

func pickByTable(s *sim, r request) (int, func(time.Duration, time.Duration)) {
	t := s.tables[r.host]
	q := Query{Pool: "p", Model: "m", Prefix: r.prefix}
	var d Decision
	if !t.Pick(s.now, q, &d) {
		panic("no target")
	}
	h := d.Chosen
	t.RecordSent(s.now, h, q)
	var i int
	_, _ = fmt.Sscanf(t.Name(h), "e%d", &i) // cannot fail: replay generates the names
	return i, func(first, duration time.Duration) {
		t.RecordDone(s.now, h, q, Outcome{OK: true, FirstToken: first, Duration: duration})
	}
}

// replay runs a trace under a policy and returns the finished simulation.
func replay(tr []request, p policy, seed uint64) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 3)), reportedLoad: make([]int, simEngines)}
	var targets []Target
	for i := range simEngines {
		s.engines = append(s.engines, &engine{})
		targets = append(targets, Target{Name: fmt.Sprintf("e%d", i), Pool: "p", Zone: fmt.Sprintf("z%d", i%3), Slots: simSlots, Engine: true})
	}
	for h := range simHosts {
		t := New(Options{Zone: fmt.Sprintf("z%d", h%3), Seed: seed + uint64(h)})
		t.SetTargets(targets)
		for i := range targets {
			t.ApplyReport(targets[i].Name, Load{Ready: []string{"m"}})
		}
		s.tables = append(s.tables, t)
	}
	s.report()
	for _, r := range tr {
		s.after(r.at, func() { s.arrive(r, p) })
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > simDuration+30*time.Second {
			break
		}
		s.now = e.at
		e.run()
	}
	return s
}

// report reads the load of all engines and delivers it after simLag. It drops one
// cache event in ten.
func (s *sim) report() {
	at := s.now
	for i, e := range s.engines {
		load, name := e.running+len(e.queue), fmt.Sprintf("e%d", i)
		var kept []CacheEvent
		for _, ev := range e.events {
			if s.rng.IntN(10) > 0 {
				kept = append(kept, ev)
			}
		}
		e.events = nil
		s.after(simLag, func() {
			s.reportedLoad[i] = load
			for _, t := range s.tables {
				t.ApplyReport(name, Load{At: at, Running: load, Ready: []string{"m"}})
				t.ApplyCacheEvents(name, kept)
			}
		})
	}
	s.after(simPeriod, s.report)
}

func (s *sim) arrive(r request, p policy) {
	i, done := p(s, r)
	e := s.engines[i]
	start := func() { s.start(e, r, done) }
	if e.running < simSlots {
		start()
		return
	}
	e.queue = append(e.queue, start)
}

func (s *sim) start(e *engine, r request, done func(first, duration time.Duration)) {
	e.running++
	prefill := simPrefill
	if e.usePrefix(r.prefix) {
		prefill = simCached
		s.hits++
	}
	first := s.now - r.at + prefill
	s.firstTokens = append(s.firstTokens, first)
	s.after(r.service+prefill, func() {
		e.running--
		if done != nil {
			done(first, s.now-r.at)
		}
		if len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			next()
		}
	})
}

func (s *sim) quantile(q float64) time.Duration {
	sort.Slice(s.firstTokens, func(i, j int) bool { return s.firstTokens[i] < s.firstTokens[j] })
	return s.firstTokens[int(q*float64(len(s.firstTokens)))]
}

func TestTableBeatsRandomAndLeastLoaded(t *testing.T) {
	for seed := range uint64(3) {
		tr := newTrace(seed)
		p99 := map[string]time.Duration{}
		for _, tc := range []struct {
			name   string
			policy policy
		}{{"random", pickRandom}, {"least loaded", pickLeastLoaded}, {"two choices", pickTwoChoices}, {"table", pickByTable}} {
			s := replay(tr, tc.policy, seed)
			p99[tc.name] = s.quantile(0.99)
			t.Logf("seed %d, %s: first token p50 %v, p95 %v, p99 %v; prefix hits %.0f%%", seed, tc.name,
				s.quantile(0.5).Round(time.Millisecond), s.quantile(0.95).Round(time.Millisecond),
				p99[tc.name].Round(time.Millisecond), 100*float64(s.hits)/float64(len(s.firstTokens)))
		}
		if p99["table"] >= p99["random"] || p99["table"] >= p99["least loaded"] {
			t.Errorf("seed %d: first token p99 %v is not below random (%v) and least loaded (%v)",
				seed, p99["table"], p99["random"], p99["least loaded"])
		}
	}
}
