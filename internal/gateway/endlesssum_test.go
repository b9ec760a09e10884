package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// stalled is a body of a given length that then sends nothing more until its send ends.
type stalled struct {
	ctx  context.Context
	left int
}

func (s *stalled) Read(p []byte) (int, error) {
	if s.left == 0 {
		<-s.ctx.Done()
		return 0, &target.UnknownOutcomeError{Cause: context.Cause(s.ctx)}
	}
	n := min(len(p), s.left)
	for i := range p[:n] {
		p[i] = 'x'
	}
	s.left -= n
	return n, nil
}

func (*stalled) Close() error { return nil }

// garbageSender is a sender to targets that send bytes, and whose responses don't end. Requests to /good/ get sound responses.
type garbageSender struct{ bytes int }

// soundResponses are, by path, ordinary and large ones, with and without a declared length.
var soundResponses = map[string][]byte{
	"/good/small": bytes.Repeat([]byte("s"), 2<<10), "/good/sized": bytes.Repeat([]byte("l"), 3<<20), "/good/chunked": bytes.Repeat([]byte("c"), 300<<10),
	"/events/": []byte(strings.Repeat("id: 1\ndata: "+strings.Repeat("e", 20<<10)+"\n\n", 10)),
}

func (s garbageSender) Forward(ctx context.Context, _ string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	resp := &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: &stalled{ctx, s.bytes}}
	if body := soundResponses[f.URI]; body != nil {
		resp.Body = io.NopCloser(bytes.NewReader(body))
		if f.URI == "/good/sized" {
			resp.Length = int64(len(body))
		}
	}
	return resp, nil
}

func (s garbageSender) Choose(tried map[string]bool, _ []string) (fleet.Host, bool) {
	return fleet.Host{Name: "h1", RelayAddress: "h1"}, !tried["h1"]
}

// garbageGateway returns a gateway with routes to a target that sends garbage (/pay/ and /feed/) and to a sound one (/good/ and /events/).
func garbageGateway(s garbageSender, passedOn bool) *Gateway {
	g := testGateway(s)
	config := *g.opts.View.Config()
	for path, kind := range map[string]fleet.RouteKind{"/good/": fleet.NonIdempotent, "/events/": fleet.Streaming, "/feed/": fleet.Streaming} {
		service := "sound"
		if path == "/feed/" {
			service = "app"
		}
		config.Routes = append(config.Routes, fleet.Route{Name: path, Host: "h", PathPrefix: path, Kind: kind, Attempts: 1, Timeout: 5 * time.Second,
			Objective: time.Second, Destinations: []fleet.Destination{{Service: service, Weight: 1}}})
	}
	config.Services["sound"] = fleet.Service{}
	config.Index()
	g.opts.View.SetConfig(&config)
	g.opts.View.SetTargets(fleet.NewTargets(map[string]fleet.Target{
		"p1": {ID: "p1", Service: "app", Address: "p1"}, "g1": {ID: "g1", Service: "sound", Address: "g1"},
	}))
	if passedOn {
		g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, s, "h0"
	}
	return g
}

// heapInUse returns the memory of the heap, without garbage.
func heapInUse() int {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// TestManyEndlessResponsesAtOnce guards against responses that each stay below their limit, and together take the memory of a host of
// 144 MB; and against sound responses, small or large, being given up for them.
func TestManyEndlessResponsesAtOnce(t *testing.T) {
	const (
		requests = 160 // two seconds of 80 requests a second
		most     = 36 << 20
	)
	for name, c := range map[string]struct {
		path, sound string
		bytes       int
		passedOn    bool
	}{
		"plain": {path: "/pay/x", bytes: 900 << 10}, "streams": {path: "/feed/x", bytes: 900 << 10},
		"plain, passed on": {"/pay/x", "", 900 << 10, true}, "streams, passed on": {"/feed/x", "", 900 << 10, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := garbageGateway(garbageSender{c.bytes}, c.passedOn)
				before := heapInUse()
				var wg sync.WaitGroup
				for i := range requests {
					wg.Go(func() { postWithID(g, c.path, "", fmt.Sprint("a", i)) })
				}
				synctest.Wait()
				if held := heapInUse() - before; held > most {
					t.Errorf("%d MB are held, want %d at most", held>>20, most>>20)
				}
				for path, body := range soundResponses {
					var w *httptest.ResponseRecorder
					if w = post(g, path, ""); w.Code != http.StatusOK || !bytes.Equal(w.Body.Bytes(), body) || w.Header().Get("Aborted") != "" {
						t.Errorf("%s: status %d, %d bytes of %d", path, w.Code, w.Body.Len(), len(body))
					}
				}
				wg.Wait()
			})
		})
	}
}
