package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

// Bounds of the users' rules for parts of prompts that crash engines.
const (
	contactTime        = 3 * time.Second // in which hosts have to know of a crash
	crashesUntilBound  = 5               // crashes after which the bound holds
	mostRequestsBeyond = 3               // requests with the part that may reach engines after that
	mostSoundBlocked   = 4               // of 403 sound parts: 1 in 100
	leastSoundShare    = 0.5             // of the share of sound requests that begin in calm times
)

// checkCrashingPart fails the test if requests with a crashing part, which were sent from a time on, reached
// engines too often, or if too few sound requests began meanwhile.
func (f *engineFleet) checkCrashingPart(from, to time.Duration) {
	f.t.Helper()
	f.mu.Lock()
	crashes, reached := f.crashes, f.reached
	f.mu.Unlock()
	if len(crashes) == 0 {
		f.t.Fatal("no engine has crashed")
	}
	last := crashes[min(len(crashes), crashesUntilBound)-1]
	beyond := 0
	for _, at := range reached {
		if len(crashes) >= crashesUntilBound && at > last+contactTime {
			beyond++
		}
	}
	calm, _ := f.shareBegun(0, from)
	share, n := f.shareBegun(last+2*contactTime, to)
	if n := f.blockedParts(); n > mostSoundBlocked {
		f.t.Errorf("%d sound parts blocked, want %d at most", n, mostSoundBlocked)
	}
	f.t.Logf("%d engines crashed, %d requests with the part reached engines, %d of them beyond the bound; %.3f of %d sound requests began, %.3f before",
		len(crashes), len(reached), beyond, share, n, calm)
	if beyond > mostRequestsBeyond {
		f.t.Errorf("%d requests with the part reached engines after the fifth crash, want %d at most", beyond, mostRequestsBeyond)
	}
	if n < 20 || share < leastSoundShare*calm {
		f.t.Errorf("%.3f of %d sound requests began, want %.3f at least", share, n, leastSoundShare*calm)
	}
}

// TestPartThatCrashesEnginesIsStopped guards against requests with one part of a prompt that crashes engines, no two
// alike, being sent to one engine after the other.
func TestPartThatCrashesEnginesIsStopped(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 9, seed)
		f.play(8*time.Second, 60, 0, "")
		from := f.now()
		f.play(30*time.Second, 60, 8, "bad")
		f.checkCrashingPart(from, f.now())
	})
}

// TestCrashingPartWhileHostsRestart guards against hosts that forget, or never learn, what the others have found.
func TestCrashingPartWhileHostsRestart(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 9, seed)
		f.play(8*time.Second, 60, 0, "")
		from := f.now()
		f.play(time.Duration(seed)*300*time.Millisecond, 60, 8, "bad")
		for i := range 6 { // the coordinator is the first host that runs
			f.killHost(i)
			f.play(1500*time.Millisecond, 60, 8, "bad")
			f.startHost(i)
			f.play(2500*time.Millisecond, 60, 8, "bad")
		}
		f.play(6*time.Second, 60, 8, "bad")
		f.checkCrashingPart(from, f.now())
	})
}

// TestCrashingPartInLargeFleet guards against a fleet in which each host sees few of the requests losing more than a third of
// its engines before the part is found out.
func TestCrashingPartInLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newEngineFleet(t, 73, 60, 1)
		f.play(5*time.Second, 300, 0, "")
		from := f.now()
		f.play(16*time.Second, 300, 20, "bad")
		f.checkCrashingPart(from, f.now())
		if n := len(f.crashes); n > 60/3 {
			t.Errorf("%d of 60 engines crashed, want a third at most", n)
		}
	})
}

// TestFirstPartThatCrashesEngines covers a cause that stands before the parts that its requests share with sound ones.
func TestFirstPartThatCrashesEngines(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 9, seed)
		f.crashingFirst = true
		f.play(8*time.Second, 60, 0, "")
		from := f.now()
		f.play(20*time.Second, 60, 3, "bad")
		f.checkCrashingPart(from, f.now())
	})
}

// TestRequestWaitsWhileItsPartMayCrashTargets guards against putting further targets at risk while it is not known yet
// whether a part crashes them. The control has a part that was completed since.
func TestRequestWaitsWhileItsPartMayCrashTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedSender{}
		for range 2 {
			s.responses = append(s.responses, respond(http.StatusOK, firstEvent))
		}
		g := testGateway(s)
		for i := range 2 {
			g.opts.Parts.RecordFailure(fmt.Sprint(i), []string{"part", "sound"}, fleet.Target{ID: fmt.Sprint("lost", i)}, g.opts.Now())
		}
		g.opts.Parts.RecordCompletion([]string{"sound"}, fleet.Target{ID: "e1"}, g.opts.Now())
		for parts, waits := range map[string]bool{"sound": false, "part": true} {
			began := time.Now()
			r := newPost("/stream/x", "m", "a1")
			r.Header.Set("Parts", parts)
			if w := serve(g, r); w.Code != http.StatusOK {
				t.Errorf("%s: status %d, want 200", parts, w.Code)
			}
			if waited := time.Since(began); waits != (waited >= 500*time.Millisecond) || waited > 3*time.Second {
				t.Errorf("%s: served after %v, should wait: %v", parts, waited, waits)
			}
		}
	})
}

// TestEngineFailuresAreKnownToAllHosts guards against news of crashes that come later than the next crash.
func TestEngineFailuresAreKnownToAllHosts(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 9, seed)
		f.play(3*time.Second, 60, 0, "")
		f.hosts[seed].client.ReportEngineFailure(coordinator.EngineFailureID("request", "attempt"))
		time.Sleep(500 * time.Millisecond)
		for i, h := range f.hosts {
			if n := h.client.EngineFailures("request"); n != 1 {
				t.Errorf("host %d knows of %d failures half a second later, want 1", i, n)
			}
		}
	})
}

// forSeeds runs a test in fake time with each of five seeds.
func forSeeds(t *testing.T, test func(t *testing.T, seed uint64)) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test(t, seed) })
		})
	}
}

// TestSoundPartsAreServedWhileEnginesCrash is the control: engines that crash for another reason stop no part.
func TestSoundPartsAreServedWhileEnginesCrash(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 9, seed)
		f.play(5*time.Second, 60, 0, "")
		from := f.now()
		for range 8 {
			f.crashSome(3)
			f.playWithoutBlocks(3500*time.Millisecond, 60)
		}
		if share, n := f.shareBegun(from, f.now()); share < 0.9 {
			t.Errorf("%.3f of %d sound requests began, want 0.9 at least", share, n)
		}
	})
}

// TestSoundPartsAreServedWhileResponsesBreak is the control for connections that are lost while the engines go on.
func TestSoundPartsAreServedWhileResponsesBreak(t *testing.T) {
	forSeeds(t, func(t *testing.T, seed uint64) {
		f := newEngineFleet(t, 8, 9, seed)
		f.play(5*time.Second, 60, 0, "")
		f.setBreakShare(0.4)
		from := f.now()
		f.playWithoutBlocks(20*time.Second, 60)
		f.setBreakShare(0)
		f.playWithoutBlocks(time.Second, 60)
		if share, n := f.shareBegun(from, f.now()); share < 0.9 {
			t.Errorf("%.3f of %d sound requests began, want 0.9 at least", share, n)
		}
	})
}

// playWithoutBlocks sends sound requests, and fails the test if a host blocks a part meanwhile, be it for a moment.
func (f *engineFleet) playWithoutBlocks(d time.Duration, perSecond float64) {
	f.t.Helper()
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		f.play(step, perSecond, 0, "")
		if n := f.blockedParts(); n > 0 {
			f.t.Errorf("%d sound parts blocked", n)
		}
	}
}

// blockedParts returns the largest number of sound parts that a host refuses.
func (f *engineFleet) blockedParts() int {
	most := 0
	for _, h := range f.hosts {
		n := 0
		for i := range soundHeads + soundDocuments {
			if part := soundPart(i); h.parts.Check([]string{part}, false) != "" {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// crashSome ends the first n engines that serve, in the order of their IDs.
func (f *engineFleet) crashSome(n int) {
	f.mu.Lock()
	var ids []string
	for id := range f.engines {
		ids = append(ids, id)
	}
	f.mu.Unlock()
	f.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	for _, id := range ids[:min(n, len(ids))] {
		f.crash(id)
	}
}
