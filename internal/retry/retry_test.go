package retry

import (
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/serve"
)

var _ serve.RetryBudget = (*Budget)(nil)

func TestRetriesAreAShareOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b, err := New(Options{})
		if err != nil {
			t.Fatal(err)
		}
		allowed := 0
		for range 10000 {
			b.RecordSent("team", "failing")
			for b.Allow("team", "failing") {
				allowed++
			}
		}
		if most := 10000*DefaultShare + DefaultInitialRetries; float64(allowed) > most {
			t.Errorf("%d retries of 10000 requests, want at most %v", allowed, most)
		}
		if b.Allow("other", "failing") {
			t.Error("another team retries a target whose budget is spent")
		}
		if b.Allow("team", "healthy") {
			t.Error("a team whose budget is spent retries another target")
		}
		if !b.Allow("other", "healthy") {
			t.Error("another team may not retry another target")
		}
		time.Sleep(2 * DefaultRefillInterval)
		if !b.Allow("team", "failing") {
			t.Error("no retry after a pause of two refill intervals")
		}
	})
}

func TestBackoffIsJitteredAndBounded(t *testing.T) {
	b, err := New(Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	seen := map[time.Duration]bool{}
	for retry := range 100 {
		longest := min(DefaultBackoff<<min(max(retry-1, 0), maxBackoffDoublings), DefaultMaxBackoff)
		d := b.Backoff(retry)
		if d < longest/2 || d > longest {
			t.Errorf("backoff %d is %v, want %v to %v", retry, d, longest/2, longest)
		}
		seen[d] = true
	}
	if len(seen) < 90 {
		t.Errorf("%d different waits of 100, want at least 90", len(seen))
	}
	if _, err := New(Options{Share: 2}); err == nil {
		t.Error("a share above 1 was accepted")
	}
}
