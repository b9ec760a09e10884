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

// detectionLimit is the time within which a silent or returned host must be detected.
const detectionLimit = 3 * time.Second

type testFleet struct {
	t     *testing.T
	net   *peertest.Network
	store *objectapi.Store
	hosts []*peertest.Host
	views []*View
	stops []context.CancelFunc
}

func newTestFleet(t *testing.T, n int) *testFleet {
	f := &testFleet{t: t, net: peertest.New(1), store: objectapi.NewStore()}
	for i := range n {
		f.listHost(i, fmt.Sprintf("10.0.0.%d:1", i))
		f.hosts, f.views, f.stops = append(f.hosts, nil), append(f.views, nil), append(f.stops, nil)
	}
	for i := range n {
		f.startHost(i, "first")
	}
	t.Cleanup(func() {
		for _, stop := range f.stops {
			stop()
		}
		synctest.Wait()
	})
	return f
}

func hostName(i int) string { return fmt.Sprintf("host-%d", i) }

func (f *testFleet) listHost(i int, peerAddress string) {
	data, err := json.Marshal(HostEntry{Name: hostName(i), Zone: "suva", PeerAddress: peerAddress})
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.store.Put(context.Background(), platform.Object{Kind: platform.KindHosts, Name: hostName(i), Data: data}); err != nil {
		f.t.Fatal(err)
	}
}

func (f *testFleet) startHost(i int, incarnation string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := peer.Member{ID: peer.ID{Name: hostName(i), Incarnation: incarnation}, PeerAddress: fmt.Sprintf("10.0.0.%d:1", i)}
	f.hosts[i] = f.net.Add(self)
	f.views[i] = NewView(Options{Self: self, API: f.store, Caller: f.hosts[i], Registrar: f.hosts[i], Log: log, Metrics: tally.NoopScope})
	ctx, cancel := context.WithCancel(context.Background())
	f.stops[i] = cancel
	go func() { _ = f.views[i].Run(ctx) }()
}

// memberAt returns host j as seen by host i.
func (f *testFleet) memberAt(i, j int) peer.Member {
	for _, m := range f.views[i].Members() {
		if m.ID.Name == hostName(j) {
			return m
		}
	}
	return peer.Member{}
}

func TestSilentHostIsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 8)
		time.Sleep(10 * time.Second)
		f.hosts[3].SetDown(true)
		time.Sleep(detectionLimit)
		for i := range f.views {
			if i != 3 && f.memberAt(i, 3).State != peer.StateSuspect {
				t.Errorf("host %d sees the silent host as %+v", i, f.memberAt(i, 3))
			}
		}
		f.hosts[3].SetDown(false)
		time.Sleep(detectionLimit)
		for i := range f.views {
			if i != 3 && f.memberAt(i, 3).State != peer.StateAlive {
				t.Errorf("host %d sees the returned host as %+v", i, f.memberAt(i, 3))
			}
		}
	})
}

func TestRestartDuringAPIOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 8)
		time.Sleep(10 * time.Second)
		f.store.SetFaults(objectapi.Faults{Down: true})
		f.stops[2]()
		f.hosts[2].SetDown(true)
		time.Sleep(time.Minute)
		if m := f.memberAt(0, 2); m.State != peer.StateSuspect {
			t.Errorf("a dead host is seen as %+v, want it suspect", m)
		}
		f.startHost(2, "second")
		time.Sleep(detectionLimit)
		for i := range f.views {
			if m := f.memberAt(i, 2); m.ID.Incarnation != "second" || m.State != peer.StateAlive {
				t.Errorf("host %d sees the restarted host as %+v", i, m)
			}
		}
	})
}

func TestLeavingHostIsKnownWithinTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 8)
		time.Sleep(10 * time.Second)
		f.views[5].Leave()
		time.Sleep(2 * time.Second)
		for i := range f.views {
			if f.memberAt(i, 5).State != peer.StateLeaving {
				t.Errorf("host %d sees the leaving host as %+v", i, f.memberAt(i, 5))
			}
		}
	})
}

// TestListCallsStayBounded checks that the total rate of host list calls does not
// grow with the number of hosts.
func TestListCallsStayBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 60)
		time.Sleep(10 * time.Second)
		before := f.store.Calls()["list"]
		time.Sleep(30 * time.Second)
		perSecond := float64(f.store.Calls()["list"]-before) / 30
		if limit := float64(time.Second / listIntervalPerHost); perSecond > limit*1.1 {
			t.Errorf("%.1f calls a second, want at most %.0f", perSecond, limit)
		}
	})
}
