package enginereports

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/seam/internal/target"
)

// entry is the newest report of one engine.
type entry struct {
	report     target.Report
	at         time.Time // moment that the report describes
	detailHash uint64    // hash of the parts that rarely change
	events     []target.CacheEvent
	lastEvent  uint64 // sequence of the last cache event
}

// store holds the newest reports and notifies subscriptions of changes.
type store struct {
	mu            sync.RWMutex
	entries       map[string]*entry
	subscriptions map[*Subscription]bool
}

func newStore() *store {
	return &store{entries: map[string]*entry{}, subscriptions: map[*Subscription]bool{}}
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

// put stores r if it is newer than the known report. Reports of the same
// incarnation of an engine are ordered by sequence. If the sequences are equal
// or the incarnations differ, the moments that the reports describe decide.
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
		e.events, e.lastEvent = nil, 0
	}
	e.report, e.at, e.detailHash = r, at, detail
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

// entry returns the entry of an engine and creates it if needed. The caller
// holds mu.
func (s *store) entry(name string) *entry {
	e := s.entries[name]
	if e == nil {
		e = &entry{}
		s.entries[name] = e
	}
	return e
}

// addEvents appends those events that are newer than the last known one and
// returns them.
func (s *store) addEvents(name string, events []target.CacheEvent) []target.CacheEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entry(name)
	var fresh []target.CacheEvent
	for _, ev := range events {
		if ev.Sequence > e.lastEvent {
			fresh = append(fresh, ev)
			e.lastEvent = ev.Sequence
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
		return e.lastEvent
	}
	return 0
}

// eventsAfter returns the events after a sequence, only the last limit ones if
// there are more.
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

// removeUnless removes the engines for which wanted returns false.
func (s *store) removeUnless(wanted func(name string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.entries {
		if !wanted(name) {
			delete(s.entries, name)
			s.notify(name)
		}
	}
}

// hashDetail returns a hash of the parts of a report that rarely change.
func hashDetail(r target.Report) uint64 {
	data, err := json.Marshal(newReportDetail(r))
	if err != nil {
		return 0 // cannot happen: JSON can encode all values of these types
	}
	return xxhash.Sum64(data)
}

// Subscription collects the names of engines whose reports changed. Several
// changes of one engine count as one until they are taken, so no change is lost
// and memory is bounded by the number of engines.
type Subscription struct {
	store *store
	ready chan struct{}

	mu      sync.Mutex
	changed map[string]bool
}

func (s *store) subscribe() *Subscription {
	s.mu.Lock()
	defer s.mu.Unlock()
	sub := &Subscription{store: s, ready: make(chan struct{}, 1), changed: map[string]bool{}}
	for name := range s.entries {
		sub.markChanged(name)
	}
	s.subscriptions[sub] = true
	return sub
}

// notify marks an engine as changed in each subscription. The caller holds mu.
func (s *store) notify(name string) {
	for sub := range s.subscriptions {
		sub.markChanged(name)
	}
}

func (sub *Subscription) markChanged(name string) {
	sub.mu.Lock()
	sub.changed[name] = true
	sub.mu.Unlock()
	select {
	case sub.ready <- struct{}{}:
	default:
	}
}

// Ready receives a value when Take has something to return.
func (sub *Subscription) Ready() <-chan struct{} { return sub.ready }

// Take returns the engines whose reports changed or were removed since the last
// Take, in no particular order.
func (sub *Subscription) Take() []string {
	sub.mu.Lock()
	defer sub.mu.Unlock()
	names := make([]string, 0, len(sub.changed))
	for name := range sub.changed {
		names = append(names, name)
	}
	clear(sub.changed)
	return names
}

// Close ends the subscription.
func (sub *Subscription) Close() {
	sub.store.mu.Lock()
	defer sub.store.mu.Unlock()
	delete(sub.store.subscriptions, sub)
}

// len returns the number of known engines.
func (s *store) len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.entries)
}
