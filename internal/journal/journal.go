// Package journal ensures that a call with an idempotency key runs at most once
// across all hosts. It serves the shards of the attempt journal that this host
// owns, using the state machine in coord/journal (the core), and asks the
// owners of other shards for permission to dispatch.
//
// The owner only grants permission; the host that received the call dispatches
// it. So request bodies and large answers are not sent between hosts, and a lost
// message between hosts never leaves a call running without the knowledge of the
// host that received it.
package journal

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	core "buckthornseam.dev/coord/journal"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
)

// DefaultShards is the number of shards of a fleet. All hosts must use the
// same number, since it determines which object records a key.
const DefaultShards = 16

// Limits of the journal on one host.
const (
	DefaultAttemptTTL = 2 * time.Minute  // after which the outcome of a started attempt counts as unknown
	DefaultAPITimeout = 10 * time.Second // limit of one object API call
	inboxSize         = 1024             // messages queued for a shard
)

// Options are the dependencies and limits of a Journal. Zero limits get defaults.
type Options struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	API       platform.API
	Log       logrus.FieldLogger
	Metrics   tally.Scope

	Shards     int           // see DefaultShards
	AttemptTTL time.Duration // see DefaultAttemptTTL
	APITimeout time.Duration // see DefaultAPITimeout
	Shard      core.Config   // settings of each shard; Name and Owner are filled in
}

// OptionsError reports a missing option.
type OptionsError struct {
	Field string
}

func (e *OptionsError) Error() string { return "journal: option " + e.Field + " is missing" }

// Journal implements serve.Journal.
type Journal struct {
	opts     Options
	self     peer.ID
	origin   time.Time // zero of the times passed to the core
	attempts atomic.Uint64
	draining atomic.Bool
	shards   []*shard
	owners   ownerCache
	reports  *reporter
	metrics  metrics
}

type metrics struct {
	verdict  func(core.Verdict)
	writes   tally.Counter   // head writes
	granted  tally.Counter   // attempts granted by this host's shards
	apiTime  tally.Histogram // duration of object API calls
	wait     tally.Histogram // time from Do to the verdict
	dropped  tally.Counter   // outcomes of attempts dropped before the owner confirmed them
	entries  tally.Gauge
	segments tally.Gauge
}

// New returns a journal and registers its peer methods.
func New(opts Options) (*Journal, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	j := &Journal{opts: opts, self: opts.Members.Self().ID, origin: time.Now()}
	j.metrics = newMetrics(opts.Metrics)
	for i := range opts.Shards {
		j.shards = append(j.shards, newShard(j, i))
	}
	j.reports = newReporter(j)
	j.register(opts.Registrar)
	return j, nil
}

func (o *Options) check() error {
	for field, missing := range map[string]bool{
		"Members": o.Members == nil, "Caller": o.Caller == nil, "Registrar": o.Registrar == nil,
		"API": o.API == nil, "Log": o.Log == nil, "Metrics": o.Metrics == nil,
	} {
		if missing {
			return &OptionsError{Field: field}
		}
	}
	if o.Shards == 0 {
		o.Shards = DefaultShards
	}
	if o.AttemptTTL == 0 {
		o.AttemptTTL = DefaultAttemptTTL
	}
	if o.APITimeout == 0 {
		o.APITimeout = DefaultAPITimeout
	}
	o.Shard = o.Shard.WithDefaults()
	return nil
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("journal")
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return metrics{
		verdict:  func(v core.Verdict) { s.Tagged(map[string]string{"verdict": string(v)}).Counter("attempts").Inc(1) },
		writes:   s.Counter("head_writes"),
		granted:  s.Counter("granted"),
		apiTime:  s.Histogram("api_seconds", buckets),
		wait:     s.Histogram("wait_seconds", buckets),
		dropped:  s.Counter("reports_dropped"),
		entries:  s.Gauge("entries"),
		segments: s.Gauge("segments"),
	}
}

// now returns the time that is passed to the core.
func (j *Journal) now() time.Duration { return time.Since(j.origin) }

// Run serves this host's shards and reports the outcomes of attempts until ctx
// ends.
func (j *Journal) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range j.shards {
		group.Go(func() error { return s.run(ctx) })
	}
	group.Go(func() error { return j.reports.run(ctx) })
	group.Go(func() error { return j.maintain(ctx) })
	return group.Wait()
}

// maintenanceInterval is how often shards that other hosts own are released and
// the gauges are updated.
const maintenanceInterval = 5 * time.Second

func (j *Journal) maintain(ctx context.Context) error {
	tick := time.NewTicker(maintenanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		var entries, segments int
		for i, s := range j.shards {
			if j.ownerOf(i, nil) != j.self.Name {
				s.release(ctx)
			}
			st := s.stats()
			entries += st.Entries + st.Sealed
			segments += st.Segments
		}
		j.metrics.entries.Update(float64(entries))
		j.metrics.segments.Update(float64(segments))
	}
}

// Drain reports the outcomes of ended attempts and hands the shards over: this
// host ceases to own shards, writes unwritten changes and tells the next owners
// to load the shards.
func (j *Journal) Drain(ctx context.Context) error {
	j.draining.Store(true)
	j.reports.drain(ctx)
	for i, s := range j.shards {
		if !s.stats().Loaded {
			continue
		}
		s.flush(ctx)
		s.release(ctx)
		if next := j.ownerOf(i, nil); next != "" && next != j.self.Name {
			j.preload(ctx, next, i)
		}
	}
	return ctx.Err()
}

// Do implements serve.Journal.
func (j *Journal) Do(ctx context.Context, id serve.CallID, run serve.RunFunc) (serve.Response, error) {
	begin := time.Now()
	b := beginParams{
		ID:          core.NewID(id.Team, id.IdempotencyKey),
		Fingerprint: id.Fingerprint,
		Attempt:     j.newAttempt(),
	}
	reply, err := j.acquire(ctx, b)
	j.metrics.wait.RecordDuration(time.Since(begin))
	if err != nil {
		return serve.Response{}, err
	}
	j.metrics.verdict(reply.Verdict)
	if reply.Verdict != core.Granted {
		return j.answerOrRefuse(id, reply)
	}
	return j.dispatch(ctx, b, run)
}

// newAttempt returns an id that is unique across all hosts and restarts.
func (j *Journal) newAttempt() string {
	return fmt.Sprintf("%s/%d", j.self, j.attempts.Add(1))
}

// dispatch runs a granted attempt and reports its outcome.
func (j *Journal) dispatch(ctx context.Context, b beginParams, run serve.RunFunc) (serve.Response, error) {
	o := outcome{beginParams: b, State: core.StateUnknown}
	defer func() { j.reports.add(o) }() // also if run panics
	a, ran, err := run(ctx)
	var ref *refusal.Error
	claimsNotRun := errors.As(err, &ref) && ref.Execution == refusal.NotRun
	invariant.Check(!ran || !claimsNotRun, invariant.NotRunIsTrue, "attempt %s may have run, but its refusal says not_run", b.Attempt)
	switch {
	case err == nil:
		o.State = core.StateDone
		o.Answer = encodeAnswer(a)
	case !ran:
		o.State = core.StateAborted
	}
	return a, err
}

// Interface check.
var _ serve.Journal = (*Journal)(nil)
