package engine

import (
	"net/http"

	"github.com/google/uuid"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/target"
)

// Fetcher brings the weights of a model from the weight store.
type Fetcher interface {
	// Fetch returns when the weights are there or cancel is closed.
	Fetch(model string, bytes int64, cancel <-chan struct{}) error
}

// AdapterFetcher is implemented by a Fetcher that serves adapters by a way of
// their own.
type AdapterFetcher interface {
	// FetchAdapter returns when the adapter is there or cancel is closed.
	FetchAdapter(model string, cancel <-chan struct{}) error
}

type replica struct {
	report target.ReplicaReport
	cancel chan struct{}
}

// Restart ends the engine's run: a new one begins with nothing loaded and no
// memory of earlier orders. The disk keeps its cache.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.replicas {
		if r.report.State == target.ReplicaLoading {
			close(r.cancel)
		}
	}
	e.incarnation = uuid.NewString()
	e.replicas = map[string]*replica{}
	e.decisions = map[string]bool{}
	e.maxFence = 0
	e.changed()
}

// SetSilent has the engine answer nothing on its control interface.
func (e *Engine) SetSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

func (e *Engine) hangUpIfSilent() {
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent {
		panic(http.ErrAbortHandler)
	}
}

// order carries out an order and returns a problem if it is refused. An order
// that was carried out already changes nothing, and neither does one whose
// outcome is there already.
func (e *Engine) order(o target.Order) *target.Problem {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence && o.Fence < e.maxFence {
		e.stats.FencedOrders++
		return &target.Problem{Code: target.CodeFenced, Message: "old fencing number", MaxFence: e.maxFence}
	}
	if o.Fence > e.maxFence {
		e.maxFence = o.Fence
		e.changed()
	}
	if e.decisions[o.Decision] {
		return nil
	}
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
	if r := e.replicas[o.Model]; r != nil && r.report.State == target.ReplicaUnloading {
		return &target.Problem{Code: "unloading", Message: o.Model}
	}
	if r := e.replicas[o.Model]; r != nil && r.report.State != target.ReplicaFailed {
		e.decisions[o.Decision] = true
		return nil
	}
	if e.used()+o.Bytes > e.opts.MemoryBytes {
		e.stats.Overcommits++
		invariant.Check(false, invariant.MemoryWithinLimit, "%s: %d bytes used, %d ordered for %s, limit %d",
			e.opts.Name, e.used(), o.Bytes, o.Model, e.opts.MemoryBytes)
		return &target.Problem{Code: "out_of_memory", Message: o.Model}
	}
	if e.opts.HasSlot != nil && !e.opts.HasSlot(e.opts.Name, o.Model) {
		e.stats.Undecided++
		invariant.Check(false, invariant.ReplicasDecided, "%s loads %s without a slot", e.opts.Name, o.Model)
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
	e.mu.Lock()
	_, onDisk := e.cached[o.Model]
	e.mu.Unlock()
	var err error
	if !onDisk {
		err = e.fetch(o, r.cancel)
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

func (e *Engine) fetch(o target.Order, cancel <-chan struct{}) error {
	if e.opts.Fetch == nil {
		return nil
	}
	if f, ok := e.opts.Fetch.(AdapterFetcher); ok && o.Base != "" {
		return f.FetchAdapter(o.Model, cancel)
	}
	return e.opts.Fetch.Fetch(o.Model, o.Bytes, cancel)
}

// unload drops a replica once its running requests have ended; the caller
// holds mu.
func (e *Engine) unload(o target.Order) *target.Problem {
	e.decisions[o.Decision] = true
	r := e.replicas[o.Model]
	if r == nil {
		return nil
	}
	if r.report.State == target.ReplicaLoading {
		close(r.cancel)
	}
	r.report.State = target.ReplicaUnloading
	e.finishUnload(o.Model)
	e.changed()
	return nil
}

// finishUnload drops a model that is to be unloaded and runs nothing; the
// caller holds mu.
func (e *Engine) finishUnload(model string) {
	r := e.replicas[model]
	if r == nil || r.report.State != target.ReplicaUnloading || e.runningOf[model] > 0 {
		return
	}
	delete(e.replicas, model)
	e.stats.Unloads++
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

// ready reports whether requests to the model are taken; the caller holds mu.
func (e *Engine) ready(model string) bool {
	r := e.replicas[model]
	return r != nil && r.report.State == target.ReplicaReady
}
