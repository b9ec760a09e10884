// Package route chooses the target of each request.
//
// It updates a routing.Table with the configuration, the load reports and cache
// events of package enginereports, and the outcomes of this host's requests. It logs each
// decision with its best candidates.
package route

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/coord/routing"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/enginereports"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/target"
)

const (
	refreshInterval    = 500 * time.Millisecond // how often the configuration is applied without requests
	noTargetRetryAfter = time.Second
)

// Reports is the part of package enginereports that routing needs.
type Reports interface {
	Latest(name string) (r target.Report, age time.Duration, ok bool)
	Subscribe() *enginereports.Subscription
	HandleCacheEvents(f func(name string, events []target.CacheEvent))
	Refresh(ctx context.Context, name string) (target.Report, error)
	Pin(name string)
}

// Options configure a Router.
type Options struct {
	Members peer.Members
	Config  config.Source
	Reports Reports
	Log     logrus.FieldLogger
	Metrics tally.Scope
	Seed    uint64 // seed of the random choices
}

// MissingOptionError reports that a required option is not set.
type MissingOptionError struct{ Option string }

func (e *MissingOptionError) Error() string { return "route: option " + e.Option + " is missing" }

// Router implements serve.Router.
type Router struct {
	opts          Options
	start         time.Time
	reportChanges *enginereports.Subscription
	locator       locator

	mu           sync.Mutex
	table        *routing.Table
	snapshot     *config.Snapshot
	incarnations map[string]string // last reported incarnation, by engine name
	decision     routing.Decision  // reused to avoid an allocation per request
}

var _ serve.Router = (*Router)(nil)

// New returns a Router.
func New(o Options) (*Router, error) {
	switch {
	case o.Members == nil:
		return nil, &MissingOptionError{Option: "Members"}
	case o.Config == nil:
		return nil, &MissingOptionError{Option: "Config"}
	case o.Reports == nil:
		return nil, &MissingOptionError{Option: "Reports"}
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Metrics = o.Metrics.SubScope("route")
	r := &Router{
		opts:          o,
		start:         time.Now(),
		reportChanges: o.Reports.Subscribe(),
		table:         routing.New(routing.Options{Zone: o.Members.Self().Zone, Seed: o.Seed}),
		incarnations:  map[string]string{},
	}
	r.locator.router = r
	o.Reports.HandleCacheEvents(r.applyCacheEvents)
	return r, nil
}

func (r *Router) now() time.Duration { return time.Since(r.start) }

// Run applies new reports and configuration until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-r.reportChanges.Ready():
		}
		r.mu.Lock()
		r.update()
		r.mu.Unlock()
	}
}

// update applies the current configuration snapshot and the reports that have
// changed. The caller must hold mu.
func (r *Router) update() {
	r.applySnapshot()
	for _, name := range r.reportChanges.Take() {
		r.applyReport(name)
	}
}

// applySnapshot updates the table if the configuration has changed. It removes
// targets that are leaving. The caller must hold mu.
func (r *Router) applySnapshot() {
	s := r.opts.Config.Snapshot()
	if s == r.snapshot {
		return
	}
	r.snapshot = s
	targets := make([]routing.Target, 0, len(s.Targets))
	for _, t := range s.Targets {
		if t.Leaving {
			continue
		}
		targets = append(targets, routing.Target{
			Name: t.Name, Pool: t.Pool, Zone: t.Zone, Slots: t.RequestSlots, Engine: t.Kind == config.TargetEngine,
		})
	}
	added := r.table.SetTargets(targets)
	for _, name := range added {
		r.applyReport(name)
	}
}

// Pick implements serve.Router.
func (r *Router) Pick(q serve.RouteQuery) (serve.Choice, error) {
	choice, record := r.pick(q)
	if choice.Target == nil && record.ready == 0 && q.Model != "" && r.locator.locate(q.Pool, q.Model) {
		choice, record = r.pick(q)
	}
	r.logDecision(record)
	if choice.Target == nil {
		r.opts.Metrics.Tagged(map[string]string{"pool": q.Pool}).Counter("no_target").Inc(1)
		return serve.Choice{}, refusal.New(http.StatusServiceUnavailable, refusal.CodeNoCapacity, "No target can take the request.").
			WithRetryAfter(noTargetRetryAfter)
	}
	return choice, nil
}

// pick makes one decision. If no target can take the request, the target of the
// choice is nil.
func (r *Router) pick(q serve.RouteQuery) (serve.Choice, decisionRecord) {
	query := routing.Query{Pool: q.Pool, Model: q.Model, Prefix: q.Prefix, Exclude: q.Exclude}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.applySnapshot()
	now := r.now()
	found := r.table.Pick(now, query, &r.decision)
	if !found {
		r.update() // a report that a model has just become ready may not be applied yet
		found = r.table.Pick(now, query, &r.decision)
	}
	record := r.newDecisionRecord(q)
	if !found {
		return serve.Choice{}, record
	}
	h := r.decision.Chosen
	t := r.snapshot.Targets[r.table.Name(h)]
	r.table.RecordSent(now, h, query)
	record.target = t.Name
	invariant.Check(!t.Leaving, invariant.LeavingUnused, "target %s is leaving and was chosen for request %s", t.Name, q.RequestID)
	return serve.Choice{Target: t, Done: r.done(h, query, now)}, record
}

// done returns the function that records the outcome of a request. Only its first
// call has an effect.
func (r *Router) done(h routing.Handle, q routing.Query, sent time.Duration) func(serve.Outcome) {
	var called atomic.Bool
	return func(o serve.Outcome) {
		if called.Swap(true) {
			return
		}
		q.Exclude = nil // belongs to the caller
		r.mu.Lock()
		now := r.now()
		r.table.RecordDone(now, h, q, routing.Outcome{OK: o.OK, Canceled: o.Canceled, FirstToken: o.FirstToken, Duration: now - sent})
		r.mu.Unlock()
		scope := r.opts.Metrics.Tagged(map[string]string{"pool": q.Pool})
		switch {
		case o.Canceled:
			scope.Counter("canceled").Inc(1)
		case !o.OK:
			scope.Counter("failed").Inc(1)
		case o.FirstToken > 0:
			scope.Timer("first_token").Record(o.FirstToken)
		}
	}
}

// Inflight returns the number of requests that this host has at a target.
func (r *Router) Inflight(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Inflight(name)
}

// SetQuotas sets the slots reserved for this host in a contended pool. They expire
// after ttl.
func (r *Router) SetQuotas(pool string, quotas []routing.Quota, ttl time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetQuotas(pool, quotas, r.now()+ttl)
}

func (r *Router) applyCacheEvents(name string, events []target.CacheEvent) {
	list := make([]routing.CacheEvent, len(events))
	for i, e := range events {
		list[i] = routing.CacheEvent{Sequence: e.Sequence, Model: e.Model, Prefix: e.Prefix, Stored: e.Stored}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.ApplyCacheEvents(name, list)
}
