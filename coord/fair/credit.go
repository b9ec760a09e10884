package fair

import (
	"math"
	"time"
)

const (
	// creditTime is how long a team may run at twice its share after it ran
	// nothing for as long, and the time over which credit is spent.
	creditTime = 4 * time.Second
	// boostDivisor is the part of a pool that credit may claim at most.
	boostDivisor = 4
	// longestGap is the longest time without reports that counts.
	longestGap = 3 * time.Second
)

// credits remember, for each team, the share that it left unused lately. A
// team whose demand varies round a mean below its share is above it now and
// then; without credit it would wait each time behind a team that always wants
// more.
type credits struct {
	at     time.Duration
	byTeam map[string]float64 // slots times seconds
}

// advance counts the time since the last call at the teams' demands now.
func (c *credits) advance(now time.Duration, slots int, totals map[string]*total) {
	if c.byTeam == nil {
		c.byTeam = map[string]float64{}
	}
	dt := min(now-c.at, longestGap).Seconds()
	c.at = now
	weight := totalWeight(totals)
	for name, s := range totals {
		share := equalShare(slots, s, weight)
		limit := share * creditTime.Seconds()
		have, known := c.byTeam[name]
		if !known {
			have = limit // it ran nothing until now
		}
		// Only what a team did not want counts as unused, else teams that
		// are held at their shares would gain credit against one another.
		unused := max(share-float64(s.want), 0) - max(float64(s.Running)-share, 0)
		c.byTeam[name] = min(max(have+unused*dt, 0), limit)
	}
}

// boosts returns what limited teams may have above the share that the division
// gave them, by team. Only the difference in credit counts, and only limited
// teams with the least credit give up slots for it, at most half of theirs.
func (c *credits) boosts(slots int, totals map[string]*total) map[string]int {
	ahead := c.ahead(slots, totals)
	donors := 0
	for name, s := range totals {
		if s.limited && ahead[name] == 0 {
			donors += s.share
		}
	}
	out := map[string]int{}
	sum := 0
	for name, s := range totals {
		boost := min(s.want-s.share, int(ahead[name]/creditTime.Seconds()))
		if boost > 0 {
			out[name] = boost
			sum += boost
		}
	}
	if limit := min(slots/boostDivisor, donors/2); sum > limit {
		for name := range out {
			out[name] = out[name] * limit / sum
		}
	}
	return out
}

// ahead returns by how much the credit of each limited team exceeds that of
// the limited team with the least for its share; 0 for others.
func (c *credits) ahead(slots int, totals map[string]*total) map[string]float64 {
	weight := totalWeight(totals)
	least := math.Inf(1)
	for name, s := range totals {
		if s.limited {
			least = min(least, c.byTeam[name]/equalShare(slots, s, weight))
		}
	}
	out := map[string]float64{}
	for name, s := range totals {
		if s.limited {
			out[name] = max(c.byTeam[name]-least*equalShare(slots, s, weight), 0)
		}
	}
	return out
}

func (c *credits) forget(team string) { delete(c.byTeam, team) }

// equalShare returns a team's share if all teams, of the given weight together,
// wanted theirs.
func equalShare(slots int, s *total, weight float64) float64 {
	return float64(slots) * s.Weight / weight
}

func totalWeight(totals map[string]*total) float64 {
	weight := 0.0
	for _, s := range totals {
		weight += s.Weight
	}
	return weight
}
