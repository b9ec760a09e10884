package crashcause

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// A part is blocked from minSequence failures on, one after the other, or if manyTargets failed under it
// without failing together. Targets that have a common fault fail within togetherTime.
const (
	minSequence  = 3
	manyTargets  = 5
	togetherTime = 50 * time.Millisecond
)

// settleTime is how long a failure is known before it counts, so that the failures of other parts at
// the same target, and that the target goes on, are known as well. Hosts exchange evidence several times
// in this time. If more than manyTargets failed, missing evidence can hardly change anything, and the time is shorter.
const settleTime = 1500 * time.Millisecond

// settled returns the failures that count, of those that nothing explains.
func settled(now time.Duration, failures map[string]*failure) map[string]*failure {
	wait := settleTime / time.Duration(max(1, len(failures)-manyTargets+1))
	out := map[string]*failure{}
	for target, f := range failures {
		if now-f.broke >= wait {
			out[target] = f
		}
	}
	return out
}

// candidate is a part with failures that nothing known so far explains.
type candidate struct {
	part     string
	position int
	failures map[string]*failure // by target
	weight   float64             // of its completions
}

// Evaluate blocks the parts that crash targets according to all evidence. While more is to come, it blocks none: the failures that
// explain others may be missing.
func (t *Tracker) Evaluate(now time.Duration) {
	t.expire(now)
	for now >= t.completeFrom {
		all := t.candidates(now)
		var guilty []candidate
		for _, c := range all {
			if isCause(c, all) {
				guilty = append(guilty, c)
			}
		}
		if len(guilty) == 0 {
			return
		}
		first := slices.MaxFunc(guilty, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(len(a.failures), len(b.failures)), cmp.Compare(a.position, b.position), cmp.Compare(a.part, b.part))
		})
		for _, c := range guilty { // parts that failed together cannot be told apart
			if c.position == first.position && sameTargets(c, first) && !t.block(now, c) {
				return
			}
		}
	}
}

// sameTargets reports whether two candidates have failures at the same targets.
func sameTargets(a, b candidate) bool {
	return maps.EqualFunc(a.failures, b.failures, func(*failure, *failure) bool { return true })
}

// candidates returns the parts whose failures outnumber their recent completions.
func (t *Tracker) candidates(now time.Duration) []candidate {
	explained := map[string]bool{}
	for part := range t.blocks {
		for target := range t.failures[part] {
			explained[target] = true
		}
	}
	var out []candidate
	for part, byTarget := range t.failures {
		if t.blocks[part] != nil || len(byTarget) < minSequence {
			continue
		}
		done := t.all(now, part)
		c := candidate{part: part, failures: map[string]*failure{}, weight: done.weight}
		for target, f := range byTarget {
			if !f.refuted && !explained[target] && f.broke > done.last {
				c.failures[target] = f
				c.position = max(c.position, f.position)
			}
		}
		c.failures = settled(now, c.failures)
		if len(c.failures) >= minSequence && float64(len(c.failures)) > c.weight {
			out = append(out, c)
		}
	}
	return out
}

// isCause reports whether a candidate is the cause of its failures.
func isCause(c candidate, all []candidate) bool {
	n := sequence(c.failures)
	if n < minSequence && len(c.failures) >= manyTargets && spread(c.failures) >= togetherTime {
		n = minSequence
	}
	if n < minSequence || float64(n) <= c.weight {
		return false
	}
	return !slices.ContainsFunc(all, func(other candidate) bool { return explains(other, c) })
}

// spread returns the time from the first to the last failure.
func spread(failures map[string]*failure) time.Duration {
	first, last := time.Duration(math.MaxInt64), time.Duration(0)
	for _, f := range failures {
		first, last = min(first, f.broke), max(last, f.broke)
	}
	return last - first
}

// explains reports whether a candidate explains the failures of another one better: it was part of all
// requests concerned and of more, or it is as much a part of them and more specific. The parts before a
// cause fail whenever it does, while few requests have those after it.
func explains(a, b candidate) bool {
	if a.part == b.part || a.position < b.position || a.position == b.position && len(a.failures) <= len(b.failures) {
		return false
	}
	for target := range b.failures {
		if a.failures[target] == nil {
			return false
		}
	}
	return true
}

// sequence returns the largest number of failures of which each request was sent after the failure before.
// Choosing the earliest failure first gives the largest number.
func sequence(failures map[string]*failure) int {
	ordered := make([]*failure, 0, len(failures))
	for _, f := range failures {
		ordered = append(ordered, f)
	}
	slices.SortFunc(ordered, func(a, b *failure) int { return cmp.Compare(a.broke, b.broke) })
	n, last := 0, time.Duration(0)
	for _, f := range ordered {
		if n == 0 || f.sent >= last {
			n, last = n+1, f.broke
		}
	}
	return n
}
