package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// mixedSender is a sender to engines of which e1 sends bytes without end. e2 breaks off its 20th stream.
type mixedSender struct {
	runTime time.Duration
	sound   atomic.Bool // e1 has recovered
	sent    [3]atomic.Int64
}

func (s *mixedSender) Forward(ctx context.Context, address string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	resp := &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1}
	n := s.sent[address[1]-'1'].Add(1)
	switch {
	case address == "e1" && !s.sound.Load():
		time.Sleep(20 * time.Millisecond)
		resp.Body = io.NopCloser(&repeating{text: "garbage "})
	case address == "e2" && n == 20:
		resp.Body = brokenBody{strings.NewReader("id: 1\ndata: a\n\n")}
	default:
		resp.Body = io.NopCloser(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"), &lateEnd{s.runTime}))
	}
	return resp, nil
}

// lateEnd is a body that ends after some time.
type lateEnd struct{ after time.Duration }

func (e *lateEnd) Read([]byte) (int, error) {
	time.Sleep(e.after)
	return 0, io.EOF
}

// playBursts plays bursts of streams, 1.2 s apart, and returns how many streams did not come whole.
func playBursts(g *Gateway, bursts, size int) (failed int64) {
	var wg sync.WaitGroup
	var failures atomic.Int64
	for b := range bursts {
		for i := range size {
			wg.Go(func() {
				if w := postWithID(g, "/once/x", "m", fmt.Sprint("s", b, "-", i)); w.Code != http.StatusOK || w.Header().Get("Aborted") != "" {
					failures.Add(1)
				}
			})
		}
		time.Sleep(1200 * time.Millisecond)
	}
	wg.Wait()
	return failures.Load()
}

// TestEngineThatSendsGarbageGetsFewStreams guards against the free slots of an engine whose responses are no answers drawing the
// requests for which the sound engines have no slot just then. Bursts of 24 streams meet three engines of eight slots; the two sound ones
// serve a burst within 1.2 s.
func TestEngineThatSendsGarbageGetsFewStreams(t *testing.T) {
	const bursts = 25
	synctest.Test(t, func(t *testing.T) {
		s := &mixedSender{runTime: 500 * time.Millisecond}
		g := testGateway(s)
		all := map[string]fleet.Target{}
		for _, id := range []string{"e1", "e2", "e3"} {
			all[id] = fleet.Target{ID: id, Service: "llm", Address: id, Slots: 8, Models: map[string][]string{"m": nil}}
		}
		g.opts.View.SetTargets(fleet.NewTargets(all))
		if failed := playBursts(g, bursts, 24); failed > 24+bursts {
			t.Errorf("%d of %d streams failed, want at most those of one burst and one of each burst", failed, 24*bursts)
		}
		if n, sound := s.sent[1].Load(), s.sent[2].Load(); n < 3*sound/4 {
			t.Errorf("the engine that broke off one stream got %d, the other sound one %d", n, sound)
		}
		s.sound.Store(true)
		before := s.sent[0].Load()
		if failed := playBursts(g, bursts, 24); failed > 0 || s.sent[0].Load()-before < 4*bursts {
			t.Errorf("after its recovery: %d streams failed, the engine got %d", failed, s.sent[0].Load()-before)
		}
	})
}
