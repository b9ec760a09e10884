package gateway

import (
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// budgetBuckets is the number of buckets of the sliding window, the current one included. The bucket before them lies partly
// in the window too: its retries count, its requests don't.
const budgetBuckets = 20

// budgetShares are the parts of the allowed retries that a process uses.
type budgetShares struct {
	ratio float64 // of those for requests
	fixed float64 // of the fixed allowance
}

// A process does not know what the one before it on the same machine has spent in the window that still counts. Therefore it
// uses less in its first window, so that both together stay within the budget. The rest is a margin for the windows of the
// hosts, which are not aligned.
var (
	usualShares       = budgetShares{ratio: 0.6, fixed: 0.5}
	firstWindowShares = budgetShares{ratio: 0.25, fixed: 0.48}
	// quickRestartShares apply if the process before had not outlived its own first window: with any number of restarts
	// in a window, only the first may use the fixed allowance.
	quickRestartShares = budgetShares{ratio: firstWindowShares.ratio}
)

// RetryBudget limits the retries to each service. A host may retry a ratio of
// its own requests plus an equal share of the fixed allowance, so that all
// hosts together stay within the budget without coordination.
type RetryBudget struct {
	bounds    fleet.Bounds
	hosts     func() HostCount
	now       func() time.Duration
	startedAt time.Duration

	mu           sync.Mutex
	services     map[string]*window
	quickRestart bool
}

type window struct {
	bucket   int64 // current one
	requests [budgetBuckets + 1]float64
	retries  [budgetBuckets + 1]float64
}

// bucketIndex returns the place of a bucket in a window.
func bucketIndex(bucket int64) int64 { return bucket % (budgetBuckets + 1) }

// NewRetryBudget returns a budget with empty windows.
func NewRetryBudget(bounds fleet.Bounds, hosts func() HostCount, now func() time.Duration) *RetryBudget {
	return &RetryBudget{bounds: bounds, hosts: hosts, now: now, startedAt: now(), services: map[string]*window{}}
}

// RetryBudgetState is the state of a service's budget for a log line. All counts are of this process.
type RetryBudgetState struct {
	Requests float64 `json:"requests"` // in the window
	Retries  float64 `json:"retries"`  // in the window
	Allowed  float64 `json:"allowed"`  // retries in the window
	AgeMS    int64   `json:"age_ms"`   // since the process began to count
}

// State returns the state of a service's budget.
func (b *RetryBudget) State(service string) RetryBudgetState {
	hosts := b.hosts().All
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, retries := w.sums()
	return RetryBudgetState{Requests: requests, Retries: retries, Allowed: b.allowed(requests, hosts), AgeMS: (b.now() - b.startedAt).Milliseconds()}
}

// CountRequest counts a request to a service.
func (b *RetryBudget) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[bucketIndex(w.bucket)]++
}

// RetryCharge is a retry that was counted. The zero value is none.
type RetryCharge struct{ bucket int64 }

// Charge counts a retry to a service, and reports whether its budget allows it. Otherwise nothing is counted.
func (b *RetryBudget) Charge(service string) (RetryCharge, bool) {
	hosts := b.hosts().All
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, retries := w.sums()
	if retries+1 > b.allowed(requests, hosts) {
		return RetryCharge{}, false
	}
	w.retries[bucketIndex(w.bucket)]++
	return RetryCharge{bucket: w.bucket}, true
}

// Refund takes back a charge for a retry that reached no target.
func (b *RetryBudget) Refund(service string, c RetryCharge) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.window(service); c.bucket > 0 && w.bucket-c.bucket <= budgetBuckets { // otherwise it no longer counts
		w.retries[bucketIndex(c.bucket)]--
	}
}

// SetPredecessor tells how long before this process the one before it on the same machine had started. It must be called before
// the number of hosts is known. Without it, there was none within the window.
func (b *RetryBudget) SetPredecessor(earlier time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.quickRestart = earlier < b.countedTime()
}

// allowed returns how many retries a number of requests allows, both within the window. The caller must hold b.mu.
func (b *RetryBudget) allowed(requests float64, hosts int) float64 {
	shares := b.shares()
	allowed := shares.ratio * b.bounds.RetryRatio * requests
	if hosts > 0 { // otherwise this host's part of the fixed allowance is unknown
		allowed += shares.fixed * b.bounds.RetryExtra / float64(hosts)
	}
	return allowed
}

func (b *RetryBudget) shares() budgetShares {
	switch {
	case b.now()-b.startedAt >= b.countedTime():
		return usualShares
	case b.quickRestart:
		return quickRestartShares
	}
	return firstWindowShares
}

// countedTime returns the longest time for which a retry counts.
func (b *RetryBudget) countedTime() time.Duration {
	return b.bounds.RetryWindow / budgetBuckets * (budgetBuckets + 1)
}

func (w *window) sums() (requests, retries float64) {
	for i := range w.retries {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return requests - w.requests[bucketIndex(w.bucket+1)], retries // the next place holds the oldest bucket
}

// window returns the window of a service with expired buckets cleared.
func (b *RetryBudget) window(service string) *window {
	w := b.services[service]
	current := int64(b.now() / (b.bounds.RetryWindow / budgetBuckets))
	if w == nil {
		w = &window{bucket: current}
		b.services[service] = w
	}
	for w.bucket < current {
		w.bucket = max(w.bucket+1, current-budgetBuckets)
		w.requests[bucketIndex(w.bucket)], w.retries[bucketIndex(w.bucket)] = 0, 0
	}
	return w
}
