package storecache

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/platform"
)

// fakeSource is a source of one kind of objects that can be made to fail.
type fakeSource struct {
	mu      sync.Mutex
	objects map[string]platform.Object
	events  []platform.Event
	version platform.Version
	fails   bool
	expired bool
	polls   int
	strict  int           // calls that don't allow stale data
	sent    int           // events sent
	late    time.Duration // from a response until it is read
	cut     bool          // polls end at once, without an error
}

func (f *fakeSource) put(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	obj := platform.Object{Name: name, Version: f.version}
	f.objects[name] = obj
	f.events = append(f.events, platform.Event{Type: platform.EventPut, Object: obj})
}

func (f *fakeSource) remove(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	delete(f.objects, name)
	f.events = append(f.events, platform.Event{Type: platform.EventDelete, Object: platform.Object{Name: name, Version: f.version}})
}

func (f *fakeSource) set(change func(f *fakeSource)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeSource) pollCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.polls
}

func (f *fakeSource) List(_ context.Context, _ platform.Kind, stale bool) (platform.List, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !stale {
		f.strict++
	}
	if f.fails {
		return platform.List{}, &platform.UnavailableError{}
	}
	f.expired = false
	out := platform.List{Version: f.version}
	for _, obj := range f.objects {
		out.Items = append(out.Items, obj)
	}
	return out, nil
}

func (f *fakeSource) Poll(ctx context.Context, _ platform.Kind, after platform.Version, wait time.Duration, stale bool) ([]platform.Event, platform.Version, error) {
	f.set(func(f *fakeSource) {
		f.polls++
		if !stale {
			f.strict++
		}
	})
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		f.mu.Lock()
		var found []platform.Event
		for _, e := range f.events {
			if e.Object.Version > after {
				found = append(found, e)
			}
		}
		version, fails, expired, cut := f.version, f.fails, f.expired, f.cut
		late := f.late
		f.mu.Unlock()
		if len(found) > 0 || cut {
			time.Sleep(late)
		}
		switch {
		case ctx.Err() != nil:
			return nil, 0, ctx.Err()
		case fails:
			return nil, 0, &platform.UnavailableError{}
		case expired:
			return nil, 0, &platform.ExpiredError{}
		case len(found) > 0 || cut || !time.Now().Before(end):
			f.set(func(f *fakeSource) { f.sent += len(found) })
			return found, version, nil
		}
	}
}

// start runs a mirror of the source until the test ends. The function count
// returns the number of objects in the copy.
func start(t *testing.T, source *fakeSource, change func(*Options)) (m *Mirror, count func() int) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	startTime := time.Now()
	var mu sync.Mutex
	n := 0
	opts := Options{
		Source: source, Policy: func() PollPolicy { return PollPolicy{MaxWait: 700 * time.Millisecond} }, Now: func() time.Duration { return time.Since(startTime) + time.Hour }, Log: log,
		OnChange: func(objects map[string]platform.Object) {
			mu.Lock()
			defer mu.Unlock()
			n = len(objects)
		},
	}
	change(&opts)
	m = New(opts)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return m, func() int {
		mu.Lock()
		defer mu.Unlock()
		return n
	}
}

func newSource() *fakeSource {
	f := &fakeSource{objects: map[string]platform.Object{}}
	f.put("a")
	f.put("b")
	return f
}

func TestCopyIsConfirmedSoonAfterPolicyTightens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		relaxed := true
		m, _ := start(t, newSource(), func(o *Options) {
			strict := o.Policy
			o.Policy = func() PollPolicy {
				mu.Lock()
				defer mu.Unlock()
				if relaxed {
					return PollPolicy{MaxWait: 12 * time.Second}
				}
				return strict()
			}
		})
		time.Sleep(6 * time.Second)
		mu.Lock()
		relaxed = false
		mu.Unlock()
		tightened := m.opts.Now()
		time.Sleep(400 * time.Millisecond)
		if at, ok := m.lastConfirmed(); !ok || at < tightened {
			t.Errorf("last confirmed %v before the policy was tightened", tightened-at)
		}
	})
}

func TestObjectsExpiredDuringOutageAreKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		_, count := start(t, source, func(o *Options) { o.KeepMissing = 2 * time.Second })
		time.Sleep(time.Second)
		source.set(func(f *fakeSource) { f.fails = true })
		time.Sleep(4 * time.Second)
		source.remove("a")
		source.remove("b")
		source.set(func(f *fakeSource) { f.fails = false })
		time.Sleep(1200 * time.Millisecond)
		if count() != 2 {
			t.Errorf("%d objects after the outage, want 2", count())
		}
		source.put("a")
		time.Sleep(2 * time.Second)
		if count() != 1 {
			t.Errorf("%d objects 2 s later, want only the rewritten one", count())
		}
	})
}

func TestExpiredWatchIsListedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		_, count := start(t, source, func(*Options) {})
		time.Sleep(time.Second)
		source.set(func(f *fakeSource) {
			f.expired = true
			f.version += 10
			f.objects["c"] = platform.Object{Name: "c", Version: f.version}
		})
		time.Sleep(time.Second)
		if count() != 3 {
			t.Errorf("%d objects, want 3", count())
		}
	})
}

// switchable is a policy that a test can replace while the mirror runs.
type switchable struct {
	mu     sync.Mutex
	policy PollPolicy
}

func (s *switchable) get() PollPolicy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy
}

func (s *switchable) set(p PollPolicy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy = p
}

// TestConfirmedCopyIsNotPolled covers the hosts of a large fleet, whose copies the coordinator
// confirms: they make no calls until it tells them of a change.
func TestConfirmedCopyIsNotPolled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		policy := &switchable{policy: PollPolicy{MaxWait: 10 * time.Millisecond, MinInterval: time.Hour}}
		_, count := start(t, source, func(o *Options) { o.Policy = policy.get })
		time.Sleep(time.Minute)
		if polls := source.pollCount(); polls > 1 {
			t.Errorf("%d polls in a minute, want one at most", polls)
		}
		source.put("c")
		policy.set(PollPolicy{MaxWait: time.Millisecond, MinInterval: 300 * time.Millisecond})
		time.Sleep(500 * time.Millisecond)
		if count() != 3 {
			t.Errorf("%d objects half a second after the coordinator told of a change, want 3", count())
		}
	})
}

// TestStaleStartConfirmsNothing covers the first list, which may be seconds out of date.
func TestStaleStartConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, count := start(t, newSource(), func(o *Options) {
			o.StaleStart = true
			o.Policy = func() PollPolicy {
				return PollPolicy{MaxWait: time.Millisecond, MinInterval: time.Hour, AllowStale: true}
			}
		})
		time.Sleep(5 * time.Second)
		if at, listed := m.lastConfirmed(); count() != 2 || !listed || at != 0 {
			t.Errorf("%d objects, listed %v, confirmed at %v, want 2, true and never", count(), listed, at)
		}
	})
}

// TestFirstListIsCurrent covers the configuration of a host that starts: it serves by the first list,
// although what follows may be out of date.
func TestFirstListIsCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := start(t, newSource(), func(o *Options) {
			o.Policy = func() PollPolicy { return PollPolicy{MaxWait: 10 * time.Second, AllowStale: true} }
		})
		time.Sleep(100 * time.Millisecond)
		if at, _ := m.lastConfirmed(); at == 0 {
			t.Error("the copy is not confirmed by its first list")
		}
	})
}

// TestCopyIsCurrentSoonAfterStaleStart covers the coordinator, whose confirmation all hosts wait for.
func TestCopyIsCurrentSoonAfterStaleStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, _ := start(t, newSource(), func(o *Options) { o.StaleStart = true })
		time.Sleep(100 * time.Millisecond)
		if at, _ := m.lastConfirmed(); at == 0 {
			t.Error("the copy is not confirmed 100 ms after a first list that may be out of date")
		}
	})
}

// TestWatchOfStartingHostIsNotRepeated covers a host whose watch is broken off by the coordinator's first
// reply: it names a newer revision, which the next watch may find in data that is out of date.
func TestWatchOfStartingHostIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		var policy atomic.Pointer[PollPolicy]
		policy.Store(&PollPolicy{MaxWait: 10 * time.Second, AllowStale: true})
		start(t, source, func(o *Options) {
			o.StaleStart = true
			o.Policy = func() PollPolicy { return *policy.Load() }
		})
		time.Sleep(time.Second)
		policy.Store(&PollPolicy{MaxWait: 300 * time.Millisecond, AllowStale: true})
		time.Sleep(time.Second)
		source.set(func(f *fakeSource) {
			if f.strict > 0 {
				t.Errorf("%d calls for current data, want none", f.strict)
			}
		})
	})
}

// TestExpiredWatchIsListedFromCurrentData covers a store that discards its history while the data it
// serves to callers that allow stale data lags behind: the host must not list them again and again.
func TestExpiredWatchIsListedFromCurrentData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		_, count := start(t, source, func(o *Options) {
			o.Policy = func() PollPolicy { return PollPolicy{MaxWait: 300 * time.Millisecond, AllowStale: true} }
		})
		time.Sleep(time.Second)
		source.put("c")
		source.set(func(f *fakeSource) { f.expired, f.strict = true, 0 })
		time.Sleep(time.Second)
		source.set(func(f *fakeSource) {
			if f.strict != 1 {
				t.Errorf("%d calls for current data after the history expired, want one", f.strict)
			}
		})
		if count() != 3 {
			t.Errorf("%d objects, want 3", count())
		}
	})
}

// TestReturningHostListsAtOnceAfterItsWatchExpired guards against a host that was cut off while the store dropped its
// history: it listed the targets 5 s after its return, since it waited for the interval of its policy twice, and
// sent requests to targets that had left.
func TestReturningHostListsAtOnceAfterItsWatchExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		behind := PollPolicy{MaxWait: time.Millisecond, MinInterval: 2500 * time.Millisecond, AllowStale: true, MaxRetryDelay: 750 * time.Millisecond}
		_, count := start(t, source, func(o *Options) { o.Policy = func() PollPolicy { return behind } })
		time.Sleep(4 * time.Second)
		source.set(func(f *fakeSource) { f.fails = true })
		time.Sleep(13 * time.Second)
		source.set(func(f *fakeSource) {
			f.version += 50
			delete(f.objects, "a")
			f.fails, f.expired, f.strict = false, true, 0
		})
		time.Sleep(1500 * time.Millisecond)
		if count() != 1 {
			t.Errorf("%d objects 1.5 s after the host's return, want one: the other one is gone", count())
		}
		time.Sleep(10 * time.Second)
		source.set(func(f *fakeSource) {
			if f.strict != 1 {
				t.Errorf("%d calls for current data after the return, want one", f.strict)
			}
		})
	})
}

// TestConfirmedCopyIsNotListedForItsExpiredWatch is the control of the test above: hundreds of hosts whose copies the
// coordinator confirms do not all list when the store drops its history.
func TestConfirmedCopyIsNotListedForItsExpiredWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		confirmed := PollPolicy{MaxWait: time.Millisecond, MinInterval: 10 * time.Second, AllowStale: true, MaxRetryDelay: 750 * time.Millisecond, Confirmed: true}
		start(t, source, func(o *Options) { o.Policy = func() PollPolicy { return confirmed } })
		time.Sleep(15 * time.Second)
		source.set(func(f *fakeSource) { f.fails = true })
		time.Sleep(10 * time.Second)
		source.set(func(f *fakeSource) { f.fails, f.expired, f.strict = false, true, 0 })
		time.Sleep(5 * time.Second)
		source.set(func(f *fakeSource) {
			if f.strict > 0 {
				t.Errorf("%d calls for current data, want none", f.strict)
			}
		})
	})
}
