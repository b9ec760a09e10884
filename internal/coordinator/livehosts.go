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

// previousListTTL is how long the list of the last coordinator completes that of a new one. The change follows the last list by about
// hostTimeout at most, and within another one all hosts have reported to the new coordinator.
const previousListTTL = 2 * hostTimeout

// previousList is the list of live hosts before the last change of coordinators. The new coordinator hears of the hosts one by
// one: without this list, those that report first would be named alone, to all callers.
type previousList struct {
	hosts     []string
	asOf      time.Duration // as Client.listAsOf
	changedAt time.Duration // when the coordinator last changed or restarted
}

// keepList keeps the list of hosts because the coordinator changes or has restarted. A list that began lately is not complete; the
// one before it is kept then. The caller must hold c.mu.
func (c *Client) keepList() {
	now := c.opts.Now()
	if now-c.previous.changedAt >= hostTimeout && len(c.liveHosts) > 0 {
		c.previous.hosts, c.previous.asOf = c.liveHosts, c.listAsOf
	}
	c.previous.changedAt = now
}

// LiveHosts returns the hosts that report to the coordinator and do not leave, and whether this information is recent. After a change
// of coordinators these include hosts of the list before, as long as nothing else is known of them.
func (c *Client) LiveHosts() ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.opts.Now()-c.listConfirmedAt < hostTimeout && len(c.liveHosts)+len(c.lastLeaving) > 0
	if len(c.liveHosts) == 0 || len(c.previous.hosts) == 0 || c.opts.Now()-c.previous.asOf >= previousListTTL {
		return c.liveHosts, known
	}
	live, entries := slices.Clone(c.liveHosts), c.opts.FleetView.Hosts()
	for _, name := range c.previous.hosts {
		_, unreachable := c.unreachableSince[name]
		_, listed := slices.BinarySearch(c.liveHosts, name) // the coordinator sorts them
		if !unreachable && !listed && !entries[name].Leaving {
			live = append(live, name)
		}
	}
	return live, known
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
