package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSingleHolder runs processes with failing writes, pauses and clocks of
// different rates, and checks that no two hold the lease at the same time.
func TestSingleHolder(t *testing.T) {
	for seed := range uint64(300) {
		heldSteps, err := simulateContenders(rand.New(rand.NewPCG(seed, 1)), 500*time.Millisecond)
		if err != "" {
			t.Fatalf("seed %d: %s", seed, err)
		}
		if heldSteps == 0 {
			t.Fatalf("seed %d: no process ever held the lease", seed)
		}
	}
}

// TestDriftMarginNeeded checks that the simulation detects two holders when the
// drift margin is 0.
func TestDriftMarginNeeded(t *testing.T) {
	for seed := range uint64(300) {
		if _, err := simulateContenders(rand.New(rand.NewPCG(seed, 1)), 0); err != "" {
			return
		}
	}
	t.Fatal("no run without a drift margin has two holders")
}

type process struct {
	l         *Lease
	clockRate float64 // local clock per unit of real time
	resumeAt  time.Duration
}

func (p *process) clock(now time.Duration) time.Duration {
	return time.Duration(float64(now) * p.clockRate)
}

// simulateContenders lets three processes compete for a lease for a minute of
// simulated time. It returns the number of steps at which one held the lease, and the
// violation found, empty if none.
func simulateContenders(rng *rand.Rand, driftMargin time.Duration) (int, string) {
	const step = 10 * time.Millisecond
	var rec Record
	var version uint64
	var lastEpoch uint64
	heldSteps := 0
	ps := make([]*process, 3)
	for i := range ps {
		cfg := Config{Holder: fmt.Sprint(i), TTL: 2 * time.Second, DriftMargin: driftMargin, RenewInterval: 500 * time.Millisecond}
		ps[i] = &process{l: New(cfg), clockRate: 0.9 + 0.1*rng.Float64()}
	}
	for now := step; now < time.Minute; now += step {
		for _, p := range ps {
			if now < p.resumeAt {
				continue
			}
			if rng.Float64() < 0.002 {
				p.resumeAt = now + time.Duration(rng.Int64N(int64(5*time.Second)))
			}
			local := p.clock(now)
			if rng.Float64() < 0.2 {
				p.l.Observe(local, rec, version)
			}
			w, due := p.l.Next(local)
			if !due {
				continue
			}
			switch x := rng.Float64(); {
			case w.Version != version:
				p.l.Finish(Conflict, 0)
			case x < 0.1:
				p.l.Finish(Failed, 0)
			default:
				if w.Record.Epoch < lastEpoch {
					return heldSteps, "the epoch decreased"
				}
				lastEpoch = w.Record.Epoch
				rec, version = w.Record, version+1
				if x < 0.2 {
					p.l.Finish(Unknown, 0)
					continue
				}
				p.l.Finish(Written, version)
			}
		}
		holders := 0
		for _, p := range ps {
			if _, ok := p.l.Held(p.clock(now)); ok {
				holders++
			}
		}
		if holders > 1 {
			return heldSteps, fmt.Sprintf("%v: %d holders", now, holders)
		}
		heldSteps += holders
	}
	return heldSteps, ""
}

func TestReleaseAndExpireOther(t *testing.T) {
	a := New(Config{Holder: "a", TTL: 10 * time.Second, DriftMargin: time.Second, RenewInterval: time.Second})
	b := New(Config{Holder: "b", TTL: 10 * time.Second, DriftMargin: time.Second, RenewInterval: time.Second})
	a.Observe(0, Record{}, 0)
	w, ok := a.Next(0)
	if !ok || w.Record.Epoch != 1 {
		t.Fatalf("first write: %+v %v", w, ok)
	}
	a.Finish(Written, 1)
	b.Observe(0, w.Record, 1)
	if _, ok := b.Next(5 * time.Second); ok {
		t.Fatal("taken over while another process holds it")
	}
	b.ExpireOther()
	if w, ok := b.Next(5 * time.Second); !ok || w.Record.Epoch != 2 {
		t.Fatalf("takeover after ExpireOther: %+v %v", w, ok)
	}
	b.Finish(Written, 2)
	r, ok := b.Release(6 * time.Second)
	if !ok || r.Record.Holder != "" || r.Version != 2 {
		t.Fatalf("Release: %+v %v", r, ok)
	}
	if _, held := b.Held(6 * time.Second); held {
		t.Fatal("held after Release")
	}
}
