package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
	"buckthornseam.dev/seam/internal/platform"
)

// testFleet is some hosts on one network. Each has its own list of targets.
type testFleet struct {
	t       *testing.T
	network *peertest.Network
	hosts   []*testHost
	store   *memStore
}

type testHost struct {
	*Registry
	net        *peertest.Host
	targets    atomic.Pointer[fleet.Targets]
	targetsAge atomic.Int64 // nanoseconds since they were last known to be current
	kill       context.CancelFunc
}

func newFleet(t *testing.T, n int, versions ...string) *testFleet {
	f := &testFleet{t: t, network: peertest.New(1), hosts: make([]*testHost, n), store: &memStore{objects: map[string]platform.Object{}}}
	for i := range n {
		f.start(i, versions...)
	}
	return f
}

// start starts or restarts a host.
func (f *testFleet) start(i int, versions ...string) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	names := make([]string, len(f.hosts))
	for j := range names {
		names[j] = fmt.Sprintf("h%d", j)
	}
	if old := f.hosts[i]; old != nil {
		old.kill()
	}
	started := time.Now()
	h := &testHost{net: f.network.Add(peer.Member{ID: peer.ID{Name: names[i]}})}
	h.targets.Store(targetsOf(versions...))
	now := func() time.Duration { return time.Since(started) + time.Hour }
	h.Registry = New(Options{
		Self: names[i], Hosts: func() []string { return names },
		Targets: func() fleet.Dated[*fleet.Targets] {
			return fleet.Dated[*fleet.Targets]{Copy: h.targets.Load(), CurrentAt: now() - time.Duration(h.targetsAge.Load())}
		}, Calls: h.net, Store: f.store, StoreInterval: func() time.Duration { return testStoreInterval }, Now: now, Log: log,
	})
	h.Register(h.net)
	ctx, cancel := context.WithCancel(context.Background())
	h.kill = cancel
	f.t.Cleanup(cancel)
	go func() { _ = h.Run(ctx) }()
	f.hosts[i] = h
}

// restartAll kills all hosts and starts them again a second later.
func (f *testFleet) restartAll(versions ...string) {
	for _, h := range f.hosts {
		h.kill()
	}
	time.Sleep(time.Second)
	for i := range f.hosts {
		f.start(i, versions...)
	}
}

func targetsOf(versions ...string) *fleet.Targets {
	targets := map[string]fleet.Target{}
	for _, v := range versions {
		targets[v] = fleet.Target{ID: v, Service: "llm", Version: v}
	}
	return fleet.NewTargets(targets)
}

func (f *testFleet) setVersions(versions ...string) {
	for _, h := range f.hosts {
		h.targets.Store(targetsOf(versions...))
	}
}

// lookup returns the version that a host finds for a stream, or "unknown".
func (f *testFleet) lookup(host int, attempt string) string {
	version, err := f.hosts[host].Lookup(context.Background(), "llm", attempt)
	var unknown *UnknownVersionError
	if errors.As(err, &unknown) {
		return "unknown"
	} else if err != nil {
		f.t.Fatal(err)
	}
	return version
}

// run runs a test of a fleet in fake time.
func run(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(t); t.Cleanup(synctest.Wait) })
}

// TestAnyHostFindsTheVersion guards against a stream whose version is unknown at other hosts, or lost with its host.
func TestAnyHostFindsTheVersion(t *testing.T) {
	run(t, func(t *testing.T) {
		const hosts, streams = 8, 40
		f := newFleet(t, hosts, "v1", "v2")
		for i := range streams {
			f.hosts[i%hosts].Began("llm", fmt.Sprint("s", i), []string{"v1", "v2"}[i%2])
		}
		time.Sleep(10 * time.Millisecond)
		f.hosts[0].net.SetDown(true)
		for i := range streams {
			want := []string{"v1", "v2"}[i%2]
			if got := f.lookup(1+i%(hosts-1), fmt.Sprint("s", i)); got != want {
				t.Errorf("stream %d of host %d: found version %s, want %s", i, i%hosts, got, want)
			}
		}
	})
}

// TestStreamsInProgressWhenVersionAppears guards against running streams whose version is unknown once a second version appears.
func TestStreamsInProgressWhenVersionAppears(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 4, "v1")
		f.hosts[0].Began("llm", "running", "v1")
		f.hosts[0].Began("llm", "complete", "v1")
		f.hosts[0].Completed("complete")
		time.Sleep(time.Second)
		f.setVersions("v1", "v2")
		time.Sleep(2 * observeInterval)
		f.hosts[0].net.SetDown(true)
		for host := 1; host < 4; host++ {
			if got := f.lookup(host, "running"); got != "v1" {
				t.Errorf("host %d: version %s of a stream in progress, want v1", host, got)
			}
			if got := f.lookup(host, "complete"); got != "unknown" {
				t.Errorf("host %d: version %s of a complete stream, want it unknown", host, got)
			}
		}
	})
}

// TestSingleVersionNeedsNoRecord guards against a host that has just started taking the last version for the only one there was.
func TestSingleVersionNeedsNoRecord(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 3, "v1", "v2")
		time.Sleep(time.Second)
		f.setVersions("v2")
		time.Sleep(time.Second)
		f.start(0, "v2")
		for host := range 3 {
			if got := f.lookup(host, "lost"); got != "unknown" {
				t.Errorf("host %d, a second after v1: version %s, want it unknown", host, got)
			}
		}
		time.Sleep(retention)
		for host := range 3 {
			if got := f.lookup(host, "lost"); got != "v2" {
				t.Errorf("host %d, long after v1: version %s, want v2", host, got)
			}
		}
	})
}

// TestVersionThatThisHostHasNotSeenIsFound guards against a host whose list of targets lags: a stream that a new version began must
// not go on at the only version on that list.
func TestVersionThatThisHostHasNotSeenIsFound(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 8, "v1")
		time.Sleep(retention + time.Second)
		f.hosts[0].targets.Store(targetsOf("v1", "v2"))
		f.hosts[0].Began("llm", "canary", "v2")
		f.hosts[0].Began("llm", "usual", "v1")
		time.Sleep(10 * time.Millisecond)
		f.hosts[0].net.SetDown(true)
		for host := 1; host < len(f.hosts); host++ {
			if got := f.lookup(host, "canary"); got != "v2" {
				t.Errorf("host %d: version %s of a stream that v2 began, want v2", host, got)
			}
			if got := f.lookup(host, "usual"); got != "v1" {
				t.Errorf("host %d: version %s of a stream that v1 began, want v1", host, got)
			}
		}
	})
}

// TestOnlyVersionGoesOnWithoutARecord guards against refusing streams of a service with one version: no host has a record once the one that
// began them is lost.
func TestOnlyVersionGoesOnWithoutARecord(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 4, "v1")
		time.Sleep(retention + time.Second)
		f.start(1, "v1")
		for host := range f.hosts {
			if got := f.lookup(host, "lost"); got != "v1" {
				t.Errorf("host %d: version %s, want v1", host, got)
			}
		}
		f.hosts[3].net.SetDown(true)
		if got := f.lookup(2, "lost"); got != "v1" {
			t.Errorf("a host is lost, the list of targets is current: version %s, want v1", got)
		}
	})
}

// TestHostWithAnOldListRefusesWithoutReplies guards against a host that is cut off taking the only version that it knows for the
// only one that there is.
func TestHostWithAnOldListRefusesWithoutReplies(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 4, "v1")
		time.Sleep(retention + time.Second)
		f.hosts[0].targetsAge.Store(int64(maxTargetsAge))
		if got := f.lookup(0, "lost"); got != "v1" {
			t.Errorf("old list, all hosts reply: version %s, want v1", got)
		}
		f.hosts[0].net.SetDown(true)
		if got := f.lookup(0, "lost"); got != "unknown" {
			t.Errorf("old list, no host replies: version %s, want it unknown", got)
		}
	})
}

// TestListThatChangesDuringALookupIsNotTakenForTheEarlierOne guards against a stream that goes on at another version: a host that
// goes on after a freeze has asked the others with its earlier list, and hears meanwhile that its list is current.
func TestListThatChangesDuringALookupIsNotTakenForTheEarlierOne(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 4, "v1")
		time.Sleep(retention + time.Second)
		h := f.hosts[0]
		h.targetsAge.Store(int64(maxTargetsAge))
		f.network.SetFaults(peertest.Faults{LoseReply: 1})
		time.AfterFunc(lookupTimeout/2, func() {
			h.targets.Store(targetsOf("v1", "v2"))
			h.targetsAge.Store(0)
		})
		if got := f.lookup(0, "lost"); got != "unknown" {
			t.Errorf("a second version was listed during the lookup: version %s, want it unknown", got)
		}
	})
}

// TestCurrentListServesWithoutReplies is the control: what the host knows of its list during the lookup counts.
func TestCurrentListServesWithoutReplies(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 4, "v1")
		time.Sleep(retention + time.Second)
		h := f.hosts[0]
		h.targetsAge.Store(int64(maxTargetsAge))
		f.network.SetFaults(peertest.Faults{LoseReply: 1})
		time.AfterFunc(lookupTimeout/2, func() { h.targetsAge.Store(0) })
		if got := f.lookup(0, "lost"); got != "v1" {
			t.Errorf("the only list there was is current again: version %s, want v1", got)
		}
	})
}

// TestLookupIsBounded checks that hosts that don't reply delay a lookup by lookupTimeout at most.
func TestLookupIsBounded(t *testing.T) {
	run(t, func(t *testing.T) {
		f := newFleet(t, 6, "v1", "v2")
		f.network.SetFaults(peertest.Faults{LoseReply: 1})
		began := time.Now()
		if got := f.lookup(0, "s"); got != "unknown" {
			t.Errorf("version %s, want it unknown", got)
		}
		if took := time.Since(began); took > lookupTimeout {
			t.Errorf("took %v, want %v at most", took, lookupTimeout)
		}
	})
}

// TestRecordsAreBounded checks that records are kept for the retention, and not without limit.
func TestRecordsAreBounded(t *testing.T) {
	r := newRecords(0)
	for i := range 4 * maxRecords {
		r.put(record{Key: streamKey(i)}, 0)
	}
	if n := len(r.current) + len(r.previous); n > maxRecords {
		t.Errorf("%d records kept, want %d at most", n, maxRecords)
	}
	last := streamKey(4*maxRecords - 1)
	if _, ok := r.get(last, retention); !ok {
		t.Error("record is lost within the retention")
	}
	if _, ok := r.get(last, 3*retention); ok {
		t.Error("record is kept after the retention")
	}
}

// TestRecordsAreSpreadOverHosts checks that hosts keep similar numbers of records, and that a host that leaves
// changes nothing for the records of the others.
func TestRecordsAreSpreadOverHosts(t *testing.T) {
	const hosts, streams = 8, 8000
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("h", i))
	}
	count := map[string]int{}
	for key := range streamKey(streams) {
		kept := rank(key, names, "", copies)
		for _, host := range kept {
			count[host]++
		}
		if kept[0] != "h0" && kept[1] != "h0" && !slices.Equal(kept, rank(key, names[1:], "", copies)) {
			t.Errorf("key %d: kept by %v, by %v without h0", key, kept, rank(key, names[1:], "", copies))
		}
	}
	const each = streams * copies / hosts
	for _, name := range names {
		if n := count[name]; n < each*8/10 || n > each*12/10 {
			t.Errorf("%s keeps %d records, want about %d", name, n, each)
		}
	}
}
