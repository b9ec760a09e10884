// Package weightstore is a stand-in for the rate-limited weight store: loads
// start at a bounded rate, and beyond a number in flight each load slows in
// proportion.
package weightstore

import (
	"sync"
	"time"
)

// Options configure a stand-in weight store.
type Options struct {
	LoadsPerSecond float64 // starts a second
	FullSpeedLoads int     // loads in flight at full speed
	BytesPerSecond float64 // speed of one load at full speed

	Adapter         time.Duration // time to load an adapter, 0 for DefaultAdapter
	AdapterParallel int           // adapters in flight at full speed, 0 for DefaultAdapterParallel
}

// Defaults for adapters.
const (
	DefaultAdapter         = 8 * time.Millisecond
	DefaultAdapterParallel = 32
)

// Store is a stand-in weight store.
type Store struct {
	opts Options

	mu       sync.Mutex
	next     time.Time // earliest start of the next load
	inFlight int
	slowdown float64 // 1 is healthy
	loads    int
	maxAtOne int
	hanging  map[string]bool // models whose loads never end
	adapters int             // adapters in flight
	maxAdapt int
}

// step is the time between two adjustments of a load's speed.
const step = 10 * time.Millisecond

// New returns a healthy store.
func New(opts Options) *Store {
	if opts.Adapter == 0 {
		opts.Adapter = DefaultAdapter
	}
	if opts.AdapterParallel == 0 {
		opts.AdapterParallel = DefaultAdapterParallel
	}
	return &Store{opts: opts, slowdown: 1, hanging: map[string]bool{}}
}

// SetSlowdown makes every load take factor times as long.
func (s *Store) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// Stats returns the number of loads so far and the most in flight at once.
func (s *Store) Stats() (loads, maxInFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loads, s.maxAtOne
}

// SetHanging makes loads of a model never end, or end again.
func (s *Store) SetHanging(model string, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging[model] = hang
}

func (s *Store) hangs(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hanging[model]
}

// MaxAdapters returns the most adapters in flight at once.
func (s *Store) MaxAdapters() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxAdapt
}

// FetchAdapter implements the engine's AdapterFetcher. Beyond
// Options.AdapterParallel in flight it takes longer in proportion.
func (s *Store) FetchAdapter(model string, cancel <-chan struct{}) error {
	s.mu.Lock()
	s.adapters++
	s.maxAdapt = max(s.maxAdapt, s.adapters)
	crowd := max(1, float64(s.adapters)/float64(s.opts.AdapterParallel))
	took := time.Duration(float64(s.opts.Adapter) * crowd * s.slowdown)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.adapters--
		s.mu.Unlock()
	}()
	if !sleep(took, cancel) {
		return &CanceledError{Model: model}
	}
	return nil
}

// CanceledError reports a load that was cancelled.
type CanceledError struct {
	Model string
}

func (e *CanceledError) Error() string { return "load of " + e.Model + " cancelled" }

// Fetch implements the engine's Fetcher.
func (s *Store) Fetch(model string, bytes int64, cancel <-chan struct{}) error {
	wait := s.admit()
	defer s.leave()
	if !sleep(wait, cancel) {
		return &CanceledError{Model: model}
	}
	for left := float64(bytes); left > 0; {
		if !sleep(step, cancel) {
			return &CanceledError{Model: model}
		}
		if !s.hangs(model) {
			left -= s.speed() * step.Seconds()
		}
	}
	return nil
}

// admit counts a load and returns the wait until its start.
func (s *Store) admit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.next.Before(now) {
		s.next = now
	}
	wait := s.next.Sub(now)
	s.next = s.next.Add(time.Duration(float64(time.Second) / s.opts.LoadsPerSecond))
	s.inFlight++
	s.loads++
	s.maxAtOne = max(s.maxAtOne, s.inFlight)
	return wait
}

func (s *Store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// speed returns the bytes a second that one load gets now.
func (s *Store) speed() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := 1.0
	if s.inFlight > s.opts.FullSpeedLoads {
		share = float64(s.opts.FullSpeedLoads) / float64(s.inFlight)
	}
	return s.opts.BytesPerSecond * share / s.slowdown
}

func sleep(d time.Duration, cancel <-chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-cancel:
		return false
	}
}
