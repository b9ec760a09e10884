// Package limit enforces the rate and burst of teams over all hosts together. It runs the limits
// of package coord/quota: it sends their messages between hosts, keeps the ledger of homes in the
// object API, and hands limits over at a planned stop.
//
// While the object API is down, homes and borrowers continue with what they hold and no limit
// changes its home. A team created in that time is refused until the API is back, since no host
// can know whether another holds the team's tokens.
package limit

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
)

// Bounds and intervals of a Limiter.
const (
	// maxWait is the longest wait for tokens that accrue or are collected from borrowers.
	maxWait = 400 * time.Millisecond
	// maxHomeWait is the longest wait for a limit whose home is not known yet, for example just
	// after its team was created.
	maxHomeWait = 1500 * time.Millisecond
	// tickInterval is the time between ticks of limits with pending work.
	tickInterval = 5 * time.Millisecond
	// sweepInterval is the time between ticks of all limits.
	sweepInterval = time.Second
	// configInterval is the time between checks for a new configuration.
	configInterval = 100 * time.Millisecond
	// messageQueueSize bounds the messages that wait to be sent. A message that finds the queue
	// full is dropped, and its quota.Limit repeats it.
	messageQueueSize = 1024
	// maxCalls bounds the concurrent calls to peers.
	maxCalls = 256
)

// Options are the dependencies and settings of a Limiter. All fields but Permits are required.
type Options struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	API       platform.API
	Config    config.Source
	Log       logrus.FieldLogger
	Metrics   tally.Scope

	// Permits are fleet-wide limits without refill, by name. The value is how many may be held at
	// once over all hosts. It must be the same on all hosts.
	Permits map[string]int64
}

// OptionsError reports a missing option.
type OptionsError struct {
	Field string
}

func (e *OptionsError) Error() string { return "limit: option " + e.Field + " is missing" }

// Limiter implements serve.Limiter.
type Limiter struct {
	opts       Options
	self       quota.ID
	origin     time.Time // time 0 of the limits' clock
	messages   chan message
	trigger    chan struct{} // makes the reconciler start a round
	wake       chan struct{} // signals that an entry became active
	reconciler *reconciler
	metrics    metrics

	entries atomic.Pointer[map[string]*entry] // copied on change

	mu            sync.Mutex
	appliedConfig *config.Snapshot // last configuration applied
	active        map[*entry]struct{}
}

// message is a call to another host that a limit requested.
type message struct {
	entry       *entry
	to          quota.ID
	loanRequest *quota.LoanRequest
	recall      *quota.Recall
}

// New returns a limiter with registered handlers. It grants nothing before Run has read or written
// the homes of the limits.
func New(o Options) (*Limiter, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	l := &Limiter{
		opts:     o,
		self:     quota.ID(o.Members.Self().ID),
		origin:   time.Now(),
		messages: make(chan message, messageQueueSize),
		trigger:  make(chan struct{}, 1),
		active:   make(map[*entry]struct{}),
		wake:     make(chan struct{}, 1),
	}
	l.metrics = newMetrics(o.Metrics)
	seed := xxhash.Sum64String(l.self.Name + "/" + l.self.Incarnation)
	l.reconciler = newReconciler(l, rand.New(rand.NewPCG(seed, seed)))
	l.entries.Store(&map[string]*entry{})
	for name, n := range o.Permits {
		l.ensureEntry(permitPrefix+name, quota.Permits, 0, n)
	}
	l.applyConfig()
	l.register()
	return l, nil
}

func (o Options) check() error {
	for _, f := range []struct {
		name    string
		missing bool
	}{
		{"Members", o.Members == nil}, {"Caller", o.Caller == nil}, {"Registrar", o.Registrar == nil},
		{"API", o.API == nil}, {"Config", o.Config == nil}, {"Log", o.Log == nil}, {"Metrics", o.Metrics == nil},
	} {
		if f.missing {
			return &OptionsError{Field: f.name}
		}
	}
	return nil
}

// Run ticks the limits, sends their messages and keeps the ledger until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.runTicks(ctx) })
	group.Go(func() error { return l.runCalls(ctx) })
	group.Go(func() error { return l.reconciler.run(ctx) })
	return group.Wait()
}

// Prefixes of the names of limits in the ledger.
const (
	teamPrefix   = "team/"
	permitPrefix = "permits/"
)

// now is the time passed to the limits: monotonic and valid in this process only.
func (l *Limiter) now() time.Duration { return time.Since(l.origin) }

// lookup returns the entry of a limit, nil if there is none.
func (l *Limiter) lookup(name string) *entry { return (*l.entries.Load())[name] }

// ensureEntry returns the entry of a limit and creates it if there is none.
func (l *Limiter) ensureEntry(name string, kind quota.Kind, rate float64, burst int64) *entry {
	l.addEntries(map[string]*entry{name: newEntry(l, name, kind, rate, burst)})
	return l.lookup(name)
}

// addEntries publishes the entries whose names are new.
func (l *Limiter) addEntries(entries map[string]*entry) {
	l.mu.Lock()
	next := maps.Clone(entries)
	maps.Copy(next, *l.entries.Load())
	l.entries.Store(&next)
	l.mu.Unlock()
	l.reconciler.applyLedger(l.reconciler.snapshot().Ledger)
}

// applyConfig applies the rates and bursts of the configuration in force. The entry of a removed
// team stays with rate and burst zero, so that creating the team again does not fill its bucket.
func (l *Limiter) applyConfig() {
	snap := l.opts.Config.Snapshot()
	l.mu.Lock()
	same := snap == l.appliedConfig
	l.appliedConfig = snap
	l.mu.Unlock()
	if same {
		return
	}
	l.addTeams(snap)
	for name, e := range *l.entries.Load() {
		if e.kind != quota.Rate {
			continue
		}
		if t := snap.Teams[name[len(teamPrefix):]]; t != nil {
			e.configure(t.Rate, t.Burst)
			continue
		}
		e.configure(0, 0)
	}
}

// addTeams creates the entries of all new teams with a single copy of the map.
func (l *Limiter) addTeams(snap *config.Snapshot) {
	added := make(map[string]*entry)
	for _, t := range snap.Teams {
		if name := teamPrefix + t.Name; l.lookup(name) == nil {
			added[name] = newEntry(l, name, quota.Rate, t.Rate, t.Burst)
		}
	}
	if len(added) > 0 {
		l.addEntries(added)
	}
}

// Reserve implements serve.Limiter. It waits at most maxWait for tokens, or maxHomeWait if the
// home is not known.
func (l *Limiter) Reserve(ctx context.Context, team *config.Team, tokens int64) (serve.Reservation, error) {
	e := l.lookupTeam(team.Name)
	if e == nil {
		e = l.ensureEntry(teamPrefix+team.Name, quota.Rate, team.Rate, team.Burst)
	}
	if tokens <= 0 {
		return emptyReservation{}, nil
	}
	if tokens > team.Burst {
		l.metrics.refused.Inc(1)
		return nil, refusal.New(http.StatusTooManyRequests, refusal.CodeRateLimited,
			"The request needs more tokens than the team's burst allows.")
	}
	if r := e.take(tokens * quota.Nano); r != nil {
		l.metrics.local.Inc(1)
		return r, nil
	}
	r, retryAfter, err := e.wait(ctx, tokens*quota.Nano)
	if r != nil {
		l.metrics.waited.Inc(1)
		return r, nil
	}
	l.metrics.refused.Inc(1)
	return nil, l.refusalFor(e, retryAfter, err)
}

// refusalFor returns the refusal that tells the caller why no tokens were reserved.
func (l *Limiter) refusalFor(e *entry, retryAfter time.Duration, err error) *refusal.Error {
	switch {
	case errors.Is(err, context.Canceled):
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeCanceled, "The request was given up.").WithCause(err)
	case !e.homeKnown():
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded,
			"The team's allowance is not known on this host yet.").
			WithRetryAfter(sweepInterval)
	}
	return refusal.New(http.StatusTooManyRequests, refusal.CodeRateLimited, "The team's rate is used up.").
		WithRetryAfter(max(retryAfter, tickInterval))
}

// lookupTeam returns a team's entry without allocating the key.
func (l *Limiter) lookupTeam(team string) *entry {
	var buf [128]byte
	key := append(append(buf[:0], teamPrefix...), team...)
	return (*l.entries.Load())[string(key)]
}

// emptyReservation is a reservation of no tokens.
type emptyReservation struct{}

func (emptyReservation) Settle(int64) {}

// triggerReconcile makes the reconciler start a round soon.
func (l *Limiter) triggerReconcile() {
	select {
	case l.trigger <- struct{}{}:
	default:
	}
}

// runTicks ticks the limits that need it. Without active limits it wakes up only to check the
// configuration and to sweep all limits, since wake-ups are most of the cost of an idle host.
func (l *Limiter) runTicks(ctx context.Context) error {
	timer := time.NewTimer(configInterval)
	defer timer.Stop()
	var lastSweep, lastConfig time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.wake:
			// Keep ticks tickInterval apart: an entry that becomes active
			// right after its tick waits for the next one.
			timer.Reset(tickInterval)
			continue
		case <-timer.C:
		}
		timer.Reset(l.untilTick())
		now := l.now()
		if now >= lastConfig+configInterval {
			lastConfig = now
			l.applyConfig()
		}
		if now >= lastSweep+sweepInterval {
			lastSweep = now
			l.sweep()
			continue
		}
		l.tickActive()
	}
}

// untilTick returns the time until the next tick.
func (l *Limiter) untilTick() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.active) > 0 {
		return tickInterval
	}
	return configInterval
}

func (l *Limiter) tickActive() {
	l.mu.Lock()
	due := make([]*entry, 0, len(l.active))
	for e := range l.active {
		due = append(due, e)
	}
	clear(l.active)
	l.mu.Unlock()
	for _, e := range due {
		e.tick()
	}
}

func (l *Limiter) sweep() {
	var stats quota.Stats
	homes := 0
	for _, e := range *l.entries.Load() {
		s, home := e.tick()
		stats = stats.Add(s)
		if home {
			homes++
		}
	}
	l.metrics.report(stats, homes)
}

// markActive schedules a tick of the entry.
func (l *Limiter) markActive(e *entry) {
	l.mu.Lock()
	first := len(l.active) == 0
	l.active[e] = struct{}{}
	l.mu.Unlock()
	if !first {
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// runCalls sends the messages of the limits. A message that arrives while maxCalls calls are in
// progress is dropped, and its quota.Limit repeats it.
func (l *Limiter) runCalls(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case m := <-l.messages:
			calls.TryGo(func() error {
				l.send(ctx, m)
				return nil
			})
		}
	}
}

// decode parses the parameters of a call.
func decode(params json.RawMessage, into any) error {
	if err := json.Unmarshal(params, into); err != nil {
		return &peer.HandlerError{Code: "bad_params", Message: err.Error()}
	}
	return nil
}

// Limiter implements serve.Limiter.
var _ serve.Limiter = (*Limiter)(nil)
