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
	position int32
	failures map[string]*failure // by target
	weight   float64             // of its completions
}

// Evaluate blocks the parts that crash targets according to all evidence. While more is to come, it blocks none: the failures that
// explain others may be missing.
func (t *Tracker) Evaluate(now time.Duration) {
	t.expire(now)
	for now >= t.completeFrom {
		all := t.candidates(now)
		chance := t.chanceOf(all)
		var guilty []candidate
		for _, c := range all {
			if isCause(c, all) && !chance.suffices(c, all) {
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
	unusable := map[string]bool{} // targets whose failures are explained, or not known completely
	for part := range t.blocks {
		for _, f := range t.failures[part] {
			unusable[f.target] = true
		}
	}
	for target, at := range t.targets {
		if at.incomplete != 0 {
			unusable[target] = true
		}
	}
	var out []candidate
	for part := range t.repeated {
		if t.blocks[part] != nil || len(t.failures[part]) < minSequence {
			continue
		}
		done := t.all(now, part)
		c := candidate{part: part, failures: map[string]*failure{}, weight: done.weight}
		for _, f := range t.failures[part] {
			if !f.refuted && !unusable[f.target] && f.broke > done.last {
				c.failures[f.target] = f
				c.position = max(c.position, f.position)
			}
		}
		c.failures = settled(now, c.failures)
		if len(c.failures) < minSequence || float64(len(c.failures)) <= c.weight {
			continue
		}
		if requests(c.failures) > 1 { // of a single request, nothing tells which part it is
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

// Differences between two parts that are no chance.
const (
	clearlyMore = 2 // failures
	clearlyLess = 1 // weight of completions
)

// explains reports whether a candidate explains the failures of another one better: it was part of all requests concerned, and
//
//   - it was completed clearly less. A part that stands before another one in all prompts is completed at least as often, so that its
//     place says nothing here;
//   - or it was part of more, and does not stand before the other one, unless it is part of clearly more. The parts before a cause fail
//     whenever it does;
//   - or it is as much a part of them and more specific: few requests have the parts behind a cause.
func explains(a, b candidate) bool {
	more := len(a.failures) - len(b.failures)
	if a.part == b.part || more < 0 {
		return false
	}
	better := false
	switch {
	case a.weight+clearlyLess <= b.weight:
		better = true
	case b.weight+clearlyLess <= a.weight:
		better = more > 0 && a.position >= b.position
	case a.position < b.position:
		better = more >= clearlyMore && a.weight <= b.weight
	case a.position == b.position:
		better = more > 0
	default:
		better = true
	}
	return better && covers(a, b)
}

// covers reports whether a candidate failed at all targets at which another one did.
func covers(a, b candidate) bool {
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
