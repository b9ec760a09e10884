package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestHostThatServesMostStays guards against a stopping host that ends early, since it has seen long requests, while it still serves those that
// come. One that has to refuse most of them may end, until others come again.
func TestHostThatServesMostStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.repeat(2*minRunTimeSamples, sizedRun{"/once/x", 70_000, 100, 20})
		g.stopIn(6 * time.Second)
		check := func(refuses bool, when string) {
			t.Helper()
			if g.RefusesMost() != refuses {
				t.Errorf("%s: the host refuses most requests: %v, want %v", when, !refuses, refuses)
			}
		}
		check(false, "before any request")
		g.run(sizedRun{"/once/x", 70_000, 275, 55})
		check(true, "after a refusal")
		g.repeat(3, sizedRun{"/once/x", 600, 100, 5})
		check(false, "after three that were served")
		g.repeat(5, sizedRun{"/once/x", 70_000, 275, 55})
		check(true, "after five refusals")
		time.Sleep(arrivalWindow + time.Millisecond)
		check(false, "a second later")
	})
}

// TestPlainRequestsWithATailAreServedLate is a control: plain requests of which one in twenty takes five times as long are served until late in a
// stop, and none outlasts it.
func TestPlainRequestsWithATailAreServedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowSender{sentAt: map[string]time.Time{}}
		g := testGateway(s)
		sent := 0
		send := func() int {
			s.runTime = 60 * time.Millisecond
			if sent++; sent%20 == 0 {
				s.runTime = 300 * time.Millisecond
			}
			return post(g, "/pay/x", "").Code
		}
		for range 2 * minRunTimeSamples {
			send()
		}
		end := time.Now().Add(4 * time.Second)
		stopIn(g, 4*time.Second)
		for time.Until(end) > 2*time.Second {
			if code := send(); code != http.StatusOK {
				t.Errorf("status %d, %v before the stop", code, time.Until(end))
			}
		}
		for time.Until(end) > 0 {
			send()
			time.Sleep(20 * time.Millisecond)
		}
		if late := time.Since(end); late > 100*time.Millisecond {
			t.Errorf("a request ends %v after the stop", late)
		}
	})
}

// TestBeginningOfAStopServesWhatUsuallyEnds is a control: right after the SIGTERM, a host does not refuse a stream that nearly always ends long before
// the stop. Later it relies on the bound only.
func TestBeginningOfAStopServesWhatUsuallyEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSizedGateway()
		g.run(sizedRun{"/once/x", 600, 275, 20})
		g.stopIn(7500 * time.Millisecond)
		time.Sleep(2500 * time.Millisecond)
		g.expect(t, "2.5 s after the SIGTERM", sizedRun{"/once/x", 600, 275, 8}, http.StatusOK)
		time.Sleep(time.Second)
		g.expect(t, "3.7 s after it", sizedRun{"/once/x", 600, 275, 8}, http.StatusServiceUnavailable)
	})
}
