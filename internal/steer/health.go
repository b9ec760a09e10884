package steer

import "time"

// health remembers how a target fared with this host's requests.
type health struct {
	failures float64       // recent share of failures, 0 to 1
	first    time.Duration // recent time until the first event
	at       time.Duration // of the last outcome
	dark     time.Duration // it could not be reached: left alone until then
}

// Weights of outcomes.
const (
	outcomeWeight  = 0.3             // of one outcome in the share; three failures in a row say more than chance
	failurePenalty = 20              // requests at once that a share of failures of 1 counts for
	healthHalfLife = 3 * time.Second // engines are back after some seconds
)

// fade returns what is left of an observation after its age.
func (h *health) fade(now time.Duration) float64 {
	f := 1.0
	for age := now - h.at; age > healthHalfLife && f > 0.01; age -= healthHalfLife {
		f /= 2
	}
	return f
}

// penalty returns what speaks against the target, in requests at once.
func (h *health) penalty(now time.Duration) float64 {
	return h.fade(now) * (h.failures*failurePenalty + h.first.Seconds()*firstPenalty)
}

// note takes in an observation.
func (b *FleetView) note(target string, change func(h *health)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.health[target]
	if h == nil {
		h = &health{}
		b.health[target] = h
	}
	now := b.now()
	fade := h.fade(now)
	h.failures, h.first = h.failures*fade, time.Duration(float64(h.first)*fade)
	change(h)
	h.at = now
}

// RecordOutcome takes in how a request at a target ended.
func (b *FleetView) RecordOutcome(target string, ok bool) {
	b.note(target, func(h *health) {
		value := 0.0
		if !ok {
			value = 1
		}
		h.failures += (value - h.failures) * outcomeWeight
	})
}

// darkFor is how long a target that could not be reached is left alone.
const darkFor = 800 * time.Millisecond // two reports: the coordinator has a copy loaded elsewhere meanwhile

// RecordUnreachable takes in that a target could not be connected to.
func (b *FleetView) RecordUnreachable(target string) {
	b.note(target, func(h *health) { h.dark = b.now() + darkFor })
	b.kick()
}

// dark reports whether a target was not reachable lately. Call with b.mu held.
func (b *FleetView) dark(target string) bool {
	h := b.health[target]
	return h != nil && b.now() < h.dark
}

// RecordFirstEvent takes in how long a target took until the first event of a stream.
func (b *FleetView) RecordFirstEvent(target string, took time.Duration) {
	b.note(target, func(h *health) {
		h.dark = 0
		h.first += time.Duration(float64(took-h.first) * outcomeWeight)
	})
}

// FirstEventTime returns how long a target took of late until first events.
func (b *FleetView) FirstEventTime(target string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.health[target]
	if h == nil {
		return 0
	}
	return time.Duration(float64(h.first) * h.fade(b.now()))
}
