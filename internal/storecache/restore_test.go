package storecache

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/platform"
)

// eraSource is a source whose store can be restored from a copy.
type eraSource struct {
	*fakeSource
	era platform.Era
}

// restore begins a new era with the objects of a copy, at revisions that are given out again.
func (s *eraSource) restore(eras *platform.Eras, names ...string) {
	s.set(func(f *fakeSource) {
		s.era++
		f.objects, f.events, f.version = map[string]platform.Object{}, nil, platform.Version(s.era)<<40
	})
	for _, name := range names {
		s.put(name)
	}
	s.set(func(f *fakeSource) { f.events = nil })
	eras.Learn(s.era)
}

// Poll fails for a version of an earlier era, like the platform's client.
func (s *eraSource) Poll(ctx context.Context, kind platform.Kind, after platform.Version, wait time.Duration, stale bool) ([]platform.Event, platform.Version, error) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	if after.Era() < era {
		return nil, 0, &platform.ExpiredError{}
	}
	return s.fakeSource.Poll(ctx, kind, after, wait, stale)
}

// removeAndRestore removes "b" after the copy was taken from which the store is restored a second later.
func (s *eraSource) removeAndRestore(eras *platform.Eras) {
	time.Sleep(time.Second)
	s.remove("b")
	time.Sleep(time.Second)
	s.restore(eras, "a", "b")
}

func startEraMirror(t *testing.T) (source *eraSource, eras *platform.Eras, count func() int) {
	source, eras = &eraSource{fakeSource: newSource()}, &platform.Eras{}
	_, count = start(t, source.fakeSource, func(o *Options) {
		o.Source, o.Eras = source, eras
		o.KeepMissing, o.WithholdRemoved = 2*time.Second, 5*time.Second
	})
	return source, eras, count
}

// TestRemovedObjectDoesNotComeBackWithTheCopy guards against a target that has left being listed again by a store that is
// restored from a copy, until its removal is written again.
func TestRemovedObjectDoesNotComeBackWithTheCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, eras, count := startEraMirror(t)
		source.removeAndRestore(eras)
		time.Sleep(time.Second)
		if count() != 1 {
			t.Fatalf("%d objects after the restore, want one: the other had been removed", count())
		}
		source.put("b")
		time.Sleep(time.Second)
		if count() != 2 {
			t.Errorf("%d objects, want 2: the other one was written again", count())
		}
	})
}

// TestObjectOfTheCopyIsTakenAfterAWhile is a control: an object that nobody removes again is there.
func TestObjectOfTheCopyIsTakenAfterAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, eras, count := startEraMirror(t)
		source.removeAndRestore(eras)
		time.Sleep(time.Second)
		if count() != 1 {
			t.Fatalf("%d objects a second after the restore, want one at first", count())
		}
		time.Sleep(6 * time.Second)
		if count() != 2 {
			t.Errorf("%d objects 7 s after the restore, want 2", count())
		}
	})
}

// TestObjectMissingInTheCopyIsKeptUntilItIsWrittenAgain guards against losing, for a moment, all targets that registered
// after the copy was taken.
func TestObjectMissingInTheCopyIsKeptUntilItIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, eras, count := startEraMirror(t)
		time.Sleep(time.Second)
		source.put("c")
		time.Sleep(time.Second)
		source.restore(eras, "a", "b")
		time.Sleep(time.Second)
		if count() != 3 {
			t.Fatalf("%d objects after the restore, want 3: the third one is written again soon", count())
		}
		source.put("c")
		time.Sleep(5 * time.Second)
		if count() != 3 {
			t.Errorf("%d objects, want 3", count())
		}
		source.restore(eras, "a")
		time.Sleep(5 * time.Second)
		if count() != 1 {
			t.Errorf("%d objects 5 s after a restore that left one, want one", count())
		}
	})
}

// TestWatchEndsWithANewEra guards against a copy that goes on waiting in the history that is gone.
func TestWatchEndsWithANewEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source, eras := &eraSource{fakeSource: newSource()}, &platform.Eras{}
		_, count := start(t, source.fakeSource, func(o *Options) {
			o.Source, o.Eras = source, eras
			o.Policy = func() PollPolicy { return PollPolicy{MaxWait: 10 * time.Second} }
		})
		time.Sleep(4 * time.Second)
		source.restore(eras, "a", "b", "c")
		time.Sleep(500 * time.Millisecond)
		if count() != 3 {
			t.Errorf("%d objects half a second after the restore, want 3", count())
		}
	})
}

// TestPolicyMayAskForTheConfirmation guards against a copy that hangs for ever when the store is restored while it waits for its
// next poll: the policy of the targets asks the mirror when the copy was confirmed.
func TestPolicyMayAskForTheConfirmation(t *testing.T) {
	eras := &platform.Eras{}
	var m *Mirror
	m = New(Options{Eras: eras, Now: func() time.Duration { return time.Hour }, OnChange: func(map[string]platform.Object) {}, Policy: func() PollPolicy {
		_, _ = m.lastConfirmed()
		return PollPolicy{MinInterval: time.Hour}
	}})
	m.applyList(platform.List{Version: 1<<40 + 1}, 1)
	eras.Learn(2)
	done := make(chan bool)
	go func() { done <- m.inEarlierEra() }()
	select {
	case earlier := <-done:
		if !earlier {
			t.Error("the copy of an earlier era is not listed again")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the mirror hangs")
	}
}
