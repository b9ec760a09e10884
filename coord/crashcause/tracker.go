package crashcause

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Limits and times.
const (
	memory         = time.Minute            // for which failures count
	halfLife       = 5 * time.Second        // of the weight of a completion
	refuteWindow   = time.Second            // a target that ended is not back within this time
	maxParts       = 16384                  // whose completions are known
	maxFailures    = 32768                  // kept at a time, by part and target
	maxPerTarget   = maxFailures / 4        // of them; beyond it, parts that have failed at no other target are left out
	resendInterval = 300 * time.Millisecond // of completions to the same receiver
	renewInterval  = 2 * time.Second        // of completions of a part that has not failed since the last ones
	moreTimeout    = time.Second            // for the message that follows another one; hosts send several in this time
)

// Tracker holds the failures and completions of parts. It is not safe for concurrent use.
type Tracker struct {
	failures map[string][]*failure             // by part, one of each target
	repeated map[string]bool                   // the parts that failed at several targets
	targets  map[string]*targetFailures        // by target
	alive    map[string]*sends                 // of requests that were completed, by target
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
	target          string
	sent, broke     time.Duration // of the request that was sent last
	version         uint64
	repeatedSince   uint64 // version at which the part failed at a second target, if this was the first one
	request         uint32 // which request it was; 0: several, or not known
	position        int32  // of the part in the request
	refuted         bool   // the target went on
	fromCoordinator bool   // learned from the coordinating host
}

// targetFailures are the failures at one target.
type targetFailures struct {
	parts      []string
	firstBroke time.Duration
	lastBroke  time.Duration
	refuted    bool // the target went on, at least once
	// incomplete is the version since which parts are known to be missing; 0: none are.
	incomplete uint64
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
		failures: map[string][]*failure{}, repeated: map[string]bool{}, targets: map[string]*targetFailures{}, alive: map[string]*sends{},
		own: map[string]completions{}, reported: map[string]map[string]completions{}, total: map[string]completions{}, blocks: map[string]*block{}, version: 1,
	}
}

// requestID returns a short name of a request.
func requestID(request string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(request)) // never fails
	return max(1, h.Sum32())
}

// RecordFailure records that a target broke off a request with the given parts, which was sent to it
// at the time sent. The name of the target must be unique to one start of it, that of the request the same for all tries of it.
func (t *Tracker) RecordFailure(now time.Duration, request string, parts []string, target string, sent time.Duration) {
	for i, part := range parts {
		t.addFailure(now, part, failure{target: target, request: requestID(request), sent: sent, broke: now, position: int32(min(i, math.MaxInt32))})
	}
}

// RecordCompletion records that a target completed a request with the given parts.
func (t *Tracker) RecordCompletion(now time.Duration, parts []string, target string, sent time.Duration) {
	t.recordAlive(now, target, sent)
	for _, part := range parts {
		c, known := t.own[part]
		if !known {
			part = strings.Clone(part) // it may be a piece of a large head
		}
		t.own[part] = completions{weight: c.weightAt(now) + 1, at: now, last: now}
		t.releaseIfCompleted(part)
	}
	if len(t.own) > maxParts {
		t.forgetCompletions(now)
	}
}

// forgetCompletions drops a quarter of the completions, those with the least weight: the parts that many requests have are
// the ones that must not be taken for parts that nobody completes.
func (t *Tracker) forgetCompletions(now time.Duration) {
	weights := make([]float64, 0, len(t.own))
	for _, c := range t.own {
		weights = append(weights, c.weightAt(now))
	}
	slices.Sort(weights)
	least := weights[len(weights)-maxParts*3/4]
	maps.DeleteFunc(t.own, func(_ string, c completions) bool { return c.weightAt(now) < least })
	for part, c := range t.own { // the many of equal weight
		if len(t.own) <= maxParts*3/4 {
			return
		}
		if c.weightAt(now) == least {
			delete(t.own, part)
		}
	}
}

// failureAt returns the failure of a part at a target, or nil.
func (t *Tracker) failureAt(part, target string) *failure {
	for _, f := range t.failures[part] {
		if f.target == target {
			return f
		}
	}
	return nil
}

// addFailure adds a failure, or what it tells beyond the one that is known of the same part and target.
func (t *Tracker) addFailure(now time.Duration, part string, f failure) {
	if now-f.broke > memory {
		return
	}
	if !f.refuted && t.sentAfter(f) {
		f.refuted, f.fromCoordinator = true, false
	}
	known := t.failureAt(part, f.target)
	if known == nil {
		t.insert(part, f)
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
	if f.request != known.request {
		next.request = 0
	}
	if next != *known {
		t.version++
		next.fromCoordinator, next.version = f.fromCoordinator, t.version
		*known = next
		t.targets[f.target].include(next)
	}
}

// insert adds a failure, unless there is no room for one of a part that has failed at no other target.
func (t *Tracker) insert(part string, f failure) {
	for t.count >= maxFailures {
		t.makeRoom()
	}
	at := t.failuresAt(f.target, f.broke)
	others := t.failures[part]
	if len(others) == 0 {
		if len(at.parts) >= maxPerTarget {
			t.markIncomplete(at)
			return
		}
		part = strings.Clone(part) // it may be a piece of a large head
	}
	t.version++
	f.version = t.version
	t.failures[part] = append(others, &f)
	if len(others) == 1 {
		t.repeated[part] = true
		t.version++
		others[0].repeatedSince = t.version
	}
	at.parts = append(at.parts, part)
	at.include(f)
	t.count++
}

func (at *targetFailures) include(f failure) {
	at.refuted = at.refuted || f.refuted
	at.firstBroke, at.lastBroke = min(at.firstBroke, f.broke), max(at.lastBroke, f.broke)
}

// failuresAt returns the failures at a target, which broke off a request at a time.
func (t *Tracker) failuresAt(target string, broke time.Duration) *targetFailures {
	at := t.targets[target]
	if at == nil {
		at = &targetFailures{firstBroke: broke, lastBroke: broke}
		t.targets[strings.Clone(target)] = at
	}
	return at
}

// markIncomplete records that parts of requests that a target broke off are not known. What is known of it blocks no part.
func (t *Tracker) markIncomplete(at *targetFailures) {
	if at.incomplete == 0 {
		t.version++
		at.incomplete = t.version
	}
}

// remove drops the failure of a part at a target.
func (t *Tracker) remove(part, target string) {
	before := len(t.failures[part])
	left := slices.DeleteFunc(t.failures[part], func(f *failure) bool { return f.target == target })
	t.count -= before - len(left)
	switch len(left) {
	case 0:
		delete(t.failures, part)
	case 1:
		delete(t.repeated, part)
		t.failures[part] = left
	default:
		t.failures[part] = left
	}
}

// makeRoom drops failures until an eighth of the room is free, from the target that failed first on: at first those of parts that
// failed nowhere else, then all. A cause fails again and again, so that it stays.
func (t *Tracker) makeRoom() {
	byAge := slices.SortedFunc(maps.Keys(t.targets), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.targets[a].firstBroke, t.targets[b].firstBroke), cmp.Compare(a, b))
	})
	for _, drop := range []func(target string){t.dropSingles, t.dropTarget} {
		for _, target := range byAge {
			if t.count <= maxFailures*7/8 {
				return
			}
			if t.targets[target] != nil {
				drop(target)
			}
		}
	}
}

// dropSingles drops the failures at a target of parts that failed nowhere else.
func (t *Tracker) dropSingles(target string) {
	at := t.targets[target]
	before := len(at.parts)
	at.parts = slices.DeleteFunc(at.parts, func(part string) bool {
		if t.repeated[part] {
			return false
		}
		t.remove(part, target)
		return true
	})
	switch {
	case len(at.parts) == 0:
		delete(t.targets, target)
	case len(at.parts) < before:
		t.markIncomplete(at)
	}
}

func (t *Tracker) dropTarget(target string) {
	for _, part := range t.targets[target].parts {
		t.remove(part, target)
	}
	delete(t.targets, target)
}

// expire removes the failures that no longer count, and what was reported of parts without failures.
func (t *Tracker) expire(now time.Duration) {
	for target, at := range t.targets {
		if now-at.lastBroke > memory {
			t.dropTarget(target)
		}
	}
	t.forgetSends(now)
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
	out := slices.Collect(maps.Keys(t.repeated)) // minSequence-1 or more
	for part := range t.blocks {
		if !t.repeated[part] {
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
