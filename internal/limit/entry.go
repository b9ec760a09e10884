package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/invariant"
)

// entry is a limit with the requests and calls that wait for it. The mutex guards the fields below
// it.
type entry struct {
	limiter *Limiter
	name    string
	kind    quota.Kind

	mu           sync.Mutex
	limit        *quota.Limit
	waits        map[uint64]chan quota.WaitResult
	replyWaiters map[replyKey][]chan quota.LoanReply
	inFlight     requestID // loan request being sent, zero if none
	slab         []reservation
	slabLen      int
}

// requestID identifies a loan request to a home.
type requestID struct {
	epoch, seq uint64
	revision   int
}

func requestIDOf(req *quota.LoanRequest) requestID {
	return requestID{req.Epoch, req.Seq, req.Revision}
}

// replyKey identifies a loan request of a borrower.
type replyKey struct {
	from quota.ID
	seq  uint64
}

// newEntry returns a configured entry: a quota.Limit must know its burst before it learns that it
// is home.
func newEntry(l *Limiter, name string, kind quota.Kind, rate float64, burst int64) *entry {
	e := &entry{limiter: l, name: name, kind: kind, limit: quota.New(name, l.self, kind)}
	e.configure(rate, burst)
	return e
}

// homeKnown reports whether the home of the limit is known.
func (e *entry) homeKnown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, home := e.limit.Epoch()
	return home != quota.ID{}
}

func (e *entry) configure(rate float64, burst int64) {
	e.do(func(now time.Duration) { e.limit.Configure(now, rate, burst) })
}

func (e *entry) assign(a quota.Assignment) {
	e.do(func(now time.Duration) { e.limit.Assign(now, a) })
}

// do runs f with mu held and then delivers the outputs of the quota.Limit.
func (e *entry) do(f func(now time.Duration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(e.limiter.now())
	e.deliverOutputs()
}

// deliverOutputs performs the outputs of the quota.Limit. The caller holds mu. Nothing in it
// blocks: each waiter's channel has room for its single result, and a message that finds the queue
// full is repeated later by the quota.Limit.
func (e *entry) deliverOutputs() {
	for _, o := range e.limit.Outputs() {
		switch {
		case o.WaitResult != nil:
			e.waits[o.WaitResult.WaitID] <- *o.WaitResult
			delete(e.waits, o.WaitResult.WaitID)
		case o.LoanReply != nil:
			e.deliverReply(replyKey{o.To, o.LoanReply.Seq}, *o.LoanReply)
		default:
			e.queueMessage(message{entry: e, to: o.To, loanRequest: o.LoanRequest, recall: o.Recall})
		}
	}
	if e.limit.Busy() {
		e.limiter.markActive(e)
	}
}

func (e *entry) deliverReply(k replyKey, reply quota.LoanReply) {
	for _, ch := range e.replyWaiters[k] {
		ch <- reply
	}
	delete(e.replyWaiters, k)
}

func (e *entry) queueMessage(m message) {
	if m.loanRequest != nil {
		if e.inFlight == requestIDOf(m.loanRequest) {
			return // already being sent
		}
		e.inFlight = requestIDOf(m.loanRequest)
	}
	select {
	case e.limiter.messages <- m:
	default:
		e.inFlight = requestID{}
	}
}

// take reserves tokens that this host holds. It returns nil if they do not suffice.
func (e *entry) take(n int64) *reservation {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.limit.Take(e.limiter.now(), n)
	if !ok {
		return nil
	}
	return e.newReservation(r)
}

// maxSlab is the largest number of reservations allocated at once.
const maxSlab = 64

// newReservation wraps r for callers. Reservations are allocated in slabs to keep their cost per
// request negligible. A slab is never reused, so a late second call of Settle finds its own
// reservation.
func (e *entry) newReservation(r quota.Reservation) *reservation {
	if len(e.slab) == 0 {
		e.slabLen = min(max(2*e.slabLen, 1), maxSlab)
		e.slab = make([]reservation, e.slabLen)
	}
	res := &e.slab[0]
	e.slab = e.slab[1:]
	res.entry = e
	res.res = r
	return res
}

// wait reserves tokens as soon as they are available. Without a reservation it returns the time
// after which a retry is useful, or the error that ended the wait.
func (e *entry) wait(ctx context.Context, n int64) (*reservation, time.Duration, error) {
	ch := make(chan quota.WaitResult, 1)
	id := e.enqueue(ctx, n, ch)
	select {
	case result := <-ch:
		return e.finishWait(result)
	case <-ctx.Done():
	}
	e.mu.Lock()
	canceled := e.limit.Cancel(e.limiter.now(), id)
	delete(e.waits, id)
	e.deliverOutputs()
	e.mu.Unlock()
	if !canceled {
		if result := <-ch; result.Granted {
			e.settle(result.Reservation, 0)
		}
	}
	return nil, 0, ctx.Err()
}

func (e *entry) finishWait(result quota.WaitResult) (*reservation, time.Duration, error) {
	if !result.Granted {
		return nil, result.RetryAfter, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newReservation(result.Reservation), 0, nil
}

func (e *entry) enqueue(ctx context.Context, n int64, ch chan quota.WaitResult) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.limiter.now()
	wait := maxWait
	if _, home := e.limit.Epoch(); home == (quota.ID{}) {
		wait = maxHomeWait
		e.limiter.triggerReconcile()
	}
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	if e.waits == nil {
		e.waits = make(map[uint64]chan quota.WaitResult)
	}
	id := e.limit.Wait(now, n, now+wait)
	e.waits[id] = ch
	e.deliverOutputs()
	return id
}

func (e *entry) settle(r quota.Reservation, used int64) {
	e.do(func(now time.Duration) { e.limit.Settle(now, r, used) })
}

// tick does the periodic work of the limit and checks its invariants.
func (e *entry) tick() (stats quota.Stats, home bool) {
	e.do(func(now time.Duration) {
		e.limit.Tick(now)
		stats = e.limit.Stats()
		_, at := e.limit.Epoch()
		home = at == e.limiter.self
		if at == (quota.ID{}) && e.limit.Busy() {
			e.limiter.triggerReconcile() // queued requests need a home
		}
		ok := e.limit.Consistent(now)
		invariant.Check(ok, invariant.RateWithinLimit, "limit %s holds more than its share on host %s",
			e.name, e.limiter.self.Name)
	})
	return stats, home
}

// reservation implements serve.Reservation.
type reservation struct {
	entry   *entry
	res     quota.Reservation
	settled atomic.Bool
}

// Settle implements serve.Reservation.
func (r *reservation) Settle(used int64) {
	if r.settled.Swap(true) {
		return
	}
	if reserved := r.res.Amount / quota.Nano; used > reserved {
		invariant.Check(false, invariant.RateWithinLimit, "%d tokens used of %d reserved of %s",
			used, reserved, r.entry.name)
		used = reserved
	}
	r.entry.settle(r.res, used*quota.Nano)
}
