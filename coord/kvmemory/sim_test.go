package kvmemory

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Times of the simulated fleet.
const (
	simReport  = 400 * time.Millisecond // between two reports of a node
	simTimeout = 150 * time.Millisecond // of a call
	simRetry   = 100 * time.Millisecond // after a denial
	simAvoid   = 2 * time.Second        // of a coordinator that did not answer
)

type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// sim is a fleet of nodes that ask for memory over calls that are delayed and lost.
type sim struct {
	random  *rand.Rand
	now     time.Duration
	events  events
	nodes   []*simNode
	side    []int   // nodes with different sides do not reach each other
	lose    float64 // share of messages that are lost; 0: none are lost or late
	engines []string
	inUse   map[string]map[Key]int64 // tokens that engines hold, also of nodes that have restarted
	room    Room
	worst   float64 // highest use of an engine as a part of the room
	asked   int
	served  int
	early   int // of them, granted before they were due
	restart uint64
}

// simNode is one start of a node, with the ledger that it keeps while it is the coordinator.
type simNode struct {
	index  int
	name   string
	inc    string
	dead   bool
	memory *NodeMemory
	copies *Copies
	ledger *Ledger
	avoid  map[int]time.Duration // coordinators that did not answer
	to     int                   // coordinator of the last report; -1: none
	// handOver is set if the coordinator lacks copies.
	handOver bool
	leaves   bool
	leavesAt time.Duration
	hears    time.Duration // how long it takes to hear that another node leaves
	closed   bool          // it has handed its ledger over
}

func newSim(nodes, engines int, room Room, seed uint64) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 9)), now: time.Hour, side: make([]int, nodes), lose: 0.001, inUse: map[string]map[Key]int64{}, room: room, nodes: make([]*simNode, nodes)}
	for i := range engines {
		s.engines = append(s.engines, fmt.Sprint("e", i))
		s.inUse[s.engines[i]] = map[Key]int64{}
	}
	for i := range nodes {
		s.start(i)
	}
	return s
}

func (s *sim) after(d time.Duration, run func()) { heap.Push(&s.events, event{s.now + d, run}) }

func (s *sim) play(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) start(i int) {
	if s.nodes[i] != nil {
		s.nodes[i].dead = true
	}
	s.restart++
	n := &simNode{index: i, name: fmt.Sprint("n", i), inc: fmt.Sprint(s.restart), memory: NewNodeMemory(), copies: NewCopies(), ledger: NewLedger(s.random.Uint64() | 1), avoid: map[int]time.Duration{}, to: -1, hears: time.Duration(s.random.Int64N(int64(300 * time.Millisecond)))}
	s.nodes[i] = n
	s.after(time.Duration(s.random.Int64N(int64(simReport))), func() { s.reportLoop(n) })
}

// delay returns the delay of a message. Some are late where messages are lost.
func (s *sim) delay() time.Duration {
	if s.lose > 0 && s.random.IntN(50) == 0 {
		return time.Duration(s.random.Int64N(int64(400 * time.Millisecond)))
	}
	return time.Duration(s.random.Int64N(int64(5 * time.Millisecond)))
}

// call runs there at another node, which responds now or later, and done with whether the response came back in time.
func (s *sim) call(from *simNode, to int, timeout time.Duration, there func(at *simNode, respond func(any)), done func(reply any, ok bool)) {
	target, ended := s.nodes[to], false
	finish := func(reply any, ok bool) {
		if !ended && !from.dead {
			ended = true
			done(reply, ok)
		}
	}
	s.after(timeout, func() { finish(nil, false) })
	if s.random.Float64() < s.lose || s.side[from.index] != s.side[to] {
		return
	}
	s.after(s.delay(), func() {
		if target.dead {
			return
		}
		there(target, func(reply any) {
			if s.random.Float64() >= s.lose && s.side[from.index] == s.side[to] && !target.dead {
				s.after(s.delay(), func() { finish(reply, true) })
			}
		})
	})
}

type simReply struct {
	epoch       uint64
	lacksCopies bool
}

func (s *sim) coordinatorOf(n *simNode) int {
	for i := range s.nodes {
		if s.nodes[i].leaves && s.now >= s.nodes[i].leavesAt+n.hears {
			continue
		}
		if until, avoided := n.avoid[i]; i == n.index || !avoided || s.now >= until {
			return i
		}
	}
	return n.index
}

func (s *sim) reportLoop(n *simNode) {
	if n.dead {
		return
	}
	to := s.coordinatorOf(n)
	r, _ := n.memory.Report(s.now, n.inc)
	var copies []Copy
	if n.handOver && to == n.to {
		copies, n.handOver = n.copies.HandOver(s.now, s.nodes[to].name), false
	}
	if to != n.index {
		n.closed = true
		for _, epoch := range n.ledger.Close(s.now) {
			copies = append(copies, Copy{Epoch: epoch, Reservations: n.ledger.All(s.now), Closed: true})
		}
	}
	n.to = to
	s.call(n, to, 2*simTimeout, func(c *simNode, respond func(any)) {
		c.closed = c.closed && c != n
		c.ledger.Report(s.now, n.name, r)
		for _, held := range copies {
			c.ledger.HandOver(s.now, held.Epoch, held.Reservations, held.Closed)
		}
		c.ledger.Expire(s.now)
		if c.to != c.index || c.closed { // a deputy
			respond(simReply{})
			return
		}
		s.tellWitness(c, func(bool) {})
		respond(simReply{c.ledger.Epoch(s.now), c.ledger.LacksCopies()})
	}, func(reply any, ok bool) {
		if !ok {
			n.avoid[to], n.to = s.now+simAvoid, -1
			s.after(time.Millisecond, func() { s.reportLoop(n) })
			return
		}
		r := reply.(simReply)
		n.memory.LearnEpoch(s.now, r.epoch)
		if n.handOver = r.lacksCopies; n.handOver {
			s.after(5*time.Millisecond, func() { s.reportLoop(n) })
			return
		}
		s.after(simReport, func() { s.reportLoop(n) })
	})
}

// tellWitness tells the whole ledger to a witness if that is needed.
func (s *sim) tellWitness(c *simNode, done func(ready bool)) {
	var candidates []string
	index := map[string]int{}
	if i := slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == c.ledger.WitnessNode() }); i >= 0 && s.nodes[i].leaves {
		c.ledger.LeaveWitness(s.now)
	}
	for i, n := range s.nodes {
		if known := c.ledger.nodes[n.name]; i != c.index && !n.leaves && known != nil && s.now-known.seenAt <= NodeTimeout {
			candidates = append(candidates, n.name)
		}
		index[n.name] = i
	}
	tell, state := c.ledger.Witness(s.now, candidates, s.random.Uint64()|1)
	if state != WitnessToTell {
		done(state == WitnessReady)
		return
	}
	s.tell(c, index[tell.Witness], tell, true, done)
}

func (s *sim) tell(c *simNode, to int, tell Tell, again bool, done func(bool)) {
	s.call(c, to, simTimeout/4, func(w *simNode, respond func(any)) {
		respond(w.copies.Keep(s.now, c.name, tell.Epoch, tell.Whole, tell.Reservations))
	}, func(reply any, ok bool) {
		if !ok && again {
			s.tell(c, to, tell, false, done)
			return
		}
		done(c.ledger.Told(s.now, tell, ok && reply.(bool)))
	})
}

// ask sends a request that runs for a time if it is granted before its deadline.
func (s *sim) ask(n *simNode, id string, tokens int64, due, until, runTime time.Duration) {
	if n.dead || s.now >= until-time.Second {
		return
	}
	seq := n.memory.Begin()
	request := Request{Key: Key{n.name, n.inc, seq}, ID: id, Tokens: tokens, Due: due, Until: EndOf(until)}
	for _, i := range s.random.Perm(len(s.engines))[:min(8, len(s.engines))] {
		request.Engines = append(request.Engines, s.engines[i])
	}
	retry := func() {
		n.memory.GiveUp(seq)
		s.after(simRetry, func() { s.ask(n, id, tokens, due, until, runTime) })
	}
	if n.to < 0 {
		retry()
		return
	}
	s.call(n, n.to, simTimeout, func(c *simNode, respond func(any)) { s.answer(c, request, respond) }, func(reply any, ok bool) {
		a, _ := reply.(Answer)
		if !ok || !a.Granted {
			retry()
			return
		}
		n.memory.Grant(seq, a.Engine, tokens, request.Until)
		if s.now <= due {
			s.early++
		}
		s.use(n, request.Key, a.Engine, tokens, until, runTime)
	})
}

// answer answers a request once the witness knows of it.
func (s *sim) answer(c *simNode, request Request, respond func(any)) {
	if len(s.nodes) > 1 && !c.ledger.witness.ready || c.to != c.index || c.closed {
		respond(Answer{})
		return
	}
	a := c.ledger.Ask(s.now, request, len(s.nodes), func(string) Room { return s.room })
	if !a.Granted || len(s.nodes) == 1 {
		respond(a)
		return
	}
	tell := c.ledger.TellOf(request.Key)
	s.tell(c, slices.IndexFunc(s.nodes, func(n *simNode) bool { return n.name == tell.Witness }), tell, true, func(ok bool) {
		if !ok {
			c.ledger.Cancel(request.Key)
			a = Answer{}
		}
		respond(a)
	})
}

// use has an engine hold a request. If the request is broken off at its deadline or its node dies, the engine goes on for a while.
func (s *sim) use(n *simNode, k Key, engine string, tokens int64, until, runTime time.Duration) {
	s.inUse[engine][k] = tokens
	sum, count := int64(0), 0
	for _, t := range s.inUse[engine] {
		sum, count = sum+t, count+1
	}
	bound := s.room.Together
	if count == 1 {
		bound = max(bound, s.room.Alone)
	}
	s.worst = max(s.worst, float64(sum)/float64(bound))
	s.served++
	brokenOff := s.now+runTime > until
	end := min(until, s.now+runTime)
	lingers := time.Duration(s.random.Int64N(int64(lingerTime)))
	leave := func() { delete(s.inUse[engine], k) }
	s.after(end-s.now, func() {
		switch {
		case n.dead:
			s.after(until+lingers-s.now, leave)
		case brokenOff:
			n.memory.Release(s.now, k.Seq, true)
			s.after(lingers, leave)
		default:
			n.memory.Release(s.now, k.Seq, false)
			leave()
		}
	})
}
