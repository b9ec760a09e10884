package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// slowWriter is a caller that takes a time for each write.
type slowWriter struct {
	*httptest.ResponseRecorder
	pause time.Duration
}

func (w slowWriter) Write(p []byte) (int, error) {
	time.Sleep(w.pause)
	return w.ResponseRecorder.Write(p)
}

func (w slowWriter) Unwrap() http.ResponseWriter { return w.ResponseRecorder }

// TestSlowCallerDoesNotMakeAHelperSilent guards against a stream through another host that is taken for silent, and started
// again elsewhere, since its caller reads slowly.
func TestSlowCallerDoesNotMakeAHelperSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := testGateway(&scriptedSender{})
		stream := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}
		s := &tricklingSender{streams: [][]string{stream, {"id: 1\ndata: x\n\n"}}, gap: 100 * time.Millisecond}
		g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, tricklingHelpers{s}, "h0"
		w := slowWriter{httptest.NewRecorder(), silenceMin + 100*time.Millisecond}
		g.ServeHTTP(w, newPost("/stream/x", "m", "a1"))
		if want := stream[0] + stream[1]; s.sends != 1 || w.Body.String() != want {
			t.Errorf("%d sends, body %q", s.sends, w.Body.String())
		}
	})
}

type tricklingHelpers struct{ *tricklingSender }

func (tricklingHelpers) Choose(tried map[string]bool, regions []string) (fleet.Host, bool) {
	return (&scriptedHelpers{}).Choose(tried, regions)
}
