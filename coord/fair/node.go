package fair

import (
	"math"
	"sort"
	"time"
)

const (
	// grantLifetimeIntervals is the time for which a grant is valid after
	// the report that it answers, in reporting intervals.
	grantLifetimeIntervals = 4
	// childTimeoutIntervals is the time after which a child's report is
	// dropped, in reporting intervals.
	childTimeoutIntervals = 12
	// reserveDivisor limits the slots kept free for teams within their
	// shares to the pool's slots divided by this number. With them a new
	// request of such a team finds a free slot at once. Pools with fewer
	// slots than this number keep none.
	reserveDivisor = 16
	// teamTimeout is the time after its last demand for which a team counts
	// as a user of the pool.
	teamTimeout = time.Minute
	// maxDeficit limits the recorded deviation of a child's windows from its
	// exact share, in slot-seconds.
	maxDeficit = 30.0
	// unreportedSamples is the number of samples whose minimum counts as the
	// slots taken by hosts that do not report. Load reports lag, so a single
	// sample may show a difference that is not real.
	unreportedSamples = 8
)

// Node adds up the demand of the hosts below it and divides slots among them.
type Node struct {
	interval        time.Duration
	children        map[string]*child
	lastDemand      map[string]time.Duration // time of the last demand by team
	root            bool
	flat            bool  // every host reports to the root itself
	slots           int   // of the pool, at the root
	unreported      []int // samples of slots taken by hosts that do not report, latest last
	teamsOnTarget   []int // number of teams with flows, by target
	demandSeq       uint64
	appliedSeq      uint64
	grantEnd        time.Duration
	parentWindows   map[string]TeamGrant // by the parent's last grant
	parentQuotas    *SlotQuotas          // by the parent's last grant
	parentContended bool                 // by the parent's last grant
	parentFlows     []FlowGrant          // by the parent's last grant
	targets         Targets              // at the root
	credits         credits
}

// child is the latest report of one child and what it was granted.
type child struct {
	demand    Demand
	received  time.Duration // time at which demand arrived
	lastGrant time.Duration // time of the latest grant
	reserved  []int         // slots reserved for it, by target
	flows     map[flowKey]*childDemand
	teams     map[string]*childDemand
}

// childDemand is a child's demand for a team or a flow and what it was granted.
type childDemand struct {
	TeamDemand
	window  int     // by the latest grant
	bounded bool    // limited to the window; used for flows only
	deficit float64 // slot-seconds by which the windows were below the exact share
}

// NewNode returns a node without children.
func NewNode() *Node {
	return &Node{
		interval:      shortInterval,
		children:      map[string]*child{},
		lastDemand:    map[string]time.Duration{},
		parentWindows: map[string]TeamGrant{},
	}
}

// SetTree sets the reporting interval and the depth of the tree.
func (n *Node) SetTree(t *Tree) {
	n.interval = t.Interval()
	n.flat = t.Flat()
}

// SetRoot makes the node the root of a pool of the given targets. Occupied is
// the number of requests on them by the latest load reports, negative if unknown.
func (n *Node) SetRoot(now time.Duration, targets Targets, occupied int) {
	n.root = true
	n.targets = targets
	n.slots = sum(targets.Slots)
	reported := 0
	for _, c := range n.children {
		for _, t := range c.teams {
			reported += t.Running
		}
	}
	n.unreported = append(n.unreported, max(occupied-reported, 0))
	if len(n.unreported) > unreportedSamples {
		n.unreported = n.unreported[1:]
	}
	n.expire(now)
}

// SetInner makes the node an inner node, which divides what its parent grants.
func (n *Node) SetInner(now time.Duration) {
	n.root = false
	n.unreported = nil
	n.expire(now)
}

// Children returns the number of children with a report that has not timed out.
func (n *Node) Children() int { return len(n.children) }

func (n *Node) expire(now time.Duration) {
	for name, c := range n.children {
		if now-c.received > childTimeoutIntervals*n.interval {
			delete(n.children, name)
		}
	}
	for team, at := range n.lastDemand {
		if now-at > teamTimeout {
			delete(n.lastDemand, team)
			n.credits.forget(team)
		}
	}
}

// RecordDemand stores a child's demand if it is newer than the known one. From
// identifies one incarnation of the child, so a restarted host counts as a new
// child.
func (n *Node) RecordDemand(now time.Duration, from string, d Demand) {
	c := n.children[from]
	if c == nil {
		c = &child{teams: map[string]*childDemand{}, lastGrant: now}
		n.children[from] = c
	}
	if d.Seq <= c.demand.Seq {
		return
	}
	c.demand, c.received = d, now
	seen := make(map[string]bool, len(d.Teams))
	for _, td := range d.Teams {
		if !(td.Weight > 0) || td.Running < 0 || td.Waiting < 0 {
			continue
		}
		seen[td.Team] = true
		n.lastDemand[td.Team] = now
		t := c.teams[td.Team]
		if t == nil {
			t = &childDemand{}
			c.teams[td.Team] = t
		}
		t.TeamDemand = td
	}
	for name := range c.teams {
		if !seen[name] {
			delete(c.teams, name)
		}
	}
	c.updateFlows(d.Flows)
}

// updateFlows replaces the child's flows and keeps the grants of those that remain.
func (c *child) updateFlows(list []FlowDemand) {
	old := c.flows
	c.flows = make(map[flowKey]*childDemand, len(list))
	for _, fd := range list {
		if fd.Running < 0 || fd.Waiting < 0 {
			continue
		}
		key := flowKey{team: fd.Team, model: fd.Model}
		f := old[key]
		if f == nil {
			f = &childDemand{}
		}
		f.Running, f.Waiting = fd.Running, fd.Waiting
		c.flows[key] = f
	}
}

// teamTotal is a team's demand over all children.
type teamTotal struct {
	TeamDemand
	claim
	boosted bool // given more than its share, by credit
}

func (n *Node) totals() map[string]*teamTotal {
	out := map[string]*teamTotal{}
	for _, c := range n.children {
		for name, t := range c.teams {
			total := out[name]
			if total == nil {
				total = &teamTotal{TeamDemand: TeamDemand{Team: name}}
				out[name] = total
			}
			total.Weight = max(total.Weight, t.Weight)
			total.Running += t.Running
			total.Waiting += t.Waiting
		}
	}
	for _, total := range out {
		total.claim = claim{weight: total.Weight, want: total.Running + total.Waiting}
	}
	return out
}

// Demand returns the sum of the children's demands as the report to the parent.
func (n *Node) Demand(now time.Duration) Demand {
	n.demandSeq++
	d := Demand{Seq: n.demandSeq, At: now}
	for _, total := range n.totals() {
		d.Teams = append(d.Teams, total.TeamDemand)
	}
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Team < d.Teams[j].Team })
	if len(n.children) == 1 {
		for _, c := range n.children {
			d.TargetLoad, d.Flows = c.demand.TargetLoad, c.demand.Flows
		}
	}
	return d
}

// Apply puts the parent's grant in force. It ignores a grant that is not newer
// than the last one applied, that answers no demand of this node, or that has expired.
func (n *Node) Apply(now time.Duration, g Grant) {
	if g.Seq <= n.appliedSeq || g.Seq > n.demandSeq || g.At+g.Lifetime <= now {
		return
	}
	n.appliedSeq = g.Seq
	n.grantEnd = g.At + g.Lifetime
	n.parentQuotas = g.SlotQuotas
	n.parentFlows = g.Flows
	n.parentContended = g.Contended
	clear(n.parentWindows)
	for _, tg := range g.Teams {
		n.parentWindows[tg.Team] = tg
	}
}

// Granted reports whether the node may divide slots: it is the root or has a
// valid grant from its parent.
func (n *Node) Granted(now time.Duration) bool { return n.root || now < n.grantEnd }

// Grant answers the latest report of a child. It returns false if the child is
// unknown or the node may not divide slots; the child then uses its local share.
func (n *Node) Grant(now time.Duration, from string) (Grant, bool) {
	c := n.children[from]
	if c == nil || !n.Granted(now) {
		return Grant{}, false
	}
	totals := n.totals()
	n.computeShares(now, totals)
	g := Grant{Seq: c.demand.Seq, At: c.demand.At, Lifetime: grantLifetimeIntervals * n.interval}
	flows := n.dividedFlows()
	g.Contended = n.contended(totals, flows)
	dt := now - c.lastGrant
	c.lastGrant = now
	for name, t := range c.teams {
		total := totals[name]
		t.updateDeficit(dt, exactShare(total, t))
		t.window = n.teamWindow(c, name, total, t)
	}
	g.Flows = n.flowGrants(c, flows, dt)
	if g.Contended {
		g.SlotQuotas = n.assignSlots(c)
		n.capWindows(c, totals)
	} else {
		c.reserved = nil
	}
	for _, name := range sortedNames(c.teams) {
		g.Teams = append(g.Teams, TeamGrant{Team: name, Window: c.teams[name].window, Limited: totals[name].limited})
	}
	return g, true
}

// contended reports whether a team or a flow wants more than its share.
func (n *Node) contended(totals map[string]*teamTotal, flows []*flowTotal) bool {
	if !n.root && n.parentContended {
		return true
	}
	for _, total := range totals {
		if total.limited {
			return true
		}
	}
	for _, f := range flows {
		if n.isBounded(f) {
			return true
		}
	}
	return false
}

// capWindows reduces the windows of limited teams to the slots that could be
// reserved for the child, so that their requests wait in the queue of their host
// and not at a full target.
func (n *Node) capWindows(c *child, totals map[string]*teamTotal) {
	if !n.root || c.reserved == nil {
		return
	}
	excess := -sum(c.reserved)
	for _, t := range c.teams {
		excess += t.window
	}
	for _, name := range sortedNames(c.teams) {
		t, total := c.teams[name], totals[name]
		if !total.limited || total.boosted {
			continue
		}
		cut := min(excess, t.window-t.Running)
		if cut > 0 {
			t.window -= cut
			excess -= cut
		}
	}
}

// exactShare returns a child's part of a team's share. It is proportional to the
// child's demand, so that the team's requests wait about equally long on all hosts.
func exactShare(total *teamTotal, t *childDemand) float64 {
	if total.want == 0 {
		return 0
	}
	return float64(total.share) * float64(t.Running+t.Waiting) / float64(total.want)
}

// updateDeficit adds the difference between the exact share and the last window
// over the time since the last grant.
func (t *childDemand) updateDeficit(dt time.Duration, share float64) {
	t.deficit += (share - float64(t.window)) * dt.Seconds()
	t.deficit = min(max(t.deficit, -maxDeficit), maxDeficit)
}

// teamWindow returns a child's window for a team. It is rounded up if the team
// gets all that it wants.
func (n *Node) teamWindow(c *child, name string, total *teamTotal, t *childDemand) int {
	share := exactShare(total, t)
	if !total.limited {
		return int(math.Ceil(share))
	}
	return roundWindow(share, total.share, t, func() int {
		others := 0
		for _, o := range n.children {
			if ot := o.teams[name]; o != c && ot != nil {
				others += max(ot.window, ot.Running)
			}
		}
		return others
	})
}
