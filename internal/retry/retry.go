// Package retry bounds retries to a share of the requests, for each target
// and for each team, and spaces them out at random. A target that fails all
// its requests is then sent little more than its normal load, however many
// hosts retry, and one team's failing requests leave the others' budget alone.
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
	DefaultShare       = 0.1  // retries for each first attempt
	DefaultStart       = 3.0  // retries of a team or target not seen before
	DefaultCap         = 20.0 // retries saved up at most
	DefaultRefill      = 30 * time.Second
	DefaultBackoff     = 10 * time.Millisecond
	DefaultMaxBackoff  = time.Second
	DefaultMaxBudgets  = 8192 // teams, and targets, remembered
	maxBackoffDoubling = 16
)

// Options are the bounds of a Budget. Zero fields get defaults.
type Options struct {
	Metrics    tally.Scope
	Share      float64       // retries earned by a first attempt
	Start      float64       // retries of a team or target not seen before
	Cap        float64       // retries saved up at most
	Refill     time.Duration // time that earns one retry without any request, so that a rare request may be retried
	Backoff    time.Duration // longest wait before the first retry
	MaxBackoff time.Duration // longest wait before any retry
	MaxBudgets int           // teams, and targets, remembered
	Seed       uint64        // of the jitter
}

// OptionsError reports an option out of range.
type OptionsError struct {
	Field string
}

func (e *OptionsError) Error() string { return "retry: option " + e.Field + " is out of range" }

// Budget implements serve.RetryBudget.
type Budget struct {
	opts   Options
	origin time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	teams   *lru.Cache[string, *account]
	targets *lru.Cache[string, *account]
}

// account is the number of retries one team or target may still have.
type account struct {
	balance float64
	updated time.Duration
}

// New returns a budget.
func New(opts Options) (*Budget, error) {
	opts.setDefaults()
	if opts.Share < 0 || opts.Share > 1 {
		return nil, &OptionsError{Field: "Share"}
	}
	teams, err := lru.New[string, *account](opts.MaxBudgets)
	if err != nil {
		return nil, &OptionsError{Field: "MaxBudgets"}
	}
	targets, err := lru.New[string, *account](opts.MaxBudgets)
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
	o.Start = cmp.Or(o.Start, DefaultStart)
	o.Cap = cmp.Or(o.Cap, DefaultCap)
	o.Refill = cmp.Or(o.Refill, DefaultRefill)
	o.Backoff = cmp.Or(o.Backoff, DefaultBackoff)
	o.MaxBackoff = cmp.Or(o.MaxBackoff, DefaultMaxBackoff)
	o.MaxBudgets = cmp.Or(o.MaxBudgets, DefaultMaxBudgets)
}

// Sent implements serve.RetryBudget. It counts every attempt, first or not; a
// retry has paid for itself by then and earns no more than its share.
func (b *Budget) Sent(team, target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earn(b.account(b.teams, team))
	b.earn(b.account(b.targets, target))
}

func (b *Budget) earn(a *account) { a.balance = min(b.opts.Cap, a.balance+b.opts.Share) }

// Allow implements serve.RetryBudget. It takes from both budgets or neither.
func (b *Budget) Allow(team, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, g := b.account(b.teams, team), b.account(b.targets, target)
	if t.balance < 1 || g.balance < 1 {
		limit := "target"
		if t.balance < 1 {
			limit = "team"
		}
		b.opts.Metrics.Tagged(map[string]string{"limit": limit}).Counter("refused").Inc(1)
		return false
	}
	t.balance--
	g.balance--
	b.opts.Metrics.Counter("allowed").Inc(1)
	return true
}

// account returns a budget with what time has earned it.
func (b *Budget) account(in *lru.Cache[string, *account], name string) *account {
	now := time.Since(b.origin)
	a, ok := in.Get(name)
	if !ok {
		a = &account{balance: b.opts.Start, updated: now}
		in.Add(name, a)
		return a
	}
	earned := float64(now-a.updated) / float64(b.opts.Refill)
	if a.balance < b.opts.Start {
		a.balance = min(b.opts.Start, a.balance+earned)
	}
	a.updated = now
	return a
}

// Backoff implements serve.RetryBudget: half the wait is fixed, half random,
// and it doubles with each retry up to the bound.
func (b *Budget) Backoff(retry int) time.Duration {
	doublings := min(max(retry-1, 0), maxBackoffDoubling)
	longest := min(b.opts.Backoff<<doublings, b.opts.MaxBackoff)
	b.mu.Lock()
	defer b.mu.Unlock()
	return longest/2 + time.Duration(b.rng.Int64N(int64(longest/2)+1))
}
