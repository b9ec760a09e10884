package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// stopTestRetryAfter is what testGateway's callers are told during a planned stop.
const stopTestRetryAfter = 700 * time.Millisecond

func stopIn(g *Gateway, serveFor time.Duration) {
	g.Stop(serveFor, func() time.Duration { return stopTestRetryAfter })
}

// TestStreamThatOutlastsPlannedStopIsRefused covers requests that arrive late in a planned
// stop. A stream that would still run when the host stops must be refused as not run; a
// short request is still served.
func TestStreamThatOutlastsPlannedStopIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSender{runTime: 3 * time.Second, sentAt: map[string]time.Time{}}
		g := testGateway(s)
		if w := post(g, "/once/x", "m"); w.Code != http.StatusOK {
			t.Fatalf("status %d before the stop", w.Code)
		}
		stopIn(g, 7500*time.Millisecond)
		time.Sleep(2 * time.Second)
		if w := post(g, "/once/x", "m"); w.Code != http.StatusOK {
			t.Errorf("status %d for a stream that ends 2.5 s before the stop", w.Code)
		}
		s.runTime = 50 * time.Millisecond
		if w := post(g, "/pay/x", ""); w.Code != http.StatusOK {
			t.Errorf("status %d for a short request", w.Code)
		}
		time.Sleep(time.Second)
		started := s.started
		w := post(g, "/once/x", "m")
		if w.Code != http.StatusServiceUnavailable || s.started != started {
			t.Errorf("status %d and %d sends for a stream that outlasts the stop, want 503 and none", w.Code, s.started-started)
		}
		if got, want := w.Header().Get("Retry-After"), strconv.FormatFloat(stopTestRetryAfter.Seconds(), 'f', 2, 64); got != want {
			t.Errorf("Retry-After %q, want %q", got, want)
		}
	})
}

// TestLargestGenerationIsRefusedWhenItOutlastsStop covers a host that has only seen small
// generations end: a large one takes longer in proportion to its tokens.
func TestLargestGenerationIsRefusedWhenItOutlastsStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSender{runTime: 500 * time.Millisecond, sentAt: map[string]time.Time{}}
		g := testGateway(s)
		generate := func(tokensOut int) int {
			r := newPost("/once/x", "m", "a1")
			r.Header.Set("Tokens-Out", strconv.Itoa(tokensOut))
			return serve(g, r).Code
		}
		if code := generate(50); code != http.StatusOK {
			t.Fatalf("status %d before the stop", code)
		}
		stopIn(g, 4*time.Second)
		if code := generate(500); code != http.StatusServiceUnavailable {
			t.Errorf("status %d for a generation of 5 s, 4 s before the stop, want 503", code)
		}
		if code := generate(50); code != http.StatusOK {
			t.Errorf("status %d for a small generation, want 200", code)
		}
	})
}

// generator makes streams whose events have five tokens each, at a pace that the test sets.
type generator struct {
	gap  time.Duration // from event to event
	sent int
}

// Forward implements Sender.
func (s *generator) Forward(_ context.Context, _ string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.sent++
	tokens, err := strconv.Atoi(f.Header.Get("Tokens-Out"))
	if err != nil {
		return nil, err
	}
	var body strings.Builder
	for i := range tokens / 5 {
		fmt.Fprintf(&body, "id: %d\ndata: a\n\n", i+1)
	}
	time.Sleep(s.gap * time.Duration(tokens/5))
	return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: io.NopCloser(strings.NewReader(body.String()))}, nil
}

// generatorGateway is a gateway with engines that hold the models m0, m1 and so on, and a route whose callers wait for ten seconds.
func generatorGateway(s *generator, models int) (g *Gateway, generate func(model string, tokensOut int) int) {
	g = testGateway(s)
	config := *g.opts.View.Config()
	config.Routes = slices.Clone(config.Routes)
	spec := &fleet.EngineSpec{Models: map[string]fleet.Model{}}
	engine := fleet.Target{ID: "e1", Service: "llm", Address: "e1", Slots: 8, Models: map[string][]string{}}
	for i := range models {
		name := fmt.Sprint("m", i)
		spec.Models[name], engine.Models[name] = fleet.Model{StoreLoad: 20 * time.Second}, nil
	}
	for i := range config.Routes {
		config.Routes[i].Timeout = 10 * time.Second
	}
	config.Services = map[string]fleet.Service{"llm": {Engine: spec}, "app": {}}
	config.Index()
	g.opts.View.SetConfig(&config)
	g.opts.View.SetTargets(fleet.NewTargets(map[string]fleet.Target{engine.ID: engine}))
	return g, func(model string, tokensOut int) int {
		r := newPost("/once/x", model, "a1")
		r.Header.Set("Tokens-Out", strconv.Itoa(tokensOut))
		return serve(g, r).Code
	}
}

// Paces of models, from event to event.
const (
	quickGap = 26 * time.Millisecond
	slowGap  = 9 * quickGap
)

// TestSlowModelIsNotTakenForAQuickOne guards against a stopping host that knows a quick model of a route and sends a slower one's stream,
// which its stop cuts off. The quick model is served on.
func TestSlowModelIsNotTakenForAQuickOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &generator{gap: quickGap}
		g, generate := generatorGateway(s, 2)
		for range 2 * minRunTimeSamples {
			generate("m0", 70)
		}
		stopIn(g, 4*time.Second)
		sent := s.sent
		s.gap = slowGap
		if code := generate("m1", 150); code != http.StatusServiceUnavailable || s.sent != sent {
			t.Errorf("status %d after %d sends for a stream of 7 s by a model of unknown pace, 4 s before the stop, want 503 and none", code, s.sent-sent)
		}
		s.gap = quickGap
		if code := generate("m0", 150); code != http.StatusOK {
			t.Errorf("status %d for the same stream by a quick model, want 200", code)
		}
	})
}

// TestOneStreamShowsThePaceOfAModel guards against a host that takes a model for as quick as others of its route although it has seen it.
func TestOneStreamShowsThePaceOfAModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &generator{}
		g, generate := generatorGateway(s, 12)
		for i := range 12 {
			s.gap = quickGap
			if i == 11 {
				s.gap = slowGap
			}
			generate(fmt.Sprint("m", i), 70)
		}
		stopIn(g, 6*time.Second)
		if code := generate("m11", 100); code != http.StatusServiceUnavailable {
			t.Errorf("status %d for a stream of 4.7 s by the slow model, 6 s before the stop, want 503", code)
		}
		s.gap = quickGap
		if code := generate("m3", 300); code != http.StatusOK {
			t.Errorf("status %d for a stream of 1.6 s by a quick model, want 200", code)
		}
	})
}

// TestUnknownModelIsServedLikeTheSlowestOfMany is the control: a host that knows many models of a route need not refuse each other one for
// the whole of a stop.
func TestUnknownModelIsServedLikeTheSlowestOfMany(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &generator{gap: 2 * quickGap}
		g, generate := generatorGateway(s, minKnownModels+1)
		for i := range minKnownModels {
			generate(fmt.Sprint("m", i), 70)
		}
		stopIn(g, 4*time.Second)
		if code := generate(fmt.Sprint("m", minKnownModels), 70); code != http.StatusOK {
			t.Errorf("status %d for a stream of 0.7 s by a model of unknown pace, 4 s before the stop, want 200", code)
		}
	})
}

// TestRunningStreamShowsThePaceOfItsModel guards against a host that only counts streams that have ended: one that runs much longer than
// all before tells that its model has become slow.
func TestRunningStreamShowsThePaceOfItsModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &generator{gap: quickGap}
		g, generate := generatorGateway(s, 1)
		for range 2 * minRunTimeSamples {
			generate("m0", 70)
		}
		s.gap = 20 * quickGap
		var running sync.WaitGroup
		running.Go(func() { generate("m0", 70) })
		time.Sleep(4 * time.Second)
		stopIn(g, 5*time.Second)
		if code := generate("m0", 70); code != http.StatusServiceUnavailable {
			t.Errorf("status %d for a stream of 7 s, 5 s before the stop, want 503", code)
		}
		running.Wait()
	})
}

// TestStopLeavesTimeForASilentTarget guards against requests that are accepted so late in a planned stop that a target's silence of a
// second has them cut off. They are refused as not run, among them those that may not be repeated.
func TestStopLeavesTimeForASilentTarget(t *testing.T) {
	const silence = 1200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := &slowSender{runTime: 60 * time.Millisecond, sentAt: map[string]time.Time{}}
		g := testGateway(s)
		for range 2 * minRunTimeSamples {
			post(g, "/pay/x", "")
		}
		end := time.Now().Add(4 * time.Second)
		stopIn(g, time.Until(end))
		served := 0
		for time.Now().Before(end) {
			if time.Until(end) < silence {
				s.runTime = silence
			}
			if post(g, "/pay/x", "").Code == http.StatusOK {
				served++
				if late := time.Since(end); late > 0 {
					t.Errorf("a request whose target was silent ends %v after the stop", late)
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		if served < 20 {
			t.Errorf("%d requests are served during the stop, want 20 at least", served)
		}
	})
}

// TestShortGracePeriodIsUsed guards against a host with a short grace period that refuses everything from SIGTERM on, as the time left for a
// target's silence is longer than that period.
func TestShortGracePeriodIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSender{runTime: 50 * time.Millisecond, sentAt: map[string]time.Time{}}
		g := testGateway(s)
		stopIn(g, 1500*time.Millisecond)
		if code := post(g, "/pay/x", "").Code; code != http.StatusOK {
			t.Errorf("status %d, want 200", code)
		}
	})
}

// TestSizeOfEventsIsKept guards against a host that forgets how many tokens an event has while a route is quiet, and then refuses streams of
// models that it does not know although even the slowest in time would end.
func TestSizeOfEventsIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &generator{gap: quickGap}
		g, generate := generatorGateway(s, 2)
		generate("m0", 70)
		time.Sleep(3 * runTimeWindow)
		generate("m0", 0)
		stopIn(g, 7*time.Second)
		if code := generate("m1", 35); code != http.StatusOK {
			t.Errorf("status %d for a stream of seven events by a model of unknown pace, 7 s before the stop, want 200", code)
		}
	})
}

// TestStreamOfUnknownSizeIsNotTakenForShort covers a route whose streams state no size: many
// short ones before must not let a long one start right before the stop.
func TestStreamOfUnknownSizeIsNotTakenForShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSender{runTime: 45 * time.Millisecond, sentAt: map[string]time.Time{}}
		g := testGateway(s)
		for range 2 * minRunTimeSamples {
			post(g, "/once/x", "m")
		}
		stopIn(g, 2*time.Second)
		if w := post(g, "/once/x", "m"); w.Code != http.StatusServiceUnavailable {
			t.Errorf("status %d for a stream of unknown size, 2 s before the stop, want 503", w.Code)
		}
	})
}

// TestRequestsAtTheEndOfAStopGetAResponse guards against requests that a stopping host cuts off without a response: one that a target may
// have run gets a status that promises nothing, one that still waits for a target is refused as not run.
func TestRequestsAtTheEndOfAStopGetAResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{} // no target ever responds
		g := testGateway(s)
		statuses := map[string]int{}
		var mu sync.Mutex
		var running sync.WaitGroup
		for path, model := range map[string]string{"/pay/x": "", "/stream/x": "m", "/once/x": "ondisk"} {
			running.Go(func() {
				status := post(g, path, model).Code
				mu.Lock()
				defer mu.Unlock()
				statuses[path] = status
			})
		}
		time.Sleep(time.Second)
		began := time.Now()
		stopIn(g, time.Second)
		g.Close()
		g.EndRequests()
		running.Wait()
		want := map[string]int{"/pay/x": http.StatusBadGateway, "/stream/x": http.StatusBadGateway, "/once/x": http.StatusServiceUnavailable}
		if !maps.Equal(statuses, want) || time.Since(began) > 0 {
			t.Errorf("statuses %v after %v, want %v at once", statuses, time.Since(began), want)
		}
	})
}

// TestClosedGatewayRefusesAtOnce covers requests that arrive when the host is about to end.
func TestClosedGatewayRefusesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSender{runTime: time.Second, sentAt: map[string]time.Time{}}
		g := testGateway(s)
		var running sync.WaitGroup
		running.Go(func() {
			if w := post(g, "/once/x", "m"); w.Code != http.StatusOK {
				t.Errorf("status %d for a request in progress", w.Code)
			}
		})
		time.Sleep(100 * time.Millisecond)
		stopIn(g, 7500*time.Millisecond)
		g.Close()
		if w := post(g, "/pay/x", ""); w.Code != http.StatusServiceUnavailable || w.Header().Get("Connection") != "close" {
			t.Errorf("status %d, Connection %q, want 503 and close", w.Code, w.Header().Get("Connection"))
		}
		if g.Running() != 1 {
			t.Errorf("%d requests in progress, want 1", g.Running())
		}
		running.Wait()
	})
}
