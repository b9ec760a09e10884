package fair

import (
	"math"
	"time"
)

const (
	// creditPeriod is the time in which a team that runs nothing builds up
	// full credit, and for which full credit lets it run at twice its share.
	creditPeriod = 4 * time.Second
	// maxBoostDivisor limits the slots that credit may claim to the pool's slots
	// divided by this number.
	maxBoostDivisor = 4
	// maxCreditGap is the longest time without reports for which credit is counted.
	maxCreditGap = 3 * time.Second
)

// credits records, for each team, how much of its share it left unused
// recently. A team whose mean demand is below its share still exceeds the share
// at times; without credit it would then wait behind a team that always wants
// more.
type credits struct {
	updated time.Duration
	byTeam  map[string]float64 // in slot-seconds
}

// advance updates the credits for the time since the last call, as if the
// teams' present demands had held throughout.
func (c *credits) advance(now time.Duration, slots int, totals map[string]*teamTotal) {
	if c.byTeam == nil {
		c.byTeam = map[string]float64{}
	}
	elapsed := min(now-c.updated, maxCreditGap).Seconds()
	c.updated = now
	weight := totalWeight(totals)
	for name, total := range totals {
		share := equalShare(slots, total, weight)
		limit := share * creditPeriod.Seconds()
		have, known := c.byTeam[name]
		if !known {
			have = limit // it ran nothing until now
		}
		// Only slots that a team did not want count as unused. Otherwise
		// teams limited to their shares would gain credit against one another.
		unused := max(share-float64(total.want), 0) - max(float64(total.Running)-share, 0)
		c.byTeam[name] = min(max(have+unused*elapsed, 0), limit)
	}
}

// boosts returns, by team, the slots that limited teams may use in addition to
// the share that the division gave them. Only credit above that of the limited
// team with the least counts. The slots come from the limited teams with the
// least credit, which give up at most half of theirs.
func (c *credits) boosts(slots int, totals map[string]*teamTotal) map[string]int {
	excess := c.excess(slots, totals)
	donorSlots := 0
	for name, total := range totals {
		if total.limited && excess[name] == 0 {
			donorSlots += total.share
		}
	}
	out := map[string]int{}
	sum := 0
	for name, total := range totals {
		boost := min(total.want-total.share, int(excess[name]/creditPeriod.Seconds()))
		if boost > 0 {
			out[name] = boost
			sum += boost
		}
	}
	if limit := min(slots/maxBoostDivisor, donorSlots/2); sum > limit {
		for name := range out {
			out[name] = out[name] * limit / sum
		}
	}
	return out
}

// excess returns by how much the credit of each limited team, relative to its
// share, exceeds that of the limited team with the least. Other teams are left out.
func (c *credits) excess(slots int, totals map[string]*teamTotal) map[string]float64 {
	weight := totalWeight(totals)
	least := math.Inf(1)
	for name, total := range totals {
		if total.limited {
			least = min(least, c.byTeam[name]/equalShare(slots, total, weight))
		}
	}
	out := map[string]float64{}
	for name, total := range totals {
		if total.limited {
			out[name] = max(c.byTeam[name]-least*equalShare(slots, total, weight), 0)
		}
	}
	return out
}

func (c *credits) forget(team string) { delete(c.byTeam, team) }

// equalShare returns a team's share by weight if all teams wanted their shares.
// The weight is the sum over all teams.
func equalShare(slots int, total *teamTotal, weight float64) float64 {
	return float64(slots) * total.Weight / weight
}

func totalWeight(totals map[string]*teamTotal) float64 {
	weight := 0.0
	for _, total := range totals {
		weight += total.Weight
	}
	return weight
}
