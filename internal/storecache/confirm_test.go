package storecache

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/platform"
)

// TestChangeIsConfirmedOnceItWasHandedOn guards against a host that takes what it made of the objects before a change for current
// by the confirmation that came with the change, and runs requests with a withdrawn key.
func TestChangeIsConfirmedOnceItWasHandedOn(t *testing.T) {
	for name, change := range map[string]func(*fakeSource){
		"event": func(*fakeSource) {},
		"list":  func(f *fakeSource) { f.expired = true },
	} {
		synctest.Test(t, func(t *testing.T) {
			source := newSource()
			began, release := make(chan struct{}, 10), make(chan struct{}, 10)
			var confirmed atomic.Int64
			m, _ := start(t, source, func(o *Options) {
				o.OnChange = func(map[string]platform.Object) { began <- struct{}{}; <-release }
				o.OnConfirm = func(at time.Duration) { confirmed.Store(int64(at)) }
			})
			<-began
			release <- struct{}{}
			time.Sleep(3*time.Second + time.Millisecond) // between two looks of the source at its objects
			changedAt := m.opts.Now()
			source.put("c")
			source.set(change)
			<-began
			time.Sleep(time.Second)
			if at := time.Duration(confirmed.Load()); at > changedAt {
				t.Errorf("%s: confirmed as of %v after the change, which has not been handed on", name, at-changedAt)
			}
			release <- struct{}{}
			time.Sleep(time.Second)
			if at := time.Duration(confirmed.Load()); at <= changedAt {
				t.Errorf("%s: not confirmed a second after the change was handed on", name)
			}
		})
	}
}

// TestLateResponseConfirmsWhatTheStoreKnew guards against a host that takes a configuration for current as of the time at which it
// reads a response that has waited for it, for example since it was frozen: the store may have changed again before.
func TestLateResponseConfirmsWhatTheStoreKnew(t *testing.T) {
	for name, c := range map[string]struct {
		wait   time.Duration
		change func(*fakeSource)
	}{
		"event, short wait": {700 * time.Millisecond, func(f *fakeSource) { f.put("c") }},
		"event, long wait":  {10 * time.Second, func(f *fakeSource) { f.put("c") }},
		"cut, long wait":    {10 * time.Second, func(f *fakeSource) { f.set(func(f *fakeSource) { f.cut = true }) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			source := newSource()
			var next, tooLate atomic.Int64
			var changed atomic.Bool // "d" has been handed on
			m, _ := start(t, source, func(o *Options) {
				o.Policy = func() PollPolicy { return PollPolicy{MaxWait: c.wait} }
				o.OnChange = func(objects map[string]platform.Object) { _, ok := objects["d"]; changed.Store(ok) }
				o.OnConfirm = func(at time.Duration) {
					if !changed.Load() && next.Load() > 0 {
						tooLate.Store(max(tooLate.Load(), int64(at)-next.Load()))
					}
				}
			})
			time.Sleep(71 * time.Millisecond) // within the first poll
			source.set(func(f *fakeSource) { f.late = 8 * time.Second })
			c.change(source)
			time.Sleep(100 * time.Millisecond)
			source.set(func(f *fakeSource) { f.late, f.cut = 0, false })
			next.Store(int64(m.opts.Now()))
			source.put("d") // not in the response that is under way
			time.Sleep(20 * time.Second)
			if late := time.Duration(tooLate.Load()); late > 0 {
				t.Errorf("%s: confirmed as of %v after a change that the response does not have", name, late)
			}
			if !changed.Load() {
				t.Errorf("%s: the change was not read", name)
			}
		})
	}
}

// TestConfirmationsOfAQuietStoreStayRecent is the control: a host whose calls are answered in time confirms its copy about as often
// as its policy asks, and makes one call more at most for each change.
func TestConfirmationsOfAQuietStoreStayRecent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		m, _ := start(t, source, func(*Options) {})
		time.Sleep(100 * time.Millisecond)
		const changes = 10
		for i := range 60 * 100 {
			if i%(6*100) == 333 {
				source.put("c")
			}
			if at, _ := m.lastConfirmed(); m.opts.Now()-at > 1100*time.Millisecond {
				t.Fatalf("confirmed %v ago, want a wait and a half of 0.7 s and the delays of the source at most", m.opts.Now()-at)
			}
			time.Sleep(10 * time.Millisecond)
		}
		if polls := source.pollCount(); polls > 60*10/7+2*changes+1 {
			t.Errorf("%d polls in a minute with %d changes", polls, changes)
		}
	})
}
