// Package mirror keeps a copy of one kind of the platform's objects and says
// how old the copy may be.
package mirror

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/platform"
)

// Source is the part of the store that a mirror reads.
type Source interface {
	List(ctx context.Context, kind platform.Kind, stale bool) (platform.List, error)
	Poll(ctx context.Context, kind platform.Kind, after platform.Version, wait time.Duration, stale bool) ([]platform.Event, platform.Version, error)
}

// PollPolicy says how a copy is kept.
type PollPolicy struct {
	MaxWait     time.Duration // longest wait of one poll
	MinInterval time.Duration // least time between the starts of two polls
	AllowStale  bool          // data seconds old will do; such calls cost less
}

// Options configure a mirror.
type Options struct {
	Source Source
	Kind   platform.Kind
	// Policy says how to keep the copy now. A poll under way ends early when the
	// pace comes to wait less: nobody else vouches for the copy any more.
	Policy      func() PollPolicy
	KeepMissing time.Duration        // for which objects stay that went missing while the store was away
	Now         func() time.Duration // counts suspended time
	Log         logrus.FieldLogger
	OnChange    func(map[string]platform.Object) // called with the whole copy, which must not be changed
}

// Pauses after a failed call.
const (
	firstPause = 60 * time.Millisecond  // doubled after each failure; the store's own clients retry so
	maxPause   = 600 * time.Millisecond // bounds the delay after an outage, and the calls during it; half of the pace's wait if that is longer
)

// Mirror is the copy. Run keeps it.
type Mirror struct {
	opts Options

	mu        sync.Mutex
	objects   map[string]platform.Object
	leaving   map[string]time.Duration // objects kept although gone, by end
	version   platform.Version
	listed    bool
	confirmed time.Duration // the copy was complete at this time
	down      bool
	backAt    time.Duration // end of the last outage
}

// New returns an empty mirror.
func New(opts Options) *Mirror {
	return &Mirror{opts: opts, objects: map[string]platform.Object{}, leaving: map[string]time.Duration{}}
}

// Confirmed returns the latest time at which the copy was known to be complete,
// and whether there is one.
func (m *Mirror) Confirmed() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed, m.listed
}

// Run keeps the copy until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	pause := firstPause
	for ctx.Err() == nil {
		began := m.opts.Now()
		if err := m.step(ctx, began); err != nil {
			m.failed(ctx, err)
			sleep(ctx, pause)
			pause = min(2*pause, max(maxPause, m.opts.Policy().MaxWait/2))
			continue
		}
		pause = firstPause
		for m.opts.Now()-began < m.opts.Policy().MinInterval && ctx.Err() == nil {
			sleep(ctx, min(paceCheck, m.opts.Policy().MinInterval-(m.opts.Now()-began)))
		}
	}
	return nil
}

// shortWait is a wait that need not be ended early.
const shortWait = 1500 * time.Millisecond

// paceCheck is how often a poll under way asks whether it may go on waiting.
const paceCheck = 200 * time.Millisecond

// poll makes one poll, and reports whether it was whole: it ends early when the
// pace comes to wait less.
func (m *Mirror) poll(ctx context.Context, after platform.Version, pace PollPolicy) ([]platform.Event, platform.Version, bool, error) {
	if pace.MaxWait <= shortWait {
		events, version, err := m.opts.Source.Poll(ctx, m.opts.Kind, after, pace.MaxWait, pace.AllowStale)
		return events, version, true, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := false
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			sleep(ctx, paceCheck)
			if ctx.Err() == nil && m.opts.Policy().MaxWait < pace.MaxWait {
				interrupted = true
				cancel()
			}
		}
	}()
	events, version, err := m.opts.Source.Poll(ctx, m.opts.Kind, after, pace.MaxWait, pace.AllowStale)
	cancel()
	<-done
	if err != nil && interrupted {
		return nil, 0, false, nil
	}
	return events, version, true, err
}

func (m *Mirror) step(ctx context.Context, began time.Duration) error {
	m.mu.Lock()
	listed, after := m.listed && m.version > 0, m.version
	m.mu.Unlock()
	if !listed {
		list, err := m.opts.Source.List(ctx, m.opts.Kind, false)
		if err != nil {
			return err
		}
		m.relist(list, began)
		return nil
	}
	pace := m.opts.Policy()
	if m.lingers() {
		pace.MaxWait = min(pace.MaxWait, m.opts.KeepMissing/4)
	}
	events, version, whole, err := m.poll(ctx, after, pace)
	if err == nil && !whole {
		// Nobody vouches for the copy any more: learn at once whether it is complete.
		pace = PollPolicy{MaxWait: paceCheck / 4}
		began = m.opts.Now()
		events, version, err = m.opts.Source.Poll(ctx, m.opts.Kind, after, pace.MaxWait, false)
	}
	if err != nil {
		return err
	}
	confirmed := began + min(m.opts.Now()-began, pace.MaxWait)
	if pace.AllowStale {
		confirmed = 0
	}
	m.apply(events, version, confirmed)
	return nil
}

func (m *Mirror) lingers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.leaving) > 0
}

func (m *Mirror) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		m.opts.Log.WithFields(logrus.Fields{"event": "watch_expired", "kind": m.opts.Kind, "version": m.version}).Info("history is gone, listing again")
		m.version = 0
		return
	}
	if !m.down {
		m.opts.Log.WithFields(logrus.Fields{"event": "store_lost", "kind": m.opts.Kind, "version": m.version}).Warn(err.Error())
	}
	m.down = true
}

// regained notes the end of an outage.
func (m *Mirror) regained() {
	if !m.down {
		return
	}
	m.down = false
	m.backAt = m.opts.Now()
	m.opts.Log.WithFields(logrus.Fields{"event": "store_regained", "kind": m.opts.Kind, "version": m.version}).Info("store answers again")
}

func (m *Mirror) relist(list platform.List, began time.Duration) {
	m.mu.Lock()
	m.regained()
	found := make(map[string]platform.Object, len(list.Items))
	for _, obj := range list.Items {
		found[obj.Name] = obj
		delete(m.leaving, obj.Name)
	}
	for name, obj := range m.objects {
		if _, ok := found[name]; !ok && m.keepMissing(name) {
			found[name] = obj
		}
	}
	m.objects, m.version, m.listed, m.confirmed = found, list.Version, true, began
	snapshot := maps.Clone(m.objects)
	m.mu.Unlock()
	m.opts.OnChange(snapshot)
}

// keepMissing decides whether an object that is missing stays for a while: it
// may have lapsed while the store was away, and come back.
func (m *Mirror) keepMissing(name string) bool {
	if m.opts.KeepMissing <= 0 || m.backAt == 0 {
		return false
	}
	if until, ok := m.leaving[name]; ok {
		return m.opts.Now() < until
	}
	until := m.backAt + m.opts.KeepMissing
	if m.opts.Now() >= until {
		return false
	}
	m.leaving[name] = until
	return true
}

func (m *Mirror) apply(events []platform.Event, version platform.Version, confirmed time.Duration) {
	m.mu.Lock()
	m.regained()
	changed := len(events) > 0
	next := m.objects
	if changed {
		next = maps.Clone(m.objects)
	}
	for _, e := range events {
		if e.Type != platform.EventDelete {
			next[e.Object.Name] = e.Object
			delete(m.leaving, e.Object.Name)
		} else if !m.keepMissing(e.Object.Name) {
			delete(next, e.Object.Name)
		}
	}
	for name, until := range m.leaving {
		if m.opts.Now() >= until {
			if !changed {
				next, changed = maps.Clone(m.objects), true
			}
			delete(m.leaving, name)
			delete(next, name)
		}
	}
	m.objects, m.version, m.confirmed = next, max(version, m.version), max(confirmed, m.confirmed)
	m.mu.Unlock()
	if changed {
		m.opts.OnChange(next)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
