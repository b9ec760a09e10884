package serve

import "sync"

// RunningRequests counts this host's queued and dispatched requests by model.
type RunningRequests struct {
	mu     sync.Mutex
	models map[string]int
}

// NewRunningRequests returns a counter without requests.
func NewRunningRequests() *RunningRequests { return &RunningRequests{models: map[string]int{}} }

// Counts returns the number of requests of each model that has any.
func (r *RunningRequests) Counts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]int, len(r.models))
	for model, n := range r.models {
		out[model] = n
	}
	return out
}

// begin counts a request. The caller calls end when the request has ended.
func (r *RunningRequests) begin(model string) (end func()) {
	r.add(model, 1)
	return func() { r.add(model, -1) }
}

func (r *RunningRequests) add(model string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.models[model] += n
	if r.models[model] == 0 {
		delete(r.models, model)
	}
}
