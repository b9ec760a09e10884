package platformhost

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/platform"
)

// entryStore holds at most one entry, at a version; 0: none.
type entryStore struct {
	Store
	version platform.Version
	era     platform.Era // conditions of other ones are not sent
	puts    int
}

func (s *entryStore) Put(_ context.Context, obj platform.Object) (platform.Object, error) {
	if obj.Version > 0 && obj.Version.Era() != s.era {
		return platform.Object{}, &platform.ConflictError{}
	}
	s.puts++
	switch {
	case obj.Version != s.version && s.version > 0:
		return platform.Object{}, &platform.ConflictError{Found: s.version}
	case obj.Version != s.version:
		return platform.Object{}, &platform.NotFoundError{}
	}
	s.version++
	return obj, nil
}

// TestRestartedHostWritesItsEntryOnce covers the pattern of a whole fleet that starts again: each
// host replaces its earlier entry with one write, and with two if its list was out of date.
func TestRestartedHostWritesItsEntryOnce(t *testing.T) {
	for _, c := range []struct {
		stored platform.Version
		listed uint64
		puts   int
	}{{7, 7, 1}, {8, 7, 2}, {0, 7, 2}, {0, 0, 1}} {
		store := &entryStore{version: c.stored}
		h := &Host{store: store, self: fleet.Host{Name: "a"}, view: coordinator.NewFleetView("z", bootclock.Now)}
		h.view.SetHosts(map[string]fleet.Host{"a": {Name: "a", ModRevision: c.listed}})
		if err := h.putSelf(t.Context()); err != nil || store.puts != c.puts {
			t.Errorf("entry at version %d, listed with %d: %d writes, error %v; want %d", c.stored, c.listed, store.puts, err, c.puts)
		}
	}
}

// Get implements Store.
func (s *entryStore) Get(context.Context, platform.Kind, string) (platform.Object, error) {
	if s.version == 0 {
		return platform.Object{}, &platform.NotFoundError{}
	}
	return platform.Object{Version: s.version}, nil
}

// TestEntryForgottenByARestoreIsWrittenAgain guards against callers and hosts losing a host that joined after the copy
// was taken from which the store was restored, and against writing entries that the copy has.
func TestEntryForgottenByARestoreIsWrittenAgain(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	inEra := func(era platform.Era) platform.Version {
		v, err := platform.NewVersion(era, 7)
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
	for _, c := range []struct {
		listed, stored platform.Version
		puts           int
	}{{inEra(1), 0, 1}, {inEra(1), inEra(2), 1}, {inEra(2), inEra(2), 0}} {
		store := &entryStore{version: c.stored, era: 2}
		h := &Host{store: store, self: fleet.Host{Name: "a", Incarnation: "1"}, view: coordinator.NewFleetView("z", bootclock.Now), log: log}
		h.eras.Learn(2)
		h.view.SetHosts(map[string]fleet.Host{"a": {Name: "a", ModRevision: uint64(c.listed), Incarnation: "1"}})
		h.listedAt = bootclock.Now()
		if h.rejoin(t.Context()); store.puts != c.puts {
			t.Errorf("listed at %x, stored at %x: %d writes, want %d", c.listed, c.stored, store.puts, c.puts)
		}
	}
}

// TestEntryIsNotWrittenAgainBeforeItIsListed covers the same pattern: the list of hosts shows a new entry
// seconds later, until when it shows the earlier process's.
func TestEntryIsNotWrittenAgainBeforeItIsListed(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := &entryStore{version: 7}
	h := &Host{store: store, self: fleet.Host{Name: "a", Incarnation: "2"}, view: coordinator.NewFleetView("z", bootclock.Now), log: log}
	h.view.SetHosts(map[string]fleet.Host{"a": {Name: "a", ModRevision: 7, Incarnation: "1"}})
	h.listedAt = bootclock.Now() - 4*time.Second
	if h.rejoin(t.Context()); store.puts != 0 {
		t.Errorf("%d writes 4 s after the entry was written, want none", store.puts)
	}
	h.listedAt = bootclock.Now() - 6*time.Second
	if h.rejoin(t.Context()); store.puts != 1 {
		t.Errorf("%d writes 6 s after the entry was last seen, want one", store.puts)
	}
}

// TestTargetsMissingAfterACutGetNothing guards against requests at targets that left while a host was cut off: for 2 s after
// its return it kept them, as it does for entries that expire together while the store is away.
func TestTargetsMissingAfterACutGetNothing(t *testing.T) {
	targets := func() map[string]fleet.Target {
		return map[string]fleet.Target{"a": {ID: "a", Service: "s"}, "b": {ID: "b", Service: "s"}, "c": {ID: "c", Service: "s"}}
	}
	view := coordinator.NewFleetView("z", bootclock.Now)
	picks := func(missing map[string]bool) map[string]bool {
		byID, out := targets(), map[string]bool{}
		markMissing(byID, missing)
		view.SetTargets(fleet.NewTargets(byID))
		for range 200 {
			if c, ok := view.Pick(coordinator.Requirements{Service: "s"}); ok {
				out[c.Target.ID] = true
			}
		}
		return out
	}
	if got := picks(map[string]bool{"a": true}); got["a"] || !got["b"] || !got["c"] {
		t.Errorf("one is missing: chosen %v", got)
	}
	if got := picks(map[string]bool{"a": true, "b": true, "c": true}); len(got) != 3 {
		t.Errorf("all are missing: chosen %v, want all", got)
	}
	if got := picks(nil); len(got) != 3 {
		t.Errorf("none is missing: chosen %v, want all", got)
	}
	before := fleet.NewTargets(targets()).Digest
	byID := targets()
	markMissing(byID, map[string]bool{"a": true})
	if fleet.NewTargets(byID).Digest != before {
		t.Error("the digest of the list changes")
	}
}
