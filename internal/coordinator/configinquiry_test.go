package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
)

// configFleet is hosts with a store that holds one configuration and can be restored.
type configFleet struct {
	t     *testing.T
	net   *peertest.Network
	began time.Time
	names []string
	hosts map[string]*configHost
	old   map[string]bool // hosts of an earlier version, which don't know the question

	mu     sync.Mutex
	era    platform.Era
	number int64           // of the configuration in the store
	cut    map[string]bool // hosts that don't reach the store
	asked  int             // questions received by all hosts
}

type configHost struct {
	name     string
	view     *FleetView
	eras     platform.Eras
	inquiry  *ConfigInquiry
	readAt   atomic.Int64 // when it last read the store
	stop     context.CancelFunc
	startsAt time.Duration
}

// inConfigFleet plays a test with a fleet of five hosts, in which version 7 of the configuration is in force.
func inConfigFleet(t *testing.T, play func(f *configFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &configFleet{t: t, net: peertest.New(1), began: time.Now(), hosts: map[string]*configHost{}, old: map[string]bool{}, era: 1, number: 7, cut: map[string]bool{}}
		f.net.SetFaults(peertest.Faults{MaxDelay: 10 * time.Millisecond})
		for i := range 5 {
			f.names = append(f.names, fmt.Sprint("h", i))
		}
		for _, name := range f.names {
			f.start(name)
		}
		defer func() {
			for _, h := range f.hosts {
				h.stop()
			}
		}()
		time.Sleep(time.Second)
		play(f)
	})
}

func (f *configFleet) elapsed() time.Duration { return time.Since(f.began) + time.Hour }

// countingRegistrar counts the questions that hosts receive.
type countingRegistrar struct {
	*peertest.Host
	fleet *configFleet
}

func (r countingRegistrar) Handle(method string, handler peer.Handler) {
	r.Host.Handle(method, func(ctx context.Context, from peer.ID, params json.RawMessage) (any, error) {
		r.fleet.mu.Lock()
		r.fleet.asked++
		r.fleet.mu.Unlock()
		return handler(ctx, from, params)
	})
}

// start starts a process of a host, in place of the one before.
func (f *configFleet) start(name string) {
	if before := f.hosts[name]; before != nil {
		before.stop()
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	h := &configHost{name: name, view: NewFleetView("z", f.elapsed), stop: cancel, startsAt: f.elapsed()}
	listed := map[string]fleet.Host{}
	for _, other := range f.names {
		listed[other] = fleet.Host{Name: other}
	}
	h.view.SetHosts(listed)
	conn := f.net.Add(peer.Member{ID: peer.ID{Name: name}})
	h.inquiry = NewConfigInquiry(ConfigInquiryOptions{
		FleetView: h.view, Self: name, Calls: conn, Eras: &h.eras, Now: f.elapsed, Log: quietLog(),
		Confirmed: func() (time.Duration, bool) { at := h.readAt.Load(); return time.Duration(at), at > 0 },
	})
	if !f.old[name] {
		h.inquiry.Register(countingRegistrar{conn, f})
	}
	f.hosts[name] = h
	go func() { _ = h.inquiry.Run(ctx) }()
	go func() {
		for ctx.Err() == nil {
			f.read(h)
			ctxsleep.Sleep(ctx, 100*time.Millisecond)
		}
	}()
}

// read has a host read the store, as its copy of the configuration does.
func (f *configFleet) read(h *configHost) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cut[h.name] {
		return
	}
	h.eras.Learn(f.era)
	if h.view.Config().Version < f.number {
		h.view.SetConfig(&fleet.Config{Version: f.number, Revision: uint64(f.era)<<40 + uint64(f.number)})
	}
	h.readAt.Store(int64(f.elapsed()))
}

// write has the operator write a version of the configuration.
func (f *configFleet) write(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.number = number
}

// restore begins a new era of the store with an earlier version of the configuration.
func (f *configFleet) restore(number int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.number = number
}

// reachStore sets whether hosts reach the store.
func (f *configFleet) reachStore(reach bool, names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.cut[name] = !reach
	}
}

// admits returns the version by which a host admits requests as the store confirms it; 0: it doesn't.
func (f *configFleet) admits(name string) int64 {
	h := f.hosts[name]
	_, settled := h.inquiry.Settled()
	config, wentBack := h.view.DatedConfig(StoreFreshness{})
	if !settled || wentBack {
		return 0
	}
	return config.Copy.Version
}

// never fails if a host admits requests by a version within a time.
func (f *configFleet) never(name string, version int64, within time.Duration) {
	f.t.Helper()
	for end := f.elapsed() + within; f.elapsed() < end; time.Sleep(5 * time.Millisecond) {
		if f.admits(name) == version {
			f.t.Fatalf("%s admits requests by version %d, %v after its start", name, version, f.elapsed()-f.hosts[name].startsAt)
		}
	}
}

// soon fails unless a host admits requests by a version within a time.
func (f *configFleet) soon(name string, version int64, within time.Duration) {
	f.t.Helper()
	for end := f.elapsed() + within; f.admits(name) != version; time.Sleep(time.Millisecond) {
		if f.elapsed() > end {
			f.t.Fatalf("%s admits requests by version %d after %v, want %d", name, f.admits(name), within, version)
		}
	}
}

// reach sets whether a host and the others reach each other.
func (f *configFleet) reach(reach bool, name string) {
	for _, other := range f.names {
		f.net.SetBlocked(name, other, !reach)
	}
}

// withNewer is how long a newer configuration has been in force before the store loses it.
const withNewer = 6 * time.Second

// TestHostAsksBeforeItGoesByARestoredStore guards against a host that takes it for agreement that nobody has told it of a newer
// configuration, in which a key may have been withdrawn. The cases are what may come together with the restore.
func TestHostAsksBeforeItGoesByARestoredStore(t *testing.T) {
	const watched = 2 * time.Second
	for name, play := range map[string]func(f *configFleet){
		"it starts after the restore": func(f *configFleet) {
			f.restore(7)
			f.start("h0")
			f.never("h0", 7, watched)
		},
		"two start at once": func(f *configFleet) {
			f.restore(7)
			f.start("h0")
			f.start("h1")
			f.never("h0", 7, watched)
			f.never("h1", 7, watched)
		},
		"two restores in a row": func(f *configFleet) {
			f.restore(7)
			f.start("h0")
			time.Sleep(300 * time.Millisecond)
			f.restore(7)
			f.start("h1")
			f.never("h0", 7, watched)
			f.never("h1", 7, watched)
		},
		"it reaches the others only after a second": func(f *configFleet) {
			f.reach(false, "h0")
			f.restore(7)
			f.start("h0")
			f.never("h0", 7, time.Second)
			f.reach(true, "h0")
			f.never("h0", 7, watched)
		},
		"the store is away while it starts": func(f *configFleet) {
			f.reachStore(false, "h0")
			f.start("h0")
			f.restore(7)
			time.Sleep(time.Second)
			f.reachStore(true, "h0")
			f.never("h0", 7, watched)
		},
		"replies are lost": func(f *configFleet) {
			f.net.SetFaults(peertest.Faults{LoseReply: 0.5, MaxDelay: 100 * time.Millisecond})
			f.restore(7)
			f.start("h0")
			f.never("h0", 7, watched)
		},
		"the store was away for long before it came back": func(f *configFleet) {
			f.reachStore(false, f.names...)
			time.Sleep(4 * time.Second)
			f.restore(7)
			f.reachStore(true, f.names...)
			f.start("h0")
			f.never("h0", 7, watched)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inConfigFleet(t, func(f *configFleet) {
				f.write(9)
				time.Sleep(withNewer)
				play(f)
				f.write(9)
				for _, name := range f.names {
					f.soon(name, 9, time.Second) // once the operator has written it again
				}
			})
		})
	}
}

// TestHostThatWasCutOffAsksAfterARestore guards against a host that missed the newer configuration and comes back to a store that
// has lost it.
func TestHostThatWasCutOffAsksAfterARestore(t *testing.T) {
	inConfigFleet(t, func(f *configFleet) {
		f.reachStore(false, "h0")
		f.reach(false, "h0")
		f.write(9)
		time.Sleep(withNewer)
		f.restore(8)
		time.Sleep(time.Second)
		f.reachStore(true, "h0")
		f.reach(true, "h0")
		f.never("h0", 8, 2*time.Second)
		if heldAt, settled := f.hosts["h0"].inquiry.Settled(); !settled || heldAt == 0 {
			t.Errorf("last held at %v, settled %v", heldAt, settled)
		}
	})
}

// TestHostsAreServedByTheStoreWhereNothingWasLost is the control: what must be served beside the above, and how soon.
func TestHostsAreServedByTheStoreWhereNothingWasLost(t *testing.T) {
	for name, c := range map[string]struct {
		play   func(f *configFleet)
		host   string
		within time.Duration
	}{
		"a start without any restore":                     {func(f *configFleet) { f.start("h0") }, "h0", time.Millisecond},
		"a restore that loses nothing, at hosts in touch": {func(f *configFleet) { f.restore(9) }, "h1", 0},
		"a start after a restore that loses nothing": {func(f *configFleet) {
			f.restore(9)
			f.start("h0")
		}, "h0", 40 * time.Millisecond},
		"the others have just started too": {func(f *configFleet) {
			f.restore(9)
			for _, name := range f.names {
				f.start(name)
			}
		}, "h0", 40 * time.Millisecond},
		"the others are of an earlier version": {func(f *configFleet) {
			f.restore(9)
			for _, name := range f.names {
				f.old[name] = true
				f.start(name)
			}
			f.start("h0")
		}, "h0", 40 * time.Millisecond},
		"one of the others is dead": {func(f *configFleet) {
			f.restore(9)
			f.reach(false, "h4")
			f.start("h0")
		}, "h0", 40 * time.Millisecond},
		"all others are dead": {func(f *configFleet) {
			f.restore(9)
			f.reach(false, "h0")
			f.start("h0")
		}, "h0", defaultInquiryWait + 50*time.Millisecond},
		"the store was away for long, and one host is dead": {func(f *configFleet) {
			f.reach(false, "h4")
			f.reachStore(false, f.names...)
			time.Sleep(4 * time.Second)
			f.restore(9)
			f.reachStore(true, f.names...)
			time.Sleep(100 * time.Millisecond) // until all have read it
		}, "h1", reportTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			inConfigFleet(t, func(f *configFleet) {
				f.write(9)
				time.Sleep(withNewer)
				c.play(f)
				f.soon(c.host, 9, c.within)
			})
		})
	}
}

// TestHostsInTouchAskNobody is the control of the costs of a restore.
func TestHostsInTouchAskNobody(t *testing.T) {
	inConfigFleet(t, func(f *configFleet) {
		f.restore(7)
		time.Sleep(time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.asked > 0 {
			t.Errorf("%d questions", f.asked)
		}
	})
}
