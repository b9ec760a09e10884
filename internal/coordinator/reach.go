package coordinator

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
)

// joinWait is how long a host that has just started waits for others to appear on the list
// of hosts before it becomes the coordinator itself.
const joinWait = 2500 * time.Millisecond // two calls to a slow store and a poll

// chooseCoordinator returns the host to report to, the first reachable one in the order of
// compareCoordinators. It returns an empty string if this host has just started and knows
// no other.
func (c *Client) chooseCoordinator() string {
	hosts := c.opts.FleetView.Hosts()
	if len(hosts) <= 1 && c.opts.Now()-c.startedAt < joinWait {
		return ""
	}
	candidates := make([]fleet.Host, 0, len(hosts))
	for name, h := range hosts {
		h.Leaving = h.Leaving || (name == c.opts.Self.Name && c.leaving)
		candidates = append(candidates, h)
	}
	slices.SortFunc(candidates, compareCoordinators)
	for _, h := range candidates {
		if _, unreachable := c.unreachableSince[h.Name]; h.Name == c.opts.Self.Name || !unreachable {
			return h.Name
		}
	}
	return c.opts.Self.Name
}

// RunProbes probes the hosts that did not reply, until ctx ends. Without it, a report
// would have to wait for the timeout of such a host.
func (c *Client) RunProbes(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		for _, name := range c.hostsToProbe() {
			go c.probe(ctx, name)
		}
	}
}

// hostsToProbe returns the unreachable hosts to probe now, and drops those that are no
// longer members.
func (c *Client) hostsToProbe() []string {
	hosts := c.opts.FleetView.Hosts()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for name, since := range c.unreachableSince {
		if _, member := hosts[name]; !member {
			delete(c.unreachableSince, name)
		} else if c.opts.Now()-since >= minAvoidTime {
			out = append(out, name)
		}
	}
	return out
}

func (c *Client) probe(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if c.opts.Calls.Call(ctx, name, methodPing, struct{}{}, nil) != nil {
		return // still unreachable, which has been logged already
	}
	c.mu.Lock()
	delete(c.unreachableSince, name)
	c.mu.Unlock()
	c.opts.Log.WithFields(logrus.Fields{"event": "peer_regained", "peer": name}).Info("host is reachable again")
}

// leaveDeputy handles the reply of a deputy. This host has lost the coordinator, which others
// reach, so the coordinator is probed at once and not after minAvoidTime.
func (c *Client) leaveDeputy(ctx context.Context, deputy, coordinator string) {
	c.mu.Lock()
	if coordinator == c.opts.Self.Name {
		c.unreachableSince[deputy] = c.opts.Now() // each would wait for the other to coordinate
	}
	_, avoided := c.unreachableSince[coordinator]
	c.mu.Unlock()
	if avoided {
		c.opts.Log.WithFields(logrus.Fields{"event": "deputy_replied", "peer": deputy, "coordinator": coordinator}).Info("the host that this one reports to is not the coordinator; probing the coordinator")
		go c.probe(ctx, coordinator)
	}
}
