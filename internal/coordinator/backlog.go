package coordinator

import (
	"math/rand/v2"
	"time"
)

// Backlog is the number of requests of all hosts that wait for a model.
type Backlog struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	InTime  int    `json:"n,omitempty"` // requests that can still begin within their objective
	Late    int    `json:"l,omitempty"`
}

// Limits of backlogs.
const (
	minBacklog = 4                      // fewer waiting requests fit on any engine
	backlogTTL = 600 * time.Millisecond // a report interval and the network delay
	// admitShare is the share of the free slots that the waiting requests of all hosts
	// take in one retry interval, as the counts of running requests are about that old.
	admitShare = 0.5
)

// setWaiting replaces the waiting requests of a host.
func (t *totals) setWaiting(h *hostState, waiting []WaitingRequests) {
	for _, w := range h.waiting {
		t.addWaiting(w, -1)
	}
	h.waiting = waiting
	for _, w := range waiting {
		t.addWaiting(w, 1)
	}
}

func (t *totals) addWaiting(w WaitingRequests, sign int) {
	t.addBoundWaiting(w, sign)
	key := modelKey{w.Service, w.Model}
	b := t.backlogs[key]
	b.InTime += sign * (w.Count - w.Late)
	b.Late += sign * w.Late
	if b == (Backlog{}) {
		delete(t.backlogs, key)
		return
	}
	t.backlogs[key] = b
}

// backlogsOf returns the backlogs of the models that a host's requests wait for.
func (t *totals) backlogsOf(h *hostState) []Backlog {
	var out []Backlog
	for _, w := range h.waiting {
		if b := t.backlogs[modelKey{w.Service, w.Model}]; b.InTime+b.Late >= minBacklog {
			out = append(out, Backlog{Service: w.Service, Model: w.Model, InTime: b.InTime, Late: b.Late})
		}
	}
	return out
}

// seenBacklog is a backlog as last reported.
type seenBacklog struct {
	Backlog
	at    time.Duration
	bound []RegionCount // what of it is bound to regions
}

// SetBacklogs updates the backlogs of models and drops old ones.
func (f *FleetView) SetBacklogs(backlogs []Backlog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for key, b := range f.backlogs {
		if now-b.at > backlogTTL {
			delete(f.backlogs, key)
		}
	}
	for _, b := range backlogs {
		f.backlogs[modelKey{b.Service, b.Model}] = seenBacklog{Backlog: b, at: now}
	}
}

// admit reports whether a waiting request may take one of the free slots of a model's
// engines now. It decides at random if there are too few slots: all hosts learn of new
// slots at the same time, and engines shed the requests that do not fit. The free slots are
// in the regions freeIn. The caller must hold f.mu.
func (f *FleetView) admit(req Requirements, free int, freeIn []string) bool {
	b, ok := f.backlogs[modelKey{req.Service, req.Model}]
	if !ok || f.now()-b.at > backlogTTL {
		return true
	}
	competing := b.competing(req.Late, freeIn)
	return competing <= free || rand.Float64()*float64(competing) < admitShare*float64(free)
}
