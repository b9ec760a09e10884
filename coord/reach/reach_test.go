package reach

import (
	"math/rand/v2"
	"testing"
	"time"
)

const ms = time.Millisecond

// lose has a tracker lose its way at a time, with probes that take 300 ms to fail.
func lose(t *Tracker, at time.Duration) {
	t.Failed(at)
	t.WantsProbes(at)
	t.Probed(at+300*ms, 0, ProbeTargets)
}

// regain has the probes of a cut-off tracker succeed at a time.
func regain(t *Tracker, at time.Duration) {
	t.WantsProbes(at)
	t.Probed(at+ms, ProbeTargets, 0)
}

// TestOneSilentTargetIsNoCut guards against taking the failure of one target for the loss of the way to all.
func TestOneSilentTargetIsNoCut(t *testing.T) {
	k := New()
	k.Failed(time.Second)
	if !k.WantsProbes(time.Second) {
		t.Fatal("no probes after a failure")
	}
	k.Probed(1100*ms, 1, ProbeTargets-1)
	if s := k.State(1100 * ms); s != Reaching || !k.Direct(1100*ms, 0.99) {
		t.Errorf("state %v after one of the probes was answered", s)
	}
	k.Failed(1200 * ms)
	k.WantsProbes(1200 * ms)
	k.Reached(1250*ms, 1260*ms) // by a request, while the probes hang
	k.Probed(1500*ms, 0, ProbeTargets)
	if s := k.State(1500 * ms); s != Reaching {
		t.Errorf("state %v although a request has reached a target since", s)
	}
}

// TestLossOfTheWayIsNoticed guards against a node that tries one target after the other.
func TestLossOfTheWayIsNoticed(t *testing.T) {
	k := New()
	k.Reached(900*ms, 900*ms)
	lose(k, time.Second)
	if s := k.State(1300 * ms); s != CutOff || k.Direct(1300*ms, 0) {
		t.Errorf("state %v, want cut off", s)
	}
}

// TestOlderConnectionsShowNothing guards against taking a connection that was asked for before the loss for one since.
func TestOlderConnectionsShowNothing(t *testing.T) {
	k := New()
	k.Failed(time.Second)
	k.Reached(990*ms, 1001*ms)
	if !k.failing {
		t.Error("the failure is forgotten for a connection that was asked for before it")
	}
}

// TestReturnIsGradual guards against a flock: all work comes back at the moment at which the way is good again.
func TestReturnIsGradual(t *testing.T) {
	k := New()
	lose(k, time.Second)
	regain(k, 5*time.Second)
	direct := func(at time.Duration) int {
		n := 0
		for i := range 100 {
			if k.Direct(at, float64(i)/100) {
				n++
			}
		}
		return n
	}
	if early, half, end := direct(5100*ms), direct(6*time.Second), direct(7100*ms); early > 20 || half < 40 || half > 70 || end != 100 {
		t.Errorf("%d, %d and %d of 100 go directly 0.1, 1 and 2.1 s after the return", early, half, end)
	}
	if s := k.State(7100 * ms); s != Reaching {
		t.Errorf("state %v at the end", s)
	}
}

// TestFlappingWayIsTrustedLess guards against work that follows each return of a way that comes and goes.
func TestFlappingWayIsTrustedLess(t *testing.T) {
	k := New()
	now := time.Second
	var times []time.Duration
	for range 4 {
		lose(k, now)
		regain(k, now+time.Second)
		times = append(times, k.returnTime)
		now += 2 * time.Second
	}
	if times[0] != minReturnTime || times[1] != 2*minReturnTime || times[3] != maxReturnTime {
		t.Errorf("return takes %v", times)
	}
	lose(k, now+time.Hour)
	if k.returnTime != minReturnTime {
		t.Errorf("return takes %v an hour later", k.returnTime)
	}
}

// TestFailuresBehindACutSayNothing guards against evidence on targets that a node gathers while it has lost its way.
func TestFailuresBehindACutSayNothing(t *testing.T) {
	k := New()
	if _, known := k.Confirms(time.Second, time.Second); known {
		t.Error("decided at once")
	}
	lose(k, time.Second)
	if confirmed, known := k.Confirms(time.Second, 1300*ms); confirmed || !known {
		t.Errorf("behind a cut: confirmed %v, known %v", confirmed, known)
	}
	k = New()
	k.Failed(time.Second)
	k.WantsProbes(time.Second)
	k.Probed(1003*ms, 3, 1)
	if confirmed, known := k.Confirms(time.Second, 1003*ms); !confirmed || !known {
		t.Errorf("at a target that crashed: confirmed %v, known %v", confirmed, known)
	}
}

// TestProbesAreFew limits the probes of a node: rounds while it is cut off or something fails, none otherwise.
func TestProbesAreFew(t *testing.T) {
	k := New()
	rounds := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * ms {
		k.Reached(now, now)
		if k.WantsProbes(now) {
			rounds++
		}
	}
	if rounds > 0 {
		t.Errorf("%d rounds of probes while nothing fails", rounds)
	}
	for now := time.Minute; now < 70*time.Second; now += 10 * ms {
		k.Failed(now)
		if k.WantsProbes(now) {
			rounds++
			k.Probed(now, 0, ProbeTargets)
		}
	}
	if rounds < 20 || rounds > 60 {
		t.Errorf("%d rounds of probes in ten seconds behind a cut", rounds)
	}
}

func TestChoose(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	if got := Choose([]string{"a", "b"}, rng.IntN); len(got) != 2 || got[0] == got[1] {
		t.Errorf("got %v", got)
	}
	if got := Choose([]string{"a", "b", "c", "d", "e", "f"}, rng.IntN); len(got) != ProbeTargets {
		t.Errorf("got %v", got)
	}
}
