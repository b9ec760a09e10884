package kvmemory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Times of a Ledger.
const (
	// NodeTimeout is the longest time for which a ledger may count a node that is silent.
	NodeTimeout = 1200 * time.Millisecond
	// joinTime is how long a node must have reported to a ledger before it counts there: the one that it reported to before
	// has dropped it by then, also if its last report was under way for a while.
	joinTime = 2 * time.Second
	// LongestUse is how long a reservation that nobody knows of may be in use: requests without a deadline get this one.
	LongestUse = 30 * time.Second
	// waitTTL is how long a request that was denied counts as waiting: three times the wait that it is told.
	waitTTL = 300 * time.Millisecond
)

// Key identifies a reservation.
type Key struct {
	Node        string
	Incarnation string
	Seq         uint64 // numbers of an incarnation increase
}

// Reservation is memory of an engine for one request.
type Reservation struct {
	Key
	Engine string
	Tokens int64
	Until  time.Duration // EndOf the deadline of the request
	at     time.Duration // when this ledger granted it or heard of it
	own    bool          // this ledger granted it
}

// run is one start of a node.
type run struct{ node, incarnation string }

func (k Key) run() run { return run{k.Node, k.Incarnation} }

// node is what a ledger knows of a node that reports.
type node struct {
	incarnation string
	joinedAt    time.Duration
	seenAt      time.Duration
	from        uint64 // epoch that it brought when it joined
	epoch       uint64 // that it brought last
	asked       uint64 // highest number that it has given out, as reported
	pending     map[uint64]bool
}

// Ledger is the coordinator's account of reservations. It is not safe for concurrent use.
type Ledger struct {
	epoch     uint64
	epochs    map[uint64]bool // all that this ledger has had
	nodes     map[string]*node
	byEngine  map[string]map[Key]Reservation
	byRun     map[run]map[uint64]string       // engine by number
	waiting   map[string]map[waiterKey]waiter // by engine that is set aside
	uncovered map[uint64]time.Duration        // epochs of other ledgers that nobody has handed over, until when that matters
	covered   map[uint64]bool
	closed    map[uint64]bool // epochs of other ledgers that grant no more
	told      []uint64        // own epochs that nodes may have heard of
	isClosed  bool
	closedAt  time.Duration
	pausedTo  time.Duration
	lostEpoch uint64        // of the witness that was lost last
	lostTo    time.Duration // until when that matters
	witness   witness
	prefillTo map[string]time.Duration // by engine, when the long prefills granted there are expected to end
	useTime   time.Duration            // mean time of use of lately released reservations
}

// NewLedger returns a ledger without reservations. The epoch is a random number other than 0.
func NewLedger(epoch uint64) *Ledger {
	return &Ledger{epoch: epoch, epochs: map[uint64]bool{epoch: true}, nodes: map[string]*node{}, byEngine: map[string]map[Key]Reservation{},
		byRun: map[run]map[uint64]string{}, waiting: map[string]map[waiterKey]waiter{}, uncovered: map[uint64]time.Duration{}, covered: map[uint64]bool{}, closed: map[uint64]bool{}, prefillTo: map[string]time.Duration{}, useTime: defaultUse}
}

// Epoch returns the epoch that nodes have to bring to the next ledger. It returns 0 while this ledger does not know all
// reservations that may be in use, or its witness does not: nodes then keep the epoch that they know.
func (l *Ledger) Epoch(now time.Duration) uint64 {
	if !l.witness.ready {
		return 0
	}
	for _, until := range l.uncovered {
		if now < until {
			return 0
		}
	}
	return l.epoch
}

// LacksCopies reports whether nodes have to hand over copies of other ledgers.
func (l *Ledger) LacksCopies() bool { return len(l.uncovered) > 0 }

// InUse reports whether reservations are known that may be in use.
func (l *Ledger) InUse() bool { return len(l.byEngine) > 0 }

// NodeReport is what a node reports to a ledger.
type NodeReport struct {
	Incarnation string
	Asked       uint64   // highest number that it has given out
	Pending     []uint64 // asked for, without an answer yet
	Held        []Reservation
	Epoch       uint64 // of the ledger that it reported to last; 0: none
}

// Report records what a node holds: everything with a number up to Asked that it does not name is released.
func (l *Ledger) Report(now time.Duration, name string, r NodeReport) {
	n := l.nodes[name]
	if n == nil || n.incarnation != r.Incarnation || now-n.seenAt > NodeTimeout {
		n = &node{incarnation: r.Incarnation, joinedAt: now, from: r.Epoch}
		l.nodes[name] = n
	}
	if r.Epoch != n.epoch && !l.epochs[r.Epoch] && !l.covered[r.Epoch] { // it was granted memory by that ledger until now
		l.uncovered[r.Epoch] = now + joinTime + LongestUse
	}
	n.seenAt, n.epoch = now, r.Epoch
	if r.Asked < n.asked {
		return // it was overtaken by a later report
	}
	n.asked, n.pending = r.Asked, map[uint64]bool{}
	for _, seq := range r.Pending {
		n.pending[seq] = true
	}
	held := map[uint64]bool{}
	for _, h := range r.Held {
		held[h.Seq] = true
		h.Node, h.Incarnation, h.at = name, r.Incarnation, now
		l.add(h)
	}
	for seq, engine := range l.byRun[run{name, r.Incarnation}] {
		if seq <= r.Asked && !held[seq] && !n.pending[seq] {
			l.learnUse(now, l.byEngine[engine][Key{name, r.Incarnation, seq}])
			l.remove(Key{name, r.Incarnation, seq}, engine)
		}
	}
}

// Drop forgets that a node reports here. Its reservations stay until their deadlines.
func (l *Ledger) Drop(name string) { delete(l.nodes, name) }

// maxTold is the number of own epochs that nodes may still bring to another ledger.
const maxTold = 4

// Close has the ledger grant nothing before it has another witness, because its node reports to another one. It returns the epochs to
// hand over with all reservations; none if this ledger has not been in use for a while.
func (l *Ledger) Close(now time.Duration) []uint64 {
	if !l.isClosed {
		l.isClosed, l.closedAt = true, now
	}
	l.witness = witness{}
	clear(l.nodes)
	clear(l.waiting)
	if now-l.closedAt > 2*LongestUse {
		l.told = nil
	}
	return l.told
}

// HandOver adds the reservations of another ledger, as that one or a witness of it knows them. Closed is set if that one grants no more.
func (l *Ledger) HandOver(now time.Duration, epoch uint64, reservations []Reservation, closed bool) {
	if l.epochs[epoch] {
		return
	}
	l.closed[epoch] = l.closed[epoch] || closed
	l.covered[epoch] = true
	delete(l.uncovered, epoch)
	for _, r := range reservations {
		r.at, r.own = now, false
		if r.Until > now && !l.releasedByNode(r.Key) {
			l.add(r)
		}
	}
}

// releasedByNode reports whether a node that reports here has said that it does not hold a reservation.
func (l *Ledger) releasedByNode(k Key) bool {
	n := l.nodes[k.Node]
	if n == nil || n.incarnation != k.Incarnation || k.Seq > n.asked || n.pending[k.Seq] {
		return false
	}
	_, held := l.byRun[k.run()][k.Seq]
	return !held
}

// Cancel removes a reservation that was never told to its node.
func (l *Ledger) Cancel(k Key) {
	if engine, ok := l.byRun[k.run()][k.Seq]; ok {
		l.remove(k, engine)
	}
}

func (l *Ledger) add(r Reservation) {
	if engine, ok := l.byRun[r.run()][r.Seq]; ok {
		if engine == r.Engine {
			r.at, r.own = l.byEngine[engine][r.Key].at, l.byEngine[engine][r.Key].own
			l.byEngine[engine][r.Key] = r
		}
		return
	}
	if l.byEngine[r.Engine] == nil {
		l.byEngine[r.Engine] = map[Key]Reservation{}
	}
	if l.byRun[r.run()] == nil {
		l.byRun[r.run()] = map[uint64]string{}
	}
	l.byEngine[r.Engine][r.Key], l.byRun[r.run()][r.Seq] = r, r.Engine
}

// Weights of the time of use.
const (
	useWeight = 16 // reservations that the mean covers
	useFactor = 3  // times the mean, after which most reservations have ended
	// defaultUse is the mean before any is known: the usual time of a stream with a long prompt.
	defaultUse = 2 * time.Second
)

func (l *Ledger) learnUse(now time.Duration, r Reservation) {
	if !r.own {
		return
	}
	l.useTime += (now - r.at - l.useTime) / useWeight
}

// endOf returns when a reservation is expected to end: at the deadline of its request at the latest, also if the engine may go on.
func (l *Ledger) endOf(now time.Duration, r Reservation) time.Duration {
	return max(now+1, min(r.Until-lingerTime, r.at+useFactor*l.useTime))
}

func (l *Ledger) remove(k Key, engine string) {
	if delete(l.byEngine[engine], k); len(l.byEngine[engine]) == 0 {
		delete(l.byEngine, engine)
	}
	if delete(l.byRun[k.run()], k.Seq); len(l.byRun[k.run()]) == 0 {
		delete(l.byRun, k.run())
	}
}

// Expire removes what has passed its deadline.
func (l *Ledger) Expire(now time.Duration) {
	for engine, held := range l.byEngine {
		for k, r := range held {
			if now >= r.Until {
				l.remove(k, engine)
			}
		}
	}
	for engine, waiters := range l.waiting {
		maps.DeleteFunc(waiters, func(_ waiterKey, w waiter) bool { return now-w.askedAt > waitTTL })
		if len(waiters) == 0 {
			delete(l.waiting, engine)
		}
	}
	maps.DeleteFunc(l.prefillTo, func(_ string, end time.Duration) bool { return now >= end })
	maps.DeleteFunc(l.uncovered, func(_ uint64, until time.Duration) bool { return now >= until })
}

// Used returns the tokens and the number of the reservations at an engine.
func (l *Ledger) Used(now time.Duration, engine string) (tokens int64, n int) {
	for _, r := range l.byEngine[engine] {
		if now < r.Until {
			tokens, n = tokens+r.Tokens, n+1
		}
	}
	return tokens, n
}

// All returns the reservations that can still be in use.
func (l *Ledger) All(now time.Duration) []Reservation {
	var out []Reservation
	for _, held := range l.byEngine {
		for _, r := range held {
			if now < r.Until {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b Reservation) int { return cmp.Compare(a.Until, b.Until) })
	return out
}
