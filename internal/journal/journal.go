// Package journal sees to it that a call with an idempotency key runs at most
// once over all hosts. It serves the shards of the attempt journal that this
// host owns, round the core in coord/journal, and asks their owners for leave
// to dispatch.
//
// The owner only grants leave; the host that received the call dispatches it.
// So bodies and answers of any size pass between hosts no second time, and a
// lost message between hosts never leaves a call running unseen.
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
// same number: it decides which object records a key.
const DefaultShards = 16

// Bounds of the shell.
const (
	DefaultAttemptLife = 2 * time.Minute  // after which a started attempt counts as unknown
	DefaultAPITimeout  = 10 * time.Second // of one object API call
	inboxSize          = 1024             // messages waiting for a shard
)

// Options are the surroundings of a Journal. Zero bounds get defaults.
type Options struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	API       platform.API
	Log       logrus.FieldLogger
	Metrics   tally.Scope

	Shards      int           // see DefaultShards
	AttemptLife time.Duration // see DefaultAttemptLife
	APITimeout  time.Duration // see DefaultAPITimeout
	Shard       core.Config   // bounds of each shard; Name and Owner are filled in
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
	origin   time.Time // time 0 of the shards
	attempts atomic.Uint64
	draining atomic.Bool
	shards   []*shard
	owners   owners
	reports  *reporter
	metrics  metrics
}

type metrics struct {
	verdict  func(core.Verdict)
	writes   tally.Counter   // head writes
	starts   tally.Counter   // attempts granted by this host's shards
	apiTime  tally.Histogram // of calls of the object API
	wait     tally.Histogram // from Do to the verdict
	dropped  tally.Counter   // reports of finished attempts given up
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
	if o.AttemptLife == 0 {
		o.AttemptLife = DefaultAttemptLife
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
		starts:   s.Counter("granted"),
		apiTime:  s.Histogram("api_seconds", buckets),
		wait:     s.Histogram("wait_seconds", buckets),
		dropped:  s.Counter("reports_dropped"),
		entries:  s.Gauge("entries"),
		segments: s.Gauge("segments"),
	}
}

// now returns the time as the cores count it.
func (j *Journal) now() time.Duration { return time.Since(j.origin) }

// Run serves this host's shards until ctx ends.
func (j *Journal) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, s := range j.shards {
		group.Go(func() error { return s.run(ctx) })
	}
	group.Go(func() error { return j.reports.run(ctx) })
	group.Go(func() error { return j.watch(ctx) })
	return group.Wait()
}

// watchInterval is how often shards that belong to others are given up and
// the gauges are set.
const watchInterval = 5 * time.Second

func (j *Journal) watch(ctx context.Context) error {
	tick := time.NewTicker(watchInterval)
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

// Drain finishes the reports of ended attempts and hands the shards over: this
// host takes no new attempt on, writes what is unwritten and tells the next
// owners to load.
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
			j.warm(ctx, next, i)
		}
	}
	return ctx.Err()
}

// Do implements serve.Journal.
func (j *Journal) Do(ctx context.Context, id serve.CallID, run serve.RunFunc) (serve.Answer, error) {
	begin := time.Now()
	b := beginParams{
		ID:          core.NewID(id.Team, id.IdempotencyKey),
		Fingerprint: id.Fingerprint,
		Attempt:     j.newAttempt(),
	}
	answer, err := j.acquire(ctx, b)
	j.metrics.wait.RecordDuration(time.Since(begin))
	if err != nil {
		return serve.Answer{}, err
	}
	j.metrics.verdict(answer.Verdict)
	if answer.Verdict != core.Granted {
		return j.repeat(id, answer)
	}
	return j.dispatch(ctx, b, run)
}

// newAttempt returns an id that is unique over all hosts and restarts.
func (j *Journal) newAttempt() string {
	return fmt.Sprintf("%s/%d", j.self, j.attempts.Add(1))
}

// dispatch runs a granted attempt and reports its end.
func (j *Journal) dispatch(ctx context.Context, b beginParams, run serve.RunFunc) (serve.Answer, error) {
	end := ending{beginParams: b, State: core.StateUnknown}
	defer func() { j.reports.add(end) }() // also if run panics
	a, ran, err := run(ctx)
	var ref *refusal.Error
	claimsNotRun := errors.As(err, &ref) && ref.Execution == refusal.NotRun
	invariant.Check(!ran || !claimsNotRun, invariant.NotRunIsTrue, "attempt %s may have run, its refusal says not_run", b.Attempt)
	switch {
	case err == nil:
		end.State = core.StateDone
		end.Answer = encodeAnswer(a)
	case !ran:
		end.State = core.StateAborted
	}
	return a, err
}

// Interface check.
var _ serve.Journal = (*Journal)(nil)
