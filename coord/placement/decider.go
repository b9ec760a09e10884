package placement

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Decider decides which model is loaded on which target. Its methods take the
// monotonic time of the calling process. It is not safe for concurrent use.
type Decider struct {
	opt            Options
	active         bool
	targets        map[string]*targetState
	claims         map[string]*claimState
	models         map[string]*modelState
	specs          map[string]ModelSpec
	targetsByModel map[string][]string // targets with a slot for the model, sorted
	targetsByPool  map[string][]string // configured targets, sorted
	busyTargets    map[string]bool     // targets to process in the next step
	demanded       map[string]bool     // models with demand
	expected       map[string]bool     // models to load for requests expected later
	minimumModels  []string            // models with MinReplicas above 0
	reserved       map[string]int64    // by target: bytes that candidates of this step already count on
	sweep          []string            // models left in the current sweep for idle models
	sweepAt        time.Duration       // start of the next part of the sweep
	sweepPart      int                 // models in a part
	estimator      estimator
	gaps           gapHistogram // gaps of all models
	loadBucket     tokenBucket
	serial         uint64
	actions        []Action
	now            time.Duration
}

// targetState is what the decider knows of one target.
type targetState struct {
	spec    TargetSpec
	present bool // in the configuration
	rec     TargetRecord
	version uint64
	known   bool

	confirmedAt          time.Duration // start of the last read or write that showed rec to be current
	confirmedIncarnation string        // incarnation that the target had reported before that read or write
	versionSince         time.Duration // end of the first read or write that returned version

	callInFlight bool // a read or write is in progress
	stale        bool // must be read before the next write
	retryAt      time.Duration
	txn          *transaction

	report            *Report
	incarnationSeenAt time.Duration            // when the first report of this incarnation arrived
	retiredAt         map[string]time.Duration // by decision id: when the slot was first seen to be retired
	orders            map[string]*orderState   // by decision id of the slot

	toRetire     map[string]bool // decision ids of slots to retire with the next write
	retireReason string
	readySince   map[string]time.Duration // by model: when first reported ready
	avoidUntil   map[string]time.Duration // by model: when the target may be chosen again after a failed load
	unreachable  bool                     // has not responded since its last report
}

// claimState is what the decider knows of one claim record.
type claimState struct {
	rec          ClaimRecord
	version      uint64
	known        bool
	callInFlight bool
	stale        bool
	retryAt      time.Duration
	additions    []*addition
	recheck      bool // some claim may have become obsolete
}

// NewDecider returns an inactive decider without configuration and records.
func NewDecider(opt Options) *Decider {
	return &Decider{
		opt:            opt,
		targets:        map[string]*targetState{},
		claims:         map[string]*claimState{},
		models:         map[string]*modelState{},
		specs:          map[string]ModelSpec{},
		targetsByModel: map[string][]string{},
		targetsByPool:  map[string][]string{},
		reserved:       map[string]int64{},
		busyTargets:    map[string]bool{},
		demanded:       map[string]bool{},
		expected:       map[string]bool{},
		estimator:      newEstimator(opt.LoadSpeed, opt.MinLoadTime),
		loadBucket:     tokenBucket{rate: opt.StoreRate, tokens: 1},
	}
}

// Configure sets the targets and models. Targets that are no longer configured keep
// their slots but get no orders.
func (d *Decider) Configure(targets []TargetSpec, models []ModelSpec) {
	for _, ts := range d.targets {
		ts.present = false
	}
	clear(d.targetsByPool)
	for _, spec := range targets {
		ts := d.target(spec.Name)
		ts.spec = spec
		ts.present = true
		d.targetsByPool[spec.Pool] = append(d.targetsByPool[spec.Pool], spec.Name)
	}
	for _, names := range d.targetsByPool {
		sort.Strings(names)
	}
	clear(d.specs)
	d.minimumModels = nil
	for _, m := range models {
		d.specs[m.Name] = m
		if m.MinReplicas > 0 {
			d.minimumModels = append(d.minimumModels, m.Name)
		}
	}
	sort.Strings(d.minimumModels)
	for _, cs := range d.claims {
		cs.recheck = true // a target may have left the configuration
	}
}

// markBusy makes the next step process the target.
func (d *Decider) markBusy(ts *targetState) { d.busyTargets[ts.rec.Target] = true }

// reindex updates targetsByModel for a target whose record has changed from old to
// rec, and has the claims of the old slots checked again.
func (d *Decider) reindex(old, rec *TargetRecord) {
	for _, s := range old.Slots {
		names := d.targetsByModel[s.Model]
		if i, ok := slices.BinarySearch(names, rec.Target); ok {
			d.targetsByModel[s.Model] = slices.Delete(names, i, i+1)
		}
		if len(d.targetsByModel[s.Model]) == 0 {
			delete(d.targetsByModel, s.Model)
		}
		d.claimsOf(s.claimBase()).recheck = true
	}
	for _, s := range rec.Slots {
		names := d.targetsByModel[s.Model]
		if i, ok := slices.BinarySearch(names, rec.Target); !ok {
			d.targetsByModel[s.Model] = slices.Insert(names, i, rec.Target)
		}
	}
}

// SetActive sets whether this process makes decisions. Safety does not depend on
// it: several active deciders only slow one another down.
func (d *Decider) SetActive(active bool) {
	if active == d.active {
		return
	}
	d.active = active
	for _, ts := range d.targets {
		ts.txn = nil
	}
	for _, cs := range d.claims {
		cs.additions = nil
	}
}

func (d *Decider) target(name string) *targetState {
	ts := d.targets[name]
	if ts == nil {
		ts = &targetState{retiredAt: map[string]time.Duration{}, orders: map[string]*orderState{},
			readySince: map[string]time.Duration{}, avoidUntil: map[string]time.Duration{}}
		ts.rec.Target = name
		d.targets[name] = ts
	}
	return ts
}

func (d *Decider) claimsOf(base string) *claimState {
	cs := d.claims[base]
	if cs == nil {
		cs = &claimState{rec: ClaimRecord{Base: base}}
		d.claims[base] = cs
	}
	return cs
}

// StoredTarget is a target record with its version.
type StoredTarget struct {
	Record  TargetRecord
	Version uint64
}

// StoredClaims is a claim record with its version.
type StoredClaims struct {
	Record  ClaimRecord
	Version uint64
}

// Sync records a complete list of the stored records. The read of the list started
// at began. Records missing from the list do not exist, unless known already. A new
// target record takes listVersion, the version of the list, as its first fencing
// token, so that a record that was deleted and created again never gets a lower
// token than before.
func (d *Decider) Sync(now, began time.Duration, targets []StoredTarget, claims []StoredClaims, listVersion uint64) {
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.Record.Target] = true
		d.recordTarget(now, began, t.Record.Target, t.Record, t.Version)
	}
	for name, ts := range d.targets {
		if !listed[name] && !ts.known {
			d.recordTarget(now, began, name, TargetRecord{Target: name, Fence: listVersion}, 0)
		}
	}
	for _, c := range claims {
		d.recordClaims(c.Record.Base, c.Record, c.Version)
	}
	for base := range d.claimBases() {
		if cs := d.claimsOf(base); !cs.known {
			cs.known = true
		}
	}
}

func (d *Decider) claimBases() map[string]bool {
	out := map[string]bool{}
	for _, m := range d.specs {
		out[m.claimBase()] = true
	}
	return out
}

// recordTarget records that the stored record had the given content and version at
// some time between began and now.
func (d *Decider) recordTarget(now, began time.Duration, name string, rec TargetRecord, version uint64) {
	ts := d.target(name)
	if ts.known && version < ts.version {
		return
	}
	same := ts.known && version == ts.version
	if same {
		d.checkReport(ts, began)
	} else {
		old := ts.rec
		ts.rec = rec.Clone()
		ts.rec.Target = name
		d.reindex(&old, &ts.rec)
		ts.version = version
		ts.versionSince = now
	}
	ts.known = true
	ts.stale = false
	ts.confirmedAt = max(ts.confirmedAt, began)
	if ts.report != nil && ts.incarnationSeenAt <= began {
		ts.confirmedIncarnation = ts.report.Incarnation
	}
	ts.trackRetired(now)
	d.markBusy(ts)
}

func (ts *targetState) trackRetired(now time.Duration) {
	for _, s := range ts.rec.Slots {
		if _, ok := ts.retiredAt[s.Decision]; !ok && s.Phase == PhaseRetire {
			ts.retiredAt[s.Decision] = now
		}
	}
	for decision := range ts.retiredAt {
		if ts.rec.Slot(decision) == nil {
			delete(ts.retiredAt, decision)
		}
	}
	for decision := range ts.orders {
		if ts.rec.Slot(decision) == nil {
			delete(ts.orders, decision)
		}
	}
}

func (d *Decider) recordClaims(base string, rec ClaimRecord, version uint64) {
	cs := d.claimsOf(base)
	if cs.known && version < cs.version {
		return
	}
	cs.rec = rec.Clone()
	cs.rec.Base = base
	cs.version = version
	cs.known = true
	cs.stale = false
	cs.recheck = true
}

// checkReport asserts that the target holds no model without a slot in its record, and
// no more than its memory. It checks only a report taken between versionSince and
// until, a time in which the stored record did not change.
func (d *Decider) checkReport(ts *targetState, until time.Duration) {
	if d.opt.Assert == nil || ts.report == nil || ts.report.Relayed || ts.report.TakenAt < ts.versionSince || ts.report.TakenAt > until {
		return
	}
	var sum int64
	for model, replica := range ts.report.Replicas {
		if replica.State == StateFailed {
			continue
		}
		sum += replica.Bytes
		d.opt.Assert(ts.rec.SlotOf(model) != nil, ReplicasDecided, func() string {
			return fmt.Sprintf("%s holds %s, which has no slot in version %d of the record", ts.rec.Target, model, ts.version)
		})
	}
	limit := ts.spec.Bytes
	d.opt.Assert(!ts.present || sum <= limit, MemoryWithinLimit, func() string {
		return fmt.Sprintf("%s holds %d bytes, limit %d", ts.rec.Target, sum, limit)
	})
}

// RecordReport records a target's report, unless a newer one is known.
func (d *Decider) RecordReport(now time.Duration, target string, report Report) {
	ts := d.target(target)
	if !report.newerThan(ts.report) {
		return
	}
	ts.unreachable = false
	d.measureLoads(ts, &report)
	if ts.report == nil || ts.report.Incarnation != report.Incarnation {
		ts.incarnationSeenAt = now
	}
	ts.report = &report
	if report.MaxFence > ts.rec.Fence || len(ts.retiredAt) > 0 || len(ts.orders) > 0 {
		d.markBusy(ts)
	}
}

// Step makes decisions and returns the actions to carry out. Call it after each
// input and at least a few times per second.
func (d *Decider) Step(now time.Duration) []Action {
	d.now = now
	d.actions = nil
	d.expireDemand(now)
	if !d.active {
		return nil
	}
	names := sortedKeys(d.busyTargets)
	d.readStale(names)
	for _, name := range names {
		d.reconcile(d.targets[name])
	}
	d.plan()
	d.updateClaims()
	for _, name := range sortedKeys(d.busyTargets) {
		d.writeRetirements(d.targets[name])
		d.advanceTransaction(d.targets[name])
		if d.targets[name].idle() {
			delete(d.busyTargets, name)
		}
	}
	return d.actions
}

// idle reports whether the next steps have nothing to do for the target.
func (ts *targetState) idle() bool {
	return ts.known && !ts.callInFlight && !ts.stale && ts.txn == nil && len(ts.retiredAt) == 0 && len(ts.orders) == 0 && len(ts.toRetire) == 0
}

func (d *Decider) emit(a Action) {
	a.IssuedAt = d.now
	d.actions = append(d.actions, a)
}

func (d *Decider) nextDecision() string {
	d.serial++
	return fmt.Sprintf("%s-%d", d.opt.ID, d.serial)
}

// SetTimeouts sets DemandTTL, RecentUse and ReportTTL of the options. They must grow
// with the number of hosts, because each host then sends its messages less often.
func (d *Decider) SetTimeouts(demandTTL, recentUse, reportTTL time.Duration) {
	d.opt.DemandTTL = demandTTL
	d.opt.RecentUse = recentUse
	d.opt.ReportTTL = reportTTL
}
