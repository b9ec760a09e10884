package placement

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Decider decides placement. All methods take the monotonic time of its own
// process; it is not safe for concurrent use.
type Decider struct {
	opt      Options
	active   bool
	targets  map[string]*targetState
	claims   map[string]*claimState
	models   map[string]*modelState
	specs    map[string]ModelSpec
	where    map[string][]string // targets with a slot, sorted, by model
	pools    map[string][]string // targets present, by pool
	work     map[string]bool     // targets with something under way
	wanted   map[string]bool     // models with wants
	promised map[string]bool     // models loaded for callers to come
	minimum  []string            // models with replicas kept when idle
	reserved map[string]int64    // bytes per target that earlier candidates of this step wait for
	sweep    []string            // models still to be looked at in the search for idle ones
	sweepAt  time.Duration       // next part of that search
	sweepLen int                 // models in a part
	est      estimator
	gaps     gapHistogram // over all models
	store    permits
	serial   uint64
	actions  []Action
	now      time.Duration
}

// targetState is what the decider knows of one target.
type targetState struct {
	spec    TargetSpec
	present bool // in the configuration
	rec     TargetRecord
	version uint64
	known   bool

	confirmedAt time.Duration // start of the last call that showed rec to be current
	confirmed   string        // incarnation in the report before that call
	knownSince  time.Duration // end of the first call that showed this version

	busy    bool // a read or write is under way
	stale   bool // must be read before the next write
	retryAt time.Duration
	txn     *transaction

	rep           *Report
	incarnationAt time.Duration            // when a report of this incarnation first came in
	retired       map[string]time.Duration // by decision: when known to be retired
	orders        map[string]*orderState   // by decision of the slot

	retiring  map[string]bool // decisions to retire with the next write
	retireWhy string
	loadedAt  map[string]time.Duration // by model: when first reported ready
	avoid     map[string]time.Duration // by model: not chosen before
	lost      bool                     // does not answer
}

// claimState is what the decider knows of one claim record.
type claimState struct {
	rec     ClaimRecord
	version uint64
	known   bool
	busy    bool
	stale   bool
	retryAt time.Duration
	adding  []*addition
	check   bool // some claim may count nothing any more
}

// NewDecider returns a decider that knows nothing yet.
func NewDecider(opt Options) *Decider {
	return &Decider{
		opt:      opt,
		targets:  map[string]*targetState{},
		claims:   map[string]*claimState{},
		models:   map[string]*modelState{},
		specs:    map[string]ModelSpec{},
		where:    map[string][]string{},
		pools:    map[string][]string{},
		reserved: map[string]int64{},
		work:     map[string]bool{},
		wanted:   map[string]bool{},
		promised: map[string]bool{},
		est:      newEstimator(opt.LoadSpeed, opt.MinLoadTime),
		store:    permits{rate: opt.StoreRate, tokens: 1},
	}
}

// Configure sets targets and models. Targets that are no longer listed keep
// their slots, but get no orders.
func (d *Decider) Configure(targets []TargetSpec, models []ModelSpec) {
	for _, ts := range d.targets {
		ts.present = false
	}
	clear(d.pools)
	for _, spec := range targets {
		ts := d.target(spec.Name)
		ts.spec = spec
		ts.present = true
		d.pools[spec.Pool] = append(d.pools[spec.Pool], spec.Name)
	}
	for _, names := range d.pools {
		sort.Strings(names)
	}
	clear(d.specs)
	d.minimum = nil
	for _, m := range models {
		d.specs[m.Name] = m
		if m.MinReplicas > 0 {
			d.minimum = append(d.minimum, m.Name)
		}
	}
	sort.Strings(d.minimum)
	for _, cs := range d.claims {
		cs.check = true // a target may have left the configuration
	}
}

// attend has the next steps look at the target.
func (d *Decider) attend(ts *targetState) { d.work[ts.rec.Target] = true }

// reindex replaces the slots of a target in the index by model.
func (d *Decider) reindex(old, rec *TargetRecord) {
	for _, s := range old.Slots {
		names := d.where[s.Model]
		if i, ok := slices.BinarySearch(names, rec.Target); ok {
			d.where[s.Model] = slices.Delete(names, i, i+1)
		}
		if len(d.where[s.Model]) == 0 {
			delete(d.where, s.Model)
		}
		d.claim(s.base()).check = true
	}
	for _, s := range rec.Slots {
		names := d.where[s.Model]
		if i, ok := slices.BinarySearch(names, rec.Target); !ok {
			d.where[s.Model] = slices.Insert(names, i, rec.Target)
		}
	}
}

// SetActive says whether this process decides. Safety does not depend on it:
// any number of active deciders only slow one another down.
func (d *Decider) SetActive(active bool) {
	if active == d.active {
		return
	}
	d.active = active
	for _, ts := range d.targets {
		ts.txn = nil
	}
	for _, cs := range d.claims {
		cs.adding = nil
	}
}

func (d *Decider) target(name string) *targetState {
	ts := d.targets[name]
	if ts == nil {
		ts = &targetState{retired: map[string]time.Duration{}, orders: map[string]*orderState{},
			loadedAt: map[string]time.Duration{}, avoid: map[string]time.Duration{}}
		ts.rec.Target = name
		d.targets[name] = ts
	}
	return ts
}

func (d *Decider) claim(base string) *claimState {
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

// Sync takes in a complete list of records whose read began at the given time.
// Records that it does not hold do not exist; floor is the version of the list,
// from which a new record takes its first fencing number, so that a record made
// anew never goes back behind an old one.
func (d *Decider) Sync(now, began time.Duration, targets []StoredTarget, claims []StoredClaims, floor uint64) {
	listed := map[string]bool{}
	for _, t := range targets {
		listed[t.Record.Target] = true
		d.sawTarget(now, began, t.Record.Target, t.Record, t.Version)
	}
	for name, ts := range d.targets {
		if !listed[name] && !ts.known {
			d.sawTarget(now, began, name, TargetRecord{Target: name, Fence: floor}, 0)
		}
	}
	for _, c := range claims {
		d.sawClaims(c.Record.Base, c.Record, c.Version)
	}
	for base := range d.bases() {
		if cs := d.claim(base); !cs.known {
			cs.known = true
		}
	}
}

func (d *Decider) bases() map[string]bool {
	out := map[string]bool{}
	for _, m := range d.specs {
		out[m.claimBase()] = true
	}
	return out
}

// sawTarget takes in a record that was current at some time since began.
func (d *Decider) sawTarget(now, began time.Duration, name string, rec TargetRecord, version uint64) {
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
		ts.knownSince = now
	}
	ts.known = true
	ts.stale = false
	ts.confirmedAt = max(ts.confirmedAt, began)
	if ts.rep != nil && ts.incarnationAt <= began {
		ts.confirmed = ts.rep.Incarnation
	}
	ts.noteRetired(now)
	d.attend(ts)
}

func (ts *targetState) noteRetired(now time.Duration) {
	for _, s := range ts.rec.Slots {
		if _, ok := ts.retired[s.Decision]; !ok && s.Phase == PhaseRetire {
			ts.retired[s.Decision] = now
		}
	}
	for decision := range ts.retired {
		if ts.rec.Slot(decision) == nil {
			delete(ts.retired, decision)
		}
	}
	for decision := range ts.orders {
		if ts.rec.Slot(decision) == nil {
			delete(ts.orders, decision)
		}
	}
}

func (d *Decider) sawClaims(base string, rec ClaimRecord, version uint64) {
	cs := d.claim(base)
	if cs.known && version < cs.version {
		return
	}
	cs.rec = rec.Clone()
	cs.rec.Base = base
	cs.version = version
	cs.known = true
	cs.stale = false
	cs.check = true
}

// checkReport asserts that a report taken while the record was certainly the
// one known shows nothing beyond it. The record had the same version from
// knownSince to until.
func (d *Decider) checkReport(ts *targetState, until time.Duration) {
	if d.opt.Assert == nil || ts.rep == nil || ts.rep.Relayed || ts.rep.TakenAt < ts.knownSince || ts.rep.TakenAt > until {
		return
	}
	var sum int64
	for model, rep := range ts.rep.Replicas {
		if rep.State == StateFailed {
			continue
		}
		sum += rep.Bytes
		d.opt.Assert(ts.rec.SlotOf(model) != nil, ReplicasDecided, func() string {
			return fmt.Sprintf("%s holds %s without a slot in version %d", ts.rec.Target, model, ts.version)
		})
	}
	limit := ts.spec.Bytes
	d.opt.Assert(!ts.present || sum <= limit, MemoryWithinLimit, func() string {
		return fmt.Sprintf("%s holds %d of %d bytes", ts.rec.Target, sum, limit)
	})
}

// Report takes in a target's report.
func (d *Decider) Report(now time.Duration, target string, rep Report) {
	ts := d.target(target)
	if !rep.newerThan(ts.rep) {
		return
	}
	ts.lost = false
	d.learn(ts, &rep)
	if ts.rep == nil || ts.rep.Incarnation != rep.Incarnation {
		ts.incarnationAt = now
	}
	ts.rep = &rep
	if rep.MaxFence > ts.rec.Fence || len(ts.retired) > 0 || len(ts.orders) > 0 {
		d.attend(ts)
	}
}

// Step decides and returns what to do. It is called after each input and at
// least a few times a second.
func (d *Decider) Step(now time.Duration) []Action {
	d.now = now
	d.actions = nil
	d.expire(now)
	if !d.active {
		return nil
	}
	names := sortedKeys(d.work)
	d.refresh(names)
	for _, name := range names {
		d.reconcile(d.targets[name])
	}
	d.plan()
	d.sweepClaims()
	for _, name := range sortedKeys(d.work) {
		d.flushRetired(d.targets[name])
		d.advance(d.targets[name])
		if d.targets[name].quiet() {
			delete(d.work, name)
		}
	}
	return d.actions
}

// quiet reports whether nothing is under way on the target.
func (ts *targetState) quiet() bool {
	return ts.known && !ts.busy && !ts.stale && ts.txn == nil && len(ts.retired) == 0 && len(ts.orders) == 0 && len(ts.retiring) == 0
}

func (d *Decider) emit(a Action) {
	a.Began = d.now
	d.actions = append(d.actions, a)
}

func (d *Decider) nextDecision() string {
	d.serial++
	return fmt.Sprintf("%s-%d", d.opt.ID, d.serial)
}

// SetTimeouts sets how long a want, a use and a report count. Hosts speak less
// often the more of them there are.
func (d *Decider) SetTimeouts(wantLife, useQuiet, reportLife time.Duration) {
	d.opt.WantLife = wantLife
	d.opt.UseQuiet = useQuiet
	d.opt.ReportLife = reportLife
}
