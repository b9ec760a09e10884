package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"buckthornseam.dev/coord/homes"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// lostWay is the Reach of a host that has lost its way to all targets.
type lostWay struct{ alwaysReached }

func (lostWay) CutOff() (time.Duration, bool) { return 0, true }
func (lostWay) Direct() bool                  { return false }

// scriptedHelpers are hosts that give the nth response to the nth request that is passed on.
type scriptedHelpers struct {
	scriptedSender
	region string // of all of them
}

func (s *scriptedHelpers) Choose(tried map[string]bool, regions []string) (fleet.Host, bool) {
	for _, name := range []string{"h1", "h2", "h3"} {
		if !tried[name] && homes.Allows(regions, s.region) {
			return fleet.Host{Name: name, RelayAddress: name}, true
		}
	}
	return fleet.Host{}, false
}

func refusedByHost(target.ForwardRequest) (*target.ForwardResponse, error) {
	return &target.ForwardResponse{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {"0.10"}}, Body: http.NoBody}, nil
}

func declined(target.ForwardRequest) (*target.ForwardResponse, error) {
	return &target.ForwardResponse{Status: http.StatusServiceUnavailable, Header: http.Header{headerDeclined: {"1"}}, Body: http.NoBody}, nil
}

func lostHop(target.ForwardRequest) (*target.ForwardResponse, error) {
	return nil, &target.UnknownOutcomeError{Cause: resetError{}}
}

func unreachableHost(target.ForwardRequest) (*target.ForwardResponse, error) {
	return nil, &target.UnreachableError{Cause: resetError{}}
}

// TestLostHopIsUnknown guards against telling a caller that a request has not run although a host that was lost may have had
// it run, and against sending what may not be repeated twice.
func TestLostHopIsUnknown(t *testing.T) {
	type responses = []func(target.ForwardRequest) (*target.ForwardResponse, error)
	for name, c := range map[string]struct {
		path      string
		responses responses
		status    int
		sends     int
	}{
		"served":                        {"/pay/x", responses{respond(200, "ok")}, 200, 1},
		"declined, then served":         {"/pay/x", responses{declined, respond(200, "ok")}, 200, 2},
		"unreachable, then served":      {"/pay/x", responses{unreachableHost, respond(200, "ok")}, 200, 2},
		"refused":                       {"/pay/x", responses{refusedByHost}, 503, 1},
		"lost, may not be repeated":     {"/pay/x", responses{lostHop, respond(200, "ok")}, 502, 1},
		"lost, may be repeated":         {"/stream/x", responses{lostHop, respond(200, "id: 1\ndata: a\n\n")}, 200, 2},
		"lost, then refused":            {"/stream/x", responses{lostHop, refusedByHost, refusedByHost}, 502, 3},
		"lost within the first event":   {"/stream/x", responses{breakAfter("id: 1\nda"), respond(200, "id: 1\ndata: a\n\n")}, 200, 2},
		"lost after the first event":    {"/stream/x", responses{breakAfter("id: 1\ndata: a\n\n"), respond(200, "id: 2\ndata: b\n\n")}, 200, 2},
		"stream may not be repeated":    {"/once/x", responses{breakAfter(""), respond(200, "id: 1\n\n")}, 502, 1},
		"all decline, then unreachable": {"/pay/x", responses{declined, unreachableHost, declined}, 200, 3},
	} {
		direct := &scriptedSender{responses: responses{respond(200, "directly")}}
		g := testGateway(direct)
		helpers := &scriptedHelpers{scriptedSender: scriptedSender{responses: c.responses}}
		g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, helpers, "h0"
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		w := serve(g, newPost(c.path, map[bool]string{true: "", false: "m"}[c.path == "/pay/x"], "a1").WithContext(ctx))
		cancel()
		if w.Code != c.status || len(helpers.sent) != c.sends {
			t.Errorf("%s: status %d after %d sends, want %d after %d", name, w.Code, len(helpers.sent), c.status, c.sends)
		}
		if c.status == 200 && len(direct.sent) > 0 && c.sends < 3 {
			t.Errorf("%s: sent directly too", name)
		}
	}
}

// TestStreamGoesOnAfterALostHop guards against events that are lost or repeated where another host takes a stream over.
func TestStreamGoesOnAfterALostHop(t *testing.T) {
	g := testGateway(&scriptedSender{})
	helpers := &scriptedHelpers{scriptedSender: scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){
		breakAfter("id: 1\ndata: a\n\nid: 2\nda"), respond(200, "id: 2\ndata: b\n\n"),
	}}}
	g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, helpers, "h0"
	w := post(g, "/stream/x", "m")
	if want := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"; w.Body.String() != want {
		t.Errorf("got body %q", w.Body.String())
	}
	if second := helpers.sent[1].Header; second.Get("From") != "1" || second.Get("Resumes") != "a1" {
		t.Errorf("the second host was told to go on after %q of %q, want event 1 of a1", second.Get("From"), second.Get("Resumes"))
	}
}

// lostAfterSend is the Reach of a host that loses its way to all targets after its first send.
type lostAfterSend struct {
	alwaysReached
	sender *scriptedSender
}

func (l lostAfterSend) CutOff() (time.Duration, bool) { return 0, len(l.sender.sent) > 0 }
func (l lostAfterSend) Direct() bool                  { return len(l.sender.sent) == 0 }

// TestRequestPassedOnAfterARejectionIsARetry guards against a request that a target rejected being sent once more by another host,
// where no budget counts it.
func TestRequestPassedOnAfterARejectionIsARetry(t *testing.T) {
	for name, c := range map[string]struct {
		helper  func(target.ForwardRequest) (*target.ForwardResponse, error)
		hosts   int // 0: none is known, so that the budget allows no retry
		status  int
		passed  int
		retries float64
	}{
		"no budget":              {respond(200, "id: 1\ndata: a\n\n"), 0, 503, 0, 0},
		"budget":                 {respond(200, "id: 1\ndata: a\n\n"), 1, 200, 1, 1},
		"no other host takes it": {declined, 1, 200, 3, 1},
	} {
		direct := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){shed, respond(200, "id: 1\ndata: a\n\n")}}
		g := testGateway(direct)
		helpers := &scriptedHelpers{scriptedSender: scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){c.helper, c.helper, c.helper}}}
		g.opts.Reach, g.opts.Helpers, g.opts.Self = lostAfterSend{sender: direct}, helpers, "h0"
		g.opts.Budget = NewRetryBudget(g.opts.Bounds, together(c.hosts), g.opts.Now)
		w := post(g, "/stream/x", "m")
		if got := g.opts.Budget.State("llm").Retries; w.Code != c.status || len(helpers.sent) != c.passed || got != c.retries {
			t.Errorf("%s: status %d, passed on %d times, %.0f retries, want %d, %d, %.0f", name, w.Code, len(helpers.sent), got, c.status, c.passed, c.retries)
		}
	}
}

// TestHostThatIsHandedARequestChecksItsKey covers requests that another host passes on as soon as it has admitted them: this host
// goes by its own configuration, and refuses a key that was withdrawn or that it cannot check.
func TestHostThatIsHandedARequestChecksItsKey(t *testing.T) {
	for name, c := range map[string]struct {
		teams  []fleet.Team
		age    time.Duration
		status int
	}{
		"in force":        {nil, 0, http.StatusOK},
		"withdrawn":       {[]fleet.Team{{Name: "other", Keys: []string{"another"}}}, 0, http.StatusUnauthorized},
		"cannot be known": {nil, 5 * time.Second, http.StatusServiceUnavailable},
	} {
		sender := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(200, "data: ok\n\n")}}
		g := testGateway(sender)
		config := *g.opts.View.Config()
		if c.teams != nil {
			config.Teams = c.teams
			config.Index()
		}
		g.opts.CurrentConfig = func() (fleet.Dated[*fleet.Config], bool) {
			return fleet.Dated[*fleet.Config]{Copy: &config, CurrentAt: g.opts.Now() - c.age}, true
		}
		r := newPost("/once/x", "m", "a1")
		r.Header.Set(headerRelayedBy, "h1")
		w := httptest.NewRecorder()
		g.RelayHandler().ServeHTTP(w, r)
		if w.Code != c.status || (len(sender.sent) > 0) != (c.status == http.StatusOK) {
			t.Errorf("%s: status %d after %d sends, want %d", name, w.Code, len(sender.sent), c.status)
		}
	}
}
