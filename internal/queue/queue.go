// Package queue orders the requests of competing teams before they are sent
// to targets, fairly over all hosts together.
//
// Each pool that has requests here has a fair.Queue. While it has something
// waiting, the host reports its demand up a tree of hosts (fair.Tree), whose
// root divides the pool's slots, and obeys the windows that come back. Without
// an answer the host goes by its local share of the pool; deadlines and bounds
// hold in any case.
package queue

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/coord/fair"
	"buckthornseam.dev/coord/routing"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/target"
)

const (
	methodReport = "queue.report"

	tickInterval  = 250 * time.Millisecond
	drainInterval = 50 * time.Millisecond
	minReportGap  = 20 * time.Millisecond // between two reports of one pool
	callTimeout   = 500 * time.Millisecond
	poolLife      = time.Minute // an unused pool is forgotten after this time
	maxReports    = 16          // reports under way at once
	// maxSlotTargets bounds the pools in which slots are set aside for
	// hosts: each report then lists all targets.
	maxSlotTargets = 128

	// answerMargin is kept before a deadline, so that the refusal itself
	// reaches the caller in time.
	answerMargin = 20 * time.Millisecond
	// defaultWait bounds the wait of a request without a deadline.
	defaultWait = 30 * time.Second
	// answerGrace is the delay of a wake-up that is not counted as a
	// violation of answered_in_time.
	answerGrace = time.Second

	defaultTeamItems = 1000
	defaultPoolItems = 4000
)

// Reports gives the latest load report of a target (package reports).
type Reports interface {
	Latest(target string) (r target.Report, age time.Duration, ok bool)
}

// Router tells which targets this host's requests run on, and takes the slots
// set aside for it (package route).
type Router interface {
	Inflight(target string) int
	SetQuotas(pool string, quotas []routing.Quota, life time.Duration)
}

// Options configure a Queue. Reports and Slots may be nil, and Limits zero.
type Options struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	Config    config.Source
	Reports   Reports
	Router    Router
	Limits    fair.Limits // waiting requests of one host for one pool
	Log       logrus.FieldLogger
	Metrics   tally.Scope
}

// MissingOptionError reports an option that New needs.
type MissingOptionError struct{ Option string }

func (e *MissingOptionError) Error() string { return "queue: option " + e.Option + " is missing" }

// Queue implements serve.Queue.
type Queue struct {
	opts  Options
	self  peer.ID
	start time.Time
	kick  chan struct{} // an urgent report is due

	mu       sync.Mutex
	pools    map[string]*pool
	topology *topology
}

var _ serve.Queue = (*Queue)(nil)

// New returns a queue and registers its peer method.
func New(o Options) (*Queue, error) {
	switch {
	case o.Members == nil:
		return nil, &MissingOptionError{Option: "Members"}
	case o.Caller == nil:
		return nil, &MissingOptionError{Option: "Caller"}
	case o.Registrar == nil:
		return nil, &MissingOptionError{Option: "Registrar"}
	case o.Config == nil:
		return nil, &MissingOptionError{Option: "Config"}
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Metrics = o.Metrics.SubScope("queue")
	if o.Limits.MaxTeamWaiting <= 0 {
		o.Limits.MaxTeamWaiting = defaultTeamItems
	}
	if o.Limits.MaxPoolWaiting <= 0 {
		o.Limits.MaxPoolWaiting = defaultPoolItems
	}
	q := &Queue{
		opts:  o,
		self:  o.Members.Self().ID,
		start: time.Now(),
		kick:  make(chan struct{}, 1),
		pools: map[string]*pool{},
	}
	o.Registrar.Handle(methodReport, q.handleReport)
	return q, nil
}

// now returns the time since the queue was made, from the monotonic clock.
func (q *Queue) now() time.Duration { return time.Since(q.start) }

// Run reports demand and refuses requests that will be too late, until ctx
// ends.
func (q *Queue) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	gap := time.NewTimer(time.Hour)
	defer gap.Stop()
	calls := &errgroup.Group{}
	calls.SetLimit(maxReports)
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-ticker.C:
			q.tick(ctx, calls)
		case <-q.kick:
			if q.reportUrgent(ctx, calls) {
				gap.Reset(minReportGap)
			}
		case <-gap.C:
			if q.reportUrgent(ctx, calls) {
				gap.Reset(minReportGap)
			}
		}
	}
}

// tick brings every pool up to date and starts the reports that are due.
func (q *Queue) tick(ctx context.Context, calls *errgroup.Group) {
	for _, p := range q.allPools() {
		p.update(q.view(p.name))
		if q.forgetUnused(p) {
			continue
		}
		if p.reportDue() {
			p.startReport(ctx, calls)
		}
	}
}

// reportUrgent starts the urgent reports that are due; it is true if some are
// to follow.
func (q *Queue) reportUrgent(ctx context.Context, calls *errgroup.Group) (more bool) {
	for _, p := range q.allPools() {
		switch p.urgency() {
		case urgentNow:
			p.startReport(ctx, calls)
		case urgentSoon:
			more = true
		}
	}
	return more
}

func (q *Queue) signal() {
	select {
	case q.kick <- struct{}{}:
	default:
	}
}

func (q *Queue) allPools() []*pool {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]*pool, 0, len(q.pools))
	for _, p := range q.pools {
		out = append(out, p)
	}
	return out
}

// pool returns the pool of that name, made if needed.
func (q *Queue) pool(name string) *pool {
	q.mu.Lock()
	p := q.pools[name]
	if p == nil {
		p = newPool(q, name)
		q.pools[name] = p
	}
	p.touch()
	q.mu.Unlock()
	p.firstUpdate.Do(func() { p.update(q.view(name)) })
	return p
}

// forgetUnused drops a pool that nothing happened in for a while. A request
// that found the pool has touched it, under the same lock.
func (q *Queue) forgetUnused(p *pool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !p.unused() {
		return false
	}
	delete(q.pools, p.name)
	return true
}

// Drain waits until no request waits or runs, or ctx ends. The tree needs no
// handing over: hosts that leave are left out of it by the others.
func (q *Queue) Drain(ctx context.Context) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for {
		left := 0
		for _, p := range q.allPools() {
			left += p.inFlight()
		}
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
