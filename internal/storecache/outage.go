package storecache

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/platform"
)

// Delays before a failed call is retried.
const (
	minRetryDelay = 60 * time.Millisecond  // doubled after each failure, as the store's own clients do
	maxRetryDelay = 600 * time.Millisecond // limits the delay after an outage and the calls during it; MaxWait/2 if that is longer
)

// Outage is what the mirrors of one process know of the store together.
type Outage struct {
	mu         sync.Mutex
	failedAt   time.Duration // time of the last failed call
	answeredAt time.Duration // time of the last answered call
	delay      time.Duration // from failedAt to the next retry; 0: a call other than a probe was answered
}

// failed records a failed call, or a failed retry. The first delay applies after an answered call.
func (o *Outage) failed(now time.Duration, retry bool, first time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failedAt = now
	switch {
	case o.delay == 0:
		o.delay = first
	case retry:
		o.delay = min(2*o.delay, time.Minute)
	}
}

// answered records an answered call. A probe leaves the delay as it is, since the store may go on
// refusing calls for current data.
func (o *Outage) answered(now time.Duration, probe bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answeredAt = now
	if !probe {
		o.delay = 0
	}
}

// retryIn returns how long to wait for the next retry, whose delay is multiplied by jitter and is
// at most longest, and whether a call was answered since a time.
func (o *Outage) retryIn(now, since, longest time.Duration, jitter float64) (wait time.Duration, answered bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delay := time.Duration(jitter * float64(min(o.delay, longest)))
	return o.failedAt + delay - now, o.answeredAt > since
}

// firstDelayShare is the first delay of a policy with a MaxRetryDelay, as a share of it.
const firstDelayShare = 3

// firstDelay returns the delay after the first failed call.
func (m *Mirror) firstDelay() time.Duration {
	return max(minRetryDelay, m.opts.Policy().MaxRetryDelay/firstDelayShare)
}

// awaitRetry waits before a failed call is retried. The wait ends early if the policy changes
// to one with shorter delays, or if another mirror gets an answer; it begins again if another one
// fails.
func (m *Mirror) awaitRetry(ctx context.Context) {
	since, jitter := m.opts.Now(), (1+rand.Float64())/2
	for ctx.Err() == nil {
		wait, answered := m.opts.Outage.retryIn(m.opts.Now(), since, m.longestDelay(), jitter)
		m.reachable = answered
		if answered || wait <= 0 {
			return
		}
		ctxsleep.Sleep(ctx, min(policyCheckInterval, wait))
	}
}

// awaitNews waits after a successful probe until the policy asks for a call.
func (m *Mirror) awaitNews(ctx context.Context, probed time.Duration) {
	for ctx.Err() == nil {
		policy, waited := m.opts.Policy(), m.opts.Now()-probed
		if m.incomplete() && m.mayListSoon() {
			policy.MinInterval = 0
		}
		if waited >= policy.NewsWait && waited >= policy.MinInterval {
			return
		}
		if waited >= policy.NewsWait {
			m.mu.Lock()
			m.recordSuccess()
			m.mu.Unlock()
		}
		ctxsleep.Sleep(ctx, min(policyCheckInterval, max(policy.NewsWait, policy.MinInterval)-waited))
	}
}

// longestDelay returns the longest delay before a failed call is retried.
func (m *Mirror) longestDelay() time.Duration {
	policy := m.opts.Policy()
	if policy.MaxRetryDelay > 0 {
		return policy.MaxRetryDelay
	}
	return max(maxRetryDelay, policy.MaxWait/2)
}

// probe checks whether a store that was down answers. It allows stale data, as such calls cost
// the platform less and don't count toward its rate. What changed meanwhile is applied, so that a
// slow host does not fetch it twice; it confirms nothing.
func (m *Mirror) probe(ctx context.Context, listed bool, after platform.Version) error {
	if !listed {
		_, err := m.opts.Source.List(ctx, m.opts.Kind, true)
		return err
	}
	events, version, err := m.opts.Source.Poll(ctx, m.opts.Kind, after, probeWait, true)
	var expired *platform.ExpiredError
	switch {
	case errors.As(err, &expired):
		m.expire()
		return nil
	case err != nil:
		return err
	}
	m.applyEvents(events, version, 0)
	return nil
}

// isDown reports whether the last call failed.
func (m *Mirror) isDown() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.down
}

func (m *Mirror) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	var expired *platform.ExpiredError
	if errors.As(err, &expired) {
		m.expire()
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.down {
		m.opts.Log.WithFields(logrus.Fields{"event": "store_lost", "kind": m.opts.Kind, "version": m.version}).Warn(err.Error())
	}
	m.down = true
}

// expire records that the store no longer has the history that follows the copy.
func (m *Mirror) expire() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opts.Log.WithFields(logrus.Fields{"event": "watch_expired", "kind": m.opts.Kind, "version": m.version}).Info("watch history has expired; listing again")
	m.version = 0
}

// recordSuccess records the end of an outage if there was one. It must be called
// with m.mu held.
func (m *Mirror) recordSuccess() {
	if !m.down {
		return
	}
	m.down = false
	m.outageEnd = m.opts.Now()
	m.opts.Log.WithFields(logrus.Fields{"event": "store_regained", "kind": m.opts.Kind, "version": m.version}).Info("store is reachable again")
}
