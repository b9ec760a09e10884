// Package targetreach finds out by a host's own connections whether it has lost its way to all targets.
package targetreach

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/reach"
	"buckthornseam.dev/seam/internal/target"
)

// Times of a Monitor.
const (
	slowDial     = 100 * time.Millisecond // a connection that takes longer counts as a failure; ten times the delay between regions
	probeTimeout = 300 * time.Millisecond
	checkPeriod  = 200 * time.Millisecond // failures are looked at at once
	confirmWait  = time.Second            // longer than it takes to find out
)

// Options holds the settings of a Monitor.
type Options struct {
	Addresses func() []string // of all targets
	Dial      target.DialFunc
	Now       func() time.Duration
	Log       logrus.FieldLogger
	OnChange  func() // called after each change of the state
}

// Monitor observes the connections of a host to its targets. It probes targets if something fails.
type Monitor struct {
	opts   Options
	wakeup chan struct{}

	mu       sync.Mutex
	tracker  *reach.Tracker
	state    reach.State
	since    time.Duration
	changed  chan struct{} // closed at the next result of a connection
	watchers map[*func()]bool
}

// New returns a monitor that probes nothing before Run.
func New(opts Options) *Monitor {
	return &Monitor{opts: opts, wakeup: make(chan struct{}, 1), tracker: reach.New(), changed: make(chan struct{}), watchers: map[*func()]bool{}}
}

// Dial opens a connection to a target and observes the result.
func (m *Monitor) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	asked := m.opts.Now()
	slow := time.AfterFunc(slowDial, m.failed)
	defer slow.Stop()
	conn, err := m.opts.Dial(ctx, network, address)
	switch {
	case err == nil:
		m.update(func(now time.Duration) { m.tracker.Reached(asked, now) })
	case !errors.Is(ctx.Err(), context.Canceled):
		m.failed()
	}
	return conn, err
}

// failed records a failure and has targets probed if that is needed.
func (m *Monitor) failed() {
	m.update(m.tracker.Failed)
	m.wake()
}

// Run probes targets when that is needed, until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.wakeup:
		}
		wanted := false
		m.update(func(now time.Duration) { wanted = m.tracker.WantsProbes(now) })
		if wanted {
			go m.probe(ctx)
		}
	}
}

// probe makes a round of probes.
func (m *Monitor) probe(ctx context.Context) {
	addresses := reach.Choose(m.opts.Addresses(), rand.IntN)
	results := make(chan bool, len(addresses))
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for _, address := range addresses {
		go func() {
			conn, err := m.opts.Dial(ctx, "tcp", address)
			if err == nil {
				_ = conn.Close() // nothing was sent
			}
			results <- err == nil
		}()
	}
	reached, unreached := 0, 0
	for range addresses {
		if <-results {
			reached++
			break // the others may hang
		}
		unreached++
	}
	m.update(func(now time.Duration) { m.tracker.Probed(now, reached, unreached) })
}

// update changes the tracker and tells of a change of its state.
func (m *Monitor) update(change func(now time.Duration)) {
	m.mu.Lock()
	now := m.opts.Now()
	change(now)
	state, before := m.tracker.State(now), m.state
	if state == before {
		m.notify()
		m.mu.Unlock()
		return
	}
	lasted := now - m.since
	m.state, m.since = state, now
	m.notify()
	var watchers []func()
	if state == reach.CutOff {
		for f := range m.watchers {
			watchers = append(watchers, *f)
		}
	}
	m.mu.Unlock()
	m.opts.Log.WithFields(logrus.Fields{"event": "target_reach", "state": state.String(), "before": before.String(), "lasted_ms": lasted.Milliseconds()}).Warn("this host's way to all targets changed")
	for _, f := range watchers {
		f()
	}
	m.opts.OnChange()
}

// notify wakes Confirm. The caller must hold m.mu.
func (m *Monitor) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// wake has Run look at whether probes are needed.
func (m *Monitor) wake() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// CutOff reports whether this host has lost its way to all targets, and since when.
func (m *Monitor) CutOff() (since time.Duration, cutOff bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.since, m.state == reach.CutOff
}

// Direct reports whether the next request should be sent to targets by this host itself.
func (m *Monitor) Direct() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Direct(m.opts.Now(), rand.Float64())
}

// OnCutOff calls f when this host loses its way to all targets, until stop is called.
func (m *Monitor) OnCutOff(f func()) (stop func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := &f
	m.watchers[key] = true
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.watchers, key)
	}
}

// Confirm reports whether a failure at a target, seen at a time, says something about the target and not about this host's
// way to all of them. It waits until that is known.
func (m *Monitor) Confirm(ctx context.Context, failedAt time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	for asked := false; ; asked = true {
		m.mu.Lock()
		confirmed, known := m.tracker.Confirms(failedAt, m.opts.Now())
		changed := m.changed
		m.mu.Unlock()
		if known {
			return confirmed
		}
		if !asked {
			m.failed() // so that targets are probed
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true
		}
	}
}
