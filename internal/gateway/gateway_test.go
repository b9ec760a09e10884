package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/steer"
	"buckthornseam.dev/seam/internal/target"
)

// plainCodec is a codec with short names.
type plainCodec struct{}

func (plainCodec) ReadCall(r *http.Request) (fleet.Call, error) {
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	return fleet.Call{ID: r.Header.Get("Id"), Model: model, Adapter: adapter, Key: r.Header.Get("Key"), Deadline: 10 * time.Second}, nil
}

func (plainCodec) AttemptHeader(a fleet.Attempt) http.Header {
	return http.Header{"From": {a.LastEventID}, "Team": {a.Team}}
}

func (plainCodec) ReadAnswer(status int, h http.Header) fleet.Answer {
	return fleet.Answer{ID: h.Get("Id"), Stamp: h.Get("Stamp"), NotRun: h.Get("Not-Run") != ""}
}

func (plainCodec) AnswerHeader(h http.Header) http.Header { return h }

// script answers each send in turn.
type script struct {
	answers []func(f target.Forwarding) (*target.Forwarded, error)
	sent    []target.Forwarding
}

func (s *script) Forward(ctx context.Context, _ string, f target.Forwarding, _ target.IDOf) (*target.Forwarded, error) {
	s.sent = append(s.sent, f)
	if len(s.sent) > len(s.answers) {
		<-ctx.Done()
		return nil, &target.UnknownOutcomeError{Cause: ctx.Err()}
	}
	return s.answers[len(s.sent)-1](f)
}

// reset is the error of a connection that breaks off.
type reset struct{}

func (reset) Error() string { return "connection reset" }

// brokenBody gives what there is and breaks off.
type brokenBody struct{ rest *strings.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	if b.rest.Len() > 0 {
		return b.rest.Read(p)
	}
	return 0, reset{}
}

func (brokenBody) Close() error { return nil }

func whole(status int, body string) func(target.Forwarding) (*target.Forwarded, error) {
	return func(f target.Forwarding) (*target.Forwarded, error) {
		return &target.Forwarded{Status: status, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func cutAfter(body string) func(target.Forwarding) (*target.Forwarded, error) {
	return func(f target.Forwarding) (*target.Forwarded, error) {
		return &target.Forwarded{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: brokenBody{strings.NewReader(body)}}, nil
	}
}

func shed(target.Forwarding) (*target.Forwarded, error) {
	return &target.Forwarded{Status: 503, Header: http.Header{"Not-Run": {"1"}}, Body: http.NoBody}, nil
}

// testGateway serves routes /stream/ (resumable), /once/ (not) and /pay/ (not
// repeatable) with two engines that hold model m, and two plain targets.
func testGateway(sender Sender) *Gateway {
	began := time.Now()
	now := func() time.Duration { return time.Since(began) + time.Hour }
	board := steer.NewFleetView("z", now)
	route := func(path string, kind fleet.RouteKind, resumable bool, service string) fleet.Route {
		return fleet.Route{Name: path, Host: "h", PathPrefix: path, Kind: kind, Resumable: resumable, Attempts: 2, Timeout: 5 * time.Second,
			Objective: 400 * time.Millisecond, GapObjective: 400 * time.Millisecond, Destinations: []fleet.Destination{{Service: service, Weight: 1}}}
	}
	config := &fleet.Config{Version: 1, Teams: []fleet.Team{{Name: "t", Keys: []string{"k"}}}, Routes: []fleet.Route{
		route("/stream/", fleet.Streaming, true, "llm"), route("/once/", fleet.Streaming, false, "llm"), route("/pay/", fleet.NonIdempotent, false, "app"),
	}, Services: map[string]fleet.Service{"llm": {Engine: &fleet.EngineSpec{Models: map[string]fleet.Model{
		"m": {StoreLoad: 20 * time.Second}, "nowhere": {StoreLoad: 20 * time.Second}, "ondisk": {StoreLoad: 20 * time.Second},
	}}}, "app": {}}}
	config.Index()
	board.SetConfig(config)
	held := map[string][]string{"m": nil}
	board.SetTargets(fleet.NewTargets(map[string]fleet.Target{
		"e1": {ID: "e1", Service: "llm", Address: "e1", Slots: 8, Models: held, OnDisk: []string{"ondisk"}},
		"e2": {ID: "e2", Service: "llm", Address: "e2", Slots: 8, Models: held},
		"p1": {ID: "p1", Service: "app", Address: "p1", Slots: 8},
		"p2": {ID: "p2", Service: "app", Address: "p2", Slots: 8},
	}))
	log := logrus.New()
	log.SetOutput(io.Discard)
	bounds := fleet.Bounds{Revoke: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second, QuotaSlack: 1000}
	hosts := func() (int, bool) { return 1, true }
	return New(Options{
		Codec: plainCodec{}, Board: board, Sender: sender, Allotments: NewAllotments(bounds, hosts, now), Budget: NewRetryBudget(bounds, hosts, now),
		Strike: func(string) {}, Struck: func(string) int { return 0 }, Confirmed: func() (time.Duration, bool) { return now(), true },
		Now: now, Bounds: bounds, Log: log, Metrics: tally.NoopScope,
	})
}

func ask(g *Gateway, path, model string) *httptest.ResponseRecorder {
	return askAs(g, path, model, "a1")
}

func askAs(g *Gateway, path, model, id string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	r.Host = "h"
	r.Header.Set("Id", id)
	r.Header.Set("Key", "k")
	r.Header.Set("Model", model)
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if p := recover(); p != nil && p != http.ErrAbortHandler {
				panic(p)
			} else if p != nil {
				w.Header().Set("Aborted", "yes")
			}
		}()
		g.ServeHTTP(w, r)
	}()
	return w
}

func TestFailureBearsNothingOfABrokenAnswer(t *testing.T) {
	s := &script{answers: []func(target.Forwarding) (*target.Forwarded, error){cutAfter("")}}
	w := ask(testGateway(s), "/once/x", "m")
	if w.Code != http.StatusBadGateway || w.Header().Get("Stamp") != "" {
		t.Errorf("status %d with stamp %q", w.Code, w.Header().Get("Stamp"))
	}
	if len(s.sent) != 1 {
		t.Errorf("sent %d times, may run once", len(s.sent))
	}
}

func TestBrokenStreamGoesOnAfterTheLastWholeEvent(t *testing.T) {
	s := &script{answers: []func(target.Forwarding) (*target.Forwarded, error){
		cutAfter("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), whole(200, "id: 3\ndata: c\n\n"),
	}}
	w := ask(testGateway(s), "/stream/x", "m")
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; w.Body.String() != want {
		t.Errorf("got %q", w.Body.String())
	}
	if from := s.sent[1].Header.Get("From"); from != "2" {
		t.Errorf("resumed after event %q, want 2", from)
	}
}

func TestStreamThatMayNotGoOnIsCut(t *testing.T) {
	s := &script{answers: []func(target.Forwarding) (*target.Forwarded, error){cutAfter("id: 1\ndata: a\n\n"), whole(200, "id: 2\n\n")}}
	w := ask(testGateway(s), "/once/x", "m")
	if w.Header().Get("Aborted") == "" || len(s.sent) != 1 {
		t.Errorf("looks complete or was sent again: %q, sent %d", w.Body.String(), len(s.sent))
	}
}

func TestShedRequestIsSentAgainAndUnknownOneNot(t *testing.T) {
	s := &script{answers: []func(target.Forwarding) (*target.Forwarded, error){shed, whole(200, "ok")}}
	if w := ask(testGateway(s), "/pay/x", ""); w.Code != 200 || len(s.sent) != 2 {
		t.Errorf("status %d after %d sends", w.Code, len(s.sent))
	}
	s = &script{answers: []func(target.Forwarding) (*target.Forwarded, error){
		func(target.Forwarding) (*target.Forwarded, error) {
			return nil, &target.UnknownOutcomeError{Cause: reset{}}
		}, whole(200, "ok"),
	}}
	if w := ask(testGateway(s), "/pay/x", ""); w.Code != http.StatusBadGateway || len(s.sent) != 1 {
		t.Errorf("status %d after %d sends", w.Code, len(s.sent))
	}
}

func TestModelOnNoDiskIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		g := testGateway(&script{})
		w := ask(g, "/once/x", "nowhere")
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || time.Since(began) > 0 {
			t.Errorf("status %d after %v", w.Code, time.Since(began))
		}
		if n := g.opts.Board.Waiting("llm", "nowhere"); n != 1 {
			t.Errorf("%d requests count as waiting for the model, want 1: it should be loaded for those that come later", n)
		}
		time.Sleep(3 * time.Second)
		if n := g.opts.Board.Waiting("llm", "nowhere"); n != 0 {
			t.Errorf("%d requests still count as waiting", n)
		}
	})
}

func TestWaitingRequestIsRefusedBeforeAPlannedStopEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(&script{})
		done := make(chan int)
		go func() { done <- ask(g, "/once/x", "ondisk").Code }()
		time.Sleep(100 * time.Millisecond)
		g.Stop(time.Second)
		time.Sleep(1500 * time.Millisecond)
		select {
		case code := <-done:
			if code != http.StatusServiceUnavailable {
				t.Errorf("status %d", code)
			}
		default:
			t.Error("still waits")
			<-done
		}
	})
}

func TestWaitingRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(&script{})
		began := time.Now()
		w := ask(g, "/once/x", "ondisk") // objective and pause 400 ms: the caller leaves after 3.2 s
		if took := time.Since(began); w.Code != http.StatusServiceUnavailable || took >= 3200*time.Millisecond || took < 2*time.Second {
			t.Errorf("status %d after %v", w.Code, took)
		}
	})
}

// TestRequestWaitsForAStartingHost: all hosts were killed and start again; the
// store answers some tenths of a second later.
func TestRequestWaitsForAStartingHost(t *testing.T) {
	for _, each := range []struct {
		name   string
		known  time.Duration // the configuration is known this long after the start
		asked  time.Duration
		status int
		most   time.Duration
	}{
		{"soon known", 300 * time.Millisecond, 100 * time.Millisecond, http.StatusOK, 200 * time.Millisecond},
		{"not known for long", time.Hour, 100 * time.Millisecond, http.StatusServiceUnavailable, startPatience},
		{"asked late", time.Hour, 5 * time.Second, http.StatusServiceUnavailable, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := testGateway(&script{answers: []func(target.Forwarding) (*target.Forwarded, error){whole(200, "ok")}})
			began := time.Now()
			g.opts.Confirmed = func() (time.Duration, bool) { return g.opts.Now(), time.Since(began) >= each.known }
			time.AfterFunc(each.known, func() { g.opts.Board.SetConfig(g.opts.Board.Config()) })
			time.Sleep(each.asked)
			w := ask(g, "/once/x", "m")
			if took := time.Since(began) - each.asked; w.Code != each.status || took > each.most {
				t.Errorf("%s: status %d after %v, want %d within %v", each.name, w.Code, took, each.status, each.most)
			}
		})
	}
}

// TestRequestWaitsForNewsOfTheOthersSpending: a host that just started may spend
// only its share of a team's rate until it hears of the other sixty.
func TestRequestWaitsForNewsOfTheOthersSpending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const heardAfter = 400 * time.Millisecond
		served := whole(200, "ok")
		g := testGateway(&script{answers: []func(target.Forwarding) (*target.Forwarded, error){served, served, served}})
		began := time.Now()
		g.opts.Board.Config().Teams[0].Rate = 60
		g.opts.Allotments = NewAllotments(fleet.Bounds{QuotaSlack: 100}, func() (int, bool) { return 60, time.Since(began) >= heardAfter }, g.opts.Now)
		for i := range 3 {
			if w := ask(g, "/once/x", "m"); w.Code != http.StatusOK {
				t.Errorf("request %d: status %d", i, w.Code)
			}
		}
		if took := time.Since(began); took > heardAfter+startCheck {
			t.Errorf("served after %v", took)
		}
	})
}

// TestModelIsNotOutOfReachBeforeEnginesAreKnown: a host that just started has the
// configuration, and the list of targets comes a little later.
func TestModelIsNotOutOfReachBeforeEnginesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(&script{answers: []func(target.Forwarding) (*target.Forwarded, error){whole(200, "ok")}})
		known := g.opts.Board.Targets()
		g.opts.Board.SetTargets(fleet.NewTargets(nil))
		time.AfterFunc(300*time.Millisecond, func() { g.opts.Board.SetTargets(known) })
		if w := ask(g, "/once/x", "m"); w.Code != http.StatusOK {
			t.Errorf("status %d", w.Code)
		}
	})
}
