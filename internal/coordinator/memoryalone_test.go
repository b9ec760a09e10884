package coordinator

import (
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// TestHostThatIsCutOffSendsSomeLargeRequests guards against a host that hears no other host for many seconds and serves no long prompt
// meanwhile. The controls are a larger request, a second one within a second, and a host that others report with.
func TestHostThatIsCutOffSendsSomeLargeRequests(t *testing.T) {
	now := time.Hour
	view := NewFleetView("z", func() time.Duration { return now })
	view.SetHosts(map[string]fleet.Host{"a": {Name: "a"}, "b": {Name: "b"}})
	view.SetConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Name: "s", Engine: &fleet.EngineSpec{KVTokens: 160_000, Slots: 24}}}})
	c := NewClient(ClientOptions{Self: fleet.Host{Name: "a"}, FleetView: view, Owner: &Owner{}, Now: view.now, Log: quietLog()})
	target := fleet.Target{ID: "e", Service: "s"}
	for _, step := range []struct {
		after  time.Duration
		tokens int64
		want   bool
	}{{0, 10_001, false}, {0, 10_000, true}, {500 * time.Millisecond, 10_000, false}, {500 * time.Millisecond, 9_000, true}} {
		now += step.after
		if got := c.alone() && view.sendAlone(target, step.tokens); got != step.want {
			t.Errorf("%d tokens: sent %v, want %v", step.tokens, got, step.want)
		}
	}
	c.lastReplyAt, c.reporting = now, 2
	if c.alone() {
		t.Error("a host that reports together with another one counts as alone")
	}
}
