package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// setEngines replaces the registered engines by ones with the given software versions. All have
// model m loaded.
func setEngines(g *Gateway, versionOf map[string]string) {
	engines := map[string]fleet.Target{}
	for id, version := range versionOf {
		engines[id] = fleet.Target{ID: id, Service: "llm", Address: id, Slots: 8, Version: version, Models: map[string][]string{"m": nil}}
	}
	g.opts.View.SetTargets(fleet.NewTargets(engines))
}

// resume sends an attempt that takes up a stream after its event 1.
func resume(g *Gateway, id, resumes string) (status int) {
	r := newPost("/stream/x", "m", id)
	r.Header.Set("From", "1")
	r.Header.Set("Resumes", resumes)
	return serve(g, r).Code
}

const (
	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

// addressSender serves each engine's sends with the behavior of that engine.
type addressSender struct {
	responses map[string]func(target.ForwardRequest) (*target.ForwardResponse, error)
	sentTo    []string
	onSend    func() // called at each send, if set
}

// Forward implements Sender.
func (s *addressSender) Forward(_ context.Context, address string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.sentTo = append(s.sentTo, address)
	if s.onSend != nil {
		s.onSend()
	}
	return s.responses[address](f)
}

func (s *addressSender) sends(address string) int {
	n := 0
	for _, a := range s.sentTo {
		if a == address {
			n++
		}
	}
	return n
}

// postWhileEnginesChange sends a request whose first target is in use when change is called.
func postWhileEnginesChange(g *Gateway, s *addressSender, change func()) *httptest.ResponseRecorder {
	s.onSend = sync.OnceFunc(change)
	return post(g, "/stream/x", "m")
}

// TestBrokenStreamResumesAtItsVersion guards against a response that goes on at an engine of another software version.
func TestBrokenStreamResumesAtItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 { // the choice among engines is random
			s := &addressSender{responses: map[string]func(target.ForwardRequest) (*target.ForwardResponse, error){
				"old1": breakAfter(firstEvent), "old2": respond(http.StatusOK, secondEvent), "new": respond(http.StatusOK, secondEvent),
			}}
			g := testGateway(s)
			setEngines(g, map[string]string{"old1": "v1"})
			w := postWhileEnginesChange(g, s, func() { setEngines(g, map[string]string{"old1": "v1", "old2": "v1", "new": "v2"}) })
			if w.Body.String() != firstEvent+secondEvent || s.sends("new") > 0 {
				t.Fatalf("body %q after sends to %v, want the stream to go on at old2", w.Body.String(), s.sentTo)
			}
		}
	})
}

// TestBrokenStreamIsAbortedWithoutItsVersion guards against the same where no engine of the version is left.
func TestBrokenStreamIsAbortedWithoutItsVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &addressSender{responses: map[string]func(target.ForwardRequest) (*target.ForwardResponse, error){
			"old1": breakAfter(firstEvent), "new": respond(http.StatusOK, secondEvent),
		}}
		g := testGateway(s)
		setEngines(g, map[string]string{"old1": "v1"})
		w := postWhileEnginesChange(g, s, func() { setEngines(g, map[string]string{"new": "v2"}) })
		if w.Header().Get("Aborted") == "" || s.sends("new") > 0 {
			t.Errorf("aborted %q after sends to %v, want an aborted response and no send to the new version", w.Header().Get("Aborted"), s.sentTo)
		}
	})
}

// TestStreamIsAbortedAtOnceIfOnlyItsFailedTargetIsLeft guards against a caller kept waiting for a target that cannot come.
func TestStreamIsAbortedAtOnceIfOnlyItsFailedTargetIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &addressSender{responses: map[string]func(target.ForwardRequest) (*target.ForwardResponse, error){"old1": breakAfter(firstEvent)}}
		g := testGateway(s)
		setEngines(g, map[string]string{"old1": "v1", "new": "v2"})
		s.responses["new"] = s.responses["old1"]
		began := time.Now()
		if w := post(g, "/stream/x", "m"); w.Header().Get("Aborted") == "" || time.Since(began) > 0 {
			t.Errorf("aborted %q after %v, want it aborted at once", w.Header().Get("Aborted"), time.Since(began))
		}
	})
}

// TestCallerResumesAtVersionOfFirstEvent guards against a caller's resumed stream going on at another software version.
func TestCallerResumesAtVersionOfFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			s := &addressSender{responses: map[string]func(target.ForwardRequest) (*target.ForwardResponse, error){
				"old1": breakAfter(firstEvent), "old2": breakAfter(""), "new": respond(http.StatusOK, secondEvent),
			}}
			g := testGateway(s)
			setEngines(g, map[string]string{"old1": "v1"})
			if w := postWhileEnginesChange(g, s, func() { setEngines(g, map[string]string{"new": "v2", "old2": "v1"}) }); w.Header().Get("Aborted") == "" {
				t.Fatalf("the first attempt was not aborted: %q", w.Body.String())
			}
			s.responses["old2"] = respond(http.StatusOK, secondEvent)
			if status := resume(g, "a2", "a1"); status != http.StatusOK || s.sends("new") > 0 {
				t.Fatalf("status %d after sends to %v, want 200 from old2", status, s.sentTo)
			}
		}
	})
}

// TestResumeOfUnknownVersionIsRefused guards against a stream of unknown version going on at any of several.
func TestResumeOfUnknownVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &addressSender{responses: map[string]func(target.ForwardRequest) (*target.ForwardResponse, error){
			"e1": respond(http.StatusOK, secondEvent), "e2": respond(http.StatusOK, secondEvent),
		}}
		g := testGateway(s)
		setEngines(g, map[string]string{"e1": "v1", "e2": "v1"})
		if status := resume(g, "a2", "elsewhere"); status != http.StatusOK {
			t.Errorf("one version: status %d, want 200", status)
		}
		before := len(s.sentTo)
		setEngines(g, map[string]string{"e1": "v1", "e2": "v2"})
		if status := resume(g, "a3", "elsewhere"); status != http.StatusServiceUnavailable || len(s.sentTo) != before {
			t.Errorf("two versions: status %d after sends to %v, want 503 and no send", status, s.sentTo[before:])
		}
	})
}
