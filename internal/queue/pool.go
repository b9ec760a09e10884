package queue

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/coord/fair"
	"buckthornseam.dev/seam/internal/serve"
)

// pool is the queue of one pool on this host and the host's node in the pool's
// reporting tree.
type pool struct {
	owner       *Queue
	name        string
	firstUpdate sync.Once
	waitTimer   tally.Timer
	metrics     tally.Scope

	mu             sync.Mutex
	queue          *fair.Queue
	node           *fair.Node
	view           view
	waiters        map[uint64]*waiter
	nextID         uint64
	reporting      bool          // a report is in progress
	lastReport     time.Duration // start of the latest report
	lastUnanswered time.Duration // end of the latest report that got no grant
	lastUsed       time.Duration // see unused
}

func newPool(q *Queue, name string) *pool {
	metrics := q.opts.Metrics.Tagged(map[string]string{"pool": name})
	return &pool{
		owner:          q,
		name:           name,
		waitTimer:      metrics.Timer("wait"),
		metrics:        metrics,
		queue:          fair.NewQueue(q.opts.Limits),
		node:           fair.NewNode(),
		waiters:        map[uint64]*waiter{},
		lastUsed:       q.now(),
		lastReport:     -time.Hour,
		lastUnanswered: -time.Hour,
	}
}

func (p *pool) refusedCounter(why fair.Reason) tally.Counter {
	return p.metrics.Tagged(map[string]string{"reason": why.String()}).Counter("refused")
}

// push adds a request.
func (p *pool) push(t serve.QueueRequest, deadline time.Duration) (*waiter, *fair.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.nextID++
	w := &waiter{
		request: fair.Request{
			ID:       p.nextID,
			Team:     t.Team,
			Weight:   t.Weight,
			Model:    t.Model,
			Priority: t.Priority,
			Tokens:   t.Tokens,
			Deadline: deadline,
		},
		done: make(chan *fair.Refusal, 1),
	}
	if ref := p.queue.Push(now, w.request); ref != nil {
		return nil, ref
	}
	p.waiters[w.request.ID] = w
	p.dispatch(now)
	return w, nil
}

// cancel removes a request from the queue. It returns false if the request was
// already dispatched or refused.
func (p *pool) cancel(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, w.request.ID)
	return p.queue.Remove(p.owner.now(), w.request.ID)
}

func (p *pool) release(req fair.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.lastUsed = now
	p.queue.Release(req)
	p.dispatch(now)
}

// expire refuses the requests whose deadlines have passed.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch(p.owner.now())
}

// dispatch answers the waiting requests that may run or are refused, and asks
// for an urgent report if demand requires one. The caller holds mu.
func (p *pool) dispatch(now time.Duration) {
	for {
		req, ok := p.queue.Next(now)
		if !ok {
			break
		}
		p.answer(req.ID, nil)
	}
	for _, ref := range p.queue.TakeRefusals(now) {
		p.answer(ref.Request.ID, ref)
	}
	if p.queue.HasUrgentDemand(now) {
		p.owner.requestUrgentReport()
	}
}

func (p *pool) answer(id uint64, ref *fair.Refusal) {
	if w := p.waiters[id]; w != nil {
		delete(p.waiters, id)
		w.done <- ref // does not block: the channel has room for the only answer
	}
}

// update applies a new view of members, targets and load reports.
func (p *pool) update(v view) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.view = v
	p.node.SetTree(v.tree)
	if v.tree.Root() == p.owner.self.Name {
		p.node.SetRoot(now, v.targetSlots, v.occupied)
	} else {
		p.node.SetInner(now)
	}
	p.queue.SetCapacity(v.capacity(), v.modelCapacity)
	p.queue.Prune(now)
	p.dispatch(now)
	p.metrics.Gauge("waiting").Update(float64(p.queue.Waiting()))
	p.metrics.Gauge("running").Update(float64(p.queue.Running()))
	p.metrics.Gauge("slots").Update(float64(v.totalSlots))
	granted := 0.0
	if p.queue.Granted(now) {
		granted = 1
	}
	p.metrics.Gauge("granted").Update(granted)
}

func (p *pool) inFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.queue.Waiting() + p.queue.Running()
}

// touch records a use of the pool.
func (p *pool) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastUsed = p.owner.now()
}

// unused reports whether the pool has been unused for longer than poolIdleTimeout.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Waiting()+p.queue.Running()+p.node.Children() > 0 {
		p.lastUsed = p.owner.now()
	}
	return p.owner.now()-p.lastUsed > poolIdleTimeout
}

// reportDue reports whether an interval has passed since the last report and
// there is something to report.
func (p *pool) reportDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	if now-p.lastReport < p.view.tree.Interval()-tickInterval/2 {
		return false
	}
	return p.queue.ShouldReport(now) || p.node.Children() > 0
}

// urgency states whether a report must be sent before the next tick.
type urgency int

const (
	notUrgent urgency = iota
	urgentNow
	urgentSoon // a report is in progress or the last one was too recent
)

func (p *pool) urgency() urgency {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	// If the last report got no grant, the next one waits for the usual interval.
	if !p.queue.HasUrgentDemand(now) || now-p.lastUnanswered < p.view.tree.Interval() {
		return notUrgent
	}
	if p.reporting || now-p.lastReport < minReportGap {
		return urgentSoon
	}
	return urgentNow
}

// startReport sends a report in the background unless one is in progress.
func (p *pool) startReport(ctx context.Context, calls *errgroup.Group) {
	p.mu.Lock()
	busy := p.reporting
	p.reporting = true
	p.mu.Unlock()
	if busy {
		return
	}
	started := calls.TryGo(func() error {
		p.report(ctx)
		return nil
	})
	if !started {
		p.reportEnded()
	}
}

func (p *pool) reportEnded() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reporting = false
}
