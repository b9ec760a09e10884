package gateway

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// zoneSender plays targets that serve, and counts what each received.
type zoneSender struct {
	sent   map[string]int
	onSend func(address string, f target.ForwardRequest) (*target.ForwardResponse, error) // nil, or nil response: it serves
}

func (s *zoneSender) Forward(_ context.Context, address string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.sent[address]++
	if s.onSend != nil {
		if resp, err := s.onSend(address, f); resp != nil || err != nil {
			return resp, err
		}
	}
	return respond(200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")(f)
}

// zonesGateway returns a gateway with engine e1 and target p1 in zone x, e2 and p2 in zone y.
func zonesGateway(s *zoneSender) *Gateway {
	g := testGateway(s)
	byID := map[string]fleet.Target{}
	for id, t := range g.opts.View.Targets().ByID {
		t.Zone = map[byte]string{'1': "x", '2': "y"}[id[1]]
		byID[id] = t
	}
	g.opts.View.SetTargets(fleet.NewTargets(byID))
	return g
}

func evacuate(g *Gateway, version uint64, zones ...string) {
	l := fleet.Evacuations{Version: version, Zones: map[string]uint64{}}
	for _, zone := range zones {
		l.Zones[zone] = version
	}
	g.opts.View.SetEvacuations(l)
}

// TestEvacuatedZoneGetsNoRequests guards against requests to targets of an evacuated zone on any route. The targets of the other
// zone are the control, and those of the zone serve again after its evacuation.
func TestEvacuatedZoneGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &zoneSender{sent: map[string]int{}}
		g := zonesGateway(s)
		load := func() {
			clear(s.sent)
			for i := range 40 {
				for _, path := range []string{"/stream/x", "/once/x", "/pay/x"} {
					if w := postWithID(g, path, map[bool]string{true: "", false: "m"}[path == "/pay/x"], fmt.Sprint("a", i)); w.Code != 200 {
						t.Fatalf("%s: status %d", path, w.Code)
					}
				}
			}
		}
		evacuate(g, 1, "x", "nowhere")
		load()
		if s.sent["e1"]+s.sent["p1"] > 0 || s.sent["e2"] != 80 || s.sent["p2"] != 40 {
			t.Errorf("with zone x evacuated: %v", s.sent)
		}
		evacuate(g, 2)
		load()
		if s.sent["e1"] == 0 || s.sent["p1"] == 0 {
			t.Errorf("after the evacuation: %v", s.sent)
		}
	})
}

// TestRefusalWhenAllZonesAreEvacuated guards against requests that are held until their deadline although nothing can serve
// them, and against the refusal of a service that has a target elsewhere.
func TestRefusalWhenAllZonesAreEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &zoneSender{sent: map[string]int{}}
		g := zonesGateway(s)
		refused := func(w *httptest.ResponseRecorder, began time.Time, label string) {
			t.Helper()
			if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") != "1.00" || time.Since(began) > 0 {
				t.Errorf("%s: status %d, Retry-After %q, after %v", label, w.Code, w.Header().Get("Retry-After"), time.Since(began))
			}
		}
		waiting := make(chan *httptest.ResponseRecorder, 1)
		go func() { waiting <- postWithID(g, "/stream/x", "ondisk", "a2") }()
		time.Sleep(time.Second)
		began := time.Now()
		evacuate(g, 1, "x", "y")
		refused(<-waiting, began, "a request that waits for a model")
		refused(post(g, "/stream/x", "m"), began, "an engine's service")
		refused(post(g, "/pay/x", ""), began, "a plain service")
		if len(s.sent) > 0 {
			t.Errorf("sent %v", s.sent)
		}
		evacuate(g, 2, "y")
		if w := post(g, "/stream/x", "m"); w.Code != 200 || s.sent["e1"] != 1 {
			t.Errorf("with one zone: status %d, sent %v", w.Code, s.sent)
		}
	})
}

// TestBrokenStreamIsResumedOutsideTheZone guards against the resumption of a stream in a zone whose evacuation began meanwhile.
func TestBrokenStreamIsResumedOutsideTheZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &zoneSender{sent: map[string]int{}}
		g := zonesGateway(s)
		var first string
		s.onSend = func(address string, f target.ForwardRequest) (*target.ForwardResponse, error) {
			if first != "" {
				return nil, nil
			}
			first = address
			evacuate(g, 1, map[string]string{"e1": "x", "e2": "y"}[address])
			return breakAfter("id: 1\ndata: a\n\n")(f)
		}
		if w := post(g, "/stream/x", "m"); w.Code != 200 || s.sent[first] != 1 || s.sent["e1"] != 1 || s.sent["e2"] != 1 {
			t.Errorf("status %d, sent %v", w.Code, s.sent)
		}
	})
}
