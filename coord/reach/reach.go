// Package reach finds out whether a node has lost its way to all of its targets, as opposed to single targets
// being unreachable, and how it returns to them. It is a core without I/O: the caller tells it how attempts to
// connect ended, makes the probes that it asks for, and asks it which way to take.
package reach

import (
	"slices"
	"time"
)

// State is what a node believes of its way to the targets.
type State int

// The states of a Tracker.
const (
	Reaching  State = iota // new connections to targets are established
	CutOff                 // no target can be reached
	Returning              // targets can be reached again; a growing part of the work goes there
)

func (s State) String() string { return [...]string{"reaching", "cut_off", "returning"}[s] }

// Times and sizes of a Tracker.
const (
	// ProbeTargets is how many targets are probed at once. All of them are down together less often than a node
	// loses its way.
	ProbeTargets = 4
	// probeInterval is the time between probes while the node is cut off or returns.
	probeInterval = 200 * time.Millisecond
	// minReturnTime is how long the node takes to return. It doubles, up to maxReturnTime, each time the way is lost
	// again within settledTime of the last return.
	minReturnTime = 2 * time.Second
	maxReturnTime = 8 * time.Second
	settledTime   = 10 * time.Second
	// firstShare is the part of the work that is sent directly when the node begins to return.
	firstShare = 0.1
)

// Tracker follows the way of one node. All times are on the caller's clock, which must not go back. It is not safe for
// concurrent use.
type Tracker struct {
	state       State
	reachedAt   time.Duration // when a connection was last established
	failedSince time.Duration // first failure after that; valid if failing is set
	failing     bool
	probedAt    time.Duration // when the last probes began; valid if probed is set
	probed      bool
	probing     bool
	cutOffAt    time.Duration
	returnedAt  time.Duration // when the state last became Returning
	returnTime  time.Duration
}

// New returns a tracker of a node that reaches its targets.
func New() *Tracker { return &Tracker{returnTime: minReturnTime} }

// State returns the state at a time.
func (t *Tracker) State(now time.Duration) State {
	if t.state == Returning && now >= t.returnedAt+t.returnTime {
		t.state = Reaching
	}
	return t.state
}

// Reached records that a connection to a target was established that was asked for at a time.
func (t *Tracker) Reached(asked, now time.Duration) {
	t.reachedAt = max(t.reachedAt, now)
	if asked >= t.failedSince { // an older one may have been established before the way was lost
		t.failing = false
	}
}

// Failed records that a connection to a target could not be established, or was not within the usual time.
func (t *Tracker) Failed(now time.Duration) {
	if !t.failing {
		t.failing, t.failedSince = true, now
	}
}

// WantsProbes reports whether ProbeTargets targets should be probed now, and takes it that they are. Probed must be
// called with the result.
func (t *Tracker) WantsProbes(now time.Duration) bool {
	if t.probing {
		return false
	}
	switch t.State(now) {
	case Reaching:
		if !t.failing || t.probed && t.probedAt >= t.failedSince && now < t.probedAt+probeInterval {
			return false
		}
	default:
		if now < t.probedAt+probeInterval {
			return false
		}
	}
	t.probing, t.probed, t.probedAt = true, true, now
	return true
}

// Probed records the result of the probes: to how many targets connections were established and to how many they
// were not. With none of either, nothing is known.
func (t *Tracker) Probed(now time.Duration, reached, unreached int) {
	t.probing = false
	state := t.State(now)
	switch {
	case reached > 0:
		t.Reached(t.probedAt, now)
		if state == CutOff {
			t.state, t.returnedAt = Returning, now
		}
	case unreached > 0 && state != CutOff && t.reachedAt <= t.probedAt:
		t.cutOff(now, state)
	}
}

// cutOff enters the state CutOff.
func (t *Tracker) cutOff(now time.Duration, from State) {
	again := from == Returning || t.returnedAt > 0 && now < t.returnedAt+t.returnTime+settledTime
	if again {
		t.returnTime = min(2*t.returnTime, maxReturnTime)
	} else {
		t.returnTime = minReturnTime
	}
	t.state, t.cutOffAt = CutOff, now
}

// Direct reports whether a piece of work should be sent to the targets by this node itself. point is a random number in
// [0, 1).
func (t *Tracker) Direct(now time.Duration, point float64) bool {
	switch t.State(now) {
	case CutOff:
		return false
	case Returning:
		share := float64(now-t.returnedAt) / float64(t.returnTime)
		return point < firstShare+(1-firstShare)*share
	}
	return true
}

// Confirms reports whether a failure at a target that was seen at a time says something about the target: the node
// has reached some target since, and so had not lost its way. known is false until that is decided.
func (t *Tracker) Confirms(failedAt, now time.Duration) (confirmed, known bool) {
	if t.reachedAt > failedAt {
		return true, true
	}
	return false, t.State(now) == CutOff
}

// Choose returns at most ProbeTargets of the targets to probe, spread over them by the random function intn.
func Choose(targets []string, intn func(n int) int) []string {
	left := slices.Clone(targets)
	var out []string
	for len(left) > 0 && len(out) < ProbeTargets {
		i := intn(len(left))
		out = append(out, left[i])
		left[i] = left[len(left)-1]
		left = left[:len(left)-1]
	}
	return out
}
