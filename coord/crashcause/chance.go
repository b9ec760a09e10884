package crashcause

import (
	"slices"
	"time"
)

// Some parts fail several times by chance, whatever ends the targets: those of requests that were tried again and again, and a few of
// very many. A part is not blocked if it failed under fewer than minSequence requests and with no more than half of the targets that ended
// meanwhile. If more than manyParts have failed, it is blocked only if it failed under chanceRequests different requests, or under
// minSequence of them, with half of the targets, and no other part did the same.
const (
	manyParts      = 1000
	chanceRequests = 2 * minSequence
)

// chance tells whether failures of a part are to be expected by chance.
type chance struct {
	manyParts bool
	ends      []time.Duration // of targets, in ascending order; those within togetherTime count once
}

// chanceOf returns what the failures of the candidates are to be compared with.
func (t *Tracker) chanceOf(candidates []candidate) chance {
	if len(candidates) == 0 {
		return chance{}
	}
	var ends []time.Duration
	for _, at := range t.targets {
		if !at.refuted {
			ends = append(ends, at.firstBroke)
		}
	}
	return chance{manyParts: len(t.failures) > manyParts, ends: groups(ends)}
}

// groups sorts times and drops those that follow another one closely.
func groups(times []time.Duration) []time.Duration {
	slices.Sort(times)
	var out []time.Duration
	for _, at := range times {
		if len(out) == 0 || at-out[len(out)-1] > togetherTime {
			out = append(out, at)
		}
	}
	return out
}

// suffices reports whether chance suffices to explain the failures of a candidate, one of those given.
func (c chance) suffices(of candidate, all []candidate) bool {
	different := requests(of.failures)
	own, ends := c.count(of.failures)
	switch {
	case !c.manyParts:
		return different < minSequence && 2*own <= ends
	case different >= chanceRequests:
		return false
	}
	return different < minSequence || 2*own < ends ||
		slices.ContainsFunc(all, func(other candidate) bool { return other.part != of.part && sameTargets(other, of) })
}

// count returns how many times targets ended with the failures, and how many times any did during them.
func (c chance) count(failures map[string]*failure) (own, ends int) {
	times := make([]time.Duration, 0, len(failures))
	for _, f := range failures {
		times = append(times, f.broke)
	}
	times = groups(times)
	first, _ := slices.BinarySearch(c.ends, times[0]-togetherTime)
	end, _ := slices.BinarySearch(c.ends, times[len(times)-1]+1)
	return len(times), end - first
}

// requests returns the number of different requests among failures. Where several failed at a target, or it is not known which one
// did, they count as another one.
func requests(failures map[string]*failure) int {
	different, others := map[uint32]bool{}, 0
	for _, f := range failures {
		if f.request == 0 {
			others++
		} else {
			different[f.request] = true
		}
	}
	return len(different) + others
}
