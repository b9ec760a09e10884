package gateway

import (
	"maps"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// askedSuffix follows the name of a team in the name of the count of what was asked.
const askedSuffix = "\tasked"

// LocalUse returns what this host has taken since its start, by team, and under the name of the
// team with askedSuffix what it was asked for.
func (q *Quotas) LocalUse() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]float64, 2*len(q.teams))
	for name, t := range q.teams {
		t.sentUse = t.localUse
		out[name] = t.localUse
		out[name+askedSuffix] = t.localAsked
	}
	return out
}

// SetRemoteUse records the totals of LocalUse of all other hosts; those that have not changed
// since the last report may be missing. The totals of each epoch have an arbitrary origin, so
// the first report of an epoch only serves as the baseline. With it may come the balances of the
// coordinator's host, by team.
func (q *Quotas) SetRemoteUse(teams []fleet.Team, epoch uint64, use, balances map[string]float64) {
	hosts := q.hosts()
	q.mu.Lock()
	defer q.mu.Unlock()
	gap := q.now() - q.syncedAt
	q.syncedAt = q.now()
	if epoch != q.epoch {
		if q.epoch == 0 {
			q.creditStart(teams, hosts.All)
		} else {
			q.chargeGap(gap + q.interval()/2)
		}
		q.lowerBalances(teams, hosts, balances)
		q.epoch, q.remote = epoch, maps.Clone(use)
		return
	}
	if hosts.Together <= 1 && hosts.All > 1 {
		q.chargeGap(gap - q.interval()) // the others were silent before they were found missing
	}
	first := q.syncGap == 0
	q.syncGap = gap
	increase := func(name string) float64 { return max(0, use[name]-q.remote[name]) }
	for i := range teams {
		if increase(teams[i].Name) > 0 {
			q.quotaOf(&teams[i], hosts).accrue(&teams[i], hosts, q.floor(hosts), q.now())
		}
	}
	for name, t := range q.teams {
		t.countRemote(increase(name), increase(name+askedSuffix), gap, first)
		t.countedUse = t.sentUse
	}
	if q.remote == nil {
		q.remote = map[string]float64{}
	}
	maps.Copy(q.remote, use)
}

// creditStart credits teams with their whole rate since the start of this process, of which
// a host without reports counts only its share.
func (q *Quotas) creditStart(teams []fleet.Team, hosts int) {
	for i := range teams {
		if t := q.teams[teams[i].Name]; t != nil {
			t.share, t.rate, t.burst = 1, teams[i].Rate, teams[i].Burst
			t.balance, t.updatedAt = q.startBalance(&teams[i], hosts)-t.localUse, q.startedAt
			t.advance(q.now())
		}
	}
}

// chargeGap charges an estimate of what the others have taken during a time that neither the last
// report of an epoch nor the first one of the next covers.
func (q *Quotas) chargeGap(gap time.Duration) {
	gap = max(0, gap)
	for _, t := range q.teams {
		t.advance(q.now())
		t.balance -= t.share * t.presumedRate() * gap.Seconds()
	}
}

// lowerBalances lowers balances to those of the coordinator's host, which knows what was taken
// before this process started, or while it was cut off. It does not know what this host took
// meanwhile.
func (q *Quotas) lowerBalances(teams []fleet.Team, hosts HostCount, balances map[string]float64) {
	for i := range teams {
		balance, ok := balances[teams[i].Name]
		if !ok {
			continue
		}
		t := q.quotaOf(&teams[i], hosts)
		t.balance = min(t.balance, balance-(t.localUse-t.countedUse))
		t.countedUse = t.sentUse
	}
}

// minKnownTime is the time after its start in which a process knows too little of what teams took
// before to tell other hosts.
const minKnownTime = 3 * time.Second

// Balances returns the balances of all teams. It returns none soon after the start.
func (q *Quotas) Balances() map[string]float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.now()-q.startedAt < minKnownTime {
		return nil
	}
	out := make(map[string]float64, len(q.teams))
	for name, t := range q.teams {
		t.advance(q.now())
		out[name] = t.balance
	}
	return out
}

// rateTime is the time over which the rates of a team are smoothed: the usual time between two
// reports. Some follow within milliseconds, and a single request makes a large rate then.
const rateTime = 400 * time.Millisecond
