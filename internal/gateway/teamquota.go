package gateway

import (
	"math"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// HostCount tells how many hosts there are, and how many count the use of teams together.
type HostCount struct {
	All      int // hosts that are known, whether they can be reached or not; 0: their list has not come yet
	Together int // hosts that report to this host's coordinator, including this one; 0: it receives no reports
	Lately   int // the same, but at most since shortly before a change of the coordinator, to which others may only be late
}

// reporting reports whether this host receives reports on the use of others.
func (c HostCount) reporting() bool { return c.Together > 0 }

// share returns the part of each team's rate that the hosts that count together may grant.
func (c HostCount) share() float64 { return c.partOfAll(c.Together) }

// balanceShare returns the part of each team's balance that these hosts have. It falls later than
// share, since a balance that was divided is not put together again.
func (c HostCount) balanceShare() float64 { return c.partOfAll(max(c.Together, c.Lately)) }

func (c HostCount) partOfAll(hosts int) float64 {
	return min(1, float64(max(1, hosts))/float64(max(1, c.All)))
}

// teamQuota is what a host knows of a team's quota.
type teamQuota struct {
	balance   float64 // available now; negative: overdrawn
	updatedAt time.Duration
	share     float64 // part of the team's balance that this one is, by HostCount.balanceShare
	rate      float64 // that balance gains a second
	burst     float64 // highest value of balance
	localUse  float64 // taken by this host since its start
	sentUse   float64 // localUse in the last report
	// countedUse is localUse in the last report that the coordinator has counted.
	countedUse float64
	// unsynced is what this host has taken since the last report on the use of the others,
	// without the first request since then.
	unsynced    float64
	tookRequest bool // since the last report on the use of the others

	localAsked float64 // asked of this host since its start, granted or not
	requests   float64 // their number
	takenRate  float64 // taken by the others a second, between the last two reports
	askedRate  float64 // asked of the others a second, smoothed
}

// presumedRate is what the others are presumed to take a second while nothing is heard of them: what they
// took before or, if they were asked for more than the quota, all of it.
func (t *teamQuota) presumedRate() float64 { return max(t.takenRate, min(t.askedRate, t.rate)) }

// countUnsynced counts a granted request.
func (t *teamQuota) countUnsynced(n float64) {
	if t.tookRequest {
		t.unsynced += n
	}
	t.tookRequest = true
}

// accrue adds what has become available since the last update, at the share that was in force, and
// sets the share in force from now on. Requests are granted down to the balance floor of all hosts.
func (t *teamQuota) accrue(team *fleet.Team, hosts HostCount, floor float64, now time.Duration) {
	t.advance(now)
	share := hosts.balanceShare()
	switch {
	case share < t.share: // hosts that part divide the balance
		t.balance *= share / t.share
	case t.balance < 0:
		// Hosts that join add their debts up, as far as requests are granted on debt. Credit is not
		// added up, as hosts that were gone have none.
		t.balance = min(t.balance, max(t.balance*share/t.share, floor))
	}
	t.share, t.rate, t.burst = share, team.Rate*hosts.share(), team.Burst*share
	t.balance = math.Min(t.burst, t.balance)
}

// advance adds what has become available since the last update.
func (t *teamQuota) advance(now time.Duration) {
	t.balance = math.Min(t.burst, t.balance+t.rate*(now-t.updatedAt).Seconds())
	t.updatedAt = now
}

// countRemote counts what the others have taken and were asked for during a time, for the first
// time since the start of this process or again.
func (t *teamQuota) countRemote(taken, asked float64, during time.Duration, first bool) {
	t.unsynced, t.tookRequest = 0, false
	t.balance -= taken
	if during <= 0 {
		return
	}
	weight := min(1, during.Seconds()/rateTime.Seconds())
	t.takenRate += weight * (taken/during.Seconds() - t.takenRate)
	if !first {
		weight /= 2 // a few large requests are no lasting demand
	}
	t.askedRate += weight * (asked/during.Seconds() - t.askedRate)
}
