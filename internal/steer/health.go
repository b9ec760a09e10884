package steer

import "time"

// health remembers how a target fared with this host's requests.
type health struct {
	failures float64       // recent share of failures, 0 to 1
	at       time.Duration // of the last outcome
}

// Weights of outcomes.
const (
	outcomeWeight  = 0.3             // of one outcome in the share; three failures in a row say more than chance
	failurePenalty = 2.0             // share of slots that a share of failures of 1 counts for
	healthHalfLife = 3 * time.Second // engines are back after some seconds
)

// penalty returns the share of slots that the target's failures count for.
func (h *health) penalty(now time.Duration) float64 {
	age := now - h.at
	f := h.failures
	for age > healthHalfLife && f > 0.01 {
		f, age = f/2, age-healthHalfLife
	}
	return f * failurePenalty
}

// Outcome takes in how a request at a target ended.
func (b *Board) Outcome(target string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.health[target]
	if h == nil {
		if ok {
			return
		}
		h = &health{}
		b.health[target] = h
	}
	value := 0.0
	if !ok {
		value = 1
	}
	h.failures = h.penalty(b.now())/failurePenalty*(1-outcomeWeight) + value*outcomeWeight
	h.at = b.now()
}
