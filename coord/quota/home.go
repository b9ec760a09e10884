package quota

import (
	"sort"
	"time"
)

// account is home's record of one borrower.
type account struct {
	seq    uint64 // of the last ask carried out
	answer *Answer
	loan   Share // lent now
	open   int64 // nanotokens reserved on former loans and not settled yet
	mark   Mark  // when the last loan came back
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
	prefetch   = 250 * time.Millisecond
)

// HandleAsk carries out a borrower's ask; the answer comes as an output, now
// or later. It returns false if the ask belongs to another epoch or is out of
// date: the sender then has to learn the ledger.
func (l *Limit) HandleAsk(now time.Duration, from ID, a Ask) bool {
	if !l.isHome() || a.Epoch != l.epoch {
		return false
	}
	acc := l.accounts[from]
	if acc == nil {
		acc = &account{}
		l.accounts[from] = acc
	}
	if a.Seq == acc.seq {
		l.repeatAnswer(from, acc)
		return true
	}
	if a.Seq != acc.seq+1 {
		return false
	}
	acc.seq = a.Seq
	acc.answer = nil
	l.takeBack(now, acc, a)
	if !l.frozen {
		l.queue = append(l.queue, item{
			from: from, seq: a.Seq, first: a.First, want: a.Want, demand: a.Demand,
			deadline: now + a.Patience,
		})
	}
	l.pump(now)
	return true
}

func (l *Limit) repeatAnswer(from ID, acc *account) {
	if acc.answer == nil {
		return
	}
	l.moves.Repeats++
	l.out = append(l.out, Output{To: from, Answer: acc.answer})
}

// takeBack credits a returned loan. The borrower debited it before it asked
// and this ask is carried out once, so nothing is counted twice.
func (l *Limit) takeBack(now time.Duration, acc *account, a Ask) {
	l.b.accrueExact(now)
	l.parts.Rate += acc.loan.Rate
	l.parts.Cap += acc.loan.Cap
	l.resize()
	l.b.tokens += l.worth(acc.loan, a.Return.Tokens)
	acc.loan = Share{}
	l.b.clip()
	acc.mark = l.b.past.cut(l.b.cap - l.b.tokens)
	acc.open += a.Open
	for _, c := range a.Claims {
		l.b.settle(c.Unused, c.Mark)
		acc.open -= c.Taken
	}
}

// worth cuts returned tokens to the capacity that they were lent with. The
// burst may have been lowered while they were on their way: the borrower can
// not have cut them, and tokens of others must not take their place.
func (l *Limit) worth(loan Share, tokens int64) int64 {
	if l.kind == Permits {
		return tokens
	}
	return min(tokens, mulDiv(l.burst, loan.Cap, Whole))
}

// serve grants waits in the order of arrival and refuses those that cannot be
// granted in time.
func (l *Limit) serve(now time.Duration) {
	l.b.accrue(now)
	served := 0
	for _, it := range l.queue {
		if it.first > l.b.tokens {
			break
		}
		served++
		if it.wait != 0 {
			l.grant(it)
			continue
		}
		l.lend(now, it)
	}
	if served > 0 {
		l.queue = append(l.queue[:0], l.queue[served:]...)
	}
	if len(l.queue) == 0 {
		return
	}
	l.judge(now)
	if len(l.queue) > 0 {
		l.recall(now)
	}
}

// judge refuses the waits that accrual and returned loans cannot meet by their
// deadline.
func (l *Limit) judge(now time.Duration) {
	lent := l.lent()
	ahead := -l.b.tokens
	kept := l.queue[:0]
	for _, it := range l.queue {
		after := accrualTime(ahead+it.first, l.rate)
		best := accrualTime(ahead+it.first-lent, l.rate)
		if l.kind == Permits {
			best = 0 // permits in use may come back at any time
		}
		if now >= it.deadline || now+best > it.deadline {
			l.deny(it, after)
			continue
		}
		ahead += it.first
		kept = append(kept, it)
	}
	l.queue = kept
}

// lent returns the most tokens that borrowers may give back.
func (l *Limit) lent() int64 {
	var sum int64
	for _, acc := range l.accounts {
		if l.kind == Permits {
			sum += acc.loan.Tokens
			continue
		}
		sum += mulDiv(l.burst, acc.loan.Cap, Whole)
	}
	return sum
}

func (l *Limit) deny(it item, after time.Duration) {
	if l.kind == Permits {
		after = 0
	}
	if it.wait != 0 {
		l.refuse(it, after)
		return
	}
	l.moves.Denials++
	l.answer(it, Answer{Denied: true, After: after})
}

// lend moves tokens, capacity and refill to the borrower. It debits before the
// answer leaves.
func (l *Limit) lend(now time.Duration, it item) {
	tokens := min(it.want, l.b.tokens)
	loan := Share{Tokens: max(tokens, 0)}
	if extra := l.extra(it, loan.Tokens); extra > 0 && it.want > 0 {
		loan.Tokens += extra
		loan.Rate = min(l.rateParts(it.demand), l.parts.Rate/rateShare)
	}
	if l.kind == Rate {
		loan.Cap = min(capParts(loan.Tokens, l.burst), l.parts.Cap)
	}
	l.b.accrueExact(now)
	l.b.tokens -= loan.Tokens
	l.parts.Rate -= loan.Rate
	l.parts.Cap -= loan.Cap
	l.resize()
	l.accounts[it.from].loan = loan
	l.moves.Loans++
	l.answer(it, Answer{Loan: loan})
}

// extra returns the tokens lent ahead of need. Small buckets lend none, so
// that they are not broken into pieces too small for a request.
func (l *Limit) extra(it item, lent int64) int64 {
	if l.kind == Permits {
		return 0
	}
	left := l.b.tokens - lent
	if left < l.burst/richShare {
		return 0
	}
	extra := min(left/extraShare, int64(it.demand*prefetch.Seconds()))
	if extra < it.first {
		return 0
	}
	return extra
}

// rateParts returns the share of the refill that yields rate.
func (l *Limit) rateParts(rate float64) int64 {
	if l.rate <= 0 || rate >= l.rate {
		return Whole
	}
	return int64(rate / l.rate * Whole)
}

func (l *Limit) answer(it item, a Answer) {
	acc := l.accounts[it.from]
	if acc == nil || acc.seq != it.seq {
		return
	}
	a.Limit = l.name
	a.Epoch = l.epoch
	a.Seq = it.seq
	a.Mark = acc.mark
	acc.answer = &a
	l.out = append(l.out, Output{To: it.from, Answer: &a})
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
	sort.Slice(ids, func(i, j int) bool {
		a, b := l.accounts[ids[i]].loan, l.accounts[ids[j]].loan
		if a.Tokens != b.Tokens {
			return a.Tokens > b.Tokens
		}
		if ids[i].Name != ids[j].Name {
			return ids[i].Name < ids[j].Name
		}
		return ids[i].Incarnation < ids[j].Incarnation
	})
	return ids[:min(n, len(ids))]
}

// Gone tells home that a borrower certainly runs no more. Its share of rate
// and capacity comes back; tokens it may have spent do not, but permits do.
func (l *Limit) Gone(now time.Duration, id ID) {
	acc := l.accounts[id]
	if acc == nil {
		return
	}
	l.b.accrueExact(now)
	delete(l.accounts, id)
	l.dropAsk(id)
	l.parts.Rate += acc.loan.Rate
	l.parts.Cap += acc.loan.Cap
	l.resize()
	if l.kind == Permits {
		l.b.tokens += acc.loan.Tokens + acc.open
	}
	l.pump(now)
}

// dropAsk removes a borrower's ask from the queue.
func (l *Limit) dropAsk(from ID) {
	kept := l.queue[:0]
	for _, it := range l.queue {
		if it.wait != 0 || it.from != from {
			kept = append(kept, it)
		}
	}
	l.queue = kept
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
	return l.b.tokens, l.parts.Rate == Whole && l.parts.Cap == Whole
}
