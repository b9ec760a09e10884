package quota

import "time"

const (
	// overdraftTime bounds the wait for tokens that have not accrued yet.
	overdraftTime = 200 * time.Millisecond
	// maxOverdraftTime bounds that wait for requests that the ideal bucket grants or, given
	// arrivalSkew, might have granted. It must be less than the longest wait of a request.
	maxOverdraftTime = 380 * time.Millisecond
	// arrivalSkew is the largest assumed difference between the delays of requests on their way to
	// home.
	arrivalSkew = 10 * time.Millisecond
	// roundingError is an upper bound of the tokens that transfers of shares lose by rounding.
	roundingError = 1000 // nanotokens
)

// admit decides whether a request may wait for its tokens. l.ideal models a single bucket for the
// whole fleet, and a request that this bucket would grant at once is always admitted. Any other
// request is admitted only if the tokens promised in excess of the ideal bucket accrue within
// overdraftTime, or within maxOverdraftTime if withinSkew holds. Requests that the ideal bucket
// still grants are therefore delayed by at most the same time, and none of them is refused in
// favour of one that had to wait.
func (l *Limit) admit(now time.Duration, n int64) bool {
	if l.kind == Permits {
		return true // permits in use may be released at any time
	}
	level := l.idealLevel(now)
	if level+roundingError >= n {
		l.ideal.tokens -= n
		l.lastCharge, l.lastChargeAt = n, now
		return true
	}
	maxTime := overdraftTime
	if l.withinSkew(now, n-level) {
		maxTime = maxOverdraftTime
	}
	return float64(level-l.available()+n) <= l.rate*maxTime.Seconds()
}

// withinSkew reports whether the ideal bucket might have granted a request that it lacks the given
// tokens for. Requests reach home with different delays, so the one charged last may have been
// made after this one.
func (l *Limit) withinSkew(now time.Duration, shortfall int64) bool {
	if now <= l.lastChargeAt+arrivalSkew {
		shortfall -= l.lastCharge
	}
	return float64(shortfall) <= l.rate*arrivalSkew.Seconds()
}

// idealLevel returns the tokens in the ideal bucket. It keeps them at no less than the available
// tokens and at no more than these plus what accrues in maxOverdraftTime, since a request whose
// tokens cannot come in time must be refused at once.
func (l *Limit) idealLevel(now time.Duration) int64 {
	l.ideal.accrueExact(now)
	free := l.available()
	most := free + int64(l.rate*maxOverdraftTime.Seconds())
	l.ideal.tokens = min(max(l.ideal.tokens, free), most, l.burst)
	return l.ideal.tokens
}

// refundIdeal credits the ideal bucket with tokens that a request did not use.
func (l *Limit) refundIdeal(n int64) {
	l.ideal.tokens = min(l.ideal.tokens+n, l.burst)
}

// available returns the tokens held here or prefetched by borrowers, less those that queued
// requests wait for.
func (l *Limit) available() int64 {
	free := l.bucket.tokens + l.prefetched()
	for _, q := range l.queue {
		free -= q.amount
	}
	return free
}

// prefetched returns the tokens lent beyond what was requested. Borrowers may have spent some of
// them.
func (l *Limit) prefetched() int64 {
	var sum int64
	for _, acc := range l.accounts {
		sum += acc.prefetched
	}
	return sum
}
