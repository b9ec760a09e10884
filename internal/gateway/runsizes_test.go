package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestPromptTimesGrowWithTheSquare guards against estimates that are too short for prompts larger than any that was seen, and too long for
// smaller ones.
func TestPromptTimesGrowWithTheSquare(t *testing.T) {
	var p promptTimes
	if _, ok := p.longest(600); ok {
		t.Error("a time is known before any prompt was seen")
	}
	p.add(1000, 40*time.Millisecond)
	p.add(20_000, 900*time.Millisecond)
	for tokens, want := range map[int]time.Duration{
		600: 40 * time.Millisecond, 1000: 40 * time.Millisecond, 2000: 160 * time.Millisecond, 20_000: 900 * time.Millisecond, 40_000: 3600 * time.Millisecond,
		1 << 40: longestEstimate,
	} {
		if got, ok := p.longest(tokens); !ok || got != want {
			t.Errorf("%v for a prompt of %d tokens, want %v", got, tokens, want)
		}
	}
	var large promptTimes
	large.add(50_000, 2*time.Second)
	if got, _ := large.longest(600); got != unknownRunTime {
		t.Errorf("%v for a prompt of 600 tokens after large ones, want %v", got, unknownRunTime)
	}
}

// TestPauseOfAShortStreamIsNoPace is a control: one pause between the few events of a short stream must not have all streams refused late in
// a stop.
func TestPauseOfAShortStreamIsNoPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 600, 100, 20})
		g.engine.gap = 400 * time.Millisecond
		g.run(sizedRun{"/once/x", 600, 100, 2})
		g.engine.gap = 30 * time.Millisecond
		g.stopIn(4 * time.Second)
		g.expect(t, "a stream as most", sizedRun{"/once/x", 600, 100, 20}, http.StatusOK)
	})
}

// TestSlowPaceIsSeenWhileAStreamRuns guards against a stopping host that judges the pace of a model by streams that have ended, while one that
// runs shows that its engine has become slow.
func TestSlowPaceIsSeenWhileAStreamRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 600, 100, 20})
		g.engine.gap = 300 * time.Millisecond
		done := make(chan struct{})
		go func() { g.run(sizedRun{"/once/x", 600, 100, 20}); close(done) }()
		time.Sleep(4 * time.Second)
		stopIn(g.Gateway, 4*time.Second)
		if code := g.run(sizedRun{"/once/x", 600, 100, 20}); code != http.StatusServiceUnavailable {
			t.Errorf("status %d for a stream of 6 s, 4 s before the stop, want 503", code)
		}
		<-done
	})
}
