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
	interval time.Duration
	children map[string]*child
	recent   map[string]time.Duration // last demand of each team
	root     bool
	slots    int   // of the pool, at the root
	unseen   []int // slots taken by hosts that do not report, latest last
	seq      uint64
	applied  uint64
	grantEnd time.Duration
	windows  map[string]TeamGrant // from the parent
	credits  credits
}

// child is the latest report of one host and what it was granted.
type child struct {
	demand  Demand
	at      time.Duration // of arrival
	granted time.Duration // of the latest grant
	teams   map[string]*childTeam
}

type childTeam struct {
	TeamDemand
	window int     // latest granted
	debt   float64 // slots times seconds below (positive) its exact share
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

// SetInterval sets the time between two reports of a child, see
// Tree.Interval.
func (n *Node) SetInterval(d time.Duration) { n.interval = d }

// SetRoot makes the node the root. Slots is the size of the pool; occupied
// counts the requests running on its targets by the latest reports, negative
// if unknown.
func (n *Node) SetRoot(now time.Duration, slots, occupied int) {
	n.root = true
	n.slots = slots
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
}

// total is a team's demand over all children.
type total struct {
	TeamDemand
	claim
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
	return d
}

// Apply takes the parent's grant; an old one changes nothing.
func (n *Node) Apply(now time.Duration, g Grant) {
	if g.Seq <= n.applied || g.Seq > n.seq || g.At+g.Life <= now {
		return
	}
	n.applied = g.Seq
	n.grantEnd = g.At + g.Life
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
	for _, s := range totals {
		g.Contended = g.Contended || s.limited
	}
	dt := now - c.granted
	c.granted = now
	for name, t := range c.teams {
		s := totals[name]
		t.settle(dt, exact(s, t))
		t.window = n.window(c, name, s, t)
		g.Teams = append(g.Teams, TeamGrant{Team: name, Window: t.window, Limited: s.limited})
	}
	sort.Slice(g.Teams, func(i, j int) bool { return g.Teams[i].Team < g.Teams[j].Team })
	return g, true
}

// shares fills in what each team may run below this node.
func (n *Node) shares(now time.Duration, totals map[string]*total) {
	if !n.root {
		for name, s := range totals {
			w, named := n.windows[name]
			s.share, s.limited = w.Window, w.Limited
			if !named {
				s.share = s.Running
			}
		}
		return
	}
	slots := max(n.slots-n.unseenSlots(), 0)
	n.credits.advance(now, slots, totals)
	n.divideRoot(slots, 0, totals)
	if reserve := n.reserve(slots, totals); reserve > 0 {
		n.divideRoot(slots-reserve, reserve, totals)
	}
}

// reserve returns the slots to keep free in a contended pool: about as many as
// the demand of the teams within their shares may grow by between two reports.
// It grows with the square root of a demand, as the spread of arrivals does.
func (n *Node) reserve(slots int, totals map[string]*total) int {
	contended, within := false, 0
	for _, s := range totals {
		contended = contended || s.limited
		if !s.limited {
			within += s.want
		}
	}
	if !contended || len(n.recent) < 2 {
		return 0
	}
	return min(slots/reserveDivisor, 1+int(math.Ceil(math.Sqrt(float64(within)))))
}

// divideRoot gives out slots by weighted max-min, then lets teams with credit
// have more than their share at the cost of the others that are limited.
// Teams that get all they want have room to grow until the next report, out
// of the reserve and what nobody wants.
func (n *Node) divideRoot(slots, reserve int, totals map[string]*total) {
	names := sortedNames(totals)
	claims := make([]*claim, 0, len(totals))
	for _, name := range names {
		claims = append(claims, &totals[name].claim)
	}
	left := divide(slots, claims)
	if boosts := n.credits.boosts(slots, totals); len(boosts) > 0 {
		claims = claims[:0]
		rest := slots
		for _, name := range names {
			s := totals[name]
			if boosts[name] == 0 {
				claims = append(claims, &s.claim)
				continue
			}
			s.share += boosts[name]
			s.limited = s.share < s.want
			rest -= s.share
		}
		left = divide(rest, claims)
	}
	grow(left+reserve, totals)
}

// grow divides spare slots by weight among the teams that are not limited.
func grow(spare int, totals map[string]*total) {
	weight := 0.0
	for _, s := range totals {
		if !s.limited {
			weight += s.Weight
		}
	}
	for _, s := range totals {
		if !s.limited {
			s.share += max(int(float64(spare)*s.Weight/weight), 1)
		}
	}
}

func sortedNames(totals map[string]*total) []string {
	names := make([]string, 0, len(totals))
	for name := range totals {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (n *Node) unseenSlots() int {
	if len(n.unseen) == 0 {
		return 0
	}
	least := n.unseen[0]
	for _, u := range n.unseen {
		least = min(least, u)
	}
	return least
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

// window rounds a child's exact part to whole slots. Children take turns with
// the slots left over by rounding down: one may have it if it is not ahead of
// its exact part and the windows given to the others leave room.
func (n *Node) window(c *child, name string, s *total, t *childTeam) int {
	x := exact(s, t)
	base := int(math.Floor(x))
	if !s.limited {
		return int(math.Ceil(x))
	}
	if x == float64(base) || t.debt < 0 {
		return base
	}
	others := 0
	for _, o := range n.children {
		if ot := o.teams[name]; o != c && ot != nil {
			others += max(ot.window, ot.Running)
		}
	}
	if others+base+1 <= s.share {
		return base + 1
	}
	return base
}
