package quota

import (
	"cmp"
	"slices"
	"time"
)

// account is home's record of one borrower.
type account struct {
	seq        uint64     // of the last loan request processed
	revision   int        // of that request
	reply      *LoanReply // reply to that request, nil if not sent yet
	loan       Share      // current loan
	prefetched int64      // nanotokens of the loan beyond the granted amounts
	openAmount int64      // nanotokens of open reservations of former loans
	returnMark Mark       // position in the history when the last loan was returned

	demand       float64 // as stated in the last loan request
	keep         int64
	settlesLater bool     // its requests are not settled at once
	granted      []uint64 // WaitIDs granted in the next reply
	grantedSum   int64    // nanotokens granted in the next reply
	grantedMax   int64    // largest amount granted in the next reply
	denied       []Denial
}

const (
	// recallInterval is the least time between two rounds of recalls.
	recallInterval = 20 * time.Millisecond
	// recallFanout is the number of borrowers that are sent a recall in one round.
	recallFanout = 16
	// Loans beyond the requested amount are made only while at least 1/prefetchFloorDivisor of the
	// burst is left. They cover the demand of prefetchTime and take at most 1/prefetchTokenDivisor
	// of the tokens left and 1/prefetchRateDivisor of the refill left.
	prefetchFloorDivisor = 2
	prefetchTokenDivisor = 16
	prefetchRateDivisor  = 4
	prefetchTime         = 3 * time.Second
)

// HandleLoanRequest processes a borrower's loan request. The reply is added to the outputs, now or
// later. HandleLoanRequest returns false if the request belongs to another epoch or is out of date;
// the sender must then read the ledger.
func (l *Limit) HandleLoanRequest(now time.Duration, from ID, req LoanRequest) bool {
	if !l.isHome() || req.Epoch != l.epoch {
		return false
	}
	acc := l.accounts[from]
	if acc == nil {
		acc = &account{}
		l.accounts[from] = acc
	}
	switch {
	case req.Seq == acc.seq && acc.reply != nil:
		l.stats.Repeats++
		l.outputs = append(l.outputs, Output{To: from, LoanReply: acc.reply})
		return true
	case req.Seq == acc.seq && req.Revision <= acc.revision:
		return true // a reply will follow
	case req.Seq == acc.seq:
	case req.Seq == acc.seq+1:
		l.creditReturn(now, acc, req)
		acc.seq = req.Seq
		acc.reply = nil
		acc.keep = req.Keep
		acc.settlesLater = acc.settlesLater || req.Open > 0 || len(req.Settlements) > 0
		acc.demand = req.Demand
	default:
		return false
	}
	acc.revision = req.Revision
	switch {
	case !l.frozen:
		l.updateQueue(now, from, req.Waiting)
	case len(req.Waiting) == 0:
		acc.keep = 0
		l.lend(now, from, acc) // an empty loan that confirms the return
	}
	l.advance(now)
	return true
}

// updateQueue makes the queue match the requests that wait at a borrower. Requests that were
// queued before keep their places.
func (l *Limit) updateQueue(now time.Duration, from ID, requests []WaitingRequest) {
	unseen := make(map[uint64]bool, len(requests)) // WaitIDs not found in the queue so far
	for _, r := range requests {
		unseen[r.WaitID] = true
	}
	l.queue = slices.DeleteFunc(l.queue, func(q queuedRequest) bool {
		if q.from != from {
			return false
		}
		waiting := unseen[q.waitID]
		delete(unseen, q.waitID)
		if !waiting {
			l.refundIdeal(q.amount)
		}
		return !waiting
	})
	for _, r := range requests {
		if unseen[r.WaitID] {
			l.enqueue(now, queuedRequest{from: from, waitID: r.WaitID, amount: r.Amount, deadline: now + r.MaxWait})
		}
	}
}

// creditReturn credits a returned loan. The borrower debited it before it sent the request, and
// each request is processed once, so nothing is counted twice.
func (l *Limit) creditReturn(now time.Duration, acc *account, req LoanRequest) {
	l.bucket.accrueExact(now)
	l.share.Rate += acc.loan.Rate
	l.share.Cap += acc.loan.Cap
	l.resize()
	l.bucket.tokens += l.clampReturn(acc.loan, req.Return.Tokens)
	acc.loan = Share{}
	acc.prefetched = 0
	l.bucket.clip()
	acc.returnMark = l.bucket.history.startSegment(l.bucket.cap - l.bucket.tokens)
	if req.Burst > l.burst {
		acc.returnMark = noMark // the borrower did not know of the lower burst and overestimated its headroom
	}
	acc.openAmount += req.Open
	l.ideal.tokens -= req.Spent
	for _, s := range req.Settlements {
		acc.openAmount -= s.Reserved
		if s.Mark == noMark && l.kind == Rate {
			continue
		}
		l.bucket.settle(s.Unused, s.Mark)
		l.refundIdeal(s.Unused)
	}
}

// clampReturn limits returned tokens to the capacity that they were lent with. If the burst was
// lowered while they were in transit, the borrower could not reduce them, and they must not fill
// capacity that belongs to other tokens.
func (l *Limit) clampReturn(loan Share, tokens int64) int64 {
	if l.kind == Permits {
		return tokens
	}
	return min(tokens, mulDiv(l.burst, loan.Cap, TotalParts))
}

// enqueue admits a request to the queue or denies it.
func (l *Limit) enqueue(now time.Duration, q queuedRequest) {
	l.bucket.accrue(now)
	if l.admit(now, q.amount) {
		l.queue = append(l.queue, q)
		return
	}
	l.deny(now, q)
}

// deny refuses a request that is not in the queue.
func (l *Limit) deny(now time.Duration, q queuedRequest) {
	var denial Denial
	if l.kind == Rate {
		denial.RetryAfter = accrualTime(q.amount-l.available(), l.rate)
		denial.ValidFor = accrualTime(q.amount-l.idealLevel(now), l.rate)
	}
	if q.from == l.self {
		l.refuse(q, denial.RetryAfter)
		return
	}
	l.stats.Denials++
	denial.WaitID = q.waitID
	acc := l.accounts[q.from]
	acc.denied = append(acc.denied, denial)
}

// serve grants requests in order of arrival and refuses those past their deadline.
func (l *Limit) serve(now time.Duration) {
	l.bucket.accrue(now)
	l.grantQueue()
	l.denyExpired(now)
	l.sendReplies(now)
	if len(l.queue) > 0 {
		l.recall(now)
	}
}

func (l *Limit) grantQueue() {
	promised := int64(0) // to borrowers; debited when the reply is sent
	remaining := l.queue[:0]
	short := false
	for _, q := range l.queue {
		acc := l.accounts[q.from]
		short = short || q.amount > l.bucket.tokens-promised
		switch {
		case short:
			remaining = append(remaining, q)
		case q.from == l.self:
			l.grant(q)
		case acc.reply != nil:
			promised += q.amount // granted when its next loan request arrives
			remaining = append(remaining, q)
		default:
			promised += q.amount
			acc.granted = append(acc.granted, q.waitID)
			acc.grantedSum += q.amount
			acc.grantedMax = max(acc.grantedMax, q.amount)
		}
	}
	l.queue = remaining
}

func (l *Limit) denyExpired(now time.Duration) {
	var expired []queuedRequest
	l.queue = slices.DeleteFunc(l.queue, func(q queuedRequest) bool {
		if now >= q.deadline {
			expired = append(expired, q)
		}
		return now >= q.deadline
	})
	for _, q := range expired {
		l.refundIdeal(q.amount)
		l.deny(now, q)
	}
}

// sendReplies answers the loan requests for which something was decided or that have nothing
// queued.
func (l *Limit) sendReplies(now time.Duration) {
	for _, id := range l.unansweredBorrowers() {
		acc := l.accounts[id]
		waits := slices.ContainsFunc(l.queue, func(q queuedRequest) bool { return q.from == id })
		if len(acc.granted) > 0 || len(acc.denied) > 0 || !waits {
			l.lend(now, id, acc)
		}
	}
}

// unansweredBorrowers returns the borrowers with an unanswered loan request, sorted.
func (l *Limit) unansweredBorrowers() []ID {
	if l.frozen {
		return nil
	}
	var ids []ID
	for id, acc := range l.accounts {
		if acc.reply == nil {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// lend moves tokens, capacity and refill to a borrower and answers its loan request. Home is
// debited before the reply is sent.
func (l *Limit) lend(now time.Duration, to ID, acc *account) {
	l.bucket.accrueExact(now)
	loan := Share{Tokens: acc.grantedSum}
	if extra := l.prefetchAmount(acc); extra > 0 {
		loan.Tokens += extra
		loan.Rate = l.prefetchRate(acc)
	}
	if l.kind == Rate {
		loan.Cap = min(capParts(loan.Tokens, l.burst), l.share.Cap)
	}
	l.bucket.tokens -= loan.Tokens
	l.share.Rate -= loan.Rate
	l.share.Cap -= loan.Cap
	l.resize()
	acc.loan = loan
	acc.prefetched = loan.Tokens - acc.grantedSum
	acc.reply = &LoanReply{
		Limit: l.name, Epoch: l.epoch, Seq: acc.seq, Loan: loan, Mark: acc.returnMark,
		Granted: acc.granted, Denied: acc.denied,
	}
	acc.granted, acc.denied = nil, nil
	acc.grantedSum, acc.grantedMax, acc.keep = 0, 0, 0
	l.stats.Loans++
	l.outputs = append(l.outputs, Output{To: to, LoanReply: acc.reply})
}

// prefetchAmount returns the tokens to lend beyond the requested amount. Small buckets lend none,
// since this would split them into pieces too small for a request.
func (l *Limit) prefetchAmount(acc *account) int64 {
	free := l.bucket.tokens
	for _, other := range l.accounts {
		free -= other.grantedSum
	}
	if l.kind == Permits || len(l.queue) > 0 || free < l.burst/prefetchFloorDivisor {
		return 0
	}
	amount := min(free/prefetchTokenDivisor, int64(acc.demand*prefetchTime.Seconds()))
	if acc.grantedSum == 0 {
		return min(amount, acc.keep)
	}
	if amount < acc.grantedMax {
		return 0
	}
	return amount
}

// prefetchRate returns the share of the refill to lend. Borrowers that settle their requests later
// get tokens only: a small bucket that refills quickly has no headroom left for unused tokens of
// open reservations.
func (l *Limit) prefetchRate(acc *account) int64 {
	if acc.settlesLater {
		return 0
	}
	return min(l.rateParts(acc.demand), l.share.Rate/prefetchRateDivisor)
}

// rateParts returns how many of TotalParts of the refill yield the given rate.
func (l *Limit) rateParts(rate float64) int64 {
	if l.rate <= 0 || rate >= l.rate {
		return TotalParts
	}
	return int64(rate / l.rate * TotalParts)
}

// recall asks the largest borrowers to return their loans.
func (l *Limit) recall(now time.Duration) {
	if l.lastRecall != 0 && now < l.lastRecall+recallInterval {
		return
	}
	l.lastRecall = now
	for _, id := range l.largestBorrowers(recallFanout) {
		l.stats.Recalls++
		l.outputs = append(l.outputs, Output{To: id, Recall: &Recall{Limit: l.name, Epoch: l.epoch}})
	}
}

// largestBorrowers returns at most n borrowers with a loan, largest loan first.
func (l *Limit) largestBorrowers(n int) []ID {
	var ids []ID
	for id, acc := range l.accounts {
		if acc.loan != (Share{}) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b ID) int {
		return cmp.Or(cmp.Compare(l.accounts[b].loan.Tokens, l.accounts[a].loan.Tokens), compareIDs(a, b))
	})
	return ids[:min(n, len(ids))]
}

func compareIDs(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
}

// RemoveBorrower tells home that a borrower has certainly stopped running. Home gets back the
// borrower's share of rate and capacity. It gets back permits but not tokens, which the borrower
// may have spent.
func (l *Limit) RemoveBorrower(now time.Duration, id ID) {
	acc := l.accounts[id]
	if acc == nil {
		return
	}
	l.bucket.accrueExact(now)
	delete(l.accounts, id)
	l.queue = slices.DeleteFunc(l.queue, func(q queuedRequest) bool {
		if q.from == id {
			l.refundIdeal(q.amount)
		}
		return q.from == id
	})
	l.share.Rate += acc.loan.Rate
	l.share.Cap += acc.loan.Cap
	l.resize()
	if l.kind == Permits {
		l.bucket.tokens += acc.loan.Tokens + acc.openAmount
	}
	l.advance(now)
}

// Borrowers returns the hosts that have an account with this home.
func (l *Limit) Borrowers() []ID {
	ids := make([]ID, 0, len(l.accounts))
	for id := range l.accounts {
		ids = append(ids, id)
	}
	return ids
}

// Freeze prepares a home for a handover: it stops spending and lending and recalls all loans.
// Further calls repeat the recalls. When ready is true, nothing is lent any more, and the caller
// may write the next epoch with tokens as the InitialTokens of the new home.
func (l *Limit) Freeze(now time.Duration) (tokens int64, ready bool) {
	if !l.isHome() {
		return 0, false
	}
	l.bucket.accrueExact(now)
	l.frozen = true
	l.dropRemoteRequests()
	for _, id := range l.largestBorrowers(len(l.accounts)) {
		l.outputs = append(l.outputs, Output{To: id, Recall: &Recall{Limit: l.name, Epoch: l.epoch}})
	}
	if l.kind == Permits {
		return 0, l.bucket.tokens >= l.burst
	}
	return l.bucket.tokens, l.share.Rate == TotalParts && l.share.Cap == TotalParts
}
