package config

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

// cutOff separates hosts from the others and from the API, or joins them again.
func (f *fleet) cutOff(group map[int]bool, cut bool) {
	names := map[string]bool{}
	for i, h := range f.hosts {
		names[h.name] = cut && group[i]
	}
	f.members.mu.Lock()
	f.members.cut = names
	f.members.mu.Unlock()
	for i, h := range f.hosts {
		if group[i] {
			h.setFaults(objectapi.Faults{Down: cut})
		}
		for j, other := range f.hosts {
			if group[i] && !group[j] {
				f.net.SetBlocked(h.name, other.name, cut)
			}
		}
	}
}

func (f *fleet) accepting() string {
	s := ""
	for _, h := range f.hosts {
		s += map[bool]string{true: "+", false: "-"}[h.Accepting()]
	}
	return s
}

func keyInstance(hash string) Instance {
	return Instance{Template: "key", Params: map[string]json.RawMessage{
		"team": json.RawMessage(`"base"`), "hash": json.RawMessage(`"` + hash + `"`),
	}}
}

// TestIsolation checks who goes on accepting, and what the operator is told,
// in each kind of cut.
func TestIsolation(t *testing.T) {
	all := map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true, 6: true, 7: true}
	tests := []struct {
		name     string
		cut      map[int]bool
		want     string // who accepts a minute later
		inForce  bool
		waiting  int
		restart  int // a host that restarts during the cut, -1 for none
		apiForQ  bool
		wantTime time.Duration // at most until the change is in force
	}{
		{"nobody cut off", nil, "++++++++", true, 0, -1, true, 3 * time.Second},
		{"one host", map[int]bool{3: true}, "+++-++++", true, 1, -1, true, ackLimit + 2*time.Second},
		{"a group that can confirm each other", map[int]bool{3: true, 4: true}, "++++++++", false, 2, -1, true, 0},
		{"API down for all", all, "++++++++", false, 0, -1, false, 0},
		{"API down for all, one host restarts", all, "++++++++", false, 0, 5, false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, end := testContext(t)
				defer end()
				f := newFleet(t, ctx, 8, 1)
				f.put("base", teamInstance("base", 1))
				time.Sleep(5 * time.Second)
				f.cutOff(tt.cut, true)
				var changed platform.Version
				if tt.apiForQ {
					changed = f.put("late", teamInstance("late", 1))
				}
				took := f.followChange(changed, time.Minute)
				if tt.restart >= 0 {
					f.restart(tt.restart, 2)
					f.hosts[tt.restart].setFaults(objectapi.Faults{Down: true})
					time.Sleep(10 * time.Second)
				}
				if got := f.accepting(); got != tt.want {
					t.Errorf("accepting %s, want %s", got, tt.want)
				}
				p := f.hosts[0].KnownProgress(changed)
				if tt.apiForQ && (p.InForce != tt.inForce || len(p.Waiting) != tt.waiting) {
					t.Errorf("progress %+v, want in force %t, %d waiting", p, tt.inForce, tt.waiting)
				}
				if tt.inForce && took > tt.wantTime {
					t.Errorf("in force after %v, want at most %v", took, tt.wantTime)
				}
				f.cutOff(tt.cut, false)
				time.Sleep(10 * time.Second)
				if got := f.accepting(); got != "++++++++" {
					t.Errorf("after the cut accepting %s", got)
				}
			})
		})
	}
}

// followChange asks host 0 for progress for the given time, and returns when
// the change was in force.
func (f *fleet) followChange(version platform.Version, limit time.Duration) time.Duration {
	start := time.Now()
	took := limit
	for time.Since(start) < limit {
		if version > 0 && took == limit && f.hosts[0].Progress(f.ctx, version).InForce {
			took = time.Since(start)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return took
}

// TestWithdrawnKeyStaysWithdrawn withdraws keys under random cuts and restarts,
// half of the seeds with calls lost, repeated and late by up to 1.6 s. Once a host reports a withdrawal as in force, no host may accept
// that key again.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	accepted, pending := 0, 0
	for seed := range uint64(seeds(15)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, p := runWithdrawals(t, seed)
				accepted += a
				pending += p
			})
		})
	}
	t.Logf("%d withdrawals accepted, %d pending", accepted, pending)
}

func runWithdrawals(t *testing.T, seed uint64) (accepted, pending int) {
	ctx, end := testContext(t)
	defer end()
	rng := rand.New(rand.NewPCG(seed, 11))
	f := newFleet(t, ctx, 8, seed)
	if seed%2 == 0 {
		f.net.SetFaults(peertest.Faults{LoseCall: 0.05, LoseAnswer: 0.05, Duplicate: 0.05, MaxDelay: 800 * time.Millisecond})
	}
	f.put("base", teamInstance("base", 1))
	time.Sleep(5 * time.Second)
	withdrawn := map[string]bool{}
	for step := range 12 {
		hash := HashKey(fmt.Sprint(seed, step))
		f.put(hash, keyInstance(hash))
		f.watchKeys(withdrawn, 3*time.Second)
		group := map[int]bool{}
		for range rng.IntN(4) {
			group[1+rng.IntN(7)] = true
		}
		f.cutOff(group, true)
		f.watchKeys(withdrawn, time.Duration(rng.IntN(4000))*time.Millisecond)
		version := f.put(hash, Instance{Withdrawn: true})
		if rng.IntN(3) == 0 {
			i := 1 + rng.IntN(7)
			f.restart(i, seed+uint64(step))
			f.hosts[i].setFaults(objectapi.Faults{Down: group[i]})
		}
		if f.awaitAccepted(withdrawn, version) {
			withdrawn[hash] = true
			accepted++
		} else {
			pending++
		}
		f.watchKeys(withdrawn, time.Duration(rng.IntN(8000))*time.Millisecond)
		f.cutOff(group, false)
		f.watchKeys(withdrawn, 5*time.Second)
	}
	return accepted, pending
}

// awaitAccepted asks host 0, which reaches the API, for up to 15 s.
func (f *fleet) awaitAccepted(withdrawn map[string]bool, version platform.Version) bool {
	for start := time.Now(); time.Since(start) < 15*time.Second; {
		if f.hosts[0].Progress(f.ctx, version).InForce {
			return true
		}
		f.watchKeys(withdrawn, 100*time.Millisecond)
	}
	return false
}

// watchKeys checks for a time that no host accepts a withdrawn key.
func (f *fleet) watchKeys(withdrawn map[string]bool, d time.Duration) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(50 * time.Millisecond) {
		for _, h := range f.hosts {
			for hash := range withdrawn {
				if h.Accepting() && h.Snapshot().Keys[hash] != nil {
					f.t.Fatalf("%s accepts a key whose withdrawal was accepted", h.name)
				}
			}
		}
	}
}
