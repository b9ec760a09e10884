package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"buckthornseam.dev/seam/internal/target"
)

// hangingSender sends the first events of a stream, and otherwise nothing until it is released, also if the request is cancelled.
type hangingSender struct {
	events   string
	released chan struct{}
}

func (s *hangingSender) Forward(_ context.Context, _ string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	if strings.HasPrefix(f.URI, "/pay/") {
		<-s.released
	}
	body := io.MultiReader(strings.NewReader(s.events), hangingBody{s.released})
	return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: io.NopCloser(body)}, nil
}

type hangingBody struct{ released chan struct{} }

func (b hangingBody) Read([]byte) (int, error) {
	<-b.released
	return 0, io.EOF
}

// logOf has a gateway log to a hook.
func logOf(g *Gateway) *test.Hook {
	log, hook := test.NewNullLogger()
	g.opts.Log = log
	return hook
}

// lines returns the lines of an event by the request's id.
func lines(hook *test.Hook, event string) map[string]logrus.Fields {
	out := map[string]logrus.Fields{}
	for _, e := range hook.AllEntries() {
		if e.Data["event"] == event {
			id, _ := e.Data["id"].(string)
			out[id] = e.Data
		}
	}
	return out
}

func endStop(g *Gateway) {
	stopIn(g, time.Second)
	g.Close()
	g.EndRequests()
}

// TestRequestWhoseHandlerHangsLeavesALine guards against a process that ends with requests in progress, of which no line tells as their
// handlers have not ended. The control has ended before, and has its own line only.
func TestRequestWhoseHandlerHangsLeavesALine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &hangingSender{events: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", released: make(chan struct{})}
		g := testGateway(s)
		hook := logOf(g)
		postWithID(g, "/nowhere", "", "control")
		var running sync.WaitGroup
		running.Go(func() { postWithID(g, "/pay/x", "", "plain") })
		running.Go(func() { postWithID(g, "/once/x", "m", "stream") })
		time.Sleep(2 * time.Second)
		endStop(g)
		if n := g.LogUnfinished(); n != 2 {
			t.Errorf("%d requests are unfinished, want 2", n)
		}
		got := lines(hook, "request_unfinished")
		if len(got) != 2 || len(hook.AllEntries()) != 3 || len(lines(hook, "request")) != 1 {
			t.Errorf("lines %v, want one for each request", got)
		}
		if f := got["plain"]; f["route"] != "/pay/" || f["took_ms"] != int64(2000) || f["head_written"] != false || !strings.HasPrefix(fmt.Sprint(f["target"]), "p") {
			t.Errorf("line of the plain request: %v", f)
		}
		if f := got["stream"]; f["route"] != "/once/" || f["last_event"] != "2" || f["events"] != 2 || f["head_written"] != true {
			t.Errorf("line of the stream: %v", f)
		}
		close(s.released)
		running.Wait()
		if len(lines(hook, "request")) != 3 || g.LogUnfinished() != 0 {
			t.Errorf("lines %v after the handlers have ended", lines(hook, "request"))
		}
	})
}

// TestLinesOfUnfinishedRequestsAreBounded guards against a host that ends with more requests in progress than its log holds lines.
func TestLinesOfUnfinishedRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const more = 7
		g := testGateway(&scriptedSender{})
		hook := logOf(g)
		for i := range maxUnfinishedLines + more {
			x := &exchange{log: logrus.Fields{}, progress: g.requests.begin(time.Duration(i), "")}
			x.call.ID = fmt.Sprint(i)
			x.showProgress()
		}
		endStop(g)
		if got := lines(hook, "request_unfinished"); len(got) != maxUnfinishedLines || got["0"] == nil {
			t.Errorf("%d lines, want %d, the oldest first", len(got), maxUnfinishedLines)
		}
		if f := lines(hook, "requests_unfinished")[""]; f["more"] != more {
			t.Errorf("line %v, want %d more", f, more)
		}
	})
}

// panickingSender panics with each send.
type panickingSender struct{}

func (panickingSender) Forward(context.Context, string, target.ForwardRequest, target.ResponseIDFunc) (*target.ForwardResponse, error) {
	panic("of the test")
}

// TestRequestWhoseHandlerPanicsLeavesALine guards against a request whose handler ends with a panic, which the server contains, without a
// line that names it.
func TestRequestWhoseHandlerPanicsLeavesALine(t *testing.T) {
	g := testGateway(panickingSender{})
	hook := logOf(g)
	func() {
		defer func() { _ = recover() }() // as the server does
		postWithID(g, "/pay/x", "", "panics")
	}()
	if f := lines(hook, "request_unfinished")["panics"]; f == nil || g.LogUnfinished() != 0 {
		t.Errorf("line %v, %d requests in progress", f, g.LogUnfinished())
	}
}

// TestRefusalOfAClosedGatewayIsNamed guards against requests that a stopping host refuses at its end with a line that has no id. The control
// is refused before the end.
func TestRefusalOfAClosedGatewayIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(&scriptedSender{})
		hook := logOf(g)
		stopIn(g, 10*time.Millisecond)
		postWithID(g, "/once/x", "m", "before")
		g.Close()
		postWithID(g, "/once/x", "m", "after")
		got := lines(hook, "request")
		for _, id := range []string{"before", "after"} {
			if f := got[id]; f["status"] != http.StatusServiceUnavailable || f["reason"] != reasonStopping {
				t.Errorf("%s the end: line %v", id, f)
			}
		}
	})
}

// TestDeclinedRequestLeavesALine guards against a request that another host passed on, and that this one declines in its stop, without a line
// here. The control is passed on before.
func TestDeclinedRequestLeavesALine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(&scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(200, "ok")}})
		hook := logOf(g)
		passOn := func(id string) {
			r := newPost("/pay/x", "", id)
			r.Header.Set(headerRelayedBy, "other")
			g.RelayHandler().ServeHTTP(httptest.NewRecorder(), r)
		}
		passOn("before")
		stopIn(g, time.Second)
		passOn("after")
		if f := lines(hook, "request")["before"]; f["status"] != http.StatusOK || f["relayed_by"] != "other" {
			t.Errorf("before the stop: line %v", f)
		}
		if f := lines(hook, "relay_declined")["after"]; f["relayed_by"] != "other" {
			t.Errorf("in the stop: line %v", f)
		}
	})
}
