package soak

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"buckthornseam.dev/seam/platform/standin"
)

// Retries that the rule allows to a service in any retryWindow.
const (
	retryRatio   = 0.2 // per request
	extraRetries = 50
	retryWindow  = 10 * time.Second
)

func (c *checker) recordArrival(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, r)
}

// checkRetryBudget checks that in no window more requests reached the targets of a service once more than the rule allows. c.mu
// must be held.
func (c *checker) checkRetryBudget() {
	for _, models := range []bool{true, false} {
		ofService := func(path string) bool { return strings.HasPrefix(path, "/draft") == models }
		var requests, retries []time.Time
		for _, o := range c.outcomes {
			if ofService(o.path) {
				requests = append(requests, o.sentAt)
			}
		}
		slices.SortFunc(c.arrivals, func(a, b standin.Run) int { return a.At.Compare(b.At) })
		seen := map[string]bool{}
		for _, r := range c.arrivals {
			if !ofService(r.Path) {
				continue
			}
			if seen[r.Attempt] {
				retries = append(retries, r.At)
			}
			seen[r.Attempt] = true
		}
		slices.SortFunc(requests, time.Time.Compare)
		c.checkWindows(models, requests, retries)
	}
}

// checkWindows compares the retries of each window with the requests of that window, of the one before it or of the one half a
// window before it, whichever has most.
func (c *checker) checkWindows(models bool, requests, retries []time.Time) {
	within := func(times []time.Time, start time.Time) int {
		first, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
		last, _ := slices.BinarySearchFunc(times, start.Add(retryWindow), time.Time.Compare)
		return last - first
	}
	for _, start := range retries {
		n := max(within(requests, start), within(requests, start.Add(-retryWindow)), within(requests, start.Add(-retryWindow/2)))
		allowed := retryRatio*float64(n) + extraRetries
		got := within(retries, start)
		c.mostRetries = max(c.mostRetries, float64(got)/allowed)
		if float64(got) > allowed {
			c.addViolation("retry budget: %d retries in %v from %v on, for %d requests (to models: %v), more than %.0f", got, retryWindow, start.Format(time.StampMilli), n, models, allowed)
			return
		}
	}
}

// TestRetriesWhileHostsRestartAndTargetsReject guards against repeats that pile up at targets which reject requests, since each new
// process of a host grants anew what the one before has spent.
func TestRetriesWhileHostsRestartAndTargetsReject(t *testing.T) {
	const restarts, rejectShare, betweenRestarts = 3, 0.7, 2 * time.Second
	s := startSoak(t, buildDaemon(t), *firstSeed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers := s.startCallersOf(ctx, *firstSeed, &atomic.Int32{}, 4*callerCount, 0)
	time.Sleep(retryWindow)
	setRejectShare := func(share float64) {
		for _, e := range slices.Concat(s.engines, s.plainTargets) {
			e.SetRejectShare(share)
		}
	}
	setRejectShare(rejectShare)
	for range restarts {
		time.Sleep(betweenRestarts)
		var hosts sync.WaitGroup
		for _, p := range s.hosts {
			hosts.Go(func() { p.kill(); p.start(t, s.binary) })
		}
		hosts.Wait()
		if !waitFor(recoverBound, s.allReady) {
			t.Error("not all hosts became ready again")
		}
	}
	time.Sleep(retryWindow / 2)
	setRejectShare(0)
	time.Sleep(recoveredTime)
	cancel()
	callers.Wait()
	time.Sleep(requestTimeout)
	s.checker.mu.Lock()
	defer s.checker.mu.Unlock()
	s.checker.checkRetryBudget()
	t.Logf("at most %.2f of the retries that the rule allows; %d requests, %d arrivals", s.checker.mostRetries, len(s.checker.outcomes), len(s.checker.arrivals))
	for _, violation := range s.checker.violations {
		t.Error(violation)
	}
}
