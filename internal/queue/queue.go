// Package queue queues the requests of competing teams before they are sent to
// targets and shares the targets fairly across all hosts.
//
// Each pool with requests on this host has a fair.Queue. While requests wait,
// the host reports its demand up a tree of hosts (fair.Tree). The root of the
// tree divides the pool's slots, and the host keeps to the windows that it is
// granted. Without a grant the host uses its local share of the pool. Deadlines
// and bounds on the queue's length hold in either case.
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

	tickInterval         = 250 * time.Millisecond
	drainInterval        = 50 * time.Millisecond
	minReportGap         = 20 * time.Millisecond // between two reports of one pool
	callTimeout          = 500 * time.Millisecond
	poolIdleTimeout      = time.Minute // an unused pool is removed after this time
	maxConcurrentReports = 16          // for all pools together
	// maxQuotaTargets limits the size of the pools in which slots are
	// reserved for hosts, since each report then lists all targets.
	maxQuotaTargets = 128

	// answerMargin is the time before a deadline at which a request is
	// refused, so that the refusal reaches the caller in time.
	answerMargin = 20 * time.Millisecond
	// defaultMaxWait limits the wait of a request without a deadline.
	defaultMaxWait = 30 * time.Second
	// maxAnswerDelay is the delay past a deadline up to which an answer does
	// not violate the invariant answered_in_time. It allows for a goroutine
	// that wakes up late.
	maxAnswerDelay = time.Second

	defaultMaxTeamWaiting = 1000
	defaultMaxPoolWaiting = 4000
)

// Reports returns the latest load report of a target. Package enginereports implements it.
type Reports interface {
	Latest(target string) (r target.Report, age time.Duration, ok bool)
}

// Router counts this host's requests on each target and routes by the slots that
// are reserved for the host. Package route implements it.
type Router interface {
	Inflight(target string) int
	SetQuotas(pool string, quotas []routing.Quota, ttl time.Duration)
}

// Options configure a Queue. Reports, Router, Log and Metrics may be nil, and
// Limits zero.
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

// MissingOptionError reports that an option required by New is missing.
type MissingOptionError struct{ Option string }

func (e *MissingOptionError) Error() string { return "queue: option " + e.Option + " is missing" }

// Queue implements serve.Queue.
type Queue struct {
	opts   Options
	self   peer.ID
	start  time.Time
	urgent chan struct{} // an urgent report is due

	mu       sync.Mutex
	pools    map[string]*pool
	topology *topology
}

var _ serve.Queue = (*Queue)(nil)

// New returns a queue and registers the handler for reports of other hosts.
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
		o.Limits.MaxTeamWaiting = defaultMaxTeamWaiting
	}
	if o.Limits.MaxPoolWaiting <= 0 {
		o.Limits.MaxPoolWaiting = defaultMaxPoolWaiting
	}
	q := &Queue{
		opts:   o,
		self:   o.Members.Self().ID,
		start:  time.Now(),
		urgent: make(chan struct{}, 1),
		pools:  map[string]*pool{},
	}
	o.Registrar.Handle(methodReport, q.handleReport)
	return q, nil
}

// now returns the time since the queue was created, by the monotonic clock.
func (q *Queue) now() time.Duration { return time.Since(q.start) }

// Run reports demand and refuses requests that are not expected to be dispatched
// by their deadlines, until ctx ends.
func (q *Queue) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	gap := time.NewTimer(time.Hour)
	defer gap.Stop()
	calls := &errgroup.Group{}
	calls.SetLimit(maxConcurrentReports)
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-ticker.C:
			q.tick(ctx, calls)
		case <-q.urgent:
			if q.startUrgentReports(ctx, calls) {
				gap.Reset(minReportGap)
			}
		case <-gap.C:
			if q.startUrgentReports(ctx, calls) {
				gap.Reset(minReportGap)
			}
		}
	}
}

// tick updates every pool and starts the reports that are due.
func (q *Queue) tick(ctx context.Context, calls *errgroup.Group) {
	for _, p := range q.allPools() {
		p.update(q.view(p.name))
		if q.removeIfUnused(p) {
			continue
		}
		if p.reportDue() {
			p.startReport(ctx, calls)
		}
	}
}

// startUrgentReports starts the urgent reports that may be sent now. It returns
// true if others must be sent soon.
func (q *Queue) startUrgentReports(ctx context.Context, calls *errgroup.Group) (more bool) {
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

func (q *Queue) requestUrgentReport() {
	select {
	case q.urgent <- struct{}{}:
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

// pool returns the pool of the given name and creates it if needed.
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

// removeIfUnused removes a pool that has been unused for some time. A request
// that has just found the pool keeps it from being removed, since the method
// pool touches the pool under the same lock.
func (q *Queue) removeIfUnused(p *pool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !p.unused() {
		return false
	}
	delete(q.pools, p.name)
	return true
}

// Drain waits until no request waits or runs, or ctx ends. The host's place in
// the reporting tree needs no handover, since the other hosts drop members that
// leave.
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
