package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/streamorigin"
	"buckthornseam.dev/seam/internal/target"
)

// testCodec is a codec with short header names.
type testCodec struct{}

func (testCodec) ReadCall(r *http.Request) (fleet.Call, error) {
	model, adapter, _ := strings.Cut(r.Header.Get("Model"), "/")
	tokensIn, _ := strconv.Atoi(r.Header.Get("Tokens-In")) // 0 without the header
	tokensOut, err := strconv.Atoi(r.Header.Get("Tokens-Out"))
	return fleet.Call{ID: r.Header.Get("Id"), Model: model, Adapter: adapter, Key: r.Header.Get("Key"), Deadline: 10 * time.Second,
		TokensIn: tokensIn, TokensOut: tokensOut, HasTokens: err == nil, LastEventID: r.Header.Get("From"), Resumes: r.Header.Get("Resumes"), SharedParts: strings.Fields(r.Header.Get("Parts"))}, nil
}

func (testCodec) AttemptHeader(a fleet.Attempt) http.Header {
	return http.Header{"From": {a.LastEventID}, "Team": {a.Team}, "Parts": {a.Header.Get("Parts")}, "Tokens-In": {a.Header.Get("Tokens-In")}, "Tokens-Out": {a.Header.Get("Tokens-Out")}}
}

func (testCodec) ReadResponse(status int, h http.Header) fleet.Response {
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64) // 0 without the header
	brittle, _ := strconv.Atoi(h.Get("Brittle"))
	cold, _ := time.ParseDuration(h.Get("Cold")) // 0 without the header
	return fleet.Response{ID: h.Get("Id"), Stamp: h.Get("Stamp"), NotRun: h.Get("Not-Run") != "", Notices: fleet.Notices{Limit: limit, Leaving: h.Get("Leaving") != "", Brittle: brittle, Cold: cold, Quiet: quietOfTest(status, h)}}
}

// quietOfTest returns the time for which a response asks for quiet.
func quietOfTest(status int, h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || status != http.StatusServiceUnavailable {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func (testCodec) RelayHeader(r fleet.Relay) http.Header {
	h := r.Header.Clone()
	h.Set("From", r.LastEventID)
	h.Set("Resumes", r.Resumes)
	return h
}

func (testCodec) ResponseHeader(h http.Header) http.Header { return h }

// scriptedSender gives the nth response to the nth send. Further sends get none
// until their context ends.
type scriptedSender struct {
	responses []func(f target.ForwardRequest) (*target.ForwardResponse, error)
	sent      []target.ForwardRequest
}

func (s *scriptedSender) Forward(ctx context.Context, _ string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.sent = append(s.sent, f)
	if len(s.sent) > len(s.responses) {
		<-ctx.Done()
		return nil, &target.UnknownOutcomeError{Cause: context.Cause(ctx)}
	}
	return s.responses[len(s.sent)-1](f)
}

// resetError is the error of a connection that was reset.
type resetError struct{}

func (resetError) Error() string { return "connection reset" }

// brokenBody is a response body whose connection is reset after its data.
type brokenBody struct{ rest *strings.Reader }

func (b brokenBody) Read(p []byte) (int, error) {
	if b.rest.Len() > 0 {
		return b.rest.Read(p)
	}
	return 0, resetError{}
}

func (brokenBody) Close() error { return nil }

func respond(status int, body string) func(target.ForwardRequest) (*target.ForwardResponse, error) {
	return func(f target.ForwardRequest) (*target.ForwardResponse, error) {
		return &target.ForwardResponse{Status: status, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: io.NopCloser(strings.NewReader(body))}, nil
	}
}

func breakAfter(body string) func(target.ForwardRequest) (*target.ForwardResponse, error) {
	return func(f target.ForwardRequest) (*target.ForwardResponse, error) {
		return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: brokenBody{strings.NewReader(body)}}, nil
	}
}

func shed(target.ForwardRequest) (*target.ForwardResponse, error) {
	return &target.ForwardResponse{Status: 503, Header: http.Header{"Not-Run": {"1"}}, Body: http.NoBody}, nil
}

// testGateway returns a gateway with the routes /stream/ (resumable stream),
// /once/ (stream that is not resumable), /pay/ (not idempotent) and /read/ (idempotent), two engines
// with model m loaded, and two plain targets.
func testGateway(sender Sender) *Gateway {
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + time.Hour }
	view := coordinator.NewFleetView("z", now)
	route := func(path string, kind fleet.RouteKind, resumable bool, service string) fleet.Route {
		return fleet.Route{Name: path, Host: "h", PathPrefix: path, Kind: kind, Resumable: resumable, Attempts: 2, Timeout: 5 * time.Second,
			Objective: 400 * time.Millisecond, GapObjective: 400 * time.Millisecond, Destinations: []fleet.Destination{{Service: service, Weight: 1}}}
	}
	config := &fleet.Config{Version: 1, Teams: []fleet.Team{{Name: "t", Keys: []string{"k"}}}, Routes: []fleet.Route{
		route("/stream/", fleet.Streaming, true, "llm"), route("/once/", fleet.Streaming, false, "llm"), route("/pay/", fleet.NonIdempotent, false, "app"),
		route("/read/", fleet.Idempotent, false, "app"),
	}, Services: map[string]fleet.Service{"llm": {Engine: &fleet.EngineSpec{Models: map[string]fleet.Model{
		"m": {StoreLoad: 20 * time.Second}, "nowhere": {StoreLoad: 20 * time.Second}, "ondisk": {StoreLoad: 20 * time.Second},
	}}}, "app": {}}}
	config.Index()
	view.SetConfig(config)
	loaded := map[string][]string{"m": nil}
	view.SetTargets(fleet.NewTargets(map[string]fleet.Target{
		"e1": {ID: "e1", Service: "llm", Address: "e1", Slots: 8, Models: loaded, OnDisk: []string{"ondisk"}},
		"e2": {ID: "e2", Service: "llm", Address: "e2", Slots: 8, Models: loaded},
		"p1": {ID: "p1", Service: "app", Address: "p1", Slots: 8},
		"p2": {ID: "p2", Service: "app", Address: "p2", Slots: 8},
	}))
	log := logrus.New()
	log.SetOutput(io.Discard)
	bounds := fleet.Bounds{Revoke: 5 * time.Second, RetryRatio: 0.2, RetryExtra: 50, RetryWindow: 10 * time.Second, QuotaSlack: 1000}
	hosts := together(1)
	origins := streamorigin.New(streamorigin.Options{Self: "h", Hosts: func() []string { return []string{"h"} }, Targets: func() fleet.Dated[*fleet.Targets] {
		return fleet.Dated[*fleet.Targets]{Copy: view.Targets(), CurrentAt: now()}
	}, Now: now, Log: log})
	return New(Options{
		Codec: testCodec{}, View: view, Sender: sender, Origins: origins, Quotas: NewQuotas(bounds, hosts, now, half), Budget: NewRetryBudget(bounds, hosts, now),
		ReportEngineFailure: func(string) {}, EngineFailures: func(string) int { return 0 }, Parts: coordinator.NewPartFailures("h", view.Hosts, now, log), CurrentConfig: func() (fleet.Dated[*fleet.Config], bool) {
			return fleet.Dated[*fleet.Config]{Copy: view.Config(), CurrentAt: now()}, true
		},
		Now: now, Bounds: bounds, Log: log, Metrics: tally.NoopScope,
	})
}

func post(g *Gateway, path, model string) *httptest.ResponseRecorder {
	return postWithID(g, path, model, "a1")
}

func postWithID(g *Gateway, path, model, id string) *httptest.ResponseRecorder {
	return serve(g, newPost(path, model, id))
}

func newPost(path, model, id string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader("body"))
	r.Host = "h"
	r.Header.Set("Id", id)
	r.Header.Set("Key", "k")
	r.Header.Set("Model", model)
	return r
}

// serve returns the response to a request. An aborted one has the header Aborted.
func serve(g *Gateway, r *http.Request) *httptest.ResponseRecorder {
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

func TestErrorResponseHasNoHeaderOfBrokenResponse(t *testing.T) {
	s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){breakAfter("")}}
	w := post(testGateway(s), "/once/x", "m")
	if w.Code != http.StatusBadGateway || w.Header().Get("Stamp") != "" {
		t.Errorf("status %d with stamp %q, want 502 without stamp", w.Code, w.Header().Get("Stamp"))
	}
	if len(s.sent) != 1 {
		t.Errorf("request was sent %d times, want once", len(s.sent))
	}
}

func TestBrokenStreamResumesAfterLastCompleteEvent(t *testing.T) {
	s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){
		breakAfter("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"), respond(200, "id: 3\ndata: c\n\n"),
	}}
	w := post(testGateway(s), "/stream/x", "m")
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"; w.Body.String() != want {
		t.Errorf("got body %q", w.Body.String())
	}
	if from := s.sent[1].Header.Get("From"); from != "2" {
		t.Errorf("resumed after event %q, want 2", from)
	}
}

func TestNonResumableStreamIsAborted(t *testing.T) {
	s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){breakAfter("id: 1\ndata: a\n\n"), respond(200, "id: 2\n\n")}}
	w := post(testGateway(s), "/once/x", "m")
	if w.Header().Get("Aborted") == "" || len(s.sent) != 1 {
		t.Errorf("response was not aborted or the request was sent again: body %q, %d sends", w.Body.String(), len(s.sent))
	}
}

func TestShedRequestIsRetriedAndUnknownOutcomeIsNot(t *testing.T) {
	s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){shed, respond(200, "ok")}}
	if w := post(testGateway(s), "/pay/x", ""); w.Code != 200 || len(s.sent) != 2 {
		t.Errorf("status %d after %d sends, want 200 after 2", w.Code, len(s.sent))
	}
	s = &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){
		func(target.ForwardRequest) (*target.ForwardResponse, error) {
			return nil, &target.UnknownOutcomeError{Cause: resetError{}}
		}, respond(200, "ok"),
	}}
	if w := post(testGateway(s), "/pay/x", ""); w.Code != http.StatusBadGateway || len(s.sent) != 1 {
		t.Errorf("status %d after %d sends, want 502 after 1", w.Code, len(s.sent))
	}
}

func TestModelOnNoDiskIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		g := testGateway(&scriptedSender{})
		w := post(g, "/once/x", "nowhere")
		if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || time.Since(start) > 0 {
			t.Errorf("status %d after %v, want 503 with Retry-After at once", w.Code, time.Since(start))
		}
		if n := g.opts.View.Waiting("llm", "nowhere"); n != 1 {
			t.Errorf("%d requests count as waiting for the model, want 1, so that it gets loaded for later requests", n)
		}
		time.Sleep(3 * time.Second)
		if n := g.opts.View.Waiting("llm", "nowhere"); n != 0 {
			t.Errorf("%d requests still count as waiting, want 0", n)
		}
	})
}

func TestWaitingRequestIsRefusedBeforePlannedStopEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(&scriptedSender{})
		done := make(chan int)
		go func() { done <- post(g, "/once/x", "ondisk").Code }()
		time.Sleep(100 * time.Millisecond)
		stopIn(g, time.Second)
		time.Sleep(1500 * time.Millisecond)
		select {
		case code := <-done:
			if code != http.StatusServiceUnavailable {
				t.Errorf("status %d, want 503", code)
			}
		default:
			t.Error("request still waits for a target")
			<-done
		}
	})
}

func TestWaitingRequestIsRefusedBeforeItsCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(&scriptedSender{})
		start := time.Now()
		w := post(g, "/once/x", "ondisk") // objective and gap objective are 400 ms, so the caller disconnects after 3.2 s
		if took := time.Since(start); w.Code != http.StatusServiceUnavailable || took >= 3200*time.Millisecond || took < 2*time.Second {
			t.Errorf("status %d after %v, want 503 after 2 to 3.2 s", w.Code, took)
		}
	})
}

// TestRequestWaitsForConfigurationAtStartup checks requests to a host that has
// just started and gets its configuration from the store a little later, as after
// a restart of all hosts.
func TestRequestWaitsForConfigurationAtStartup(t *testing.T) {
	for _, tc := range []struct {
		name      string
		known     time.Duration // time from the start until the configuration is known
		sentAfter time.Duration
		status    int
		most      time.Duration
	}{
		{"configuration comes soon", 300 * time.Millisecond, 100 * time.Millisecond, http.StatusOK, 200 * time.Millisecond},
		{"configuration comes late", time.Hour, 100 * time.Millisecond, http.StatusServiceUnavailable, startupWait},
		{"request after startup", time.Hour, 5 * time.Second, http.StatusServiceUnavailable, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := testGateway(&scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(200, "data: ok\n\n")}})
			start := time.Now()
			g.opts.CurrentConfig = func() (fleet.Dated[*fleet.Config], bool) {
				return fleet.Dated[*fleet.Config]{Copy: g.opts.View.Config(), CurrentAt: g.opts.Now()}, time.Since(start) >= tc.known
			}
			time.AfterFunc(tc.known, func() { g.opts.View.SetConfig(g.opts.View.Config()) })
			time.Sleep(tc.sentAfter)
			w := post(g, "/once/x", "m")
			if took := time.Since(start) - tc.sentAfter; w.Code != tc.status || took > tc.most {
				t.Errorf("%s: status %d after %v, want %d within %v", tc.name, w.Code, took, tc.status, tc.most)
			}
		})
	}
}

// TestRequestWaitsForRemoteUseAtStartup checks that a host that has just started
// delays requests until it receives reports on the use of the other hosts: before,
// it may grant only its share of a team's rate, here one sixtieth.
func TestRequestWaitsForRemoteUseAtStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const reportedAfter = 400 * time.Millisecond
		served := respond(200, "data: ok\n\n")
		g := testGateway(&scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){served, served, served}})
		start := time.Now()
		g.opts.View.Config().Teams[0].Rate = 60
		g.opts.Quotas = NewQuotas(fleet.Bounds{QuotaSlack: 100}, countIf(60, func() bool { return time.Since(start) >= reportedAfter }), g.opts.Now, half)
		g.opts.Quotas.SetRemoteUse(nil, 1, nil, nil) // the reply to the host's first report
		for i := range 3 {
			if w := post(g, "/once/x", "m"); w.Code != http.StatusOK {
				t.Errorf("request %d: status %d", i, w.Code)
			}
			g.opts.Quotas.SetRemoteUse(nil, 1, nil, nil) // the reply to the report that the request caused
		}
		if took := time.Since(start); took > reportedAfter+startupPollInterval {
			t.Errorf("requests were served after %v", took)
		}
	})
}

// TestRequestIsRefusedBeforeItsDeadlineAtStartup covers a request that waits for the first report on
// the others: it is refused while the caller still listens.
func TestRequestIsRefusedBeforeItsDeadlineAtStartup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deadline = 300 * time.Millisecond
		g := testGateway(&scriptedSender{})
		start := time.Now()
		config := g.opts.View.Config()
		config.Teams[0].Rate = 60
		for i := range config.Routes {
			config.Routes[i].Timeout = deadline
		}
		g.opts.Quotas = NewQuotas(fleet.Bounds{QuotaSlack: 100}, alone(60), g.opts.Now, half)
		if w := post(g, "/once/x", "m"); w.Code != http.StatusTooManyRequests || time.Since(start) >= deadline {
			t.Errorf("status %d after %v, want 429 within %v", w.Code, time.Since(start), deadline)
		}
	})
}

// TestModelIsNotUnavailableBeforeEnginesAreKnown checks that a request isn't
// refused for a missing model while a host that has just started has its
// configuration but not yet the list of targets.
func TestModelIsNotUnavailableBeforeEnginesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(&scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(200, "data: ok\n\n")}})
		known := g.opts.View.Targets()
		g.opts.View.SetTargets(fleet.NewTargets(nil))
		time.AfterFunc(300*time.Millisecond, func() { g.opts.View.SetTargets(known) })
		if w := post(g, "/once/x", "m"); w.Code != http.StatusOK {
			t.Errorf("status %d, want 200", w.Code)
		}
	})
}
