package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/invariant"
)

// entry is one limit with its core and those who wait on it.
type entry struct {
	x    *Limiter
	name string
	kind quota.Kind

	mu      sync.Mutex
	core    *quota.Limit
	waits   map[uint64]chan quota.WaitResult
	answers map[answerKey][]chan quota.LoanReply
	asking  askID // of the call in progress, zero if none
	slab    []reservation
	slabLen int
}

// askID tells asks to the same home apart.
type askID struct {
	epoch, seq uint64
	part       int
}

func idOf(a *quota.LoanRequest) askID { return askID{a.Epoch, a.Seq, a.Revision} }

// answerKey names an ask of a borrower.
type answerKey struct {
	from quota.ID
	seq  uint64
}

// newEntry returns a configured entry: a core must know its burst before it
// learns that it is home.
func newEntry(x *Limiter, name string, kind quota.Kind, rate float64, burst int64) *entry {
	e := &entry{x: x, name: name, kind: kind, core: quota.New(name, x.self, kind)}
	e.configure(rate, burst)
	return e
}

// opened reports whether the home of the limit is known.
func (e *entry) opened() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, home := e.core.Epoch()
	return home != quota.ID{}
}

func (e *entry) configure(rate float64, burst int64) {
	e.do(func(now time.Duration) { e.core.Configure(now, rate, burst) })
}

func (e *entry) assign(g quota.Assignment) {
	e.do(func(now time.Duration) { e.core.Assign(now, g) })
}

// do runs f on the core and carries out what the core then wants.
func (e *entry) do(f func(now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.x.now())
	e.flush()
}

// flush carries out the core's outputs; the caller holds mu. Nothing in it
// blocks: waiters have room for their one verdict, and messages that find the
// queue full are repeated by the core.
func (e *entry) flush() {
	for _, o := range e.core.Outputs() {
		switch {
		case o.WaitResult != nil:
			e.waits[o.WaitResult.WaitID] <- *o.WaitResult
			delete(e.waits, o.WaitResult.WaitID)
		case o.LoanReply != nil:
			e.deliver(answerKey{o.To, o.LoanReply.Seq}, *o.LoanReply)
		default:
			e.post(message{entry: e, to: o.To, ask: o.LoanRequest, recall: o.Recall})
		}
	}
	if e.core.Busy() {
		e.x.markActive(e)
	}
}

func (e *entry) deliver(k answerKey, a quota.LoanReply) {
	for _, ch := range e.answers[k] {
		ch <- a
	}
	delete(e.answers, k)
}

func (e *entry) post(m message) {
	if m.ask != nil {
		if e.asking == idOf(m.ask) {
			return // its call is in progress
		}
		e.asking = idOf(m.ask)
	}
	select {
	case e.x.sends <- m:
	default:
		e.asking = askID{}
	}
}

// take reserves from what is here. It returns nil if that does not suffice.
func (e *entry) take(n int64) *reservation {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.core.Take(e.x.now(), n)
	if !ok {
		return nil
	}
	return e.keep(r)
}

// maxSlab is the most reservations allocated together.
const maxSlab = 64

// keep returns r in a form that callers hold. Reservations are allocated in
// slabs, which makes their cost per request negligible; a slab is never used
// again, so a late second Settle finds its own reservation.
func (e *entry) keep(r quota.Reservation) *reservation {
	if len(e.slab) == 0 {
		e.slabLen = min(max(2*e.slabLen, 1), maxSlab)
		e.slab = make([]reservation, e.slabLen)
	}
	kept := &e.slab[0]
	e.slab = e.slab[1:]
	kept.entry = e
	kept.res = r
	return kept
}

// wait reserves as soon as tokens come. Without a reservation it returns the
// time after which a new try is worthwhile, or why the wait ended.
func (e *entry) wait(ctx context.Context, n int64) (*reservation, time.Duration, error) {
	ch := make(chan quota.WaitResult, 1)
	id := e.enqueue(ctx, n, ch)
	select {
	case v := <-ch:
		return e.decide(v)
	case <-ctx.Done():
	}
	e.mu.Lock()
	canceled := e.core.Cancel(e.x.now(), id)
	delete(e.waits, id)
	e.flush()
	e.mu.Unlock()
	if !canceled {
		if v := <-ch; v.Granted {
			e.settle(v.Reservation, 0)
		}
	}
	return nil, 0, ctx.Err()
}

func (e *entry) decide(v quota.WaitResult) (*reservation, time.Duration, error) {
	if !v.Granted {
		return nil, v.RetryAfter, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.keep(v.Reservation), 0, nil
}

func (e *entry) enqueue(ctx context.Context, n int64, ch chan quota.WaitResult) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.x.now()
	limit := patience
	if _, home := e.core.Epoch(); home == (quota.ID{}) {
		limit = openPatience
		e.x.kickKeeper()
	}
	if deadline, ok := ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline))
	}
	if e.waits == nil {
		e.waits = make(map[uint64]chan quota.WaitResult)
	}
	id := e.core.Wait(now, n, now+limit)
	e.waits[id] = ch
	e.flush()
	return id
}

func (e *entry) settle(r quota.Reservation, used int64) {
	e.do(func(now time.Duration) { e.core.Settle(now, r, used) })
}

// tick does what is due and checks what must hold here.
func (e *entry) tick() (moves quota.Stats, home bool) {
	e.do(func(now time.Duration) {
		e.core.Tick(now)
		moves = e.core.Stats()
		_, at := e.core.Epoch()
		home = at == e.x.self
		if at == (quota.ID{}) && e.core.Busy() {
			e.x.kickKeeper() // requests wait for the home to be known
		}
		ok := e.core.Consistent(now)
		invariant.Check(ok, invariant.RateWithinLimit, "limit %s holds more than its share on host %s", e.name, e.x.self.Name)
	})
	return moves, home
}

// reservation implements serve.Reservation.
type reservation struct {
	entry *entry
	res   quota.Reservation
	done  atomic.Bool
}

// Settle implements serve.Reservation.
func (r *reservation) Settle(used int64) {
	if r.done.Swap(true) {
		return
	}
	if reserved := r.res.Amount / quota.Nano; used > reserved {
		invariant.Check(false, invariant.RateWithinLimit, "%d tokens used of %d reserved of %s", used, reserved, r.entry.name)
		used = reserved
	}
	r.entry.settle(r.res, used*quota.Nano)
}
