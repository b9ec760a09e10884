// Package peertest provides an in-memory network between hosts for tests. It can lose,
// delay and duplicate calls and block the path between two hosts.
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

// Faults are the faults injected into calls. All but MaxDelay are probabilities.
type Faults struct {
	LoseCall  float64       // the call does not arrive
	LoseReply float64       // the call is executed, but its reply is lost
	Duplicate float64       // the call is executed twice
	MaxDelay  time.Duration // largest delay in each direction; uniformly distributed
}

// Network connects hosts. Its faults are determined by the seed.
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

// SetFaults replaces the injected faults.
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

// Add adds a host to the network. It replaces a host of the same name, which
// simulates a restart.
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

// SetDown disconnects or reconnects the host, which simulates a crash or a pause.
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

// callPlan holds the faults chosen for one call.
type callPlan struct {
	to                             *Host
	handler                        peer.Handler
	loseCall, loseReply, duplicate bool
	requestDelay, replyDelay       time.Duration
}

func (n *Network) planCall(from *Host, to, method string) (callPlan, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := n.hosts[to]
	if h == nil || h.down || from.down || n.blocked[[2]string{from.self.ID.Name, to}] {
		return callPlan{}, false
	}
	p := callPlan{
		to:        h,
		handler:   h.handlers[method],
		loseCall:  n.rng.Float64() < n.faults.LoseCall,
		loseReply: n.rng.Float64() < n.faults.LoseReply,
		duplicate: n.rng.Float64() < n.faults.Duplicate,
	}
	if n.faults.MaxDelay > 0 {
		p.requestDelay = time.Duration(n.rng.Int64N(int64(n.faults.MaxDelay)))
		p.replyDelay = time.Duration(n.rng.Int64N(int64(n.faults.MaxDelay)))
	}
	return p, true
}

type netError string

func (e netError) Error() string { return string(e) }

const errNoPath = netError("no path between the hosts")

// Call implements peer.Caller.
func (h *Host) Call(ctx context.Context, to, method string, params, result any) error {
	p, ok := h.net.planCall(h, to, method)
	if !ok {
		return &peer.UnreachableError{Host: to, Cause: errNoPath}
	}
	data, err := json.Marshal(params)
	if err != nil {
		return &peer.UnreachableError{Host: to, Cause: err}
	}
	if p.handler == nil {
		return &peer.RemoteError{Host: to, Method: method, Code: "method_not_found", Message: method}
	}
	if err := sleep(ctx, p.requestDelay); err != nil || p.loseCall {
		return h.waitForDeadline(ctx, to, method)
	}
	// The handler does not inherit the caller's deadline: a call that
	// arrived is executed even if its caller has given up.
	remote := context.WithoutCancel(ctx)
	reply, callErr := p.handler(remote, h.self.ID, data)
	if p.duplicate {
		_, _ = p.handler(remote, h.self.ID, data) // the second reply is discarded
	}
	if err := sleep(ctx, p.replyDelay); err != nil || p.loseReply {
		return h.waitForDeadline(ctx, to, method)
	}
	if callErr != nil {
		return &peer.RemoteError{Host: to, Method: method, Code: "failed", Message: callErr.Error()}
	}
	return decode(reply, result)
}

// waitForDeadline simulates a lost call or reply: it waits until ctx ends.
func (h *Host) waitForDeadline(ctx context.Context, to, method string) error {
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

func decode(reply, result any) error {
	if result == nil {
		return nil
	}
	data, err := json.Marshal(reply)
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
