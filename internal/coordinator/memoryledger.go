package coordinator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/kvmemory"
	"buckthornseam.dev/coord/longprompt"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

const (
	witnessTimeout = 60 * time.Millisecond // of a call to the witness, which is made twice; a host waits permitTimeout for the grant
	witnessRetry   = 10 * time.Second      // until a host of an earlier version is tried again as a witness
)

// memoryLedger is the coordinator's account of the memory of engines. It is guarded by Coordinator.mu.
type memoryLedger struct {
	ledger *kvmemory.Ledger
	// handedOver is set while this host reports to another coordinator.
	handedOver bool
	longLoads  map[string]*longprompt.Load // of long prefills, by engine
	withoutAt  map[string]time.Duration    // hosts of earlier versions, when they were found to lack methodMemoryCopy
}

func newMemoryLedger() memoryLedger {
	return memoryLedger{ledger: kvmemory.NewLedger(newEpoch()), longLoads: map[string]*longprompt.Load{}, withoutAt: map[string]time.Duration{}}
}

func newEpoch() uint64 { return rand.Uint64() | 1 }

// registerMemory registers the methods by which hosts ask for memory and coordinators tell their witness.
func (c *Coordinator) registerMemory(r peer.Registrar) {
	r.Handle(methodMemory, func(ctx context.Context, from peer.ID, params json.RawMessage) (any, error) {
		var request memoryRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, err
		}
		return c.grantMemory(ctx, from.Name, request), nil
	})
	r.Handle(methodMemoryCopy, func(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
		var m memoryCopy
		if err := json.Unmarshal(params, &m); err != nil {
			return nil, err
		}
		f, now := c.fleetView, c.now()
		f.mu.Lock()
		defer f.mu.Unlock()
		return memoryCopyReply{Kept: f.memory.copies.Keep(now, from.Name, m.Epoch, m.Whole, fromWire(now, m.Reservations))}, nil
	})
}

// reportMemory records what a host reports of the memory that it holds. The caller must hold c.mu.
func (c *Coordinator) reportMemory(host string, r Report) {
	c.reportLong(r.LongPrefills)
	if host == c.self {
		c.memory.handedOver = false
	}
	now, m := c.now(), r.Memory
	if m == nil {
		m = &MemoryReport{}
	}
	c.memory.ledger.Report(now, host, kvmemory.NodeReport{Incarnation: r.Incarnation, Asked: m.Asked, Pending: m.Pending, Held: fromWire(now, m.Held), Epoch: m.Epoch})
	for _, copied := range m.Copies {
		c.memory.ledger.HandOver(now, copied.Epoch, fromWire(now, copied.Reservations), copied.Closed)
	}
}

// addMemory adds the state of the ledger to the reply to a report. The caller must hold c.mu.
func (c *Coordinator) addMemory(u *Update, h *hostState) {
	u.LongLoads = c.longLoadsFor(h)
	u.MemoryEpoch, u.LacksCopies = c.memory.ledger.Epoch(c.now()), c.memory.ledger.LacksCopies()
}

// closedLedger returns this host's ledger for the coordinator that it reports to, if this host was one. The ledger grants nothing from then
// on.
func (c *Coordinator) closedLedger() (out []LedgerCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.memory.handedOver = true
	for i, epoch := range c.memory.ledger.Close(now) {
		out = append(out, LedgerCopy{Epoch: epoch, Closed: true})
		if i == 0 {
			out[0].Reservations = toWire(now, c.memory.ledger.All(now))
		}
	}
	return out
}

// keepsMemory reports whether any service has engines with a known memory.
func (c *Coordinator) keepsMemory() bool {
	for _, service := range c.fleetView.Config().Services {
		if service.Engine != nil && service.Engine.KVTokens > 0 {
			return true
		}
	}
	return false
}

// stepMemory expires reservations and has a witness that knows the ledger. The caller must hold c.mu.
func (c *Coordinator) stepMemory(ctx context.Context, now time.Duration) {
	c.memory.ledger.Expire(now)
	if !c.keepsMemory() || c.isDeputy() || c.memory.handedOver {
		return
	}
	if w := c.memory.ledger.WitnessNode(); w != "" {
		if h := c.hosts[w]; h == nil {
			c.memory.ledger.LoseWitness(now)
			c.log.WithFields(logrus.Fields{"event": "memory_witness_lost", "peer": w}).Warn("the witness is silent; no memory is granted for a while")
		} else if h.leaving {
			c.memory.ledger.LeaveWitness(now)
		}
	}
	if _, state := c.memory.ledger.Witness(now, nil, 0); state == kvmemory.WitnessReady {
		return // to sort the hosts at each step would take longer than the rest
	}
	if candidates := c.witnesses(now); len(candidates) > 0 {
		if tell, state := c.memory.ledger.Witness(now, candidates, newEpoch()); state == kvmemory.WitnessToTell {
			go c.tell(ctx, tell)
		}
	}
}

// witnesses returns the hosts that can be a witness: first those of another zone that stay. The caller must hold c.mu.
func (c *Coordinator) witnesses(now time.Duration) []string {
	known := c.fleetView.Hosts()
	zone := known[c.self].Zone
	var out []string
	for name, h := range c.hosts {
		at, without := c.memory.withoutAt[name]
		if name != c.self && !h.leaving && (!without || now-at > witnessRetry) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		if nearA, nearB := known[a].Zone == zone, known[b].Zone == zone; nearA != nearB {
			if nearB {
				return -1
			}
			return 1
		}
		return compareCoordinators(known[a], known[b])
	})
	return out
}

// tell tells the witness reservations, and reports whether they may be used. The caller must not hold c.mu.
func (c *Coordinator) tell(ctx context.Context, t kvmemory.Tell) bool {
	m := memoryCopy{Epoch: t.Epoch, Whole: t.Whole, Reservations: toWire(c.now(), t.Reservations)}
	var reply memoryCopyReply
	var err error
	for range 2 {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessTimeout)
		err = c.calls.Call(callCtx, t.Witness, methodMemoryCopy, m, &reply)
		cancel()
		if err == nil || isNoMethod(err) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && isNoMethod(err) {
		c.memory.withoutAt[t.Witness] = c.now()
	}
	ok := c.memory.ledger.Told(c.now(), t, err == nil && reply.Kept)
	if !ok {
		c.log.WithFields(logrus.Fields{"event": "memory_witness_lost", "peer": t.Witness}).Warn("the witness did not keep a reservation; no memory is granted for a while")
	}
	return ok
}

// grantMemory grants memory to a host that reports here, once the witness knows of it.
func (c *Coordinator) grantMemory(ctx context.Context, host string, r memoryRequest) memoryReply {
	key := kvmemory.Key{Node: host, Incarnation: r.Incarnation, Seq: r.Seq}
	answer, tell, told := c.askMemory(key, r)
	if !answer.Granted {
		reply := memoryReply{Reason: string(answer.Reason)}
		if answer.Free > 0 {
			reply.FreeMS = max(1, (answer.Free - c.now()).Milliseconds())
		}
		return reply
	}
	if !told && !c.tell(ctx, tell) {
		c.mu.Lock()
		c.memory.ledger.Cancel(key)
		c.mu.Unlock()
		return memoryReply{Reason: string(kvmemory.ReasonPaused)}
	}
	return memoryReply{Engine: answer.Engine}
}

// askMemory asks the ledger. If told is not set, the witness has to be told of what was granted.
func (c *Coordinator) askMemory(key kvmemory.Key, r memoryRequest) (answer kvmemory.Answer, tell kvmemory.Tell, told bool) {
	all := len(c.fleetView.Hosts())
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	refused := kvmemory.Answer{Reason: kvmemory.ReasonPaused}
	if r.Tokens <= 0 || r.LeftMS <= 0 || r.LeftMS >= maxLeftMS {
		return kvmemory.Answer{Reason: kvmemory.ReasonInvalid}, tell, false
	}
	if c.isDeputy() || c.memory.handedOver {
		return refused, tell, false
	}
	alone := all <= 1 || c.memory.ledger.WitnessNode() == "" && len(c.hosts) > 1 && len(c.witnesses(now)) == 0 // no host can be a witness
	if _, state := c.memory.ledger.Witness(now, nil, 0); state != kvmemory.WitnessReady && !alone {
		return refused, tell, false // stepMemory finds one
	}
	targets := map[string]fleet.Target{}
	request := kvmemory.Request{Key: key, ID: r.ID, Tokens: r.Tokens, Prefill: time.Duration(max(0, min(r.PrefillMS, maxPrefillMS))) * time.Millisecond, Due: now + time.Duration(r.DueMS)*time.Millisecond, Until: now + time.Duration(r.LeftMS)*time.Millisecond}
	for _, engine := range r.Engines {
		if t, ok := c.fleetView.targetOfRun(engine); ok && len(request.Engines) < maxMemoryEngines {
			request.Engines, targets[engine] = append(request.Engines, engine), t
		}
	}
	answer = c.memory.ledger.Ask(now, request, all, func(engine string) kvmemory.Room { return c.roomOf(now, targets[engine]) })
	if answer.Granted && !alone {
		return answer, c.memory.ledger.TellOf(key), false
	}
	return answer, tell, true
}

// targetOfRun returns the registered target with a name of runOf.
func (f *FleetView) targetOfRun(run string) (fleet.Target, bool) {
	t, ok := f.Target(run[:max(0, strings.LastIndexByte(run, '@'))])
	return t, ok && runOf(t) == run
}

// roomOf returns the memory of an engine that large requests may take. The caller must hold c.mu.
func (c *Coordinator) roomOf(now time.Duration, t fleet.Target) kvmemory.Room {
	spec := c.fleetView.Config().Services[t.Service].Engine
	if spec == nil || t.Draining {
		return kvmemory.Room{}
	}
	_, large := c.memory.ledger.Used(now, runOf(t))
	return kvmemory.RoomFor(spec.KVTokens, slotsOf(spec, t), c.totals.load[t.ID]-large)
}
