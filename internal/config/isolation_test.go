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

// setCutOff separates a group of hosts from the others and from the API, or reconnects it.
func (f *fleet) setCutOff(group map[int]bool, cutOff bool) {
	names := map[string]bool{}
	for i, h := range f.hosts {
		names[h.name] = cutOff && group[i]
	}
	f.members.mu.Lock()
	f.members.cutOff = names
	f.members.mu.Unlock()
	for i, h := range f.hosts {
		if group[i] {
			h.setFaults(objectapi.Faults{Down: cutOff})
		}
		for j, other := range f.hosts {
			if group[i] && !group[j] {
				f.net.SetBlocked(h.name, other.name, cutOff)
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

// TestIsolation checks which hosts go on accepting requests, and which progress of a
// change is reported, while some hosts are cut off or the API is down.
func TestIsolation(t *testing.T) {
	all := map[int]bool{0: true, 1: true, 2: true, 3: true, 4: true, 5: true, 6: true, 7: true}
	tests := []struct {
		name         string
		cutOff       map[int]bool
		want         string // hosts that accept requests a minute later: + yes, - no
		inForce      bool
		waiting      int
		restart      int // index of a host that restarts meanwhile, -1 for none
		submitChange bool
		wantTime     time.Duration // longest time until the change is in force
	}{
		{"nobody cut off", nil, "++++++++", true, 0, -1, true, 3 * time.Second},
		{"one host", map[int]bool{3: true}, "+++-++++", true, 1, -1, true, isolationTimeout + 2*time.Second},
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
				f.setCutOff(tt.cutOff, true)
				var changed platform.Version
				if tt.submitChange {
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
				if tt.submitChange && (p.InForce != tt.inForce || len(p.Waiting) != tt.waiting) {
					t.Errorf("progress %+v, want in force %t, %d waiting", p, tt.inForce, tt.waiting)
				}
				if tt.inForce && took > tt.wantTime {
					t.Errorf("in force after %v, want at most %v", took, tt.wantTime)
				}
				f.setCutOff(tt.cutOff, false)
				time.Sleep(10 * time.Second)
				if got := f.accepting(); got != "++++++++" {
					t.Errorf("after the reconnection: accepting %s, want all", got)
				}
			})
		})
	}
}

// followChange asks host 0 for the progress of a change during limit, and returns the
// time until the change was in force, or limit.
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

// TestWithdrawnKeyStaysWithdrawn withdraws keys while random hosts are cut off or
// restart. With half of the seeds, calls are also lost, repeated and delayed by up to
// 1.6 s. Once a host has reported a withdrawal as in force, no host may accept that key
// again.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	inForce, pending := 0, 0
	for seed := range uint64(seeds(15)) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, p := runWithdrawals(t, seed)
				inForce += a
				pending += p
			})
		})
	}
	t.Logf("%d withdrawals in force, %d pending", inForce, pending)
}

func runWithdrawals(t *testing.T, seed uint64) (inForce, pending int) {
	ctx, end := testContext(t)
	defer end()
	rng := rand.New(rand.NewPCG(seed, 11))
	f := newFleet(t, ctx, 8, seed)
	if seed%2 == 0 {
		f.net.SetFaults(peertest.Faults{LoseCall: 0.05, LoseReply: 0.05, Duplicate: 0.05, MaxDelay: 800 * time.Millisecond})
	}
	f.put("base", teamInstance("base", 1))
	time.Sleep(5 * time.Second)
	withdrawn := map[string]bool{}
	for step := range 12 {
		hash := HashKey(fmt.Sprint(seed, step))
		f.put(hash, keyInstance(hash))
		f.checkKeysRefused(withdrawn, 3*time.Second)
		group := map[int]bool{}
		for range rng.IntN(4) {
			group[1+rng.IntN(7)] = true
		}
		f.setCutOff(group, true)
		f.checkKeysRefused(withdrawn, time.Duration(rng.IntN(4000))*time.Millisecond)
		version := f.put(hash, Instance{Withdrawn: true})
		if rng.IntN(3) == 0 {
			i := 1 + rng.IntN(7)
			f.restart(i, seed+uint64(step))
			f.hosts[i].setFaults(objectapi.Faults{Down: group[i]})
		}
		if f.awaitInForceAtHost0(withdrawn, version) {
			withdrawn[hash] = true
			inForce++
		} else {
			pending++
		}
		f.checkKeysRefused(withdrawn, time.Duration(rng.IntN(8000))*time.Millisecond)
		f.setCutOff(group, false)
		f.checkKeysRefused(withdrawn, 5*time.Second)
	}
	return inForce, pending
}

// awaitInForceAtHost0 asks host 0, which reaches the API, for up to 15 s whether a
// change is in force. Meanwhile it checks the withdrawn keys.
func (f *fleet) awaitInForceAtHost0(withdrawn map[string]bool, version platform.Version) bool {
	for start := time.Now(); time.Since(start) < 15*time.Second; {
		if f.hosts[0].Progress(f.ctx, version).InForce {
			return true
		}
		f.checkKeysRefused(withdrawn, 100*time.Millisecond)
	}
	return false
}

// checkKeysRefused checks for the duration d that no host accepts a withdrawn key.
func (f *fleet) checkKeysRefused(withdrawn map[string]bool, d time.Duration) {
	for start := time.Now(); time.Since(start) < d; time.Sleep(50 * time.Millisecond) {
		for _, h := range f.hosts {
			for hash := range withdrawn {
				if h.Accepting() && h.Snapshot().Keys[hash] != nil {
					f.t.Fatalf("%s accepts a key whose withdrawal was reported as in force", h.name)
				}
			}
		}
	}
}
