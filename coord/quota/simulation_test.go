package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// simulation is a fleet in simulated time. It consists of hosts with their own clocks, a network,
// the object that holds the ledger, and the platform's host list.
type simulation struct {
	rng           *rand.Rand
	now           time.Duration
	events        events
	nodes         []*node
	faults        faults
	ledger        Ledger
	version       int
	listed        map[string]bool
	apiDown       bool
	kinds         map[string]Kind
	configs       map[string]limitConfig // current configuration
	reservations  map[string][]reservationRecord
	configChanges []configChange
	lastOrder     int
}

type limitConfig struct {
	rate  float64
	burst int64
}

// nextOrder numbers reservations and configuration changes. Many of them have the same time when a
// paused host resumes.
func (sim *simulation) nextOrder() int {
	sim.lastOrder++
	return sim.lastOrder
}

// configChange is a change of the configuration in force on one host.
type configChange struct {
	order  int
	at     time.Duration
	node   int
	limit  string
	config limitConfig // zero: the host has stopped
}

// reservationRecord is a granted reservation. settledAt is when it was settled or its host stopped,
// negative until then or if it was settled at once.
type reservationRecord struct {
	order              int
	takenAt, settledAt time.Duration
	reserved           int64
	used               int64
	node               *node
	incarnation        string
}

type faults struct{ loss, duplicate, slow, replyLoss float64 }

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	a, b := e.list[i], e.list[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.events.seq++
	heap.Push(&sim.events, event{at: sim.now + d, seq: sim.events.seq, run: run})
}

func (sim *simulation) run(until time.Duration) {
	for len(sim.events.list) > 0 && sim.events.list[0].at <= until {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.now = until
}

func newSimulation(seed uint64, hosts int, limits map[string]limitConfig, kinds map[string]Kind) *simulation {
	sim := &simulation{
		rng: rand.New(rand.NewPCG(seed, 7)), configs: limits, kinds: kinds,
		listed: map[string]bool{}, reservations: map[string][]reservationRecord{},
	}
	for i := range hosts {
		n := &node{sim: sim, index: i, id: ID{Name: fmt.Sprint("h", i)}}
		sim.nodes = append(sim.nodes, n)
		n.start()
	}
	return sim
}

// send delivers a message to the current run of the named host, subject to the network faults.
func (sim *simulation) send(to string, run func(n *node)) {
	if sim.rng.Float64() < sim.faults.loss {
		return
	}
	copies := 1
	if sim.rng.Float64() < sim.faults.duplicate {
		copies = 2
	}
	for range copies {
		for _, n := range sim.nodes {
			if n.id.Name == to {
				sim.after(sim.delay(), func() { n.do(0, func() { run(n) }) })
			}
		}
	}
}

func (sim *simulation) delay() time.Duration {
	d := 500*time.Microsecond + time.Duration(sim.rng.Int64N(int64(time.Millisecond)))
	if sim.rng.Float64() < sim.faults.slow {
		d += time.Duration(sim.rng.Int64N(int64(3 * time.Second)))
	}
	return d
}

func (sim *simulation) otherNode(except *node) *node {
	for range sim.nodes {
		if n := sim.nodes[sim.rng.IntN(len(sim.nodes))]; n != except && n.up && !n.draining && sim.listed[n.id.Name] {
			return n
		}
	}
	return nil
}
