package coordinator

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/coord/crashcause"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// TestBlockedPartsOutlastRestartOfAllHosts guards against a fleet that starts again and finds out anew which parts of
// prompts crash targets.
func TestBlockedPartsOutlastRestartOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		now := func() time.Duration { return time.Since(began) + time.Hour }
		store := &memStore{objects: map[string]platform.Object{}}
		hosts := func() map[string]fleet.Host { return map[string]fleet.Host{"a": {}} }
		start := func() (*PartFailures, context.CancelFunc) {
			parts := NewPartFailures("a", hosts, now, quietLog())
			ctx, cancel := context.WithCancel(t.Context())
			s := &PartStore{Parts: parts, Store: store, Coordinates: func() bool { return true }, Log: quietLog(), Eras: &platform.Eras{}}
			go func() { _ = s.Run(ctx) }()
			return parts, cancel
		}
		parts, stop := start()
		for i := range 3 {
			time.Sleep(time.Second)
			parts.RecordFailure(strconv.Itoa(i), []string{"bad"}, fleet.Target{ID: "e", StartedMS: int64(i)}, now()-100*time.Millisecond)
		}
		time.Sleep(2 * time.Second)
		parts.evaluate()
		if parts.Check([]string{"bad"}, false) == "" {
			t.Fatal("the part is not blocked")
		}
		time.Sleep(2 * partStoreInterval)
		stop()
		next, stop := start()
		defer stop()
		time.Sleep(2 * partStoreInterval)
		if next.Check([]string{"bad"}, false) == "" {
			t.Error("the part is not blocked after the restart")
		}
	})
}

// TestBlockedPartsAreWrittenAgainAfterARestore guards against a store that has forgotten the blocked parts, after which a
// restart of all hosts would have to find them out anew.
func TestBlockedPartsAreWrittenAgainAfterARestore(t *testing.T) {
	store := &restorableStore{era: 1, objects: map[string]platform.Object{}}
	empty := store.clone()
	eras := &platform.Eras{}
	parts := NewPartFailures("a", func() map[string]fleet.Host { return nil }, func() time.Duration { return time.Hour }, quietLog())
	parts.restore([]crashcause.StoredBlock{{Part: "bad"}})
	s := &PartStore{Parts: parts, Store: &hostStore{store: store, eras: eras}, Log: quietLog(), Eras: eras}
	steps := func() {
		for range 4 {
			if err := s.step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
	}
	steps()
	store.restore(empty)
	eras.Learn(store.era)
	steps()
	if _, stored := store.objects[string(kindBlockedParts)+"/"+blockedPartsName]; !stored {
		t.Error("the blocked parts are not in the restored store")
	}
}

// TestOneHostProbes guards against each host of a fleet crashing a target to find out whether a part still does.
func TestOneHostProbes(t *testing.T) {
	clock := func() time.Duration { return time.Hour }
	hosts := func() map[string]fleet.Host {
		return map[string]fleet.Host{"a": {}, "b": {}, "c": {}, "leaving": {Leaving: true}}
	}
	probing := 0
	for name := range hosts() {
		p := NewPartFailures(name, hosts, clock, quietLog())
		p.tracker.Restore(0, []crashcause.StoredBlock{{Part: "bad"}})
		if p.Check([]string{"bad"}, true) == "" {
			probing++
		}
	}
	if probing != 1 {
		t.Errorf("%d hosts probe, want 1", probing)
	}
}
