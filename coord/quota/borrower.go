package quota

import (
	"math"
	"slices"
	"time"
)

// debt is a borrower's side of the exchange with home.
type debt struct {
	seq     uint64        // of the last ask
	asked   uint64        // newest wait that home was told of
	pending *LoanRequest  // not answered yet
	sent    time.Duration // when pending went out last
	turn    uint64        // number of loans given back so far
	open    int           // reservations open on the present loan
	amount  int64         // their nanotokens
	handed  map[uint64]*handed
	claims  []uint64 // turns with settlements to report, in order
	since   time.Duration
	spent   int64         // nanotokens taken since the last ask
	granted int64         // of these, those that home granted
	started time.Duration // time of the last ask
	demand  float64       // nanotokens a second, as of the last ask
	last    int64         // spent as of the last upkeep
	active  time.Duration // when spent last changed

	denied    int64         // smallest need denied
	denyUntil time.Duration // until then the denial is applied without asking
	denyAfter time.Duration // what then remained of the wait
}

// handed is a loan that was given back while reservations were open.
type handed struct {
	past     history // of the loan while it was here
	home     Mark    // of home, when the loan came back
	answered bool    // home is known
	open     int     // reservations not settled yet
	taken    int64   // nanotokens settled and not reported
	unused   int64   // of these, to be given back
}

// due reports whether home has to hear of settlements: of every permit that
// comes back, and of what other reservations did not use.
func (h *handed) due(kind Kind) bool {
	return h.unused > 0 || kind == Permits && h.taken > 0
}

// borrow serves local waits from the loan, and gives the loan back for another
// when it is short.
func (l *Limit) borrow(now time.Duration) {
	l.b.accrue(now)
	served := 0
	for _, it := range l.queue {
		if it.amount > l.b.tokens {
			break
		}
		served++
		l.grant(it)
	}
	if served > 0 {
		l.queue = append(l.queue[:0], l.queue[served:]...)
	}
	l.expire(now)
	if len(l.queue) == 0 || l.released {
		return
	}
	if l.debt.pending == nil {
		l.ask(now, 0)
		return
	}
	if newest := l.queue[len(l.queue)-1].wait; newest > l.debt.asked {
		l.amend(now)
	}
}

// amend tells home of requests that came to wait after the pending ask.
func (l *Limit) amend(now time.Duration) {
	a := *l.debt.pending
	a.Revision++
	a.Waiting = l.needs(now)
	l.debt.pending = &a
	l.out = append(l.out, Output{To: l.home, LoanRequest: &a})
}

// needs describes the waiting requests.
func (l *Limit) needs(now time.Duration) []WaitingRequest {
	var needs []WaitingRequest
	for _, it := range l.queue {
		needs = append(needs, WaitingRequest{WaitID: it.wait, Amount: it.amount, MaxWait: it.deadline - now})
		l.debt.asked = it.wait
	}
	return needs
}

// demandPeriod is the time over which the demand of a borrower is averaged.
const demandPeriod = 2 * time.Second

// updateDemand averages what was spent, older spending weighing less.
func (d *debt) updateDemand(now time.Duration) {
	fade := math.Exp(-float64(now-d.started) / float64(demandPeriod))
	d.demand = d.demand*fade + float64(d.spent)/demandPeriod.Seconds()
	d.started = now
}

// ask gives back the loan and asks for the next: what the waiting requests
// need, or to keep some tokens.
func (l *Limit) ask(now time.Duration, keep int64) {
	l.b.accrueExact(now)
	d := &l.debt
	d.seq++
	a := LoanRequest{Limit: l.name, Epoch: l.epoch, Seq: d.seq, Open: d.amount, Spent: d.spent - d.granted, Burst: l.burst, Keep: keep}
	a.Return = Share{Rate: l.parts.Rate, Cap: l.parts.Cap, Tokens: l.b.tokens}
	a.Settlements = l.takeClaims()
	a.Waiting = l.needs(now)
	d.updateDemand(now)
	a.Demand = d.demand
	if d.open > 0 {
		if d.handed == nil {
			d.handed = make(map[uint64]*handed)
		}
		d.handed[d.turn] = &handed{past: l.b.past, open: d.open}
	}
	l.drop(now)
	d.turn++
	d.open, d.amount = 0, 0
	d.spent, d.granted = 0, 0
	d.last = 0
	d.active = now
	d.pending = &a
	d.sent = now
	l.moves.LoanRequests++
	l.out = append(l.out, Output{To: l.home, LoanRequest: &a})
}

// HandleLoanReply credits the loan that home answered with. Answers to anything
// but the pending ask were credited before or belong to a home of the past.
func (l *Limit) HandleLoanReply(now time.Duration, from ID, a LoanReply) {
	d := &l.debt
	if d.pending == nil || l.released || from != l.home || a.Epoch != l.epoch || a.Seq != d.seq {
		return
	}
	d.pending = nil
	l.b.accrueExact(now)
	if h := d.handed[d.turn-1]; h != nil {
		h.home = a.Mark
		h.answered = true
		if h.due(l.kind) {
			l.queueClaim(now, d.turn-1)
		}
	}
	l.parts = Share{Rate: a.Loan.Rate, Cap: a.Loan.Cap}
	l.resize()
	l.b.tokens = a.Loan.Tokens
	l.b.clip()
	for _, wait := range a.Granted {
		l.grantWait(wait)
	}
	for _, denial := range a.Denied {
		if it, ok := l.dequeue(denial.WaitID); ok {
			l.refuse(it, denial.RetryAfter)
			l.remember(now, it.amount, denial)
		}
	}
	l.pump(now)
	l.returnSpent(now)
}

// returnSpent gives back a loan without refill of which nothing is left, since
// home cannot use its capacity before.
func (l *Limit) returnSpent(now time.Duration) {
	if l.debt.pending == nil && l.parts.Cap > 0 && l.parts.Rate == 0 && l.b.tokens == 0 {
		l.ask(now, 0)
	}
}

// grantWait grants a request that home made a loan for, if it still waits.
func (l *Limit) grantWait(wait uint64) {
	i := slices.IndexFunc(l.queue, func(it item) bool { return it.wait == wait })
	if i < 0 || l.queue[i].amount > l.b.tokens {
		return
	}
	it, _ := l.dequeue(wait)
	l.debt.granted += it.amount
	l.grant(it)
}

// dequeue removes a request of this host from the queue.
func (l *Limit) dequeue(wait uint64) (item, bool) {
	for i, it := range l.queue {
		if it.from == l.self && it.wait == wait {
			l.queue = slices.Delete(l.queue, i, i+1)
			return it, true
		}
	}
	return item{}, false
}

// remember applies a denial to requests as large that come before home could
// judge otherwise.
func (l *Limit) remember(now time.Duration, amount int64, denial Denial) {
	d := &l.debt
	sure := min(denial.ValidFor-denyMargin, denyMemory)
	if sure <= 0 || now < d.denyUntil && d.denied <= amount {
		return
	}
	d.denied = amount
	d.denyUntil = now + sure
	d.denyAfter = denial.RetryAfter - sure
}

// HandleRecall gives the loan back at once.
func (l *Limit) HandleRecall(now time.Duration, from ID, r Recall) {
	if from != l.home || r.Epoch != l.epoch || l.debt.pending != nil || l.released {
		return
	}
	if l.parts == (Share{}) && l.b.tokens == 0 {
		return
	}
	l.ask(now, 0)
}

// ReturnLoan returns the loan if nobody waits. It reports whether nothing
// borrowed is left here or on its way back, settlements included.
func (l *Limit) ReturnLoan(now time.Duration) bool {
	if l.isHome() || l.home == (ID{}) || l.released {
		return true
	}
	l.b.accrue(now)
	idle := l.parts == (Share{}) && l.b.tokens == 0 && len(l.debt.claims) == 0
	if !idle && l.debt.pending == nil && len(l.queue) == 0 {
		l.ask(now, 0)
	}
	return idle && l.debt.pending == nil
}

// Release drops everything borrowed from a home that is gone, for good. It
// reports whether nothing of it is left on this host: open permits have to be
// settled first.
func (l *Limit) Release(now time.Duration, home ID) bool {
	if l.home != home || l.isHome() {
		return true
	}
	l.drop(now)
	l.released = true
	l.debt.pending = nil
	return l.kind == Rate || l.inUse == 0
}

// claim records the settlement of a reservation whose loan was given back.
func (l *Limit) claim(now time.Duration, r Reservation, unused int64) {
	h := l.debt.handed[r.turn]
	if h == nil {
		return
	}
	h.open--
	h.taken += r.Amount
	h.unused += h.past.reduce(unused, r.mark)
	switch {
	case h.due(l.kind) && h.answered:
		l.queueClaim(now, r.turn)
	case !h.due(l.kind) && h.open == 0:
		delete(l.debt.handed, r.turn)
	}
}

func (l *Limit) queueClaim(now time.Duration, turn uint64) {
	d := &l.debt
	for _, t := range d.claims {
		if t == turn {
			return
		}
	}
	if len(d.claims) == 0 {
		d.since = now
	}
	d.claims = append(d.claims, turn)
}

func (l *Limit) takeClaims() []Settlement {
	d := &l.debt
	var claims []Settlement
	for _, turn := range d.claims {
		h := d.handed[turn]
		claims = append(claims, Settlement{Mark: h.home, Reserved: h.taken, Unused: h.unused})
		h.taken, h.unused = 0, 0
		if h.open == 0 {
			delete(d.handed, turn)
		}
	}
	d.claims = nil
	return claims
}

// upkeep repeats a pending ask, reports settlements and returns an idle loan.
func (l *Limit) upkeep(now time.Duration) {
	d := &l.debt
	if l.released {
		return
	}
	if d.pending != nil {
		if now >= d.sent+askRepeat {
			d.sent = now
			l.moves.Repeats++
			l.out = append(l.out, Output{To: l.home, LoanRequest: d.pending})
		}
		return
	}
	if len(d.claims) > 0 && (l.kind == Permits || now >= d.since+claimDelay) {
		l.ask(now, l.b.tokens)
		return
	}
	if d.spent != d.last {
		d.last = d.spent
		d.active = now
	}
	idle := now >= d.active+idleReturn
	wasting := l.parts.Rate > 0 && l.b.tokens >= l.b.cap // home has room for it
	if wasting || idle && (l.parts != (Share{}) || l.b.tokens > 0) {
		l.ask(now, 0)
	}
}
