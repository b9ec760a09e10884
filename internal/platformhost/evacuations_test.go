package platformhost

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/evacuation"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/storecache"
)

// TestEvacuationPolicies guards against confirmed hosts that call the store, and against hosts without a confirmation that do
// not find an evacuation within its bound.
func TestEvacuationPolicies(t *testing.T) {
	first, later := evacuation.PollAge(0, 0), evacuation.PollAge(0, evacuation.FirstPollers)
	confirmed := copyState{coordinator: coordinatorReplied, uptime: time.Hour, confirmedAgo: evacuationPolicyStrict.MaxWait + 2*reportIntervalOfModel}
	if p := evacuationPolicyOf(confirmed, first); !p.Confirmed || p.MinInterval < time.Hour {
		t.Errorf("confirmed host: %+v", p)
	}
	for name, s := range map[string]copyState{
		"the coordinator is refused": {coordinator: coordinatorReplied, uptime: time.Hour, confirmedAgo: later},
		"it hears nobody":            {coordinator: coordinatorSilent, uptime: time.Hour, confirmedAgo: later},
		"start without a list":       {coordinator: coordinatorUnknown, confirmedAgo: time.Hour},
		"it coordinates":             {coordinator: coordinatorSelf, uptime: time.Hour},
	} {
		if p := evacuationPolicyOf(s, later); p.AllowStale || p.MaxWait > time.Second || p.MinInterval > time.Second {
			t.Errorf("%s: %+v, want current data at once", name, p)
		}
	}
	const slowCall, noticed = time.Second, 200 * time.Millisecond
	if worst := later + noticed + slowCall; worst > evacuation.DefaultBound {
		t.Errorf("a host without a coordinator sends on for %v", worst)
	}
	if p := evacuation.PollAge(2*evacuation.DefaultBound, 0); p != 2*first {
		t.Errorf("first poll at %v with twice the bound, want %v", p, 2*first)
	}
}

// TestEvacuationCallsOfHosts guards against calls to the store by hosts that the coordinator confirms, and counts those of hosts
// that hear nobody.
func TestEvacuationCallsOfHosts(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, isolated := range []bool{false, true} {
		for _, hosts := range []int{70, 295} {
			synctest.Test(t, func(t *testing.T) {
				store := &pricedStore{}
				ctx, cancel := context.WithCancel(t.Context())
				var wait sync.WaitGroup
				start := time.Now()
				now := func() time.Duration { return time.Since(start) + time.Hour }
				for range hosts {
					var confirmedAt atomic.Int64
					policy := func() storecache.PollPolicy {
						s := copyState{coordinator: coordinatorReplied, uptime: time.Since(start), confirmedAgo: now() - time.Duration(confirmedAt.Load())}
						if !isolated {
							s.confirmedAgo = reportIntervalOfModel
						}
						return evacuationPolicyOf(s, evacuation.PollAge(0, evacuation.FirstPollers))
					}
					m := storecache.New(storecache.Options{
						Source: store, Policy: policy, Now: now, Log: log, OnChange: func(map[string]platform.Object) {},
						OnConfirm: func(at time.Duration) { confirmedAt.Store(int64(at)) },
					})
					wait.Go(func() { _ = m.Run(ctx) })
				}
				time.Sleep(15 * time.Second)
				if price := store.takePrice(false) / float64(hosts); !isolated && price > 2.1 {
					t.Errorf("%d hosts: a start costs %.2f calls a host, want a list and a poll at most", hosts, price)
				}
				time.Sleep(60 * time.Second)
				perSecond := store.takePrice(false) / 60
				t.Logf("%d hosts, isolated %v: %.1f calls a second", hosts, isolated, perSecond)
				if !isolated && perSecond > 0 || perSecond > 0.35*float64(hosts) {
					t.Errorf("%d hosts, isolated %v: %.1f calls a second", hosts, isolated, perSecond)
				}
				cancel()
				wait.Wait()
			})
		}
	}
}
