package gateway

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// loggedErrors returns the messages of an event's log lines.
func loggedErrors(hook *logtest.Hook, event string) (messages []string) {
	for _, e := range hook.AllEntries() {
		if e.Data["event"] == event {
			messages = append(messages, e.Message)
		}
	}
	return messages
}

// TestBrokenStreamSaysWhichTimeWasOver guards against log lines that don't tell a stream that was given up as its target was silent from
// one that the end of a planned stop cut off.
func TestBrokenStreamSaysWhichTimeWasOver(t *testing.T) {
	for name, c := range map[string]struct {
		stopAfter time.Duration // 0: no stop
		want      string
	}{"silence": {0, "silent for 1.8s"}, "end of a stop": {time.Second, "planned stop of this host is over"}} {
		synctest.Test(t, func(t *testing.T) {
			g := testGateway(&tricklingSender{streams: [][]string{repeat("id: 1\ndata: a\n\n", "x")}, gap: 300 * time.Millisecond})
			log, hook := logtest.NewNullLogger()
			log.SetLevel(logrus.InfoLevel)
			g.opts.Log = log
			if c.stopAfter > 0 {
				time.AfterFunc(c.stopAfter, g.EndRequests)
			}
			post(g, "/stream/x", "m")
			if got := loggedErrors(hook, "answer_broken"); len(got) == 0 || !strings.Contains(got[0], c.want) {
				t.Errorf("%s: answer_broken says %q", name, got)
			}
		})
	}
}

// TestRequestOutOfTimeIsNoSilence guards against a target that is blamed twice, and logged as silent, since a request that can't go on elsewhere has
// reached its deadline.
func TestRequestOutOfTimeIsNoSilence(t *testing.T) {
	for _, path := range []string{"/pay/x", "/once/x"} {
		synctest.Test(t, func(t *testing.T) {
			g := testGateway(&pausingSender{at: beforeHead, first: forever})
			log, hook := logtest.NewNullLogger()
			g.opts.Log = log
			post(g, path, map[bool]string{true: "m"}[path == "/once/x"])
			if got := loggedErrors(hook, "target_silent"); len(got) != 0 {
				t.Errorf("%s: target_silent %q", path, got)
			}
		})
	}
}
