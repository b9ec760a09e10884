package coordinator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/crashcause"
	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// ClientOptions configure a Client.
type ClientOptions struct {
	Self        fleet.Host
	FleetView   *FleetView
	Owner       *Owner
	Coordinator *Coordinator // of this host, used while this host is the coordinator
	Calls       peer.Caller
	Parts       *PartFailures             // the same as the Coordinator's
	Eras        *platform.Eras            // of the store; nil: it names none
	CutOff      func() bool               // whether this host has lost its way to all targets; nil: it never has
	LocalUse    func() map[string]float64 // this host's quota use by team since its start
	// SetRemoteUse receives, after each report, the total use of all other hosts by team where it
	// changed, and with the first of an epoch the balances of the coordinator's host.
	SetRemoteUse func(epoch uint64, use, balances map[string]float64)
	Now          func() time.Duration
	Log          logrus.FieldLogger
}

// Client reports to the coordinator and applies its updates to the fleet view.
type Client struct {
	opts   ClientOptions
	wakeup chan struct{}

	mu                 sync.Mutex
	unreachableSince   map[string]time.Duration // hosts that did not reply, and since when
	currentCoordinator string                   // host that the last report went to
	sendFull           bool
	sentUse            map[string]float64
	sentOwned          map[string]EngineView
	sentParts          crashcause.Cursor
	sentLimits         uint64 // version of the limits that the coordinator was sent
	sentTargets        uint64 // version of the leaving targets that the coordinator was sent
	sentCold           uint64 // version of the cold targets that the coordinator was sent
	sentConfig         ConfigVersion
	sentEvacuations    uint64 // version of the list that the coordinator was sent, or has sent
	liveHosts          []string
	cutOffHosts        []string
	lastLeaving        []string      // if all hosts leave: those that leave last, the last one first
	listConfirmedAt    time.Duration // when a coordinator last sent liveHosts and lastLeaving, or left them as they were
	listAsOf           time.Duration // not later than the time at which the coordinator took that list
	previous           previousList
	lastReplyAt        time.Duration // when a coordinator last replied
	coordinatorSince   time.Duration // when currentCoordinator last changed
	reporting          int           // number of hosts that report to the coordinator, with those that leave
	reportingLately    int           // see CountedTogether
	failureTimes       map[string]time.Duration
	failureCounts      map[string]int
	pendingFailures    []string // IDs of engine failures to report
	leaving            bool
	freshness          StoreFreshness
	startedAt          time.Duration
}

// CoordinatorIsRemote reports whether another host is the coordinator. This host then need
// not read the store as often itself.
func (c *Client) CoordinatorIsRemote() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentCoordinator != "" && c.currentCoordinator != c.opts.Self.Name
}

// NewClient returns a Client that does nothing before Run.
func NewClient(opts ClientOptions) *Client {
	if opts.Eras == nil {
		opts.Eras = &platform.Eras{}
	}
	if opts.CutOff == nil {
		opts.CutOff = func() bool { return false }
	}
	c := &Client{
		opts: opts, startedAt: opts.Now(), wakeup: make(chan struct{}, 1), unreachableSince: map[string]time.Duration{}, sendFull: true,
		sentUse: map[string]float64{}, sentOwned: map[string]EngineView{}, failureTimes: map[string]time.Duration{}, failureCounts: map[string]int{},
	}
	opts.FleetView.requestReport = c.wake
	opts.Owner.changed = c.wake
	return c
}

// Register registers the methods that the coordinator and other hosts call.
func (c *Client) Register(r peer.Registrar) {
	r.Handle(methodUpdate, func(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var u Update
		if err := json.Unmarshal(params, &u); err != nil {
			return nil, err
		}
		c.applyUpdate(u)
		return struct{}{}, nil
	})
	r.Handle(methodPing, func(context.Context, peer.ID, json.RawMessage) (any, error) { return struct{}{}, nil })
}

func (c *Client) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// Leave tells the coordinator that this host accepts no more callers.
func (c *Client) Leave() {
	c.mu.Lock()
	c.leaving = true
	c.mu.Unlock()
	c.wake()
}

// CutOffHosts returns the hosts that have lost their way to all targets, as the coordinator last told.
func (c *Client) CutOffHosts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cutOffHosts
}

// CountedTogether returns how many hosts count the use of teams together with this one, including it, and
// how many did so at most since shortly before a change of coordinators: the new one hears of them one by
// one. Both are 0 if this host receives no reports.
func (c *Client) CountedTogether() (now, lately int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.opts.Now()-c.lastReplyAt >= hostTimeout {
		return 0, 0
	}
	return max(1, c.reporting), max(1, c.reportingLately)
}

// countTogether records how many hosts report to the coordinator. The caller must hold c.mu.
func (c *Client) countTogether(n int) {
	c.reporting = n
	if n >= c.reportingLately || c.opts.Now()-c.coordinatorSince >= hostTimeout {
		c.reportingLately = n
	}
}

// LastLeaving returns the hosts that leave last if all hosts leave, the last one first.
func (c *Client) LastLeaving() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastLeaving
}

// ReportEngineFailure reports that an engine failed during a request. The id comes from
// EngineFailureID.
func (c *Client) ReportEngineFailure(id string) {
	c.mu.Lock()
	c.pendingFailures = append(c.pendingFailures, id)
	c.mu.Unlock()
	c.wake()
}

// EngineFailures returns the known number of recent engine failures during requests with
// the given fingerprint.
func (c *Client) EngineFailures(fingerprint string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failureCounts[fingerprint]
}

// Run sends reports until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wakeup:
			time.Sleep(reportDelay)
		case <-timer.C:
		}
		c.report(ctx)
		c.opts.Parts.evaluate()
		c.logLimits()
		c.opts.FleetView.stepEvacuations()
		c.logCold()
		c.logNotices()
		timer.Reset(reportInterval)
	}
}

// timeoutOf returns how long to wait for the reply to a report. It grows with the fleet: all hosts
// report in full to a coordinator that is new to them at about the same time, and if those whose
// report takes long changed to another one, they would take its time as well.
func (c *Client) timeoutOf(r Report) time.Duration {
	return timeoutOf(r, len(c.opts.FleetView.Hosts()))
}

func timeoutOf(r Report, hosts int) time.Duration {
	perHost := reportTime
	if r.Full {
		perHost = fullReportTime
	}
	return reportTimeout + time.Duration(hosts)*perHost
}

func (c *Client) report(ctx context.Context) {
	c.mu.Lock()
	to := c.chooseCoordinator()
	if to == "" {
		c.mu.Unlock()
		return
	}
	if to != c.currentCoordinator {
		c.opts.Log.WithFields(logrus.Fields{"event": "coordinator_changed", "from": c.currentCoordinator, "to": to}).Info("reporting to another coordinator")
		c.currentCoordinator, c.coordinatorSince, c.sendFull = to, c.opts.Now(), true
		c.keepList()
	}
	c.mu.Unlock()
	r := c.nextReport(c.closedLedger(to))
	var u Update
	var err error
	began := c.opts.Now()
	if to == c.opts.Self.Name {
		u = c.opts.Coordinator.Report(to, r)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, c.timeoutOf(r))
		err = c.opts.Calls.Call(callCtx, to, methodReport, r, &u)
		cancel()
	}
	if err != nil {
		c.mu.Lock()
		c.unreachableSince[to] = c.opts.Now()
		c.sendFull = true
		c.pendingFailures = append(c.pendingFailures, r.EngineFailures...)
		c.mu.Unlock()
		c.opts.Coordinator.Follow("")
		c.opts.Log.WithFields(logrus.Fields{"event": "coordinator_lost", "peer": to}).Warn(err.Error())
		c.wake()
		return
	}
	c.applyUpdate(u)
	if u.StoreAge != nil {
		c.applyStoreAge(*u.StoreAge, began)
	}
	if u.Coordinator != "" {
		c.leaveDeputy(ctx, to, u.Coordinator)
		return
	}
	c.opts.Coordinator.Follow(to)
	if !u.UnknownHost {
		c.opts.FleetView.recordBrittleReports(u.Brittle)
		c.opts.FleetView.renewSlots(u.SlotLimits)
		c.applyMemory(u)
	}
	c.mu.Lock()
	c.sendFull = c.sendFull || u.UnknownHost
	c.lastReplyAt = c.opts.Now()
	if u.UnknownHost {
		c.keepList() // the coordinator has restarted
	} else {
		c.listConfirmedAt, c.listAsOf = c.lastReplyAt, began // an update without a list means that the last one still holds
	}
	c.mu.Unlock()
	if u.UnknownHost {
		c.wake()
	}
}

// nextReport returns the next report, with what closedLedger returned.
func (c *Client) nextReport(closed []LedgerCopy) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Report{Incarnation: c.opts.Self.Incarnation, Full: c.sendFull, EngineFailures: c.pendingFailures, Leaving: c.leaving, Era: c.opts.Eras.Current()}
	c.pendingFailures = nil
	if c.sendFull {
		clear(c.sentUse)
		clear(c.sentOwned)
		c.sentParts, c.sentLimits, c.sentTargets, c.sentCold, c.sentConfig, c.sentEvacuations = crashcause.Cursor{}, 0, 0, 0, ConfigVersion{}, 0
		c.sendFull = false
	}
	if c.currentCoordinator != c.opts.Self.Name { // the coordinator of this host has the same PartFailures and FleetView
		r.Parts = c.opts.Parts.changes(&c.sentParts, crashcause.ToCoordinator)
		r.Limits, c.sentLimits = c.opts.FleetView.limitChanges(c.sentLimits, permit.ToCoordinator)
		r.LeavingTargets, c.sentTargets = c.opts.FleetView.leavingChanges(c.sentTargets)
		r.Cold, c.sentCold = c.opts.FleetView.coldChanges(c.sentCold, permit.ToCoordinator)
	}
	if newest := c.opts.FleetView.NewestConfig(); newest != c.sentConfig {
		r.Config, c.sentConfig = &newest, newest
	}
	c.addEvacuations(&r)
	c.opts.FleetView.report(&r)
	r.Brittle = c.opts.FleetView.brittleServices()
	r.SlotsHeld = c.opts.FleetView.keptSlots()
	r.Memory, r.LongPrefills = c.memoryReport(closed), c.opts.FleetView.takeLongSent()
	if r.CutOff = c.opts.CutOff(); r.CutOff {
		r.Unreachable = nil // what this host sees of targets says something about its own way
	}
	for team, n := range c.opts.LocalUse() {
		if c.sentUse[team] != n {
			if r.LocalUse == nil {
				r.LocalUse = map[string]float64{}
			}
			r.LocalUse[team], c.sentUse[team] = n, n
		}
	}
	owned := c.opts.Owner.Owned()
	seen := map[string]bool{}
	for _, v := range owned {
		seen[v.ID] = true
		if old, ok := c.sentOwned[v.ID]; !ok || !sameView(old, v) {
			r.Owned = append(r.Owned, v)
			c.sentOwned[v.ID] = v
		}
	}
	for id := range c.sentOwned {
		if !seen[id] {
			r.Owned = append(r.Owned, EngineView{ID: id}) // no longer owned
			delete(c.sentOwned, id)
		}
	}
	return r
}

// applyUpdate applies an update of the coordinator.
func (c *Client) applyUpdate(u Update) {
	c.opts.Parts.mergeUpdate(u.Parts)
	c.opts.FleetView.mergeLimits(u.Limits, true)
	c.opts.FleetView.mergeLeaving(u.LeavingTargets)
	c.opts.FleetView.mergeCold(u.Cold, permit.FromCoordinator)
	c.opts.FleetView.SetBacklogs(u.Backlogs) // first, since the engine updates below wake the waiting requests
	c.opts.FleetView.setBoundBacklogs(u.BoundBacklogs)
	complete := len(u.Engines) == 0 || c.opts.FleetView.ApplyUpdates(c.opts.Self.Name, u.Engines...)
	if len(u.Load) > 0 {
		c.opts.FleetView.SetRemoteLoad(u.Load)
	}
	c.mu.Lock()
	if len(u.LiveHosts) > 0 || len(u.LastLeaving) > 0 {
		c.liveHosts, c.lastLeaving, c.cutOffHosts = u.LiveHosts, u.LastLeaving, u.CutOffHosts
	}
	switch {
	case u.Reporting > 0:
		c.countTogether(u.Reporting)
	case u.UseEpoch != 0: // a coordinator of an earlier version
		c.countTogether(len(c.liveHosts))
	}
	c.mu.Unlock()
	if u.UseEpoch != 0 { // the update replies to a report
		c.opts.SetRemoteUse(u.UseEpoch, u.RemoteUse, u.Balances)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendFull = c.sendFull || !complete
	for _, id := range u.EngineFailures {
		if _, known := c.failureTimes[id]; !known {
			c.failureTimes[id] = c.opts.Now()
			c.failureCounts[fingerprintOf(id)]++
		}
	}
	for id, at := range c.failureTimes {
		if c.opts.Now()-at > engineFailureTTL {
			delete(c.failureTimes, id)
			if c.failureCounts[fingerprintOf(id)]--; c.failureCounts[fingerprintOf(id)] <= 0 {
				delete(c.failureCounts, fingerprintOf(id))
			}
		}
	}
}

// The ID of an engine failure is FINGERPRINT@ATTEMPT. A failure that is reported twice
// counts once.
const failureIDSeparator = '@'

func fingerprintOf(failureID string) string {
	for i := range failureID {
		if failureID[i] == failureIDSeparator {
			return failureID[:i]
		}
	}
	return failureID
}

// EngineFailureID returns the ID of an engine failure during an attempt of a request with
// the given fingerprint.
func EngineFailureID(fingerprint, attempt string) string {
	return fingerprint + string(failureIDSeparator) + attempt
}

// Coordinator returns the host that the last report went to.
func (c *Client) Coordinator() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.currentCoordinator
}
