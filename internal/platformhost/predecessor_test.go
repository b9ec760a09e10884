package platformhost

import (
	"fmt"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/gateway"
	"buckthornseam.dev/seam/internal/platform"
)

// TestQuickRestartGetsNoFixedRetries guards against hosts that restart again and again and each time take their share of the
// fixed retries anew.
func TestQuickRestartGetsNoFixedRetries(t *testing.T) {
	const now = 1_000_000 // Unix time of the start, in ms
	for name, c := range map[string]struct {
		entry string
		fixed bool
	}{
		"first start":                       {"", true},
		"process before ran for a minute":   {`,"started_ms":940000`, true},
		"process before ran for a second":   {`,"started_ms":999000`, false},
		"clock was set back":                {`,"started_ms":1005000`, false},
		"process before was a former build": {`,"weight":1`, true},
	} {
		h := newListedHost()
		h.self.Incarnation, h.self.StartedMS = "new", now
		bounds := fleet.Bounds{RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second}
		h.retries = gateway.NewRetryBudget(bounds, func() gateway.HostCount { return gateway.HostCount{All: len(h.view.Hosts())} }, func() time.Duration { return time.Hour })
		objects := map[string]platform.Object{}
		if c.entry != "" {
			objects["a"] = platform.Object{Name: "a", Version: 7, Data: fmt.Appendf(nil, `{"name":"a","address":"a:1","incarnation":"old"%s}`, c.entry)}
		}
		h.hostsChanged(objects)
		h.retries.CountRequest("s")
		if _, ok := h.retries.Charge("s"); ok != c.fixed {
			t.Errorf("%s: a retry right after the start is allowed: %v, want %v", name, ok, c.fixed)
		}
	}
}
