package engine

import (
	"net/http"

	"github.com/google/uuid"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/target"
)

// Fetcher fetches the weights of a model from the weight store.
type Fetcher interface {
	// Fetch returns when the weights have arrived or cancel is closed.
	Fetch(model string, bytes int64, cancel <-chan struct{}) error
}

// AdapterFetcher is implemented by a Fetcher that fetches adapters separately from
// models.
type AdapterFetcher interface {
	// FetchAdapter returns when the adapter has arrived or cancel is closed.
	FetchAdapter(model string, cancel <-chan struct{}) error
}

type replica struct {
	report target.ReplicaReport
	cancel chan struct{}
}

// Restart starts a new incarnation of the engine, with nothing loaded and no record
// of earlier orders. The disk cache is kept.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelLoads()
	e.incarnation = uuid.NewString()
	e.replicas = map[string]*replica{}
	e.accepted = map[string]bool{}
	e.maxFence = 0
	e.recordReport()
}

// Close cancels the running loads and waits until they have ended. The engine must
// receive no more orders.
func (e *Engine) Close() {
	e.mu.Lock()
	e.cancelLoads()
	e.mu.Unlock()
	e.loads.Wait()
}

// cancelLoads cancels the running loads; the caller holds mu.
func (e *Engine) cancelLoads() {
	for _, r := range e.replicas {
		if r.report.State == target.ReplicaLoading {
			close(r.cancel)
		}
	}
}

// SetSilent makes the engine abort all requests for orders and reports, or serve
// them again.
func (e *Engine) SetSilent(silent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silent = silent
}

func (e *Engine) abortIfSilent() {
	e.mu.Lock()
	silent := e.silent
	e.mu.Unlock()
	if silent {
		panic(http.ErrAbortHandler)
	}
}

// execute executes an order and returns a problem if it is refused. Orders are
// idempotent: one that was accepted already, or that asks for the current state,
// changes no replica.
func (e *Engine) execute(o target.Order) *target.Problem {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.ChecksFence && o.Fence < e.maxFence {
		e.stats.FencedOrders++
		return &target.Problem{Code: target.CodeFenced, Message: "old fencing number", MaxFence: e.maxFence}
	}
	if o.Fence > e.maxFence {
		e.maxFence = o.Fence
		e.recordReport()
	}
	if e.accepted[o.Decision] {
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

// load starts to load a model; the caller holds mu.
func (e *Engine) load(o target.Order) *target.Problem {
	if r := e.replicas[o.Model]; r != nil && r.report.State == target.ReplicaUnloading {
		return &target.Problem{Code: "unloading", Message: o.Model}
	}
	if r := e.replicas[o.Model]; r != nil && r.report.State != target.ReplicaFailed {
		e.accepted[o.Decision] = true
		return nil
	}
	if e.usedBytes()+o.Bytes > e.opts.MemoryBytes {
		e.stats.Overcommits++
		invariant.Check(false, invariant.MemoryWithinLimit, "%s: %d bytes used, %d ordered for %s, limit %d",
			e.opts.Name, e.usedBytes(), o.Bytes, o.Model, e.opts.MemoryBytes)
		return &target.Problem{Code: "out_of_memory", Message: o.Model}
	}
	if e.opts.HasSlot != nil && !e.opts.HasSlot(e.opts.Name, o.Model) {
		e.stats.LoadsWithoutSlot++
		invariant.Check(false, invariant.ReplicasDecided, "%s loads %s without a slot", e.opts.Name, o.Model)
	}
	e.accepted[o.Decision] = true
	r := &replica{
		report: target.ReplicaReport{Model: o.Model, State: target.ReplicaLoading, Decision: o.Decision, Bytes: o.Bytes},
		cancel: make(chan struct{}),
	}
	e.replicas[o.Model] = r
	e.stats.Loads++
	e.stats.LoadsByModel[o.Model]++
	e.stats.MaxUsedBytes = max(e.stats.MaxUsedBytes, e.usedBytes())
	e.recordReport()
	e.loads.Go(func() { e.finishLoad(r, o) })
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
	e.recordReport()
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

// unload unloads a replica as soon as its running requests have ended; the caller
// holds mu.
func (e *Engine) unload(o target.Order) *target.Problem {
	e.accepted[o.Decision] = true
	r := e.replicas[o.Model]
	if r == nil {
		return nil
	}
	if r.report.State == target.ReplicaLoading {
		close(r.cancel)
	}
	r.report.State = target.ReplicaUnloading
	e.finishUnload(o.Model)
	e.recordReport()
	return nil
}

// finishUnload removes the replica of a model if it is unloading and has no running
// requests; the caller holds mu.
func (e *Engine) finishUnload(model string) {
	r := e.replicas[model]
	if r == nil || r.report.State != target.ReplicaUnloading || e.runningByModel[model] > 0 {
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

// usedBytes returns the memory in use; the caller holds mu.
func (e *Engine) usedBytes() int64 {
	var n int64
	for _, r := range e.replicas {
		if r.report.State != target.ReplicaFailed {
			n += r.report.Bytes
		}
	}
	return n
}

// ready reports whether the engine accepts requests to the model; the caller holds
// mu.
func (e *Engine) ready(model string) bool {
	r := e.replicas[model]
	return r != nil && r.report.State == target.ReplicaReady
}
