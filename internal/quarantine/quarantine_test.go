package quarantine

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
)

// withFleet runs f with a fleet of hosts in fake time.
func withFleet(t *testing.T, hosts int, f func(net *peertest.Network, all []*Quarantine)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net := peertest.New(1)
		net.SetFaults(peertest.Faults{MaxDelay: 2 * time.Millisecond})
		log := logrus.New()
		log.SetOutput(io.Discard)
		var all []*Quarantine
		var wg sync.WaitGroup
		for i := range hosts {
			h := net.Add(peer.Member{ID: peer.ID{Name: fmt.Sprintf("h%03d", i), Incarnation: "1"}})
			q, err := New(Options{Members: h, Caller: h, Registrar: h, Log: log, Metrics: tally.NoopScope, Seed: uint64(i)})
			if err != nil {
				t.Fatal(err)
			}
			all = append(all, q)
			wg.Go(func() { _ = q.Run(ctx) })
		}
		f(net, all)
		time.Sleep(time.Second)
		cancel()
		wg.Wait()
	})
}

// sendCrashingRequest sends a request that crashes every target through one
// host, with retries until it is refused. It returns the number of targets lost.
func sendCrashingRequest(q *Quarantine, firstTarget int) (crashed int) {
	for q.Check("team", "crasher") == nil {
		q.RecordCrash("team", "crasher", fmt.Sprint("target", firstTarget+crashed))
		crashed++
	}
	return crashed
}

func TestCrashingRequestIsStoppedAfterTwoTargets(t *testing.T) {
	withFleet(t, 8, func(_ *peertest.Network, all []*Quarantine) {
		if n := sendCrashingRequest(all[0], 0); n != 2 {
			t.Errorf("crashed %d targets through one host, want 2", n)
		}
	})
	// The caller sends the request again through another host after each loss.
	withFleet(t, 100, func(_ *peertest.Network, all []*Quarantine) {
		crashed := 0
		for i, q := range all {
			if q.Check("team", "crasher") == nil {
				q.RecordCrash("team", "crasher", fmt.Sprint("target", i))
				crashed++
			}
			time.Sleep(100 * time.Millisecond)
			if q.Check("team", "harmless") != nil || q.Check("other", "crasher") != nil {
				t.Error("a harmless request is in quarantine")
			}
		}
		if crashed != 2 {
			t.Errorf("crashed %d targets through 100 hosts, want 2", crashed)
		}
	})
}

func TestUnreachableOwnersHoldRequest(t *testing.T) {
	withFleet(t, 8, func(net *peertest.Network, all []*Quarantine) {
		id := ID{Team: "team", Fingerprint: "crasher"}
		var sender *Quarantine
		for _, q := range all {
			if !contains(all[0].ownersOf(id), q.opts.Members.Self().ID.Name) {
				sender = q
			}
		}
		for _, owner := range sender.ownersOf(id) {
			net.SetBlocked(sender.opts.Members.Self().ID.Name, owner, true)
		}
		if n := sendCrashingRequest(sender, 0); n != 1 {
			t.Errorf("crashed %d targets while the owners were unreachable, want 1", n)
		}
		time.Sleep(DefaultHold)
		if err := sender.Check("team", "crasher"); err != nil {
			t.Errorf("still refused after the hold time: %v", err)
		}
	})
}

func TestReleaseReachesAllHosts(t *testing.T) {
	withFleet(t, 100, func(net *peertest.Network, all []*Quarantine) {
		net.SetFaults(peertest.Faults{LoseCall: 0.3, LoseReply: 0.3, Duplicate: 0.1, MaxDelay: 2 * time.Millisecond})
		sendCrashingRequest(all[0], 0)
		time.Sleep(time.Minute)
		for i, q := range all {
			if q.Check("team", "crasher") == nil {
				t.Errorf("host %d has no entry after a minute of losses", i)
			}
		}
		if err := all[7].Release("team", "crasher"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Minute)
		for i, q := range all {
			if err := q.Check("team", "crasher"); err != nil {
				t.Errorf("host %d: %v", i, err)
			}
		}
		if err := all[3].Release("team", "crasher"); err == nil {
			t.Error("released twice")
		}
	})
}

func TestLossesExpireAndTableIsBounded(t *testing.T) {
	tab, err := newTable(Limits{Entries: 10, Suspects: 10})
	if err != nil {
		t.Fatal(err)
	}
	id := ID{Team: "team", Fingerprint: "f"}
	tab.recordLosses(0, id, []string{"a"})
	if _, changed := tab.recordLosses(time.Hour, id, []string{"b"}); changed != nil {
		t.Error("a loss an hour ago counts")
	}
	tab.removeSuspect(id)
	if _, changed := tab.recordLosses(time.Hour, id, []string{"c"}); changed != nil {
		t.Error("a loss before a success counts")
	}
	for i := range 100 {
		tab.recordLosses(0, ID{Fingerprint: fmt.Sprint(i)}, []string{"a", "b"})
	}
	if n := len(tab.list(0)); n != 10 {
		t.Errorf("%d entries, want 10", n)
	}
	if n := len(tab.list(DefaultEntryTTL + 1)); n != 0 {
		t.Errorf("%d entries after their TTL, want none", n)
	}
}

// TestOnlyTargetCrashedTwice guards against counting two losses of the same
// target once: it crashes the only target of a model through two hosts, and the
// second loss must put the request into quarantine.
func TestOnlyTargetCrashedTwice(t *testing.T) {
	withFleet(t, 3, func(_ *peertest.Network, all []*Quarantine) {
		all[0].RecordCrash("team", "crasher", "only")
		if err := all[1].Check("team", "crasher"); err != nil {
			t.Fatalf("in quarantine after one loss: %v", err)
		}
		all[1].RecordCrash("team", "crasher", "only")
		if err := all[1].Check("team", "crasher"); err == nil {
			t.Fatal("not in quarantine after two losses of the only target")
		}
		if err := all[1].Check("team", "harmless"); err != nil {
			t.Fatalf("another request is refused: %v", err)
		}
	})
}
