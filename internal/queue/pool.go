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

// pool is the queue of one pool on this host, and its node in the tree.
type pool struct {
	owner       *Queue
	name        string
	firstUpdate sync.Once
	waited      tally.Timer
	metrics     tally.Scope

	mu        sync.Mutex
	queue     *fair.Queue
	node      *fair.Node
	view      view
	waiters   map[uint64]*waiter
	nextID    uint64
	reporting bool          // a report is under way
	reported  time.Duration // start of the latest report
	unheard   time.Duration // of the latest report without a grant
	used      time.Duration // last sign of use
}

func newPool(q *Queue, name string) *pool {
	metrics := q.opts.Metrics.Tagged(map[string]string{"pool": name})
	return &pool{
		owner:    q,
		name:     name,
		waited:   metrics.Timer("wait"),
		metrics:  metrics,
		queue:    fair.NewQueue(q.opts.Limits),
		node:     fair.NewNode(),
		waiters:  map[uint64]*waiter{},
		used:     q.now(),
		reported: -time.Hour,
		unheard:  -time.Hour,
	}
}

func (p *pool) refusedBy(why fair.Reason) tally.Counter {
	return p.metrics.Tagged(map[string]string{"reason": why.String()}).Counter("refused")
}

// push adds a request.
func (p *pool) push(t serve.Ticket, deadline time.Duration) (*waiter, *fair.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.nextID++
	w := &waiter{
		item: fair.Request{
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
	if ref := p.queue.Push(now, w.item); ref != nil {
		return nil, ref
	}
	p.waiters[w.item.ID] = w
	p.pump(now)
	return w, nil
}

// cancel takes a request out; it is false if it was answered already.
func (p *pool) cancel(w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiters, w.item.ID)
	return p.queue.Remove(p.owner.now(), w.item.ID)
}

func (p *pool) release(req fair.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.used = now
	p.queue.Release(req)
	p.pump(now)
}

// expire refuses the requests whose deadline has come.
func (p *pool) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pump(p.owner.now())
}

// pump dispatches and refuses what is due; the caller holds mu.
func (p *pool) pump(now time.Duration) {
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
		p.owner.signal()
	}
}

func (p *pool) answer(id uint64, ref *fair.Refusal) {
	if w := p.waiters[id]; w != nil {
		delete(p.waiters, id)
		w.done <- ref // room for one; each request is answered once
	}
}

// update takes over a new view of members, targets and reports.
func (p *pool) update(v view) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	p.view = v
	p.node.SetTree(v.tree)
	if v.tree.Root() == p.owner.self.Name {
		p.node.SetRoot(now, v.slots, v.occupied)
	} else {
		p.node.SetInner(now)
	}
	p.queue.SetCapacity(v.capacity(), v.models)
	p.queue.Prune(now)
	p.pump(now)
	p.metrics.Gauge("waiting").Update(float64(p.queue.Waiting()))
	p.metrics.Gauge("running").Update(float64(p.queue.Running()))
	p.metrics.Gauge("slots").Update(float64(v.total))
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

// touch notes a use of the pool.
func (p *pool) touch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used = p.owner.now()
}

// unused reports whether nothing happened in the pool for a while.
func (p *pool) unused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queue.Waiting()+p.queue.Running()+p.node.Children() > 0 {
		p.used = p.owner.now()
	}
	return p.owner.now()-p.used > poolLife
}

// reportDue reports whether an interval has passed since the last report and
// there is something to report.
func (p *pool) reportDue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	if now-p.reported < p.view.tree.Interval()-tickInterval/2 {
		return false
	}
	return p.queue.ShouldReport(now) || p.node.Children() > 0
}

// urgency says whether a report should not wait for the next tick.
type urgency int

const (
	notUrgent urgency = iota
	urgentNow
	urgentSoon // the last report was too recent
)

func (p *pool) urgency() urgency {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.owner.now()
	// A parent that gave no grant is asked again at the usual pace.
	if !p.queue.HasUrgentDemand(now) || now-p.unheard < p.view.tree.Interval() {
		return notUrgent
	}
	if p.reporting || now-p.reported < minReportGap {
		return urgentSoon
	}
	return urgentNow
}

// startReport sends a report in the background unless one is under way.
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
