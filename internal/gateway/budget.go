package gateway

import (
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// budgetSlots is the number of parts that the window is counted in.
const budgetSlots = 10

// budgetShare is the part of the allowed repeats that is used: other hosts
// count requests at other moments of the sliding window.
const budgetShare = 0.8

// RetryBudget bounds the sends beyond the first of each request, by service.
// This host uses the ratio of its own requests and an equal share of the fixed
// part, so all together stay within the budget without asking.
type RetryBudget struct {
	bounds fleet.Bounds
	hosts  func() (int, bool)
	now    func() time.Duration

	mu       sync.Mutex
	services map[string]*window
}

type window struct {
	slot     int64
	requests [budgetSlots]float64
	repeats  [budgetSlots]float64
}

// NewRetryBudget returns a budget.
func NewRetryBudget(bounds fleet.Bounds, hosts func() (int, bool), now func() time.Duration) *RetryBudget {
	return &RetryBudget{bounds: bounds, hosts: hosts, now: now, services: map[string]*window{}}
}

// Request counts a request to a service.
func (b *RetryBudget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.slot%budgetSlots]++
}

// Repeat counts a repeat and reports whether there is budget for it.
func (b *RetryBudget) Repeat(service string) bool {
	hosts, _ := b.hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, repeats := 0.0, 0.0
	for i := range budgetSlots {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	allowed := budgetShare * (b.bounds.RetryRatio*requests + b.bounds.RetryExtra/float64(max(1, hosts)))
	if repeats+1 > allowed {
		return false
	}
	w.repeats[w.slot%budgetSlots]++
	return true
}

// window returns the counts of a service with outdated parts cleared.
func (b *RetryBudget) window(service string) *window {
	w := b.services[service]
	slot := int64(b.now() / (b.bounds.RetryWindow / budgetSlots))
	if w == nil {
		w = &window{slot: slot}
		b.services[service] = w
	}
	for w.slot < slot {
		w.slot = max(w.slot+1, slot-budgetSlots)
		w.requests[w.slot%budgetSlots], w.repeats[w.slot%budgetSlots] = 0, 0
	}
	return w
}
