package gateway

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// clock is a manually advanced clock.
type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

func testBounds() fleet.Bounds {
	return fleet.Bounds{QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 110_000, RetryRatio: 0.2, RetryExtra: 56, RetryWindow: 10 * time.Second}
}

// together returns the count of n hosts that all count together.
func together(n int) func() HostCount { return countIf(n, func() bool { return true }) }

// alone returns the count of a host of n that receives no reports.
func alone(n int) func() HostCount { return countIf(n, func() bool { return false }) }

// countIf returns the count of n hosts that count together if reporting returns true.
func countIf(n int, reporting func() bool) func() HostCount {
	return func() HostCount {
		if reporting() {
			return HostCount{All: n, Together: n, Lately: n}
		}
		return HostCount{All: n}
	}
}

func half() float64 { return 0.5 }

// takeRepeatedly takes 700 tokens from each of the quotas every 10 ms for a
// duration, and returns the total that was granted.
func takeRepeatedly(quotas []*Quotas, c *clock, team *fleet.Team, d time.Duration) float64 {
	total := 0.0
	for end := c.now + d; c.now < end; c.now += 10 * time.Millisecond {
		for _, q := range quotas {
			if _, ok := q.Take(team, 700); ok {
				total += 700
			}
		}
	}
	return total
}

// TestQuotaHoldsAcrossRestartOfAllHosts checks a team that sends many times its
// rate while all hosts are killed and restarted.
func TestQuotaHoldsAcrossRestartOfAllHosts(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 50_000, Burst: 60_000, ByTokens: true}
	one := together(1)
	q := NewQuotas(testBounds(), one, c.Now, half)
	c.now += 10 * time.Second
	total := takeRepeatedly([]*Quotas{q}, c, team, 4*time.Second)
	q = NewQuotas(testBounds(), one, c.Now, half)
	total += takeRepeatedly([]*Quotas{q}, c, team, 4*time.Second)
	b := testBounds()
	if limit := (team.Rate*8+team.Burst)*(1+b.QuotaOverage) + b.QuotaSlack - 60_000; total > limit {
		t.Errorf("took %.0f in 8 s, more than %.0f (the bound less what other hosts may take before the counts reach them)", total, limit)
	}
}

// TestIsolatedHostsShareRate checks the total of hosts that receive no reports
// on each other's use.
func TestIsolatedHostsShareRate(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 50_000, Burst: 60_000, ByTokens: true}
	var all []*Quotas
	for range 8 {
		all = append(all, NewQuotas(testBounds(), alone(8), c.Now, half))
	}
	b := testBounds()
	if total := takeRepeatedly(all, c, team, 8*time.Second); total > (team.Rate*8+team.Burst)*(1+b.QuotaOverage)+b.QuotaSlack {
		t.Errorf("took %.0f in 8 s in all, more than the quota allows", total)
	}
}

// TestHostWithoutListOfHostsRefusesTeams guards against a host that cannot read the list of hosts granting the whole rate.
func TestHostWithoutListOfHostsRefusesTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &addressSender{responses: map[string]func(target.ForwardRequest) (*target.ForwardResponse, error){
			"p1": respond(http.StatusOK, "ok"), "p2": respond(http.StatusOK, "ok"),
		}}
		g := testGateway(s)
		g.opts.View.Config().Teams[0].Rate, g.opts.View.Config().Teams[0].Burst = 1000, 1000
		count := HostCount{Together: 1, Lately: 1}
		g.opts.Quotas = NewQuotas(testBounds(), func() HostCount { return count }, g.opts.Now, half)
		if w := post(g, "/pay/x", ""); w.Code != http.StatusServiceUnavailable || len(s.sentTo) > 0 {
			t.Errorf("status %d after %d sends, want 503 and no send", w.Code, len(s.sentTo))
		}
		count = HostCount{All: 1, Together: 1, Lately: 1}
		if w := post(g, "/pay/x", ""); w.Code != http.StatusOK {
			t.Errorf("status %d with a list of hosts, want 200", w.Code)
		}
	})
}

func TestRemoteUseCounts(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 50_000, Burst: 60_000, ByTokens: true}
	q := NewQuotas(testBounds(), together(2), c.Now, half)
	c.now += 10 * time.Second
	q.SetRemoteUse([]fleet.Team{*team}, 1, map[string]float64{"t": 0}, nil)
	q.SetRemoteUse([]fleet.Team{*team}, 1, map[string]float64{"t": 200_000}, nil)
	if wait, ok := q.Take(team, 700); ok || wait <= 0 {
		t.Error("a request was granted although the other hosts have used up the quota")
	}
}

// TestUseOfTeamFirstSeenInEpochCounts checks the use of a team that no host had used yet when
// the coordinator began to count: what it took first is no baseline.
func TestUseOfTeamFirstSeenInEpochCounts(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 50_000, Burst: 60_000, ByTokens: true}
	q := NewQuotas(testBounds(), together(2), c.Now, half)
	c.now += 10 * time.Second
	q.SetRemoteUse([]fleet.Team{*team}, 1, nil, nil)
	q.SetRemoteUse([]fleet.Team{*team}, 1, map[string]float64{"t": 200_000}, nil)
	if _, ok := q.Take(team, 700); ok {
		t.Error("a request was granted although the other hosts have used up the quota")
	}
}

// TestRequestThatWaitedAtStartIsGranted covers a host whose requests wait for its first report on
// the others: the team's rate accrues meanwhile.
func TestRequestThatWaitedAtStartIsGranted(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 90_000, Burst: 90_000, ByTokens: true}
	reporting := false
	q := NewQuotas(testBounds(), countIf(91, func() bool { return reporting }), c.Now, half)
	for range 8 {
		c.now += 100 * time.Millisecond
		if _, ok := q.Take(team, 7_000); ok {
			t.Fatal("a request beyond this host's share was granted before the first report")
		}
	}
	reporting = true
	q.SetRemoteUse([]fleet.Team{*team}, 1, nil, nil)
	if wait, ok := q.Take(team, 7_000); !ok {
		t.Errorf("a request was refused for %v after the first report, 0.8 s after the start", wait)
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	c := &clock{now: time.Hour}
	b := NewRetryBudget(testBounds(), together(8), c.Now)
	c.now += 11 * time.Second // longer than its first window
	requests, retries := 0.0, 0.0
	for range 1000 {
		c.now += 10 * time.Millisecond
		b.CountRequest("s")
		requests++
		if _, ok := b.Charge("s"); ok {
			retries++
		}
	}
	if limit := 0.2*requests + 56.0/8; retries > limit || retries < limit/2 {
		t.Errorf("%.0f retries of %.0f requests, want at most %.0f and at least half of that", retries, requests, limit)
	}
}

// TestRetriesWithoutListOfHosts guards against such a host taking the whole fixed allowance of retries.
func TestRetriesWithoutListOfHosts(t *testing.T) {
	c := &clock{now: time.Hour}
	b := NewRetryBudget(testBounds(), func() HostCount { return HostCount{} }, c.Now)
	b.CountRequest("s")
	if _, ok := b.Charge("s"); ok {
		t.Error("a retry of the only request was allowed, want a fifth of the requests at most")
	}
}

func TestTotalsOfNewEpochAreNotCountedAsUse(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 50_000, Burst: 60_000, ByTokens: true}
	q := NewQuotas(testBounds(), together(8), c.Now, half)
	c.now += 10 * time.Second
	q.SetRemoteUse([]fleet.Team{*team}, 1, map[string]float64{"t": 100_000}, nil)
	q.SetRemoteUse([]fleet.Team{*team}, 2, map[string]float64{"t": 900_000}, nil)
	if _, ok := q.Take(team, 700); !ok {
		t.Error("a request within the quota was refused")
	}
}
