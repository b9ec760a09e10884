package gateway

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// budgetFleet is a fleet of hosts with retry budgets. It records the requests and retries of all of them.
type budgetFleet struct {
	clock
	bounds   fleet.Bounds
	budgets  []*RetryBudget
	requests []time.Duration
	retries  []time.Duration
}

func newBudgetFleet(hosts int) *budgetFleet {
	f := &budgetFleet{clock: clock{now: time.Hour}, bounds: testBounds(), budgets: make([]*RetryBudget, hosts)}
	f.bounds.RetryExtra = 200
	f.restart()
	f.now += 2 * f.bounds.RetryWindow // the hosts have run for a while
	return f
}

// restart replaces the processes of all hosts.
func (f *budgetFleet) restart() {
	for i, before := range f.budgets {
		f.budgets[i] = NewRetryBudget(f.bounds, together(len(f.budgets)), f.Now)
		if before != nil {
			f.budgets[i].SetPredecessor(f.now - before.startedAt)
		}
	}
}

// play sends requests at a rate to each host. While targets fail, each is retried as often as the budget allows.
func (f *budgetFleet) play(d time.Duration, perSecond float64, targetsFail bool) {
	gap := time.Duration(float64(time.Second) / perSecond)
	for end := f.now + d; f.now < end; f.now += gap {
		for _, b := range f.budgets {
			b.CountRequest("s")
			f.requests = append(f.requests, f.now)
			for targetsFail {
				if _, ok := b.Charge("s"); !ok {
					break
				}
				f.retries = append(f.retries, f.now)
			}
		}
	}
}

// checkBudget checks the platform's rule: in no window more retries than a ratio of the requests and a fixed number. The
// requests are those of the window, of the one before it or of the one half a window before it, whichever has most.
func (f *budgetFleet) checkBudget(t *testing.T) {
	t.Helper()
	within := func(times []time.Duration, start time.Duration) int {
		first, _ := slices.BinarySearch(times, start)
		last, _ := slices.BinarySearch(times, start+f.bounds.RetryWindow)
		return last - first
	}
	for start := f.retries[0] - f.bounds.RetryWindow; start < f.now; start += 20 * time.Millisecond {
		requests := max(within(f.requests, start), within(f.requests, start-f.bounds.RetryWindow), within(f.requests, start-f.bounds.RetryWindow/2))
		allowed := f.bounds.RetryRatio*float64(requests) + f.bounds.RetryExtra
		if retries := within(f.retries, start); float64(retries) > allowed {
			t.Errorf("%d retries in a window for %d requests, want at most %.0f", retries, requests, allowed)
			return
		}
	}
}

// TestRetriesWhileAllHostsRestart guards against processes that grant anew what their predecessors have spent: repeats pile up
// at targets that fail while hosts restart.
func TestRetriesWhileAllHostsRestart(t *testing.T) {
	for _, between := range []time.Duration{time.Second, 4 * time.Second} {
		for _, perSecond := range []float64{1, 5, 40} {
			f := newBudgetFleet(80)
			f.play(12*time.Second, perSecond, false)
			f.play(5*time.Second, perSecond, true)
			for range 5 {
				f.restart()
				f.play(between, perSecond, true)
			}
			f.checkBudget(t)
		}
	}
}

// TestRestartedHostRetries guards against a host that sends nothing again for seconds after its start: a stream that breaks off
// then is lost. It is the control for the test above.
func TestRestartedHostRetries(t *testing.T) {
	f := newBudgetFleet(80)
	f.play(12*time.Second, 5, true)
	f.restart()
	for i, b := range f.budgets {
		b.CountRequest("s")
		if _, ok := b.Charge("s"); !ok {
			t.Fatalf("host %d may not retry its first request", i)
		}
	}
	if _, ok := f.budgets[0].Charge("s"); ok {
		t.Error("a host may retry its first request twice")
	}
}

// TestRetryBurstsLessThanAWindowApart guards against a host that forgets retries before the window of the rule has passed: two
// failures of targets nine seconds apart get the whole budget each.
func TestRetryBurstsLessThanAWindowApart(t *testing.T) {
	for _, between := range []time.Duration{9 * time.Second, 9800 * time.Millisecond} {
		for offset := time.Duration(0); offset < time.Second; offset += 50 * time.Millisecond {
			f := newBudgetFleet(8)
			f.play(12*time.Second+offset, 20, false)
			f.play(100*time.Millisecond, 20, true)
			f.play(between, 20, false)
			f.play(100*time.Millisecond, 20, true)
			f.checkBudget(t)
		}
	}
}

// TestRetryThatReachesNoTargetIsFree guards against a budget that is spent by connections that fail: callers are refused for retries
// that nobody made.
func TestRetryThatReachesNoTargetIsFree(t *testing.T) {
	unreachable := func(target.ForwardRequest) (*target.ForwardResponse, error) {
		return nil, &target.UnreachableError{Cause: resetError{}}
	}
	sender := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){shed, unreachable, respond(200, "id: 1\ndata: a\n\n")}}
	g := testGateway(sender)
	if w := post(g, "/stream/x", "m"); w.Code != http.StatusOK {
		t.Errorf("status %d", w.Code)
	}
	if got := g.opts.Budget.State("llm").Retries; got != 1 {
		t.Errorf("%.0f retries are counted, want 1", got)
	}
}

// TestRequestIsRefusedOnceItMayNotBeSent guards against a request that tries one target after the other, and spends the budget,
// although the host may send it to none.
func TestRequestIsRefusedOnceItMayNotBeSent(t *testing.T) {
	sender := &scriptedSender{responses: []func(target.ForwardRequest) (*target.ForwardResponse, error){respond(200, "id: 1\ndata: a\n\n")}}
	g := testGateway(sender)
	asked := 0
	g.opts.CurrentConfig = func() (fleet.Dated[*fleet.Config], bool) {
		current := fleet.Dated[*fleet.Config]{Copy: g.opts.View.Config(), CurrentAt: g.opts.Now()}
		if asked++; asked > 1 { // after the request has come
			current.CurrentAt -= g.opts.Bounds.Revoke
		}
		return current, true
	}
	began := g.opts.Now()
	w := post(g, "/stream/x", "m")
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" || len(sender.sent) > 0 || g.opts.Now()-began > time.Second {
		t.Errorf("status %d, Retry-After %q, %d sends after %v, want 503 at once", w.Code, w.Header().Get("Retry-After"), len(sender.sent), g.opts.Now()-began)
	}
	if got := g.opts.Budget.State("llm").Retries; got != 0 {
		t.Errorf("%.0f retries are counted, want none", got)
	}
}
