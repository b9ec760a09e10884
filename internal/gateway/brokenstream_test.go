package gateway

import (
	"io"
	"maps"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// endAfter returns a response whose body ends without an error after the given data.
func endAfter(framing target.Framing, body string) func(target.ForwardRequest) (*target.ForwardResponse, error) {
	return func(f target.ForwardRequest) (*target.ForwardResponse, error) {
		resp, err := respond(http.StatusOK, body)(f)
		resp.Framing = framing
		return resp, err
	}
}

// TestStreamThatEndsInsideEventIsBrokenOff guards against a stream that ends inside an event reaching the caller as complete.
func TestStreamThatEndsInsideEventIsBrokenOff(t *testing.T) {
	const whole, cut = "id: 1\ndata: a\n\n", "id: 2\nda"
	for _, framing := range []target.Framing{target.FramingClose, target.FramingChunked, target.FramingLength} {
		t.Run(string(framing), func(t *testing.T) {
			s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){endAfter(framing, whole+cut)}}
			w := post(testGateway(s), "/once/x", "m")
			if w.Header().Get("Aborted") == "" || w.Body.String() != whole {
				t.Errorf("not resumable: aborted %q, body %q, want it aborted after the whole event", w.Header().Get("Aborted"), w.Body.String())
			}
			s = &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){
				endAfter(framing, whole+cut), endAfter(framing, "id: 2\ndata: b\n\n"),
			}}
			w = post(testGateway(s), "/stream/x", "m")
			if want := whole + "id: 2\ndata: b\n\n"; w.Body.String() != want || w.Header().Get("Aborted") != "" {
				t.Errorf("resumable: body %q, want %q", w.Body.String(), want)
			}
			if len(s.sent) != 2 || s.sent[1].Header.Get("From") != "1" {
				t.Errorf("%d sends, want a second one that resumes after event 1", len(s.sent))
			}
		})
	}
}

// TestUndelimitedStreamWithoutEventIsBrokenOff guards against a connection closed before the first event counting as an empty stream.
func TestUndelimitedStreamWithoutEventIsBrokenOff(t *testing.T) {
	s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){endAfter(target.FramingClose, "")}}
	if w := post(testGateway(s), "/once/x", "m"); w.Code != http.StatusBadGateway {
		t.Errorf("not resumable: status %d, want 502", w.Code)
	}
	s = &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){
		endAfter(target.FramingClose, ""), endAfter(target.FramingChunked, "id: 1\ndata: a\n\n"),
	}}
	if w := post(testGateway(s), "/stream/x", "m"); w.Body.String() != "id: 1\ndata: a\n\n" {
		t.Errorf("resumable: body %q, want the whole event of the second target", w.Body.String())
	}
}

// TestBlankLineAfterLastEventIsRelayed guards against a complete stream with one more line break counting as broken.
func TestBlankLineAfterLastEventIsRelayed(t *testing.T) {
	const body = "id: 1\ndata: a\n\n"
	s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){
		func(f target.ForwardRequest) (*target.ForwardResponse, error) {
			resp, err := endAfter(target.FramingClose, "")(f)
			resp.Body = io.NopCloser(io.MultiReader(strings.NewReader(body), strings.NewReader("\n")))
			return resp, err
		},
	}}
	w := post(testGateway(s), "/once/x", "m")
	if w.Header().Get("Aborted") != "" || w.Body.String() != body+"\n" {
		t.Errorf("aborted %q, body %q, want the whole body", w.Header().Get("Aborted"), w.Body.String())
	}
}

// errorResponses are responses of a target that must not reach a caller whose stream has begun.
func errorResponses() map[string]func(target.ForwardRequest) (*target.ForwardResponse, error) {
	const text = "HTTP/1.1 500 Internal Server Error\r\n\r\n{\"error\":\"out of memory\"}\n\n"
	with := func(change func(*target.ForwardResponse)) func(target.ForwardRequest) (*target.ForwardResponse, error) {
		return func(f target.ForwardRequest) (*target.ForwardResponse, error) {
			resp, err := respond(http.StatusOK, text)(f)
			change(resp)
			return resp, err
		}
	}
	return map[string]func(target.ForwardRequest) (*target.ForwardResponse, error){
		"400":              respond(http.StatusBadRequest, text),
		"404":              respond(http.StatusNotFound, text),
		"429":              respond(http.StatusTooManyRequests, text),
		"500":              respond(http.StatusInternalServerError, text),
		"503 of a run":     respond(http.StatusServiceUnavailable, text),
		"302":              respond(http.StatusFound, text),
		"204":              respond(http.StatusNoContent, ""),
		"206":              respond(http.StatusPartialContent, text),
		"200, no stamp":    with(func(r *target.ForwardResponse) { r.Header.Del("Stamp") }),
		"200, of another":  with(func(r *target.ForwardResponse) { r.Header.Set("Id", "other") }),
		"200, cut at once": with(func(r *target.ForwardResponse) { r.Body, r.Framing = http.NoBody, target.FramingClose }),
		"no response": func(target.ForwardRequest) (*target.ForwardResponse, error) {
			return nil, &target.UnknownOutcomeError{Cause: resetError{}}
		},
	}
}

// TestErrorAfterABrokenStreamStaysOutOfIt guards against the text of the next target's error in the middle of a caller's stream, and
// against a stream that ends there as if it were complete.
func TestErrorAfterABrokenStreamStaysOutOfIt(t *testing.T) {
	type responses = []func(target.ForwardRequest) (*target.ForwardResponse, error)
	const first, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, failing := range errorResponses() {
		for _, passedOn := range []bool{false, true} {
			script := scriptedSender{responses: responses{breakAfter(first + "id: 2\nda"), failing, respond(http.StatusOK, rest)}}
			sender, helpers := &script, &scriptedHelpers{}
			if passedOn {
				sender, helpers = &scriptedSender{}, &scriptedHelpers{scriptedSender: script}
			}
			g := testGateway(sender)
			if passedOn {
				g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, helpers, "h0"
			}
			w := post(g, "/stream/x", "m")
			complete := w.Header().Get("Aborted") == ""
			if body := w.Body.String(); body != first && body != first+rest || complete != (body == first+rest) {
				t.Errorf("%s, through other hosts %v: complete %v, body %q", name, passedOn, complete, body)
			}
		}
	}
}

// TestBrokenStreamWaitsForAPlaceSinceItsLastEvent guards against a stream that breaks off long after its request came, and is ended at once since no
// target can take it just then. Its caller waits 3.2 s for the next event.
func TestBrokenStreamWaitsForAPlaceSinceItsLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const brokenAt = 3200 * time.Millisecond
		s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){
			func(f target.ForwardRequest) (*target.ForwardResponse, error) {
				time.Sleep(brokenAt / 2)
				resp, err := respond(200, "")(f)
				resp.Body = io.NopCloser(io.MultiReader(strings.NewReader(firstEvent), &lateReset{brokenAt / 2}))
				return resp, err
			}, respond(200, secondEvent),
		}}
		g := testGateway(s)
		all := g.opts.View.Targets()
		without := maps.Clone(all.ByID)
		without["e2"] = fleet.Target{ID: "e2", Service: "llm", Address: "e2", Slots: 8, OnDisk: []string{"m"}}
		g.opts.View.SetTargets(fleet.NewTargets(without))
		time.AfterFunc(brokenAt+500*time.Millisecond, func() { g.opts.View.SetTargets(all) })
		if w := post(g, "/stream/x", "m"); w.Body.String() != firstEvent+secondEvent {
			t.Errorf("body %q after %d sends", w.Body.String(), len(s.sent))
		}
	})
}

// lateReset is a connection that is reset after some time.
type lateReset struct{ after time.Duration }

func (r *lateReset) Read([]byte) (int, error) {
	time.Sleep(r.after)
	return 0, resetError{}
}
