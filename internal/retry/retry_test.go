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
			b.Sent("team", "failing")
			for b.Allow("team", "failing") {
				allowed++
			}
		}
		if most := 10000*DefaultShare + DefaultStart; float64(allowed) > most {
			t.Errorf("%d retries of 10000 requests, want at most %v", allowed, most)
		}
		if b.Allow("other", "failing") {
			t.Error("another team retries a target whose budget is spent")
		}
		if b.Allow("team", "healthy") {
			t.Error("a team whose budget is spent retries another target")
		}
		if !b.Allow("other", "healthy") {
			t.Error("the budgets of others are spent")
		}
		time.Sleep(2 * DefaultRefill)
		if !b.Allow("team", "failing") {
			t.Error("no retry after a pause that earns one")
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
		longest := min(DefaultBackoff<<min(max(retry-1, 0), maxBackoffDoubling), DefaultMaxBackoff)
		d := b.Backoff(retry)
		if d < longest/2 || d > longest {
			t.Errorf("backoff %d is %v, want %v to %v", retry, d, longest/2, longest)
		}
		seen[d] = true
	}
	if len(seen) < 90 {
		t.Errorf("only %d different waits", len(seen))
	}
	if _, err := New(Options{Share: 2}); err == nil {
		t.Error("a share above 1 was taken")
	}
}
