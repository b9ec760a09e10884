// Package coldstart replays traces of requests against the placement core in
// simulated time. It also computes the limits of what any placement could reach:
// a lower bound of the cold-start time and the idle hours of an oracle.
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
	Run   time.Duration // run time on the engine
	Model string
	Host  int // index of the entry host that receives it
}

// Pool is a group of identical engines.
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
	StoreRate float64 // loads started a second
	Deadline  time.Duration
	Length    time.Duration
	Requests  []Request // in order of arrival
}

// Limits of the weight store, and load times and speeds, the same in all traces.
const (
	storeParallel   = 4
	adapterParallel = 32
	adapterLoadTime = 8 * time.Millisecond
)

var loadSpeed = [3]float64{placement.CacheRemote: 2e9, placement.CacheDisk: 4e9, placement.CacheMemory: 16e9}

// traceSpec holds the parameters of a generated trace.
type traceSpec struct {
	bases, adapters int
	visitsPerHour   float64         // of the most used model
	periodicShare   float64         // share of models visited at regular times
	bursts          []time.Duration // times at which many idle models get requests at once
	burstModels     int
	idle            time.Duration // ModelSpec.Idle
}

// Qasr returns a trace of two hours at the scale of Qasr Ledger Systems, with the
// bursts of a month end.
func Qasr(seed uint64) *Trace {
	t := &Trace{
		Name: "qasr", Hosts: 8, StoreRate: 8, Deadline: 30 * time.Second, Length: 2 * time.Hour,
		Pools: []Pool{{Name: "invoice", Engines: 10, Bytes: 40e9}, {Name: "billing", Engines: 3, Bytes: 40e9}},
	}
	t.generate(seed, traceSpec{
		bases: 50, adapters: 40, visitsPerHour: 12, periodicShare: 0.1, burstModels: 30, idle: 10 * time.Minute,
		bursts: []time.Duration{time.Hour, 90 * time.Minute},
	})
	return t
}

// Vanua returns a trace of two hours at the scale of Vanua Pop-Up Lets, with the
// bursts of several fairs.
func Vanua(seed uint64) *Trace {
	t := &Trace{
		Name: "vanua", Hosts: 8, StoreRate: 6, Deadline: 30 * time.Second, Length: 2 * time.Hour,
		Pools: []Pool{{Name: "drafting", Engines: 20, Bytes: 40e9}, {Name: "booking", Engines: 3, Bytes: 40e9}},
	}
	t.generate(seed, traceSpec{
		bases: 100, adapters: 120, visitsPerHour: 8, periodicShare: 0.1, burstModels: 30, idle: 10 * time.Minute,
		bursts: []time.Duration{40 * time.Minute, 80 * time.Minute, 100 * time.Minute},
	})
	return t
}

// generate adds random models and requests to the trace.
func (t *Trace) generate(seed uint64, spec traceSpec) {
	rng := rand.New(rand.NewPCG(seed, 17))
	for i := range spec.bases {
		pool := t.Pools[0].Name
		if i%8 == 7 {
			pool = t.Pools[1].Name
		}
		t.Models = append(t.Models, placement.ModelSpec{
			Name: fmt.Sprintf("m%03d", i), Pool: pool, Bytes: int64(4e9 + rng.Float64()*12e9), MaxReplicas: 2, Idle: spec.idle,
		})
	}
	for i := range spec.adapters {
		base := t.Models[rng.IntN(8)]
		t.Models = append(t.Models, placement.ModelSpec{
			Name: fmt.Sprintf("a%03d", i), Base: base.Name, Pool: base.Pool, Bytes: 2e8, MaxReplicas: 2, Idle: spec.idle,
		})
	}
	for i, m := range t.Models {
		rank := float64(1 + i%spec.bases)
		gap := time.Duration(math.Pow(rank, 0.8) / spec.visitsPerHour * float64(time.Hour))
		periodic := rng.Float64() < spec.periodicShare
		at := time.Duration(rng.Float64() * float64(gap))
		for at < t.Length {
			t.addVisit(rng, m.Name, at)
			next := rng.ExpFloat64()
			if periodic {
				next = 0.97 + 0.06*rng.Float64()
			}
			at += time.Duration(next * float64(gap))
		}
	}
	for _, at := range spec.bursts {
		for _, i := range rng.Perm(spec.bases)[:spec.burstModels] {
			for host := range t.Hosts {
				t.addRequest(rng, t.Models[i].Name, at+time.Duration(rng.Float64()*float64(time.Second)), host)
			}
		}
	}
	sort.SliceStable(t.Requests, func(i, j int) bool { return t.Requests[i].At < t.Requests[j].At })
}

// addVisit adds the requests of one customer visit: 1 to 11 requests for one
// model, at random hosts.
func (t *Trace) addVisit(rng *rand.Rand, model string, at time.Duration) {
	for range 1 + rng.IntN(11) {
		t.addRequest(rng, model, at, rng.IntN(t.Hosts))
		at += time.Duration(rng.ExpFloat64() * float64(8*time.Second))
	}
}

func (t *Trace) addRequest(rng *rand.Rand, model string, at time.Duration, host int) {
	run := 2*time.Second + time.Duration(rng.Float64()*float64(4*time.Second))
	t.Requests = append(t.Requests, Request{At: at, Run: run, Model: model, Host: host})
}

// spec returns the model with the given name, or nil.
func (t *Trace) spec(name string) *placement.ModelSpec {
	for i := range t.Models {
		if t.Models[i].Name == name {
			return &t.Models[i]
		}
	}
	return nil
}
