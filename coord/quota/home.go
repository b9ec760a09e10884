package quota

import (
	"cmp"
	"slices"
	"time"
)

// account is home's record of one borrower.
type account struct {
	seq    uint64     // of the last ask carried out
	part   int        // of that ask
	answer *LoanReply // to that ask, nil if still to come
	loan   Share      // lent now
	ahead  int64      // of its tokens, those that no request was granted
	open   int64      // nanotokens reserved on former loans and not settled yet
	mark   Mark       // when the last loan came back

	demand  float64 // as the last ask said
	keep    int64
	settles bool     // its requests are settled later
	granted []uint64 // decided for the next answer
	sum     int64    // nanotokens granted
	most    int64    // the largest amount granted
	denied  []Denial
}

const (
	// recallInterval is the least time between two rounds of recalls.
	recallInterval = 20 * time.Millisecond
	// recallFanout is the number of borrowers asked in one round.
	recallFanout = 16
	// Loans beyond what was asked for are made while at least
	// 1/richShare of the burst stays; they last prefetch and take at most
	// 1/extraShare of the tokens and 1/rateShare of the refill left.
	richShare  = 2
	extraShare = 16
	rateShare  = 4
	prefetch   = 3 * time.Second
)

// HandleLoanRequest carries out a borrower's ask; the answer comes as an output, now
// or later. It returns false if the ask belongs to another epoch or is out of
// date: the sender then has to learn the ledger.
func (l *Limit) HandleLoanRequest(now time.Duration, from ID, a LoanRequest) bool {
	if !l.isHome() || a.Epoch != l.epoch {
		return false
	}
	acc := l.accounts[from]
	if acc == nil {
		acc = &account{}
		l.accounts[from] = acc
	}
	switch {
	case a.Seq == acc.seq && acc.answer != nil:
		l.moves.Repeats++
		l.out = append(l.out, Output{To: from, LoanReply: acc.answer})
		return true
	case a.Seq == acc.seq && a.Revision <= acc.part:
		return true // the answer is still to come
	case a.Seq == acc.seq:
	case a.Seq == acc.seq+1:
		l.takeBack(now, acc, a)
		acc.seq = a.Seq
		acc.answer = nil
		acc.keep = a.Keep
		acc.settles = acc.settles || a.Open > 0 || len(a.Settlements) > 0
		acc.demand = a.Demand
	default:
		return false
	}
	acc.part = a.Revision
	switch {
	case !l.frozen:
		l.enqueueNeeds(now, from, a.Waiting)
	case len(a.Waiting) == 0:
		acc.keep = 0
		l.lend(now, from, acc) // nothing: confirms the return
	}
	l.pump(now)
	return true
}

// enqueueNeeds brings the queue in line with what waits at a borrower. Requests
// known already keep their places.
func (l *Limit) enqueueNeeds(now time.Duration, from ID, needs []WaitingRequest) {
	waiting := make(map[uint64]bool, len(needs))
	for _, n := range needs {
		waiting[n.WaitID] = true
	}
	l.queue = slices.DeleteFunc(l.queue, func(it item) bool {
		if it.from != from {
			return false
		}
		known := waiting[it.wait]
		delete(waiting, it.wait)
		if !known {
			l.giveUp(it.amount)
		}
		return !known
	})
	for _, n := range needs {
		if waiting[n.WaitID] {
			l.enqueue(now, item{from: from, wait: n.WaitID, amount: n.Amount, deadline: now + n.MaxWait})
		}
	}
}

// takeBack credits a returned loan. The borrower debited it before it asked
// and this ask is carried out once, so nothing is counted twice.
func (l *Limit) takeBack(now time.Duration, acc *account, a LoanRequest) {
	l.b.accrueExact(now)
	l.parts.Rate += acc.loan.Rate
	l.parts.Cap += acc.loan.Cap
	l.resize()
	l.b.tokens += l.worth(acc.loan, a.Return.Tokens)
	acc.loan = Share{}
	acc.ahead = 0
	l.b.clip()
	acc.mark = l.b.past.cut(l.b.cap - l.b.tokens)
	if a.Burst > l.burst {
		acc.mark = noMark // the loan had less headroom than the borrower knew
	}
	acc.open += a.Open
	l.ideal.tokens -= a.Spent
	for _, c := range a.Settlements {
		acc.open -= c.Reserved
		if c.Mark == noMark && l.kind == Rate {
			continue
		}
		l.b.settle(c.Unused, c.Mark)
		l.giveUp(c.Unused)
	}
}

// worth cuts returned tokens to the capacity that they were lent with. The
// burst may have been lowered while they were on their way: the borrower can
// not have cut them, and tokens of others must not take their place.
func (l *Limit) worth(loan Share, tokens int64) int64 {
	if l.kind == Permits {
		return tokens
	}
	return min(tokens, mulDiv(l.burst, loan.Cap, TotalParts))
}

// enqueue admits a request to the queue or denies it.
func (l *Limit) enqueue(now time.Duration, it item) {
	l.b.accrue(now)
	if l.admit(now, it.amount) {
		l.queue = append(l.queue, it)
		return
	}
	l.deny(now, it)
}

// deny refuses a request that is not in the queue.
func (l *Limit) deny(now time.Duration, it item) {
	var d Denial
	if l.kind == Rate {
		d.RetryAfter = accrualTime(it.amount-l.free(), l.rate)
		d.ValidFor = accrualTime(it.amount-l.level(now), l.rate)
	}
	if it.from == l.self {
		l.refuse(it, d.RetryAfter)
		return
	}
	l.moves.Denials++
	d.WaitID = it.wait
	acc := l.accounts[it.from]
	acc.denied = append(acc.denied, d)
}

// serve grants requests in the order of arrival and refuses those whose time
// is up.
func (l *Limit) serve(now time.Duration) {
	l.b.accrue(now)
	l.grantQueue()
	l.denyLate(now)
	l.answerAll(now)
	if len(l.queue) > 0 {
		l.recall(now)
	}
}

func (l *Limit) grantQueue() {
	promised := int64(0) // to borrowers, which are debited when answered
	kept := l.queue[:0]
	short := false
	for _, it := range l.queue {
		acc := l.accounts[it.from]
		short = short || it.amount > l.b.tokens-promised
		switch {
		case short:
			kept = append(kept, it)
		case it.from == l.self:
			l.grant(it)
		case acc.answer != nil:
			promised += it.amount // its next ask is on the way
			kept = append(kept, it)
		default:
			promised += it.amount
			acc.granted = append(acc.granted, it.wait)
			acc.sum += it.amount
			acc.most = max(acc.most, it.amount)
		}
	}
	l.queue = kept
}

func (l *Limit) denyLate(now time.Duration) {
	var late []item
	l.queue = slices.DeleteFunc(l.queue, func(it item) bool {
		if now >= it.deadline {
			late = append(late, it)
		}
		return now >= it.deadline
	})
	for _, it := range late {
		l.giveUp(it.amount)
		l.deny(now, it)
	}
}

// answerAll answers the asks for which something was decided, and those that
// wait for nothing.
func (l *Limit) answerAll(now time.Duration) {
	for _, id := range l.unanswered() {
		acc := l.accounts[id]
		waits := slices.ContainsFunc(l.queue, func(it item) bool { return it.from == id })
		if len(acc.granted) > 0 || len(acc.denied) > 0 || !waits {
			l.lend(now, id, acc)
		}
	}
}

// unanswered returns the borrowers with an ask that was not answered, sorted.
func (l *Limit) unanswered() []ID {
	if l.frozen {
		return nil
	}
	var ids []ID
	for id, acc := range l.accounts {
		if acc.answer == nil {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareIDs)
	return ids
}

// lend moves tokens, capacity and refill to a borrower and answers its ask. It
// debits before the answer leaves.
func (l *Limit) lend(now time.Duration, to ID, acc *account) {
	l.b.accrueExact(now)
	loan := Share{Tokens: acc.sum}
	if extra := l.extra(acc); extra > 0 {
		loan.Tokens += extra
		loan.Rate = l.refill(acc)
	}
	if l.kind == Rate {
		loan.Cap = min(capParts(loan.Tokens, l.burst), l.parts.Cap)
	}
	l.b.tokens -= loan.Tokens
	l.parts.Rate -= loan.Rate
	l.parts.Cap -= loan.Cap
	l.resize()
	acc.loan = loan
	acc.ahead = loan.Tokens - acc.sum
	acc.answer = &LoanReply{
		Limit: l.name, Epoch: l.epoch, Seq: acc.seq, Loan: loan, Mark: acc.mark,
		Granted: acc.granted, Denied: acc.denied,
	}
	acc.granted, acc.denied = nil, nil
	acc.sum, acc.most, acc.keep = 0, 0, 0
	l.moves.Loans++
	l.out = append(l.out, Output{To: to, LoanReply: acc.answer})
}

// extra returns the tokens lent ahead of need. Small buckets lend none, so
// that they are not broken into pieces too small for a request.
func (l *Limit) extra(acc *account) int64 {
	left := l.b.tokens
	for _, other := range l.accounts {
		left -= other.sum
	}
	if l.kind == Permits || len(l.queue) > 0 || left < l.burst/richShare {
		return 0
	}
	extra := min(left/extraShare, int64(acc.demand*prefetch.Seconds()))
	if acc.sum == 0 {
		return min(extra, acc.keep)
	}
	if extra < acc.most {
		return 0
	}
	return extra
}

// refill returns the share of the refill to lend. A small bucket that refills
// soon has no room for what open reservations give back, so those that settle
// later get tokens only.
func (l *Limit) refill(acc *account) int64 {
	if acc.settles {
		return 0
	}
	return min(l.rateParts(acc.demand), l.parts.Rate/rateShare)
}

// rateParts returns the share of the refill that yields rate.
func (l *Limit) rateParts(rate float64) int64 {
	if l.rate <= 0 || rate >= l.rate {
		return TotalParts
	}
	return int64(rate / l.rate * TotalParts)
}

// recall asks the largest borrowers to give back.
func (l *Limit) recall(now time.Duration) {
	if l.recalled != 0 && now < l.recalled+recallInterval {
		return
	}
	l.recalled = now
	for _, id := range l.borrowers(recallFanout) {
		l.moves.Recalls++
		l.out = append(l.out, Output{To: id, Recall: &Recall{Limit: l.name, Epoch: l.epoch}})
	}
}

// borrowers returns at most n hosts with a loan, largest first.
func (l *Limit) borrowers(n int) []ID {
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

// RemoveBorrower tells home that a borrower certainly runs no more. Its share of rate
// and capacity comes back; tokens it may have spent do not, but permits do.
func (l *Limit) RemoveBorrower(now time.Duration, id ID) {
	acc := l.accounts[id]
	if acc == nil {
		return
	}
	l.b.accrueExact(now)
	delete(l.accounts, id)
	l.queue = slices.DeleteFunc(l.queue, func(it item) bool { return it.from == id })
	l.parts.Rate += acc.loan.Rate
	l.parts.Cap += acc.loan.Cap
	l.resize()
	if l.kind == Permits {
		l.b.tokens += acc.loan.Tokens + acc.open
	}
	l.pump(now)
}

// Borrowers returns the hosts that have an account with this home.
func (l *Limit) Borrowers() []ID {
	ids := make([]ID, 0, len(l.accounts))
	for id := range l.accounts {
		ids = append(ids, id)
	}
	return ids
}

// Freeze prepares a home that leaves: it spends and lends no more and calls
// all loans back. Call it again to repeat the recalls. Carry becomes valid
// when it reports true: nothing is lent then, and the caller may write the
// next epoch with carry as the opening of its home.
func (l *Limit) Freeze(now time.Duration) (carry int64, ready bool) {
	if !l.isHome() {
		return 0, false
	}
	l.b.accrueExact(now)
	l.frozen = true
	l.dropRemote()
	for _, id := range l.borrowers(len(l.accounts)) {
		l.out = append(l.out, Output{To: id, Recall: &Recall{Limit: l.name, Epoch: l.epoch}})
	}
	if l.kind == Permits {
		return 0, l.b.tokens >= l.burst
	}
	return l.b.tokens, l.parts.Rate == TotalParts && l.parts.Cap == TotalParts
}
