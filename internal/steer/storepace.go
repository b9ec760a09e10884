package steer

import "time"

// storePace finds out how many loads from the weight store run at full speed at
// once: beyond that number all take longer in proportion, and nothing says it.
type storePace struct {
	most int // loads at once
	slow int // so many were slow; 0: none yet
}

// Bounds of what storePace tries.
const (
	storeLoadsFirst = 2 // full speed on the largest sites
	storeLoadsMost  = 4 // more would keep too many engines from swaps
	storeLoadSlow   = 1.25
	storeLoadFast   = 1.12 // an unload before it and a lag of reports belong to the time measured
)

func newStorePace() storePace { return storePace{most: storeLoadsFirst} }

// learn takes in a load's time beside its time at full speed, and the most loads
// at once meanwhile.
func (p *storePace) learn(took, fullSpeed time.Duration, beside int) {
	ratio := took.Seconds() / fullSpeed.Seconds()
	switch {
	case beside >= p.most && ratio <= storeLoadFast && (p.slow == 0 || p.most+1 < p.slow):
		p.most = min(storeLoadsMost, p.most+1)
	case beside <= p.most && beside > storeLoadsFirst && ratio >= storeLoadSlow:
		p.most, p.slow = max(storeLoadsFirst, beside-1), beside
	}
}

// noteStoreLoads notes how many loads run at once, in those under way.
func (c *Coordinator) noteStoreLoads(n int) {
	for _, m := range c.moves {
		if m.storeTime > 0 {
			m.beside = max(m.beside, n)
		}
	}
}
