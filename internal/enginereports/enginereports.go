// Package enginereports caches the latest load report of each engine that this host
// follows, and passes on cache events.
//
// Each engine is polled by one owner host, determined by rendezvous hashing over
// the alive members. The other hosts ask the owner, with one call for all the
// engines that they need from it. A report describes an engine as it was some
// time ago, and Latest returns its age. Decisions about ownership or memory must
// not rely on a report alone, however recent it is.
package enginereports

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
	// DefaultSubsetSize is the number of engines that a host follows by default,
	// in whole buckets and with at least one bucket of each pool. In fleets
	// up to this size each host follows all engines.
	DefaultSubsetSize = 32

	methodFetch          = "reports.fetch"
	callTimeout          = time.Second
	maxConcurrentCalls   = 32
	maxOwnersAskedAtOnce = 7 // up to this number, all owners are asked in each tick
	ownersPerTick        = 2 // owners asked in each tick if there are more
	staleCycles          = 4 // cycles without a new report from the owner after which an engine is polled directly
	directPollsPerTick   = 8
	pinDuration          = 5 * time.Minute
	maxPins              = 256
	maxEventsKept        = 256 // cache events kept for each engine
	maxEventsPerFetch    = 64  // cache events in one reply, for all engines together
)

// Options configure a Cache. Log and Metrics may be nil, Interval and SubsetSize
// zero.
type Options struct {
	Members    peer.Members
	Caller     peer.Caller
	Registrar  peer.Registrar
	Controller target.Controller
	Config     config.Source
	Log        logrus.FieldLogger
	Metrics    tally.Scope
	Interval   time.Duration // time between polls, DefaultInterval if zero
	SubsetSize int           // number of engines to follow, DefaultSubsetSize if zero
}

// MissingOptionError reports that an option required by New is missing.
type MissingOptionError struct{ Option string }

func (e *MissingOptionError) Error() string {
	return "enginereports: option " + e.Option + " is missing"
}

// UnknownTargetError reports a target that is not an engine of the current
// configuration.
type UnknownTargetError struct{ Target string }

func (e *UnknownTargetError) Error() string { return "no engine named " + e.Target }

// Cache holds the latest report of each followed engine. It is safe for
// concurrent use.
type Cache struct {
	opts    Options
	self    string
	store   *store
	planner *planner

	mu              sync.Mutex
	pins            map[string]time.Time // end of each pin
	followedPools   map[string]int       // number of FollowPool calls in effect, by pool
	callsInProgress map[string]bool      // by kind and host or engine, see start
	handlers        []func(string, []target.CacheEvent)

	nextOwner int // index of the next owner to ask, used by Run only
}

// New returns a cache and registers the handler for requests of other hosts.
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
	if o.SubsetSize == 0 {
		o.SubsetSize = DefaultSubsetSize
	}
	self := o.Members.Self().ID.Name
	c := &Cache{
		opts:            o,
		self:            self,
		store:           newStore(),
		planner:         newPlanner(self, o.SubsetSize),
		pins:            map[string]time.Time{},
		followedPools:   map[string]int{},
		callsInProgress: map[string]bool{},
	}
	o.Registrar.Handle(methodFetch, c.handleFetch)
	return c, nil
}

// Run polls engines and fetches reports from their owners until ctx ends.
func (c *Cache) Run(ctx context.Context) error {
	ticker := time.NewTicker(c.opts.Interval)
	defer ticker.Stop()
	calls := &errgroup.Group{}
	calls.SetLimit(maxConcurrentCalls)
	for {
		c.tick(ctx, calls)
		select {
		case <-ctx.Done():
			return calls.Wait()
		case <-ticker.C:
		}
	}
}

// Latest returns the newest report of an engine and the time that has passed
// since the moment it describes. It returns false if no report is known.
func (c *Cache) Latest(name string) (target.Report, time.Duration, bool) {
	e, ok := c.store.get(name)
	if !ok {
		return target.Report{}, 0, false
	}
	return e.report, time.Since(e.at), true
}

// Put adds a report that the caller read from the engine itself. The report
// describes the engine as it was r.Age ago. Put ignores a report that is older
// than the known one.
func (c *Cache) Put(name string, r target.Report) {
	c.store.put(name, r, time.Now().Add(-r.Age))
}

// Refresh polls an engine now, for example while the caller waits for a model to load.
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

// Pin makes the cache follow an engine for the next minutes, for example because
// a model that this host uses is ready on it.
func (c *Cache) Pin(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, pinned := c.pins[name]; !pinned && len(c.pins) >= maxPins {
		return
	}
	c.pins[name] = time.Now().Add(pinDuration)
}

// FollowPool makes the cache follow every engine of a pool until stop is called.
// It is meant for the host that decides the placement of a pool.
func (c *Cache) FollowPool(pool string) (stop func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followedPools[pool]++
	return sync.OnceFunc(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.followedPools[pool]--; c.followedPools[pool] == 0 {
			delete(c.followedPools, pool)
		}
	})
}

// Subscribe returns a subscription to changes of reports. All engines known at
// this time count as changed. The caller must close the subscription.
func (c *Cache) Subscribe() *Subscription {
	return c.store.subscribe()
}

// HandleCacheEvents registers a function that is called with the cache events of
// an engine. Events arrive in order, but late and with gaps. The function is
// called concurrently for different engines. It must be registered before Run.
func (c *Cache) HandleCacheEvents(f func(name string, events []target.CacheEvent)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handlers = append(c.handlers, f)
}

// pinnedAndFollowed returns the engines pinned now and the followed pools.
func (c *Cache) pinnedAndFollowed(now time.Time) (pins []string, pools map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, end := range c.pins {
		if now.After(end) {
			delete(c.pins, name)
			continue
		}
		pins = append(pins, name)
	}
	pools = make(map[string]bool, len(c.followedPools))
	for pool := range c.followedPools {
		pools[pool] = true
	}
	return pins, pools
}
