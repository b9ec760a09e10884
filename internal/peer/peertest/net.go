// Package peertest is an in-memory network between hosts for tests. It loses,
// delays and duplicates calls and cuts hosts off from one another.
package peertest

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/peer"
)

// Faults are the ways in which calls go wrong. Rates are between 0 and 1.
type Faults struct {
	LoseCall   float64       // the call does not arrive
	LoseAnswer float64       // the call is carried out, its answer is lost
	Duplicate  float64       // the call is carried out twice
	MaxDelay   time.Duration // each way, uniformly distributed
}

// Network connects hosts. All randomness comes from its seed.
type Network struct {
	mu      sync.Mutex
	rng     *rand.Rand
	hosts   map[string]*Host
	faults  Faults
	blocked map[[2]string]bool
}

// New returns a network without faults.
func New(seed uint64) *Network {
	return &Network{
		rng:     rand.New(rand.NewPCG(seed, seed)),
		hosts:   map[string]*Host{},
		blocked: map[[2]string]bool{},
	}
}

// SetFaults replaces the faults in force.
func (n *Network) SetFaults(f Faults) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults = f
}

// SetBlocked blocks or unblocks calls between two hosts in both directions.
func (n *Network) SetBlocked(a, b string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{a, b}] = blocked
	n.blocked[[2]string{b, a}] = blocked
}

// Host is one host on the network. It implements peer.Caller,
// peer.Registrar and peer.Members.
type Host struct {
	net      *Network
	self     peer.Member
	handlers map[string]peer.Handler
	down     bool
}

// Add puts a host on the network. A host of the same name is replaced, as
// after a restart.
func (n *Network) Add(m peer.Member) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.State == "" {
		m.State = peer.StateAlive
	}
	h := &Host{net: n, self: m, handlers: map[string]peer.Handler{}}
	n.hosts[m.ID.Name] = h
	return h
}

// SetDown stops or resumes the host's part in calls, as a crash or pause does.
func (h *Host) SetDown(down bool) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.down = down
}

// Handle implements peer.Registrar.
func (h *Host) Handle(method string, f peer.Handler) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.handlers[method] = f
}

// Self implements peer.Members.
func (h *Host) Self() peer.Member { return h.self }

// Members implements peer.Members: the hosts that are up, sorted by name.
func (h *Host) Members() []peer.Member {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	var out []peer.Member
	for _, other := range h.net.hosts {
		if !other.down {
			out = append(out, other.self)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID.Name < out[j].ID.Name })
	return out
}

// plan is what happens to one call.
type plan struct {
	to                              *Host
	handler                         peer.Handler
	loseCall, loseAnswer, duplicate bool
	there, back                     time.Duration
}

func (n *Network) plan(from *Host, to, method string) (plan, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[to]
	if h == nil || h.down || from.down || n.blocked[[2]string{from.self.ID.Name, to}] {
		return plan{}, false
	}
	p := plan{
		to:         h,
		handler:    h.handlers[method],
		loseCall:   n.rng.Float64() < n.faults.LoseCall,
		loseAnswer: n.rng.Float64() < n.faults.LoseAnswer,
		duplicate:  n.rng.Float64() < n.faults.Duplicate,
	}
	if n.faults.MaxDelay > 0 {
		p.there = time.Duration(n.rng.Int64N(int64(n.faults.MaxDelay)))
		p.back = time.Duration(n.rng.Int64N(int64(n.faults.MaxDelay)))
	}
	return p, true
}

type netError string

func (e netError) Error() string { return string(e) }

const errCut = netError("no path between the hosts")

// Call implements peer.Caller.
func (h *Host) Call(ctx context.Context, to, method string, params, result any) error {
	p, ok := h.net.plan(h, to, method)
	if !ok {
		return &peer.UnreachableError{Host: to, Cause: errCut}
	}
	data, err := json.Marshal(params)
	if err != nil {
		return &peer.UnreachableError{Host: to, Cause: err}
	}
	if p.handler == nil {
		return &peer.RemoteError{Host: to, Method: method, Code: "method_not_found", Message: method}
	}
	if err := sleep(ctx, p.there); err != nil || p.loseCall {
		return h.lost(ctx, to, method)
	}
	// The handler does not inherit the caller's deadline: a call that
	// arrived is carried out even if its caller has given up.
	remote := context.WithoutCancel(ctx)
	answer, callErr := p.handler(remote, h.self.ID, data)
	if p.duplicate {
		_, _ = p.handler(remote, h.self.ID, data) // the second answer reaches nobody
	}
	if err := sleep(ctx, p.back); err != nil || p.loseAnswer {
		return h.lost(ctx, to, method)
	}
	if callErr != nil {
		return &peer.RemoteError{Host: to, Method: method, Code: "failed", Message: callErr.Error()}
	}
	return decode(answer, result)
}

// lost waits for the caller's deadline, as for an answer that never comes.
func (h *Host) lost(ctx context.Context, to, method string) error {
	<-ctx.Done()
	return &peer.UnknownOutcomeError{Host: to, Method: method, Cause: ctx.Err()}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func decode(answer, result any) error {
	if result == nil {
		return nil
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// Interface checks.
var (
	_ peer.Caller    = (*Host)(nil)
	_ peer.Registrar = (*Host)(nil)
	_ peer.Members   = (*Host)(nil)
)
