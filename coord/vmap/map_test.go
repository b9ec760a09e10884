package vmap

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// testSource is the only writer. Replicas are checked against its history.
type testSource struct {
	version uint64
	last    map[string]Change[int]
	history []Change[int]
}

func (s *testSource) change(rng *rand.Rand) {
	s.version++
	name := fmt.Sprintf("n%d", rng.IntN(12))
	_, exists := s.last[name]
	c := Change[int]{Name: name, Version: s.version, Value: int(s.version)}
	if exists && !s.last[name].Deleted && rng.IntN(3) == 0 {
		c = Change[int]{Name: name, Version: s.version, Deleted: true}
	}
	s.last[name] = c
	s.history = append(s.history, c)
}

// listAt returns the objects of a full read as of a version.
func (s *testSource) listAt(version uint64) []Change[int] {
	at := map[string]Change[int]{}
	for _, c := range s.history[:version] {
		at[c.Name] = c
	}
	var list []Change[int]
	for _, c := range at {
		if !c.Deleted {
			list = append(list, c)
		}
	}
	return list
}

// testReplica wraps a Map and checks after each step that no version has decreased
// and that the Map is complete up to its floor.
type testReplica struct {
	*Map[int]
	lastVersions map[string]uint64
}

func (r *testReplica) check(t *testing.T, s *testSource, step string) {
	t.Helper()
	for name := range s.last {
		v, _ := r.VersionOf(name)
		if v < r.lastVersions[name] {
			t.Fatalf("%s: the version of %s decreased from %d to %d", step, name, r.lastVersions[name], v)
		}
		r.lastVersions[name] = v
		r.checkComplete(t, s, step, name)
	}
}

func (r *testReplica) checkComplete(t *testing.T, s *testSource, step, name string) {
	t.Helper()
	var want Change[int]
	for _, c := range s.history[:r.Floor()] {
		if c.Name == name {
			want = c
		}
	}
	it, held := r.items[name]
	if held && it.version < want.Version || held && it.version == want.Version && want.Deleted {
		t.Fatalf("%s: the floor is %d, but %s has version %d, want %d", step, r.Floor(), name, it.version, want.Version)
	}
	if v, _ := r.VersionOf(name); !held && !want.Deleted && want.Version > 0 && v <= r.Floor() && r.deleted[name] < want.Version {
		t.Fatalf("%s: the floor is %d, but %s is missing", step, r.Floor(), name)
	}
}

// TestVersionsNeverDecrease gives replicas random input, with restarts in between:
// late and repeated events, stale lists, and deltas and pages from other replicas.
func TestVersionsNeverDecrease(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &testSource{last: map[string]Change[int]{}}
		replicas := make([]*testReplica, 4)
		for i := range replicas {
			replicas[i] = &testReplica{Map: New[int](8), lastVersions: map[string]uint64{}}
		}
		for range 400 {
			if rng.IntN(2) == 0 {
				s.change(rng)
				continue
			}
			i := rng.IntN(len(replicas))
			if rng.IntN(60) == 0 {
				replicas[i] = &testReplica{Map: New[int](8), lastVersions: map[string]uint64{}}
			}
			step := applyRandomInput(rng, s, replicas[i], replicas[rng.IntN(len(replicas))])
			replicas[i].check(t, s, fmt.Sprintf("seed %d, %s", seed, step))
		}
		checkConvergence(t, s, replicas, seed)
	}
}

// applyRandomInput applies one random input to a replica and returns a description
// of the input.
func applyRandomInput(rng *rand.Rand, s *testSource, r, other *testReplica) string {
	switch rng.IntN(6) {
	case 0, 1:
		if s.version > 0 {
			r.Apply(s.history[rng.Uint64N(s.version)])
		}
		return "late event"
	case 2:
		at := rng.Uint64N(s.version + 1)
		r.Replace(at, s.listAt(at))
		return "stale list"
	case 3:
		from := r.Floor()
		for _, c := range s.history[from:] {
			r.Apply(c)
		}
		r.Advance(s.version)
		return "watch and bookmark"
	case 4:
		if d, ok := other.Delta(r.Floor(), 0); ok {
			r.Merge(d)
		}
		return "delta"
	default:
		readPages(rng, s, r, other)
		return "pages"
	}
}

// readPages does a full read of other, page by page, while other changes.
func readPages(rng *rand.Rand, s *testSource, r, other *testReplica) {
	const parts = 3
	var objects []Change[int]
	var floor uint64
	for i := range parts {
		p := other.Page(i, parts)
		if i == 0 {
			floor = p.Floor
		}
		objects = append(objects, p.Objects...)
		if other != r && rng.IntN(2) == 0 {
			applyRandomInput(rand.New(rand.NewPCG(rng.Uint64(), 2)), s, other, other)
		}
	}
	if d, ok := other.Delta(floor, 0); ok {
		r.Replace(floor, objects)
		r.Merge(d)
	}
}

func checkConvergence(t *testing.T, s *testSource, replicas []*testReplica, seed uint64) {
	t.Helper()
	replicas[0].Replace(s.version, s.listAt(s.version))
	for _, r := range replicas[1:] {
		if d, ok := replicas[0].Delta(r.Floor(), 0); ok {
			r.Merge(d)
		} else {
			r.Replace(s.version, replicas[0].Page(0, 1).Objects)
		}
		if r.Digest() != replicas[0].Digest() || r.Digest().Lacks(replicas[0].Digest()) {
			t.Fatalf("seed %d: digests differ after synchronization: %+v, %+v", seed, r.Digest(), replicas[0].Digest())
		}
		r.check(t, s, fmt.Sprintf("seed %d, converged", seed))
	}
}

func TestFreshnessRules(t *testing.T) {
	const limit = 5 * time.Second
	tests := []struct {
		name string
		do   func(f *Freshness)
		want time.Duration // result of ValidUntil at 10 s, 0 for any time in the past
	}{
		{"nothing confirmed", func(f *Freshness) {}, 0},
		{"source", func(f *Freshness) { f.ConfirmSource(8 * time.Second) }, 13 * time.Second},
		{"source confirmed by one peer of twelve", func(f *Freshness) {
			f.SetMembers(12, 0)
			f.ConfirmPeer(1, 9*time.Second, 2*time.Second, nil)
		}, 12 * time.Second},
		{"one peer of eight, source unknown", func(f *Freshness) { f.ConfirmPeer(1, 9*time.Second, -1, nil) }, 14 * time.Second},
		{"one peer of twelve", func(f *Freshness) {
			f.SetMembers(12, 0)
			f.ConfirmPeer(1, 9*time.Second, -1, nil)
		}, 0},
		{"one peer of twelve with contact to another", func(f *Freshness) {
			f.SetMembers(12, 0)
			f.ConfirmPeer(1, 9*time.Second, -1, []Contact{{ID: 2, Age: 3 * time.Second}})
		}, 11 * time.Second},
		{"own contact returned by a peer", func(f *Freshness) {
			f.SetMembers(12, 0)
			f.ConfirmPeer(1, 9*time.Second, -1, []Contact{{ID: ContactID("self"), Age: 0}})
		}, 0},
		{"members that left during isolation still count", func(f *Freshness) {
			f.SetMembers(12, 0)
			f.SetMembers(4, 9*time.Second)
			f.ConfirmPeer(1, 9*time.Second, -1, nil)
		}, 0},
		{"single member, never confirmed", func(f *Freshness) { *f = *NewFreshness("self", limit); f.SetMembers(1, 0) }, 0},
		{"single member, confirmed long ago", func(f *Freshness) {
			*f = *NewFreshness("self", limit)
			f.SetMembers(1, 0)
			f.ConfirmSource(time.Second)
		}, 15 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := NewFreshness("self", limit)
			f.SetMembers(8, 0)
			tt.do(f)
			got := f.ValidUntil(10 * time.Second)
			if got < 10*time.Second {
				got = 0
			}
			if got != tt.want {
				t.Fatalf("state is valid until %v, want %v", got, tt.want)
			}
		})
	}
}

func TestPropagationTimesOutOnlyBelowQuorum(t *testing.T) {
	listed := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	acks := func(floor uint64, names ...string) map[string]Ack {
		m := map[string]Ack{}
		for _, n := range names {
			m[n] = Ack{Floor: floor, Members: 8}
		}
		return m
	}
	tracker := NewPropagationTracker(10, 6*time.Second)
	if v := tracker.Update(0, listed, acks(9, listed...)); v.InForce || v.WaitBounded || len(v.Waiting) != 8 {
		t.Fatalf("no host has acknowledged: %+v", v)
	}
	two := acks(10, listed[:6]...)
	if v := tracker.Update(time.Hour, listed, two); v.InForce || v.WaitBounded {
		t.Fatalf("two hosts are left, which can confirm each other indefinitely: %+v", v)
	}
	one := acks(10, listed[:7]...)
	if v := tracker.Update(2*time.Hour, listed, one); v.InForce || !v.WaitBounded {
		t.Fatalf("one host is left, which has not stopped yet: %+v", v)
	}
	if v := tracker.Update(2*time.Hour+6*time.Second, listed, one); !v.InForce {
		t.Fatalf("one host is left, which has stopped: %+v", v)
	}
	if v := tracker.Update(3*time.Hour, listed, acks(10, listed...)); !v.InForce || len(v.Waiting) != 0 {
		t.Fatalf("all hosts have acknowledged: %+v", v)
	}
}
