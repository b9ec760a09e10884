package gateway

import (
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// targetWaitEnd returns the time until which a request may wait for a target. It
// leaves the usual run time, but at most a third of the time until the deadline.
func (g *Gateway) targetWaitEnd(x *exchange) time.Duration {
	runTime := plainRunTime
	if x.route.Kind == fleet.Streaming {
		runTime = streamRunTime
	}
	until := x.deadline - min(runTime, (x.deadline-x.arrived)/3)
	if x.route.Kind == fleet.Streaming {
		until = min(until, max(x.arrived, x.lastEventAt)+callerTimeout(x.route)-firstEventTime)
	}
	return g.lastSendBeforeStop(x, until)
}

// According to the platform's documentation, callers of a stream disconnect if
// they receive no event, including the first one, for the longest of these times.
const (
	callerTimeoutMin        = 2 * time.Second
	callerTimeoutObjectives = 4 // times the route's objective
	callerTimeoutGaps       = 8 // times the route's gap objective
)

// firstEventTime is the usual time from the send to a target's first event.
const firstEventTime = 100 * time.Millisecond

// callerTimeout returns how long a caller waits for the next event of a stream.
func callerTimeout(r *fleet.Route) time.Duration {
	return max(callerTimeoutMin, callerTimeoutObjectives*r.Objective, callerTimeoutGaps*r.GapObjective)
}
