// Package membership is a core that keeps the view of which hosts are alive.
//
// Each host probes a few others at every tick. A member that answers neither
// directly nor through others becomes suspect, and the suspicion spreads with
// the probes. A suspect host that is alive refutes it with a larger counter.
// A suspect member keeps what it owns; it is only routed round. It is removed
// once the platform's host list no longer names it as well.
//
// Identity is (name, incarnation). An incarnation is a random id of one start
// of the process, so incarnations of one name have no order. Rumors never
// introduce one: a member's incarnation is learned from the member itself,
// when it answers a probe at its listed address. A rumor about another
// incarnation only causes such a probe.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"
)

// State is the state of a member.
type State uint8

// The states of a member, in the order in which a rumor with an equal counter
// overrides another.
const (
	Alive State = iota
	Suspect
	Leaving
)

// Entry is what the platform's host list says of a host.
type Entry struct {
	Name    string
	Leaving bool
}

// Rumor is a statement about a member that spreads with the probes.
type Rumor struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"`
	State       State  `json:"state"`
	Counter     uint64 `json:"ctr"` // raised by the member itself only
}

// Member is one host as this host sees it.
type Member struct {
	Name        string
	Incarnation string // empty until the member has answered
	State       State
	Counter     uint64
	Listed      bool          // named by the host list
	Reachable   bool          // answered this host's last probe
	LastContact time.Duration // time of the last answer or call
}

// Probe asks the caller of the core to probe a member. If Via is set, that
// member is asked to probe Name on behalf of this host.
type Probe struct {
	Name   string
	Via    string
	Rumors []Rumor
}

// Config holds the parameters of a core.
type Config struct {
	Name           string
	Incarnation    string
	Fanout         int           // probes for each tick in a small fleet
	SmallFleetSize int           // members up to which Fanout applies; above, one probe for each tick
	IndirectProbes int           // members asked to probe in place of this host
	ForgetAfter    time.Duration // silence after which an unlisted member is removed
	Seed           uint64
}

// rumorCopies bounds how often a rumor is sent: copies for each doubling of
// the number of members.
const rumorCopies = 3

// maxRumors bounds the rumors in one message.
const maxRumors = 12

type spread struct {
	rumor Rumor
	sent  int
}

// Core is the membership of one host. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	members map[string]*Member
	order   []string // names still to be probed in this round
	rumors  map[string]*spread
	leaving bool
	counter uint64 // of this host
}

// New returns a core that knows no other host.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		members: map[string]*Member{},
		rumors:  map[string]*spread{},
	}
}

// SetHostList takes over the platform's host list. A host missing from it stays a
// member while it is heard; a listed one stays a member while it is silent.
func (c *Core) SetHostList(list []Entry, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		if e.Name == c.cfg.Name {
			continue
		}
		listed[e.Name] = true
		m := c.member(e.Name, now)
		if e.Leaving {
			m.State = Leaving
		}
	}
	for name, m := range c.members {
		m.Listed = listed[name]
	}
	c.forget(now)
}

// member returns the member of that name, new if need be. A new member counts
// as alive: a listed host is used until it is found to be silent.
func (c *Core) member(name string, now time.Duration) *Member {
	m := c.members[name]
	if m == nil {
		m = &Member{Name: name, State: Alive, Reachable: true, LastContact: now}
		c.members[name] = m
	}
	return m
}

// forget removes members that are neither listed nor heard.
func (c *Core) forget(now time.Duration) {
	for name, m := range c.members {
		if !m.Listed && now-m.LastContact > c.cfg.ForgetAfter {
			delete(c.members, name)
			delete(c.rumors, name)
		}
	}
}

// Tick returns the probes that are due.
func (c *Core) Tick(now time.Duration) []Probe {
	c.forget(now)
	n := 1
	if len(c.members) <= c.cfg.SmallFleetSize {
		n = c.cfg.Fanout
	}
	n = min(n, len(c.members))
	probes := make([]Probe, 0, n)
	for range n {
		name := c.next()
		if name == "" {
			break
		}
		probes = append(probes, Probe{Name: name, Rumors: c.take()})
	}
	return probes
}

// next walks through the members in a random order, anew each round, so that
// no member waits for more than one round.
func (c *Core) next() string {
	for len(c.order) > 0 {
		name := c.order[0]
		c.order = c.order[1:]
		if c.members[name] != nil {
			return name
		}
	}
	for name := range c.members {
		c.order = append(c.order, name)
	}
	if len(c.order) == 0 {
		return ""
	}
	sort.Strings(c.order) // map order must not reach the seeded shuffle
	c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
	name := c.order[0]
	c.order = c.order[1:]
	return name
}

// RecordAnswer notes that a member answered a probe at its listed address. This
// is the only place where an incarnation is taken over.
func (c *Core) RecordAnswer(name, incarnation string, rumors []Rumor, now time.Duration) {
	m := c.member(name, now)
	if m.Incarnation != incarnation {
		m.Incarnation = incarnation
		m.Counter = 0
		m.State = Alive
		delete(c.rumors, name)
	}
	m.LastContact = now
	m.Reachable = true
	if m.State == Suspect {
		// The member itself has just answered: its word beats the rumor.
		m.State = Alive
	}
	c.ApplyRumors(rumors, now)
}

// RecordCall notes a call from a host that proved its identity. It is no proof
// of which incarnation the listed address leads to.
func (c *Core) RecordCall(name, incarnation string, rumors []Rumor, now time.Duration) {
	m := c.member(name, now)
	if m.Incarnation == incarnation {
		m.LastContact = now
	} else {
		c.probeSoon(name)
	}
	c.ApplyRumors(rumors, now)
}

func (c *Core) probeSoon(name string) {
	c.order = append([]string{name}, c.order...)
}

// RecordFailure notes that a member did not answer this host. It returns probes
// through others, which decide whether the member or only the link is silent.
func (c *Core) RecordFailure(name string, now time.Duration) []Probe {
	m := c.members[name]
	if m == nil {
		return nil
	}
	m.Reachable = false
	via := c.helpers(name)
	if len(via) == 0 {
		c.suspect(m)
		return nil
	}
	probes := make([]Probe, 0, len(via))
	for _, h := range via {
		probes = append(probes, Probe{Name: name, Via: h, Rumors: c.take()})
	}
	return probes
}

// helpers chooses members to probe in place of this host.
func (c *Core) helpers(not string) []string {
	var names []string
	for name, m := range c.members {
		if name != not && m.Reachable && m.State == Alive {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), c.cfg.IndirectProbes)]
}

// RecordIndirectResult ends the probes that Failed returned: reached reports
// whether any helper got an answer.
func (c *Core) RecordIndirectResult(name string, reached bool, now time.Duration) {
	m := c.members[name]
	if m == nil {
		return
	}
	if reached {
		m.LastContact = now
		return
	}
	c.suspect(m)
}

func (c *Core) suspect(m *Member) {
	if m.State != Alive {
		return
	}
	m.State = Suspect
	c.spread(Rumor{Name: m.Name, Incarnation: m.Incarnation, State: Suspect, Counter: m.Counter})
}

// Leave makes this host tell the others that it is leaving.
func (c *Core) Leave() {
	c.leaving = true
	c.counter++
	c.spread(c.self())
}

func (c *Core) self() Rumor {
	r := Rumor{Name: c.cfg.Name, Incarnation: c.cfg.Incarnation, Counter: c.counter}
	if c.leaving {
		r.State = Leaving
	}
	return r
}

// ApplyRumors takes over rumors that came with a call or an answer.
func (c *Core) ApplyRumors(rumors []Rumor, now time.Duration) {
	for _, r := range rumors {
		if r.Name == c.cfg.Name {
			c.refute(r)
			continue
		}
		c.hear(r, now)
	}
}

// refute answers a rumor about this host. Only this host raises its counter,
// so the answer overrides every rumor about this incarnation.
func (c *Core) refute(r Rumor) {
	if r.Incarnation != c.cfg.Incarnation || r.State == Alive || r.State == Leaving && c.leaving {
		return
	}
	c.counter = max(c.counter, r.Counter) + 1
	c.spread(c.self())
}

func (c *Core) hear(r Rumor, now time.Duration) {
	m := c.members[r.Name]
	if m == nil || m.Incarnation != r.Incarnation {
		if m != nil {
			c.probeSoon(r.Name)
		}
		return
	}
	older := r.Counter < m.Counter
	weaker := r.Counter == m.Counter && r.State <= m.State
	if older || weaker {
		return
	}
	m.Counter = r.Counter
	m.State = r.State
	c.spread(r)
}

// spread queues a rumor; a newer one about the same member replaces it.
func (c *Core) spread(r Rumor) {
	c.rumors[r.Name] = &spread{rumor: r}
}

// TakeRumors returns rumors for an answer to a probe.
func (c *Core) TakeRumors() []Rumor { return c.take() }

// take returns the rumors sent least often, and drops those sent to enough
// hosts.
func (c *Core) take() []Rumor {
	names := make([]string, 0, len(c.rumors))
	for name := range c.rumors {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := c.rumors[names[i]], c.rumors[names[j]]
		if a.sent != b.sent {
			return a.sent < b.sent
		}
		return names[i] < names[j]
	})
	names = names[:min(len(names), maxRumors)]
	out := make([]Rumor, 0, len(names))
	for _, name := range names {
		s := c.rumors[name]
		out = append(out, s.rumor)
		s.sent++
		if s.sent >= c.copies() {
			delete(c.rumors, name)
		}
	}
	return out
}

func (c *Core) copies() int {
	n := rumorCopies
	for size := len(c.members) + 1; size > 1; size /= 2 {
		n += rumorCopies
	}
	return n
}

// Members returns the other hosts, sorted by name.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
