package gateway

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// sizedRun is a stream whose run time follows from its size.
type sizedRun struct {
	route  string
	prompt int // tokens
	most   int // output tokens at most
	events int // that the stream has
}

// sizedEngine takes its time for each token of a prompt and for each event of a stream.
type sizedEngine struct {
	perToken time.Duration // of the prompt
	gap      time.Duration // between events of five tokens
	events   sync.Map      // number of events by request ID
	sent     atomic.Int64
}

// Forward implements Sender.
func (e *sizedEngine) Forward(_ context.Context, _ string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	e.sent.Add(1)
	prompt, err := strconv.Atoi(f.Header.Get("Tokens-In"))
	if err != nil {
		return nil, err
	}
	events, _ := e.events.Load(f.ID)
	time.Sleep(time.Duration(prompt) * e.perToken)
	return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: io.NopCloser(&pacedEvents{gap: e.gap, left: events.(int)})}, nil
}

// pacedEvents is the body of a stream whose first event is there at once.
type pacedEvents struct {
	gap  time.Duration
	sent int
	left int
}

func (p *pacedEvents) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	if p.sent > 0 {
		time.Sleep(p.gap)
	}
	p.sent, p.left = p.sent+1, p.left-1
	return copy(b, fmt.Sprintf("id: %d\ndata: a\n\n", p.sent)), nil
}

// sizedGateway is a gateway whose callers wait for eleven seconds.
type sizedGateway struct {
	*Gateway
	engine *sizedEngine
	ids    atomic.Int64
	end    time.Time     // of the stop
	late   time.Duration // by which a stream has outlasted it
	cutOff int           // streams
}

// newSizedGateway returns a gateway whose routes have an objective of two seconds.
func newSizedGateway() *sizedGateway { return sizedGatewayWith(2 * time.Second) }

func sizedGatewayWith(objective time.Duration) *sizedGateway {
	e := &sizedEngine{perToken: 30 * time.Microsecond, gap: 30 * time.Millisecond}
	g := testGateway(e)
	config := *g.opts.View.Config()
	config.Routes = append([]fleet.Route(nil), config.Routes...)
	for i := range config.Routes {
		config.Routes[i].Timeout, config.Routes[i].Objective = 11*time.Second, objective
	}
	config.Index()
	g.opts.View.SetConfig(&config)
	return &sizedGateway{Gateway: g, engine: e}
}

func (g *sizedGateway) run(r sizedRun) (status int) {
	id := fmt.Sprint("r", g.ids.Add(1))
	g.engine.events.Store(id, r.events)
	req := newPost(r.route, "m", id)
	req.Header.Set("Tokens-In", strconv.Itoa(r.prompt))
	req.Header.Set("Tokens-Out", strconv.Itoa(r.most))
	w := serve(g.Gateway, req)
	if w.Header().Get("Aborted") != "" {
		g.cutOff++
	}
	if strings.Count(w.Body.String(), "data:") > 0 && !g.end.IsZero() {
		g.late = max(g.late, time.Since(g.end))
	}
	return w.Code
}

func (g *sizedGateway) repeat(n int, r sizedRun) {
	for range n {
		g.run(r)
	}
}

func (g *sizedGateway) stopIn(d time.Duration) {
	g.end = time.Now().Add(d)
	stopIn(g.Gateway, d)
}

// expect checks the status of a request during the stop, and that none that was sent outlasts the stop.
func (g *sizedGateway) expect(t *testing.T, what string, r sizedRun, status int) {
	t.Helper()
	if got := g.run(r); got != status {
		t.Errorf("%s: status %d, want %d", what, got, status)
	}
	if g.late > 0 || g.cutOff > 0 {
		t.Errorf("%s: a stream ends %v after the stop, %d were cut off", what, g.late, g.cutOff)
	}
}

// TestLongPromptIsNotTakenForAShortOne guards against a stopping host that has only seen short prompts and accepts a stream whose long one
// outlasts the stop. Short prompts are served on.
func TestLongPromptIsNotTakenForAShortOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 600, 100, 8})
		g.stopIn(4 * time.Second)
		g.expect(t, "a short prompt", sizedRun{"/once/x", 600, 100, 20}, http.StatusOK)
		g.expect(t, "a long prompt", sizedRun{"/once/x", 120_000, 100, 20}, http.StatusServiceUnavailable)
	})
}

// TestStreamsThatEndEarlyDoNotShortenOthers guards against a stopping host that takes the run times of streams that ended early for those of
// their maximum, and accepts one that uses all of it. Streams with a small maximum are served on.
func TestStreamsThatEndEarlyDoNotShortenOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 600, 275, 8})
		g.stopIn(3 * time.Second)
		time.Sleep(1500 * time.Millisecond)
		g.expect(t, "a stream that may use its whole maximum", sizedRun{"/once/x", 600, 275, 55}, http.StatusServiceUnavailable)
		g.expect(t, "a small maximum", sizedRun{"/once/x", 600, 25, 5}, http.StatusOK)
	})
}

// TestLongPromptsDoNotLengthenShortOnes guards against a stopping host that refuses short streams since it has seen long prompts on their
// route. The long ones are refused.
func TestLongPromptsDoNotLengthenShortOnes(t *testing.T) {
	for _, seenShort := range []bool{true, false} {
		t.Run(fmt.Sprint("short ones seen ", seenShort), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newSizedGateway()
				g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 70_000, 100, 20})
				if seenShort {
					g.repeat(2, sizedRun{"/once/x", 600, 100, 20})
				}
				g.stopIn(4 * time.Second)
				g.expect(t, "a short prompt", sizedRun{"/once/x", 600, 100, 8}, http.StatusOK)
				g.expect(t, "a long prompt", sizedRun{"/once/x", 70_000, 100, 20}, http.StatusServiceUnavailable)
			})
		})
	}
}

// TestWhatIsDueBeforeTheStopIsServed is the control: a request whose own time is over before the host stops is served, however large.
func TestWhatIsDueBeforeTheStopIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 600, 275, 8})
		g.stopIn(10100 * time.Millisecond)
		g.expect(t, "the largest stream", sizedRun{"/once/x", 100_000, 275, 55}, http.StatusOK)
	})
}

// breakingEngine breaks the first stream off with its first event, which takes a second. The other one loads the model meanwhile and 0.2 s longer.
type breakingEngine struct {
	*sizedEngine
	view   *coordinator.FleetView
	broken bool
}

// Forward implements Sender.
func (e *breakingEngine) Forward(ctx context.Context, address string, f target.ForwardRequest, idOf target.ResponseIDFunc) (*target.ForwardResponse, error) {
	if e.broken {
		return e.sizedEngine.Forward(ctx, address, f, idOf)
	}
	e.broken = true
	time.Sleep(time.Second)
	all := e.view.Targets()
	loading := maps.Clone(all.ByID)
	for id, engine := range loading {
		if id != address {
			engine.Models, engine.OnDisk = nil, []string{"m"}
			loading[id] = engine
		}
	}
	e.view.SetTargets(fleet.NewTargets(loading))
	time.AfterFunc(200*time.Millisecond, func() { e.view.SetTargets(all) })
	return breakAfter("id: 1\ndata: a\n\n")(f)
}

// TestBegunStreamGoesOnLateInAStop guards against a stopping host that cuts a stream off whose target has broken off, since its whole size would
// outlast the stop, although it may end in time at another target.
func TestBegunStreamGoesOnLateInAStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.repeat(2*minRunTimeSamples, sizedRun{"/stream/x", 600, 275, 8})
		g.opts.Sender = &breakingEngine{sizedEngine: g.engine, view: g.opts.View}
		g.stopIn(4500 * time.Millisecond)
		g.expect(t, "a stream that goes on", sizedRun{"/stream/x", 600, 275, 8}, http.StatusOK)
		g.expect(t, "a new stream", sizedRun{"/stream/x", 600, 275, 8}, http.StatusServiceUnavailable)
	})
}

// TestLongPromptIsNoSilence guards against a stream that is sent to a second target as its own one is still reading its long prompt.
func TestLongPromptIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := sizedGatewayWith(400 * time.Millisecond)
		g.engine.perToken = 50 * time.Microsecond
		if code := g.run(sizedRun{"/stream/x", 45_000, 100, 8}); code != http.StatusOK || g.engine.sent.Load() != 1 {
			t.Errorf("status %d after %d sends, want 200 after one", code, g.engine.sent.Load())
		}
	})
}

// silentOnceEngine is silent for two seconds before its first response.
type silentOnceEngine struct {
	*sizedEngine
	first time.Duration // of the other responses, before their first event
}

// Forward implements Sender.
func (e *silentOnceEngine) Forward(ctx context.Context, address string, f target.ForwardRequest, idOf target.ResponseIDFunc) (*target.ForwardResponse, error) {
	wait := e.first
	if e.sent.Load() == 0 {
		wait = 2400 * time.Millisecond
	}
	e.sent.Add(1)
	select {
	case <-ctx.Done():
		return nil, &target.UnknownOutcomeError{Cause: context.Cause(ctx)}
	case <-time.After(wait):
	}
	return e.sizedEngine.Forward(ctx, address, f, idOf)
}

// TestLateHedgeDoesNotEndAResponse guards against a stopping host that gives a silent target up for another one, at which the stream outlasts
// the stop. Earlier in the stop the stream moves.
func TestLateHedgeDoesNotEndAResponse(t *testing.T) {
	for serveFor, moves := range map[time.Duration]bool{4500 * time.Millisecond: false, 9 * time.Second: true} {
		t.Run(serveFor.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := sizedGatewayWith(400 * time.Millisecond)
				g.repeat(2*minRunTimeSamples, sizedRun{"/stream/x", 600, 275, 8})
				g.engine.sent.Store(0)
				g.opts.Sender = &silentOnceEngine{sizedEngine: g.engine}
				g.stopIn(serveFor)
				g.expect(t, "a stream whose target is silent", sizedRun{"/stream/x", 600, 275, 30}, http.StatusOK)
				if moved := g.engine.sent.Load() > 2; moved != moves {
					t.Errorf("moved: %v, want %v", moved, moves)
				}
			})
		})
	}
}
