package crashcause

import (
	"maps"
	"math"
	"time"
)

// Limits and times.
const (
	memory         = time.Minute            // for which failures count
	halfLife       = 5 * time.Second        // of the weight of a completion
	refuteWindow   = time.Second            // a target that ended is not back within this time
	maxParts       = 4096                   // whose completions are known
	maxFailures    = 2048                   // kept at a time, by part and target
	resendInterval = 300 * time.Millisecond // of completions to the same receiver
	moreTimeout    = time.Second            // for the message that follows another one; hosts send several in this time
)

// Tracker holds the failures and completions of parts. It is not safe for concurrent use.
type Tracker struct {
	failures map[string]map[string]*failure    // by part and target
	byTarget map[string]map[string]*failure    // the same, by target and part
	own      map[string]completions            // by part, recorded here
	reported map[string]map[string]completions // by part and the host that reported them
	total    map[string]completions            // by part, of all hosts, as the coordinating host told
	blocks   map[string]*block
	count    int    // of failures
	version  uint64 // from 1; increases with each change of a failure or a block
	// completeFrom is when the evidence is taken to be complete: until then another message was to follow.
	completeFrom time.Duration
	// changes holds the blocks and releases since TakeChanges.
	changes []Change
}

// failure tells that a target broke off requests with a part.
type failure struct {
	sent, broke     time.Duration // of the request that was sent last
	position        int           // of the part in the request
	refuted         bool          // the target went on
	fromCoordinator bool          // learned from the coordinating host
	version         uint64
}

// completions of a part. The weight of each halves every halfLife.
type completions struct {
	weight float64
	at     time.Duration // that the weight is of
	last   time.Duration
}

func (c completions) weightAt(now time.Duration) float64 {
	return c.weight * math.Exp2(-(now-c.at).Seconds()/halfLife.Seconds())
}

// New returns an empty Tracker.
func New() *Tracker {
	return &Tracker{
		failures: map[string]map[string]*failure{}, byTarget: map[string]map[string]*failure{}, own: map[string]completions{},
		reported: map[string]map[string]completions{}, total: map[string]completions{}, blocks: map[string]*block{}, version: 1,
	}
}

// RecordFailure records that a target broke off a request with the given parts, which was sent to it
// at the time sent. The name of the target must be unique to one start of it.
func (t *Tracker) RecordFailure(now time.Duration, parts []string, target string, sent time.Duration) {
	for i, part := range parts {
		t.addFailure(now, part, target, failure{sent: sent, broke: now, position: i})
	}
}

// RecordCompletion records that a target completed a request with the given parts.
func (t *Tracker) RecordCompletion(now time.Duration, parts []string, target string, sent time.Duration) {
	for _, f := range t.byTarget[target] {
		if !f.refuted && f.broke < sent && sent < f.broke+refuteWindow {
			t.version++
			f.refuted, f.fromCoordinator, f.version = true, false, t.version
		}
	}
	for _, part := range parts {
		c := t.own[part]
		t.own[part] = completions{weight: c.weightAt(now) + 1, at: now, last: now}
		t.releaseIfCompleted(part)
	}
	if len(t.own) > maxParts {
		t.forgetCompletions(now)
	}
}

// forgetCompletions drops the completions that have no weight any more, and if that is not enough,
// any others.
func (t *Tracker) forgetCompletions(now time.Duration) {
	maps.DeleteFunc(t.own, func(_ string, c completions) bool { return now-c.last > memory })
	for part := range t.own {
		if len(t.own) <= maxParts*3/4 {
			return
		}
		delete(t.own, part)
	}
}

// addFailure adds a failure, or what it tells beyond the one that is known of the same part and target.
func (t *Tracker) addFailure(now time.Duration, part, target string, f failure) {
	if now-f.broke > memory {
		return
	}
	known := t.failures[part][target]
	if known == nil {
		t.version++
		f.version = t.version
		t.insert(part, target, &f)
		t.countForBlock(part, f)
		return
	}
	next := *known
	switch {
	case f.sent >= known.broke && !f.refuted: // the target has not ended before
		next.sent, next.broke, next.refuted = f.sent, f.broke, false
	default:
		next.sent, next.broke, next.refuted = max(known.sent, f.sent), min(known.broke, f.broke), known.refuted || f.refuted
	}
	if next != *known {
		t.version++
		next.fromCoordinator, next.version = f.fromCoordinator, t.version
		*known = next
	}
}

func (t *Tracker) insert(part, target string, f *failure) {
	if t.count >= maxFailures {
		t.dropOldest()
	}
	if t.failures[part] == nil {
		t.failures[part] = map[string]*failure{}
	}
	if t.byTarget[target] == nil {
		t.byTarget[target] = map[string]*failure{}
	}
	t.failures[part][target], t.byTarget[target][part] = f, f
	t.count++
}

func (t *Tracker) remove(part, target string) {
	delete(t.failures[part], target)
	delete(t.byTarget[target], part)
	if len(t.failures[part]) == 0 {
		delete(t.failures, part)
	}
	if len(t.byTarget[target]) == 0 {
		delete(t.byTarget, target)
	}
	t.count--
}

// dropOldest removes the failures of the target that failed first.
func (t *Tracker) dropOldest() {
	oldest, at := "", time.Duration(math.MaxInt64)
	for target, byPart := range t.byTarget {
		for _, f := range byPart {
			if f.broke < at {
				oldest, at = target, f.broke
			}
		}
	}
	for part := range t.byTarget[oldest] {
		t.remove(part, oldest)
	}
}

// expire removes the failures that no longer count, and what was reported of parts without failures.
func (t *Tracker) expire(now time.Duration) {
	for part, byTarget := range t.failures {
		for target, f := range byTarget {
			if now-f.broke > memory {
				t.remove(part, target)
			}
		}
	}
	for part := range t.reported {
		if !t.suspect(part) {
			delete(t.reported, part)
		}
	}
	for part := range t.total {
		if !t.suspect(part) {
			delete(t.total, part)
		}
	}
}

// suspect reports whether hosts exchange the completions of a part: a part with fewer failures is not
// blocked with the next one.
func (t *Tracker) suspect(part string) bool {
	return len(t.failures[part]) >= minSequence-1 || t.blocks[part] != nil
}

// suspects returns all suspect parts.
func (t *Tracker) suspects() []string {
	var out []string
	for part := range t.failures {
		if t.suspect(part) {
			out = append(out, part)
		}
	}
	for part := range t.blocks {
		if len(t.failures[part]) < minSequence-1 {
			out = append(out, part)
		}
	}
	return out
}

// ownAndReported returns the completions of a part that were recorded here or reported to this host.
func (t *Tracker) ownAndReported(now time.Duration, part string) completions {
	own := t.own[part]
	sum := completions{weight: own.weightAt(now), at: now, last: own.last}
	for _, c := range t.reported[part] {
		sum.weight += c.weightAt(now)
		sum.last = max(sum.last, c.last)
	}
	return sum
}

// all returns all known completions of a part.
func (t *Tracker) all(now time.Duration, part string) completions {
	sum, total := t.ownAndReported(now, part), t.total[part]
	return completions{weight: max(sum.weight, total.weightAt(now)), at: now, last: max(sum.last, total.last)}
}

// lastCompletion returns when a part was last completed; 0: never.
func (t *Tracker) lastCompletion(part string) time.Duration {
	last := max(t.own[part].last, t.total[part].last)
	for _, c := range t.reported[part] {
		last = max(last, c.last)
	}
	return last
}
