package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/target"
)

// quietSender plays targets that ask for quiet: those named turn each request away with 503 and Retry-After.
type quietSender struct {
	mu      sync.Mutex
	seconds map[string]int // by target; 0: it serves
	reached map[string][]time.Time
}

func (s *quietSender) Forward(_ context.Context, address string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reached[address] = append(s.reached[address], time.Now())
	if n := s.seconds[address]; n > 0 {
		return &target.ForwardResponse{Status: 503, Header: http.Header{"Not-Run": {"1"}, "Retry-After": {strconv.Itoa(n)}}, Body: http.NoBody}, nil
	}
	return respond(200, "ok")(f)
}

// reachedSince returns how many requests reached a target since a time.
func (s *quietSender) reachedSince(address string, from time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, at := range s.reached[address] {
		if at.After(from) {
			n++
		}
	}
	return n
}

// TestTargetThatAsksForQuietGetsNothing guards against requests at a target that asked this host for quiet, over all routes
// and repeats, and against all of them coming back at once. The other target serves meanwhile.
func TestTargetThatAsksForQuietGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quietSender{seconds: map[string]int{"p1": 4}, reached: map[string][]time.Time{}}
		g := testGateway(s)
		first := time.Time{}
		for i := 0; first.IsZero(); i++ {
			post(g, "/pay/x", "")
			if s.reachedSince("p1", time.Time{}) > 0 {
				first = time.Now()
			}
		}
		for time.Since(first) < 3900*time.Millisecond {
			if w := post(g, "/pay/x", ""); w.Code != 200 {
				t.Fatalf("status %d while another target serves", w.Code)
			}
			time.Sleep(20 * time.Millisecond)
		}
		if n := s.reachedSince("p1", first.Add(500*time.Millisecond)); n > 0 {
			t.Errorf("%d requests reach the target while it wants none", n)
		}
		s.mu.Lock()
		s.seconds = nil
		s.mu.Unlock()
		counts := func(d time.Duration) int {
			from := time.Now()
			for time.Since(from) < d {
				post(g, "/pay/x", "")
				time.Sleep(5 * time.Millisecond)
			}
			return s.reachedSince("p1", from)
		}
		early := counts(600 * time.Millisecond)
		time.Sleep(3 * time.Second)
		if late := counts(600 * time.Millisecond); late < 30 || early > late*2/3 {
			t.Errorf("%d requests of 120 reach it around the end of the time, %d later", early, late)
		}
	})
}

// TestAllTargetsAskForQuiet guards against holding requests that surely can't be served, and against a Retry-After that is not
// the soonest time.
func TestAllTargetsAskForQuiet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &quietSender{seconds: map[string]int{"p1": 20, "p2": 12}, reached: map[string][]time.Time{}}
		g := testGateway(s)
		for range 4 {
			post(g, "/pay/x", "")
		}
		began, before := time.Now(), s.reachedSince("p1", time.Time{})+s.reachedSince("p2", time.Time{})
		w := post(g, "/pay/x", "")
		retry, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		if w.Code != 503 || time.Since(began) > 100*time.Millisecond {
			t.Errorf("status %d after %v, want 503 at once", w.Code, time.Since(began))
		}
		if err != nil || retry < 10 || retry > 13 {
			t.Errorf("Retry-After %q, want the 12 s of the target that can be asked first", w.Header().Get("Retry-After"))
		}
		if after := s.reachedSince("p1", time.Time{}) + s.reachedSince("p2", time.Time{}); after > before {
			t.Errorf("%d requests reach targets that want none", after-before)
		}
	})
}
