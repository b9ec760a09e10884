package storecache

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestRefusedHostBacksOff covers a store that refuses a hundred hosts for a while. They call it
// ever more rarely, but at once if they have to rely on it again.
func TestRefusedHostBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		isolated := PollPolicy{MaxWait: time.Second, MaxRetryDelay: 3 * time.Second}
		policy := &switchable{policy: isolated}
		m, _ := start(t, source, func(o *Options) { o.Policy = policy.get })
		time.Sleep(2 * time.Second)
		source.set(func(f *fakeSource) { f.fails, f.polls = true, 0 })
		time.Sleep(30 * time.Second)
		if polls := source.pollCount(); polls > 20 {
			t.Errorf("%d calls in 30 s to a store that refuses them, want 20 at most", polls)
		}
		source.set(func(f *fakeSource) { f.fails = false })
		policy.set(PollPolicy{MaxWait: 700 * time.Millisecond})
		regained := m.opts.Now()
		time.Sleep(2 * time.Second)
		if at, _ := m.lastConfirmed(); at < regained {
			t.Error("the copy is not confirmed 2 s after the policy was tightened and the store came back")
		}
	})
}

// TestRefusedHostAsksForStaleDataOnly checks the retries of a host that the store refuses, with
// a copy and without one, and that the copy is current soon after the store answers again.
func TestRefusedHostAsksForStaleDataOnly(t *testing.T) {
	for _, listed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			source := newSource()
			source.set(func(f *fakeSource) { f.fails = !listed })
			m, count := start(t, source, func(*Options) {})
			time.Sleep(2 * time.Second)
			source.set(func(f *fakeSource) { f.fails = true })
			time.Sleep(2 * time.Second)
			source.set(func(f *fakeSource) { f.strict = 0 })
			time.Sleep(20 * time.Second)
			source.set(func(f *fakeSource) {
				if f.strict > 0 {
					t.Errorf("listed %v: %d calls for current data during an outage, want none", listed, f.strict)
				}
				f.fails = false
			})
			source.put("c")
			before := m.opts.Now()
			time.Sleep(maxRetryDelay + 100*time.Millisecond)
			if at, ok := m.lastConfirmed(); !ok || at < before || count() != 3 {
				t.Errorf("listed %v: %d objects, confirmed %v, after the outage; want 3, confirmed since its end", listed, count(), ok && at >= before)
			}
		})
	}
}

// TestConfirmedCopyIsNotReadAfterOutage covers the pattern of hundreds of hosts after an outage of the
// store: those whose copy the coordinator confirms in time read nothing.
func TestConfirmedCopyIsNotReadAfterOutage(t *testing.T) {
	for _, news := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			source := newSource()
			var policy atomic.Pointer[PollPolicy]
			policy.Store(&PollPolicy{MaxWait: 700 * time.Millisecond, NewsWait: 500 * time.Millisecond})
			start(t, source, func(o *Options) { o.Policy = func() PollPolicy { return *policy.Load() } })
			time.Sleep(2 * time.Second)
			source.set(func(f *fakeSource) { f.fails = true })
			time.Sleep(4 * time.Second)
			source.set(func(f *fakeSource) { f.fails, f.strict = false, 0 })
			time.Sleep(300 * time.Millisecond)
			if news {
				policy.Store(&PollPolicy{MaxWait: 10 * time.Second, MinInterval: time.Hour})
			}
			time.Sleep(2 * time.Second)
			source.set(func(f *fakeSource) {
				if read := f.strict > 0; read == news {
					t.Errorf("confirmed by the coordinator %v: %d calls for current data", news, f.strict)
				}
			})
		})
	}
}

// TestMirrorsOfOneHostProbeTogether covers the pattern of hundreds of hosts in an outage of the store:
// three copies of a host cost about the calls of one, and all are current soon after it.
func TestMirrorsOfOneHostProbeTogether(t *testing.T) {
	callsOf := func(mirrors int) (calls int) {
		synctest.Test(t, func(t *testing.T) {
			source, outage := newSource(), &Outage{}
			var all []*Mirror
			for range mirrors {
				m, _ := start(t, source, func(o *Options) {
					o.Outage = outage
					o.Policy = func() PollPolicy {
						return PollPolicy{MaxWait: 700 * time.Millisecond, MaxRetryDelay: time.Second}
					}
				})
				all = append(all, m)
			}
			time.Sleep(2 * time.Second)
			source.set(func(f *fakeSource) { f.fails, f.polls = true, 0 })
			time.Sleep(10 * time.Second)
			source.set(func(f *fakeSource) { f.fails, calls = false, f.polls })
			regained := all[0].opts.Now()
			time.Sleep(1300 * time.Millisecond)
			for _, m := range all {
				if at, _ := m.lastConfirmed(); at < regained {
					t.Errorf("%d mirrors: one is not confirmed 1.3 s after the outage", mirrors)
				}
			}
		})
		return calls
	}
	if one, three := callsOf(1), callsOf(3); three > one+4 {
		t.Errorf("three mirrors made %d calls during an outage, one made %d", three, one)
	}
}

// TestChangeDuringOutageIsFetchedOnce covers a configuration that changes while the store is away: on a
// slow host it takes longer to fetch than a probe may last, so what a probe brings must count.
func TestChangeDuringOutageIsFetchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := newSource()
		m, count := start(t, source, func(*Options) {})
		time.Sleep(2 * time.Second)
		source.set(func(f *fakeSource) { f.fails = true })
		time.Sleep(4 * time.Second)
		source.put("c")
		source.set(func(f *fakeSource) { f.fails, f.sent = false, 0 })
		regained := m.opts.Now()
		time.Sleep(time.Second)
		source.set(func(f *fakeSource) {
			if f.sent != 1 {
				t.Errorf("the change was sent %d times, want once", f.sent)
			}
		})
		if at, _ := m.lastConfirmed(); at < regained || count() != 3 {
			t.Errorf("%d objects, confirmed since the outage %v, want 3 and true", count(), at >= regained)
		}
	})
}
