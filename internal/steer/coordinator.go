package steer

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/peer"
)

// Times of the coordinator.
const (
	planSoon      = 3 * time.Millisecond   // gathers what is reported together
	planInterval  = 100 * time.Millisecond // for what only the clock changes
	newsTimeout   = 500 * time.Millisecond
	rateMemory    = 2 * time.Second  // of arrivals; the hot models change every ten seconds
	moveForgotten = 12 * time.Second // a move whose owner tells nothing any more
	storeMoveMost = 45 * time.Second
	ownRetry      = 700 * time.Millisecond
	ownSettle     = 600 * time.Millisecond // after the first report: all hosts tell what they own
	ownPause      = time.Second            // more, while another owner's lease may hold; each try costs calls to the store
	ownTimeout    = 2 * time.Second
)

// Coordinator plans swaps from the reports of hosts. Every host runs one; it
// works for those that report to it.
type Coordinator struct {
	self      string
	confirmed Confirmed
	firstBoot bool // the whole system starts for the first time
	board     *FleetView
	calls     peer.Caller
	now       func() time.Duration
	log       logrus.FieldLogger
	kick      chan struct{}
	began     time.Duration

	mu      sync.Mutex
	hosts   map[string]*reporter
	moves   map[string]*move // by engine
	rates   map[modelKey]*rate
	holders map[string]string        // hosts that hold an engine by the store, to be asked next
	owning  map[string]time.Duration // engines whose ownership is being asked for, by last try
	strikes map[string]time.Duration
	series  uint64 // makes the ids of moves differ between coordinators
	move    uint64

	went  map[string]time.Duration // targets that left the list, by when
	known map[string]bool          // targets on the list

	totals  totals
	told    map[string]toldEngine // what hosts are to know of each engine
	toldAt  uint64                // rises with each change of told
	stale   bool                  // told has to be made anew
	targets *fleet.Targets        // that told was made from
	config  *fleet.Config

	readySince map[runKey]time.Duration // copies, by when they became ready
	storePace  storePace
}

type move struct {
	id      uint64
	owner   string
	command SwapCommand
	until   time.Duration

	// Of a load from the weight store:
	began     time.Duration
	storeTime time.Duration // that it takes at full speed
	beside    int           // most such loads at once meanwhile
}

// rate is a moving average of arrivals.
type rate struct {
	perSecond float64
	at        time.Duration
}

func (r *rate) add(n int, now time.Duration) {
	r.perSecond = r.value(now) + float64(n)/rateMemory.Seconds()
	r.at = now
}

func (r *rate) value(now time.Duration) float64 {
	return r.perSecond * math.Exp(-(now-r.at).Seconds()/rateMemory.Seconds())
}

// Confirmed says how far a host's own copies of the store are known to be
// complete.
type Confirmed func() (config uint64, configAt, targetsAt time.Duration)

// NewCoordinator returns a coordinator that nobody reports to.
func NewCoordinator(self string, board *FleetView, calls peer.Caller, confirmed Confirmed, firstBoot bool, now func() time.Duration, log logrus.FieldLogger) *Coordinator {
	return &Coordinator{
		self: self, confirmed: confirmed, firstBoot: firstBoot, went: map[string]time.Duration{}, known: map[string]bool{}, board: board, calls: calls, now: now, log: log, kick: make(chan struct{}, 1), began: now(),
		hosts: map[string]*reporter{}, moves: map[string]*move{}, rates: map[modelKey]*rate{},
		holders: map[string]string{}, owning: map[string]time.Duration{}, strikes: map[string]time.Duration{}, series: rand.Uint64() &^ (1<<24 - 1),
		storePace: newStorePace(), readySince: map[runKey]time.Duration{}, totals: newTotals(), told: map[string]toldEngine{},
	}
}

// Register registers the method that hosts report to.
func (c *Coordinator) Register(r peer.Registrar) {
	r.Handle(methodReport, func(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
		var report Report
		if err := json.Unmarshal(params, &report); err != nil {
			return nil, err
		}
		return c.Report(from.Name, report), nil
	})
}

// Report takes in a report and returns what is news to the host.
func (c *Coordinator) Report(host string, r Report) News {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	h := c.hosts[host]
	if h == nil || h.incarnation != r.Incarnation || r.Full {
		if !r.Full {
			return News{Unknown: true}
		}
		h = c.register(host, r)
	}
	h.at, h.wantsAt, h.dark, h.leaving = now, now, r.Dark, r.Leaving
	c.totals.setWants(h, r.Wants)
	for _, rc := range r.Running {
		c.totals.setRunning(h, runKey{rc.Engine, rc.Model}, rc.N)
	}
	for _, a := range r.Arrivals {
		c.rate(modelKey{a.Service, a.Model}).add(a.N, now)
	}
	for team, n := range r.Use {
		c.totals.spend(h, team, n)
	}
	c.stale = c.stale || len(r.Owned) > 0
	for _, v := range r.Owned {
		h.owned[v.ID] = v
		if m := c.moves[v.ID]; m != nil && !v.Busy && v.Done == m.id {
			if _, ready := v.Models[m.command.Load]; ready && m.storeTime > 0 {
				c.storePace.learn(now-m.began, m.storeTime, m.beside)
			}
			delete(c.moves, v.ID)
		}
	}
	for _, s := range r.Strikes {
		c.strikes[s] = now
	}
	c.wake()
	return c.news(host, h, true)
}

func (c *Coordinator) rate(key modelKey) *rate {
	r := c.rates[key]
	if r == nil {
		r = &rate{}
		c.rates[key] = r
	}
	return r
}

func (c *Coordinator) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Run plans until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.kick:
			time.Sleep(planSoon)
		case <-tick.C:
		}
		c.step(ctx)
	}
}

func (c *Coordinator) step(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.forget(now)
	c.noteGone(now)
	if len(c.hosts) == 0 {
		c.began = now
		return
	}
	if now-c.began > c.settle() {
		c.assignOwners(ctx, now)
	}
	for service, spec := range c.board.Config().Services {
		if spec.Engine != nil {
			c.planService(ctx, service, spec, now)
		}
	}
	c.push(ctx)
}

// settle returns how long hosts have to report before engines are given to them.
// Where the whole system starts for the first time, lists of hosts are short at
// first, and several hosts may take themselves for the coordinator.
func (c *Coordinator) settle() time.Duration {
	if c.firstBoot && len(c.owners()) == 0 {
		return ownSettle + joinPatience
	}
	return ownSettle
}

// strikeMemory is how long a request that broke off an engine is remembered.
const strikeMemory = 60 * time.Second

// forget drops hosts that went silent and moves that nobody tells of.
func (c *Coordinator) forget(now time.Duration) {
	for name, h := range c.hosts {
		if now-h.at > hostSilent {
			c.drop(name)
			maps.DeleteFunc(c.moves, func(_ string, m *move) bool { return m.owner == name })
			c.log.WithFields(logrus.Fields{"event": "host_silent", "peer": name, "silent_ms": (now - h.at).Milliseconds()}).Warn("host reports no more")
		}
	}
	for engine, m := range c.moves {
		if now > m.until {
			delete(c.moves, engine)
			c.stale = true
			c.log.WithFields(logrus.Fields{"event": "move_forgotten", "move": m.id, "engine": engine}).Warn("owner told nothing of the move")
		}
	}
	for s, at := range c.strikes {
		if now-at > strikeMemory {
			delete(c.strikes, s)
		}
	}
}

// register takes in the first report of a host, or one that tells all anew. What
// a host had spent before this coordinator heard of it is no news to anybody: it
// is not counted as spent now.
func (c *Coordinator) register(host string, r Report) *reporter {
	h := newReporter(r.Incarnation)
	if old := c.hosts[host]; old != nil && old.incarnation == r.Incarnation {
		h.use, h.spent, h.epoch = old.use, old.spent, old.epoch
	} else {
		maps.Copy(h.use, r.Use)
	}
	c.drop(host)
	c.hosts[host] = h
	c.stale = true
	return h
}

// drop forgets a host and what it reported.
func (c *Coordinator) drop(name string) {
	h := c.hosts[name]
	if h == nil {
		return
	}
	c.totals.remove(h)
	delete(c.hosts, name)
	c.stale = true
}

// owners returns the host that owns each engine.
func (c *Coordinator) owners() map[string]string {
	out := map[string]string{}
	for name, h := range c.hosts {
		for id, v := range h.owned {
			if v.Fresh {
				out[id] = name
			}
		}
	}
	return out
}

// view returns the best view of an engine, with the move under way.
func (c *Coordinator) view(t fleet.Target, owners map[string]string) EngineView {
	v := viewOf(t)
	if host, ok := owners[t.ID]; ok {
		if owned := c.hosts[host].owned[t.ID]; owned.Born == t.StartedMS {
			v = owned
		}
	}
	v.Owner = owners[t.ID]
	m := c.moves[t.ID]
	if m == nil {
		return v
	}
	v.Models = cloneModels(v.Models)
	for _, model := range m.command.Unload {
		if mv, ok := v.Models[model]; ok {
			mv.State = swap.Draining
			v.Models[model] = mv
		}
	}
	if mv, ok := v.Models[m.command.Load]; m.command.Load != "" && (!ok || mv.State == swap.Loading) {
		v.Models[m.command.Load] = ModelView{State: swap.Loading}
	}
	v.Busy = true
	return v
}
