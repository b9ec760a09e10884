package coordinator

import (
	"context"
	"reflect"
	"slices"
	"time"

	"buckthornseam.dev/coord/crashcause"
	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/coord/swap"
)

// RemovedTargetTTL is how long hosts are told of a target that was removed from the list.
// They read the list themselves only every few seconds, and at once after a longer absence.
const RemovedTargetTTL = 12 * time.Second

// trackRemovedTargets records the targets that were removed from the list.
func (c *Coordinator) trackRemovedTargets(now time.Duration) {
	byID := c.fleetView.Targets().ByID
	for id := range c.listedTargets {
		if _, ok := byID[id]; !ok {
			c.removedTargets[id] = now
			delete(c.listedTargets, id)
		}
	}
	for id := range byID {
		c.listedTargets[id] = true
		delete(c.removedTargets, id)
	}
	for id, at := range c.removedTargets {
		if now-at > RemovedTargetTTL {
			delete(c.removedTargets, id)
		}
	}
}

func (c *Coordinator) storeAge() *StoreAge {
	config, targets := c.freshness()
	now := c.now()
	age := &StoreAge{
		Config: config.Copy.Revision, Digest: config.Copy.Digest, ConfigAgeMS: (now - config.CurrentAt).Milliseconds() + 1,
		Targets: targets.Copy.Digest, TargetAgeMS: (now - targets.CurrentAt).Milliseconds() + 1,
		Era: c.eras.Current(), // read last: the copies may be of this era or an earlier one
	}
	for id := range c.removedTargets {
		age.Unusable = append(age.Unusable, id)
	}
	for id, t := range targets.Copy.ByID {
		if t.Draining {
			age.Unusable = append(age.Unusable, id)
		}
	}
	slices.Sort(age.Unusable)
	return age
}

// versionedUpdate is the current update of an engine for the hosts.
type versionedUpdate struct {
	update  EngineUpdate
	version uint64 // value of Coordinator.updateVersion when it last changed
	owned   bool   // the engine has had an owner; otherwise hosts can use its check-in
	// detailsVersion is the version at which anything changed that ReadyOnly leaves out.
	detailsVersion uint64
}

// forHost returns the update for a host that was last sent the given version; 0: none.
func (v versionedUpdate) forHost(sent uint64) EngineUpdate {
	if sent == 0 || sent < v.detailsVersion {
		return v.update
	}
	return EngineUpdate{ID: v.update.ID, Ready: v.update.Ready, ReadyOnly: true}
}

// sameDetails reports whether an update that follows another one may be sent with ReadyOnly.
func sameDetails(old, u EngineUpdate) bool {
	if old.Owner != u.Owner || old.StartedMS != u.StartedMS {
		return false
	}
	for _, model := range u.Ready {
		before := old.Adapters[model]
		if !slices.Contains(old.Ready, model) {
			before = nil
		}
		if !slices.Equal(before, u.Adapters[model]) {
			return false
		}
	}
	return true
}

// refreshUpdates recomputes the updates of all engines if anything changed.
func (c *Coordinator) refreshUpdates() {
	config, targets := c.fleetView.Config(), c.fleetView.Targets()
	if !c.updatesStale && targets == c.updateTargets && config == c.updateConfig {
		return
	}
	c.updatesStale, c.updateTargets, c.updateConfig = false, targets, config
	owners := c.owners()
	for id, t := range targets.ByID {
		if config.Services[t.Service].Engine == nil {
			continue
		}
		old := c.engineUpdates[id]
		update := updateOf(c.view(t, owners))
		if old.version > 0 && reflect.DeepEqual(old.update, update) {
			continue
		}
		c.updateVersion++
		next := versionedUpdate{update: update, version: c.updateVersion, owned: old.owned || owners[id] != "", detailsVersion: c.updateVersion}
		if old.owned && sameDetails(old.update, update) {
			next.detailsVersion = old.detailsVersion
		}
		c.engineUpdates[id] = next
	}
	for id := range c.engineUpdates {
		if _, ok := targets.ByID[id]; !ok {
			delete(c.engineUpdates, id)
		}
	}
}

// pushUpdates immediately sends updates to the hosts whose requests wait for them. The
// other hosts receive them in the reply to their next report. Until then they may send
// requests to an engine in vain, but only for models that are rarely requested.
func (c *Coordinator) pushUpdates(ctx context.Context) {
	c.refreshUpdates()
	for name, h := range c.hosts {
		if h.pushing || len(h.waiting) == 0 || h.updateVersion == c.updateVersion || !c.newlyServed(h) {
			continue
		}
		update := c.updateFor(name, h, false)
		if len(update.Engines) == 0 {
			continue
		}
		h.pushing = true
		go func() {
			ctx, cancel := context.WithTimeout(ctx, updateTimeout)
			defer cancel()
			err := c.calls.Call(ctx, name, methodUpdate, update, nil)
			c.mu.Lock()
			defer c.mu.Unlock()
			h.pushing = false
			if err != nil {
				clear(h.sentVersions) // the host may have received none of it
				clear(h.sentFailures)
				h.sentParts, h.sentLimits, h.sentTargets, h.sentCold = crashcause.Cursor{}, 0, 0, 0
				h.updateVersion = 0
			}
		}()
	}
}

// newlyServed reports whether an engine has a model that a host's requests wait for, and
// the host has not been told.
func (c *Coordinator) newlyServed(h *hostState) bool {
	for _, w := range h.waiting {
		for _, id := range c.updateTargets.ByService[w.Service] {
			t := c.engineUpdates[id]
			if t.version > h.sentVersions[id] && slices.Contains(t.update.Ready, w.Model) {
				return true
			}
		}
	}
	return false
}

// updateOf returns the update of an engine for the hosts.
func updateOf(v EngineView) EngineUpdate {
	u := EngineUpdate{ID: v.ID, Owner: v.Owner, StartedMS: v.StartedMS}
	for model, m := range v.Models {
		if m.State != swap.Ready {
			continue
		}
		u.Ready = append(u.Ready, model)
		if len(m.Adapters) > 0 {
			if u.Adapters == nil {
				u.Adapters = map[string][]string{}
			}
			u.Adapters[model] = m.Adapters
		}
	}
	slices.Sort(u.Ready)
	return u
}

// updateFor returns the update for a host and records it as sent. Counts change with every
// request, so they are sent only in the replies to the host's reports.
func (c *Coordinator) updateFor(name string, h *hostState, counts bool) Update {
	var u Update
	c.refreshUpdates()
	if h.updateVersion != c.updateVersion {
		for id, t := range c.engineUpdates {
			if t.owned && t.version > h.sentVersions[id] {
				u.Engines = append(u.Engines, t.forHost(h.sentVersions[id]))
				h.sentVersions[id] = t.version
			}
		}
		for id := range h.sentVersions {
			if _, ok := c.engineUpdates[id]; !ok {
				delete(h.sentVersions, id)
			}
		}
		h.updateVersion = c.updateVersion
	}
	for id := range c.failureTimes {
		if !h.sentFailures[id] {
			h.sentFailures[id] = true
			u.EngineFailures = append(u.EngineFailures, id)
		}
	}
	if name != c.self {
		u.Parts = c.parts.changes(&h.sentParts, crashcause.ToHost)
		u.Limits, h.sentLimits = c.fleetView.limitChanges(h.sentLimits, permit.ToHost)
		u.LeavingTargets, h.sentTargets = c.fleetView.leavingChanges(h.sentTargets)
		u.Cold, h.sentCold = c.fleetView.coldChanges(h.sentCold, permit.ToHost)
	}
	u.Backlogs = c.totals.backlogsOf(h)
	u.BoundBacklogs = c.totals.boundBacklogsOf(u.Backlogs)
	if !counts {
		return u
	}
	u.StoreAge = c.storeAge()
	c.addEvacuations(u.StoreAge, name, h)
	u.Brittle, u.SlotLimits = c.brittleNow(), c.slotLimits()
	if newest := c.fleetView.NewestConfig(); newest != h.knownConfig {
		u.StoreAge.NewestConfig, h.knownConfig = &newest, newest
	}
	if c.isDeputy() {
		u.Coordinator = c.follows
		return u
	}
	c.addUse(&u, name, h)
	c.addMemory(&u, h)
	u.Reporting = len(c.hosts)
	u.Load = c.loadOfOthers(h)
	now := c.now()
	live, leaving, cutOff := c.liveHosts(name, now), c.lastLeaving(name, now), c.cutOffHosts()
	if !slices.Equal(live, h.sentLiveHosts) || !slices.Equal(leaving, h.sentLeaving) || !slices.Equal(cutOff, h.sentCutOff) {
		u.LiveHosts, u.LastLeaving, u.CutOffHosts = live, leaving, cutOff
		h.sentLiveHosts, h.sentLeaving, h.sentCutOff = live, leaving, cutOff
	}
	return u
}

// addUse adds the use of the other hosts to an update, unless none of them has reported since the last
// one: a coordinator that was cut off must not take their silence for no use.
func (c *Coordinator) addUse(u *Update, name string, h *hostState) {
	others := c.reports - h.reports
	if others == h.othersCount && len(c.hosts) > 1 {
		return
	}
	h.othersCount = others
	u.RemoteUse, u.UseEpoch = c.useOfOthers(h), h.useEpoch
	if !h.sentBalances && name != c.self {
		u.Balances, h.sentBalances = c.balances(), true
	}
}

// brittleNow returns the services of which a host said lately that their targets are brittle.
func (c *Coordinator) brittleNow() []string {
	var out []string
	for service, at := range c.brittleAt {
		if c.now()-at < brittleTTL {
			out = append(out, service)
		} else {
			delete(c.brittleAt, service)
		}
	}
	slices.Sort(out)
	return out
}

// cutOffHosts returns the hosts that have lost their way to all targets.
func (c *Coordinator) cutOffHosts() []string {
	var out []string
	for host, h := range c.hosts {
		if h.cutOff {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// minLoadChange is the smallest change of a target's load that is sent to hosts. A change
// to 0 is always sent.
const minLoadChange = 2

// loadOfOthers returns the number of requests of the other hosts at each target for which
// it changed.
func (c *Coordinator) loadOfOthers(h *hostState) map[string]int {
	out := map[string]int{}
	for id, n := range c.totals.load {
		n -= h.load[id]
		if d := n - h.sentLoad[id]; d >= minLoadChange || d <= -minLoadChange || (n == 0 && d != 0) {
			out[id], h.sentLoad[id] = n, n
		}
	}
	for id, n := range h.sentLoad {
		if _, any := c.totals.load[id]; n > 0 && !any {
			out[id], h.sentLoad[id] = 0, 0
		}
	}
	return out
}

// useOfOthers returns the use of the other hosts by each team for which it changed.
func (c *Coordinator) useOfOthers(h *hostState) map[string]float64 {
	out := map[string]float64{}
	for team, n := range c.totals.use {
		n -= h.countedUse[team]
		if h.sentUse[team] != n {
			h.sentUse[team] = n
			out[team] = n
		}
	}
	return out
}
