package permit

import (
	"slices"
	"testing"
	"time"
)

// TestLargerPartFillsAnew guards against an issuer whose part has grown, and which nobody has asked for a while, issuing the
// burst of its new part at once: the issuer that gave the difference up may have issued it just before.
func TestLargerPartFillsAnew(t *testing.T) {
	b := ColdBounds{}.Valid()
	i, r := NewIssuer(), Request{Target: "e", Host: "h"}
	half, whole := b.Limit(20, 0.5), b.Limit(20, 1)
	i.Ask(start, r, half)
	granted := 0
	for range 50 {
		if i.Ask(start+50*time.Second, r, whole).Granted {
			granted++
		}
	}
	if float64(granted) > half.Burst {
		t.Errorf("%d permits at once, the part was %.1f until now", granted, half.Burst)
	}
	if float64(granted) < half.Burst-1 {
		t.Errorf("%d permits at once, want those of the part until now, %.1f", granted, half.Burst)
	}
}

// TestSmallBoundsAreUsed guards against bounds that leave less than one request besides the rate letting nothing through
// although they allow more than one request a second, and against more than they allow.
func TestSmallBoundsAreUsed(t *testing.T) {
	for _, c := range []struct {
		bounds ColdBounds
		rate   float64
		least  float64 // requests a second in the mean
	}{
		{ColdBounds{1.5, 0}, 2, 1},
		{ColdBounds{1, 0}, 20, 14},
		{ColdBounds{1.5, 5}, 0.5, 0.45},
		{ColdBounds{1.5, 5}, 2, 1.9},
		{ColdBounds{1.5, 0}, 0.5, 0}, // less than one request in a second
	} {
		const seconds = 60
		i, r := NewIssuer(), Request{Target: "e", Host: "h"}
		var late, early []time.Duration
		for at := start; at < start+seconds*time.Second; at += time.Millisecond {
			if i.Ask(at, r, c.bounds.Limit(c.rate, 1)).Granted {
				early, late = append(early, at), append(late, at+sendSpread)
			}
		}
		most := 0
		for n, at := range early { // those before are as late as they may be, those from here on as early
			last, _ := slices.BinarySearch(early, at+time.Second)
			first, _ := slices.BinarySearch(late, at)
			most = max(most, last-min(first, n))
		}
		if allowed := c.bounds.Overage*c.rate + c.bounds.Slack; float64(most) > allowed {
			t.Errorf("%+v, %v a second: %d in a second, %.1f allowed", c.bounds, c.rate, most, allowed)
		}
		if mean := float64(len(early)) / seconds; mean < c.least {
			t.Errorf("%+v, %v a second: %.2f a second in the mean, want %.2f at least", c.bounds, c.rate, mean, c.least)
		}
	}
}
