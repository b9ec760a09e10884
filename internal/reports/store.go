package reports

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/seam/internal/target"
)

// entry is the newest report of one engine.
type entry struct {
	report target.Report
	at     time.Time // moment the report describes
	detail uint64    // hash of the parts that change seldom
	events []target.CacheEvent
	last   uint64 // sequence of the last cache event
}

// store holds the entries and tells subscriptions of changes.
type store struct {
	mu      sync.RWMutex
	entries map[string]*entry
	subs    map[*Subscription]bool
}

func newStore() *store {
	return &store{entries: map[string]*entry{}, subs: map[*Subscription]bool{}}
}

func (s *store) get(name string) (entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[name]
	if e == nil || e.at.IsZero() {
		return entry{}, false
	}
	return *e, true
}

// put keeps r if it is newer than what is known. Within one incarnation of the
// engine the sequence decides; between two, the moment described.
func (s *store) put(name string, r target.Report, at time.Time) {
	detail := hashDetail(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(name)
	if !newer(e, r, at) {
		return
	}
	changed := e.report.Sequence != r.Sequence || e.report.Incarnation != r.Incarnation
	if e.report.Incarnation != r.Incarnation {
		e.events, e.last = nil, 0
	}
	e.report, e.at, e.detail = r, at, detail
	if changed {
		s.notify(name)
	}
}

func newer(e *entry, r target.Report, at time.Time) bool {
	if e.at.IsZero() {
		return true
	}
	if e.report.Incarnation != r.Incarnation || e.report.Sequence == r.Sequence {
		return at.After(e.at)
	}
	return r.Sequence > e.report.Sequence
}

// entry returns the entry of name, made if needed; the caller holds mu.
func (s *store) entry(name string) *entry {
	e := s.entries[name]
	if e == nil {
		e = &entry{}
		s.entries[name] = e
	}
	return e
}

// addEvents appends the events after the last known one and returns them.
func (s *store) addEvents(name string, events []target.CacheEvent) []target.CacheEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(name)
	var fresh []target.CacheEvent
	for _, ev := range events {
		if ev.Sequence > e.last {
			fresh = append(fresh, ev)
			e.last = ev.Sequence
		}
	}
	kept := append(e.events, fresh...)
	if over := len(kept) - maxEventsKept; over > 0 {
		kept = append([]target.CacheEvent(nil), kept[over:]...)
	}
	e.events = kept
	return fresh
}

func (s *store) lastEvent(name string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if e := s.entries[name]; e != nil {
		return e.last
	}
	return 0
}

// eventsAfter returns the last limit events after a sequence.
func (s *store) eventsAfter(name string, after uint64, limit int) []target.CacheEvent {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.entries[name]
	if e == nil {
		return nil
	}
	from := len(e.events)
	for from > 0 && e.events[from-1].Sequence > after && len(e.events)-from < limit {
		from--
	}
	return append([]target.CacheEvent(nil), e.events[from:]...)
}

// keep forgets the engines for which it is false.
func (s *store) keep(wanted func(name string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.entries {
		if !wanted(name) {
			delete(s.entries, name)
			s.notify(name)
		}
	}
}

// hashDetail identifies the parts of a report that change seldom.
func hashDetail(r target.Report) uint64 {
	data, err := json.Marshal(newDetail(r))
	if err != nil {
		return 0 // cannot happen: the types hold nothing that JSON lacks
	}
	return xxhash.Sum64(data)
}

// Subscription tells which engines have a changed report. Changes of one
// engine that were not taken yet are merged, so none is lost and memory is
// bounded by the number of engines.
type Subscription struct {
	store *store
	ready chan struct{}

	mu    sync.Mutex
	dirty map[string]bool
}

func (s *store) subscribe() *Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &Subscription{store: s, ready: make(chan struct{}, 1), dirty: map[string]bool{}}
	for name := range s.entries {
		sub.mark(name)
	}
	s.subs[sub] = true
	return sub
}

// notify marks name changed in each subscription; the caller holds mu.
func (s *store) notify(name string) {
	for sub := range s.subs {
		sub.mark(name)
	}
}

func (sub *Subscription) mark(name string) {
	sub.mu.Lock()
	sub.dirty[name] = true
	sub.mu.Unlock()
	select {
	case sub.ready <- struct{}{}:
	default:
	}
}

// Ready receives a value when Take has something to return.
func (sub *Subscription) Ready() <-chan struct{} { return sub.ready }

// Take returns the engines whose report changed or was forgotten since the
// last Take, in no order.
func (sub *Subscription) Take() []string {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	names := make([]string, 0, len(sub.dirty))
	for name := range sub.dirty {
		names = append(names, name)
	}
	clear(sub.dirty)
	return names
}

// Close ends the subscription.
func (sub *Subscription) Close() {
	sub.store.mu.Lock()
	defer sub.store.mu.Unlock()
	delete(sub.store.subs, sub)
}

// len returns the number of engines known.
func (s *store) len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entries)
}
