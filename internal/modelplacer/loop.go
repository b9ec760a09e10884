package modelplacer

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/config"
)

// Sizes and times of the decider's loop.
const (
	inboxSize           = 1024
	activeStepInterval  = 100 * time.Millisecond
	standbyStepInterval = 500 * time.Millisecond // of a host that is not the decider
	busyPollInterval    = 20 * time.Millisecond  // between polls of targets with an operation in progress
	syncInterval        = 30 * time.Second
	// syncPerRecord lengthens the interval between full lists for each record.
	syncPerRecord = 50 * time.Millisecond
	maxCalls      = 128 // concurrent calls of the object API and of targets
)

// input is an event for the decider core. The loop's goroutine calls apply.
type input interface {
	apply(l *loop, now time.Duration)
}

// loop owns the decider core and runs it in a single goroutine.
type loop struct {
	p       *Placer
	d       *placement.Decider
	inbox   chan input
	callSem chan struct{}              // bounds the concurrent calls
	pending map[string][]pendingDemand // open demand calls, by model

	snapshot       *config.Snapshot
	syncAt         time.Duration
	syncing        bool
	nextPoll       map[string]time.Duration // earliest next poll by the loop itself, by target
	recheckTargets map[string]time.Duration // targets to poll once more, with the time at which recheck was called
	active         bool
	hasBusy        bool // some target has an operation in progress
}

func newLoop(p *Placer, policy placement.Options) *loop {
	return &loop{
		p:              p,
		d:              placement.NewDecider(policy),
		inbox:          make(chan input, inboxSize),
		callSem:        make(chan struct{}, maxCalls),
		pending:        map[string][]pendingDemand{},
		nextPoll:       map[string]time.Duration{},
		recheckTargets: map[string]time.Duration{},
	}
}

// send queues an input for the loop. It returns false if ctx ended first.
func (l *loop) send(ctx context.Context, in input) bool {
	select {
	case l.inbox <- in:
		return true
	case <-ctx.Done():
		return false
	}
}

func (l *loop) run(ctx context.Context) {
	tick := time.NewTimer(activeStepInterval)
	defer tick.Stop()
	busyTicker := time.NewTicker(busyPollInterval)
	defer busyTicker.Stop()
	for {
		var busyTick <-chan time.Time
		if l.active && l.hasBusy {
			busyTick = busyTicker.C
		}
		select {
		case <-ctx.Done():
			return
		case <-busyTick:
			l.pollBusy(ctx)
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

// stepInterval returns the time between steps without an input. A host that is
// not the decider only keeps its view of the records up to date.
func (l *loop) stepInterval() time.Duration {
	if l.active {
		return activeStepInterval
	}
	return standbyStepInterval
}

// drainInbox applies all queued inputs, so that a burst takes one step.
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
	if (l.d.NeedsSync() || now >= l.syncAt) && !l.syncing && (l.active || l.p.lease.isCandidate()) {
		l.syncing = true
		l.syncAt = now + syncInterval
		l.goCall(func() { l.sync(ctx) })
	}
	l.setTimeouts()
	begin := time.Now()
	for _, a := range l.d.Step(now) {
		l.logAction(a)
		l.goCall(func() { l.perform(ctx, a) })
	}
	l.p.opts.Metrics.Timer("place_step").Record(time.Since(begin))
	l.pollBusy(ctx)
	l.replyPending(now)
}

// pendingDemand is a demand call that is held open until its result is final.
type pendingDemand struct {
	reply     chan<- demandResult // buffered for one result
	earliest  time.Duration       // first deadline at the host
	replyBy   time.Duration       // replied to then even if the result is not final
	notBefore time.Duration       // not replied to before
}

// recheckDelay is the time allowed for polling the engines that should have a
// model, after a router found no replica of it.
const recheckDelay = 100 * time.Millisecond

// recheck marks the engines that have a slot for the model to be polled in the next pollBusy.
func (l *loop) recheck(model string, now time.Duration) {
	for _, slot := range l.d.Status(model).Slots {
		l.recheckTargets[slot.Target] = now
	}
}

// replyPending replies to the demand calls whose result has become final or whose
// time is up. If this host is no longer the decider, it replies to all of them
// after notBefore.
func (l *loop) replyPending(now time.Duration) {
	for model, entries := range l.pending {
		r := l.demandResult(model, now)
		kept := entries[:0]
		for _, e := range entries {
			if now < e.notBefore || now < e.replyBy && r.Decider && !isFinal(r, e.earliest-now) {
				kept = append(kept, e)
				continue
			}
			e.reply <- r
		}
		l.pending[model] = kept
		if len(kept) == 0 {
			delete(l.pending, model)
		}
	}
}

// setTimeouts adapts the core's timeouts to the intervals at which hosts send
// messages, which depend on the number of hosts.
func (l *loop) setTimeouts() {
	interval := l.p.useInterval()
	l.d.SetTimeouts(3*interval, 2*interval, 3*l.p.relayInterval()+time.Second)
}

// goCall runs f in its own goroutine; at most maxCalls run at once.
func (l *loop) goCall(f func()) {
	go func() {
		l.callSem <- struct{}{}
		defer func() { <-l.callSem }()
		f()
	}()
}

// configure passes a changed configuration snapshot to the core.
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

// pollBusy polls the targets with an operation in progress and those to recheck.
func (l *loop) pollBusy(ctx context.Context) {
	if !l.active {
		return
	}
	now := l.p.now()
	names := l.d.BusyTargets()
	l.hasBusy = len(names) > 0
	for name := range l.recheckTargets {
		names = append(names, name)
	}
	clear(l.recheckTargets)
	for _, name := range names {
		t := l.snapshot.Targets[name]
		if t == nil || now < l.nextPoll[name] {
			continue
		}
		l.nextPoll[name] = now + controlTimeout // until directReportInput resets it
		l.goCall(func() {
			rep, ok := l.p.poller.read(ctx, t)
			l.send(ctx, &directReportInput{target: name, rep: rep, ok: ok})
		})
	}
}

// directReportInput is a report that the decider's host read from the target itself.
type directReportInput struct {
	target string
	rep    placement.Report
	ok     bool
}

func (in *directReportInput) apply(l *loop, now time.Duration) {
	l.nextPoll[in.target] = now + busyPollInterval
	if in.ok {
		l.d.RecordReport(now, in.target, in.rep)
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

// activeInput sets whether this host is the decider.
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
