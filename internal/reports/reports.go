// Package reports keeps the latest load report of each engine that this host
// works with, and passes on cache events.
//
// Each engine is polled by one owner host, found by rendezvous hashing over
// the alive members; every other host asks the owner, for all engines that it
// needs from that owner in one call. A report is never safe to decide
// ownership or memory on by its age alone: it says what the engine was like
// some time ago, and Latest states how long.
package reports

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/target"
)

const (
	// DefaultInterval is the time between two polls of an engine and
	// between two calls to an owner.
	DefaultInterval = 500 * time.Millisecond
	// DefaultSubset is the number of engines that one host follows of its
	// own accord, in whole buckets and at least one bucket of each pool.
	// Fleets up to this size are followed whole.
	DefaultSubset = 32

	methodFetch       = "reports.fetch"
	callTimeout       = time.Second
	maxParallelCalls  = 32
	smallFleetOwners  = 7 // up to this many owners are all asked in each tick
	ownersATick       = 2 // of more owners, so many are asked in each tick
	staleTurns        = 4 // turns of an owner without news after which an engine is polled directly
	directPollsATick  = 8
	pinLife           = 5 * time.Minute
	maxPins           = 256
	maxEventsKept     = 256 // cache events kept for each owned engine
	maxEventsPerFetch = 64  // cache events in one answer, over all its engines
)

// Options configure a Cache. Interval and Subset may be zero.
type Options struct {
	Members    peer.Members
	Caller     peer.Caller
	Registrar  peer.Registrar
	Controller target.Controller
	Config     config.Source
	Log        logrus.FieldLogger
	Metrics    tally.Scope
	Interval   time.Duration // time between polls, DefaultInterval if zero
	Subset     int           // see DefaultSubset, which holds if zero
}

// MissingOptionError reports an option that New needs.
type MissingOptionError struct{ Option string }

func (e *MissingOptionError) Error() string { return "reports: option " + e.Option + " is missing" }

// UnknownTargetError reports a target that the configuration in force does
// not name as an engine.
type UnknownTargetError struct{ Target string }

func (e *UnknownTargetError) Error() string { return "no engine named " + e.Target }

// Cache holds the latest report of each followed engine. It is safe for
// concurrent use.
type Cache struct {
	opts  Options
	self  string
	store *store
	plan  *planner

	mu       sync.Mutex
	pins     map[string]time.Time // end of each pin
	followed map[string]int       // pools followed whole, by number of followers
	polling  map[string]bool      // calls under way
	handlers []func(string, []target.CacheEvent)

	cursor int // next owner to ask, used by Run only
}

// New returns a cache and registers its peer method.
func New(o Options) (*Cache, error) {
	switch {
	case o.Members == nil:
		return nil, &MissingOptionError{Option: "Members"}
	case o.Caller == nil:
		return nil, &MissingOptionError{Option: "Caller"}
	case o.Registrar == nil:
		return nil, &MissingOptionError{Option: "Registrar"}
	case o.Controller == nil:
		return nil, &MissingOptionError{Option: "Controller"}
	case o.Config == nil:
		return nil, &MissingOptionError{Option: "Config"}
	}
	if o.Log == nil {
		o.Log = logrus.StandardLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	o.Metrics = o.Metrics.SubScope("reports")
	if o.Interval == 0 {
		o.Interval = DefaultInterval
	}
	if o.Subset == 0 {
		o.Subset = DefaultSubset
	}
	self := o.Members.Self().ID.Name
	c := &Cache{
		opts:     o,
		self:     self,
		store:    newStore(),
		plan:     newPlanner(self, o.Subset),
		pins:     map[string]time.Time{},
		followed: map[string]int{},
		polling:  map[string]bool{},
	}
	o.Registrar.Handle(methodFetch, c.handleFetch)
	return c, nil
}

// Run polls and fetches until ctx ends.
func (c *Cache) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.Interval)
	defer ticker.Stop()
	calls := &errgroup.Group{}
	calls.SetLimit(maxParallelCalls)
	for {
		c.tick(ctx, calls)
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-ticker.C:
		}
	}
}

// Latest returns the newest report of an engine and the time since the moment
// it describes. It is false if none is known.
func (c *Cache) Latest(name string) (target.Report, time.Duration, bool) {
	e, ok := c.store.get(name)
	if !ok {
		return target.Report{}, 0, false
	}
	return e.report, time.Since(e.at), true
}

// Put adds a report that the caller read itself, described as the engine was
// r.Age ago. An older one than is known changes nothing.
func (c *Cache) Put(name string, r target.Report) {
	c.store.put(name, r, time.Now().Add(-r.Age))
}

// Refresh polls an engine now, for example while a load is awaited.
func (c *Cache) Refresh(ctx context.Context, name string) (target.Report, error) {
	t := c.opts.Config.Snapshot().Targets[name]
	if t == nil || t.Kind != config.TargetEngine {
		return target.Report{}, &UnknownTargetError{Target: name}
	}
	r, err := c.opts.Controller.Report(ctx, t.Address)
	if err != nil {
		return target.Report{}, err
	}
	c.Put(name, r)
	return r, nil
}

// Pin has an engine followed for the next minutes, for example because a
// model that is used here is ready on it.
func (c *Cache) Pin(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, pinned := c.pins[name]; !pinned && len(c.pins) >= maxPins {
		return
	}
	c.pins[name] = time.Now().Add(pinLife)
}

// FollowPool has every engine of a pool followed until stop is called. The
// decider of a pool's placement needs it.
func (c *Cache) FollowPool(pool string) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followed[pool]++
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.followed[pool]--; c.followed[pool] == 0 {
			delete(c.followed, pool)
		}
	})
}

// Subscribe returns a subscription to changes of reports. It starts with all
// engines known now. Close it when done.
func (c *Cache) Subscribe() *Subscription {
	return c.store.subscribe()
}

// HandleCacheEvents registers a function that is called with the cache events
// of an engine in their order, late and with gaps. It is called concurrently
// for different engines. Register before Run.
func (c *Cache) HandleCacheEvents(f func(name string, events []target.CacheEvent)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers = append(c.handlers, f)
}

// interest returns the live pins and the followed pools.
func (c *Cache) interest(now time.Time) (pins []string, pools map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, end := range c.pins {
		if now.After(end) {
			delete(c.pins, name)
			continue
		}
		pins = append(pins, name)
	}
	pools = make(map[string]bool, len(c.followed))
	for pool := range c.followed {
		pools[pool] = true
	}
	return pins, pools
}
