package gateway

import (
	"fmt"
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
// runs shows that its engine has become slow, however few events it has had.
func TestSlowPaceIsSeenWhileAStreamRuns(t *testing.T) {
	for _, gap := range []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond, 4500 * time.Millisecond} {
		t.Run(gap.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newSizedGateway()
				g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 600, 100, 20})
				g.engine.gap = gap
				done := make(chan struct{})
				go func() { g.run(sizedRun{"/once/x", 600, 100, 20}); close(done) }()
				time.Sleep(4 * time.Second)
				stopIn(g.Gateway, 4*time.Second)
				if code := g.run(sizedRun{"/once/x", 600, 100, 20}); code != http.StatusServiceUnavailable {
					t.Errorf("status %d for a stream of more than 4 s, 4 s before the stop, want 503", code)
				}
				<-done
			})
		})
	}
}

// TestShortStreamsShowThePace guards against a stopping host that judges the pace of a model by longer streams before, although short ones show
// that it has become slow.
func TestShortStreamsShowThePace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 600, 100, 20})
		g.engine.gap = 200 * time.Millisecond
		g.repeat(10, sizedRun{"/once/x", 600, 100, 8})
		g.stopIn(3 * time.Second)
		g.expect(t, "a stream at the present pace", sizedRun{"/once/x", 600, 100, 20}, http.StatusServiceUnavailable)
	})
}

// TestTwoEventsAtOnceAreNoPace guards against a stopping host that takes events that came together for a model without pauses.
func TestTwoEventsAtOnceAreNoPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.engine.gap = 0
		g.run(sizedRun{"/once/x", 600, 275, 2})
		g.engine.gap = 30 * time.Millisecond
		g.stopIn(2 * time.Second)
		time.Sleep(1100 * time.Millisecond)
		g.expect(t, "a stream of its maximum", sizedRun{"/once/x", 600, 275, 55}, http.StatusServiceUnavailable)
	})
}

// TestSilenceBeforeTheFirstEventIsNotTakenOffThePace guards against a pace that looks quick since a target was silent before the first event of
// a stream.
func TestSilenceBeforeTheFirstEventIsNotTakenOffThePace(t *testing.T) {
	run := startedRun{at: time.Hour, firstAt: time.Hour + 2300*time.Millisecond, units: 100, sized: true, prompt: 600, events: 21}
	seen := run.seen(run.firstAt+2*time.Second, 2300*time.Millisecond)
	if each, ok := seen.pace.slowest(); !ok || each != 100*time.Millisecond {
		t.Errorf("a pace of %v, known: %v, want 100 ms", each, ok)
	}
}

// TestRunningPromptTellsNothingOfLargerOnes guards against a stopping host that takes the time that a long prompt has had so far for the time
// that it takes.
func TestRunningPromptTellsNothingOfLargerOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.engine.perToken = 100 * time.Microsecond
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 600, 100, 20})
		done := make(chan struct{})
		go func() { g.run(sizedRun{"/once/x", 40_000, 100, 20}); close(done) }()
		time.Sleep(20 * time.Millisecond)
		stopIn(g.Gateway, 4*time.Second)
		if code := g.run(sizedRun{"/once/x", 40_000, 100, 20}); code != http.StatusServiceUnavailable {
			t.Errorf("status %d for a stream of 4.6 s, 4 s before the stop, want 503", code)
		}
		<-done
	})
}

// TestTinyMaximumDoesNotMakeEventsSmall is a control: one stream of a single token must not have all others refused as if each event had one.
func TestTinyMaximumDoesNotMakeEventsSmall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.run(sizedRun{"/once/x", 600, 1, 1})
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 600, 100, 20})
		g.stopIn(4 * time.Second)
		g.expect(t, "a stream of 0.6 s, 4 s before the stop", sizedRun{"/once/x", 600, 100, 20}, http.StatusOK)
	})
}

// TestAbsurdSizesAreRefused guards against sizes whose estimate overflows and looks short.
func TestAbsurdSizesAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, prompt := range []int{0, 600, 1 << 40} {
			g := newSizedGateway()
			g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", prompt % (1 << 40), 20, 20})
			g.stopIn(3 * time.Second)
			g.expect(t, fmt.Sprint("a prompt of ", prompt), sizedRun{"/once/x", prompt, 1 << 40, 1}, http.StatusServiceUnavailable)
		}
	})
}

// TestPrefillTimeIsALeastEstimate guards against a host that has seen quick prompts, kept by their engines, and expects less than the choice of a
// target does.
func TestPrefillTimeIsALeastEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.engine.perToken = 0
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 120_000, 100, 20})
		g.engine.perToken = 30 * time.Microsecond
		g.stopIn(4 * time.Second)
		g.expect(t, "a long prompt", sizedRun{"/once/x", 120_000, 100, 20}, http.StatusServiceUnavailable)
	})
}

// TestFewStreamsVouchForLess guards against a stopping host that relies on a single stream of a model as on many.
func TestFewStreamsVouchForLess(t *testing.T) {
	for seen, status := range map[int]int{1: http.StatusServiceUnavailable, 2 * minRunTimeSamples: http.StatusOK} {
		t.Run(fmt.Sprint(seen), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newSizedGateway()
				g.repeat(seen, sizedRun{"/once/x", 600, 100, 20})
				g.stopIn(3 * time.Second)
				time.Sleep(time.Second)
				g.expect(t, "a stream of 0.6 s, 2 s before the stop", sizedRun{"/once/x", 600, 100, 20}, status)
			})
		})
	}
}
