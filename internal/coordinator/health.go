package coordinator

import "time"

// health is a record of recent outcomes of this host's requests at a target.
type health struct {
	failures         float64       // moving average of failures, 0 to 1
	firstEvent       time.Duration // moving average of the time until the first event
	at               time.Duration // time of the last outcome
	unreachableUntil time.Duration // a connection attempt failed; engines are not chosen until then
	noAnswers        noAnswers
}

// Weights of outcomes.
const (
	outcomeWeight  = 0.3             // of one outcome in a moving average; three failures in a row are hardly chance
	failurePenalty = 20              // concurrent requests that a failure rate of 1 counts as
	healthHalfLife = 3 * time.Second // engines usually recover within seconds
)

// decay returns the weight of past outcomes, which halves every healthHalfLife.
func (h *health) decay(now time.Duration) float64 {
	factor := 1.0
	for age := now - h.at; age > healthHalfLife && factor > 0.01; age -= healthHalfLife {
		factor /= 2
	}
	return factor
}

// penalty returns the target's penalty for its recent outcomes, in concurrent requests.
func (h *health) penalty(now time.Duration) float64 {
	return h.decay(now) * (h.failures*failurePenalty + h.firstEvent.Seconds()*firstEventPenalty)
}

// updateHealth decays a target's averages and then applies change to them.
func (f *FleetView) updateHealth(target string, change func(h *health)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health[target]
	if h == nil {
		h = &health{}
		f.health[target] = h
	}
	now := f.now()
	factor := h.decay(now)
	h.failures, h.firstEvent = h.failures*factor, time.Duration(float64(h.firstEvent)*factor)
	change(h)
	h.at = now
}

// RecordOutcome records whether a request at a target succeeded.
func (f *FleetView) RecordOutcome(target string, ok bool) {
	f.updateHealth(target, func(h *health) {
		value := 0.0
		if !ok {
			value = 1
		} else {
			h.noAnswers.inARow = 0
		}
		h.failures += (value - h.failures) * outcomeWeight
	})
}

// unreachableTTL is how long a target counts as unreachable after a failed connection.
const unreachableTTL = 800 * time.Millisecond // two reports, so that the coordinator can load a copy elsewhere

// RecordUnreachable records that a connection to a target failed.
func (f *FleetView) RecordUnreachable(target string) {
	f.updateHealth(target, func(h *health) { h.unreachableUntil = f.now() + unreachableTTL })
	f.requestReport()
}

// unreachable reports whether a connection to a target failed recently. The caller must
// hold f.mu.
func (f *FleetView) unreachable(target string) bool {
	h := f.health[target]
	return h != nil && f.now() < h.unreachableUntil
}

// RecordFirstEvent records how long a target took until the first event of a stream.
func (f *FleetView) RecordFirstEvent(target string, took time.Duration) {
	f.updateHealth(target, func(h *health) {
		h.unreachableUntil = 0
		h.firstEvent += time.Duration(float64(took-h.firstEvent) * outcomeWeight)
	})
}

// FirstEventTime returns a target's recent average time until the first event of a stream.
func (f *FleetView) FirstEventTime(target string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.health[target]
	if h == nil {
		return 0
	}
	return time.Duration(float64(h.firstEvent) * h.decay(f.now()))
}
