package quota

import (
	"math"
	"slices"
	"time"
)

// Kind tells how the tokens of a limit come back: by time or by release.
type Kind int

// The kinds of limit.
const (
	// Rate limits are refilled over time.
	Rate Kind = iota
	// Permits are not refilled: a reservation holds its permits until it is
	// settled with nothing used.
	Permits
)

const (
	// idleLoanTimeout is how long a borrower keeps a loan without spending.
	idleLoanTimeout = 2 * time.Second
	// requestRepeatInterval is the time after which an unanswered loan request is sent again.
	requestRepeatInterval = 50 * time.Millisecond
	// settlementDelay is how long settlements of rate limits wait for a loan request that can
	// carry them. Those of permits do not wait.
	settlementDelay = 100 * time.Millisecond
	// denialCacheTime bounds how long a denial is applied to later requests without asking home
	// again. The denial expires denialCacheMargin early, since home decided before its reply
	// arrived.
	denialCacheTime   = 50 * time.Millisecond
	denialCacheMargin = 5 * time.Millisecond
)

// Limit is one host's part of a fleet-wide limit, either as its home or as a borrower.
type Limit struct {
	name string
	self ID
	kind Kind

	rate  float64 // nanotokens per second for all hosts, as configured
	burst int64   // nanotokens for all hosts, as configured

	epoch    uint64
	home     ID // zero if no epoch is known
	frozen   bool
	released bool // the home is gone; nothing may be borrowed from it

	share  Share // Rate and Cap held here; Tokens is unused, see bucket.tokens
	bucket bucket
	inUse  int64 // nanotokens of open reservations

	queue        []queuedRequest
	lastWaitID   uint64
	accounts     map[ID]*account // home: the borrowers' accounts
	lastRecall   time.Duration   // home: when recalls were last sent
	ideal        bucket          // home: one bucket for the whole fleet, see admit
	lastCharge   int64           // home: nanotokens last taken from the ideal bucket
	lastChargeAt time.Duration

	borrower borrowerState // loans and exchange with home
	outputs  []Output
	stats    Stats
}

// Stats counts the events of a limit since it was created.
type Stats struct {
	LoanRequests, Loans, Denials, Recalls, Repeats int64
}

// Add returns the sum of s and other.
func (s Stats) Add(other Stats) Stats {
	s.LoanRequests += other.LoanRequests
	s.Loans += other.Loans
	s.Denials += other.Denials
	s.Recalls += other.Recalls
	s.Repeats += other.Repeats
	return s
}

// queuedRequest is a waiting request of this host or of a borrower.
type queuedRequest struct {
	from     ID
	waitID   uint64
	amount   int64
	deadline time.Duration
}

// New returns a limit that holds nothing until Configure and Assign are called.
func New(name string, self ID, kind Kind) *Limit {
	return &Limit{name: name, self: self, kind: kind}
}

// Configure sets rate (tokens per second) and burst (tokens) for all hosts. A decrease reduces
// this host's part at once. An increase creates no tokens, except that home gets the added
// permits.
func (l *Limit) Configure(now time.Duration, rate float64, burst int64) {
	nano := min(burst, MaxTokens) * Nano
	if rate*Nano == l.rate && nano == l.burst {
		return
	}
	l.bucket.accrueExact(now)
	if l.kind == Permits && l.isHome() {
		l.bucket.tokens += nano - l.burst // negative until enough permits are released
	}
	l.rate = rate * Nano
	l.burst = nano
	l.resize()
	l.advance(now)
}

// Assign sets the epoch, the home and the initial tokens from the ledger. An epoch that is not
// newer than the known one is ignored. Configure must be called first.
func (l *Limit) Assign(now time.Duration, a Assignment) {
	if a.Epoch <= l.epoch {
		return
	}
	l.dropHoldings(now)
	l.epoch = a.Epoch
	l.home = a.Home
	l.frozen = false
	l.released = false
	l.inUse = 0
	l.accounts = nil
	l.borrower = borrowerState{}
	if l.isHome() {
		l.accounts = make(map[ID]*account)
		l.share = Share{Rate: TotalParts, Cap: TotalParts}
		l.bucket.tokens = l.initialTokens(a)
		l.ideal = bucket{tokens: l.bucket.tokens, lastAccrual: now}
		l.resize()
	}
	l.dropRemoteRequests()
	l.advance(now)
}

// initialTokens returns the tokens that home starts with.
func (l *Limit) initialTokens(a Assignment) int64 {
	if a.Full || l.kind == Permits {
		return l.burst
	}
	return min(a.InitialTokens, l.burst)
}

// dropHoldings discards the tokens and shares of this host.
func (l *Limit) dropHoldings(now time.Duration) {
	l.bucket.accrueExact(now)
	l.share = Share{}
	l.bucket = bucket{lastAccrual: l.bucket.lastAccrual}
	l.resize()
}

// dropRemoteRequests removes the requests of borrowers from the queue without a reply. Borrowers
// request again.
func (l *Limit) dropRemoteRequests() {
	l.queue = slices.DeleteFunc(l.queue, func(q queuedRequest) bool { return q.from != l.self })
}

// resize applies shares and configuration to the bucket.
func (l *Limit) resize() {
	if l.kind == Permits {
		// Permits do not accrue, so they need no capacity bound.
		l.bucket.cap = math.MaxInt64 / 2
		return
	}
	l.ideal.rate = l.rate
	l.ideal.cap = l.burst
	l.bucket.rate = l.rate * (float64(l.share.Rate) / TotalParts)
	l.bucket.cap = mulDiv(l.burst, l.share.Cap, TotalParts)
	l.bucket.clip()
}

// Take reserves n nanotokens if this host holds them and no request is queued.
func (l *Limit) Take(now time.Duration, n int64) (Reservation, bool) {
	if len(l.queue) > 0 || l.frozen {
		return Reservation{}, false
	}
	l.bucket.accrue(now)
	if n > l.bucket.tokens {
		return Reservation{}, false
	}
	l.ideal.accrue(now)
	l.ideal.tokens -= n
	l.lastCharge, l.lastChargeAt = n, now
	return l.take(n), true
}

func (l *Limit) take(n int64) Reservation {
	mark := l.bucket.take(n)
	l.inUse += n
	l.borrower.spent += n
	l.borrower.open++
	l.borrower.openAmount += n
	return Reservation{Amount: n, epoch: l.epoch, loanSeq: l.borrower.loanSeq, mark: mark}
}

// Wait queues a request for n nanotokens after Take failed and returns its WaitID. The result is
// delivered as an output, at the latest by the Tick at deadline, and may be among the outputs
// already.
func (l *Limit) Wait(now time.Duration, n int64, deadline time.Duration) uint64 {
	l.lastWaitID++
	q := queuedRequest{from: l.self, waitID: l.lastWaitID, amount: n, deadline: deadline}
	switch {
	case n > l.burst:
		l.refuse(q, 0)
	case now < l.borrower.deniedUntil && n >= l.borrower.deniedAmount:
		l.refuse(q, l.borrower.deniedUntil-now+l.borrower.retryAfterDenial)
	case l.isHome() && !l.frozen:
		l.enqueue(now, q)
		l.advance(now)
	default:
		l.queue = append(l.queue, q)
		l.advance(now)
	}
	return q.waitID
}

func (l *Limit) refuse(q queuedRequest, retryAfter time.Duration) {
	l.stats.Denials++
	l.outputs = append(l.outputs, Output{WaitResult: &WaitResult{WaitID: q.waitID, RetryAfter: retryAfter}})
}

func (l *Limit) grant(q queuedRequest) {
	l.outputs = append(l.outputs, Output{
		WaitResult: &WaitResult{WaitID: q.waitID, Granted: true, Reservation: l.take(q.amount)},
	})
}

// Cancel ends a wait without a result. It returns false if a result is among the outputs already.
func (l *Limit) Cancel(now time.Duration, waitID uint64) bool {
	q, ok := l.dequeue(waitID)
	if !ok {
		return false
	}
	l.refundIdeal(q.amount)
	l.advance(now)
	return true
}

// Settle ends a reservation of which used nanotokens were spent. Permits are settled with used 0.
func (l *Limit) Settle(now time.Duration, r Reservation, used int64) {
	if r.epoch != l.epoch {
		return
	}
	unused := r.Amount - min(max(used, 0), r.Amount)
	l.inUse -= r.Amount
	l.bucket.accrueExact(now)
	if r.loanSeq == l.borrower.loanSeq {
		l.borrower.open--
		l.borrower.openAmount -= r.Amount
		l.bucket.settle(unused, r.mark)
		l.refundIdeal(unused)
	} else {
		l.settleReturned(now, r, unused)
	}
	l.advance(now)
}

// advance serves the queue with the available tokens and requests more if they do not suffice.
func (l *Limit) advance(now time.Duration) {
	switch {
	case l.frozen || l.home == (ID{}):
		l.expireLocal(now)
	case l.isHome():
		l.serve(now)
	default:
		l.borrow(now)
	}
}

// expireLocal refuses local requests past their deadline.
func (l *Limit) expireLocal(now time.Duration) {
	l.queue = slices.DeleteFunc(l.queue, func(q queuedRequest) bool {
		expired := q.from == l.self && now >= q.deadline
		if expired {
			l.refuse(q, accrualTime(q.amount, l.rate))
		}
		return expired
	})
}

// Tick does the periodic work: it expires requests, repeats loan requests and returns idle loans.
func (l *Limit) Tick(now time.Duration) {
	l.bucket.accrue(now)
	if !l.isHome() && l.home != (ID{}) {
		l.maintainLoan(now)
	}
	l.advance(now)
}

// Busy reports whether Tick must be called every few milliseconds. Otherwise once a second is
// enough.
func (l *Limit) Busy() bool {
	borrowing := !l.isHome() && l.share.Rate > 0
	return len(l.queue) > 0 || l.borrower.pending != nil || len(l.borrower.unreported) > 0 || borrowing
}

// Outputs returns the pending actions in order and clears them.
func (l *Limit) Outputs() []Output {
	out := l.outputs
	l.outputs = nil
	return out
}

// Epoch returns the known epoch and home.
func (l *Limit) Epoch() (uint64, ID) { return l.epoch, l.home }

// Stats returns the event counters.
func (l *Limit) Stats() Stats { return l.stats }

// InUse returns the nanotokens of open reservations on this host.
func (l *Limit) InUse() int64 { return l.inUse }

// Held returns the share that this host holds.
func (l *Limit) Held(now time.Duration) Share {
	l.bucket.accrue(now)
	return Share{Rate: l.share.Rate, Cap: l.share.Cap, Tokens: l.bucket.tokens}
}

// Consistent reports whether this host holds no more than its share: its tokens are within its
// capacity, and at home the parts held and lent add up to the whole limit.
func (l *Limit) Consistent(now time.Duration) bool {
	l.bucket.accrue(now)
	if l.bucket.tokens > l.bucket.cap || l.share.Rate < 0 || l.share.Cap < 0 {
		return false
	}
	if !l.isHome() {
		return true
	}
	rate, capacity := l.share.Rate, l.share.Cap
	for _, acc := range l.accounts {
		rate += acc.loan.Rate
		capacity += acc.loan.Cap
	}
	return rate == TotalParts && capacity == TotalParts
}

func (l *Limit) isHome() bool { return l.home == l.self && l.home != (ID{}) }
