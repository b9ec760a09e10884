package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"buckthornseam.dev/seam/platform/standin"
)

// outcome is what a caller observed for one request.
type outcome struct {
	attemptID string
	path      string
	key       string
	status    int    // 0: no response
	fromHost  bool   // the response is the host's own, not a target's
	target    string // that made the response; empty: none
	complete  bool   // the response was received up to its end
	body      string
	timedOut  bool   // the request's deadline had passed
	failure   string // why there is no response
	phase     phase
	host      string // address of the host that the request was sent to
	size      streamSize
	sentAt    time.Time
	endedAt   time.Time // when the response head came or the connection ended
}

// checker records what callers and targets observed and detects violations of the
// guarantees that the daemons give.
type checker struct {
	mu                 sync.Mutex
	runs               map[string][]standin.Run // by attempt ID
	arrivals           []standin.Run            // all requests that reached a target, also those that it rejected
	outcomes           []outcome
	mostRetries        float64                  // of those allowed, in any window
	lastOrders         map[string]standin.Order // by engine
	violations         []string
	revokedAt          time.Time
	drainStartedAt     map[string]time.Time   // by draining target
	mostLimited        float64                // of the limit, in any window
	mostLimitedAt      time.Time              // end of that window
	limitedRuns        []time.Time            // of limitedTeam
	hostFaults         map[string][]time.Time // begins and ends of faults by address of the host
	stallEnds          map[string]time.Time   // end of the last stall by target; zero: not ended
	limitedEngine      string
	limitNamedAt       time.Time
	limitEndedAt       time.Time
	mostAtLimit        int    // requests that count at limitedEngine in any window
	leavingTarget      string // states in its responses that it leaves
	leavingSince       time.Time
	toldLeaving        int               // hosts that had such a response
	lastFences         map[string]uint64 // by engine
	evacuatedEngine    string            // its zone is evacuated from evacuatedAt on
	evacuatedAt        time.Time
	evacuationEnd      time.Time // zero: not ended
	earlierDaemon      bool      // a host runs, or may run, one that does not know evacuations
	upgradedAt         time.Time // when the last such process had ended
	drainWithoutFaults bool      // no fault was active when the last drain began
}

func newChecker() *checker {
	return &checker{runs: map[string][]standin.Run{}, lastOrders: map[string]standin.Order{}, hostFaults: map[string][]time.Time{}, stallEnds: map[string]time.Time{}, drainStartedAt: map[string]time.Time{}, lastFences: map[string]uint64{}}
}

// addViolation records a violated guarantee. c.mu must be held.
func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// timingTolerance allows for transit times: the two events that a bound lies between
// are recorded at different ends of a connection.
const timingTolerance = 300 * time.Millisecond

func (c *checker) recordRun(r standin.Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[r.Attempt] = append(c.runs[r.Attempt], r)
	if r.Tenant == limitedTeam {
		c.limitedRuns = append(c.limitedRuns, r.At)
	}
	if r.Tenant == "t2" && !c.revokedAt.IsZero() && r.At.After(c.revokedAt.Add(revokeBound+timingTolerance)) && !c.heldUp(r) {
		c.addViolation("revocation: %s ran %v after its key was revoked", r.Attempt, r.At.Sub(c.revokedAt))
	}
	c.checkEvacuation(r)
	if at, draining := c.drainStartedAt[r.Engine]; draining && c.drainWithoutFaults && r.At.After(at.Add(drainBound+timingTolerance)) {
		c.addViolation("drain: %s ran at %s %v after the target began to drain", r.Attempt, r.Engine, r.At.Sub(at))
	}
}

// heldUp reports whether a request may have been held by the stalled proxy of its target. c.mu must be held.
func (c *checker) heldUp(r standin.Run) bool {
	ended, known := c.stallEnds[r.Engine]
	return known && (ended.IsZero() || r.At.Before(ended.Add(timingTolerance)))
}

// recordStall records that a target's proxy stalls, or no longer does.
func (c *checker) recordStall(target string, stalled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stallEnds[target] = time.Time{}
	if !stalled {
		c.stallEnds[target] = time.Now()
	}
}

func (c *checker) recordOrder(o standin.Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	last, known := c.lastOrders[o.Engine]
	if known && last.Holder != o.Holder && o.At.Sub(last.At) < leaseBound {
		c.addViolation("one holder: %s received an order from %s %v after one from %s", o.Engine, o.Holder, o.At.Sub(last.At), last.Holder)
	}
	if known && last.Holder != o.Holder && o.Fence <= c.lastFences[o.Engine] {
		c.addViolation("one holder: %s received an order from %s with token %d after one from %s with %d", o.Engine, o.Holder, o.Fence, last.Holder, c.lastFences[o.Engine])
	}
	c.lastOrders[o.Engine] = o
	c.lastFences[o.Engine] = max(o.Fence, c.lastFences[o.Engine])
}

// recordLeaving records that a target begins to state in its responses that it leaves.
func (c *checker) recordLeaving(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leavingTarget, c.leavingSince = target, time.Now()
}

// checkLeaving checks that a host sends no request to a target that a caller sent it drainBound after the host had passed
// on a response of it that said it leaves. c.mu must be held.
func (c *checker) checkLeaving() {
	ran := func(o outcome) bool {
		return slices.ContainsFunc(c.runs[o.attemptID], func(r standin.Run) bool { return r.Engine == c.leavingTarget })
	}
	told := map[string]time.Time{}
	for _, o := range c.outcomes {
		if at, known := told[o.host]; o.status == 200 && o.target == c.leavingTarget && o.sentAt.After(c.leavingSince) && (!known || o.endedAt.Before(at)) {
			told[o.host] = o.endedAt
		}
	}
	c.toldLeaving = len(told)
	for _, o := range c.outcomes {
		at, known := told[o.host]
		faultSince := slices.ContainsFunc(c.hostFaults[o.host], func(fault time.Time) bool { return fault.After(at) })
		if known && !faultSince && o.sentAt.After(at.Add(drainBound+timingTolerance)) && ran(o) {
			c.addViolation("leaving: %s was sent to %s %v after its host knew that the target leaves", o.attemptID, c.leavingTarget, o.sentAt.Sub(at))
		}
	}
}

func (c *checker) recordRevocation() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedAt = time.Now()
}

func (c *checker) recordDrainStart(target string, withoutFaults bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainStartedAt[target], c.drainWithoutFaults = time.Now(), withoutFaults
}

// recordDrainEnd records that a target accepts requests again after it was drained.
func (c *checker) recordDrainEnd(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainStartedAt, target)
}

// recordHostFault records the begin or the end of a fault of a host's process.
func (c *checker) recordHostFault(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostFaults[host] = append(c.hostFaults[host], time.Now())
}

// inTouch reports whether a host's process had no fault from contactBound before a request to its end.
// c.mu must be held.
func (c *checker) inTouch(o outcome) bool {
	for i, at := range c.hostFaults[o.host] {
		begin := i%2 == 0
		if begin && at.Before(o.endedAt) && (i+1 == len(c.hostFaults[o.host]) || c.hostFaults[o.host][i+1].Add(contactBound).After(o.sentAt)) {
			return false
		}
	}
	return true
}

// checkQuota checks that limitedTeam got no more than its quota in any window.
func (c *checker) checkQuota() {
	slices.SortFunc(c.limitedRuns, time.Time.Compare)
	limit := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	from, most := 0, 0
	for i, at := range c.limitedRuns {
		for at.Sub(c.limitedRuns[from]) >= quotaWindow {
			from++
		}
		if i-from+1 > most {
			most, c.mostLimitedAt = i-from+1, at
		}
	}
	if tokens := float64(most * hotTokens); tokens > limit {
		c.addViolation("quota: %s ran requests of %.0f tokens in %v, more than %.0f", limitedTeam, tokens, quotaWindow, limit)
	}
	c.mostLimited = float64(most*hotTokens) / limit
}

// recordLimit records that an engine names a limit, or no longer does.
func (c *checker) recordLimit(engine string, named bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitedEngine = engine
	if named {
		c.limitNamedAt = time.Now()
	} else {
		c.limitEndedAt = time.Now()
	}
}

// limitedArrivals returns the runs at limitedEngine that count, in the order of time: those sent by hosts in touch that
// had a run there toldTime before, while the engine named its limit. c.mu must be held.
func (c *checker) limitedArrivals() (first time.Time, counted []time.Time) {
	hosts := map[string]outcome{}
	for _, o := range c.outcomes {
		hosts[o.attemptID] = o
	}
	var all []standin.Run
	for _, runs := range c.runs {
		for _, r := range runs {
			if r.Engine == c.limitedEngine && r.At.After(c.limitNamedAt) && r.At.Before(c.limitEndedAt) {
				all = append(all, r)
			}
		}
	}
	slices.SortFunc(all, func(a, b standin.Run) int { return a.At.Compare(b.At) })
	told := map[string]time.Time{}
	for _, r := range all {
		if first.IsZero() {
			first = r.At
		}
		o, known := hosts[r.Attempt]
		if !known {
			continue
		}
		if at, ok := told[o.host]; !ok {
			told[o.host] = r.At
		} else if r.At.After(at.Add(toldTime)) && c.inTouch(o) && !c.heldUp(r) {
			counted = append(counted, r.At)
		}
	}
	return first, counted
}

// checkLimit checks that limitedEngine got no more requests in any window than its limit allows.
func (c *checker) checkLimit() {
	first, arrivals := c.limitedArrivals()
	from := 0
	for i, at := range arrivals {
		for at.Sub(arrivals[from]) >= limitWindow {
			from++
		}
		if at.After(first.Add(contactBound)) {
			c.mostAtLimit = max(c.mostAtLimit, i-from+1)
		}
	}
	if allowed := limitOverage*engineLimit*limitWindow.Seconds() + limitSlack; float64(c.mostAtLimit) > allowed {
		c.addViolation("limit: %s, which takes %v requests a second, got %d in %v, more than %.0f", c.limitedEngine, engineLimit, c.mostAtLimit, limitWindow, allowed)
	}
}

func (c *checker) recordOutcome(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// notRunStatuses are the statuses with which a host states that the request has
// not run and will not run.
var notRunStatuses = map[int]bool{429: true, 503: true, 408: true, 421: true}

// checkOutcomes checks the guarantees that can be decided only after all runs have
// ended.
func (c *checker) checkOutcomes() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkQuota()
	c.checkLimit()
	c.checkLeaving()
	c.checkRetryBudget()
	for _, o := range c.outcomes {
		runs := len(c.runs[o.attemptID])
		if o.key == "k2" && runs > 0 && !c.revokedAt.IsZero() && o.sentAt.After(c.revokedAt.Add(revokeBound)) {
			c.addViolation("revocation: %s ran, and was sent %v after its key was revoked", o.attemptID, o.sentAt.Sub(c.revokedAt))
		}
		if o.status == 0 && runs > 0 && !o.timedOut && c.inTouch(o) {
			c.addViolation("lost: %s (%s) ran, and its host closed the connection without a response; %s", o.attemptID, o.path, o.failure)
		}
		if strings.HasPrefix(o.path, "/pay/") && runs > 1 {
			c.addViolation("at most once: %s ran %d times", o.attemptID, runs)
		}
		if o.fromHost && notRunStatuses[o.status] && runs > 0 {
			c.addViolation("not run is true: %s was refused with status %d but ran", o.attemptID, o.status)
		}
		if o.status == 200 && o.complete && o.body != standin.FullResponse(o.attemptID) {
			c.addViolation("whole answers: %s got a response that ended without an error but has the body %q", o.attemptID, o.body)
		}
		if o.status == 200 && o.complete && runs == 0 {
			c.addViolation("own answers: %s got a response with status 200 but never ran", o.attemptID)
		}
		// A refusal that was received completely is no loss: the caller knows that the
		// request did not run.
		// A request that reached no host when it closed its connections is none either,
		// nor is one that reached its deadline.
		toldNotRun := o.fromHost && notRunStatuses[o.status] && o.complete
		unread := o.status == 0 && runs == 0
		if o.phase == phasePlannedWork && !toldNotRun && !unread && !o.timedOut && (!o.complete || o.status >= 500) {
			c.addViolation("planned work: %s (%s) got status %d, complete: %v, while only planned work took place; %s", o.attemptID, o.path, o.status, o.complete, o.failure)
		}
	}
}

// report fails the test if there are violations, lists them and returns the number
// of served requests by phase.
func (c *checker) report(t *testing.T) (served map[phase]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served, sent := map[phase]int{}, map[phase]int{}
	for _, o := range c.outcomes {
		sent[o.phase]++
		if o.status == 200 && o.complete {
			served[o.phase]++
		}
	}
	t.Logf("requests served of those sent: planned work %d of %d, faults %d of %d, recovered %d of %d",
		served[phasePlannedWork], sent[phasePlannedWork], served[phaseFaults], sent[phaseFaults], served[phaseRecovered], sent[phaseRecovered])
	t.Logf("%s got %.2f of what its quota allows in %v until %v", limitedTeam, c.mostLimited, quotaWindow, c.mostLimitedAt.Format(time.StampMilli))
	t.Logf("%s, which takes %v requests a second, got %d in %v at most", c.limitedEngine, engineLimit, c.mostAtLimit, limitWindow)
	t.Logf("%d hosts had a response of %s, which leaves", c.toldLeaving, c.leavingTarget)
	for _, violation := range c.violations {
		t.Error(violation)
	}
	return served
}
