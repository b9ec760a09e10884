// Package weightstore is a stand-in for the rate-limited weight store. Loads start
// at a bounded rate, and all loads in flight share a bounded total speed.
package weightstore

import (
	"sync"
	"time"
)

// Options configure a stand-in weight store.
type Options struct {
	LoadsPerSecond float64 // loads started in a second
	FullSpeedLoads int     // number of loads in flight up to which each has full speed
	BytesPerSecond float64 // speed of one load at full speed

	AdapterLoadTime   time.Duration // time to load an adapter at full speed; 0 for DefaultAdapterLoadTime
	FullSpeedAdapters int           // number of adapters in flight up to which each has full speed; 0 for DefaultFullSpeedAdapters
}

// Defaults of Options for adapters.
const (
	DefaultAdapterLoadTime   = 8 * time.Millisecond
	DefaultFullSpeedAdapters = 32
)

// Store is a stand-in weight store.
type Store struct {
	opts Options

	mu                  sync.Mutex
	nextStart           time.Time // earliest start of the next load
	inFlight            int
	slowdown            float64 // factor on the duration of loads
	loads               int
	maxInFlight         int
	hanging             map[string]bool // models whose loads never end
	adaptersInFlight    int             // not counted in inFlight
	maxAdaptersInFlight int
}

// speedInterval is the time after which a load in flight adjusts its speed.
const speedInterval = 10 * time.Millisecond

// New returns a store that loads at full speed.
func New(opts Options) *Store {
	if opts.AdapterLoadTime == 0 {
		opts.AdapterLoadTime = DefaultAdapterLoadTime
	}
	if opts.FullSpeedAdapters == 0 {
		opts.FullSpeedAdapters = DefaultFullSpeedAdapters
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
	return s.loads, s.maxInFlight
}

// SetHanging makes loads of a model hang, or continue again.
func (s *Store) SetHanging(model string, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hanging[model] = hang
}

func (s *Store) isHanging(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hanging[model]
}

// MaxAdaptersInFlight returns the most adapters in flight at once.
func (s *Store) MaxAdaptersInFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxAdaptersInFlight
}

// FetchAdapter implements engine.AdapterFetcher. With more than
// Options.FullSpeedAdapters in flight it takes proportionally longer.
func (s *Store) FetchAdapter(model string, cancel <-chan struct{}) error {
	s.mu.Lock()
	s.adaptersInFlight++
	s.maxAdaptersInFlight = max(s.maxAdaptersInFlight, s.adaptersInFlight)
	overload := max(1, float64(s.adaptersInFlight)/float64(s.opts.FullSpeedAdapters))
	duration := time.Duration(float64(s.opts.AdapterLoadTime) * overload * s.slowdown)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.adaptersInFlight--
		s.mu.Unlock()
	}()
	if !sleep(duration, cancel) {
		return &CanceledError{Model: model}
	}
	return nil
}

// CanceledError reports a load that was cancelled.
type CanceledError struct {
	Model string
}

func (e *CanceledError) Error() string { return "load of " + e.Model + " cancelled" }

// Fetch implements engine.Fetcher.
func (s *Store) Fetch(model string, bytes int64, cancel <-chan struct{}) error {
	wait := s.beginLoad()
	defer s.endLoad()
	if !sleep(wait, cancel) {
		return &CanceledError{Model: model}
	}
	for left := float64(bytes); left > 0; {
		if !sleep(speedInterval, cancel) {
			return &CanceledError{Model: model}
		}
		if !s.isHanging(model) {
			left -= s.speed() * speedInterval.Seconds()
		}
	}
	return nil
}

// beginLoad counts a load and returns how long to wait before it starts.
func (s *Store) beginLoad() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.nextStart.Before(now) {
		s.nextStart = now
	}
	wait := s.nextStart.Sub(now)
	s.nextStart = s.nextStart.Add(time.Duration(float64(time.Second) / s.opts.LoadsPerSecond))
	s.inFlight++
	s.loads++
	s.maxInFlight = max(s.maxInFlight, s.inFlight)
	return wait
}

func (s *Store) endLoad() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
}

// speed returns the current speed of one load in bytes a second.
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
