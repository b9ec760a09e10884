package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// pauseEvents is the number of events of a stream by a pausingSender.
const pauseEvents = 4

// pauseAt says where a target falls silent.
type pauseAt int

const (
	beforeHead  pauseAt = -1
	beforeBody  pauseAt = 0
	inMidStream pauseAt = 2 // after two events
)

// pausingSender makes streams of pauseEvents events, or plain responses of the same text, 50 ms from one event to the next. The targets
// in pauses are silent for a time at one place; forever: until the send is ended.
type pausingSender struct {
	at     pauseAt
	pauses map[string]time.Duration
	first  time.Duration // pause of the target that is sent to first

	mu    sync.Mutex
	sent  []string    // addresses
	begun []time.Time // by send
	ended []time.Time // the same; zero: not yet
}

const forever = time.Hour

func pauseEvent(i int) string { return fmt.Sprintf("id: %d\ndata: a\n\n", i) }

// wholeStream is the body of a stream that is complete.
func wholeStream() (body string) {
	for i := range pauseEvents {
		body += pauseEvent(i + 1)
	}
	return body
}

func sleepOr(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Forward implements Sender.
func (s *pausingSender) Forward(ctx context.Context, address string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.mu.Lock()
	i := len(s.sent)
	s.sent, s.begun, s.ended = append(s.sent, address), append(s.begun, time.Now()), append(s.ended, time.Time{})
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended[i] = time.Now()
	})
	pause := s.pauses[address]
	if len(s.sent) == 1 {
		pause = max(pause, s.first)
	}
	s.mu.Unlock()
	if s.at == beforeHead {
		if err := sleepOr(ctx, pause); err != nil {
			return nil, &target.UnknownOutcomeError{Cause: err}
		}
	}
	from, _ := strconv.Atoi(f.Header.Get("From")) // 0 without the header
	body := &pausingBody{ctx: ctx, sender: s, pause: pause, next: from}
	return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Framing: target.FramingChunked, Body: body}, nil
}

type pausingBody struct {
	ctx    context.Context
	sender *pausingSender
	pause  time.Duration
	next   int
}

func (b *pausingBody) Read(p []byte) (int, error) {
	wait := 50 * time.Millisecond
	if pauseAt(b.next) == b.sender.at {
		wait += b.pause
		b.pause = 0
	}
	if err := sleepOr(b.ctx, wait); err != nil {
		return 0, &target.UnknownOutcomeError{Cause: err}
	}
	if b.next == pauseEvents {
		return 0, io.EOF
	}
	b.next++
	return copy(p, pauseEvent(b.next)), nil
}

func (b *pausingBody) Close() error { return nil }

// pausingHelpers are hosts through which a pausingSender sends.
type pausingHelpers struct {
	*pausingSender
	names []string
}

func (h pausingHelpers) Choose(tried map[string]bool, _ []string) (fleet.Host, bool) {
	for _, name := range h.names {
		if !tried[name] {
			return fleet.Host{Name: name, RelayAddress: name}, true
		}
	}
	return fleet.Host{}, false
}

// onlyTargets leaves a gateway the given targets.
func onlyTargets(g *Gateway, ids ...string) {
	targets := map[string]fleet.Target{}
	for _, id := range ids {
		targets[id] = g.opts.View.Targets().ByID[id]
	}
	g.opts.View.SetTargets(fleet.NewTargets(targets))
}

// silenceCases are the requests and the places at which their target may fall silent.
var silenceCases = map[string]struct {
	path, model string
	targets     [2]string
	at          pauseAt
}{
	"stream in progress":  {"/stream/x", "m", [2]string{"e1", "e2"}, inMidStream},
	"first event":         {"/stream/x", "m", [2]string{"e1", "e2"}, beforeBody},
	"head of a stream":    {"/stream/x", "m", [2]string{"e1", "e2"}, beforeHead},
	"plain response":      {"/read/x", "", [2]string{"p1", "p2"}, beforeHead},
	"plain response body": {"/read/x", "", [2]string{"p1", "p2"}, inMidStream},
}

func runInBubble(t *testing.T, name string, f func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, f) })
}

// longPause is longer than the silence after which another target is looked for.
const longPause = 2200 * time.Millisecond

// TestSilentTargetKeepsARequestThatHasNoOtherPlace guards against responses that are ended, since their target is silent for a while, although
// no other target can take the request.
func TestSilentTargetKeepsARequestThatHasNoOtherPlace(t *testing.T) {
	for name, c := range silenceCases {
		runInBubble(t, name, func(t *testing.T) {
			s := &pausingSender{at: c.at, pauses: map[string]time.Duration{c.targets[0]: longPause}}
			g := testGateway(s)
			onlyTargets(g, c.targets[0])
			w := post(g, c.path, c.model)
			if w.Code != http.StatusOK || w.Body.String() != wholeStream() || w.Header().Get("Aborted") != "" || len(s.sent) != 1 {
				t.Errorf("status %d, body %q, aborted %q, sent to %v", w.Code, w.Body.String(), w.Header().Get("Aborted"), s.sent)
			}
		})
	}
}

// TestRequestAtADeadTargetGoesOnElsewhere is the control: a target never sends anything again. The request goes on at the other target in time,
// and the dead one is given up.
func TestRequestAtADeadTargetGoesOnElsewhere(t *testing.T) {
	for name, c := range silenceCases {
		for dead := range c.targets {
			runInBubble(t, name+" at "+c.targets[dead], func(t *testing.T) {
				s := &pausingSender{at: c.at, pauses: map[string]time.Duration{c.targets[dead]: forever}}
				g := testGateway(s)
				began := time.Now()
				w := post(g, c.path, c.model)
				if took := time.Since(began); w.Body.String() != wholeStream() || took > 2500*time.Millisecond {
					t.Errorf("body %q after %v, sent to %v", w.Body.String(), took, s.sent)
				}
			})
		}
	}
}

// TestRequestAtADeadTargetWaitsForAPlace covers a request whose target is dead when no other one can take it. It goes on as soon as another
// target has its model.
func TestRequestAtADeadTargetWaitsForAPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pausingSender{at: inMidStream, pauses: map[string]time.Duration{"e1": forever}}
		g := testGateway(s)
		all := g.opts.View.Targets()
		onlyTargets(g, "e1")
		time.AfterFunc(3*time.Second, func() { g.opts.View.SetTargets(all) })
		began := time.Now()
		if w := post(g, "/stream/x", "m"); w.Body.String() != wholeStream() || time.Since(began) > 3500*time.Millisecond {
			t.Errorf("body %q after %v, sent to %v", w.Body.String(), time.Since(began), s.sent)
		}
	})
}

// TestSilentTargetKeepsARequestThatMayNotBeRepeated guards against responses that are ended although the retry budget lets no other target have
// the request.
func TestSilentTargetKeepsARequestThatMayNotBeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pausingSender{at: inMidStream, pauses: map[string]time.Duration{"e1": longPause, "e2": longPause}}
		g := testGateway(s)
		for ok := true; ok; {
			_, ok = g.opts.Budget.Charge("llm")
		}
		if w := post(g, "/stream/x", "m"); w.Body.String() != wholeStream() || len(s.sent) != 1 {
			t.Errorf("body %q, sent to %v", w.Body.String(), s.sent)
		}
	})
}

// TestHostThatIsCutOffKeepsWhatHasNoOtherPlace guards against a host that takes itself for cut off and ends responses of targets that are silent
// for a moment, while no other host can take the requests. Open connections may live on while new ones are refused.
func TestHostThatIsCutOffKeepsWhatHasNoOtherPlace(t *testing.T) {
	for name, c := range silenceCases {
		runInBubble(t, name, func(t *testing.T) {
			s := &pausingSender{at: c.at, pauses: map[string]time.Duration{c.targets[0]: 1200 * time.Millisecond}}
			g := testGateway(s)
			onlyTargets(g, c.targets[0])
			g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, pausingHelpers{}, "h0"
			if w := post(g, c.path, c.model); w.Body.String() != wholeStream() || len(s.sent) != 1 {
				t.Errorf("status %d, body %q, sent to %v", w.Code, w.Body.String(), s.sent)
			}
		})
	}
}

// lostLater is the Reach of a host that loses its way to all targets after some time.
type lostLater struct {
	alwaysReached
	at time.Time
}

func (l lostLater) CutOff() (time.Duration, bool) { return 0, !time.Now().Before(l.at) }
func (l lostLater) Direct() bool                  { return time.Now().Before(l.at) }
func (l lostLater) OnCutOff(f func()) func() {
	stop := time.AfterFunc(time.Until(l.at), f)
	return func() { stop.Stop() }
}

// TestHostThatIsCutOffPassesSilentStreamsOn is the control: the streams of a host that loses its way to all targets go on through another host
// soon.
func TestHostThatIsCutOffPassesSilentStreamsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &pausingSender{at: inMidStream, pauses: map[string]time.Duration{"e1": forever, "e2": forever}}
		g := testGateway(s)
		g.opts.Reach, g.opts.Helpers, g.opts.Self = lostLater{at: time.Now().Add(300 * time.Millisecond)}, pausingHelpers{s, []string{"h1"}}, "h0"
		began := time.Now()
		if w := post(g, "/stream/x", "m"); w.Body.String() != wholeStream() || time.Since(began) > 1200*time.Millisecond {
			t.Errorf("body %q after %v, sent to %v", w.Body.String(), time.Since(began), s.sent)
		}
	})
}

// TestSilentHelperKeepsARequestThatHasNoOtherPlace guards against responses through another host that are ended, since that host sends nothing
// for a while, although no further host can take the request.
func TestSilentHelperKeepsARequestThatHasNoOtherPlace(t *testing.T) {
	for name, c := range silenceCases {
		runInBubble(t, name, func(t *testing.T) {
			s := &pausingSender{at: c.at, pauses: map[string]time.Duration{"h1": longPause + silenceMin}}
			g := testGateway(s)
			g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, pausingHelpers{s, []string{"h1"}}, "h0"
			if w := post(g, c.path, c.model); w.Body.String() != wholeStream() || strings.Join(s.sent, " ") != "h1" {
				t.Errorf("status %d, body %q, sent to %v", w.Code, w.Body.String(), s.sent)
			}
		})
	}
}

// TestRequestAtADeadHelperGoesOnElsewhere is the control: a host through which a request goes never sends anything again.
func TestRequestAtADeadHelperGoesOnElsewhere(t *testing.T) {
	for name, c := range silenceCases {
		runInBubble(t, name, func(t *testing.T) {
			s := &pausingSender{at: c.at, pauses: map[string]time.Duration{"h1": forever}}
			g := testGateway(s)
			g.opts.Reach, g.opts.Helpers, g.opts.Self = lostWay{}, pausingHelpers{s, []string{"h1", "h2"}}, "h0"
			began := time.Now()
			if w := post(g, c.path, c.model); w.Body.String() != wholeStream() || time.Since(began) > 3*time.Second {
				t.Errorf("body %q after %v, sent to %v", w.Body.String(), time.Since(began), s.sent)
			}
		})
	}
}

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
