package fair

import (
	"math"
	"sort"
	"time"
)

const (
	// grantIntervals is how long a grant holds after the report that it
	// answers, in reporting intervals.
	grantIntervals = 4
	// childIntervals is how long a child's report counts.
	childIntervals = 12
	// reserveDivisor bounds the part of a pool's slots that teams above
	// their share leave free, so that a request of a team within its share
	// finds a free slot at once. Pools of fewer slots keep none.
	reserveDivisor = 16
	// recentTeam is how long a team counts as a user of the pool.
	recentTeam = time.Minute
	// debtLimit bounds, in slots times seconds, how far a host's part of a
	// team's windows may be from its exact share.
	debtLimit = 30.0
	// unseenSamples is the number of readings of which the smallest counts
	// as slots taken by hosts that do not report: readings lag, and only
	// what lasts is real.
	unseenSamples = 8
)

// Node adds up the demand of the hosts below it and divides slots among them.
type Node struct {
	interval       time.Duration
	children       map[string]*child
	recent         map[string]time.Duration // last demand of each team
	root           bool
	flat           bool  // all children are hosts
	slots          int   // of the pool, at the root
	unseen         []int // slots taken by hosts that do not report, latest last
	sharers        []int // teams with flows, by target
	seq            uint64
	applied        uint64
	grantEnd       time.Duration
	windows        map[string]TeamGrant // from the parent
	slotsGiven     *Slots               // from the parent
	contendedGiven bool                 // by the parent
	flowsGiven     []FlowGrant          // from the parent
	targets        Targets              // at the root
	credits        credits
}

// child is the latest report of one host and what it was granted.
type child struct {
	demand  Demand
	at      time.Duration // of arrival
	granted time.Duration // of the latest grant
	own     []int         // slots set aside for it, by target
	flows   map[flowKey]*childTeam
	teams   map[string]*childTeam
}

type childTeam struct {
	TeamDemand
	window  int     // latest granted
	bounded bool    // flows: held at the window
	debt    float64 // slots times seconds below (positive) its exact share
}

// NewNode returns a node without children.
func NewNode() *Node {
	return &Node{
		interval: shortInterval,
		children: map[string]*child{},
		recent:   map[string]time.Duration{},
		windows:  map[string]TeamGrant{},
	}
}

// SetTree takes over the reporting interval and the depth of the tree.
func (n *Node) SetTree(t *Tree) {
	n.interval = t.Interval()
	n.flat = t.Flat()
}

// SetRoot makes the node the root of a pool of the given targets. Occupied
// counts the requests running on them by the latest reports, negative if
// unknown.
func (n *Node) SetRoot(now time.Duration, targets Targets, occupied int) {
	n.root = true
	n.targets = targets
	n.slots = sum(targets.Sizes)
	reported := 0
	for _, c := range n.children {
		for _, t := range c.teams {
			reported += t.Running
		}
	}
	n.unseen = append(n.unseen, max(occupied-reported, 0))
	if len(n.unseen) > unseenSamples {
		n.unseen = n.unseen[1:]
	}
	n.expire(now)
}

// SetInner makes the node one that divides what its parent grants.
func (n *Node) SetInner(now time.Duration) {
	n.root = false
	n.unseen = nil
	n.expire(now)
}

// Children returns the number of hosts with a live report.
func (n *Node) Children() int { return len(n.children) }

func (n *Node) expire(now time.Duration) {
	for name, c := range n.children {
		if now-c.at > childIntervals*n.interval {
			delete(n.children, name)
		}
	}
	for team, at := range n.recent {
		if now-at > recentTeam {
			delete(n.recent, team)
			n.credits.forget(team)
		}
	}
}

// Report takes a child's demand. One older than the latest is dropped. From
// names one run of the child, so that a restarted one counts anew.
func (n *Node) Report(now time.Duration, from string, d Demand) {
	c := n.children[from]
	if c == nil {
		c = &child{teams: map[string]*childTeam{}, granted: now}
		n.children[from] = c
	}
	if d.Seq <= c.demand.Seq {
		return
	}
	c.demand, c.at = d, now
	seen := make(map[string]bool, len(d.Teams))
	for _, td := range d.Teams {
		if !(td.Weight > 0) || td.Running < 0 || td.Waiting < 0 {
			continue
		}
		seen[td.Team] = true
		n.recent[td.Team] = now
		t := c.teams[td.Team]
		if t == nil {
			t = &childTeam{}
			c.teams[td.Team] = t
		}
		t.TeamDemand = td
	}
	for name := range c.teams {
		if !seen[name] {
			delete(c.teams, name)
		}
	}
	c.takeFlows(d.Flows)
}

// takeFlows replaces the child's flows, and keeps what was granted to those
// that go on.
func (c *child) takeFlows(list []FlowDemand) {
	old := c.flows
	c.flows = make(map[flowKey]*childTeam, len(list))
	for _, fd := range list {
		if fd.Running < 0 || fd.Waiting < 0 {
			continue
		}
		key := flowKey{team: fd.Team, model: fd.Model}
		f := old[key]
		if f == nil {
			f = &childTeam{}
		}
		f.Running, f.Waiting = fd.Running, fd.Waiting
		c.flows[key] = f
	}
}

// total is a team's demand over all children.
type total struct {
	TeamDemand
	claim
	boosted bool // has more than its share, by credit
}

func (n *Node) totals() map[string]*total {
	out := map[string]*total{}
	for _, c := range n.children {
		for name, t := range c.teams {
			s := out[name]
			if s == nil {
				s = &total{TeamDemand: TeamDemand{Team: name}}
				out[name] = s
			}
			s.Weight = max(s.Weight, t.Weight)
			s.Running += t.Running
			s.Waiting += t.Waiting
		}
	}
	for _, s := range out {
		s.claim = claim{weight: s.Weight, want: s.Running + s.Waiting}
	}
	return out
}

// Demand returns the sum for the parent.
func (n *Node) Demand(now time.Duration) Demand {
	n.seq++
	d := Demand{Seq: n.seq, At: now}
	for _, s := range n.totals() {
		d.Teams = append(d.Teams, s.TeamDemand)
	}
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Team < d.Teams[j].Team })
	if len(n.children) == 1 {
		for _, c := range n.children {
			d.Busy, d.Flows = c.demand.Busy, c.demand.Flows
		}
	}
	return d
}

// Apply takes the parent's grant; an old one changes nothing.
func (n *Node) Apply(now time.Duration, g Grant) {
	if g.Seq <= n.applied || g.Seq > n.seq || g.At+g.Life <= now {
		return
	}
	n.applied = g.Seq
	n.grantEnd = g.At + g.Life
	n.slotsGiven = g.Slots
	n.flowsGiven = g.Flows
	n.contendedGiven = g.Contended
	clear(n.windows)
	for _, tg := range g.Teams {
		n.windows[tg.Team] = tg
	}
}

// Granted reports whether the node has something to divide: it is the root or
// has a live grant of its parent.
func (n *Node) Granted(now time.Duration) bool { return n.root || now < n.grantEnd }

// Grant answers the latest report of a child. It is false if the node has
// nothing to divide; the child then goes by its local share.
func (n *Node) Grant(now time.Duration, from string) (Grant, bool) {
	c := n.children[from]
	if c == nil || !n.Granted(now) {
		return Grant{}, false
	}
	totals := n.totals()
	n.shares(now, totals)
	g := Grant{Seq: c.demand.Seq, At: c.demand.At, Life: grantIntervals * n.interval}
	flows := n.dividedFlows()
	g.Contended = n.contended(totals, flows)
	dt := now - c.granted
	c.granted = now
	for name, t := range c.teams {
		s := totals[name]
		t.settle(dt, exact(s, t))
		t.window = n.window(c, name, s, t)
	}
	g.Flows = n.grantFlows(c, flows, dt)
	if g.Contended {
		g.Slots = n.assign(c)
		n.hold(c, totals)
	} else {
		c.own = nil
	}
	for _, name := range sortedNames(c.teams) {
		g.Teams = append(g.Teams, TeamGrant{Team: name, Window: c.teams[name].window, Limited: totals[name].limited})
	}
	return g, true
}

// contended reports whether a team or a flow wants more than its share.
func (n *Node) contended(totals map[string]*total, flows []*flow) bool {
	if !n.root && n.contendedGiven {
		return true
	}
	for _, s := range totals {
		if s.limited {
			return true
		}
	}
	for _, f := range flows {
		if n.bounds(f) {
			return true
		}
	}
	return false
}

// hold narrows the windows of limited teams to the slots that could be set
// aside for the child, so that their requests wait here and not at a target
// that is full.
func (n *Node) hold(c *child, totals map[string]*total) {
	if !n.root || c.own == nil {
		return
	}
	short := -sum(c.own)
	for _, t := range c.teams {
		short += t.window
	}
	for _, name := range sortedNames(c.teams) {
		t, s := c.teams[name], totals[name]
		if !s.limited || s.boosted {
			continue
		}
		cut := min(short, t.window-t.Running)
		if cut > 0 {
			t.window -= cut
			short -= cut
		}
	}
}

// exact returns a child's part of its team's share, by demand, so that the
// team's requests wait about equally long wherever they entered.
func exact(s *total, t *childTeam) float64 {
	if s.want == 0 {
		return 0
	}
	return float64(s.share) * float64(t.Running+t.Waiting) / float64(s.want)
}

// settle counts the time since the last grant at the window it gave.
func (t *childTeam) settle(dt time.Duration, share float64) {
	t.debt += (share - float64(t.window)) * dt.Seconds()
	t.debt = min(max(t.debt, -debtLimit), debtLimit)
}

// window returns a child's window of a team. A team that gets all it wants is
// rounded up.
func (n *Node) window(c *child, name string, s *total, t *childTeam) int {
	x := exact(s, t)
	if !s.limited {
		return int(math.Ceil(x))
	}
	return round(x, s.share, t, func() int {
		others := 0
		for _, o := range n.children {
			if ot := o.teams[name]; o != c && ot != nil {
				others += max(ot.window, ot.Running)
			}
		}
		return others
	})
}
