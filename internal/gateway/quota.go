package gateway

import (
	"math"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// Quotas keeps each team within its rate and burst, counted over all hosts.
// Every host counts the use of all hosts: its own immediately, that of the
// others as reported by the coordinator, some tenths of a second late. In a small
// fleet the slack that the deployment allows is several times what can be used
// during that delay. In a large one a request at each host exceeds it; so while a
// team asks for more than its credit, hosts grant requests at random.
//
// Hosts that are cut off from each other do not hear of each other's use. The hosts that
// report to the same coordinator therefore grant only their part of the rate, by their
// number among all hosts; a host that receives no reports is alone.
type Quotas struct {
	now       func() time.Duration
	hosts     func() HostCount
	random    func() float64 // in [0, 1)
	bounds    fleet.Bounds
	startedAt time.Duration // start of this process

	mu       sync.Mutex
	teams    map[string]*teamQuota
	epoch    uint64             // epoch of the remote totals
	remote   map[string]float64 // last reported totals of LocalUse of the other hosts
	syncedAt time.Duration      // time of the last report on the use of the others
	syncGap  time.Duration      // time between the last two reports
}

// NewQuotas returns unused quotas. The function random returns a number in [0, 1).
func NewQuotas(bounds fleet.Bounds, hosts func() HostCount, now func() time.Duration, random func() float64) *Quotas {
	return &Quotas{now: now, hosts: hosts, random: random, bounds: bounds, startedAt: now(), teams: map[string]*teamQuota{}}
}

// unsyncedRetry is the Retry-After of requests beyond mayTakeUnsynced: hosts hear of each
// other's use within that time.
const unsyncedRetry = 400 * time.Millisecond

// Parts of the deployment's slack by which a team may overdraw its quota. This compensates for
// the delay of counts between hosts, so that requests within the quota are rarely refused. The
// rest is for what hosts give out during that delay, which grows with their number.
const (
	maxSlackShare   = 0.4
	minSlackShare   = 0.2
	slackShareHosts = 150 // in a fleet of this size and more, minSlackShare
)

// contendedSlackShare is the part of the slack that hosts may give out at random beyond the
// credit, so that a team within its rate is hardly ever refused for a few large requests.
const contendedSlackShare = 0.3

// slackShare returns the part by which a team may overdraw its quota in a fleet of a size.
func slackShare(hosts int) float64 {
	return maxSlackShare - (maxSlackShare-minSlackShare)*min(1, float64(hosts)/slackShareHosts)
}

// floor returns the balance of all hosts down to which requests are granted.
func (q *Quotas) floor(hosts HostCount) float64 { return -slackShare(hosts.All) * q.bounds.QuotaSlack }

// Times for which a new process assumes that a team's quota is overdrawn, until it hears of the
// use of the others: each of them gives out at least one request before that.
const (
	minStartDebt   = 200 * time.Millisecond
	maxStartDebt   = 600 * time.Millisecond
	startDebtHosts = 150 // in a fleet of this size and more, maxStartDebt
)

// startDebt returns that time for a number of hosts.
func startDebt(hosts int) time.Duration {
	share := min(1, float64(hosts)/startDebtHosts)
	return minStartDebt + time.Duration(share*float64(maxStartDebt-minStartDebt))
}

// unsyncedShare returns the part of a team's credit that a host may take between two reports
// on the use of the others. It is a multiple of the equal share, since a team's requests are
// spread unevenly: the more hosts, the more so.
func unsyncedShare(hosts int) float64 {
	n := float64(max(1, hosts))
	return min(1, min(8, 2+n/50)/n)
}

// interval returns the time until the next report on the use of the others; 0 if it is unknown.
func (q *Quotas) interval() time.Duration {
	if q.syncGap == 0 {
		return 0
	}
	return max(q.syncGap, rateTime)
}

// overdue returns how long the next report on the use of the others has been overdue. Usually it is not.
func (q *Quotas) overdue() time.Duration {
	return max(0, q.now()-q.syncedAt-q.interval())
}

// unreported returns an estimate of what the others have taken that the last report did not
// include: their counts were half a report interval old on average.
func (q *Quotas) unreported(t *teamQuota) float64 {
	return t.takenRate * (q.interval()/2 + q.now() - q.syncedAt).Seconds()
}

// mayTakeUnsynced reports whether a host may take n before it hears of the use of the others,
// who see the same credit and may take as much meanwhile. If the team asks all hosts for more
// than the credit until the next report, the first request at a host is granted at random, so
// that together the hosts give out the credit once.
func (q *Quotas) mayTakeUnsynced(t *teamQuota, n, rate, floor float64, hosts int) bool {
	credit := t.balance - floor
	if t.tookRequest {
		credit -= t.presumedRate() * q.overdue().Seconds()
		return t.unsynced+n <= (credit+t.unsynced)*unsyncedShare(hosts)
	}
	gap := q.interval().Seconds()
	credit += rate*gap + contendedSlackShare*q.bounds.QuotaSlack - q.unreported(t)
	return q.random()*q.expectedAsked(t, hosts) <= max(0, credit)
}

// expectedAsked estimates what a team asks of all hosts until the next report. While nothing is
// known of the other hosts, a second request at this one is taken as a sign that all have one.
func (q *Quotas) expectedAsked(t *teamQuota, hosts int) float64 {
	if q.syncGap > 0 {
		return t.askedRate * q.interval().Seconds()
	}
	if t.requests <= 1 {
		return 0
	}
	return float64(hosts) * t.localAsked / t.requests
}

// CountAsked counts a request of n; Take follows, more than once if the request waits.
func (q *Quotas) CountAsked(team *fleet.Team, n float64) {
	q.update(team, func(t *teamQuota) {
		t.localAsked += n
		t.requests++
	})
}

// Take takes n from a team's quota, or returns how long until n is available.
func (q *Quotas) Take(team *fleet.Team, n float64) (wait time.Duration, ok bool) {
	if team.Rate <= 0 {
		return 0, true
	}
	hosts := q.hosts()
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.quotaOf(team, hosts)
	t.accrue(team, hosts, q.floor(hosts), q.now())
	rate := t.rate
	floor := t.share * q.floor(hosts)
	floor += max(0, t.balance-floor) * (1 - hosts.share()/t.share) // left to hosts that may only be late
	if hosts.reporting() && t.balance < t.burst && !q.mayTakeUnsynced(t, n, rate, floor, hosts.Together) {
		return unsyncedRetry, false
	}
	if t.balance-n < floor {
		return time.Duration((floor + n - t.balance) / rate * float64(time.Second)), false
	}
	t.balance -= n
	t.localUse += n
	t.countUnsynced(n)
	return 0, true
}

// QuotaState is the state of a team's quota at this host, for the log.
type QuotaState struct {
	Rate      float64 `json:"rate"`       // per second
	Balance   float64 `json:"balance"`    // available; negative: overdrawn
	LocalUse  float64 `json:"local_use"`  // taken by this host since its start
	AskedRate float64 `json:"asked_rate"` // asked of the other hosts, per second
	Share     float64 `json:"share"`      // part of the rate that the hosts that count together may grant
	Reporting bool    `json:"reporting"`  // this host receives reports on the use of the others
}

// State returns the state of a team's quota.
func (q *Quotas) State(team *fleet.Team) QuotaState {
	hosts := q.hosts()
	q.mu.Lock()
	defer q.mu.Unlock()
	t := q.quotaOf(team, hosts)
	return QuotaState{Rate: team.Rate, Balance: math.Round(t.balance), LocalUse: math.Round(t.localUse), AskedRate: math.Round(t.askedRate),
		Share: math.Round(hosts.share()*100) / 100, Reporting: hosts.reporting()}
}

// Isolated reports whether this host receives no reports on the use of the
// other hosts. After its start a coordinator is alone until others report to it.
func (q *Quotas) Isolated() bool {
	hosts := q.hosts()
	return hosts.Together == 0 || hosts.Together == 1 && hosts.All != 1
}

// HostsKnown reports whether the list of hosts has come. Without it, this host's part of a rate is unknown.
func (q *Quotas) HostsKnown() bool { return q.hosts().All > 0 }

// Refund returns what was taken for a request that did not run.
func (q *Quotas) Refund(team *fleet.Team, n float64) {
	q.update(team, func(t *teamQuota) {
		t.balance += n
		t.localUse -= n
		t.unsynced = math.Max(0, t.unsynced-n)
	})
}

// update changes the quota of a team that has a rate.
func (q *Quotas) update(team *fleet.Team, change func(*teamQuota)) {
	if team.Rate <= 0 {
		return
	}
	hosts := q.hosts()
	q.mu.Lock()
	defer q.mu.Unlock()
	change(q.quotaOf(team, hosts))
}

func (q *Quotas) quotaOf(team *fleet.Team, hosts HostCount) *teamQuota {
	t := q.teams[team.Name]
	if t == nil {
		share := hosts.balanceShare()
		t = &teamQuota{share: share, rate: team.Rate * hosts.share(), burst: team.Burst * share, updatedAt: q.startedAt, balance: share * q.startBalance(team, hosts.All)}
		q.teams[team.Name] = t
	}
	return t
}

// startBalance returns the balance of a team at the start of this process: its use before then
// is unknown and may have overdrawn the quota.
func (q *Quotas) startBalance(team *fleet.Team, hosts int) float64 {
	return -min(slackShare(hosts)*q.bounds.QuotaSlack, team.Rate*startDebt(hosts).Seconds())
}
