// Package limit enforces rate and burst of teams over all hosts together. It
// is the shell round the core in coord/quota: it carries the core's messages
// between hosts, keeps the ledger of homes in the object API and hands limits
// over at a planned stop.
//
// With the object API down, homes and borrowers go on with what they have;
// no limit changes its home. A team that is new then is refused until the API
// is back, since no host may tell whether another has its tokens.
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

// Bounds of the shell.
const (
	// patience is the longest wait for tokens that accrue or are gathered.
	patience = 400 * time.Millisecond
	// openPatience is the longest wait for a limit whose home is not known
	// yet, as just after a team was created.
	openPatience = 1500 * time.Millisecond
	// tickInterval is how often limits with something to do are looked at.
	tickInterval = 5 * time.Millisecond
	// sweepInterval is how often all limits are looked at.
	sweepInterval = time.Second
	// configInterval is how often a new configuration is looked for.
	configInterval = 100 * time.Millisecond
	// sendQueue bounds messages waiting to be sent; the core repeats those
	// that find it full.
	sendQueue = 1024
	// maxCalls bounds calls to peers in progress.
	maxCalls = 256
)

// Options are the surroundings of a Limiter. All fields but Permits are
// required.
type Options struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	API       platform.API
	Config    config.Source
	Log       logrus.FieldLogger
	Metrics   tally.Scope

	// Permits are fleet-wide limits without refill, by name: how many may be
	// held at once over all hosts. All hosts must name the same.
	Permits map[string]int64
}

// OptionsError reports a missing option.
type OptionsError struct {
	Field string
}

func (e *OptionsError) Error() string { return "limit: option " + e.Field + " is missing" }

// Limiter implements serve.Limiter.
type Limiter struct {
	opts    Options
	self    quota.ID
	origin  time.Time // time 0 of the cores
	sends   chan message
	kick    chan struct{} // asks the keeper to look at once
	wake    chan struct{} // an entry has become active
	keeper  *keeper
	metrics metrics

	entries atomic.Pointer[map[string]*entry] // copied on change

	mu     sync.Mutex
	snap   *config.Snapshot // applied last
	active map[*entry]struct{}
}

// message is a call to another host that the core wants made.
type message struct {
	entry  *entry
	to     quota.ID
	ask    *quota.LoanRequest
	recall *quota.Recall
}

// New returns a limiter whose handlers are registered. It admits nothing
// before Run has found or written the homes of the limits.
func New(o Options) (*Limiter, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	x := &Limiter{
		opts:   o,
		self:   quota.ID(o.Members.Self().ID),
		origin: time.Now(),
		sends:  make(chan message, sendQueue),
		kick:   make(chan struct{}, 1),
		active: make(map[*entry]struct{}),
		wake:   make(chan struct{}, 1),
	}
	x.metrics = newMetrics(o.Metrics)
	seed := xxhash.Sum64String(x.self.Name + "/" + x.self.Incarnation)
	x.keeper = newKeeper(x, rand.New(rand.NewPCG(seed, seed)))
	x.entries.Store(&map[string]*entry{})
	for name, n := range o.Permits {
		x.entry(permitPrefix+name, quota.Permits, 0, n)
	}
	x.applyConfig()
	x.register()
	return x, nil
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

// Run carries messages and keeps the ledger until ctx ends.
func (x *Limiter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return x.runTicks(ctx) })
	group.Go(func() error { return x.runSends(ctx) })
	group.Go(func() error { return x.keeper.run(ctx) })
	return group.Wait()
}

// Names of limits in the ledger.
const (
	teamPrefix   = "team/"
	permitPrefix = "permits/"
)

// now is the time of the cores: monotonic, of this process.
func (x *Limiter) now() time.Duration { return time.Since(x.origin) }

// lookup returns the entry of a limit, nil if there is none.
func (x *Limiter) lookup(name string) *entry { return (*x.entries.Load())[name] }

// entry makes the entry of a limit if there is none yet, and returns it.
func (x *Limiter) entry(name string, kind quota.Kind, rate float64, burst int64) *entry {
	x.add(map[string]*entry{name: newEntry(x, name, kind, rate, burst)})
	return x.lookup(name)
}

// add publishes the entries whose names are new.
func (x *Limiter) add(entries map[string]*entry) {
	x.mu.Lock()
	next := maps.Clone(entries)
	maps.Copy(next, *x.entries.Load())
	x.entries.Store(&next)
	x.mu.Unlock()
	x.keeper.apply(x.keeper.snapshot().Ledger)
}

// applyConfig brings rates and bursts in line with the configuration in force.
// A team that was removed keeps its entry with nothing to spend, so that
// creating it anew does not fill its bucket.
func (x *Limiter) applyConfig() {
	snap := x.opts.Config.Snapshot()
	x.mu.Lock()
	same := snap == x.snap
	x.snap = snap
	x.mu.Unlock()
	if same {
		return
	}
	x.addTeams(snap)
	for name, e := range *x.entries.Load() {
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

// addTeams makes the entries of all new teams with one copy of the map.
func (x *Limiter) addTeams(snap *config.Snapshot) {
	fresh := make(map[string]*entry)
	for _, t := range snap.Teams {
		if name := teamPrefix + t.Name; x.lookup(name) == nil {
			fresh[name] = newEntry(x, name, quota.Rate, t.Rate, t.Burst)
		}
	}
	if len(fresh) > 0 {
		x.add(fresh)
	}
}

// Reserve implements serve.Limiter. It waits at most patience for tokens.
func (x *Limiter) Reserve(ctx context.Context, team *config.Team, tokens int64) (serve.Reservation, error) {
	e := x.lookupTeam(team.Name)
	if e == nil {
		e = x.entry(teamPrefix+team.Name, quota.Rate, team.Rate, team.Burst)
	}
	if tokens <= 0 {
		return noTokens{}, nil
	}
	if tokens > team.Burst {
		x.metrics.refused.Inc(1)
		return nil, refusal.New(http.StatusTooManyRequests, refusal.CodeRateLimited,
			"The request needs more tokens than the team's burst allows.")
	}
	if r := e.take(tokens * quota.Nano); r != nil {
		x.metrics.local.Inc(1)
		return r, nil
	}
	r, after, err := e.wait(ctx, tokens*quota.Nano)
	if r != nil {
		x.metrics.waited.Inc(1)
		return r, nil
	}
	x.metrics.refused.Inc(1)
	return nil, x.refuse(e, after, err)
}

// refuse says why no tokens came.
func (x *Limiter) refuse(e *entry, after time.Duration, err error) *refusal.Error {
	switch {
	case errors.Is(err, context.Canceled):
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeCanceled, "The request was given up.").WithCause(err)
	case !e.opened():
		return refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "The team's allowance is not known on this host yet.").
			WithRetry(sweepInterval)
	}
	return refusal.New(http.StatusTooManyRequests, refusal.CodeRateLimited, "The team's rate is used up.").
		WithRetry(max(after, tickInterval))
}

// lookupTeam finds a team's entry without joining strings.
func (x *Limiter) lookupTeam(team string) *entry {
	var buf [128]byte
	key := append(append(buf[:0], teamPrefix...), team...)
	return (*x.entries.Load())[string(key)]
}

// noTokens is a reservation of nothing.
type noTokens struct{}

func (noTokens) Settle(int64) {}

// kickKeeper asks the keeper to look at ledger and hosts soon.
func (x *Limiter) kickKeeper() {
	select {
	case x.kick <- struct{}{}:
	default:
	}
}

// runTicks calls the cores when something is due. With nothing under way it
// wakes up only to look at the configuration and to sweep: most of the cost of
// an idle host is its wake-ups.
func (x *Limiter) runTicks(ctx context.Context) error {
	timer := time.NewTimer(configInterval)
	defer timer.Stop()
	var swept, configured time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-x.wake:
			// Ticks stay a tick apart: an entry that is active again
			// right after its tick waits for the next.
			timer.Reset(tickInterval)
			continue
		case <-timer.C:
		}
		timer.Reset(x.untilTick())
		now := x.now()
		if now >= configured+configInterval {
			configured = now
			x.applyConfig()
		}
		if now >= swept+sweepInterval {
			swept = now
			x.sweep()
			continue
		}
		x.tickActive()
	}
}

// untilTick returns the wait for the next tick.
func (x *Limiter) untilTick() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.active) > 0 {
		return tickInterval
	}
	return configInterval
}

func (x *Limiter) tickActive() {
	x.mu.Lock()
	due := make([]*entry, 0, len(x.active))
	for e := range x.active {
		due = append(due, e)
	}
	clear(x.active)
	x.mu.Unlock()
	for _, e := range due {
		e.tick()
	}
}

func (x *Limiter) sweep() {
	var moves quota.Stats
	homes := 0
	for _, e := range *x.entries.Load() {
		m, home := e.tick()
		moves = moves.Add(m)
		if home {
			homes++
		}
	}
	x.metrics.report(moves, homes)
}

// markActive has the entry ticked soon.
func (x *Limiter) markActive(e *entry) {
	x.mu.Lock()
	first := len(x.active) == 0
	x.active[e] = struct{}{}
	x.mu.Unlock()
	if !first {
		return
	}
	select {
	case x.wake <- struct{}{}:
	default:
	}
}

// runSends makes the calls that the cores want. What finds all calls in
// progress is dropped; the core repeats it.
func (x *Limiter) runSends(ctx context.Context) error {
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for {
		select {
		case <-ctx.Done():
			return calls.Wait()
		case m := <-x.sends:
			calls.TryGo(func() error {
				x.call(ctx, m)
				return nil
			})
		}
	}
}

// decode reads the parameters of a call.
func decode(params json.RawMessage, into any) error {
	if err := json.Unmarshal(params, into); err != nil {
		return &peer.Failure{Code: "bad_params", Message: err.Error()}
	}
	return nil
}

// Interface check.
var _ serve.Limiter = (*Limiter)(nil)
