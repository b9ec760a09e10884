package coordinator

import "time"

type move struct {
	id      uint64
	owner   string
	command SwapCommand
	expires time.Duration
	// silentUntil is set while the owner is silent; the move is forgotten then.
	silentUntil time.Duration

	// For loads from the weight store:
	began         time.Duration
	fullSpeedTime time.Duration // duration of the load at full speed
	concurrent    int           // highest number of such loads at the same time
}

// silentMoveTime is how long after the last report of an owner its moves still count as in progress. The engine carries out
// what it was ordered to, whether its owner reports or not; the same load elsewhere would take the place of another
// model. It is a second less than the usual contact time, by which a lost owner's loads must be planned again.
const silentMoveTime = 3 * time.Second

// keepMovesOf keeps the moves of an owner that has fallen silent until a time; 0: it reports again. The caller must hold c.mu.
func (c *Coordinator) keepMovesOf(owner string, until time.Duration) {
	for _, m := range c.moves {
		if m.owner == owner {
			m.silentUntil = until
		}
	}
}
