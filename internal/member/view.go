package member

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/coord/membership"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// Parameters of the membership core.
const (
	probeInterval  = 500 * time.Millisecond
	probeTimeout   = 700 * time.Millisecond
	probeFanout    = 4  // probes per tick in a small fleet; with eight hosts, each is probed at least every 2 s
	smallFleetSize = 16 // members
	indirectProbes = 2  // members asked to probe on behalf of this host
	forgetAfter    = 30 * time.Second
)

// Options configure a View.
type Options struct {
	Self      peer.Member
	API       platform.API
	Caller    peer.Caller // may be set later by SetCaller
	Registrar peer.Registrar
	Log       logrus.FieldLogger
	Metrics   tally.Scope
	Load      func() float64 // source of this host's load, see peer.Member; may be nil
}

// View is this host's view of the membership. It implements peer.Members and
// peer.AddressResolver.
type View struct {
	opts  Options
	start time.Time

	mu      sync.Mutex
	core    *membership.Core
	self    peer.Member
	entries map[string]HostEntry // by name, from the host list or from the host itself

	members atomic.Pointer[[]peer.Member] // replaced after each change
}

// NewView returns a View that contains only this host.
func NewView(opts Options) *View {
	opts.Self.State = peer.StateAlive
	v := &View{
		opts:    opts,
		start:   time.Now(),
		self:    opts.Self,
		entries: map[string]HostEntry{},
		core: membership.New(membership.Config{
			Name:           opts.Self.ID.Name,
			Incarnation:    opts.Self.ID.Incarnation,
			Fanout:         probeFanout,
			SmallFleetSize: smallFleetSize,
			IndirectProbes: indirectProbes,
			ForgetAfter:    forgetAfter,
			Seed:           xxhash.Sum64String(opts.Self.ID.String()),
		}),
	}
	opts.Registrar.Handle(methodPing, v.handlePing)
	opts.Registrar.Handle(methodRelay, v.handleRelay)
	v.publishMembers()
	return v
}

// SetCaller sets the caller. It is separate from NewView because a caller may need
// the view as its address resolver.
func (v *View) SetCaller(c peer.Caller) { v.opts.Caller = c }

// SetLoadSource sets the source of this host's load.
func (v *View) SetLoadSource(f func() float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.opts.Load = f
}

func (v *View) now() time.Duration { return time.Since(v.start) }

// Self implements peer.Members.
func (v *View) Self() peer.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

// Members implements peer.Members. The result is shared and must not be modified.
func (v *View) Members() []peer.Member { return *v.members.Load() }

// PeerAddress implements peer.AddressResolver.
func (v *View) PeerAddress(host string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	e, ok := v.entries[host]
	return e.PeerAddress, ok && e.PeerAddress != ""
}

// Leave marks this host as leaving and announces it to the other hosts.
func (v *View) Leave() {
	v.mu.Lock()
	v.self.State = peer.StateLeaving
	v.core.Leave()
	v.mu.Unlock()
	v.publishMembers()
}

// publishMembers updates the result of Members and logs changes.
func (v *View) publishMembers() {
	v.mu.Lock()
	defer v.mu.Unlock()
	self := v.self
	if v.opts.Load != nil {
		self.Load = v.opts.Load()
	}
	out := []peer.Member{self}
	for _, m := range v.core.Members() {
		e := v.entries[m.Name]
		out = append(out, peer.Member{
			ID:          peer.ID{Name: m.Name, Incarnation: m.Incarnation},
			Zone:        e.Zone,
			Address:     e.Address,
			PeerAddress: e.PeerAddress,
			State:       stateOf(m),
			Load:        e.Load,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID.Name < out[j].ID.Name })
	v.logChanges(out)
	v.members.Store(&out)
}

// stateOf returns the state of a member. A member that this host cannot reach
// directly counts as suspect, since this host cannot route through it.
func stateOf(m membership.Member) peer.State {
	switch {
	case m.State == membership.Leaving:
		return peer.StateLeaving
	case m.State == membership.Suspect || !m.Reachable:
		return peer.StateSuspect
	}
	return peer.StateAlive
}

// logChanges logs each member whose state or identity has changed and updates the
// member counts in the metrics. The caller must hold mu.
func (v *View) logChanges(next []peer.Member) {
	before := map[string]peer.Member{}
	if old := v.members.Load(); old != nil {
		for _, m := range *old {
			before[m.ID.Name] = m
		}
	}
	counts := map[peer.State]int{}
	for _, m := range next {
		counts[m.State]++
		last, known := before[m.ID.Name]
		if known && last.State == m.State && last.ID == m.ID {
			continue
		}
		v.opts.Log.WithFields(logrus.Fields{
			"event": "member_changed", "member": m.ID.Name, "incarnation": m.ID.Incarnation, "state": m.State, "before": last.State,
		}).Info("member changed")
	}
	for _, s := range []peer.State{peer.StateAlive, peer.StateSuspect, peer.StateLeaving} {
		v.opts.Metrics.Tagged(map[string]string{"state": string(s)}).Gauge("members").Update(float64(counts[s]))
	}
}

// Interface checks.
var (
	_ peer.Members         = (*View)(nil)
	_ peer.AddressResolver = (*View)(nil)
)
