// Package coldstart replays traces of requests against the placement core in
// fake time, and computes what the best placement could reach on them: a lower
// bound of the cold-start time and the idle hours of an oracle.
package coldstart

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"buckthornseam.dev/coord/placement"
)

// Request is one request to a model.
type Request struct {
	At    time.Duration
	Run   time.Duration // on the engine
	Model string
	Host  int // entry host it came to
}

// Pool is a group of equal engines.
type Pool struct {
	Name    string
	Engines int
	Bytes   int64 // memory of one engine
}

// Trace is a workload.
type Trace struct {
	Name      string
	Hosts     int
	Pools     []Pool
	Models    []placement.ModelSpec
	StoreRate float64 // loads a second
	Deadline  time.Duration
	Length    time.Duration
	Requests  []Request // by time
}

// Limits of the weight store at both users, and speeds of a load by cache.
const (
	storeParallel   = 4
	adapterParallel = 32
	adapterTime     = 8 * time.Millisecond
)

var loadSpeed = [3]float64{placement.CacheRemote: 2e9, placement.CacheDisk: 4e9, placement.CacheMemory: 16e9}

// shape says how a trace is made.
type shape struct {
	bases, adapters int
	visitsAnHour    float64         // of the most used model
	periodic        float64         // share of models visited at regular times
	bursts          []time.Duration // times at which many idle models wake up
	burstModels     int
	idle            time.Duration // ModelSpec.Idle
}

// Qasr returns two hours at the size of Qasr Ledger Systems, with a month end.
func Qasr(seed uint64) *Trace {
	t := &Trace{
		Name: "qasr", Hosts: 8, StoreRate: 8, Deadline: 30 * time.Second, Length: 2 * time.Hour,
		Pools: []Pool{{Name: "invoice", Engines: 10, Bytes: 40e9}, {Name: "billing", Engines: 3, Bytes: 40e9}},
	}
	t.fill(seed, shape{
		bases: 50, adapters: 40, visitsAnHour: 12, periodic: 0.1, burstModels: 30, idle: 10 * time.Minute,
		bursts: []time.Duration{time.Hour, 90 * time.Minute},
	})
	return t
}

// Vanua returns two hours at the size of Vanua Pop-Up Lets, with fairs.
func Vanua(seed uint64) *Trace {
	t := &Trace{
		Name: "vanua", Hosts: 8, StoreRate: 6, Deadline: 30 * time.Second, Length: 2 * time.Hour,
		Pools: []Pool{{Name: "drafting", Engines: 20, Bytes: 40e9}, {Name: "booking", Engines: 3, Bytes: 40e9}},
	}
	t.fill(seed, shape{
		bases: 100, adapters: 120, visitsAnHour: 8, periodic: 0.1, burstModels: 30, idle: 10 * time.Minute,
		bursts: []time.Duration{40 * time.Minute, 80 * time.Minute, 100 * time.Minute},
	})
	return t
}

// fill makes models and requests.
func (t *Trace) fill(seed uint64, s shape) {
	rng := rand.New(rand.NewPCG(seed, 17))
	for i := range s.bases {
		pool := t.Pools[0].Name
		if i%8 == 7 {
			pool = t.Pools[1].Name
		}
		t.Models = append(t.Models, placement.ModelSpec{
			Name: fmt.Sprintf("m%03d", i), Pool: pool, Bytes: int64(4e9 + rng.Float64()*12e9), MaxReplicas: 2, Idle: s.idle,
		})
	}
	for i := range s.adapters {
		base := t.Models[rng.IntN(8)]
		t.Models = append(t.Models, placement.ModelSpec{
			Name: fmt.Sprintf("a%03d", i), Base: base.Name, Pool: base.Pool, Bytes: 2e8, MaxReplicas: 2, Idle: s.idle,
		})
	}
	for i, m := range t.Models {
		rank := float64(1 + i%s.bases)
		gap := time.Duration(math.Pow(rank, 0.8) / s.visitsAnHour * float64(time.Hour))
		regular := rng.Float64() < s.periodic
		at := time.Duration(rng.Float64() * float64(gap))
		for at < t.Length {
			t.visit(rng, m.Name, at)
			next := rng.ExpFloat64()
			if regular {
				next = 0.97 + 0.06*rng.Float64()
			}
			at += time.Duration(next * float64(gap))
		}
	}
	for _, at := range s.bursts {
		for _, i := range rng.Perm(s.bases)[:s.burstModels] {
			for host := range t.Hosts {
				t.add(rng, t.Models[i].Name, at+time.Duration(rng.Float64()*float64(time.Second)), host)
			}
		}
	}
	sort.SliceStable(t.Requests, func(i, j int) bool { return t.Requests[i].At < t.Requests[j].At })
}

// visit adds the requests of one customer at the counter.
func (t *Trace) visit(rng *rand.Rand, model string, at time.Duration) {
	for range 1 + rng.IntN(11) {
		t.add(rng, model, at, rng.IntN(t.Hosts))
		at += time.Duration(rng.ExpFloat64() * float64(8*time.Second))
	}
}

func (t *Trace) add(rng *rand.Rand, model string, at time.Duration, host int) {
	run := 2*time.Second + time.Duration(rng.Float64()*float64(4*time.Second))
	t.Requests = append(t.Requests, Request{At: at, Run: run, Model: model, Host: host})
}

// spec returns the model of a name.
func (t *Trace) spec(name string) *placement.ModelSpec {
	for i := range t.Models {
		if t.Models[i].Name == name {
			return &t.Models[i]
		}
	}
	return nil
}
