package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/target"
)

// decliningSender is a pausingSender whose targets decline all requests but the first, in one of several ways.
type decliningSender struct {
	*pausingSender
	decline func(target.ForwardRequest) (*target.ForwardResponse, error)
}

func (s decliningSender) Forward(ctx context.Context, address string, f target.ForwardRequest, idOf target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.mu.Lock()
	first := len(s.sent) == 0
	s.mu.Unlock()
	if first {
		return s.pausingSender.Forward(ctx, address, f, idOf)
	}
	return s.decline(f)
}

// TestSilentTargetKeepsARequestThatTheOthersDecline guards against responses that are ended although no other target takes the request: what a
// host knows of them may be out of date.
func TestSilentTargetKeepsARequestThatTheOthersDecline(t *testing.T) {
	for name, decline := range map[string]func(target.ForwardRequest) (*target.ForwardResponse, error){
		"rejected": shed,
		"refused": func(target.ForwardRequest) (*target.ForwardResponse, error) {
			return nil, &target.UnreachableError{Cause: resetError{}}
		},
		"reset": func(target.ForwardRequest) (*target.ForwardResponse, error) {
			return nil, &target.UnknownOutcomeError{Cause: resetError{}}
		},
	} {
		for place, c := range silenceCases {
			runInBubble(t, name+", "+place, func(t *testing.T) {
				s := decliningSender{&pausingSender{at: c.at, first: longPause}, decline}
				began := time.Now()
				if w := post(testGateway(s), c.path, c.model); w.Body.String() != wholeStream() || time.Since(began) > 3*time.Second {
					t.Errorf("status %d, body %q after %v", w.Code, w.Body.String(), time.Since(began))
				}
			})
		}
	}
}

// TestSilentTargetThatGoesOnKeepsItsRequest covers a target that goes on while another one has been sent the request and has not replied yet. The
// other one's request is ended.
func TestSilentTargetThatGoesOnKeepsItsRequest(t *testing.T) {
	for name, c := range silenceCases {
		runInBubble(t, name, func(t *testing.T) {
			s := &pausingSender{at: c.at, first: silenceMin + hedgeWait/2}
			s.pauses = map[string]time.Duration{}
			w := post(testGateway(s), c.path, c.model)
			if w.Body.String() != wholeStream() {
				t.Errorf("status %d, body %q, sent to %v", w.Code, w.Body.String(), s.sent)
			}
		})
	}
}

// TestOneTargetWorksOnAStream guards against a stream that goes on at a target while the silent one still works on it: 0.4 s are allowed.
func TestOneTargetWorksOnAStream(t *testing.T) {
	const allowed = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := &pausingSender{at: inMidStream, first: forever, pauses: map[string]time.Duration{}}
		w := post(testGateway(s), "/stream/x", "m")
		synctest.Wait()
		if w.Body.String() != wholeStream() || len(s.sent) != 2 {
			t.Fatalf("body %q, sent to %v", w.Body.String(), s.sent)
		}
		if both := s.ended[0].Sub(s.begun[1]); both > allowed/2 {
			t.Errorf("two targets work on a stream for %v, %v are allowed", both, allowed)
		}
	})
}

// TestDeadTargetsNextPlaceDeclines is the control: a target never sends anything again, and the other one declines the request at first.
func TestDeadTargetsNextPlaceDeclines(t *testing.T) {
	for name, c := range silenceCases {
		runInBubble(t, name, func(t *testing.T) {
			s := &pausingSender{at: c.at, first: forever}
			var declined atomic.Bool
			sender := decliningSender{s, func(f target.ForwardRequest) (*target.ForwardResponse, error) {
				if declined.CompareAndSwap(false, true) {
					return shed(f)
				}
				return s.Forward(t.Context(), "other", f, nil)
			}}
			began := time.Now()
			if w := post(testGateway(sender), c.path, c.model); w.Body.String() != wholeStream() || time.Since(began) > 3500*time.Millisecond {
				t.Errorf("status %d, body %q after %v", w.Code, w.Body.String(), time.Since(began))
			}
		})
	}
}

// lateSender is a sender whose first target is silent in mid-stream; its next event arrives in the moment in which its request is ended.
type lateSender struct{ *pausingSender }

func (s lateSender) Forward(ctx context.Context, address string, f target.ForwardRequest, idOf target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.mu.Lock()
	first := len(s.sent) == 0
	s.mu.Unlock()
	resp, err := s.pausingSender.Forward(ctx, address, f, idOf)
	if first && err == nil {
		resp.Body = &lateBody{resp.Body.(*pausingBody)}
	}
	return resp, err
}

type lateBody struct{ *pausingBody }

func (b *lateBody) Read(p []byte) (int, error) {
	n, err := b.pausingBody.Read(p)
	if err != nil && b.next < pauseEvents {
		b.next++
		return copy(p, pauseEvent(b.next)), nil
	}
	return n, err
}

// TestEventsThatComeTooLateAreDropped guards against an event that a caller gets twice: from the silent target, just when its request is ended, and
// from the target at which the stream goes on.
func TestEventsThatComeTooLateAreDropped(t *testing.T) {
	for name, at := range map[string]pauseAt{"in mid-stream": inMidStream, "first event": beforeBody} {
		runInBubble(t, name, func(t *testing.T) {
			s := lateSender{&pausingSender{at: at, first: forever, pauses: map[string]time.Duration{}}}
			if w := post(testGateway(s), "/stream/x", "m"); w.Body.String() != wholeStream() || len(s.sent) != 2 {
				t.Errorf("body %q, sent to %v", w.Body.String(), s.sent)
			}
		})
	}
}

// decliningHelpers are hosts of which all but the one with the given name decline requests; a name that none has: all decline.
type decliningHelpers struct {
	pausingHelpers
	takes string
}

func (h decliningHelpers) Forward(ctx context.Context, address string, f target.ForwardRequest, idOf target.ResponseIDFunc) (*target.ForwardResponse, error) {
	if address != h.takes {
		return declined(f)
	}
	return h.pausingHelpers.Forward(ctx, address, f, idOf)
}

// TestHostThatIsCutOffKeepsWhatOtherHostsDecline guards against responses that a host ends, as it takes itself for cut off and its target is silent for
// a moment, although each other host that is asked declines the request: hosts that stop do.
func TestHostThatIsCutOffKeepsWhatOtherHostsDecline(t *testing.T) {
	names := []string{"h1", "h2", "h3", "h4"}
	runInBubble(t, "all", func(t *testing.T) {
		s := &pausingSender{at: inMidStream, first: 1200 * time.Millisecond}
		g := testGateway(s)
		g.opts.Reach, g.opts.Helpers, g.opts.Self = lostLater{at: time.Now().Add(300 * time.Millisecond)}, decliningHelpers{pausingHelpers{s, names}, "none"}, "h0"
		onlyTargets(g, "e1")
		if w := post(g, "/stream/x", "m"); w.Body.String() != wholeStream() {
			t.Errorf("body %q, sent to %v", w.Body.String(), s.sent)
		}
	})
	runInBubble(t, "all but the last", func(t *testing.T) {
		s := &pausingSender{at: inMidStream, first: forever}
		g := testGateway(s)
		g.opts.Reach, g.opts.Helpers, g.opts.Self = lostLater{at: time.Now().Add(300 * time.Millisecond)}, decliningHelpers{pausingHelpers{s, names}, "h4"}, "h0"
		onlyTargets(g, "e1")
		began := time.Now()
		if w := post(g, "/stream/x", "m"); w.Body.String() != wholeStream() || time.Since(began) > 2*time.Second {
			t.Errorf("body %q after %v, sent to %v", w.Body.String(), time.Since(began), s.sent)
		}
	})
}

// TestSilentHelperKeepsARequestThatOtherHostsDecline covers the same for a request that was passed on to a host that is silent.
func TestSilentHelperKeepsARequestThatOtherHostsDecline(t *testing.T) {
	for name, c := range silenceCases {
		runInBubble(t, name, func(t *testing.T) {
			s := &pausingSender{at: c.at, first: longPause + silenceMin}
			g := testGateway(s)
			g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, decliningHelpers{pausingHelpers{s, []string{"h1", "h2", "h3"}}, "h1"}, "h0"
			if w := post(g, c.path, c.model); w.Body.String() != wholeStream() {
				t.Errorf("status %d, body %q, sent to %v", w.Code, w.Body.String(), s.sent)
			}
		})
	}
}
