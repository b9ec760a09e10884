package evacuation

import "time"

// DefaultBound is the time until an evacuation applies if the settings name none.
const DefaultBound = 5 * time.Second

// Polls of hosts other than the coordinator, as shares of the bound.
const (
	// pollShare is the age of the list from which a host polls the store. It is longer than three report intervals and a
	// poll of the coordinator.
	pollShare = 0.46
	// laterShare is how much later the hosts after the first ones poll: twice as long as the first ones' result takes
	// to reach them by the coordinator, which is a report interval at most.
	laterShare = 0.18
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
// report to the coordinator, 0 if it hears from none.
func PollAge(bound time.Duration, rank int) time.Duration {
	share := pollShare
	if rank >= FirstPollers {
		share += laterShare
	}
	return time.Duration(share * float64(Bound(bound)))
}
