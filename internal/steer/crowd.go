package steer

import (
	"math/rand/v2"
	"time"
)

// Crowd is how many requests of all hosts wait for a model.
type Crowd struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	InTime  int    `json:"n,omitempty"` // that can still begin within their objective
	Late    int    `json:"l,omitempty"`
}

// Sizes and times of crowds.
const (
	crowdLeast = 4                      // fewer waiting requests fit beside each other on any engine
	crowdFor   = 600 * time.Millisecond // a report interval and the way
	// crowdShare is the part of the room that the crowd may take in one pause of
	// its members: counts of what runs are about a pause old.
	crowdShare = 0.5
)

// setWants takes in what waits at a host.
func (t *totals) setWants(h *reporter, wants []Want) {
	for _, w := range h.wants {
		t.addWant(w, -1)
	}
	h.wants = wants
	for _, w := range wants {
		t.addWant(w, 1)
	}
}

func (t *totals) addWant(w Want, sign int) {
	key := modelKey{w.Service, w.Model}
	c := t.crowds[key]
	c.InTime += sign * (w.Waiting - w.Late)
	c.Late += sign * w.Late
	if c == (Crowd{}) {
		delete(t.crowds, key)
		return
	}
	t.crowds[key] = c
}

// crowdsOf returns the crowds for the models that a host waits for.
func (t *totals) crowdsOf(h *reporter) []Crowd {
	var out []Crowd
	for _, w := range h.wants {
		if c := t.crowds[modelKey{w.Service, w.Model}]; c.InTime+c.Late >= crowdLeast {
			out = append(out, Crowd{Service: w.Service, Model: w.Model, InTime: c.InTime, Late: c.Late})
		}
	}
	return out
}

// seenCrowd is a crowd as last told.
type seenCrowd struct {
	Crowd
	at time.Duration
}

// SetCrowds takes in how many requests of all hosts wait for models.
func (b *FleetView) SetCrowds(crowds []Crowd) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for key, c := range b.crowds {
		if now-c.at > crowdFor {
			delete(b.crowds, key)
		}
	}
	for _, c := range crowds {
		b.crowds[modelKey{c.Service, c.Model}] = seenCrowd{c, now}
	}
}

// goesNow decides by lot whether a request of a crowd takes part of the room of
// a model's engines now: all hosts hear of new room at once, and the engines shed
// what does not fit. Call with b.mu held.
func (b *FleetView) goesNow(ask Requirements, room int) bool {
	c, ok := b.crowds[modelKey{ask.Service, ask.Model}]
	if !ok || b.now()-c.at > crowdFor {
		return true
	}
	rivals := c.InTime
	if ask.Late {
		rivals += c.Late
	}
	return rivals <= room || rand.Float64()*float64(rivals) < crowdShare*float64(room)
}
