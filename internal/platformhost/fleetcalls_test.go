package platformhost

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/storecache"
)

// pricedStore counts calls by what the platform asks for them: one each, a tenth if they allow stale
// data and are answered.
type pricedStore struct {
	mu    sync.Mutex
	down  bool
	price float64
	era   platform.Era
}

// version returns the version of the store's only revision.
func (s *pricedStore) version() platform.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return platform.Version(s.era)<<40 + 1
}

// restore begins a new era.
func (s *pricedStore) restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
}

// staleShare is the price of an answered call that allows stale data.
const staleShare = 0.1

func (s *pricedStore) call(stale bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		s.price++
		return &platform.UnavailableError{}
	}
	if stale {
		s.price += staleShare
	} else {
		s.price++
	}
	return nil
}

func (s *pricedStore) List(_ context.Context, _ platform.Kind, stale bool) (platform.List, error) {
	return platform.List{Version: s.version()}, s.call(stale)
}

func (s *pricedStore) Poll(ctx context.Context, _ platform.Kind, after platform.Version, wait time.Duration, stale bool) ([]platform.Event, platform.Version, error) {
	if after.Era() < s.version().Era() {
		return nil, 0, &platform.ExpiredError{} // not sent
	}
	if err := s.call(stale); err != nil {
		return nil, 0, err
	}
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait):
		return nil, after, nil
	}
}

// takePrice sets whether the store is down, and returns the price since the last time.
func (s *pricedStore) takePrice(down bool) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	price := s.price
	s.price, s.down = 0, down
	return price
}

// Times of the simulated fleet.
const (
	coordinatorChosenAt = 400 * time.Millisecond // after the start, by each host
	firstReplyAt        = 900 * time.Millisecond
	outageAt            = 6 * time.Second
	outageLength        = 4500 * time.Millisecond
	coordinatorBackIn   = 300 * time.Millisecond // after the outage
)

// startCopies runs a host's three copies of the store until ctx ends. The coordinator confirms them
// from its first reply on, but for the outage.
func startCopies(ctx context.Context, wait *sync.WaitGroup, store *pricedStore, log logrus.FieldLogger) *platform.Eras {
	eras := &platform.Eras{}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + time.Hour }
	state := func() copyState {
		uptime := time.Since(start)
		s := copyState{uptime: uptime, confirmedAgo: time.Hour, same: true} // never yet
		switch {
		case uptime < coordinatorChosenAt:
		case uptime < firstReplyAt:
			s.coordinator = coordinatorSilent
		default:
			s.coordinator, s.confirmedAgo = coordinatorReplied, reportIntervalOfModel
			if back := outageAt + outageLength + coordinatorBackIn; uptime > outageAt && uptime < back {
				s.confirmedAgo = uptime - outageAt
			}
		}
		return s
	}
	outage := &storecache.Outage{}
	for i, policy := range []func() storecache.PollPolicy{
		func() storecache.PollPolicy { return configPolicyOf(state()) },
		func() storecache.PollPolicy { return targetPolicyOf(state()) },
		func() storecache.PollPolicy { s := state(); return hostPolicyOf(s.coordinator, 2, s.uptime) },
	} {
		m := storecache.New(storecache.Options{Source: store, Outage: outage, Eras: eras, StaleStart: i > 0, Policy: policy, Now: now, Log: log, OnChange: func(map[string]platform.Object) {}})
		wait.Go(func() { _ = m.Run(ctx) })
	}
	return eras
}

// reportIntervalOfModel is the age of a confirmation in a fleet that works.
const reportIntervalOfModel = 400 * time.Millisecond

// TestCallsOfFleetGrowWithHostsOnly covers the patterns of a fleet that starts at once and of an outage
// of the store. A host's calls must not depend on the size of the fleet, and be few.
func TestCallsOfFleetGrowWithHostsOnly(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, hosts := range []int{8, 73, 295, 1200} {
		synctest.Test(t, func(t *testing.T) {
			store := &pricedStore{}
			ctx, cancel := context.WithCancel(t.Context())
			var wait sync.WaitGroup
			for range hosts {
				startCopies(ctx, &wait, store, log)
			}
			perHost := func(down bool) float64 { return store.takePrice(down) / float64(hosts) }
			time.Sleep(outageAt)
			if price := perHost(true); price > 2 {
				t.Errorf("%d hosts: a start costs %.1f calls a host, want 2 at most", hosts, price)
			}
			time.Sleep(outageLength)
			if price := perHost(false); price > 5 {
				t.Errorf("%d hosts: an outage costs %.1f calls a host, want 5 at most", hosts, price)
			}
			time.Sleep(3 * time.Second)
			if price := perHost(false); price > 1 {
				t.Errorf("%d hosts: the end of an outage costs %.1f calls a host, want one at most", hosts, price)
			}
			cancel()
			wait.Wait()
		})
	}
}

// TestCallsAfterARestoreAreFew covers the pattern of a restored store: all hosts hear of the new era within a report interval.
// Hosts whose copies the coordinator confirms must not all read everything again.
func TestCallsAfterARestoreAreFew(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, hosts := range []int{8, 73, 295, 1200} {
		synctest.Test(t, func(t *testing.T) {
			store := &pricedStore{}
			ctx, cancel := context.WithCancel(t.Context())
			var wait sync.WaitGroup
			var eras []*platform.Eras
			for range hosts {
				eras = append(eras, startCopies(ctx, &wait, store, log))
			}
			time.Sleep(4 * time.Second)
			store.takePrice(false)
			store.restore()
			for i, e := range eras {
				go func() {
					time.Sleep(time.Duration(i%20) * reportIntervalOfModel / 20)
					e.Learn(1)
				}()
			}
			time.Sleep(2 * time.Second)
			if price := store.takePrice(false) / float64(hosts); price > 1.2 {
				t.Errorf("%d hosts: a restore costs %.1f calls a host in 2 s, want one for the list of hosts", hosts, price)
			}
			cancel()
			wait.Wait()
		})
	}
}
