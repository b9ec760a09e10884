// Package retry limits retries to a share of the requests, for each target and
// for each team, and delays them with a random backoff. A target that fails all
// its requests then gets little more than its normal load, no matter how many
// hosts retry, and the failing requests of one team do not use up the budgets
// of others.
package retry

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/uber-go/tally/v4"
)

// Defaults of Options.
const (
	DefaultShare           = 0.1  // retries for each attempt sent
	DefaultInitialRetries  = 3.0  // retries granted to a new team or target
	DefaultMaxSavedRetries = 20.0 // largest number of retries saved up
	DefaultRefillInterval  = 30 * time.Second
	DefaultBackoff         = 10 * time.Millisecond
	DefaultMaxBackoff      = time.Second
	DefaultMaxBudgets      = 8192 // largest number of teams kept, and of targets
	maxBackoffDoublings    = 16
)

// Options are the limits of a Budget. Zero fields get defaults.
type Options struct {
	Metrics         tally.Scope
	Share           float64       // retries earned by each attempt sent
	InitialRetries  float64       // retries granted to a new team or target
	MaxSavedRetries float64       // largest number of retries saved up
	RefillInterval  time.Duration // time in which a budget below InitialRetries earns one retry without requests, so that rare requests can be retried
	Backoff         time.Duration // longest wait before the first retry
	MaxBackoff      time.Duration // longest wait before any retry
	MaxBudgets      int           // largest number of teams kept, and of targets
	Seed            uint64        // seed of the jitter
}

// OptionsError reports an option out of range.
type OptionsError struct {
	Field string
}

func (e *OptionsError) Error() string { return "retry: option " + e.Field + " is out of range" }

// Budget implements serve.RetryBudget with a token bucket for each team and each
// target.
type Budget struct {
	opts   Options
	origin time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	teams   *lru.Cache[string, *bucket]
	targets *lru.Cache[string, *bucket]
}

// bucket is the token bucket of a team or target; a token pays for one retry.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// New returns a budget with the given options.
func New(opts Options) (*Budget, error) {
	opts.setDefaults()
	if opts.Share < 0 || opts.Share > 1 {
		return nil, &OptionsError{Field: "Share"}
	}
	teams, err := lru.New[string, *bucket](opts.MaxBudgets)
	if err != nil {
		return nil, &OptionsError{Field: "MaxBudgets"}
	}
	targets, err := lru.New[string, *bucket](opts.MaxBudgets)
	if err != nil {
		return nil, &OptionsError{Field: "MaxBudgets"}
	}
	return &Budget{
		opts: opts, origin: time.Now(), rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
		teams: teams, targets: targets,
	}, nil
}

func (o *Options) setDefaults() {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Metrics = o.Metrics.SubScope("retry")
	o.Share = cmp.Or(o.Share, DefaultShare)
	o.InitialRetries = cmp.Or(o.InitialRetries, DefaultInitialRetries)
	o.MaxSavedRetries = cmp.Or(o.MaxSavedRetries, DefaultMaxSavedRetries)
	o.RefillInterval = cmp.Or(o.RefillInterval, DefaultRefillInterval)
	o.Backoff = cmp.Or(o.Backoff, DefaultBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.MaxBudgets = cmp.Or(o.MaxBudgets, DefaultMaxBudgets)
}

// RecordSent implements serve.RetryBudget. It adds Share to both buckets for every
// attempt, whether first or retry: Allow has already taken a whole token for a
// retry.
func (b *Budget) RecordSent(team, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.addShare(b.bucket(b.teams, team))
	b.addShare(b.bucket(b.targets, target))
}

func (b *Budget) addShare(entry *bucket) {
	entry.tokens = min(b.opts.MaxSavedRetries, entry.tokens+b.opts.Share)
}

// Allow implements serve.RetryBudget. It takes a token from both buckets or from
// neither.
func (b *Budget) Allow(team, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	teamBucket, targetBucket := b.bucket(b.teams, team), b.bucket(b.targets, target)
	if teamBucket.tokens < 1 || targetBucket.tokens < 1 {
		limit := "target"
		if teamBucket.tokens < 1 {
			limit = "team"
		}
		b.opts.Metrics.Tagged(map[string]string{"limit": limit}).Counter("refused").Inc(1)
		return false
	}
	teamBucket.tokens--
	targetBucket.tokens--
	b.opts.Metrics.Counter("allowed").Inc(1)
	return true
}

// bucket returns the bucket of a team or target after refilling it for the time
// since its last use.
func (b *Budget) bucket(cache *lru.Cache[string, *bucket], name string) *bucket {
	now := time.Since(b.origin)
	entry, ok := cache.Get(name)
	if !ok {
		entry = &bucket{tokens: b.opts.InitialRetries, updatedAt: now}
		cache.Add(name, entry)
		return entry
	}
	earned := float64(now-entry.updatedAt) / float64(b.opts.RefillInterval)
	if entry.tokens < b.opts.InitialRetries {
		entry.tokens = min(b.opts.InitialRetries, entry.tokens+earned)
	}
	entry.updatedAt = now
	return entry
}

// Backoff implements serve.RetryBudget. Half of the wait is fixed and half is
// random. It doubles with each retry, up to MaxBackoff.
func (b *Budget) Backoff(retry int) time.Duration {
	doublings := min(max(retry-1, 0), maxBackoffDoublings)
	longest := min(b.opts.Backoff<<doublings, b.opts.MaxBackoff)
	b.mu.Lock()
	defer b.mu.Unlock()
	return longest/2 + time.Duration(b.rng.Int64N(int64(longest/2)+1))
}
