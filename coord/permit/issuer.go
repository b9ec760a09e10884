package permit

import "time"

// Times of an issuer.
const (
	burstTime  = 500 * time.Millisecond // whose requests a target takes at once, besides one
	askerTime  = 2 * time.Second        // a host that has asked since then is likely to ask again
	bucketTTL  = time.Minute            // without a request for a permit
	maxWait    = 2 * time.Second
	minIssuing = 1e-6 // requests a second; a lower rate issues nothing
)

// Issuer issues permits for single requests. It is not safe for concurrent use.
type Issuer struct {
	buckets map[string]*bucket // by target
}

type bucket struct {
	tokens float64
	at     time.Duration            // that tokens is of
	askers map[string]time.Duration // when each host last asked
}

// NewIssuer returns an Issuer whose buckets are empty, as it does not know what others have issued.
func NewIssuer() *Issuer { return &Issuer{buckets: map[string]*bucket{}} }

// Ask takes a permit for one request of a host to a target that takes rate requests a second. If there is
// none, it returns when the host should ask again: the more hosts ask, the later.
func (i *Issuer) Ask(now time.Duration, target, host string, rate float64) (granted bool, wait time.Duration) {
	if rate < minIssuing {
		return false, maxWait
	}
	b := i.buckets[target]
	if b == nil {
		b = &bucket{at: now, askers: map[string]time.Duration{}}
		i.buckets[target] = b
	}
	b.tokens = min(b.tokens+rate*(now-b.at).Seconds(), 1+rate*burstTime.Seconds())
	b.at = now
	b.askers[host] = now
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	for asker, at := range b.askers {
		if now-at > askerTime {
			delete(b.askers, asker)
		}
	}
	others := float64(len(b.askers)-1) / 2
	return false, min(maxWait, time.Duration((1-b.tokens+others)/rate*float64(time.Second)))
}

// Expire forgets targets that no host asks for.
func (i *Issuer) Expire(now time.Duration) {
	for target, b := range i.buckets {
		if now-b.at > bucketTTL {
			delete(i.buckets, target)
		}
	}
}
