package coordinator

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/coord/slots"
	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/panics"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// Times of the coordinator.
const (
	minPlanDelay     = 3 * time.Millisecond   // combines reports that arrive together
	planDelayPerHost = 60 * time.Microsecond  // so that a large fleet's reports cause no more than some fifty plans a second
	planInterval     = 100 * time.Millisecond // for changes that only depend on the time
	updateTimeout    = 500 * time.Millisecond
	rateWindow       = 2 * time.Second                                  // of arrival rates; the hot models change every ten seconds
	moveExpiry       = 12 * time.Second                                 // for a move whose owner does not report its end
	storeMoveExpiry  = unloadTimeout + storeLoadTimeout + 2*time.Second // of a move that loads from the weight store
	ownRetryInterval = 700 * time.Millisecond
	ownReportDelay   = 600 * time.Millisecond // after the first report, so that all hosts can report what they own
	ownClaimPause    = time.Second            // added after a failure, since another owner's lease may still be valid: each attempt costs store calls
	commandTimeout   = 2 * time.Second
)

// Coordinator plans swaps from the reports of hosts. Every host runs one; it is active
// while hosts report to it.
type Coordinator struct {
	self        string
	freshness   FreshnessFunc
	balances    func() map[string]float64
	eras        *platform.Eras // of the store
	firstBoot   bool           // the whole system is starting for the first time
	fleetView   *FleetView
	calls       peer.Caller
	parts       *PartFailures
	now         func() time.Duration
	log         logrus.FieldLogger
	wakeup      chan struct{}
	activeSince time.Duration

	mu           sync.Mutex
	follows      string // the host that this one reports to; empty: itself or none
	hosts        map[string]*hostState
	moves        map[string]*move // by engine
	rates        map[modelKey]*rate
	boundRates   boundRates
	activity     activity
	holders      map[string]string        // by engine, the host that owns it according to the store; asked next
	ownAskedAt   map[string]time.Duration // by engine, when a host was last asked to own it
	released     map[string]release       // engines whose owner released them in a planned stop
	failureTimes map[string]time.Duration
	reports      uint64 // received from all hosts
	moveIDBase   uint64 // random, so that move IDs of different coordinators differ
	moveCount    uint64

	removedTargets map[string]time.Duration // targets that were removed from the list, and when
	listedTargets  map[string]bool          // targets that are on the list

	totals        totals
	engineUpdates map[string]versionedUpdate // current update of each engine
	updateVersion uint64                     // increases with each change of engineUpdates
	updatesStale  bool                       // engineUpdates must be recomputed
	updateTargets *fleet.Targets             // that engineUpdates was computed from
	updateConfig  *fleet.Config

	readySince map[runKey]time.Duration // by copy, when it became ready
	storeLimit storeLoadLimit
	permits    permitIssuer  // of targets that name a limit or are cold
	slots      *slots.Ledger // of brittle targets
	memory     memoryLedger
	brittleAt  map[string]time.Duration // by service, when a host last said that its targets are brittle
}

// NewCoordinator returns a coordinator that is inactive until a host reports to it.
func NewCoordinator(self string, fleetView *FleetView, calls peer.Caller, parts *PartFailures, freshness FreshnessFunc, firstBoot bool, now func() time.Duration, log logrus.FieldLogger) *Coordinator {
	return &Coordinator{
		self: self, freshness: freshness, balances: func() map[string]float64 { return nil }, eras: &platform.Eras{}, firstBoot: firstBoot, removedTargets: map[string]time.Duration{}, listedTargets: map[string]bool{}, fleetView: fleetView, calls: calls, parts: parts, now: now, log: log, wakeup: make(chan struct{}, 1), activeSince: now(),
		hosts: map[string]*hostState{}, moves: map[string]*move{}, rates: map[modelKey]*rate{}, boundRates: boundRates{},
		holders: map[string]string{}, ownAskedAt: map[string]time.Duration{}, released: map[string]release{}, failureTimes: map[string]time.Duration{}, moveIDBase: rand.Uint64() &^ (1<<24 - 1),
		storeLimit: newStoreLoadLimit(), readySince: map[runKey]time.Duration{}, totals: newTotals(), engineUpdates: map[string]versionedUpdate{},
		permits: newPermitIssuer(now()), slots: slots.NewLedger(), memory: newMemoryLedger(), brittleAt: map[string]time.Duration{},
	}
}

// ShareBalances sets the function that returns this host's balances of quotas, by team, for hosts that
// report for the first time. It must be called before Run.
func (c *Coordinator) ShareBalances(balances func() map[string]float64) { c.balances = balances }

// ShareEras sets where the eras of the store are kept that hosts tell each other. It must be called before Run.
func (c *Coordinator) ShareEras(eras *platform.Eras) { c.eras = eras }

// Register registers the method by which hosts report.
func (c *Coordinator) Register(r peer.Registrar) {
	r.Handle(methodReport, func(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
		var report Report
		if err := json.Unmarshal(params, &report); err != nil {
			return nil, err
		}
		return c.Report(from.Name, report), nil
	})
	c.registerPermits(r)
	c.registerSlots(r)
	c.registerMemory(r)
}

// Report applies a host's report and returns the update for that host.
func (c *Coordinator) Report(host string, r Report) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.activity.tick(c.now())
	h := c.hosts[host]
	if h == nil || h.incarnation != r.Incarnation || r.Full {
		if !r.Full {
			return Update{UnknownHost: true}
		}
		h = c.registerHost(host, r)
	}
	if r.Leaving && !h.leaving {
		h.leavingSince = now
	}
	c.reports++
	h.reports++
	h.reportedAt, h.waitingAt, h.unreachable, h.leaving, h.cutOff = now, now, r.Unreachable, r.Leaving, r.CutOff
	c.totals.setWaiting(h, r.Waiting)
	for _, rc := range r.Running {
		c.totals.setRunning(h, runKey{rc.Engine, rc.Model}, rc.N)
	}
	for _, a := range r.Arrivals {
		c.rate(modelKey{a.Service, a.Model}).add(a.N, now)
		c.boundRates.add(modelKey{a.Service, a.Model}, a.Bound, now)
	}
	for team, n := range r.LocalUse {
		c.totals.addUse(h, team, n)
	}
	c.updatesStale = c.updatesStale || len(r.Owned) > 0
	for _, v := range r.Owned {
		if r.Leaving && h.owned[v.ID].FromOwner && !v.FromOwner {
			c.released[v.ID] = release{host: host, at: now}
		}
		h.owned[v.ID] = v
		if m := c.moves[v.ID]; m != nil && !v.Busy && v.LastMove == m.id {
			if _, ready := v.Models[m.command.Load]; ready && m.fullSpeedTime > 0 {
				c.storeLimit.observe(now-m.began, m.fullSpeedTime, m.concurrent)
			}
			delete(c.moves, v.ID)
		}
	}
	for _, id := range r.EngineFailures {
		c.failureTimes[id] = now
	}
	c.eras.Learn(r.Era)
	c.takeEvacuations(host, h, r)
	for _, service := range r.Brittle {
		c.brittleAt[service] = now
	}
	c.slots.Set(host, r.SlotsHeld) // a slot granted while the report was on its way counts again from the next one on
	c.reportMemory(host, r)
	if r.Config != nil {
		if host != c.self {
			c.fleetView.RecordConfig(host, *r.Config)
		}
		h.knownConfig = *r.Config
	}
	if host != c.self {
		c.parts.mergeReport(host, r.Parts)
		c.fleetView.mergeLimits(r.Limits, false)
		c.fleetView.mergeLeaving(r.LeavingTargets)
		c.fleetView.mergeCold(r.Cold, permit.FromHost)
	}
	c.permits.members.Report(now, host, r.Full)
	c.wake()
	return c.updateFor(host, h, true)
}

func (c *Coordinator) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Run plans until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wakeup:
			time.Sleep(c.planDelay())
		case <-tick.C:
		}
		c.step(ctx)
	}
}

// Follow tells which host has replied to this one's report as the coordinator, perhaps itself;
// empty: none.
func (c *Coordinator) Follow(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follows = host
	if host == c.self {
		c.follows = ""
	}
}

// isDeputy reports whether this host reports to another one, so that those that report here have
// lost that one for the moment. In a large fleet there is such a host at almost any time.
func (c *Coordinator) isDeputy() bool { return c.follows != "" && c.hosts[c.self] == nil }

// planDelay returns how long to wait for further reports before a plan.
func (c *Coordinator) planDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return minPlanDelay + time.Duration(len(c.hosts))*planDelayPerHost
}

func (c *Coordinator) step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	defer panics.Recover(c.log, "planning", nil) // what hosts report may be wrong in a way that was not thought of
	now := c.activity.tick(c.now())
	c.expire(now)
	c.trackRemovedTargets(now)
	c.listMembers(now)
	if len(c.hosts) == 0 {
		c.activeSince = now
		return
	}
	// A deputy doesn't know the owners, which report to the coordinator; if it becomes the
	// coordinator, they need time to report here. It plans the moves of engines whose owners do
	// report here, as these may be cut off from the coordinator.
	if c.isDeputy() {
		c.activeSince = now
	}
	c.stepMemory(ctx, now)
	if now-c.activeSince > c.ownershipDelay() {
		c.assignOwners(ctx, now)
	}
	for service, spec := range c.fleetView.Config().Services {
		if spec.Engine != nil {
			c.planService(ctx, service, spec, now)
		}
	}
	c.pushUpdates(ctx)
}

// ownershipDelay returns how long the coordinator waits for reports before it assigns
// owners. When the whole system starts for the first time, the lists of hosts are still
// incomplete, so several hosts may act as the coordinator. After a restart of all hosts, each of them acts as one until
// it reaches another: if all assigned the engines, each would read and claim the lease of every engine.
func (c *Coordinator) ownershipDelay() time.Duration {
	if c.firstBoot && len(c.owners()) == 0 || len(c.hosts) < int(ownersQuorum*float64(len(c.fleetView.Hosts()))) {
		return ownReportDelay + joinWait
	}
	return ownReportDelay
}

// ownersQuorum is the share of the known hosts whose reports a coordinator awaits before it assigns owners without further
// delay. Fewer may be all that are left.
const ownersQuorum = 0.25

// engineFailureTTL is how long an engine failure during a request is remembered.
const engineFailureTTL = 60 * time.Second

// expire drops silent hosts, moves whose end was not reported, and old engine failures.
func (c *Coordinator) expire(now time.Duration) {
	for name, h := range c.hosts {
		if now-h.reportedAt > hostTimeout {
			c.dropHost(name)
			c.keepMovesOf(name, h.reportedAt+silentMoveTime)
			c.log.WithFields(logrus.Fields{"event": "host_silent", "peer": name, "silent_ms": (now - h.reportedAt).Milliseconds()}).Warn("host stopped reporting")
		}
	}
	for engine, m := range c.moves {
		if now > m.expires || m.silentUntil > 0 && now > m.silentUntil {
			delete(c.moves, engine)
			c.updatesStale = true
			c.log.WithFields(logrus.Fields{"event": "move_forgotten", "move": m.id, "engine": engine}).Warn("owner did not report the end of the move")
		}
	}
	for id, at := range c.failureTimes {
		if now-at > engineFailureTTL {
			delete(c.failureTimes, id)
		}
	}
	c.permits.issuer.Expire(now)
	listed := c.fleetView.Targets().ByID
	c.slots.Expire(func(target string) bool { _, ok := listed[target]; return ok })
}

// registerHost adds the host of a full report. Its use before the first report to this
// coordinator is not counted, since the other hosts would take it for new use.
func (c *Coordinator) registerHost(host string, r Report) *hostState {
	h := newHostState(r.Incarnation)
	if old := c.hosts[host]; old != nil && old.incarnation == r.Incarnation {
		h.use, h.countedUse, h.useEpoch, h.sentBalances = old.use, old.countedUse, old.useEpoch, old.sentBalances
	} else {
		maps.Copy(h.use, r.LocalUse)
	}
	c.dropHost(host)
	c.hosts[host] = h
	c.keepMovesOf(host, 0)
	c.updatesStale = true
	return h
}

// dropHost removes a host and its reported state.
func (c *Coordinator) dropHost(name string) {
	h := c.hosts[name]
	if h == nil {
		return
	}
	for id, v := range h.owned {
		if h.leaving && v.FromOwner {
			c.released[id] = release{host: name, at: c.now()}
		}
	}
	c.totals.remove(h)
	c.slots.Drop(name)
	delete(c.hosts, name)
	c.updatesStale = true
}

// owners returns the owners of engines by engine.
func (c *Coordinator) owners() map[string]string {
	out := map[string]string{}
	for name, h := range c.hosts {
		for id, v := range h.owned {
			if v.FromOwner {
				out[id] = name
			}
		}
	}
	return out
}

// view returns the newest view of an engine, including the move in progress.
func (c *Coordinator) view(t fleet.Target, owners map[string]string) EngineView {
	v := viewOfTarget(t)
	if host, ok := owners[t.ID]; ok {
		if owned := c.hosts[host].owned[t.ID]; owned.StartedMS == t.StartedMS {
			v = owned
		}
	}
	v.Owner = owners[t.ID]
	m := c.moves[t.ID]
	if m == nil {
		return v
	}
	v.Models = cloneModels(v.Models)
	for _, model := range m.command.Unload {
		if mv, ok := v.Models[model]; ok {
			mv.State = swap.Draining
			v.Models[model] = mv
		}
	}
	if mv, ok := v.Models[m.command.Load]; m.command.Load != "" && (!ok || mv.State == swap.Loading) {
		v.Models[m.command.Load] = ModelView{State: swap.Loading}
	}
	v.Busy = true
	return v
}
