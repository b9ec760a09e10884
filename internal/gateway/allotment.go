package gateway

import (
	"math"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// Allotments keeps each team within its rate and burst over all hosts. Every
// host counts all use, its own at once and that of others as the coordinator
// tells of it, some tenths of a second late; the deployment's slack is several
// times what can be spent meanwhile. A host that hears nothing of the others
// goes on with its share of the rate.
type Allotments struct {
	now    func() time.Duration
	hosts  func() (n int, heard bool)
	bounds fleet.Bounds
	began  time.Duration // start of this process
	epoch  uint64        // of the totals of others

	mu    sync.Mutex
	teams map[string]*allotment
}

type allotment struct {
	level  float64 // what may be spent at once; below 0: debt
	at     time.Duration
	own    float64 // spent by this host since its start
	others float64 // total of the others, as last heard
	known  bool
}

// NewAllotments returns allotments nobody has spent of. Hosts returns how many
// hosts there are, and whether this one hears of the others.
func NewAllotments(bounds fleet.Bounds, hosts func() (int, bool), now func() time.Duration) *Allotments {
	return &Allotments{now: now, hosts: hosts, bounds: bounds, began: now(), teams: map[string]*allotment{}}
}

// slackShare is the part of the deployment's slack that a team may go below
// its allotment: it makes up for the delay of counts between hosts, so that
// hardly a request inside the allotment is refused.
const slackShare = 0.4

// Spend takes n from a team's allotment, or returns how long until there is
// enough.
func (a *Allotments) Spend(team *fleet.Team, n float64) (wait time.Duration, ok bool) {
	if team.Rate <= 0 {
		return 0, true
	}
	hosts, heard := a.hosts()
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.team(team)
	rate := team.Rate
	if !heard {
		rate /= float64(max(1, hosts))
	}
	t.accrue(rate, team.Burst, a.now())
	floor := -slackShare * a.bounds.QuotaSlack
	if !heard {
		floor /= float64(max(1, hosts))
	}
	if t.level-n < floor {
		return time.Duration((floor + n - t.level) / rate * float64(time.Second)), false
	}
	t.level -= n
	t.own += n
	return 0, true
}

// Alone reports whether this host hears nothing of what the others spend.
func (a *Allotments) Alone() bool {
	_, heard := a.hosts()
	return !heard
}

// Return gives back what a request that did not run had taken.
func (a *Allotments) Return(team *fleet.Team, n float64) {
	if team.Rate <= 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.team(team)
	t.level += n
	t.own -= n
}

func (a *Allotments) team(team *fleet.Team) *allotment {
	t := a.teams[team.Name]
	if t == nil {
		// What was spent before this process started is not known: it begins
		// with nothing of the burst.
		t = &allotment{at: a.began}
		a.teams[team.Name] = t
	}
	return t
}

// Use returns what this host has spent by team since its start.
func (a *Allotments) Use() map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]float64, len(a.teams))
	for name, t := range a.teams {
		out[name] = t.own
	}
	return out
}

// accrue adds what the rate gave since the last time.
func (t *allotment) accrue(rate, burst float64, now time.Duration) {
	t.level = math.Min(burst, t.level+rate*(now-t.at).Seconds())
	t.at = now
}

// SetOthers takes in what all other hosts have spent, by team. Totals count
// from an arbitrary start in each epoch, so the first of an epoch only sets the
// mark.
func (a *Allotments) SetOthers(teams []fleet.Team, epoch uint64, use map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if epoch != a.epoch {
		a.epoch = epoch
		for _, t := range a.teams {
			t.known = false
		}
	}
	for i := range teams {
		total, told := use[teams[i].Name]
		if !told {
			continue
		}
		t := a.team(&teams[i])
		t.accrue(teams[i].Rate, teams[i].Burst, a.now())
		if t.known && total > t.others {
			t.level -= total - t.others
		}
		t.others, t.known = total, true
	}
}
