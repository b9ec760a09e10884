// Package storecache keeps a local copy of the platform's objects of one kind, and
// records when the copy was last known to be complete.
package storecache

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/platform"
)

// Source is the part of the store that a mirror reads.
type Source interface {
	List(ctx context.Context, kind platform.Kind, stale bool) (platform.List, error)
	Poll(ctx context.Context, kind platform.Kind, after platform.Version, wait time.Duration, stale bool) ([]platform.Event, platform.Version, error)
}

// PollPolicy tells how the store is polled.
type PollPolicy struct {
	MaxWait     time.Duration // longest wait of one poll
	MinInterval time.Duration // shortest time between the starts of two polls
	AllowStale  bool          // data may be seconds out of date; such calls cost less
	// MaxRetryDelay is the longest delay before a failed call is retried; 0: maxRetryDelay, or
	// half of MaxWait if that is longer.
	MaxRetryDelay time.Duration
	// NewsWait is how long to wait, once a store that was down answers again, for the policy to
	// change, since the copy may be confirmed in another way.
	NewsWait time.Duration
	// Confirmed is set if the copy is known to be current in another way. Otherwise objects are listed at once
	// when a watch has expired.
	Confirmed bool
}

// Options holds the settings of a mirror.
type Options struct {
	Source Source
	Kind   platform.Kind
	// Policy returns the current policy. If MaxWait decreases during a poll, the
	// poll is interrupted, as the caller then needs a recent confirmation of the
	// copy.
	Policy func() PollPolicy
	// StaleStart allows the first list to be seconds out of date. It confirms nothing.
	StaleStart bool
	// Outage is shared by the mirrors of one process, so that one of them probes a store that is
	// down for all; nil: the mirror is alone.
	Outage *Outage
	// Eras of the store. When a new one is learned, watches end; all objects are listed again under the next policy
	// that asks for calls. nil: the store names none.
	Eras *platform.Eras
	// WithholdRemoved is how long an object that had been removed is left out when a restored store lists it again,
	// unless it is written again.
	WithholdRemoved time.Duration
	KeepMissing     time.Duration        // how long objects that disappeared during a store outage are kept
	Now             func() time.Duration // also advances while the machine is suspended
	Log             logrus.FieldLogger
	OnChange        func(map[string]platform.Object) // called with all objects; the map must not be modified
	// OnConfirm is called with the latest time at which the copy was known to be complete, once OnChange has returned for
	// what the copy held then. Whoever keeps what OnChange has made of the objects can keep the time beside it, as a
	// statement about that or anything newer. nil: nobody asks.
	OnConfirm func(at time.Duration)
}

// Mirror is a copy of the objects of one kind. Run keeps it up to date.
type Mirror struct {
	opts Options

	mu        sync.Mutex
	objects   map[string]platform.Object
	missing   map[string]time.Duration // until when objects missing in the store are kept
	version   platform.Version
	listed    bool
	confirmed time.Duration // the copy was complete at this time, and OnChange has returned for it
	down      bool
	outageEnd time.Duration // end of the last store outage, or of the last restore
	era       platform.Era  // of the last list
	removals  removals

	// Only Run uses the following fields.
	reachable bool          // a store that was down was probed with success, and not called since
	unproven  bool          // the last response came late in its wait and had events: it proves less than one without
	listedAt  time.Duration // end of the last list
}

// New returns an empty mirror, which does not poll before Run.
func New(opts Options) *Mirror {
	if opts.Outage == nil {
		opts.Outage = &Outage{}
	}
	if opts.Eras == nil {
		opts.Eras = &platform.Eras{}
	}
	if opts.OnConfirm == nil {
		opts.OnConfirm = func(time.Duration) {}
	}
	return &Mirror{opts: opts, objects: map[string]platform.Object{}, missing: map[string]time.Duration{}, removals: newRemovals()}
}

// lastConfirmed returns the latest time that OnConfirm was called with (0: it was not), and whether objects were listed.
func (m *Mirror) lastConfirmed() (time.Duration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed, m.listed
}

// publish hands on the objects if they have changed, and after them the time at which the copy was complete; 0: it is not known.
func (m *Mirror) publish(objects map[string]platform.Object, changed bool, confirmed time.Duration) {
	if changed {
		m.opts.OnChange(objects)
	}
	m.mu.Lock()
	newer := confirmed > m.confirmed
	m.confirmed = max(m.confirmed, confirmed)
	m.mu.Unlock()
	if newer {
		m.opts.OnConfirm(confirmed)
	}
}

// Version returns the version of the store that the copy was last brought up to; 0: the history after the copy is gone.
func (m *Mirror) Version() platform.Version {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Missing returns the names of the objects that are kept although the store does not list them.
func (m *Mirror) Missing() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]bool, len(m.missing))
	for name := range m.missing {
		out[name] = true
	}
	return out
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		start, down := m.opts.Now(), m.isDown()
		if err := m.step(ctx, start); err != nil {
			m.recordFailure(ctx, err)
			if m.listsAtOnce(err, down) {
				continue
			}
			m.opts.Outage.failed(m.opts.Now(), down, m.firstDelay())
			m.awaitRetry(ctx)
			if m.reachable {
				m.awaitNews(ctx, m.opts.Now())
			}
			continue
		}
		m.opts.Outage.answered(m.opts.Now(), m.reachable)
		if m.reachable {
			m.awaitNews(ctx, start)
			continue
		}
		for m.opts.Now()-start < m.opts.Policy().MinInterval && ctx.Err() == nil && !m.inEarlierEra() {
			ctxsleep.Sleep(ctx, min(policyCheckInterval, m.opts.Policy().MinInterval-(m.opts.Now()-start)))
		}
	}
	return nil
}

// minListInterval is the shortest time between two lists of which the second does not wait for the policy's
// interval. A store may drop its history again and again.
const minListInterval = 2 * time.Second

// listsAtOnce reports whether a call showed that the copy is incomplete, so that the next call, which lists all
// objects, need not wait. After an outage the store may still refuse such a call.
func (m *Mirror) listsAtOnce(err error, down bool) bool {
	var expired *platform.ExpiredError
	return errors.As(err, &expired) && !down && m.mayListSoon()
}

func (m *Mirror) mayListSoon() bool {
	return m.opts.Now()-m.listedAt >= minListInterval && !m.opts.Policy().Confirmed
}

// incomplete reports whether a watch has expired since the last list.
func (m *Mirror) incomplete() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed && m.version == 0
}

// inEarlierEra reports whether the copy was taken before the store was restored and has to be listed again. If it is
// confirmed in another way, its objects are those of the new era, and the next call will list them.
func (m *Mirror) inEarlierEra() bool {
	m.mu.Lock()
	earlier := m.listed && m.version > 0 && m.version.Era() < m.opts.Eras.Current()
	m.mu.Unlock()
	return earlier && !m.opts.Policy().Confirmed // without the lock, since a policy may ask the mirror for its confirmation
}

// probeWait is the wait of a poll after a failed call.
const probeWait = time.Millisecond

// shortPollWait is the longest wait of a poll that is never interrupted.
const shortPollWait = 1500 * time.Millisecond

// policyCheckInterval is how often the policy is checked during a poll or a delay.
const policyCheckInterval = 200 * time.Millisecond

// poll makes one poll, and reports whether it was completed. It is interrupted if
// the MaxWait of the policy decreases or a new era of the store is learned.
func (m *Mirror) poll(ctx context.Context, after platform.Version, policy PollPolicy) ([]platform.Event, platform.Version, bool, error) {
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	interrupted := false
	done := make(chan struct{})
	go func() {
		defer close(done)
		interrupted = m.awaitInterrupt(pollCtx, after.Era(), policy)
		cancel()
	}()
	events, version, err := m.opts.Source.Poll(pollCtx, m.opts.Kind, after, policy.MaxWait, policy.AllowStale)
	cancel()
	<-done
	switch {
	case err != nil && m.opts.Eras.Current() > after.Era():
		return nil, 0, false, &platform.ExpiredError{Kind: m.opts.Kind, After: after}
	case err != nil && interrupted:
		return nil, 0, false, nil
	}
	return events, version, true, err
}

// awaitInterrupt returns true if a poll should be interrupted, and false when ctx ends.
func (m *Mirror) awaitInterrupt(ctx context.Context, pollEra platform.Era, policy PollPolicy) bool {
	for {
		era, eraChanged := m.opts.Eras.Changed()
		if era > pollEra {
			return true
		}
		timer := time.NewTimer(policyCheckInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-eraChanged:
			timer.Stop()
		case <-timer.C:
			if policy.MaxWait > shortPollWait && m.opts.Policy().MaxWait < policy.MaxWait {
				return true
			}
		}
	}
}

func (m *Mirror) step(ctx context.Context, start time.Duration) error {
	m.mu.Lock()
	everListed, after := m.listed, m.version
	listed := everListed && after > 0
	m.mu.Unlock()
	if m.isDown() && !m.reachable {
		err := m.probe(ctx, listed, after)
		m.reachable = err == nil
		return err
	}
	afterProbe := m.reachable
	m.reachable = false
	if !listed {
		// A later list follows an expired history; one that is out of date would lead there again.
		stale := m.opts.StaleStart && !everListed
		list, err := m.opts.Source.List(ctx, m.opts.Kind, stale)
		if err != nil {
			return err
		}
		m.listedAt = m.opts.Now()
		if stale {
			start = 0
		}
		m.applyList(list, start)
		return nil
	}
	policy := m.opts.Policy()
	if m.isDown() || afterProbe {
		policy.MaxWait = min(policy.MaxWait, probeWait) // a store that is silent again is noticed sooner
	}
	if at, _ := m.lastConfirmed(); at == 0 && !policy.AllowStale {
		policy.MaxWait = min(policy.MaxWait, probeWait) // after a first list that may be out of date
	}
	if m.unproven {
		policy.MaxWait = min(policy.MaxWait, probeWait)
	}
	if m.awaitsTime() {
		policy.MaxWait = min(policy.MaxWait, m.opts.KeepMissing/4)
	}
	events, version, complete, err := m.poll(ctx, after, policy)
	if err == nil && !complete && m.opts.Policy().AllowStale {
		return nil
	}
	if err == nil && !complete {
		// The poll was interrupted: check at once whether the copy is complete.
		policy = PollPolicy{MaxWait: policyCheckInterval / 4}
		start = m.opts.Now()
		events, version, err = m.opts.Source.Poll(ctx, m.opts.Kind, after, policy.MaxWait, false)
	}
	if err != nil {
		return err
	}
	now := m.opts.Now()
	confirmed := provenAt(start, now, policy.MaxWait, events)
	if policy.AllowStale {
		confirmed = 0
	}
	m.unproven = len(events) > 0 && !policy.AllowStale && now-start > policy.MaxWait/lateShare
	m.applyEvents(events, version, confirmed)
	return nil
}

// lateShare is the share of its wait after which a response with events is followed by a poll that does not wait.
const lateShare = 2

// provenAt returns until when the response to a poll, read at now, shows that the copy was complete with its events. It may
// have been under way for long, or have waited for a host that was frozen: the store saw the call after its start, and only
// one without events at the end of the wait. If that was cut short without an error, and a host was frozen too, the result
// is too late by the wait at most; longer waits than shortPollWait are therefore not counted.
func provenAt(start, now, wait time.Duration, events []platform.Event) time.Duration {
	if len(events) > 0 || wait > shortPollWait || now-start < wait {
		return start
	}
	return start + wait
}

// awaitsTime reports whether objects are kept or withheld for a time.
func (m *Mirror) awaitsTime() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.missing)+len(m.removals.withheld) > 0
}

func (m *Mirror) applyList(list platform.List, start time.Duration) {
	m.mu.Lock()
	m.recordSuccess()
	restored := m.enterEra(list.Version.Era())
	now := m.opts.Now()
	found := make(map[string]platform.Object, len(list.Items))
	for _, obj := range list.Items {
		delete(m.missing, obj.Name)
		if !m.removals.listed(obj, restored, now, m.opts.WithholdRemoved) {
			found[obj.Name] = obj
		}
	}
	for name, obj := range m.objects {
		if _, ok := found[name]; ok {
			continue
		}
		if m.keepMissing(name) {
			found[name] = obj
		} else if _, withheld := m.removals.withheld[name]; !withheld {
			m.removals.removed(name, now)
		}
	}
	m.objects, m.version, m.listed = found, list.Version, true
	snapshot := maps.Clone(m.objects)
	m.mu.Unlock()
	m.publish(snapshot, true, start)
}

// keepMissing reports whether an object that is missing in the store is kept for
// now. An object that expired during a store outage may be written again.
// keepMissing must be called with m.mu held.
func (m *Mirror) keepMissing(name string) bool {
	if m.opts.KeepMissing <= 0 || m.outageEnd == 0 {
		return false
	}
	if until, ok := m.missing[name]; ok {
		return m.opts.Now() < until
	}
	until := m.outageEnd + m.opts.KeepMissing
	if m.opts.Now() >= until {
		return false
	}
	m.missing[name] = until
	return true
}

func (m *Mirror) applyEvents(events []platform.Event, version platform.Version, confirmed time.Duration) {
	m.mu.Lock()
	m.recordSuccess()
	changed := len(events) > 0
	next := m.objects
	if changed {
		next = maps.Clone(m.objects)
	}
	for _, e := range events {
		if e.Type != platform.EventDelete {
			next[e.Object.Name] = e.Object
			delete(m.missing, e.Object.Name)
			m.removals.written(e.Object.Name)
		} else if !m.keepMissing(e.Object.Name) {
			delete(next, e.Object.Name)
			m.removals.removed(e.Object.Name, m.opts.Now())
		}
	}
	for _, obj := range m.removals.release(m.opts.Now()) {
		if !changed {
			next, changed = maps.Clone(m.objects), true
		}
		next[obj.Name] = obj
	}
	for name, until := range m.missing {
		if m.opts.Now() >= until {
			if !changed {
				next, changed = maps.Clone(m.objects), true
			}
			delete(m.missing, name)
			delete(next, name)
			m.removals.removed(name, m.opts.Now())
		}
	}
	m.objects, m.version = next, max(version, m.version)
	m.mu.Unlock()
	m.publish(next, changed, confirmed)
}
