package crashcause

import (
	"fmt"
	"testing"
	"time"
)

const start = time.Hour

// script plays failures and completions on one tracker.
type script struct {
	t       *Tracker
	now     time.Duration
	targets int
}

func newScript() *script { return &script{t: New(), now: start} }

// fail has a new target break off a request with each list of parts, sent a moment ago.
func (s *script) fail(requests ...[]string) {
	s.now += 100 * time.Millisecond
	s.targets++
	for i, parts := range requests {
		s.t.RecordFailure(s.now, fmt.Sprint(s.targets, "/", i), parts, fmt.Sprint("target", s.targets), s.now-50*time.Millisecond)
	}
}

func (s *script) complete(n int, parts ...string) {
	for range n {
		s.now += 10 * time.Millisecond
		s.t.RecordCompletion(s.now, parts, "sound", s.now-5*time.Millisecond)
	}
}

func (s *script) evaluate() {
	s.now += 2 * settleTime
	s.t.Evaluate(s.now)
}

func never(string) bool { return false }

func (s *script) expect(t *testing.T, part string, blocked bool) {
	t.Helper()
	if got := s.t.Check(s.now, []string{part}, never) != ""; got != blocked {
		t.Errorf("%s: blocked %v, want %v", part, got, blocked)
	}
}

// TestCauseAmongSharedParts guards against blocking a part that the crashing requests share with sound ones.
func TestCauseAmongSharedParts(t *testing.T) {
	s := newScript()
	s.complete(20, "head")
	for i := range 3 {
		s.fail([]string{"head", "bad"}, []string{"head", fmt.Sprint("other", i%2)})
	}
	s.evaluate()
	s.expect(t, "bad", true)
	s.expect(t, "head", false)
	s.expect(t, "other0", false)
}

// TestPartsThatFailTogether guards against blocking only the wrong one of two parts with the same failures.
func TestPartsThatFailTogether(t *testing.T) {
	s := newScript()
	for range 3 {
		s.fail([]string{"head", "bad"}, []string{"head", "other"})
	}
	s.evaluate()
	s.expect(t, "bad", true)
	s.expect(t, "other", true)
	s.complete(1, "head", "other")
	s.expect(t, "other", false)
	s.expect(t, "bad", true)
}

// TestCauseWithoutHistory guards against the same at hosts that have just started and know of no completions.
func TestCauseWithoutHistory(t *testing.T) {
	s := newScript()
	for range 4 {
		s.fail([]string{"head", "bad"}, []string{"head"})
	}
	s.evaluate()
	s.expect(t, "bad", true)
	s.expect(t, "head", false)
}

// TestFailuresAtOnceAreOne guards against blocking a part that was in use at several targets that failed together.
func TestFailuresAtOnceAreOne(t *testing.T) {
	s := newScript()
	for i := range 9 {
		s.t.RecordFailure(s.now+time.Duration(i)*time.Millisecond, fmt.Sprint(i), []string{"part"}, fmt.Sprint(i), s.now-time.Second)
	}
	s.evaluate()
	s.expect(t, "part", false)
}

// TestManyTargetsCrashSideBySide guards against a cause that crashes all targets before any request is sent again.
func TestManyTargetsCrashSideBySide(t *testing.T) {
	s := newScript()
	s.complete(20, "head")
	for i := range 6 {
		s.t.RecordFailure(s.now+time.Duration(30*i)*time.Millisecond, fmt.Sprint(i), []string{"head", "bad"}, fmt.Sprint(i), s.now-time.Second)
	}
	s.evaluate()
	s.expect(t, "bad", true)
	s.expect(t, "head", false)
}

// TestCompletionStartsOver guards against counting failures that lie before a completion.
func TestCompletionStartsOver(t *testing.T) {
	s := newScript()
	for range 6 {
		s.fail([]string{"part"})
		s.fail([]string{"part"})
		s.complete(1, "part")
	}
	s.evaluate()
	s.expect(t, "part", false)
}

// TestTargetThatGoesOnHasNotCrashed guards against taking lost connections for crashes.
func TestTargetThatGoesOnHasNotCrashed(t *testing.T) {
	s := newScript()
	for range 5 {
		s.fail([]string{"part"})
		s.t.RecordCompletion(s.now+200*time.Millisecond, []string{"other"}, fmt.Sprint("target", s.targets), s.now+100*time.Millisecond)
	}
	s.evaluate()
	s.expect(t, "part", false)
}

// TestTargetThatWentOnIsKnownBeforeItsFailure guards against taking a lost connection for a crash because the news of it come after
// those of a request that the target completed since. What is kept for that is bounded.
func TestTargetThatWentOnIsKnownBeforeItsFailure(t *testing.T) {
	s := newScript()
	for i := range 4 {
		target := fmt.Sprint("busy", i)
		broke := s.now
		for range 1000 {
			s.now += time.Millisecond
			for range 3 {
				s.t.RecordCompletion(s.now, []string{"other"}, target, s.now-time.Millisecond/2)
			}
		}
		s.t.MergeReport(s.now, "host", &Evidence{Failures: []FailureRecord{{Part: "part", Target: target, SentMS: 1500, BrokeMS: ageMS(s.now, broke)}}})
		if n := len(s.t.alive[target].times); n > int(sendsKept/sendsSpacing)+1 {
			t.Errorf("%d times are kept of a target", n)
		}
	}
	s.evaluate()
	s.expect(t, "part", false)
}

// TestCrashedTargetsExplainOtherFailures guards against blocking the parts of requests that ran beside the crashing ones.
func TestCrashedTargetsExplainOtherFailures(t *testing.T) {
	s := newScript()
	s.complete(20, "head")
	for range 4 {
		s.fail([]string{"head", "bad"}, []string{"head", "rare"})
	}
	s.fail([]string{"head", "bad"})
	s.evaluate()
	s.expect(t, "bad", true)
	s.expect(t, "rare", false)
	s.now += time.Second
	s.evaluate()
	s.expect(t, "rare", false)
}

// TestPartThatTurnsBad covers a part that was sound before, as after an upgrade of the targets.
func TestPartThatTurnsBad(t *testing.T) {
	s := newScript()
	s.complete(10, "head", "part")
	for range 12 {
		s.complete(5, "head")
		s.fail([]string{"head", "part"})
	}
	s.evaluate()
	s.expect(t, "part", true)
	s.expect(t, "head", false)
}

// TestProbesGrowRarer guards against blocks without end, and against probes that crash one target after the other.
func TestProbesGrowRarer(t *testing.T) {
	s := newScript()
	for range 3 {
		s.fail([]string{"bad"})
	}
	s.evaluate()
	always := func(string) bool { return true }
	probes := []time.Duration{}
	for end := s.now + 10*time.Minute; s.now < end; s.now += 100 * time.Millisecond {
		if s.t.Check(s.now, []string{"bad"}, always) == "" {
			probes = append(probes, s.now-start)
			s.fail([]string{"bad"})
		}
	}
	if len(probes) < 2 || len(probes) > 4 || probes[0] < firstProbeWait {
		t.Errorf("probes after %v, want 2 to 4 in ten minutes, the first after %v", probes, firstProbeWait)
	}
	s.now += maxProbeWait
	if s.t.Check(s.now, []string{"bad"}, always) != "" {
		t.Fatal("no further probe")
	}
	s.complete(1, "bad")
	s.expect(t, "bad", false)
}

// TestBlockOutlastsRestart guards against all hosts forgetting what crashes targets when they restart together.
func TestBlockOutlastsRestart(t *testing.T) {
	s := newScript()
	for range 3 {
		s.fail([]string{"bad"})
	}
	s.evaluate()
	next := newScript()
	next.t.Restore(next.now, s.t.Blocks())
	next.expect(t, "bad", true)
	next.t.Restore(next.now, []StoredBlock{{Part: "unlikely", FailedProbes: 1 << 60}})
	if got := next.t.blocks["unlikely"].probeAt(); got != next.now+maxProbeWait {
		t.Errorf("probed after %v, want %v", got-next.now, maxProbeWait)
	}
}

// TestEvidenceReachesAllHosts guards against hosts that judge by their own failures only.
func TestEvidenceReachesAllHosts(t *testing.T) {
	const hosts = 4
	coordinator, now := New(), start
	var trackers []*Tracker
	up, down := make([]Cursor, hosts), make([]Cursor, hosts)
	for range hosts {
		trackers = append(trackers, New())
	}
	exchange := func() {
		for i, tr := range trackers {
			coordinator.MergeReport(now, fmt.Sprint(i), tr.Changes(now, &up[i], ToCoordinator))
			tr.MergeUpdate(now, coordinator.Changes(now, &down[i], ToHost))
			tr.Evaluate(now)
		}
	}
	for i := range 3 {
		now += 400 * time.Millisecond
		trackers[i].RecordFailure(now, fmt.Sprint(i), []string{"head", "bad"}, fmt.Sprint("target", i), now-100*time.Millisecond)
		for range 5 {
			trackers[(i+1)%hosts].RecordCompletion(now, []string{"head"}, "sound", now-100*time.Millisecond)
		}
		exchange()
	}
	for range 6 {
		now += 400 * time.Millisecond
		exchange()
		coordinator.Evaluate(now)
	}
	restarted := New()
	restarted.MergeUpdate(now, coordinator.Changes(now, &Cursor{}, ToHost))
	for i, tr := range append(trackers, restarted) {
		if bad, head := tr.Check(now, []string{"bad"}, never), tr.Check(now, []string{"head"}, never); bad == "" || head != "" {
			t.Errorf("host %d blocks %q and %q, want bad only", i, bad, head)
		}
	}
	for i, tr := range trackers {
		if e := tr.Changes(now, &up[i], ToCoordinator); e != nil && len(e.Failures) > 0 {
			t.Errorf("host %d reports %d failures again", i, len(e.Failures))
		}
	}
	coordinator.MergeReport(now, "0", &Evidence{Completions: []CompletionRecord{{Part: "bad", Weight: 1}}})
	trackers[1].MergeUpdate(now, coordinator.Changes(now+resendInterval, &down[1], ToHost))
	if trackers[1].Check(now, []string{"bad"}, never) != "" {
		t.Error("a completion at another host does not end the block")
	}
}

// TestFirstFailureIsReported guards against a host that has reported nothing yet leaving out its first failure.
func TestFirstFailureIsReported(t *testing.T) {
	tracker, cursor := New(), Cursor{}
	if e := tracker.Changes(start, &cursor, ToCoordinator); e != nil {
		t.Fatalf("got %+v before any failure", e)
	}
	tracker.RecordFailure(start, "request", []string{"part"}, "target", start-time.Second)
	if e := tracker.Changes(start, &cursor, ToCoordinator); e == nil || len(e.Failures) != 1 {
		t.Errorf("got %+v, want one failure", e)
	}
}

// TestLimitsOfMemory guards against callers who fill the memory of hosts with parts.
func TestLimitsOfMemory(t *testing.T) {
	s := newScript()
	for i := range 3 * maxParts {
		s.complete(1, fmt.Sprint("c", i))
		s.fail([]string{fmt.Sprint("f", i)})
	}
	if len(s.t.own) > maxParts || s.t.count > maxFailures || len(s.t.targets) > maxFailures {
		t.Errorf("%d completions, %d failures of %d targets", len(s.t.own), s.t.count, len(s.t.targets))
	}
}
