package coordinator

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/kvmemory"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

// codeNoMethod is the code of a call to a host of an earlier version.
const codeNoMethod = "method_not_found"

// Times of requests for memory.
const (
	memoryRetryWait   = 100 * time.Millisecond // after memory was denied
	olderVersionRetry = 2 * time.Second        // until the method is tried again at a coordinator that lacks it
)

// maxMemoryEngines is the number of engines that one request for memory names.
const maxMemoryEngines = 8

// memoryState is what this host holds of the memory of engines. It is guarded by FleetView.mu.
type memoryState struct {
	unlimited bool          // see IgnoreEngineMemory
	aloneAt   time.Duration // when the last request was sent without a reservation; see sendAlone
	node      *kvmemory.NodeMemory
	copies    *kvmemory.Copies
	// handOver is set if the coordinator lacks copies of other ledgers.
	handOver bool
	// without is the coordinator that lacks the method, until withoutUntil.
	without      string
	withoutUntil time.Duration
	// paused is what the coordinator pausedBy answered when it granted no memory to anyone. It is not asked again before pausedUntil.
	paused      MemoryGrant
	pausedBy    string
	pausedUntil time.Duration
}

func newMemoryState() memoryState {
	return memoryState{node: kvmemory.NewNodeMemory(), copies: kvmemory.NewCopies()}
}

// slotsOf returns the slots of an engine of a service; 0: unknown.
func slotsOf(spec *fleet.EngineSpec, t fleet.Target) int {
	return cmp.Or(max(0, spec.Slots), max(0, t.Slots))
}

// IgnoreEngineMemory lets requests go to engines without reservations: these engines preempt requests that exceed their memory,
// and do not crash. It must be called before the view is used.
func (f *FleetView) IgnoreEngineMemory() { f.memory.unlimited = true }

// needsMemory reports whether a request needs a reservation at an engine. The caller must hold f.mu.
func (f *FleetView) needsMemory(t fleet.Target, req Requirements) bool {
	spec := f.config.Services[req.Service].Engine
	if f.memory.unlimited || spec == nil || req.Tokens <= 0 {
		return false
	}
	limit := kvmemory.SmallLimit(spec.KVTokens, slotsOf(spec, t))
	return limit > 0 && req.Tokens > limit
}

// NeverFits reports whether a request has more tokens than any engine of its service may reserve.
func (f *FleetView) NeverFits(req Requirements) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	spec := f.config.Services[req.Service].Engine
	if spec == nil || spec.KVTokens <= 0 || req.Tokens <= kvmemory.Largest(spec.KVTokens) {
		return false
	}
	engines := f.targets.ByService[req.Service]
	return len(engines) > 0 && !slices.ContainsFunc(engines, func(id string) bool { return !f.needsMemory(f.targets.ByID[id], req) })
}

// MemoryRequest asks for memory at one of the engines of a choice.
type MemoryRequest struct {
	ID     string // of the attempt
	Tokens int64
	Due    time.Duration // when the request should begin
	Until  time.Duration // its deadline
}

// MemoryGrant is the answer to a MemoryRequest. Its Seq is 0 if the coordinator is of an earlier version and keeps no memory.
type MemoryGrant struct {
	Granted bool
	Choice  Choice        // the engine of the grant
	Seq     uint64        // for ReleaseMemory
	Reason  string        // if not granted
	Paused  bool          // no memory is granted to anyone before Free
	Free    time.Duration // when enough memory is expected to be free; 0: unknown
}

// RequestMemory asks the coordinator for memory at the engine of a choice, or at one of the others that it names.
func (c *Client) RequestMemory(ctx context.Context, choice Choice, r MemoryRequest) MemoryGrant {
	choices := append([]Choice{choice}, choice.Others...)
	choices = choices[:min(len(choices), maxMemoryEngines)]
	view, now := c.opts.FleetView, c.opts.Now()
	coordinator := c.Coordinator()
	if view.coordinatorKeepsNoMemory(coordinator) || c.alone() && view.sendAlone(choice.Target, r.Tokens) {
		return MemoryGrant{Granted: true, Choice: choice}
	}
	if paused, ok := view.memoryPaused(coordinator); ok {
		return paused
	}
	request := memoryRequest{Seq: view.beginMemory(), ID: r.ID, Incarnation: c.opts.Self.Incarnation, Tokens: r.Tokens, DueMS: (r.Due - now).Milliseconds(), LeftMS: (kvmemory.EndOf(r.Until) - now).Milliseconds(), PrefillMS: choice.Prefill.Milliseconds()}
	for _, each := range choices {
		request.Engines = append(request.Engines, runOf(each.Target))
	}
	reply, err := call(ctx, c, methodMemory, request, func(host string) memoryReply {
		return c.opts.Coordinator.grantMemory(ctx, host, request)
	})
	i := slices.Index(request.Engines, reply.Engine)
	switch {
	case err == nil && reply.Engine != "" && i >= 0:
		view.grantMemory(request.Seq, reply.Engine, r)
		return MemoryGrant{Granted: true, Choice: choices[i], Seq: request.Seq}
	case err != nil && isNoMethod(err):
		view.giveUpMemory(request.Seq)
		view.recordNoMemory(c.Coordinator())
		return MemoryGrant{Granted: true, Choice: choice}
	case err != nil:
		view.giveUpMemory(request.Seq)
		c.opts.Log.WithFields(logrus.Fields{"event": "memory_not_requested", "id": r.ID, "target": choice.Target.ID}).Warn(err.Error())
		return MemoryGrant{Reason: "no answer of a coordinator"}
	default:
		view.giveUpMemory(request.Seq)
		grant := MemoryGrant{Reason: reply.Reason, Paused: reply.Reason == string(kvmemory.ReasonPaused)}
		if reply.FreeMS > 0 {
			grant.Free = c.opts.Now() + time.Duration(reply.FreeMS)*time.Millisecond
		}
		if grant.Paused {
			view.recordMemoryPaused(coordinator, grant)
		}
		return grant
	}
}

// call calls a method of the coordinator; local is called instead if this host is the coordinator.
func call[T any](ctx context.Context, c *Client, method string, request any, local func(host string) T) (reply T, err error) {
	coordinator := c.Coordinator()
	if coordinator == c.opts.Self.Name {
		return local(coordinator), nil
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	err = c.opts.Calls.Call(ctx, coordinator, method, request, &reply)
	return reply, err
}

// isNoMethod reports whether a call failed because the other host is of an earlier version.
func isNoMethod(err error) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote) && remote.Code == codeNoMethod
}

func (f *FleetView) coordinatorKeepsNoMemory(coordinator string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return coordinator != "" && coordinator == f.memory.without && f.now() < f.memory.withoutUntil
}

func (f *FleetView) recordNoMemory(coordinator string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memory.without, f.memory.withoutUntil = coordinator, f.now()+olderVersionRetry
}

// memoryPaused returns what a coordinator answered to this host a moment ago, if it granted no memory to anyone.
func (f *FleetView) memoryPaused(coordinator string) (MemoryGrant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memory.paused, coordinator == f.memory.pausedBy && f.now() < f.memory.pausedUntil
}

func (f *FleetView) recordMemoryPaused(coordinator string, g MemoryGrant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memory.paused, f.memory.pausedBy, f.memory.pausedUntil = g, coordinator, f.now()+memoryRetryWait
}

func (f *FleetView) beginMemory() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.memory.node.Begin()
}

func (f *FleetView) giveUpMemory(seq uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memory.node.GiveUp(seq)
}

func (f *FleetView) grantMemory(seq uint64, engine string, r MemoryRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memory.node.Grant(seq, engine, r.Tokens, kvmemory.EndOf(r.Until))
}

// ReleaseMemory gives memory back with the next report. If the request was broken off, that is done a while later, as the engine
// may go on with it.
func (f *FleetView) ReleaseMemory(seq uint64, brokenOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memory.node.Release(f.now(), seq, brokenOff)
}

// closedLedger returns the ledger of this host's own coordinator if the host reports to another one. The caller must not hold c.mu: the
// coordinator holds its lock while it asks the Client how recent the configuration is.
func (c *Client) closedLedger(to string) []LedgerCopy {
	if to == c.opts.Self.Name || c.opts.Coordinator == nil {
		return nil
	}
	return c.opts.Coordinator.closedLedger()
}

// memoryReport returns what this host tells the coordinator of the memory that it holds, and of the ledgers that it knows, its own among
// them.
func (c *Client) memoryReport(own []LedgerCopy) *MemoryReport {
	f, now := c.opts.FleetView, c.opts.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	r, any := f.memory.node.Report(now, c.opts.Self.Incarnation)
	out := &MemoryReport{Asked: r.Asked, Pending: r.Pending, Epoch: r.Epoch, Held: toWire(now, r.Held)}
	if f.memory.handOver {
		f.memory.handOver, any = false, true
		for _, copied := range f.memory.copies.HandOver(now, c.currentCoordinator) {
			out.Copies = append(out.Copies, LedgerCopy{Epoch: copied.Epoch, Reservations: toWire(now, copied.Reservations)})
		}
	}
	if len(own) > 0 {
		out.Copies, any = append(out.Copies, own...), true
	}
	if !any {
		return nil
	}
	return out
}

// applyMemory applies what the coordinator's reply says of its ledger.
func (c *Client) applyMemory(u Update) {
	f := c.opts.FleetView
	f.mu.Lock()
	f.memory.node.LearnEpoch(f.now(), u.MemoryEpoch)
	f.memory.handOver = u.LacksCopies
	f.mu.Unlock()
	f.setLongLoads(u.LongLoads)
	if u.LacksCopies {
		c.wake()
	}
}
