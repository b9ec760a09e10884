package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/target"
)

// tricklingSender responds to its nth send with the nth stream; the pieces of a stream come a time after one another.
type tricklingSender struct {
	streams [][]string
	gap     time.Duration
	sends   int
	lastAt  time.Time // of the last send
}

func (s *tricklingSender) Forward(ctx context.Context, _ string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.sends++
	s.lastAt = time.Now()
	body := &tricklingBody{ctx: ctx, pieces: s.streams[min(s.sends, len(s.streams))-1], gap: s.gap}
	return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Framing: target.FramingChunked, Body: body}, nil
}

type tricklingBody struct {
	ctx    context.Context
	pieces []string
	gap    time.Duration
}

func (b *tricklingBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(b.gap):
	case <-b.ctx.Done():
		return 0, context.Cause(b.ctx)
	}
	if len(b.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.pieces[0])
	b.pieces = b.pieces[1:]
	return n, nil
}

func (b *tricklingBody) Close() error { return nil }

// repeat returns a stream of the beginning and many times the same piece.
func repeat(beginning, piece string) []string {
	out := []string{beginning}
	for range 200 {
		out = append(out, piece)
	}
	return out
}

// TestStalledStreamThatSendsBytesIsResumedElsewhere guards against a stalled target that sends something now and then, which
// keeps a stream until its deadline. The route's deadline is 5 s, and a silent target is left after 1.8 s.
func TestStalledStreamThatSendsBytesIsResumedElsewhere(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, piece := range map[string]string{"bytes of an event": "x", "blank lines": "\n\n", "blank lines with CR": "\r\n\r\n", "comments": ": wait\n\n"} {
		synctest.Test(t, func(t *testing.T) {
			s := &tricklingSender{streams: [][]string{repeat(first, piece), repeat(second, "x")}, gap: 200 * time.Millisecond}
			began := time.Now()
			w := post(testGateway(s), "/stream/x", "m")
			secondAt := s.lastAt.Sub(began)
			if s.sends != 2 || secondAt > 3*time.Second || !strings.HasPrefix(w.Body.String(), first) || !strings.Contains(w.Body.String(), second) {
				t.Errorf("%s: %d sends, the second after %v, body %.60q", name, s.sends, secondAt, w.Body.String())
			}
			if took := time.Since(began); w.Header().Get("Aborted") == "" || took > 6*time.Second {
				t.Errorf("%s: ended after %v, aborted %q", name, took, w.Header().Get("Aborted"))
			}
		})
	}
}

// TestSlowButHealthyStreamIsNotCut is the control: events that come slowly, each in several pieces, are all relayed by one target.
func TestSlowButHealthyStreamIsNotCut(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x"} {
		synctest.Test(t, func(t *testing.T) {
			var pieces []string
			want := ""
			for i := 1; i <= 5; i++ {
				pieces = append(pieces, fmt.Sprintf("id: %d\nda", i), "ta: x\n\n")
				want += fmt.Sprintf("id: %d\ndata: x\n\n", i)
			}
			s := &tricklingSender{streams: [][]string{pieces}, gap: 450 * time.Millisecond}
			w := post(testGateway(s), path, "m")
			if s.sends != 1 || w.Body.String() != want {
				t.Errorf("%s: %d sends, body %q", path, s.sends, w.Body.String())
			}
		})
	}
}

// TestCommentIsNoFirstEvent guards against a target that sends a comment while it processes a prompt counting as one with fast first
// events: its next streams would be taken for silent too soon.
func TestCommentIsNoFirstEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &tricklingSender{streams: [][]string{{": wait\n\n", ": wait\n\n", "id: 1\ndata: a\n\n"}}, gap: 400 * time.Millisecond}
		g := testGateway(s)
		w := post(g, "/stream/x", "m")
		var longest time.Duration
		for id := range g.opts.View.Targets().ByID {
			longest = max(longest, g.opts.View.FirstEventTime(id))
		}
		if s.sends != 1 || !strings.HasSuffix(w.Body.String(), "data: a\n\n") || longest < 300*time.Millisecond { // a moving average that begins at 0
			t.Errorf("%d sends, body %q, average time of the first event %v, want 0.3 of 1.2 s", s.sends, w.Body.String(), longest)
		}
	})
}
