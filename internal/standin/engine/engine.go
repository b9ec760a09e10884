// Package engine is a stand-in for a model engine. It loads models and
// adapters within a memory limit, streams made-up answers, reports its load
// with a lag, publishes cache events and honours or ignores fencing numbers.
package engine

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"buckthornseam.dev/seam/internal/target"
)

// Options configure a stand-in engine.
type Options struct {
	Name         string
	MemoryBytes  int64
	ChecksFence  bool
	TokenDelay   time.Duration // time for each generated token
	ReportLag    time.Duration // age of the reports given out
	Fetch        Fetcher       // brings weights; nil means at once
	DiskCached   []string      // models found on the engine's own disk
	CrashPrompts string        // a prompt containing this text breaks the connection
}

// Fetcher brings the weights of a model from the weight store.
type Fetcher interface {
	// Fetch returns when the weights are there or cancel is closed.
	Fetch(model string, bytes int64, cancel <-chan struct{}) error
}

type replica struct {
	report target.ReplicaReport
	cancel chan struct{}
}

// Engine is a stand-in engine.
type Engine struct {
	opts        Options
	incarnation string

	mu        sync.Mutex
	replicas  map[string]*replica
	decisions map[string]bool // decisions carried out
	maxFence  uint64
	sequence  uint64
	running   int
	history   []timedReport
	events    []target.CacheEvent
	cached    map[string]target.Cache
	stats     Stats
}

type timedReport struct {
	at     time.Time
	report target.Report
}

// Stats counts what happened on an engine.
type Stats struct {
	Loads         int
	Unloads       int
	Requests      int
	Overcommits   int // orders that would have exceeded the memory
	FencedOrders  int
	KeysSeen      int // requests that carried a credential
	CutStreams    int
	MaxUsedBytes  int64
	LoadsByModel  map[string]int
	RequestsByTag map[string]int // by the request header X-Request-Id
}

// New returns an engine with nothing loaded.
func New(opts Options) *Engine {
	e := &Engine{
		opts:        opts,
		incarnation: uuid.NewString(),
		replicas:    map[string]*replica{},
		decisions:   map[string]bool{},
		cached:      map[string]target.Cache{},
		stats:       Stats{LoadsByModel: map[string]int{}, RequestsByTag: map[string]int{}},
	}
	for _, model := range opts.DiskCached {
		e.cached[model] = target.CacheDisk
	}
	e.changed()
	return e
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.LoadsByModel = map[string]int{}
	for k, v := range e.stats.LoadsByModel {
		s.LoadsByModel[k] = v
	}
	s.RequestsByTag = map[string]int{}
	for k, v := range e.stats.RequestsByTag {
		s.RequestsByTag[k] = v
	}
	return s
}

// order carries out an order and returns a problem if it is refused.
func (e *Engine) order(o target.Order) *target.Problem {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence && o.Fence < e.maxFence {
		e.stats.FencedOrders++
		return &target.Problem{Code: target.CodeFenced, Message: "old fencing number", MaxFence: e.maxFence}
	}
	e.maxFence = max(e.maxFence, o.Fence)
	switch o.Op {
	case target.OrderLoad:
		return e.load(o)
	case target.OrderUnload:
		return e.unload(o)
	case target.OrderCancel:
		return e.cancelLoad(o)
	}
	return &target.Problem{Code: "unknown_order", Message: string(o.Op)}
}

// load starts a load; the caller holds mu.
func (e *Engine) load(o target.Order) *target.Problem {
	if e.decisions[o.Decision] {
		return nil
	}
	if r := e.replicas[o.Model]; r != nil && r.report.State != target.ReplicaFailed {
		return &target.Problem{Code: "already_loaded", Message: o.Model}
	}
	if e.used()+o.Bytes > e.opts.MemoryBytes {
		e.stats.Overcommits++
		return &target.Problem{Code: "out_of_memory", Message: o.Model}
	}
	e.decisions[o.Decision] = true
	r := &replica{
		report: target.ReplicaReport{Model: o.Model, State: target.ReplicaLoading, Decision: o.Decision, Bytes: o.Bytes},
		cancel: make(chan struct{}),
	}
	e.replicas[o.Model] = r
	e.stats.Loads++
	e.stats.LoadsByModel[o.Model]++
	e.stats.MaxUsedBytes = max(e.stats.MaxUsedBytes, e.used())
	e.changed()
	go e.finishLoad(r, o)
	return nil
}

func (e *Engine) finishLoad(r *replica, o target.Order) {
	var err error
	e.mu.Lock()
	_, onDisk := e.cached[o.Model]
	e.mu.Unlock()
	if e.opts.Fetch != nil && !onDisk {
		err = e.opts.Fetch.Fetch(o.Model, o.Bytes, r.cancel)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replicas[o.Model] != r {
		return
	}
	r.report.State = target.ReplicaReady
	if err != nil {
		r.report.State = target.ReplicaFailed
	} else {
		e.cached[o.Model] = target.CacheDisk
	}
	e.changed()
}

// unload drops a replica; the caller holds mu.
func (e *Engine) unload(o target.Order) *target.Problem {
	r := e.replicas[o.Model]
	if r == nil {
		return nil
	}
	if r.report.State == target.ReplicaLoading {
		close(r.cancel)
	}
	delete(e.replicas, o.Model)
	e.stats.Unloads++
	e.changed()
	return nil
}

func (e *Engine) cancelLoad(o target.Order) *target.Problem {
	r := e.replicas[o.Model]
	if r == nil || r.report.State != target.ReplicaLoading {
		return nil
	}
	return e.unload(o)
}

// used returns the memory in use; the caller holds mu.
func (e *Engine) used() int64 {
	var n int64
	for _, r := range e.replicas {
		if r.report.State != target.ReplicaFailed {
			n += r.report.Bytes
		}
	}
	return n
}

// changed records a report of the state now; the caller holds mu.
func (e *Engine) changed() {
	e.sequence++
	report := target.Report{
		Sequence:    e.sequence,
		Incarnation: e.incarnation,
		MemoryBytes: e.opts.MemoryBytes,
		UsedBytes:   e.used(),
		Running:     e.running,
		MaxFence:    e.maxFence,
		Cached:      map[string]target.Cache{},
	}
	for _, r := range e.replicas {
		report.Replicas = append(report.Replicas, r.report)
	}
	for model, place := range e.cached {
		report.Cached[model] = place
	}
	e.history = append(e.history, timedReport{at: time.Now(), report: report})
	e.trim()
}

// trim forgets reports that no reader can be given any more; the caller holds mu.
func (e *Engine) trim() {
	cutoff := time.Now().Add(-e.opts.ReportLag)
	for len(e.history) > 1 && !e.history[1].at.After(cutoff) {
		e.history = e.history[1:]
	}
}

// report returns the newest report that is at least ReportLag old.
func (e *Engine) report() target.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trim()
	r := e.history[0].report
	r.Age = e.opts.ReportLag
	return r
}

func (e *Engine) ready(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.replicas[model]
	return r != nil && r.report.State == target.ReplicaReady
}
