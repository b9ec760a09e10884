package steer

import (
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

// assignOwners asks hosts to own the engines that nobody owns.
func (c *Coordinator) assignOwners(ctx context.Context, now time.Duration) {
	owners := c.owners()
	count := map[string]int{}
	for _, host := range owners {
		count[host]++
	}
	config, targets := c.board.Config(), c.board.Targets()
	share := enginesPerOwner(c.engines())
	for id, t := range targets.ByID {
		if config.Services[t.Service].Engine == nil || t.Draining || owners[id] != "" || now-c.owning[id] < ownRetry {
			continue
		}
		host := c.holders[id]
		delete(c.holders, id) // asked once; a host of that name on another machine is not the holder
		if c.hosts[host] == nil {
			host = c.leastOwner(t.Zone, count, share)
		}
		if host == "" {
			continue
		}
		count[host]++
		c.owning[id] = now
		go c.askToOwn(ctx, host, id)
	}
	for id := range c.owning {
		if _, ok := targets.ByID[id]; !ok {
			delete(c.owning, id)
		}
	}
}

// Bounds of how many engines a host owns before another one begins. Each owner
// renews a lease in the store, whose calls are priced; the loss of one owner stops
// the swaps of its engines for the life of its lease.
const (
	leastPerOwner = 2
	mostPerOwner  = 4    // more would keep small hosts busy with orders
	ownerShare    = 0.05 // of all engines
)

func enginesPerOwner(engines int) int {
	return min(mostPerOwner, max(leastPerOwner, int(ownerShare*float64(engines))))
}

// engines returns the number of registered engines.
func (c *Coordinator) engines() int {
	n, config := 0, c.board.Config()
	for service, ids := range c.board.Targets().ByService {
		if config.Services[service].Engine != nil {
			n += len(ids)
		}
	}
	return n
}

// leastOwner returns the host with the fewest engines, one of the zone if that
// does not make it own more than others. A host that owns none yet is chosen
// only if the owners have their share.
func (c *Coordinator) leastOwner(zone string, count map[string]int, share int) string {
	best, bestScore := "", math.Inf(1)
	for name, h := range c.hosts {
		if h.leaving {
			continue
		}
		score := float64(count[name])
		if count[name] == 0 {
			score = float64(share) - 0.75
		}
		host, ok := c.board.Host(name)
		if ok && host.Zone != zone {
			score += 0.5
		}
		if score < bestScore || (score == bestScore && name < best) {
			best, bestScore = name, score
		}
	}
	return best
}

func (c *Coordinator) askToOwn(ctx context.Context, host, engine string) {
	ctx, cancel := context.WithTimeout(ctx, ownTimeout)
	defer cancel()
	err := c.calls.Call(ctx, host, methodOwn, OwnCommand{Engine: engine}, nil)
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "owner_not_found", "engine": engine, "asked": host}).Info(err.Error())
		c.notOwned(engine, host, err)
		return
	}
	c.wake()
}

// notOwned takes in why a host did not become an engine's owner. If another one
// holds it and reports here, that one is asked next, at once.
func (c *Coordinator) notOwned(engine, asked string, err error) {
	var remote *peer.RemoteError
	if !errors.As(err, &remote) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owning[engine] = c.now() + ownPause
	if remote.Code != codeOwnedElsewhere {
		return
	}
	holder := hostOfHolder(remote.Message)
	if _, live := c.hosts[holder]; live && holder != asked {
		c.holders[engine] = holder
		c.owning[engine] = 0
		c.wake()
	}
}

// planService plans and begins the moves of one service's engines.
func (c *Coordinator) planService(ctx context.Context, service string, spec fleet.Service, now time.Duration) {
	owners := c.owners()
	state := swap.State{Now: now, Models: modelsOf(spec.Engine), Demands: c.demands(service, now)}
	dark := c.dark()
	for _, id := range c.board.Targets().ByService[service] {
		t := c.board.Targets().ByID[id]
		if t.Draining {
			continue
		}
		v := c.view(t, owners)
		e := swap.Engine{
			ID: id, CapacityMB: spec.Engine.CapacityMB - adapterRoom(spec.Engine), Slots: spec.Engine.Slots, Serves: !dark[id],
			Copies: map[string]swap.Copy{}, OnDisk: set(t.OnDisk), InMemory: set(t.InMemory),
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
	options.NoStoreLoads = now-c.began < storeSettle
	options.MaxStoreLoads = c.storePace.most
	for _, m := range swap.Plan(state, options) {
		if m.Source == swap.FromStore {
			state.StoreLoads++
			c.noteStoreLoads(state.StoreLoads)
		}
		c.begin(ctx, m, owners[m.Engine], now, state.Demands[m.Load])
		if m.Source == swap.FromStore {
			c.moves[m.Engine].storeTime, c.moves[m.Engine].beside = state.Models[m.Load].Load[swap.FromStore], state.StoreLoads
		}
	}
}

// storeSettle is how long a new coordinator orders no load from the weight
// store: until it has heard of those under way, and others that took themselves
// for the coordinator have found it.
const storeSettle = 2 * time.Second

// loadsFromStore reports whether an engine loads from the weight store: by a
// move of this coordinator, by the order of an owner that is gone, or by a move
// of the coordinator before, which shows as a load of a model that is not on the
// engine's disk.
func (c *Coordinator) loadsFromStore(t fleet.Target, v EngineView) bool {
	if m := c.moves[t.ID]; m != nil {
		return m.command.Source == swap.FromStore
	}
	for model, mv := range v.Models {
		if mv.State == swap.Loading && !slices.Contains(t.OnDisk, model) && !slices.Contains(t.InMemory, model) {
			return true
		}
	}
	return v.Unasked
}

// adapterRoom returns the memory kept free for adapters at an engine.
func adapterRoom(spec *fleet.EngineSpec) float64 {
	most := 0.0
	for _, m := range spec.Models {
		if m.Adapters > 0 {
			most = max(most, m.AdapterMB)
		}
	}
	return most * float64(spec.AdapterSlots)
}

func modelsOf(spec *fleet.EngineSpec) map[string]swap.Model {
	out := make(map[string]swap.Model, len(spec.Models))
	for name, m := range spec.Models {
		out[name] = swap.Model{SizeMB: m.SizeMB, Load: [3]time.Duration{m.MemoryLoad, m.DiskLoad, m.StoreLoad}}
	}
	return out
}

func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// demands gathers what is asked of the models of a service.
func (c *Coordinator) demands(service string, now time.Duration) map[string]swap.Demand {
	out := map[string]swap.Demand{}
	for key, r := range c.rates {
		if key.service == service {
			out[key.model] = swap.Demand{Rate: r.value(now)}
		}
	}
	for _, h := range c.hosts {
		for _, w := range h.wants {
			if w.Service != service {
				continue
			}
			d := out[w.Model]
			due := h.wantsAt + time.Duration(w.DueMS)*time.Millisecond
			if d.Waiting == 0 || due < d.Due {
				d.Due = due
			}
			d.Waiting += w.Waiting
			out[w.Model] = d
		}
	}
	return out
}

// darkShare is the share of hosts that must miss a target before it counts as
// gone: a host may have lost its own way.
const darkShare = 0.25

// dark returns the targets that several hosts can't reach.
func (c *Coordinator) dark() map[string]bool {
	count := map[string]int{}
	for _, h := range c.hosts {
		for _, id := range h.dark {
			count[id]++
		}
	}
	out := map[string]bool{}
	for id, n := range count {
		out[id] = n >= max(2, int(darkShare*float64(len(c.hosts))))
	}
	return out
}

// readyAt remembers when a copy became ready.
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

func (c *Coordinator) begin(ctx context.Context, m swap.Move, owner string, now time.Duration, d swap.Demand) {
	c.move++
	id := c.series + c.move
	bound := moveForgotten
	if m.Source == swap.FromStore {
		bound = storeMoveMost
	}
	cmd := SwapCommand{Move: id, Engine: m.Engine, Unload: m.Unload, Load: m.Load, Source: m.Source}
	c.stale = true
	c.moves[m.Engine] = &move{id: id, owner: owner, command: cmd, began: now, until: now + bound}
	c.log.WithFields(logrus.Fields{"event": "move_planned", "move": id, "engine": m.Engine, "owner": owner, "unload": m.Unload, "load": m.Load,
		"source": m.Source, "waiting": d.Waiting, "due_ms": (d.Due - now).Milliseconds(), "rate": d.Rate}).Info("swap decided")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, ownTimeout)
		defer cancel()
		err := c.calls.Call(ctx, owner, methodSwap, cmd, nil)
		if err == nil {
			return
		}
		c.log.WithFields(logrus.Fields{"event": "move_refused", "move": id, "engine": m.Engine, "owner": owner}).Warn(err.Error())
		var lost *peer.LostError
		if errors.As(err, &lost) {
			return // it may be carried out: the owner's view tells
		}
		c.mu.Lock()
		if cur := c.moves[m.Engine]; cur != nil && cur.id == id {
			cur.until = c.now() + ownRetry // not at once: the owner would refuse again
		}
		c.mu.Unlock()
	}()
}
