package member

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"buckthornseam.dev/coord/membership"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// Peer methods for membership.
const (
	methodPing  = "member.ping"  // returns the callee's identity
	methodRelay = "member.relay" // makes the callee ping another host
)

type pingParams struct {
	Entry  HostEntry          `json:"entry"` // entry of the caller
	Rumors []membership.Rumor `json:"rumors,omitempty"`
}

type pingResult struct {
	ID     peer.ID            `json:"id"`
	Entry  HostEntry          `json:"entry"`
	Rumors []membership.Rumor `json:"rumors,omitempty"`
}

type relayParams struct {
	Host string `json:"host"`
}

type relayResult struct {
	Reached bool `json:"reached"`
}

// Run polls the host list and probes members until ctx ends.
func (v *View) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { v.pollHostList(ctx) })
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		v.mu.Lock()
		probes := v.core.Tick(v.now())
		v.mu.Unlock()
		for _, p := range probes {
			wg.Go(func() { v.probe(ctx, p) })
		}
	}
}

// probe pings a member. If the member does not answer, probe asks others to ping it.
func (v *View) probe(ctx context.Context, p membership.Probe) {
	if v.ping(ctx, p.Name, p.Rumors) || ctx.Err() != nil {
		v.publishMembers()
		return
	}
	v.mu.Lock()
	indirect := v.core.RecordFailure(p.Name, v.now())
	v.mu.Unlock()
	v.publishMembers()
	if len(indirect) == 0 {
		return
	}
	reached := v.relay(ctx, p.Name, indirect)
	if ctx.Err() != nil {
		return
	}
	v.mu.Lock()
	v.core.RecordIndirectResult(p.Name, reached, v.now())
	v.mu.Unlock()
	v.publishMembers()
}

// ping reports whether the member answered.
func (v *View) ping(ctx context.Context, name string, rumors []membership.Rumor) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var reply pingResult
	err := v.opts.Caller.Call(ctx, name, methodPing, pingParams{Entry: v.selfEntry(), Rumors: rumors}, &reply)
	if err != nil || reply.ID.Name != name {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.entries[name] = reply.Entry
	v.core.RecordReply(name, reply.ID.Incarnation, reply.Rumors, v.now())
	return true
}

// relay asks others to ping the member and reports whether any reached it.
func (v *View) relay(ctx context.Context, name string, via []membership.Probe) bool {
	// The call includes a ping by the relay, which may itself take probeTimeout.
	ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
	defer cancel()
	results := make(chan bool, len(via))
	for _, p := range via {
		go func() {
			var r relayResult
			err := v.opts.Caller.Call(ctx, p.Via, methodRelay, relayParams{Host: name}, &r)
			results <- err == nil && r.Reached
		}()
	}
	for range via {
		if <-results {
			return true
		}
	}
	return false
}

func (v *View) selfEntry() HostEntry {
	m := v.Self()
	return HostEntry{
		Name:        m.ID.Name,
		Zone:        m.Zone,
		Address:     m.Address,
		PeerAddress: m.PeerAddress,
		Leaving:     m.State == peer.StateLeaving,
		Load:        v.load(),
	}
}

// load returns this host's load, or 0 if no load source is set.
func (v *View) load() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.opts.Load == nil {
		return 0
	}
	return v.opts.Load()
}

func (v *View) handlePing(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
	var p pingParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, &peer.HandlerError{Code: "malformed", Message: err.Error()}
	}
	v.mu.Lock()
	v.updateEntry(from, p.Entry)
	v.core.RecordCall(from.Name, from.Incarnation, p.Rumors, v.now())
	rumors := v.core.TakeRumors()
	v.mu.Unlock()
	v.publishMembers()
	return pingResult{ID: v.opts.Self.ID, Entry: v.selfEntry(), Rumors: rumors}, nil
}

// updateEntry stores the entry that a host has sent if no entry of it is known or
// its known address does not answer. Otherwise it updates only the load. The caller
// must hold mu.
func (v *View) updateEntry(from peer.ID, e HostEntry) {
	if e.Name != from.Name || e.PeerAddress == "" {
		return
	}
	known, ok := v.entries[from.Name]
	if !ok || !v.reachable(from.Name) {
		v.entries[from.Name] = e
		return
	}
	known.Load = e.Load
	v.entries[from.Name] = known
}

func (v *View) reachable(name string) bool {
	for _, m := range v.core.Members() {
		if m.Name == name {
			return m.Reachable
		}
	}
	return false
}

func (v *View) handleRelay(ctx context.Context, _ peer.ID, params json.RawMessage) (any, error) {
	var p relayParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, &peer.HandlerError{Code: "malformed", Message: err.Error()}
	}
	reached := v.ping(ctx, p.Host, nil)
	v.publishMembers()
	return relayResult{Reached: reached}, nil
}

// Interval at which a host reads the host list. It grows with the number of hosts,
// so that the total rate of calls does not.
const (
	minListInterval     = time.Second
	maxListInterval     = time.Minute
	listIntervalPerHost = 50 * time.Millisecond
)

// pollHostList reads the host list periodically until ctx ends.
func (v *View) pollHostList(ctx context.Context) {
	for {
		v.refreshHostList(ctx)
		interval := time.Duration(len(v.Members())) * listIntervalPerHost
		interval = min(max(interval, minListInterval), maxListInterval)
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return
		}
	}
}

// refreshHostList reads and applies the host list. On failure the previous list
// remains in use.
func (v *View) refreshHostList(ctx context.Context) {
	list, err := v.opts.API.List(ctx, platform.KindHosts)
	if err != nil {
		v.opts.Log.WithField("event", "host_list_failed").Warn(err.Error())
		return
	}
	v.applyHostList(list)
	v.publishMembers()
}

func (v *View) applyHostList(list platform.List) {
	v.mu.Lock()
	defer v.mu.Unlock()
	entries := make([]membership.Entry, 0, len(list.Items))
	for _, obj := range list.Items {
		e, err := ParseEntry(obj)
		if err != nil {
			v.opts.Log.WithField("event", "host_entry_invalid").Warn(err.Error())
			continue
		}
		entries = append(entries, membership.Entry{Name: e.Name, Leaving: e.Leaving})
		if _, known := v.entries[e.Name]; !known || !v.reachable(e.Name) {
			v.entries[e.Name] = e
		}
	}
	v.core.SetHostList(entries, v.now())
}
