package gateway

import (
	"testing"
	"testing/synctest"
	"time"
)

// Bounds of the users' rule for hosts that are cut off from all engines: of first tries, they serve at least
// strandedShare as often as the others, or no more than strandedSlack and a strandedFailures of all fail there.
const (
	strandedShare    = 2.0 / 3
	strandedSlack    = 10
	strandedFailures = 1.0 / 50
)

// checkStranded fails the test if hosts that are cut off from all engines serve requests sent in a span of time less than
// the rule demands.
func (f *engineFleet) checkStranded(stranded []int, from, to time.Duration) {
	f.t.Helper()
	isStranded := map[string]bool{}
	for _, i := range stranded {
		isStranded[f.hosts[i].net.Self().ID.Name] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var sent, began [2]int // at the others and at the stranded ones
	for _, o := range f.outcomes {
		if o.sentAt < from || o.sentAt >= to {
			continue
		}
		kind := 0
		if isStranded[o.host] {
			kind = 1
		}
		sent[kind]++
		if o.began {
			began[kind]++
		}
	}
	there, others := float64(began[1])/float64(max(1, sent[1])), float64(began[0])/float64(max(1, sent[0]))
	failed := sent[1] - began[1]
	f.t.Logf("hosts that are cut off began %d of %d requests, the others %d of %d", began[1], sent[1], began[0], sent[0])
	if there < strandedShare*others && float64(failed) > strandedSlack+strandedFailures*float64(sent[0]+sent[1]) {
		f.t.Errorf("hosts that are cut off from all engines began %.2f of their requests, the others %.2f", there, others)
	}
}

// TestHostsWithoutEnginesServe guards against callers of hosts that have lost their way to all engines being served far
// worse than those of the others.
func TestHostsWithoutEnginesServe(t *testing.T) {
	most, zone := []int{0, 1, 2, 3, 4}, []int{5, 6, 7}
	for _, c := range []struct {
		mode     cutMode
		stranded []int
	}{{cutHang, most}, {cutReset, most}, {cutRefuse, zone}, {cutHang, zone}} {
		t.Run(string(c.mode), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newEngineFleet(t, 8, 9, 1)
				f.play(5*time.Second, 60, 0, "")
				f.cutOff(c.mode, c.stranded...)
				cutAt := f.now()
				f.play(9*time.Second, 60, 0, "")
				f.checkStranded(c.stranded, cutAt+contactTime, f.now())
				f.endCuts()
				healed := f.now()
				f.play(5*time.Second, 60, 0, "")
				time.Sleep(5 * time.Second)
				if f.blamed > 0 {
					t.Errorf("%d failures of engines were reported; none has failed", f.blamed)
				}
				if share, n := f.shareBegun(healed+contactTime, f.now()); share < 0.95 {
					t.Errorf("%.2f of %d requests began after the cut", share, n)
				}
			})
		})
	}
}

// TestReachableEnginesAreNotGoneThroughHelpers is the control: hosts that reach engines pass nothing on, also while an
// engine crashes.
func TestReachableEnginesAreNotGoneThroughHelpers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngineFleet(t, 8, 9, 1)
		f.play(2*time.Second, 60, 0, "")
		f.crash("e1")
		f.play(5*time.Second, 60, 0, "")
		if f.relayed > 0 {
			t.Errorf("%d requests were passed on", f.relayed)
		}
	})
}

// TestAllHostsWithoutEngines covers a cut of all hosts: there is nobody to pass requests on to, and the end is noticed.
func TestAllHostsWithoutEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngineFleet(t, 4, 9, 1)
		f.play(2*time.Second, 30, 0, "")
		f.cutOff(cutHang, 0, 1, 2, 3)
		f.play(3*time.Second, 30, 0, "")
		before := f.relayed
		f.play(3*time.Second, 30, 0, "")
		if f.relayed > before {
			t.Errorf("%d requests were passed on to hosts that are cut off themselves", f.relayed-before)
		}
		f.endCuts()
		healed := f.now()
		f.play(5*time.Second, 30, 0, "")
		time.Sleep(5 * time.Second)
		if share, n := f.shareBegun(healed+contactTime, f.now()); share < 0.95 {
			t.Errorf("%.2f of %d requests began after the cut", share, n)
		}
	})
}

// TestCutThatComesAndGoes guards against requests that follow each return of a way that is lost again.
func TestCutThatComesAndGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngineFleet(t, 8, 9, 1)
		f.play(2*time.Second, 60, 0, "")
		from := f.now()
		for range 6 {
			f.cutOff(cutHang, 0, 1, 2, 3, 4)
			f.play(1500*time.Millisecond, 60, 0, "")
			f.endCuts()
			f.play(700*time.Millisecond, 60, 0, "")
		}
		f.checkStranded([]int{0, 1, 2, 3, 4}, from+contactTime, f.now())
		time.Sleep(6 * time.Second)
	})
}
