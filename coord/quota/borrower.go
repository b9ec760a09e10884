package quota

import (
	"math"
	"slices"
	"time"
)

// borrowerState is what a borrower knows about its loans and its exchange with home.
type borrowerState struct {
	seq             uint64        // of the last loan request
	newestWaitSent  uint64        // newest WaitID sent to home
	pending         *LoanRequest  // request without a reply, nil if none
	sentAt          time.Duration // when pending was last sent
	loanSeq         uint64        // number of loans returned so far
	open            int           // open reservations of the current loan
	openAmount      int64         // their nanotokens
	returned        map[uint64]*returnedLoan
	unreported      []uint64 // loanSeq of returned loans with settlements to report, in order
	unreportedSince time.Duration
	spent           int64         // nanotokens reserved since the last loan request
	granted         int64         // part of spent that home granted
	requestedAt     time.Duration // time of the last loan request
	demand          float64       // nanotokens a second, as of the last loan request
	lastSpent       int64         // value of spent at the last maintainLoan
	lastActive      time.Duration // when a change of spent was last seen

	deniedAmount     int64         // smallest amount denied
	deniedUntil      time.Duration // until then the denial applies without a loan request
	retryAfterDenial time.Duration // time from deniedUntil until a retry is useful
}

// returnedLoan is a loan that was returned while reservations were open.
type returnedLoan struct {
	history       history // of the loan's bucket on this host
	homeMark      Mark    // position in home's history when the loan was returned
	homeMarkKnown bool    // homeMark is set
	open          int     // number of open reservations
	reserved      int64   // nanotokens of reservations settled but not yet reported
	unused        int64   // unused part of reserved, to be credited at home
}

// mustReport reports whether home must be told of settlements: of every released permit, and of
// unused tokens of other reservations.
func (loan *returnedLoan) mustReport(kind Kind) bool {
	return loan.unused > 0 || kind == Permits && loan.reserved > 0
}

// borrow serves local requests from the loan. If the loan is too small, it returns the loan and
// requests another.
func (l *Limit) borrow(now time.Duration) {
	l.bucket.accrue(now)
	served := 0
	for _, q := range l.queue {
		if q.amount > l.bucket.tokens {
			break
		}
		served++
		l.grant(q)
	}
	if served > 0 {
		l.queue = append(l.queue[:0], l.queue[served:]...)
	}
	l.expireLocal(now)
	if len(l.queue) == 0 || l.released {
		return
	}
	if l.borrower.pending == nil {
		l.requestLoan(now, 0)
		return
	}
	if newest := l.queue[len(l.queue)-1].waitID; newest > l.borrower.newestWaitSent {
		l.amendRequest(now)
	}
}

// amendRequest tells home of requests that were queued after the pending loan request was sent.
func (l *Limit) amendRequest(now time.Duration) {
	req := *l.borrower.pending
	req.Revision++
	req.Waiting = l.waitingRequests(now)
	l.borrower.pending = &req
	l.outputs = append(l.outputs, Output{To: l.home, LoanRequest: &req})
}

// waitingRequests lists the queued requests for a loan request.
func (l *Limit) waitingRequests(now time.Duration) []WaitingRequest {
	var requests []WaitingRequest
	for _, q := range l.queue {
		requests = append(requests, WaitingRequest{WaitID: q.waitID, Amount: q.amount, MaxWait: q.deadline - now})
		l.borrower.newestWaitSent = q.waitID
	}
	return requests
}

// demandPeriod is the time constant of the moving average of a borrower's demand.
const demandPeriod = 2 * time.Second

// updateDemand updates the exponentially weighted average of the tokens spent per second.
func (b *borrowerState) updateDemand(now time.Duration) {
	decay := math.Exp(-float64(now-b.requestedAt) / float64(demandPeriod))
	b.demand = b.demand*decay + float64(b.spent)/demandPeriod.Seconds()
	b.requestedAt = now
}

// requestLoan returns the current loan and requests the next one, for the queued requests and for
// up to keep nanotokens without a request.
func (l *Limit) requestLoan(now time.Duration, keep int64) {
	l.bucket.accrueExact(now)
	b := &l.borrower
	b.seq++
	req := LoanRequest{
		Limit: l.name, Epoch: l.epoch, Seq: b.seq,
		Open: b.openAmount, Spent: b.spent - b.granted, Burst: l.burst, Keep: keep,
	}
	req.Return = Share{Rate: l.share.Rate, Cap: l.share.Cap, Tokens: l.bucket.tokens}
	req.Settlements = l.takeSettlements()
	req.Waiting = l.waitingRequests(now)
	b.updateDemand(now)
	req.Demand = b.demand
	if b.open > 0 {
		if b.returned == nil {
			b.returned = make(map[uint64]*returnedLoan)
		}
		b.returned[b.loanSeq] = &returnedLoan{history: l.bucket.history, open: b.open}
	}
	l.dropHoldings(now)
	b.loanSeq++
	b.open, b.openAmount = 0, 0
	b.spent, b.granted = 0, 0
	b.lastSpent = 0
	b.lastActive = now
	b.pending = &req
	b.sentAt = now
	l.stats.LoanRequests++
	l.outputs = append(l.outputs, Output{To: l.home, LoanRequest: &req})
}

// HandleLoanReply credits the loan in home's reply. A reply to anything but the pending request is
// ignored: it was credited before or belongs to a former home.
func (l *Limit) HandleLoanReply(now time.Duration, from ID, reply LoanReply) {
	b := &l.borrower
	if b.pending == nil || l.released || from != l.home || reply.Epoch != l.epoch || reply.Seq != b.seq {
		return
	}
	b.pending = nil
	l.bucket.accrueExact(now)
	if loan := b.returned[b.loanSeq-1]; loan != nil {
		loan.homeMark = reply.Mark
		loan.homeMarkKnown = true
		if loan.mustReport(l.kind) {
			l.queueSettlement(now, b.loanSeq-1)
		}
	}
	l.share = Share{Rate: reply.Loan.Rate, Cap: reply.Loan.Cap}
	l.resize()
	l.bucket.tokens = reply.Loan.Tokens
	l.bucket.clip()
	for _, waitID := range reply.Granted {
		l.grantWait(waitID)
	}
	for _, denial := range reply.Denied {
		if q, ok := l.dequeue(denial.WaitID); ok {
			l.refuse(q, denial.RetryAfter)
			l.rememberDenial(now, q.amount, denial)
		}
	}
	l.advance(now)
	l.returnSpentLoan(now)
}

// returnSpentLoan returns a loan that is used up and has no refill, since home cannot use its
// capacity until then.
func (l *Limit) returnSpentLoan(now time.Duration) {
	if l.borrower.pending == nil && l.share.Cap > 0 && l.share.Rate == 0 && l.bucket.tokens == 0 {
		l.requestLoan(now, 0)
	}
}

// grantWait grants a request that the loan was made for, if it is still queued.
func (l *Limit) grantWait(waitID uint64) {
	i := slices.IndexFunc(l.queue, func(q queuedRequest) bool { return q.waitID == waitID })
	if i < 0 || l.queue[i].amount > l.bucket.tokens {
		return
	}
	q, _ := l.dequeue(waitID)
	l.borrower.granted += q.amount
	l.grant(q)
}

// dequeue removes a request of this host from the queue.
func (l *Limit) dequeue(waitID uint64) (queuedRequest, bool) {
	for i, q := range l.queue {
		if q.from == l.self && q.waitID == waitID {
			l.queue = slices.Delete(l.queue, i, i+1)
			return q, true
		}
	}
	return queuedRequest{}, false
}

// rememberDenial makes Wait refuse requests of at least this amount without asking home, for a
// short time in which home would deny them too.
func (l *Limit) rememberDenial(now time.Duration, amount int64, denial Denial) {
	b := &l.borrower
	validFor := min(denial.ValidFor-denialCacheMargin, denialCacheTime)
	if validFor <= 0 || now < b.deniedUntil && b.deniedAmount <= amount {
		return
	}
	b.deniedAmount = amount
	b.deniedUntil = now + validFor
	b.retryAfterDenial = denial.RetryAfter - validFor
}

// HandleRecall returns the loan at once.
func (l *Limit) HandleRecall(now time.Duration, from ID, r Recall) {
	if from != l.home || r.Epoch != l.epoch || l.borrower.pending != nil || l.released {
		return
	}
	if l.share == (Share{}) && l.bucket.tokens == 0 {
		return
	}
	l.requestLoan(now, 0)
}

// ReturnLoan returns the loan if no request waits. It reports whether nothing borrowed is left: no
// loan, no unanswered loan request and no settlement to report.
func (l *Limit) ReturnLoan(now time.Duration) bool {
	if l.isHome() || l.home == (ID{}) || l.released {
		return true
	}
	l.bucket.accrue(now)
	idle := l.share == (Share{}) && l.bucket.tokens == 0 && len(l.borrower.unreported) == 0
	if !idle && l.borrower.pending == nil && len(l.queue) == 0 {
		l.requestLoan(now, 0)
	}
	return idle && l.borrower.pending == nil
}

// Release discards everything borrowed from a home that is gone and stops borrowing until another
// home is assigned. It reports whether nothing borrowed is left on this host: open permits must be
// settled first.
func (l *Limit) Release(now time.Duration, home ID) bool {
	if l.home != home || l.isHome() {
		return true
	}
	l.dropHoldings(now)
	l.released = true
	l.borrower.pending = nil
	return l.kind == Rate || l.inUse == 0
}

// settleReturned records the settlement of a reservation whose loan was returned before.
func (l *Limit) settleReturned(now time.Duration, r Reservation, unused int64) {
	loan := l.borrower.returned[r.loanSeq]
	if loan == nil {
		return
	}
	loan.open--
	loan.reserved += r.Amount
	loan.unused += loan.history.reduce(unused, r.mark)
	switch {
	case loan.mustReport(l.kind) && loan.homeMarkKnown:
		l.queueSettlement(now, r.loanSeq)
	case !loan.mustReport(l.kind) && loan.open == 0:
		delete(l.borrower.returned, r.loanSeq)
	}
}

func (l *Limit) queueSettlement(now time.Duration, loanSeq uint64) {
	b := &l.borrower
	for _, seq := range b.unreported {
		if seq == loanSeq {
			return
		}
	}
	if len(b.unreported) == 0 {
		b.unreportedSince = now
	}
	b.unreported = append(b.unreported, loanSeq)
}

func (l *Limit) takeSettlements() []Settlement {
	b := &l.borrower
	var settlements []Settlement
	for _, loanSeq := range b.unreported {
		loan := b.returned[loanSeq]
		settlements = append(settlements, Settlement{Mark: loan.homeMark, Reserved: loan.reserved, Unused: loan.unused})
		loan.reserved, loan.unused = 0, 0
		if loan.open == 0 {
			delete(b.returned, loanSeq)
		}
	}
	b.unreported = nil
	return settlements
}

// maintainLoan repeats a pending loan request, reports settlements, and returns a loan that is
// idle or full.
func (l *Limit) maintainLoan(now time.Duration) {
	b := &l.borrower
	if l.released {
		return
	}
	if b.pending != nil {
		if now >= b.sentAt+requestRepeatInterval {
			b.sentAt = now
			l.stats.Repeats++
			l.outputs = append(l.outputs, Output{To: l.home, LoanRequest: b.pending})
		}
		return
	}
	if len(b.unreported) > 0 && (l.kind == Permits || now >= b.unreportedSince+settlementDelay) {
		l.requestLoan(now, l.bucket.tokens)
		return
	}
	if b.spent != b.lastSpent {
		b.lastSpent = b.spent
		b.lastActive = now
	}
	idle := now >= b.lastActive+idleLoanTimeout
	full := l.share.Rate > 0 && l.bucket.tokens >= l.bucket.cap // cannot take its refill, home can
	if full || idle && (l.share != (Share{}) || l.bucket.tokens > 0) {
		l.requestLoan(now, 0)
	}
}
