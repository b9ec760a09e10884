package permit

import "time"

// Times of an issuer.
const (
	burstTime   = 500 * time.Millisecond // whose requests a target that names a limit takes at once, besides one
	bucketTTL   = time.Minute            // without a request for a permit
	maxWait     = 2 * time.Second
	returnSlack = 150 * time.Millisecond // a host that was told to ask again is expected for so long after that
	minIssuing  = 1e-6                   // requests a second; a lower rate issues nothing
)

// TTL is how long after it was asked for a permit may be used.
const TTL = 100 * time.Millisecond

// agedShare is the part of the rate that less urgent requests get while more urgent ones wait.
const agedShare = 0.1

// Limit is what an issuer may issue for one target.
type Limit struct {
	Rate  float64 // permits a second
	Burst float64 // permits at once; below one, none is issued
	// Since is the time from which on the issuer has had at least this limit of any target. A bucket has been filling since
	// then. 0: it begins empty.
	Since   time.Duration
	MaxWait time.Duration // until a denied request may ask again; 0: maxWait
}

// Lower returns the limit that keeps both.
func (l Limit) Lower(o Limit) Limit {
	return Limit{Rate: min(l.Rate, o.Rate), Burst: min(l.Burst, o.Burst)}
}

// Named returns the limit of an issuer that has a share of the rate that a target names. Each issuer may issue one
// permit at once, however small its share.
func Named(rate, share float64) Limit {
	return Limit{Rate: rate * share, Burst: 1 + rate*share*burstTime.Seconds()}
}

// Issuer issues permits for single requests. It is not safe for concurrent use.
type Issuer struct {
	buckets map[string]*bucket // by target
}

type bucket struct {
	limit   Limit
	tokens  float64
	aged    float64                 // permits that less urgent requests may take before more urgent ones, at most one
	at      time.Duration           // that tokens and aged are of
	pending map[asker]time.Duration // requests that were told to ask again, and until when they are expected
}

type asker struct {
	host  string
	level int
}

// NewIssuer returns an Issuer whose buckets are empty, as it does not know what others have issued.
func NewIssuer() *Issuer { return &Issuer{buckets: map[string]*bucket{}} }

// Request asks for a permit.
type Request struct {
	Target string
	Host   string
	Level  int // of Level; lower is more urgent
}

// Cause tells why a permit was denied.
type Cause string

// The causes.
const (
	Short    Cause = "short"    // others have taken what the target takes
	Yielding Cause = "yielding" // there is one, which is left to more urgent requests
	NoPart   Cause = "no_part"  // the part of this group of hosts is below one request, or nothing may be sent
	Settling Cause = "settling" // hosts have reported to this issuer for too short a time
	Unknown  Cause = "unknown"  // the coordinating host did not answer, or has not heard of the limit
)

// Answer is the answer to a Request.
type Answer struct {
	Granted  bool
	Wait     time.Duration // until it is worth asking again: the more hosts ask, the later
	Earliest time.Duration // before which none can be granted, if no part of the limit comes in addition
	Cause    Cause         // empty if granted
}

// Ask takes a permit. A request leaves a permit to each more urgent one that was told to ask again, unless the bucket is
// full: then no capacity is kept unused. So that it is served at last, a less urgent request gets agedShare of the rate.
func (i *Issuer) Ask(now time.Duration, r Request, l Limit) Answer {
	b := i.buckets[r.Target]
	if b == nil {
		b = &bucket{limit: l, at: now, pending: map[asker]time.Duration{}}
		if l.Since > 0 {
			b.at = l.Since
		}
		i.buckets[r.Target] = b
	}
	b.refill(now, l)
	if l.Rate < minIssuing || l.Burst < 1 {
		return Answer{Wait: maxWait, Earliest: maxWait, Cause: NoPart}
	}
	ahead, behind, equal := b.count(now, r)
	need := 1 + float64(ahead)
	if behind > 0 && b.aged >= 1 {
		need = max(need, 2)
	}
	need = min(need, l.Burst)
	aged := ahead > 0 && b.tokens >= 1 && b.aged >= 1
	if b.tokens >= need || aged {
		if b.tokens < need {
			b.aged--
		}
		b.tokens--
		delete(b.pending, asker{r.Host, r.Level})
		return Answer{Granted: true}
	}
	cause := Short
	if b.tokens >= 1 {
		cause = Yielding
	}
	longest := l.MaxWait
	if longest == 0 {
		longest = maxWait
	}
	wait := min(longest, time.Duration((need-b.tokens+float64(equal)/2)/l.Rate*float64(time.Second)))
	b.pending[asker{r.Host, r.Level}] = now + wait*5/4 + returnSlack
	earliest := time.Duration(max(0, 1-b.tokens) / l.Rate * float64(time.Second))
	return Answer{Wait: wait, Earliest: min(wait, earliest), Cause: cause}
}

// refill adds what has accrued. If the limit has changed since, the lower rate and burst count: what this issuer has gained, another
// one may have issued just before it gave it up.
func (b *bucket) refill(now time.Duration, l Limit) {
	accrued := min(b.limit.Rate, l.Rate) * (now - b.at).Seconds()
	b.tokens = min(b.tokens+accrued, b.limit.Burst, l.Burst)
	b.aged = min(b.aged+agedShare*accrued, 1)
	b.at, b.limit = now, l
}

// count returns how many other requests are expected that are more urgent, less urgent and as urgent.
func (b *bucket) count(now time.Duration, r Request) (ahead, behind, equal int) {
	for a, until := range b.pending {
		switch {
		case now > until:
			delete(b.pending, a)
		case a.level < r.Level:
			ahead++
		case a.level > r.Level:
			behind++
		case a.host != r.Host:
			equal++
		}
	}
	return ahead, behind, equal
}

// Shrink applies a smaller share of all limits at once. The part of the bursts that is given up may be issued elsewhere.
func (i *Issuer) Shrink(now time.Duration, factor float64) {
	for _, b := range i.buckets {
		b.refill(now, b.limit)
		b.limit.Rate, b.limit.Burst = b.limit.Rate*factor, b.limit.Burst*factor
		b.tokens = min(b.tokens, b.limit.Burst)
	}
}

// Expire forgets targets that no host asks for.
func (i *Issuer) Expire(now time.Duration) {
	for target, b := range i.buckets {
		if now-b.at > bucketTTL {
			delete(i.buckets, target)
		}
	}
}
