package gateway

import (
	"testing"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// clock is a time set by hand.
type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

func testBounds() fleet.Bounds {
	return fleet.Bounds{QuotaWindow: 8 * time.Second, QuotaOverage: 0.1, QuotaSlack: 110_000, RetryRatio: 0.2, RetryExtra: 56, RetryWindow: 10 * time.Second}
}

// spendAll asks for n tokens again and again for a while and returns what was
// allowed.
func spendAll(a []*Allotments, c *clock, team *fleet.Team, d time.Duration) float64 {
	total := 0.0
	for end := c.now + d; c.now < end; c.now += 10 * time.Millisecond {
		for _, each := range a {
			if _, ok := each.Spend(team, 700); ok {
				total += 700
			}
		}
	}
	return total
}

// TestHotTeamAcrossARestartOfAllHosts: a team sends many times its rate while
// all hosts are killed and start again.
func TestHotTeamAcrossARestartOfAllHosts(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 50_000, Burst: 60_000, ByTokens: true}
	one := func() (int, bool) { return 1, true }
	a := NewAllotments(testBounds(), one, c.Now)
	c.now += 10 * time.Second
	total := spendAll([]*Allotments{a}, c, team, 4*time.Second)
	a = NewAllotments(testBounds(), one, c.Now)
	total += spendAll([]*Allotments{a}, c, team, 4*time.Second)
	b := testBounds()
	if most := (team.Rate*8+team.Burst)*(1+b.QuotaOverage) + b.QuotaSlack - 60_000; total > most {
		t.Errorf("spent %.0f in 8 s, more than %.0f (the bound less what other hosts may spend before they hear)", total, most)
	}
}

// TestHostsOutOfTouchShareTheRate: no host hears of the others.
func TestHostsOutOfTouchShareTheRate(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 50_000, Burst: 60_000, ByTokens: true}
	var all []*Allotments
	for range 8 {
		all = append(all, NewAllotments(testBounds(), func() (int, bool) { return 8, false }, c.Now))
	}
	b := testBounds()
	if total := spendAll(all, c, team, 8*time.Second); total > (team.Rate*8+team.Burst)*(1+b.QuotaOverage)+b.QuotaSlack {
		t.Errorf("spent %.0f", total)
	}
}

func TestSpendingOfOthersCounts(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 50_000, Burst: 60_000, ByTokens: true}
	a := NewAllotments(testBounds(), func() (int, bool) { return 2, true }, c.Now)
	c.now += 10 * time.Second
	a.SetOthers([]fleet.Team{*team}, 1, map[string]float64{"t": 0})
	a.SetOthers([]fleet.Team{*team}, 1, map[string]float64{"t": 200_000})
	if wait, ok := a.Spend(team, 700); ok || wait <= 0 {
		t.Error("spent although the others have used up the allotment")
	}
}

func TestRetriesStayWithinTheirBudget(t *testing.T) {
	c := &clock{now: time.Hour}
	b := NewRetryBudget(testBounds(), func() (int, bool) { return 8, true }, c.Now)
	requests, repeats := 0.0, 0.0
	for range 1000 {
		c.now += 10 * time.Millisecond
		b.Request("s")
		requests++
		if b.Repeat("s") {
			repeats++
		}
	}
	if most := 0.2*requests + 56.0/8; repeats > most || repeats < most/2 {
		t.Errorf("%.0f repeats of %.0f requests, at most %.0f", repeats, requests, most)
	}
}

func TestNewCoordinatorsTotalsAreNoSpending(t *testing.T) {
	c := &clock{now: time.Hour}
	team := &fleet.Team{Name: "t", Rate: 50_000, Burst: 60_000, ByTokens: true}
	a := NewAllotments(testBounds(), func() (int, bool) { return 8, true }, c.Now)
	c.now += 10 * time.Second
	a.SetOthers([]fleet.Team{*team}, 1, map[string]float64{"t": 100_000})
	a.SetOthers([]fleet.Team{*team}, 2, map[string]float64{"t": 900_000})
	if _, ok := a.Spend(team, 700); !ok {
		t.Error("a request inside the allotment was refused")
	}
}
