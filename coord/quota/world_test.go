package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"
)

// world is a fleet in simulated time: hosts with clocks of their own, a
// network, the object that holds the ledger and the platform's host list.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	events  events
	nodes   []*node
	faults  faults
	ledger  Ledger
	version int
	listed  map[string]bool
	apiDown bool
	kinds   map[string]Kind
	conf    map[string]conf // newest
	log     map[string][]spend
	views   []view
	entries int
}

type conf struct {
	rate  float64
	burst int64
}

// order numbers the entries of the log, of which many bear the same time when a
// paused host resumes.
func (w *world) order() int {
	w.entries++
	return w.entries
}

// view is a change of the configuration in force on one host.
type view struct {
	order int
	at    time.Duration
	node  int
	limit string
	conf  conf // zero: the host is gone
}

// spend is a granted reservation; ended is when its permits came back.
type spend struct {
	order     int
	at, ended time.Duration
	taken     int64
	used      int64
	node      *node
	inc       string
}

type faults struct{ lose, duplicate, slow, loseAnswer float64 }

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

func (w *world) after(d time.Duration, run func()) {
	w.events.seq++
	heap.Push(&w.events, event{at: w.now + d, seq: w.events.seq, run: run})
}

func (w *world) run(until time.Duration) {
	for len(w.events.list) > 0 && w.events.list[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = until
}

func newWorld(seed uint64, hosts int, limits map[string]conf, kinds map[string]Kind) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), conf: limits, kinds: kinds,
		listed: map[string]bool{}, log: map[string][]spend{},
	}
	for i := range hosts {
		n := &node{w: w, index: i, id: ID{Name: fmt.Sprint("h", i)}}
		w.nodes = append(w.nodes, n)
		n.start()
	}
	return w
}

// send delivers to whichever run has the name; the answer of a call goes to
// the run that called.
func (w *world) send(to string, run func(n *node)) {
	if w.rng.Float64() < w.faults.lose {
		return
	}
	copies := 1
	if w.rng.Float64() < w.faults.duplicate {
		copies = 2
	}
	for range copies {
		for _, n := range w.nodes {
			if n.id.Name == to {
				w.after(w.delay(), func() { n.do(0, func() { run(n) }) })
			}
		}
	}
}

func (w *world) delay() time.Duration {
	d := 500*time.Microsecond + time.Duration(w.rng.Int64N(int64(time.Millisecond)))
	if w.rng.Float64() < w.faults.slow {
		d += time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	}
	return d
}

func (w *world) other(than *node) *node {
	for range w.nodes {
		if n := w.nodes[w.rng.IntN(len(w.nodes))]; n != than && n.up && !n.leaving && w.listed[n.id.Name] {
			return n
		}
	}
	return nil
}
