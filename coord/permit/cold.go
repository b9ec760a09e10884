package permit

import (
	"math"
	"time"
)

// sendSpread is the time over which permits issued at one moment reach a target: they are used within TTL, and requests
// are on their way for as long as that at most.
const sendSpread = 2 * TTL

// ColdBounds bound the requests to a cold target in any second: its rate times Overage, plus Slack.
type ColdBounds struct{ Overage, Slack float64 }

// defaultColdBounds replace bounds that are not set.
var defaultColdBounds = ColdBounds{Overage: 1.5, Slack: 5}

// Valid returns the bounds with invalid values replaced by safe ones.
func (b ColdBounds) Valid() ColdBounds {
	slackSet := b.Slack > 0 && !math.IsInf(b.Slack, 0)
	if !(b.Overage > 0) || math.IsInf(b.Overage, 0) {
		if !slackSet {
			return defaultColdBounds
		}
		return ColdBounds{defaultColdBounds.Overage, b.Slack}
	}
	if !slackSet {
		b.Slack = 0
	}
	return ColdBounds{max(1, b.Overage), b.Slack}
}

// minBurst is the least burst of all issuers together. It is above one, so that an issuer that lacks a fifth of the hosts issues
// some permits.
const minBurst = 1.25

// Limit returns the limit of an issuer that has a share of the rate of a cold target. The bursts of all issuers together are
// what the bounds leave besides the rate, less what accrues during sendSpread. If that is below minBurst, the rate is lower.
func (b ColdBounds) Limit(rate, share float64) Limit {
	if !(rate > 0) {
		return Limit{}
	}
	inASecond, accruing := rate*b.Overage+b.Slack, (time.Second + sendSpread).Seconds()
	burst := inASecond - rate*accruing
	if burst < minBurst && inASecond > minBurst {
		rate, burst = (inASecond-minBurst)/accruing, minBurst
	}
	return Limit{Rate: rate * share, Burst: burst * share, MaxWait: maxColdWait}
}

// Times of the targets that are cold.
const (
	maxColdWait = 500 * time.Millisecond // about the objective of most requests
	maxCold     = time.Minute            // a target can say so again
	tellAfter   = 200 * time.Millisecond
	// WarmingTime is how long after its cold time a target is not yet preferred for being less loaded. It is longer than
	// most requests run.
	WarmingTime = 6 * time.Second
)

// Source tells from where a host learned that a target is cold.
type Source int

// The sources.
const (
	FromTarget      Source = iota // a response, a registration read while this host runs, or the end of an evacuation
	FromFirstList                 // a registration of unknown age, of which other hosts are not told
	FromHost                      // another host's report
	FromCoordinator               // not told to the coordinating host in return
)

// Cold holds which targets are cold. It is not safe for concurrent use.
type Cold struct {
	known   map[string]*coldTarget // by target, whose names are unique to one start
	version uint64                 // from 1; increases with each change that others are told of
	changes []ColdChange
}

type coldTarget struct {
	since, until time.Duration
	told         time.Duration // value of until when version last changed
	source       Source        // of told
	version      uint64        // 0: others are not told
	ended        bool          // its end is in changes
}

// ColdChange is a target that has become cold or warm.
type ColdChange struct {
	Target string
	Left   time.Duration // 0: it is warm
	Lasted time.Duration // how long it was cold, once it is warm
	Source Source
}

// NewCold returns an empty Cold.
func NewCold() *Cold { return &Cold{known: map[string]*coldTarget{}, version: 1} }

// Observe records that a target stays cold for a time. The end is never moved forward: each statement is as old as its way
// took, so that the end it gives is late, if anything. It reports whether other hosts should be told.
func (c *Cold) Observe(now time.Duration, target string, left time.Duration, source Source) bool {
	k := c.known[target]
	if left <= 0 || k == nil && len(c.known) >= maxTargets {
		return false
	}
	until := now + min(left, maxCold)
	switch {
	case k == nil || now >= k.until:
		k = &coldTarget{since: now, until: until}
		c.known[target] = k
		c.changes = append(c.changes, ColdChange{Target: target, Left: until - now, Source: source})
	case until <= k.until:
		return false
	default:
		k.until = until
	}
	if source == FromFirstList || k.version > 0 && until <= k.told+tellAfter {
		return false
	}
	c.version++
	k.told, k.source, k.version = until, source, c.version
	return true
}

// Left returns how long a target stays cold; 0: it is warm.
func (c *Cold) Left(now time.Duration, target string) time.Duration {
	if k := c.known[target]; k != nil {
		return max(0, k.until-now)
	}
	return 0
}

// Warming returns which part of WarmingTime is left of a target that has been cold; 0: none.
func (c *Cold) Warming(now time.Duration, target string) float64 {
	k := c.known[target]
	if k == nil || now < k.until || now >= k.until+WarmingTime {
		return 0
	}
	return 1 - float64(now-k.until)/float64(WarmingTime)
}

// AnyWarming reports whether any target has part of WarmingTime left.
func (c *Cold) AnyWarming(now time.Duration) bool {
	for _, k := range c.known {
		if now >= k.until && now < k.until+WarmingTime {
			return true
		}
	}
	return false
}

// Any reports whether any target is cold or was so a while ago.
func (c *Cold) Any() bool { return len(c.known) > 0 }

// TakeChanges returns the targets that have become cold or warm since the last call, and forgets those that have been warm
// for long.
func (c *Cold) TakeChanges(now time.Duration) []ColdChange {
	for target, k := range c.known {
		if now >= k.until && !k.ended {
			k.ended = true
			c.changes = append(c.changes, ColdChange{Target: target, Lasted: k.until - k.since})
		}
		if now >= k.until+WarmingTime {
			delete(c.known, target)
		}
	}
	out := c.changes
	c.changes = nil
	return out
}

// ColdRecord is what one host tells another one of a cold target.
type ColdRecord struct {
	Target string `json:"t"`
	LeftMS int64  `json:"l"`
}

// Changes returns the records that a receiver has not been sent, which has all up to the version sent, and the version that
// it has with them. To a receiver that has none, 0, it returns all.
func (c *Cold) Changes(now time.Duration, sent uint64, to Direction) (records []ColdRecord, version uint64) {
	if sent >= c.version {
		return nil, sent
	}
	for target, k := range c.known {
		if k.version > sent && now < k.until && (k.source != FromCoordinator || to == ToHost || sent == 0) {
			records = append(records, ColdRecord{target, (k.until - now).Milliseconds() + 1})
		}
	}
	return records, c.version
}

// Merge adds the records of another host, and reports whether others should be told.
func (c *Cold) Merge(now time.Duration, records []ColdRecord, source Source) (tell bool) {
	for _, r := range records {
		left := time.Duration(min(r.LeftMS, maxCold.Milliseconds())) * time.Millisecond
		tell = c.Observe(now, r.Target, left, source) || tell
	}
	return tell
}
