package coordinator

import (
	"slices"
	"time"
)

// Times of a coordinator whose process was suspended.
const (
	suspendedTime = 2 * time.Second        // without any activity; it plans every 0.1 s
	settleTime    = 500 * time.Millisecond // reports that were waiting for the process are read by then
)

// activity tells when the process of a coordinator was suspended last.
type activity struct {
	lastAt    time.Duration
	resumedAt time.Duration
	suspended bool // ever
}

// tick records that the coordinator acts at a time, and returns that time.
func (a *activity) tick(now time.Duration) time.Duration {
	if a.lastAt > 0 && now-a.lastAt > suspendedTime {
		a.suspended, a.resumedAt = true, now
	}
	a.lastAt = now
	return now
}

// runs reports whether a host counts as running for a list that is sent to the host asked, which runs. The others have to have
// reported lately: a coordinator that was suspended answers reports before it drops the hosts that fell silent meanwhile, and the
// first reports that it reads may be as old as its suspension.
func (c *Coordinator) runs(name string, h *hostState, asked string, now time.Duration) bool {
	if name == asked {
		return true
	}
	late := c.activity.suspended && h.reportedAt < c.activity.resumedAt+settleTime
	return !late && now-h.reportedAt <= hostTimeout
}

// liveHosts returns the hosts that report and do not leave, for the host asked.
func (c *Coordinator) liveHosts(asked string, now time.Duration) []string {
	live := make([]string, 0, len(c.hosts))
	for host, h := range c.hosts {
		if !h.leaving && c.runs(host, h, asked, now) {
			live = append(live, host)
		}
	}
	slices.Sort(live)
	return live
}

// LastKnownHosts returns the hosts in the last list that a coordinator gave or confirmed, including those that leave, and how old
// that list is. It returns false if there is none.
func (c *Client) LastKnownHosts() (hosts []string, age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.liveHosts)+len(c.lastLeaving) == 0 {
		return nil, 0, false
	}
	return slices.Concat(c.liveHosts, c.lastLeaving), c.opts.Now() - c.listAsOf, true
}
