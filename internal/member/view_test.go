package member

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/standin/objectapi"
)

// silentLimit is the bound on finding a silent link.
const silentLimit = 3 * time.Second

type bench struct {
	t     *testing.T
	net   *peertest.Network
	store *objectapi.Store
	hosts []*peertest.Host
	views []*View
	stops []context.CancelFunc
}

func newBench(t *testing.T, n int) *bench {
	b := &bench{t: t, net: peertest.New(1), store: objectapi.NewStore()}
	for i := range n {
		b.list(i, fmt.Sprintf("10.0.0.%d:1", i))
		b.hosts, b.views, b.stops = append(b.hosts, nil), append(b.views, nil), append(b.stops, nil)
	}
	for i := range n {
		b.start(i, "first")
	}
	t.Cleanup(func() {
		for _, stop := range b.stops {
			stop()
		}
		synctest.Wait()
	})
	return b
}

func host(i int) string { return fmt.Sprintf("host-%d", i) }

func (b *bench) list(i int, peerAddress string) {
	data, err := json.Marshal(HostEntry{Name: host(i), Zone: "suva", PeerAddress: peerAddress})
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := b.store.Put(context.Background(), platform.Object{Kind: platform.KindHosts, Name: host(i), Data: data}); err != nil {
		b.t.Fatal(err)
	}
}

func (b *bench) start(i int, incarnation string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := peer.Member{ID: peer.ID{Name: host(i), Incarnation: incarnation}, PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)}
	b.hosts[i] = b.net.Add(self)
	b.views[i] = NewView(Options{Self: self, API: b.store, Caller: b.hosts[i], Registrar: b.hosts[i], Log: log, Metrics: tally.NoopScope})
	ctx, cancel := context.WithCancel(context.Background())
	b.stops[i] = cancel
	go func() { _ = b.views[i].Run(ctx) }()
}

// seen returns how host i sees host j.
func (b *bench) seen(i, j int) peer.Member {
	for _, m := range b.views[i].Members() {
		if m.ID.Name == host(j) {
			return m
		}
	}
	return peer.Member{}
}

func TestSilentHostIsRoutedRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 8)
		time.Sleep(10 * time.Second)
		b.hosts[3].SetDown(true)
		time.Sleep(silentLimit)
		for i := range b.views {
			if i != 3 && b.seen(i, 3).State != peer.StateSuspect {
				t.Errorf("host %d sees %+v", i, b.seen(i, 3))
			}
		}
		b.hosts[3].SetDown(false)
		time.Sleep(silentLimit)
		for i := range b.views {
			if i != 3 && b.seen(i, 3).State != peer.StateAlive {
				t.Errorf("after its return host %d sees %+v", i, b.seen(i, 3))
			}
		}
	})
}

func TestRestartDuringAPIOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 8)
		time.Sleep(10 * time.Second)
		b.store.SetFaults(objectapi.Faults{Down: true})
		b.stops[2]()
		b.hosts[2].SetDown(true)
		time.Sleep(time.Minute)
		if m := b.seen(0, 2); m.State != peer.StateSuspect {
			t.Errorf("a dead host is seen as %+v", m)
		}
		b.start(2, "second")
		time.Sleep(silentLimit)
		for i := range b.views {
			if m := b.seen(i, 2); m.ID.Incarnation != "second" || m.State != peer.StateAlive {
				t.Errorf("host %d sees %+v", i, m)
			}
		}
	})
}

func TestLeavingHostIsKnownWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 8)
		time.Sleep(10 * time.Second)
		b.views[5].Leave()
		time.Sleep(2 * time.Second)
		for i := range b.views {
			if b.seen(i, 5).State != peer.StateLeaving {
				t.Errorf("host %d sees %+v", i, b.seen(i, 5))
			}
		}
	})
}

// TestListCallsStayBounded checks that the fleet's calls for the host list do
// not grow with the fleet.
func TestListCallsStayBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, 60)
		time.Sleep(10 * time.Second)
		before := b.store.Calls()["list"]
		time.Sleep(30 * time.Second)
		perSecond := float64(b.store.Calls()["list"]-before) / 30
		if limit := float64(time.Second / listPerHost); perSecond > limit*1.1 {
			t.Errorf("%.1f calls a second, want at most %.0f", perSecond, limit)
		}
	})
}
