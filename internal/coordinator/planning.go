package coordinator

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

// assignOwners asks hosts to own the engines that have no owner.
func (c *Coordinator) assignOwners(ctx context.Context, now time.Duration) {
	owners := c.owners()
	count := map[string]int{}
	for _, host := range owners {
		count[host]++
	}
	config, targets := c.fleetView.Config(), c.fleetView.Targets()
	perOwner := enginesPerOwner(c.engineCount())
	for id, t := range targets.ByID {
		if config.Services[t.Service].Engine == nil || t.Draining || owners[id] != "" || now-c.ownAskedAt[id] < ownRetryInterval {
			continue
		}
		returning, wait := c.returningOwner(id, now)
		if wait {
			continue
		}
		host := cmp.Or(returning, c.holders[id])
		delete(c.holders, id) // asked only once, since a host of that name on another machine does not hold the lease
		if h := c.hosts[host]; h == nil || h.cutOff {
			host = c.chooseOwner(t.Zone, count, perOwner)
		}
		if host == "" {
			continue
		}
		count[host]++
		c.ownAskedAt[id] = now
		go c.askToOwn(ctx, host, id)
	}
	for id := range c.ownAskedAt {
		if _, ok := targets.ByID[id]; !ok {
			delete(c.ownAskedAt, id)
		}
	}
	for id := range c.released {
		if _, ok := targets.ByID[id]; !ok {
			delete(c.released, id)
		}
	}
}

// release is the end of the ownership of an engine in a planned stop.
type release struct {
	host string
	at   time.Duration
}

// returnWait is how long the coordinator waits for the next process on the machine of an
// owner that was stopped. That process may order its engines at once, whereas another owner
// has to wait for the platform's time between two holders.
const returnWait = 2 * time.Second

// returningOwner returns the host that released an engine if it is back, and whether it may
// still come back.
func (c *Coordinator) returningOwner(engine string, now time.Duration) (host string, wait bool) {
	r, ok := c.released[engine]
	if !ok {
		return "", false
	}
	h := c.hosts[r.host]
	back := h != nil && !h.leaving
	if !back && now-r.at < returnWait {
		return "", true
	}
	delete(c.released, engine)
	if back {
		return r.host, false
	}
	return "", false
}

// Limits of the number of engines that a host owns before another host becomes an owner.
// Each owner renews a lease in the store, whose calls are charged. The loss of an owner
// stops the swaps of its engines until its lease has ended.
const (
	minEnginesPerOwner  = 2
	maxEnginesPerOwner  = 8    // more orders would overload small hosts
	engineSharePerOwner = 0.05 // of all engines
)

// weightBonus prefers hosts with a larger CPU share as owners, in engines for a whole core.
const weightBonus = 0.5

func enginesPerOwner(engines int) int {
	return min(maxEnginesPerOwner, max(minEnginesPerOwner, int(engineSharePerOwner*float64(engines))))
}

// engineCount returns the number of registered engines.
func (c *Coordinator) engineCount() int {
	n, config := 0, c.fleetView.Config()
	for service, ids := range c.fleetView.Targets().ByService {
		if config.Services[service].Engine != nil {
			n += len(ids)
		}
	}
	return n
}

// chooseOwner returns the host with the fewest engines, preferring one in the same zone if
// several have equally few. A host without engines becomes an owner only when the others
// have about perOwner engines each.
func (c *Coordinator) chooseOwner(zone string, count map[string]int, perOwner int) string {
	best, bestScore := "", math.Inf(1)
	for name, h := range c.hosts {
		if h.leaving || h.cutOff {
			continue
		}
		score := float64(count[name])
		if count[name] == 0 {
			score = float64(perOwner) - 0.75
		}
		host, ok := c.fleetView.Host(name)
		if ok && host.Zone != zone {
			score += 0.5
		}
		score -= weightBonus * host.Weight
		if score < bestScore || (score == bestScore && name < best) {
			best, bestScore = name, score
		}
	}
	return best
}

func (c *Coordinator) askToOwn(ctx context.Context, host, engine string) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	err := c.calls.Call(ctx, host, methodOwn, OwnCommand{Engine: engine}, nil)
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "owner_not_found", "engine": engine, "asked": host}).Info(err.Error())
		c.ownFailed(engine, host, err)
		return
	}
	c.wake()
}

// ownFailed handles the failure of a host to become the owner of an engine. If another
// host that reports here owns it, that host is asked immediately.
func (c *Coordinator) ownFailed(engine, asked string, err error) {
	var remote *peer.RemoteError
	if !errors.As(err, &remote) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ownAskedAt[engine] = c.now() + ownClaimPause
	if remote.Code != codeOwnedElsewhere {
		return
	}
	holder := hostOfHolder(remote.Message)
	if _, live := c.hosts[holder]; live && holder != asked {
		c.holders[engine] = holder
		c.ownAskedAt[engine] = 0
		c.wake()
	}
}

// planService plans and begins the moves of one service's engines.
func (c *Coordinator) planService(ctx context.Context, service string, spec fleet.Service, now time.Duration) {
	owners := c.owners()
	state := swap.State{Now: now, Models: modelsOf(spec.Engine), Demands: c.demands(service, now)}
	unreachable := c.unreachableTargets()
	for _, id := range c.fleetView.Targets().ByService[service] {
		t := c.fleetView.Targets().ByID[id]
		if t.Draining {
			continue
		}
		v := c.view(t, owners)
		e := swap.Engine{
			ID: id, Version: t.Version, Region: c.fleetView.Region(t.Zone), CapacityMB: spec.Engine.CapacityMB - adapterMemory(spec.Engine), Slots: spec.Engine.Slots,
			Serves: !unreachable[id] && !c.fleetView.Evacuated(t.Zone), Limit: c.fleetView.plannerLimit(t),
			Copies: map[string]swap.Copy{}, OnDisk: toSet(t.OnDisk), InMemory: toSet(t.InMemory),
			Busy: v.Busy || owners[id] == "",
		}
		for model, mv := range v.Models {
			e.Copies[model] = swap.Copy{State: mv.State, Running: c.totals.running[runKey{id, model}], ReadyAt: c.readyAt(id, model, mv.State, now)}
		}
		state.Engines = append(state.Engines, e)
		if c.loadsFromStore(t, v) {
			state.StoreLoads++
		}
	}
	options := swap.DefaultOptions()
	options.NoStoreLoads = now-c.activeSince < storeLoadDelay
	options.MaxStoreLoads = c.storeLimit.limit
	for _, m := range swap.Plan(state, options) {
		if m.Source == swap.FromStore {
			state.StoreLoads++
			c.recordConcurrency(state.StoreLoads)
		}
		c.beginMove(ctx, m, owners[m.Engine], now, state.Demands[m.Load])
		if m.Source == swap.FromStore {
			c.moves[m.Engine].fullSpeedTime, c.moves[m.Engine].concurrent = state.Models[m.Load].Load[swap.FromStore], state.StoreLoads
		}
	}
}

// storeLoadDelay is how long a new coordinator plans no loads from the weight store. By
// then it knows of the loads in progress, and hosts that took themselves for the
// coordinator report to it.
const storeLoadDelay = 2 * time.Second

// loadsFromStore reports whether an engine may be loading from the weight store: by a move
// of this coordinator, by an order of a lost owner, or by a move of the previous
// coordinator, which is visible as a load of a model that is not on the engine's disk.
func (c *Coordinator) loadsFromStore(t fleet.Target, v EngineView) bool {
	if m := c.moves[t.ID]; m != nil {
		return m.command.Source == swap.FromStore
	}
	for model, mv := range v.Models {
		if mv.State == swap.Loading && !slices.Contains(t.OnDisk, model) && !slices.Contains(t.InMemory, model) {
			return true
		}
	}
	return v.ForeignOrder
}

// adapterMemory returns the memory in MB that is kept free for adapters at an engine.
func adapterMemory(spec *fleet.EngineSpec) float64 {
	largest := 0.0
	for _, m := range spec.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}
	return largest * float64(spec.AdapterSlots)
}

func modelsOf(spec *fleet.EngineSpec) map[string]swap.Model {
	out := make(map[string]swap.Model, len(spec.Models))
	for name, m := range spec.Models {
		out[name] = swap.Model{SizeMB: m.SizeMB, Load: [3]time.Duration{m.MemoryLoad, m.DiskLoad, m.StoreLoad}}
	}
	return out
}

func toSet(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// demands returns the demand for each model of a service.
func (c *Coordinator) demands(service string, now time.Duration) map[string]swap.Demand {
	out := map[string]swap.Demand{}
	for key, r := range c.rates {
		if key.service == service {
			out[key.model] = swap.Demand{Rate: r.value(now)}
		}
	}
	for _, h := range c.hosts {
		for _, w := range h.waiting {
			if w.Service != service {
				continue
			}
			d := out[w.Model]
			due := h.waitingAt + time.Duration(w.DueMS)*time.Millisecond
			if d.Waiting == 0 || due < d.Due {
				d.Due = due
			}
			d.Waiting += w.Count
			for version, n := range w.CountAt {
				if d.WaitingAt == nil {
					d.WaitingAt = map[string]int{}
				}
				d.WaitingAt[version] += n
			}
			out[w.Model] = d
		}
	}
	c.addBoundDemand(service, out, now)
	return out
}

// unreachableShare is the share of hosts that must report a target as unreachable before it
// counts as such, since the fault may be in the network of a single host.
const unreachableShare = 0.25

// unreachableTargets returns the targets that enough hosts report as unreachable.
func (c *Coordinator) unreachableTargets() map[string]bool {
	count := map[string]int{}
	for _, h := range c.hosts {
		for _, id := range h.unreachable {
			count[id]++
		}
	}
	out := map[string]bool{}
	for id, n := range count {
		out[id] = n >= max(2, int(unreachableShare*float64(len(c.hosts))))
	}
	return out
}

// readyAt records and returns when a copy became ready, or 0 if it is not ready.
func (c *Coordinator) readyAt(engine, model string, s swap.CopyState, now time.Duration) time.Duration {
	key := runKey{engine, model}
	if s != swap.Ready {
		delete(c.readySince, key)
		return 0
	}
	at, ok := c.readySince[key]
	if !ok {
		at = now
		c.readySince[key] = now
	}
	return at
}

func (c *Coordinator) beginMove(ctx context.Context, m swap.Move, owner string, now time.Duration, d swap.Demand) {
	c.moveCount++
	id := c.moveIDBase + c.moveCount
	expiry := moveExpiry
	if m.Source == swap.FromStore {
		expiry = storeMoveExpiry
	}
	cmd := SwapCommand{Move: id, Engine: m.Engine, Unload: m.Unload, Load: m.Load, Source: m.Source}
	c.updatesStale = true
	c.moves[m.Engine] = &move{id: id, owner: owner, command: cmd, began: now, expires: now + expiry}
	c.log.WithFields(logrus.Fields{"event": "move_planned", "move": id, "engine": m.Engine, "owner": owner, "unload": m.Unload, "load": m.Load,
		"source": m.Source, "waiting": d.Waiting, "due_ms": (d.Due - now).Milliseconds(), "rate": d.Rate}).Info("planned a move")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		err := c.calls.Call(ctx, owner, methodSwap, cmd, nil)
		if err == nil {
			return
		}
		c.log.WithFields(logrus.Fields{"event": "move_refused", "move": id, "engine": m.Engine, "owner": owner}).Warn(err.Error())
		var unknownOutcome *peer.UnknownOutcomeError
		if errors.As(err, &unknownOutcome) {
			return // the move may still be carried out, as the owner's view will show
		}
		c.mu.Lock()
		if cur := c.moves[m.Engine]; cur != nil && cur.id == id {
			cur.expires = c.now() + ownRetryInterval // not immediately, as the owner would refuse again
		}
		c.mu.Unlock()
	}()
}
