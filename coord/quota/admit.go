package quota

import "time"

const (
	// overdraftTime bounds the wait for tokens that are not there yet.
	overdraftTime = 200 * time.Millisecond
	// maxOverdraft bounds it for requests that the ideal bucket grants. It
	// must be less than the patience of requests.
	maxOverdraft = 380 * time.Millisecond
	// skew is the difference in delay of requests on their way to home.
	skew = 10 * time.Millisecond
	// rounding is more than what moves of shares round away.
	rounding = 1000 // nanotokens
)

// admit decides whether a request may wait for its tokens. It admits whatever
// one ideal bucket would grant at once, of which l.ideal is the level. Beyond
// that it admits requests whose tokens accrue soon, as long as what is promised
// in excess of the ideal bucket takes no more than overdraftTime to accrue:
// then those that the ideal bucket would still grant are delayed by no more
// than that, and none is refused in favour of one that had to wait.
func (l *Limit) admit(now time.Duration, n int64) bool {
	if l.kind == Permits {
		return true // permits in use may come back at any time
	}
	level := l.level(now)
	if level+rounding >= n {
		l.ideal.tokens -= n
		l.charged, l.chargedAt = n, now
		return true
	}
	limit := overdraftTime
	if l.near(now, n-level) {
		limit = maxOverdraft
	}
	return float64(level-l.free()+n) <= l.rate*limit.Seconds()
}

// near reports whether the ideal bucket might have granted a request that it
// is short of: requests reach home with different delays, so one that was
// charged just before may have arrived later elsewhere.
func (l *Limit) near(now time.Duration, short int64) bool {
	if now <= l.chargedAt+skew {
		short -= l.charged
	}
	return float64(short) <= l.rate*skew.Seconds()
}

// level returns what the ideal bucket holds. It is kept within what accrues in
// maxOverdraft of what there really is, since what cannot come in time must be
// refused at once.
func (l *Limit) level(now time.Duration) int64 {
	l.ideal.accrueExact(now)
	free := l.free()
	most := free + int64(l.rate*maxOverdraft.Seconds())
	l.ideal.tokens = min(max(l.ideal.tokens, free), most, l.burst)
	return l.ideal.tokens
}

// giveUp returns to the ideal bucket what a request did not use.
func (l *Limit) giveUp(n int64) {
	l.ideal.tokens = min(l.ideal.tokens+n, l.burst)
}

// free returns what is here and lent, less what is promised to the queue.
func (l *Limit) free() int64 {
	free := l.b.tokens + l.lent()
	for _, it := range l.queue {
		free -= it.amount
	}
	return free
}

// lent returns the tokens lent ahead of need. They may have been spent since.
func (l *Limit) lent() int64 {
	var sum int64
	for _, acc := range l.accounts {
		sum += acc.ahead
	}
	return sum
}
