package coordinator

import (
	"fmt"
	"testing"
	"time"

	"buckthornseam.dev/coord/kvmemory"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
)

// BenchmarkGrantMemory measures the time under Coordinator.mu of a request for memory, of which a service with small memories has
// hundreds a second.
func BenchmarkGrantMemory(b *testing.B) {
	for _, hosts := range []int{64, 295} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			now := time.Hour
			clock := func() time.Duration { return now }
			view := NewFleetView("z0", clock)
			c := NewCoordinator("h0", view, peertest.New(1).Add(peer.Member{ID: peer.ID{Name: "h0", Incarnation: "1"}}), NewPartFailures("h0", view.Hosts, clock, quietLog()),
				copiesOf(view, clock), false, clock, quietLog())
			known, targets := map[string]fleet.Host{}, map[string]fleet.Target{}
			for i := range hosts {
				name := fmt.Sprint("h", i)
				known[name] = fleet.Host{Name: name, Zone: fmt.Sprint("z", i%3), CreateRevision: uint64(i + 1)}
			}
			var engines []string
			for i := range maxMemoryEngines {
				t := fleet.Target{ID: fmt.Sprint("e", i), Service: "s", Slots: 24, StartedMS: 1}
				targets[t.ID], engines = t, append(engines, runOf(t))
			}
			view.SetHosts(known)
			view.SetConfig(&fleet.Config{Version: 1, Services: map[string]fleet.Service{"s": {Engine: &fleet.EngineSpec{KVTokens: testKV, Slots: 24}}}})
			view.SetTargets(fleet.NewTargets(targets))
			c.mu.Lock()
			for name := range known {
				c.hosts[name] = newHostState("1")
				c.memory.ledger.Report(now, name, kvmemory.NodeReport{Incarnation: "1"})
			}
			tell, _ := c.memory.ledger.Witness(now, []string{"h1"}, 2)
			c.memory.ledger.Told(now, tell, true)
			c.mu.Unlock()
			for range 3 { // until the hosts count
				now += time.Second
				for name := range known {
					c.memory.ledger.Report(now, name, kvmemory.NodeReport{Incarnation: "1"})
				}
			}
			seq := uint64(0)
			for b.Loop() {
				seq++
				key := kvmemory.Key{Node: "h1", Incarnation: "1", Seq: seq}
				answer, _, _ := c.askMemory(key, memoryRequest{Seq: seq, Engines: engines, Tokens: 1000, DueMS: 400, LeftMS: 3000})
				if !answer.Granted {
					b.Fatal(answer.Reason)
				}
				c.mu.Lock()
				c.memory.ledger.Cancel(key)
				c.mu.Unlock()
			}
		})
	}
}
