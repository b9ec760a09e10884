package config

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/coord/vmap"

	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/peer/peertest"
)

// newIdleStore returns a store that holds objects and does not run.
func newIdleStore(t testing.TB, objects []vmap.Change[json.RawMessage]) *Store {
	t.Helper()
	return newIdleStoreOf(t, peertest.New(1).Add(peer.Member{ID: peer.ID{Name: "host-0", Incarnation: "1"}, Zone: "zone-0"}), objects)
}

// newIdleStoreOf returns a store of a host in a network.
func newIdleStoreOf(t testing.TB, host *peertest.Host, objects []vmap.Change[json.RawMessage]) *Store {
	t.Helper()
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	s, err := NewStore(StoreOptions{Members: host, Caller: host, Registrar: host, Log: log, Metrics: tally.NoopScope})
	if err != nil {
		t.Fatal(err)
	}
	s.merge(func() []vmap.Applied[json.RawMessage] { return s.objects.Replace(uint64(len(objects)), objects) })
	return s
}

func instanceJSON(template string, params map[string]any) json.RawMessage {
	data, err := json.Marshal(map[string]any{"template": template, "params": params})
	if err != nil {
		panic(err)
	}
	return data
}

func change(name string, version int, data json.RawMessage) vmap.Change[json.RawMessage] {
	return vmap.Change[json.RawMessage]{Name: name, Version: uint64(version), Value: data}
}

func adapterChange(i, version int) vmap.Change[json.RawMessage] {
	name := fmt.Sprintf("adapter-%05d", i)
	return change("model."+name, version, instanceJSON("model", map[string]any{
		"name": name, "base": fmt.Sprintf("base-%d", i%61), "bytes": 50_000_000 + version, "pool": "drafting", "max_replicas": 4,
	}))
}

// fleetObjects returns the instances of teams with a key each and of adapters with an
// offering each.
func fleetObjects(teams, adapters int) []vmap.Change[json.RawMessage] {
	var list []vmap.Change[json.RawMessage]
	next := func() int { return len(list) + 1 }
	for i := range teams {
		team := fmt.Sprintf("team-%04d", i)
		list = append(list, change(team, next(), instanceJSON("team", map[string]any{"name": team, "rate": 1000, "burst": 5000})))
		list = append(list, change("key."+team, next(), instanceJSON("key", map[string]any{"team": team, "hash": HashKey(team)})))
	}
	for i := range adapters {
		list = append(list, adapterChange(i, next()))
		name := fmt.Sprintf("adapter-%05d", i)
		list = append(list, change("offering."+name, next(), instanceJSON("offering", map[string]any{
			"team": fmt.Sprintf("team-%04d", i%max(teams, 1)), "name": "assistant-" + name, "model": name,
		})))
	}
	return list
}

// BenchmarkChange measures a change of one adapter in the largest configuration that the
// design allows for. The baseline renders all instances anew.
func BenchmarkChange(b *testing.B) {
	objects := fleetObjects(1000, 41000)
	s := newIdleStore(b, objects)
	version := len(objects)
	b.Run("incremental", func(b *testing.B) {
		for b.Loop() {
			version++
			s.merge(func() []vmap.Applied[json.RawMessage] {
				a, _ := s.objects.Apply(adapterChange(version%41000, version))
				return []vmap.Applied[json.RawMessage]{a}
			})
		}
	})
	b.Run("rebuild", func(b *testing.B) {
		for b.Loop() {
			x, err := newIndex()
			if err != nil {
				b.Fatal(err)
			}
			for _, o := range objects {
				x.apply(o.Name, nil, o.Value)
			}
			x.snapshot(1)
		}
	})
}

// BenchmarkExchange measures the handling of one digest exchange in which neither side
// lacks anything, encoding of the reply included.
func BenchmarkExchange(b *testing.B) {
	s := newIdleStore(b, fleetObjects(100, 1000))
	params, err := json.Marshal(syncRequest{Digest: s.objects.Digest(), Members: 1200})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	bytes := 0
	for b.Loop() {
		reply, err := s.handleSync(b.Context(), peer.ID{Name: "host-1", Incarnation: "1"}, params)
		if err != nil {
			b.Fatal(err)
		}
		data, err := json.Marshal(reply)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(data) + len(params)
	}
	b.ReportMetric(float64(bytes), "bytes/exchange")
}

// BenchmarkMemory measures the live heap that teams with a key each and adapters with an
// offering each take.
func BenchmarkMemory(b *testing.B) {
	for _, c := range []struct{ teams, adapters int }{{1000, 0}, {10000, 0}, {1000, 41000}} {
		b.Run(fmt.Sprintf("teams=%d/adapters=%d", c.teams, c.adapters), func(b *testing.B) {
			for b.Loop() {
				before := liveHeap()
				s := newIdleStore(b, cloned(fleetObjects(c.teams, c.adapters)))
				b.ReportMetric(float64(liveHeap()-before)/1e6, "MB")
				runtime.KeepAlive(s)
			}
		})
	}
}

// cloned gives each value its own memory, as a decoder does.
func cloned(list []vmap.Change[json.RawMessage]) []vmap.Change[json.RawMessage] {
	for i := range list {
		list[i].Value = append(json.RawMessage(nil), list[i].Value...)
	}
	return list
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	time.Sleep(10 * time.Millisecond)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkTopology measures the computation of a host's topology among 1,200 members,
// and the check that an unchanged member list needs no new one.
func BenchmarkTopology(b *testing.B) {
	var members []peer.Member
	for i := range 1200 {
		members = append(members, peer.Member{ID: peer.ID{Name: fmt.Sprintf("host-%d", i)}, Zone: fmt.Sprintf("zone-%d", i%12)})
	}
	b.Run("changed", func(b *testing.B) {
		for b.Loop() {
			newTopology(members[0], members)
		}
	})
	b.Run("unchanged", func(b *testing.B) {
		for b.Loop() {
			sameTopology(members, members)
		}
	})
}
