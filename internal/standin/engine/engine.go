// Package engine is a stand-in for a model engine. It loads models and adapters
// within a memory limit, streams generated text, reports its load with a lag, and
// checks or ignores fencing tokens. Its list of cache events is always empty.
package engine

import (
	"sync"
	"time"

	"github.com/google/uuid"

	"buckthornseam.dev/seam/internal/target"
)

// Options configure a stand-in engine.
type Options struct {
	Name        string
	MemoryBytes int64
	ChecksFence bool
	TokenDelay  time.Duration                   // time for each generated token
	ReportLag   time.Duration                   // age of the reports returned
	Fetch       Fetcher                         // fetches weights; nil makes loads immediate
	HasSlot     func(engine, model string) bool // whether the platform has a slot for the model; nil for no check
	DiskCached  []string                        // models in the disk cache at the start
	CrashPrompt string                          // a prompt containing this text aborts the connection; empty for none
}

// Engine is a stand-in engine.
type Engine struct {
	opts        Options
	incarnation string
	loads       sync.WaitGroup // running loads

	mu             sync.Mutex
	replicas       map[string]*replica
	accepted       map[string]bool // decisions whose order was accepted
	maxFence       uint64
	sequence       uint64
	running        int
	runningByModel map[string]int // running requests
	silent         bool           // aborts all requests for orders and reports
	history        []timedReport
	events         []target.CacheEvent
	cached         map[string]target.CacheTier
	stats          Stats
}

type timedReport struct {
	at     time.Time
	report target.Report
}

// Stats counts what happened on an engine.
type Stats struct {
	Loads            int
	Unloads          int
	Requests         int
	Overcommits      int // load orders refused because they exceed the memory
	LoadsWithoutSlot int // loads without a slot, see Options.HasSlot
	FencedOrders     int
	KeysSeen         int // requests with a credential
	AbortedStreams   int // requests cancelled during generation, streamed or not
	MaxUsedBytes     int64
	LoadsByModel     map[string]int
	RequestsByID     map[string]int // by the request header X-Request-Id
}

// New returns an engine with nothing loaded.
func New(opts Options) *Engine {
	e := &Engine{
		opts:           opts,
		incarnation:    uuid.NewString(),
		replicas:       map[string]*replica{},
		accepted:       map[string]bool{},
		runningByModel: map[string]int{},
		cached:         map[string]target.CacheTier{},
		stats:          Stats{LoadsByModel: map[string]int{}, RequestsByID: map[string]int{}},
	}
	for _, model := range opts.DiskCached {
		e.cached[model] = target.CacheDisk
	}
	e.recordReport()
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
	s.RequestsByID = map[string]int{}
	for k, v := range e.stats.RequestsByID {
		s.RequestsByID[k] = v
	}
	return s
}

// recordReport appends a report of the current state to the history; the caller
// holds mu.
func (e *Engine) recordReport() {
	e.sequence++
	report := target.Report{
		Sequence:    e.sequence,
		Incarnation: e.incarnation,
		MemoryBytes: e.opts.MemoryBytes,
		UsedBytes:   e.usedBytes(),
		Running:     e.running,
		MaxFence:    e.maxFence,
		Cached:      map[string]target.CacheTier{},
	}
	for _, r := range e.replicas {
		report.Replicas = append(report.Replicas, r.report)
	}
	for model, tier := range e.cached {
		report.Cached[model] = tier
	}
	e.history = append(e.history, timedReport{at: time.Now(), report: report})
	e.trimHistory()
}

// trimHistory removes the reports that are too old to be returned again; the caller
// holds mu.
func (e *Engine) trimHistory() {
	cutoff := time.Now().Add(-e.opts.ReportLag)
	for len(e.history) > 1 && !e.history[1].at.After(cutoff) {
		e.history = e.history[1:]
	}
}

// report returns the newest report that is at least ReportLag old.
func (e *Engine) report() target.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.trimHistory()
	r := e.history[0].report
	r.Age = e.opts.ReportLag
	return r
}
