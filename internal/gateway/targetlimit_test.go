package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/target"
)

// Bounds of the users' rule for engines that name a limit.
const (
	limitWindow  = 4 * time.Second
	toldTime     = 500 * time.Millisecond // from the first response that names a limit until a host is bound by it
	limitOverage = 1.5
	limitSlack   = 5 // requests
)

// checkLimit fails the test if an engine got more requests in a window than its limit allows. Windows end after the
// contact time from the first response that named the limit, and may begin before.
func (f *engineFleet) checkLimit(id string, limit float64, named time.Duration) {
	f.t.Helper()
	f.mu.Lock()
	arrivals := f.arrivals[id]
	f.mu.Unlock()
	most, first := 0, 0
	for i, at := range arrivals {
		for arrivals[first] < max(at-limitWindow, named+toldTime) && first < i {
			first++
		}
		if at >= named+contactTime {
			most = max(most, i-first+1)
		}
	}
	allowed := limitOverage*limitWindow.Seconds()*limit + limitSlack
	f.t.Logf("engine %s, limit %v: %d requests in %v at most, %.0f allowed", id, limit, most, limitWindow, allowed)
	if float64(most) > allowed {
		f.t.Errorf("engine %s, limit %v: %d requests in %v, %.0f allowed", id, limit, most, limitWindow, allowed)
	}
}

// arrivedSince returns the number of requests that reached an engine since a time.
func (f *engineFleet) arrivedSince(id string, from time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.arrivals[id] {
		if at >= from {
			n++
		}
	}
	return n
}

// checkBegun fails the test if less than a share of the sound requests began since a time.
func (f *engineFleet) checkBegun(from time.Duration, least float64) {
	f.t.Helper()
	if share, n := f.shareBegun(from, f.now()); share < least {
		f.t.Errorf("%.3f of %d requests began, want %.2f at least", share, n, least)
	}
}

// TestLimitOfEngineIsKept guards against an engine in need getting as many requests as all others, and against it
// getting no more once it is well.
func TestLimitOfEngineIsKept(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 9, seed)
		f.play(5*time.Second, 75, 0, "")
		named := f.now()
		f.nameLimit("e1", 1.9)
		f.nameLimit("e2", 3.3)
		f.play(20*time.Second, 75, 0, "")
		f.checkLimit("e1", 1.9, named)
		f.checkLimit("e2", 3.3, named)
		f.nameLimit("e1", 0)
		f.play(4*time.Second, 75, 0, "")
		well := f.now()
		f.play(4*time.Second, 75, 0, "")
		if n := f.arrivedSince("e1", well); n < 4*75/9/2 {
			t.Errorf("%d requests reached the engine in 4 s after it was well, want half of its share at least", n)
		}
		f.checkBegun(named, 0.98)
	})
}

// TestLimitOfOnlyEngines guards against requests that get no answer where all engines name a limit, and against limits
// that are not used.
func TestLimitOfOnlyEngines(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		const limit = 4.0
		f := newEngineFleet(t, 8, 3, seed)
		f.play(5*time.Second, 24, 0, "")
		named := f.now()
		for _, id := range []string{"e1", "e2", "e3"} {
			f.nameLimit(id, limit)
		}
		f.play(20*time.Second, 24, 0, "")
		for _, id := range []string{"e1", "e2", "e3"} {
			f.checkLimit(id, limit, named)
		}
		f.checkBegun(named+contactTime, 0.9*3*limit/24)
	})
}

// TestLimitOfEngineWhileHostsRestart guards against hosts that share a limit anew with each coordinator.
func TestLimitOfEngineWhileHostsRestart(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 9, seed)
		f.play(5*time.Second, 75, 0, "")
		named := f.now()
		f.nameLimit("e1", 1.9)
		f.nameLimit("e2", 8)
		f.play(time.Duration(seed)*300*time.Millisecond, 75, 0, "")
		for i := range 5 { // the coordinator is the first host that runs
			f.killHost(i)
			f.play(1500*time.Millisecond, 75, 0, "")
			f.startHost(i)
			f.play(1500*time.Millisecond, 75, 0, "")
		}
		f.checkLimit("e1", 1.9, named)
		f.checkLimit("e2", 8, named)
	})
}

// TestLimitOfEngineWhileHostsAreCut guards against two coordinators that issue the whole limit each.
func TestLimitOfEngineWhileHostsAreCut(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 3, seed)
		f.play(5*time.Second, 24, 0, "")
		named := f.now()
		ids := []string{"e1", "e2", "e3"}
		for _, id := range ids {
			f.nameLimit(id, 4)
		}
		for _, cut := range []bool{true, false, true, false} {
			for a := range 4 {
				for b := 4; b < 8; b++ {
					f.network.SetBlocked(fmt.Sprint("h", a), fmt.Sprint("h", b), cut)
				}
			}
			f.play(5*time.Second, 24, 0, "")
		}
		for _, id := range ids {
			f.checkLimit(id, 4, named)
		}
	})
}

// TestLimitOfEngineInLargeFleet covers a limit with less than one request in ten seconds for each host.
func TestLimitOfEngineInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngineFleet(t, 73, 20, 1)
		f.play(3*time.Second, 400, 0, "")
		named := f.now()
		f.nameLimit("e1", 1.9)
		f.nameLimit("e2", 6)
		f.play(12*time.Second, 400, 0, "")
		f.checkLimit("e1", 1.9, named)
		f.checkLimit("e2", 6, named)
		f.checkBegun(named, 0.98)
	})
}

// TestLimitOfAnotherTargetIsIgnored guards against the limit of the target that now has a former one's address.
func TestLimitOfAnotherTargetIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		misdirected := func(target.ForwardRequest) (*target.ForwardResponse, error) {
			return &target.ForwardResponse{Status: http.StatusMisdirectedRequest, Header: http.Header{"Not-Run": {"1"}, "Limit": {"0.1"}}, Body: http.NoBody}, nil
		}
		s := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){misdirected, respond(http.StatusOK, firstEvent)}}
		g := testGateway(s)
		setEngines(g, map[string]string{"e1": "v1"})
		g.opts.RequestPermit = func(_ context.Context, r coordinator.PermitRequest) coordinator.Permit {
			t.Errorf("a permit is requested for %s", r.Target.ID)
			return coordinator.Permit{Granted: true}
		}
		if w := post(g, "/stream/x", "m"); w.Code != http.StatusOK {
			t.Errorf("status %d, want 200", w.Code)
		}
	})
}
