// Package membership is the I/O-free core of a gossip-based failure detector. It
// tracks which hosts are alive.
//
// Each host probes a few others on every tick. A member that answers neither
// directly nor through other members becomes suspect, and the probes carry the
// suspicion on as a rumor. A suspect host that is alive refutes the rumor with a
// larger counter. A suspect member keeps what it owns; other hosts merely route
// around it. A silent member is removed once the platform's host list no longer
// names it.
//
// A member is identified by its name and incarnation. An incarnation is a random
// id of one run of the process, so the incarnations of a host have no order.
// Rumors never introduce an incarnation: it is learned only from the member itself,
// when it answers a probe at its listed address. A rumor about another incarnation
// triggers such a probe and has no other effect.
package membership

import (
	"math/rand/v2"
	"sort"
	"time"
)

// State is the state of a member.
type State uint8

// The states of a member. Of two rumors with equal counters, the one with the
// larger state wins.
const (
	Alive State = iota
	Suspect
	Leaving
)

// Entry is a host in the platform's host list.
type Entry struct {
	Name    string
	Leaving bool
}

// Rumor is a statement about the state of a member, spread with probes and replies.
type Rumor struct {
	Name        string `json:"name"`
	Incarnation string `json:"inc"`
	State       State  `json:"state"`
	Counter     uint64 `json:"ctr"` // increased only by the member itself
}

// Member is one host as this host sees it.
type Member struct {
	Name        string
	Incarnation string // empty until the member has answered a probe
	State       State
	Counter     uint64
	Listed      bool          // present in the host list
	Reachable   bool          // answered the last direct probe by this host
	LastContact time.Duration // time of the last call, or of the last reply to a direct or indirect probe
}

// Probe tells the caller of the core to probe the member Name. If Via is set, the
// caller asks the member Via to probe Name on behalf of this host.
type Probe struct {
	Name   string
	Via    string
	Rumors []Rumor
}

// Config holds the parameters of a Core.
type Config struct {
	Name           string
	Incarnation    string
	Fanout         int           // probes per tick in a small fleet
	SmallFleetSize int           // largest number of members for which Fanout applies; above it, one probe per tick
	IndirectProbes int           // number of members asked to probe on behalf of this host
	ForgetAfter    time.Duration // silence after which an unlisted member is removed
	Seed           uint64
}

// copiesPerDoubling is the number of times that a rumor is sent for each doubling of
// the number of members.
const copiesPerDoubling = 3

// maxRumorsPerMessage limits the number of rumors in one message.
const maxRumorsPerMessage = 12

type queuedRumor struct {
	rumor Rumor
	sent  int
}

// Core is one host's view of the membership. It is not safe for concurrent use.
type Core struct {
	cfg        Config
	rng        *rand.Rand
	members    map[string]*Member
	probeOrder []string // members still to be probed in this round
	rumors     map[string]*queuedRumor
	leaving    bool
	counter    uint64 // counter of this host
}

// New returns a Core without any other hosts.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, 1)),
		members: map[string]*Member{},
		rumors:  map[string]*queuedRumor{},
	}
}

// SetHostList applies the platform's host list. An unlisted host remains a member
// until it has been silent for ForgetAfter; a listed one remains a member even if
// it is silent.
func (c *Core) SetHostList(list []Entry, now time.Duration) {
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		if e.Name == c.cfg.Name {
			continue
		}
		listed[e.Name] = true
		m := c.getOrAdd(e.Name, now)
		if e.Leaving {
			m.State = Leaving
		}
	}
	for name, m := range c.members {
		m.Listed = listed[name]
	}
	c.removeStale(now)
}

// getOrAdd returns the member with the given name and adds it if it is missing. A
// new member starts out alive, so that a host is used until a probe of it fails.
func (c *Core) getOrAdd(name string, now time.Duration) *Member {
	m := c.members[name]
	if m == nil {
		m = &Member{Name: name, State: Alive, Reachable: true, LastContact: now}
		c.members[name] = m
	}
	return m
}

// removeStale removes members that are unlisted and silent for longer than
// ForgetAfter.
func (c *Core) removeStale(now time.Duration) {
	for name, m := range c.members {
		if !m.Listed && now-m.LastContact > c.cfg.ForgetAfter {
			delete(c.members, name)
			delete(c.rumors, name)
		}
	}
}

// Tick returns the probes that are due.
func (c *Core) Tick(now time.Duration) []Probe {
	c.removeStale(now)
	n := 1
	if len(c.members) <= c.cfg.SmallFleetSize {
		n = c.cfg.Fanout
	}
	n = min(n, len(c.members))
	probes := make([]Probe, 0, n)
	for range n {
		name := c.nextToProbe()
		if name == "" {
			break
		}
		probes = append(probes, Probe{Name: name, Rumors: c.takeRumors()})
	}
	return probes
}

// nextToProbe returns the next member to probe, or "" if there is none. It goes
// through all members in a new random order each round, which bounds the time
// between two probes of a member.
func (c *Core) nextToProbe() string {
	for len(c.probeOrder) > 0 {
		name := c.probeOrder[0]
		c.probeOrder = c.probeOrder[1:]
		if c.members[name] != nil {
			return name
		}
	}
	for name := range c.members {
		c.probeOrder = append(c.probeOrder, name)
	}
	if len(c.probeOrder) == 0 {
		return ""
	}
	sort.Strings(c.probeOrder) // keeps the seeded shuffle independent of the map order
	c.rng.Shuffle(len(c.probeOrder), func(i, j int) {
		c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i]
	})
	name := c.probeOrder[0]
	c.probeOrder = c.probeOrder[1:]
	return name
}

// RecordReply records that a member answered a probe at its listed address. Only
// here does the core accept a new incarnation of a member.
func (c *Core) RecordReply(name, incarnation string, rumors []Rumor, now time.Duration) {
	m := c.getOrAdd(name, now)
	if m.Incarnation != incarnation {
		m.Incarnation = incarnation
		m.Counter = 0
		m.State = Alive
		delete(c.rumors, name)
	}
	m.LastContact = now
	m.Reachable = true
	if m.State == Suspect {
		// A reply from the member itself outweighs the rumor.
		m.State = Alive
	}
	c.ApplyRumors(rumors, now)
}

// RecordCall records a call from an authenticated host. The call does not prove
// which incarnation is reachable at the listed address, so an unknown incarnation
// only causes a probe.
func (c *Core) RecordCall(name, incarnation string, rumors []Rumor, now time.Duration) {
	m := c.getOrAdd(name, now)
	if m.Incarnation == incarnation {
		m.LastContact = now
	} else {
		c.probeNext(name)
	}
	c.ApplyRumors(rumors, now)
}

func (c *Core) probeNext(name string) {
	c.probeOrder = append([]string{name}, c.probeOrder...)
}

// RecordFailure records that a member did not answer this host's probe. It returns
// indirect probes through other members, which show whether the member itself or
// only the link to it has failed.
func (c *Core) RecordFailure(name string, now time.Duration) []Probe {
	m := c.members[name]
	if m == nil {
		return nil
	}
	m.Reachable = false
	via := c.chooseRelays(name)
	if len(via) == 0 {
		c.markSuspect(m)
		return nil
	}
	probes := make([]Probe, 0, len(via))
	for _, h := range via {
		probes = append(probes, Probe{Name: name, Via: h, Rumors: c.takeRumors()})
	}
	return probes
}

// chooseRelays chooses random reachable members that are to probe another member on
// behalf of this host.
func (c *Core) chooseRelays(except string) []string {
	var names []string
	for name, m := range c.members {
		if name != except && m.Reachable && m.State == Alive {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	c.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(len(names), c.cfg.IndirectProbes)]
}

// RecordIndirectResult records the result of the probes that RecordFailure returned.
// Reached reports whether the member answered any of them.
func (c *Core) RecordIndirectResult(name string, reached bool, now time.Duration) {
	m := c.members[name]
	if m == nil {
		return
	}
	if reached {
		m.LastContact = now
		return
	}
	c.markSuspect(m)
}

func (c *Core) markSuspect(m *Member) {
	if m.State != Alive {
		return
	}
	m.State = Suspect
	c.queueRumor(Rumor{Name: m.Name, Incarnation: m.Incarnation, State: Suspect, Counter: m.Counter})
}

// Leave starts to spread the rumor that this host is leaving.
func (c *Core) Leave() {
	c.leaving = true
	c.counter++
	c.queueRumor(c.selfRumor())
}

func (c *Core) selfRumor() Rumor {
	r := Rumor{Name: c.cfg.Name, Incarnation: c.cfg.Incarnation, Counter: c.counter}
	if c.leaving {
		r.State = Leaving
	}
	return r
}

// ApplyRumors applies rumors received with a call or a reply.
func (c *Core) ApplyRumors(rumors []Rumor, now time.Duration) {
	for _, r := range rumors {
		if r.Name == c.cfg.Name {
			c.refute(r)
			continue
		}
		c.applyRumor(r, now)
	}
}

// refute contradicts a false rumor about this host. Since only this host increases
// its counter, the refutation overrides every rumor about this incarnation.
func (c *Core) refute(r Rumor) {
	if r.Incarnation != c.cfg.Incarnation || r.State == Alive || r.State == Leaving && c.leaving {
		return
	}
	c.counter = max(c.counter, r.Counter) + 1
	c.queueRumor(c.selfRumor())
}

func (c *Core) applyRumor(r Rumor, now time.Duration) {
	m := c.members[r.Name]
	if m == nil || m.Incarnation != r.Incarnation {
		if m != nil {
			c.probeNext(r.Name)
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
	c.queueRumor(r)
}

// queueRumor queues a rumor for sending. It replaces an earlier one about the same
// member.
func (c *Core) queueRumor(r Rumor) {
	c.rumors[r.Name] = &queuedRumor{rumor: r}
}

// TakeRumors returns the rumors to send with a reply to a probe.
func (c *Core) TakeRumors() []Rumor { return c.takeRumors() }

// takeRumors returns the rumors sent least often, and drops those that have then been
// sent copiesPerRumor times.
func (c *Core) takeRumors() []Rumor {
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
	names = names[:min(len(names), maxRumorsPerMessage)]
	out := make([]Rumor, 0, len(names))
	for _, name := range names {
		s := c.rumors[name]
		out = append(out, s.rumor)
		s.sent++
		if s.sent >= c.copiesPerRumor() {
			delete(c.rumors, name)
		}
	}
	return out
}

func (c *Core) copiesPerRumor() int {
	n := copiesPerDoubling
	for size := len(c.members) + 1; size > 1; size /= 2 {
		n += copiesPerDoubling
	}
	return n
}

// Members returns all members except this host, sorted by name.
func (c *Core) Members() []Member {
	out := make([]Member, 0, len(c.members))
	for _, m := range c.members {
		out = append(out, *m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
