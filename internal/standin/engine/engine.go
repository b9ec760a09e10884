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
	TokenDelay   time.Duration                   // time for each generated token
	ReportLag    time.Duration                   // age of the reports given out
	Fetch        Fetcher                         // brings weights; nil means at once
	HasSlot      func(engine, model string) bool // whether the platform has a slot for the model; nil for no check
	DiskCached   []string                        // models found on the engine's own disk
	CrashPrompts string                          // a prompt containing this text breaks the connection
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
	runningOf map[string]int // by model
	silent    bool           // answers nothing on the control interface
	history   []timedReport
	events    []target.CacheEvent
	cached    map[string]target.CacheTier
	stats     Stats
}

type timedReport struct {
	at     time.Time
	report target.Report
}

// Stats counts what happened on an engine.
type Stats struct {
	Loads          int
	Unloads        int
	Requests       int
	Overcommits    int // orders that would have exceeded the memory
	Undecided      int // loads without a slot, see Options.Decided
	FencedOrders   int
	KeysSeen       int // requests that carried a credential
	AbortedStreams int
	MaxUsedBytes   int64
	LoadsByModel   map[string]int
	RequestsByTag  map[string]int // by the request header X-Request-Id
}

// New returns an engine with nothing loaded.
func New(opts Options) *Engine {
	e := &Engine{
		opts:        opts,
		incarnation: uuid.NewString(),
		replicas:    map[string]*replica{},
		decisions:   map[string]bool{},
		runningOf:   map[string]int{},
		cached:      map[string]target.CacheTier{},
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
		Cached:      map[string]target.CacheTier{},
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
