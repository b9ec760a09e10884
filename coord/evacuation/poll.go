package evacuation

import "time"

// DefaultBound is the time until an evacuation applies if the settings name none.
const DefaultBound = 5 * time.Second

// Polls of hosts other than the coordinator, as shares of the bound.
const (
	// firstShare is the age of the list from which the first hosts poll the store. It is longer than a poll of the
	// coordinator and two report intervals.
	firstShare = 0.34
	// laterShare is the age from which the other hosts poll. The first ones poll again after firstShare, and what they
	// find reaches the others by the coordinator within another 0.2, so that the others need not poll.
	laterShare = 0.64
)

// FirstPollers is the number of hosts that poll first if the coordinator no longer confirms the list. One of them may be the
// coordinator, and the store may refuse another one.
const FirstPollers = 3

// Bound returns the bound to use for a configured one.
func Bound(configured time.Duration) time.Duration {
	if configured <= 0 {
		return DefaultBound
	}
	return configured
}

// PollAge returns the age of the list from which a host polls the store. The rank is the host's place among the hosts that
// report to the coordinator. A host that hears from none, or to which no other host
// reports, has no one to poll for and takes FirstPollers.
func PollAge(bound time.Duration, rank int) time.Duration {
	share := firstShare
	if rank >= FirstPollers {
		share = laterShare
	}
	return time.Duration(share * float64(Bound(bound)))
}
