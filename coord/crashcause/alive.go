package crashcause

import (
	"slices"
	"time"
)

// Times for which it is known that a target went on.
const (
	sendsKept    = 5 * time.Second  // longer than it takes until hosts have told each other of a failure
	sendsSpacing = refuteWindow / 4 // between two that are kept, so that each window has one
)

// sends are times at which requests were sent to a target that it has completed, in ascending order.
type sends struct {
	times []time.Duration
}

// recordAlive records that a target has completed a request that was sent to it at a time: it did not end shortly before.
func (t *Tracker) recordAlive(now time.Duration, target string, sent time.Duration) {
	s := t.alive[target]
	if s == nil {
		s = &sends{}
		t.alive[target] = s
	}
	i, _ := slices.BinarySearch(s.times, sent)
	afterOne := i > 0 && sent-s.times[i-1] < sendsSpacing
	beforeOne := i < len(s.times) && s.times[i]-sent < sendsSpacing
	if !afterOne && !beforeOne {
		s.times = slices.Insert(s.times, i, sent)
	}
	s.forget(now)
	at := t.targets[target]
	if at == nil || sent <= at.firstBroke || sent >= at.lastBroke+refuteWindow {
		return
	}
	for _, part := range at.parts {
		f := t.failureAt(part, target)
		if f != nil && !f.refuted && f.broke < sent && sent < f.broke+refuteWindow {
			t.version++
			f.refuted, f.fromCoordinator, f.version = true, false, t.version
			at.refuted = true
		}
	}
}

// sentAfter reports whether a target has completed a request that was sent to it shortly after a failure.
func (t *Tracker) sentAfter(f failure) bool {
	s := t.alive[f.target]
	if s == nil {
		return false
	}
	i, _ := slices.BinarySearch(s.times, f.broke+1)
	return i < len(s.times) && s.times[i] < f.broke+refuteWindow
}

func (s *sends) forget(now time.Duration) {
	i, _ := slices.BinarySearch(s.times, now-sendsKept)
	s.times = slices.Delete(s.times, 0, i)
}

func (t *Tracker) forgetSends(now time.Duration) {
	for target, s := range t.alive {
		if n := len(s.times); n == 0 || s.times[n-1] < now-sendsKept {
			delete(t.alive, target)
		}
	}
}
