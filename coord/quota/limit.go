package quota

import (
	"math"
	"slices"
	"time"
)

// Kind says whether tokens come back by time or by release.
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
	// idleReturn is how long a borrower keeps a loan without spending.
	idleReturn = 2 * time.Second
	// askRepeat is the time after which an unanswered ask is sent again.
	askRepeat = 50 * time.Millisecond
	// claimDelay is how long settlements of rate limits wait for an ask to
	// travel with. Those of permits do not wait.
	claimDelay = 100 * time.Millisecond
	// denyMemory bounds how long a denial is applied to later requests
	// without asking home again. It ends denyMargin early, since home judged
	// before its answer arrived.
	denyMemory = 50 * time.Millisecond
	denyMargin = 5 * time.Millisecond
)

// Limit is one host's part of a fleet-wide limit: it is home, or it borrows.
type Limit struct {
	name string
	self ID
	kind Kind

	rate  float64 // nanotokens a second over all hosts, as configured
	burst int64   // nanotokens over all hosts, as configured

	epoch    uint64
	home     ID // zero if no epoch is known
	frozen   bool
	released bool // the home is gone: nothing may be borrowed from it

	parts Share // Rate and Cap held here; Tokens is unused, see bucket
	b     bucket
	inUse int64 // nanotokens of open reservations

	queue     []item
	lastWait  uint64
	accounts  map[ID]*account // home: the borrowers
	recalled  time.Duration   // home: when recalls went out last
	ideal     bucket          // home: see admit
	charged   int64           // home: what the ideal bucket was charged last
	chargedAt time.Duration

	debt  debt // borrower: exchange with home
	out   []Output
	moves Stats
}

// Stats counts what a limit did since it was made.
type Stats struct {
	LoanRequests, Loans, Denials, Recalls, Repeats int64
}

// Add returns the sum of two counters.
func (m Stats) Add(o Stats) Stats {
	m.LoanRequests += o.LoanRequests
	m.Loans += o.Loans
	m.Denials += o.Denials
	m.Recalls += o.Recalls
	m.Repeats += o.Repeats
	return m
}

// item is a waiting request, of this host or of a borrower.
type item struct {
	from     ID
	wait     uint64
	amount   int64
	deadline time.Duration
}

// New returns a limit that holds nothing. Configure and Assign give it
// meaning.
func New(name string, self ID, kind Kind) *Limit {
	return &Limit{name: name, self: self, kind: kind}
}

// Configure sets rate (tokens a second) and burst (tokens) over all hosts. A
// decrease cuts this host's part at once; an increase mints nothing but, for
// permits at home, the permits added.
func (l *Limit) Configure(now time.Duration, rate float64, burst int64) {
	nano := min(burst, MaxTokens) * Nano
	if rate*Nano == l.rate && nano == l.burst {
		return
	}
	l.b.accrueExact(now)
	if l.kind == Permits && l.isHome() {
		l.b.tokens += nano - l.burst // negative until enough permits come back
	}
	l.rate = rate * Nano
	l.burst = nano
	l.resize()
	l.pump(now)
}

// Assign tells the epoch and home of the limit as the ledger shows them, and
// the tokens that home opens with. Epochs not newer than the one known are
// ignored. It must follow Configure.
func (l *Limit) Assign(now time.Duration, g Assignment) {
	if g.Epoch <= l.epoch {
		return
	}
	l.drop(now)
	l.epoch = g.Epoch
	l.home = g.Home
	l.frozen = false
	l.released = false
	l.inUse = 0
	l.accounts = nil
	l.debt = debt{}
	if l.isHome() {
		l.accounts = make(map[ID]*account)
		l.parts = Share{Rate: TotalParts, Cap: TotalParts}
		l.b.tokens = l.opening(g)
		l.ideal = bucket{tokens: l.b.tokens, last: now}
		l.resize()
	}
	l.dropRemote()
	l.pump(now)
}

// opening returns the tokens that home begins with.
func (l *Limit) opening(g Assignment) int64 {
	if g.Full || l.kind == Permits {
		return l.burst
	}
	return min(g.InitialTokens, l.burst)
}

// drop forgets all that this host holds.
func (l *Limit) drop(now time.Duration) {
	l.b.accrueExact(now)
	l.parts = Share{}
	l.b = bucket{last: l.b.last}
	l.resize()
}

// dropRemote removes the requests of borrowers from the queue without an
// answer; they ask again.
func (l *Limit) dropRemote() {
	l.queue = slices.DeleteFunc(l.queue, func(it item) bool { return it.from != l.self })
}

// resize applies shares and configuration to the bucket.
func (l *Limit) resize() {
	if l.kind == Permits {
		// Permits are only moved, so their number needs no capacity.
		l.b.cap = math.MaxInt64 / 2
		return
	}
	l.ideal.rate = l.rate
	l.ideal.cap = l.burst
	l.b.rate = l.rate * (float64(l.parts.Rate) / TotalParts)
	l.b.cap = mulDiv(l.burst, l.parts.Cap, TotalParts)
	l.b.clip()
}

// Take reserves n nanotokens if they are here and nobody waits for them.
func (l *Limit) Take(now time.Duration, n int64) (Reservation, bool) {
	if len(l.queue) > 0 || l.frozen {
		return Reservation{}, false
	}
	l.b.accrue(now)
	if n > l.b.tokens {
		return Reservation{}, false
	}
	l.ideal.accrue(now)
	l.ideal.tokens -= n
	l.charged, l.chargedAt = n, now
	return l.take(n), true
}

func (l *Limit) take(n int64) Reservation {
	at := l.b.take(n)
	l.inUse += n
	l.debt.spent += n
	l.debt.open++
	l.debt.amount += n
	return Reservation{Amount: n, epoch: l.epoch, turn: l.debt.turn, mark: at}
}

// Wait queues a request for n nanotokens after Take failed. The verdict comes
// as an output, at the latest with the Tick at deadline; it may be among the
// outputs already.
func (l *Limit) Wait(now time.Duration, n int64, deadline time.Duration) uint64 {
	l.lastWait++
	it := item{from: l.self, wait: l.lastWait, amount: n, deadline: deadline}
	switch {
	case n > l.burst:
		l.refuse(it, 0)
	case now < l.debt.denyUntil && n >= l.debt.denied:
		l.refuse(it, l.debt.denyUntil-now+l.debt.denyAfter)
	case l.isHome() && !l.frozen:
		l.enqueue(now, it)
		l.pump(now)
	default:
		l.queue = append(l.queue, it)
		l.pump(now)
	}
	return it.wait
}

func (l *Limit) refuse(it item, after time.Duration) {
	l.moves.Denials++
	l.out = append(l.out, Output{WaitResult: &WaitResult{WaitID: it.wait, RetryAfter: after}})
}

func (l *Limit) grant(it item) {
	l.out = append(l.out, Output{WaitResult: &WaitResult{WaitID: it.wait, Granted: true, Reservation: l.take(it.amount)}})
}

// Cancel ends a wait without a verdict. It reports false if a verdict is among
// the outputs already.
func (l *Limit) Cancel(now time.Duration, wait uint64) bool {
	it, ok := l.dequeue(wait)
	if !ok {
		return false
	}
	l.giveUp(it.amount)
	l.pump(now)
	return true
}

// Settle ends a reservation of which used nanotokens were spent. Permits are
// settled with used 0.
func (l *Limit) Settle(now time.Duration, r Reservation, used int64) {
	if r.epoch != l.epoch {
		return
	}
	unused := r.Amount - min(max(used, 0), r.Amount)
	l.inUse -= r.Amount
	l.b.accrueExact(now)
	if r.turn == l.debt.turn {
		l.debt.open--
		l.debt.amount -= r.Amount
		l.b.settle(unused, r.mark)
		l.giveUp(unused)
	} else {
		l.claim(now, r, unused)
	}
	l.pump(now)
}

// pump serves the queue as far as tokens reach and asks for more.
func (l *Limit) pump(now time.Duration) {
	switch {
	case l.frozen || l.home == (ID{}):
		l.expire(now)
	case l.isHome():
		l.serve(now)
	default:
		l.borrow(now)
	}
}

// expire refuses local waits past their deadline.
func (l *Limit) expire(now time.Duration) {
	l.queue = slices.DeleteFunc(l.queue, func(it item) bool {
		late := it.from == l.self && now >= it.deadline
		if late {
			l.refuse(it, accrualTime(it.amount, l.rate))
		}
		return late
	})
}

// Tick does what is due: refuses waits, repeats asks, returns idle loans.
func (l *Limit) Tick(now time.Duration) {
	l.b.accrue(now)
	if !l.isHome() && l.home != (ID{}) {
		l.upkeep(now)
	}
	l.pump(now)
}

// Busy reports whether Tick has to be called every few milliseconds; otherwise
// once a second will do.
func (l *Limit) Busy() bool {
	borrowing := !l.isHome() && l.parts.Rate > 0
	return len(l.queue) > 0 || l.debt.pending != nil || len(l.debt.claims) > 0 || borrowing
}

// Outputs returns what is to be done, in order, and forgets it.
func (l *Limit) Outputs() []Output {
	out := l.out
	l.out = nil
	return out
}

// Epoch returns the epoch and home known.
func (l *Limit) Epoch() (uint64, ID) { return l.epoch, l.home }

// Stats returns the counters.
func (l *Limit) Stats() Stats { return l.moves }

// InUse returns the nanotokens of open reservations on this host.
func (l *Limit) InUse() int64 { return l.inUse }

// Held returns what this host holds.
func (l *Limit) Held(now time.Duration) Share {
	l.b.accrue(now)
	return Share{Rate: l.parts.Rate, Cap: l.parts.Cap, Tokens: l.b.tokens}
}

// Consistent reports whether this host holds no more than may be: the capacity
// bounds its tokens, and at home what is here and what is lent make up the
// whole.
func (l *Limit) Consistent(now time.Duration) bool {
	l.b.accrue(now)
	if l.b.tokens > l.b.cap || l.parts.Rate < 0 || l.parts.Cap < 0 {
		return false
	}
	if !l.isHome() {
		return true
	}
	rate, capacity := l.parts.Rate, l.parts.Cap
	for _, acc := range l.accounts {
		rate += acc.loan.Rate
		capacity += acc.loan.Cap
	}
	return rate == TotalParts && capacity == TotalParts
}

func (l *Limit) isHome() bool { return l.home == l.self && l.home != (ID{}) }
