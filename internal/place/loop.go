package place

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/config"
)

// Sizes and times of the decider's loop.
const (
	inboxSize     = 1024
	stepEvery     = 100 * time.Millisecond
	idleStepEvery = 500 * time.Millisecond // of a host that does not decide
	watchEvery    = 20 * time.Millisecond  // between reports of targets with something under way
	syncEvery     = 30 * time.Second
	// syncPerRecord stretches the time between full lists as records grow.
	syncPerRecord = 50 * time.Millisecond
	maxCalls      = 128 // inputs and outputs under way at once
)

// input is one thing told to the decider. Apply runs in the loop's goroutine.
type input interface {
	apply(l *loop, now time.Duration)
}

// loop owns the decider core.
type loop struct {
	p     *Placer
	d     *placement.Decider
	inbox chan input
	calls chan struct{}          // bounds the calls under way
	waits map[string][]waitEntry // questions without a final answer, by model

	snapshot *config.Snapshot
	syncAt   time.Duration
	syncing  bool
	watching map[string]time.Duration // next own poll, by target
	suspect  map[string]time.Duration // targets to poll once, with the time of the suspicion
	active   bool
	underWay bool // some target is to be watched closely
}

func newLoop(p *Placer, policy placement.Options) *loop {
	return &loop{
		p:        p,
		d:        placement.NewDecider(policy),
		inbox:    make(chan input, inboxSize),
		calls:    make(chan struct{}, maxCalls),
		waits:    map[string][]waitEntry{},
		watching: map[string]time.Duration{},
		suspect:  map[string]time.Duration{},
	}
}

// tell hands an input over; it reports false if ctx ended first.
func (l *loop) tell(ctx context.Context, in input) bool {
	select {
	case l.inbox <- in:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *loop) run(ctx context.Context) {
	tick := time.NewTimer(stepEvery)
	defer tick.Stop()
	watch := time.NewTicker(watchEvery)
	defer watch.Stop()
	for {
		var due <-chan time.Time
		if l.active && l.underWay {
			due = watch.C
		}
		select {
		case <-ctx.Done():
			return
		case <-due:
			l.watch(ctx)
			continue
		case in := <-l.inbox:
			in.apply(l, l.p.now())
			l.drainInbox()
		case <-tick.C:
			tick.Reset(l.stepInterval())
		}
		l.step(ctx)
	}
}

// stepInterval returns the time between steps without an input. A host that
// does not decide only keeps its view of the records.
func (l *loop) stepInterval() time.Duration {
	if l.active {
		return stepEvery
	}
	return idleStepEvery
}

// drainInbox applies what has come in meanwhile, so that a burst takes one step.
func (l *loop) drainInbox() {
	for range inboxSize {
		select {
		case in := <-l.inbox:
			in.apply(l, l.p.now())
		default:
			return
		}
	}
}

func (l *loop) step(ctx context.Context) {
	l.configure()
	now := l.p.now()
	if (l.d.NeedsSync() || now >= l.syncAt) && !l.syncing && (l.active || l.p.lease.standsBy()) {
		l.syncing = true
		l.syncAt = now + syncEvery
		l.call(func() { l.sync(ctx) })
	}
	l.pace()
	begin := time.Now()
	for _, a := range l.d.Step(now) {
		l.logAction(a)
		l.call(func() { l.perform(ctx, a) })
	}
	l.p.opts.Metrics.Timer("place_step").Record(time.Since(begin))
	l.watch(ctx)
	l.answer(now)
}

// waitEntry is a question of a host, kept until its answer is final.
type waitEntry struct {
	reply    chan<- wantResult // has room for one
	earliest time.Duration     // first deadline at the host
	until    time.Duration     // answered at the latest
	from     time.Duration     // not answered before
}

// recheckTime is the time given to read the reports of the engines that should
// have a model when a router found it on none.
const recheckTime = 100 * time.Millisecond

// recheck has the reports of the model's engines read at the next watch.
func (l *loop) recheck(model string, now time.Duration) {
	for _, p := range l.d.Status(model).Slots {
		l.suspect[p.Target] = now
	}
}

// answer answers the questions whose answer has become final, or that have
// been kept for long enough.
func (l *loop) answer(now time.Duration) {
	for model, entries := range l.waits {
		r := l.wantResult(model, now)
		kept := entries[:0]
		for _, e := range entries {
			if now < e.from || now < e.until && r.Decider && !final(r, e.earliest-now) {
				kept = append(kept, e)
				continue
			}
			e.reply <- r
		}
		l.waits[model] = kept
		if len(kept) == 0 {
			delete(l.waits, model)
		}
	}
}

// pace fits the lives of what the core is told to how often it is told, which
// depends on the number of hosts.
func (l *loop) pace() {
	interval := l.p.interval()
	l.d.SetTimeouts(3*interval, 2*interval, 3*l.p.refresh()+time.Second)
}

// call runs f in its own goroutine; the number of calls is bounded.
func (l *loop) call(f func()) {
	go func() {
		l.calls <- struct{}{}
		defer func() { <-l.calls }()
		f()
	}()
}

// configure passes a new snapshot on to the core.
func (l *loop) configure() {
	snap := l.p.opts.Config.Snapshot()
	if snap == l.snapshot {
		return
	}
	l.snapshot = snap
	var targets []placement.TargetSpec
	for _, t := range snap.Targets {
		if t.Kind != config.TargetEngine {
			continue
		}
		targets = append(targets, placement.TargetSpec{
			Name: t.Name, Pool: t.Pool, Zone: t.Zone, Bytes: t.MemoryBytes, RequestSlots: t.RequestSlots,
			ChecksFence: t.ChecksFence, Leaving: t.Leaving, OrderTTL: t.OrderTTL(),
		})
	}
	models := make([]placement.ModelSpec, 0, len(snap.Models))
	for _, m := range snap.Models {
		models = append(models, placement.ModelSpec{
			Name: m.Name, Base: m.Base, Pool: m.Pool, Bytes: m.Bytes, MaxReplicas: m.MaxReplicas, MinReplicas: m.MinReplicas,
			Idle: time.Duration(m.IdleSeconds) * time.Second,
		})
	}
	l.d.Configure(targets, models)
}

// watch polls the targets with something under way.
func (l *loop) watch(ctx context.Context) {
	if !l.active {
		return
	}
	now := l.p.now()
	names := l.d.BusyTargets()
	l.underWay = len(names) > 0
	for name := range l.suspect {
		names = append(names, name)
	}
	clear(l.suspect)
	for _, name := range names {
		t := l.snapshot.Targets[name]
		if t == nil || now < l.watching[name] {
			continue
		}
		l.watching[name] = now + controlLimit // until the answer is there
		l.call(func() {
			rep, ok := l.p.polls.read(ctx, t)
			l.tell(ctx, &watchedInput{target: name, rep: rep, ok: ok})
		})
	}
}

// watchedInput is a report that the decider read by itself.
type watchedInput struct {
	target string
	rep    placement.Report
	ok     bool
}

func (in *watchedInput) apply(l *loop, now time.Duration) {
	l.watching[in.target] = now + watchEvery
	if in.ok {
		l.d.Report(now, in.target, in.rep)
	}
}

func (l *loop) setActive(now time.Duration, active bool) {
	if active == l.active {
		return
	}
	l.active = active
	l.d.SetActive(active)
	l.p.opts.Log.WithFields(logrus.Fields{"event": "decider_changed", "active": active}).Info("decider role changed")
	l.p.opts.Metrics.Gauge("place_decider").Update(map[bool]float64{true: 1}[active])
	l.syncAt = now
}

// activeInput says whether this host decides.
type activeInput struct{ active bool }

func (in activeInput) apply(l *loop, now time.Duration) { l.setActive(now, in.active) }

func (l *loop) logAction(a placement.Action) {
	fields := logrus.Fields{"reason": a.Reason}
	switch a.Kind {
	case placement.WriteTarget:
		fields["event"] = "placement_decided"
		fields["target"] = a.Name
		fields["slots"] = len(a.Target.Slots)
		fields["fence"] = a.Target.Fence
	case placement.SendOrder:
		fields["event"] = "placement_order"
		fields["target"] = a.Name
		fields["model"] = a.Order.Model
		fields["op"] = a.Order.Op
		fields["decision"] = a.Order.Decision
		fields["fence"] = a.Order.Fence
		l.p.opts.Metrics.Tagged(map[string]string{"op": string(a.Order.Op)}).Counter("place_orders").Inc(1)
	default:
		return
	}
	l.p.opts.Log.WithFields(fields).Info("placement")
}
