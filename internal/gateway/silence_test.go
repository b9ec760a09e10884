package gateway

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

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
