package steer

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
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
	board     *Board
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

	readySince map[runKey]time.Duration // copies, by when they became ready
}

// reporter is what one host has reported.
type reporter struct {
	incarnation string
	at          time.Duration
	wants       []Want
	wantsAt     time.Duration
	running     map[runKey]int
	use         map[string]float64
	owned       map[string]EngineView
	dark        []string
	leaving     bool

	sent     map[string]EngineNews // news it has
	sentUse  map[string]float64
	sentLoad map[string]int
	live     []string
	struck   map[string]bool
	pushing  bool
}

type move struct {
	id      uint64
	owner   string
	command SwapCommand
	until   time.Duration
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
func NewCoordinator(self string, board *Board, calls peer.Caller, confirmed Confirmed, firstBoot bool, now func() time.Duration, log logrus.FieldLogger) *Coordinator {
	return &Coordinator{
		self: self, confirmed: confirmed, firstBoot: firstBoot, went: map[string]time.Duration{}, known: map[string]bool{}, board: board, calls: calls, now: now, log: log, kick: make(chan struct{}, 1), began: now(),
		hosts: map[string]*reporter{}, moves: map[string]*move{}, rates: map[modelKey]*rate{},
		holders: map[string]string{}, owning: map[string]time.Duration{}, strikes: map[string]time.Duration{}, series: rand.Uint64() &^ (1<<24 - 1),
		readySince: map[runKey]time.Duration{},
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
		h = newReporter(r.Incarnation)
		c.hosts[host] = h
	}
	h.at, h.wantsAt, h.wants, h.dark, h.leaving = now, now, r.Wants, r.Dark, r.Leaving
	for _, rc := range r.Running {
		key := runKey{rc.Engine, rc.Model}
		if rc.N == 0 {
			delete(h.running, key)
		} else {
			h.running[key] = rc.N
		}
	}
	for _, a := range r.Arrivals {
		c.rate(modelKey{a.Service, a.Model}).add(a.N, now)
	}
	maps.Copy(h.use, r.Use)
	for _, v := range r.Owned {
		h.owned[v.ID] = v
		if m := c.moves[v.ID]; m != nil && !v.Busy && v.Done == m.id {
			delete(c.moves, v.ID)
		}
	}
	for _, s := range r.Strikes {
		c.strikes[s] = now
	}
	c.wake()
	return c.news(host, h, true)
}

func newReporter(incarnation string) *reporter {
	return &reporter{
		incarnation: incarnation, running: map[runKey]int{}, use: map[string]float64{}, owned: map[string]EngineView{},
		sent: map[string]EngineNews{}, sentUse: map[string]float64{}, sentLoad: map[string]int{}, struck: map[string]bool{},
	}
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
			delete(c.hosts, name)
			maps.DeleteFunc(c.moves, func(_ string, m *move) bool { return m.owner == name })
			c.log.WithFields(logrus.Fields{"event": "host_silent", "peer": name, "silent_ms": (now - h.at).Milliseconds()}).Warn("host reports no more")
		}
	}
	for engine, m := range c.moves {
		if now > m.until {
			delete(c.moves, engine)
			c.log.WithFields(logrus.Fields{"event": "move_forgotten", "move": m.id, "engine": engine}).Warn("owner told nothing of the move")
		}
	}
	for s, at := range c.strikes {
		if now-at > strikeMemory {
			delete(c.strikes, s)
		}
	}
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
		if owned := c.hosts[host].owned[t.ID]; owned.Born == t.Born {
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
			mv.State = swap.Closing
			v.Models[model] = mv
		}
	}
	if mv, ok := v.Models[m.command.Load]; m.command.Load != "" && (!ok || mv.State == swap.Loading) {
		v.Models[m.command.Load] = ModelView{State: swap.Loading}
	}
	v.Busy = true
	return v
}

// assignOwners asks hosts to own the engines that nobody owns.
func (c *Coordinator) assignOwners(ctx context.Context, now time.Duration) {
	owners := c.owners()
	count := map[string]int{}
	for _, host := range owners {
		count[host]++
	}
	config, targets := c.board.Config(), c.board.Targets()
	for id, t := range targets.ByID {
		if config.Services[t.Service].Engine == nil || t.Draining || owners[id] != "" || now-c.owning[id] < ownRetry {
			continue
		}
		host := c.holders[id]
		delete(c.holders, id) // asked once; a host of that name on another machine is not the holder
		if c.hosts[host] == nil {
			host = c.leastOwner(t.Zone, count)
		}
		if host == "" {
			continue
		}
		count[host]++
		c.owning[id] = now
		go c.askToOwn(ctx, host, id)
	}
	for id := range c.owning {
		if _, ok := targets.ByID[id]; !ok {
			delete(c.owning, id)
		}
	}
}

// enginesPerOwner is how many engines a host owns before another one begins:
// each owner renews a lease in the store, whose calls are priced.
const enginesPerOwner = 2

// leastOwner returns the host with the fewest engines, one of the zone if that
// does not make it own more than others. A host that owns none yet is chosen
// only if the owners have their share.
func (c *Coordinator) leastOwner(zone string, count map[string]int) string {
	best, bestScore := "", math.Inf(1)
	for name, h := range c.hosts {
		if h.leaving {
			continue
		}
		score := float64(count[name])
		if count[name] == 0 {
			score = enginesPerOwner - 0.75
		}
		host, ok := c.board.Host(name)
		if ok && host.Zone != zone {
			score += 0.5
		}
		if score < bestScore || (score == bestScore && name < best) {
			best, bestScore = name, score
		}
	}
	return best
}

func (c *Coordinator) askToOwn(ctx context.Context, host, engine string) {
	ctx, cancel := context.WithTimeout(ctx, ownTimeout)
	defer cancel()
	err := c.calls.Call(ctx, host, methodOwn, OwnCommand{Engine: engine}, nil)
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "owner_not_found", "engine": engine, "asked": host}).Info(err.Error())
		c.notOwned(engine, host, err)
		return
	}
	c.wake()
}

// notOwned takes in why a host did not become an engine's owner. If another one
// holds it and reports here, that one is asked next, at once.
func (c *Coordinator) notOwned(engine, asked string, err error) {
	var remote *peer.RemoteError
	if !errors.As(err, &remote) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owning[engine] = c.now() + ownPause
	if remote.Code != codeOwnedElsewhere {
		return
	}
	holder := hostOfHolder(remote.Message)
	if _, live := c.hosts[holder]; live && holder != asked {
		c.holders[engine] = holder
		c.owning[engine] = 0
		c.wake()
	}
}

// planService plans and begins the moves of one service's engines.
func (c *Coordinator) planService(ctx context.Context, service string, spec fleet.Service, now time.Duration) {
	owners := c.owners()
	state := swap.State{Now: now, Models: modelsOf(spec.Engine), Demands: c.demands(service, now)}
	running, dark := c.running(), c.dark()
	for _, id := range c.board.Targets().ByService[service] {
		t := c.board.Targets().ByID[id]
		if t.Draining {
			continue
		}
		v := c.view(t, owners)
		e := swap.Engine{
			ID: id, CapacityMB: spec.Engine.CapacityMB - adapterRoom(spec.Engine), Slots: spec.Engine.Slots, Serves: !dark[id],
			Copies: map[string]swap.Copy{}, OnDisk: set(t.OnDisk), InMemory: set(t.InMemory),
			Busy: v.Busy || owners[id] == "",
		}
		for model, mv := range v.Models {
			e.Copies[model] = swap.Copy{State: mv.State, Running: running[runKey{id, model}], ReadyAt: c.readyAt(id, model, mv.State, now)}
		}
		state.Engines = append(state.Engines, e)
	}
	for _, m := range c.moves {
		if m.command.Source == swap.FromStore {
			state.StoreLoads++
		}
	}
	for _, m := range swap.Plan(state, swap.DefaultOptions()) {
		c.begin(ctx, m, owners[m.Engine], now, state.Demands[m.Load])
	}
}

// adapterRoom returns the memory kept free for adapters at an engine.
func adapterRoom(spec *fleet.EngineSpec) float64 {
	most := 0.0
	for _, m := range spec.Models {
		if m.Adapters > 0 {
			most = max(most, m.AdapterMB)
		}
	}
	return most * float64(spec.AdapterSlots)
}

func modelsOf(spec *fleet.EngineSpec) map[string]swap.Model {
	out := make(map[string]swap.Model, len(spec.Models))
	for name, m := range spec.Models {
		out[name] = swap.Model{SizeMB: m.SizeMB, Load: [3]time.Duration{m.MemoryLoad, m.DiskLoad, m.StoreLoad}}
	}
	return out
}

func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, n := range names {
		out[n] = true
	}
	return out
}

// demands gathers what is asked of the models of a service.
func (c *Coordinator) demands(service string, now time.Duration) map[string]swap.Demand {
	out := map[string]swap.Demand{}
	for key, r := range c.rates {
		if key.service == service {
			out[key.model] = swap.Demand{Rate: r.value(now)}
		}
	}
	for _, h := range c.hosts {
		for _, w := range h.wants {
			if w.Service != service {
				continue
			}
			d := out[w.Model]
			due := h.wantsAt + time.Duration(w.DueMS)*time.Millisecond
			if d.Waiting == 0 || due < d.Due {
				d.Due = due
			}
			d.Waiting += w.Waiting
			out[w.Model] = d
		}
	}
	return out
}

// darkShare is the share of hosts that must miss a target before it counts as
// gone: a host may have lost its own way.
const darkShare = 0.25

// dark returns the targets that several hosts can't reach.
func (c *Coordinator) dark() map[string]bool {
	count := map[string]int{}
	for _, h := range c.hosts {
		for _, id := range h.dark {
			count[id]++
		}
	}
	out := map[string]bool{}
	for id, n := range count {
		out[id] = n >= max(2, int(darkShare*float64(len(c.hosts))))
	}
	return out
}

func (c *Coordinator) running() map[runKey]int {
	out := map[runKey]int{}
	for _, h := range c.hosts {
		for key, n := range h.running {
			out[key] += n
		}
	}
	return out
}

// readyAt remembers when a copy became ready.
func (c *Coordinator) readyAt(engine, model string, s swap.CopyState, now time.Duration) time.Duration {
	key := runKey{engine, model}
	if s != swap.Ready {
		delete(c.readySince, key)
		return 0
	}
	at, ok := c.readySince[key]
	if !ok {
		at = now
		c.readySince[key] = now
	}
	return at
}

func (c *Coordinator) begin(ctx context.Context, m swap.Move, owner string, now time.Duration, d swap.Demand) {
	c.move++
	id := c.series + c.move
	bound := moveForgotten
	if m.Source == swap.FromStore {
		bound = storeMoveMost
	}
	cmd := SwapCommand{Move: id, Engine: m.Engine, Unload: m.Unload, Load: m.Load, Source: m.Source}
	c.moves[m.Engine] = &move{id: id, owner: owner, command: cmd, until: now + bound}
	c.log.WithFields(logrus.Fields{"event": "move_planned", "move": id, "engine": m.Engine, "owner": owner, "unload": m.Unload, "load": m.Load,
		"source": m.Source, "waiting": d.Waiting, "due_ms": (d.Due - now).Milliseconds(), "rate": d.Rate}).Info("swap decided")
	go func() {
		ctx, cancel := context.WithTimeout(ctx, ownTimeout)
		defer cancel()
		err := c.calls.Call(ctx, owner, methodSwap, cmd, nil)
		if err == nil {
			return
		}
		c.log.WithFields(logrus.Fields{"event": "move_refused", "move": id, "engine": m.Engine, "owner": owner}).Warn(err.Error())
		var lost *peer.LostError
		if errors.As(err, &lost) {
			return // it may be carried out: the owner's view tells
		}
		c.mu.Lock()
		if cur := c.moves[m.Engine]; cur != nil && cur.id == id {
			cur.until = c.now() + ownRetry // not at once: the owner would refuse again
		}
		c.mu.Unlock()
	}()
}

// goneMemory is how long a target that left the list is told of: the other
// hosts read the list every few seconds.
const goneMemory = 12 * time.Second

// noteGone remembers the targets that left the list.
func (c *Coordinator) noteGone(now time.Duration) {
	byID := c.board.Targets().ByID
	for id := range c.known {
		if _, ok := byID[id]; !ok {
			c.went[id] = now
			delete(c.known, id)
		}
	}
	for id := range byID {
		c.known[id] = true
		delete(c.went, id)
	}
	for id, at := range c.went {
		if now-at > goneMemory {
			delete(c.went, id)
		}
	}
}

func (c *Coordinator) vouch() *Vouch {
	config, configAt, targetsAt := c.confirmed()
	now := c.now()
	v := &Vouch{Config: config, ConfigAgeMS: (now - configAt).Milliseconds() + 1, TargetAgeMS: (now - targetsAt).Milliseconds() + 1}
	for id := range c.went {
		v.Unusable = append(v.Unusable, id)
	}
	for id, t := range c.board.Targets().ByID {
		if t.Draining {
			v.Unusable = append(v.Unusable, id)
		}
	}
	slices.Sort(v.Unusable)
	return v
}

// push sends news at once to the hosts whose requests wait for it. The others
// get it in answer to their next report; what they send in vain meanwhile is
// for models that hardly anybody asks for.
func (c *Coordinator) push(ctx context.Context) {
	for name, h := range c.hosts {
		if h.pushing || len(h.wants) == 0 || !c.served(h) {
			continue
		}
		news := c.news(name, h, false)
		if len(news.Engines) == 0 {
			continue
		}
		h.pushing = true
		go func() {
			ctx, cancel := context.WithTimeout(ctx, newsTimeout)
			defer cancel()
			err := c.calls.Call(ctx, name, methodNews, news, nil)
			c.mu.Lock()
			defer c.mu.Unlock()
			h.pushing = false
			if err != nil {
				clear(h.sent) // it may lack any of it
				clear(h.struck)
			}
		}()
	}
}

// served reports whether an engine has a model that a host waits for, and the
// host does not know.
func (c *Coordinator) served(h *reporter) bool {
	owners := c.owners()
	for _, w := range h.wants {
		for _, id := range c.board.Targets().ByService[w.Service] {
			v := c.view(c.board.Targets().ByID[id], owners)
			if m, ok := v.Models[w.Model]; ok && m.State == swap.Ready && !slices.Contains(h.sent[id].Ready, w.Model) {
				return true
			}
		}
	}
	return false
}

// newsOf returns what hosts are told of an engine.
func newsOf(v EngineView) EngineNews {
	n := EngineNews{ID: v.ID, Owner: v.Owner, Born: v.Born}
	for model, m := range v.Models {
		if m.State != swap.Ready {
			continue
		}
		n.Ready = append(n.Ready, model)
		if len(m.Adapters) > 0 {
			if n.Adapters == nil {
				n.Adapters = map[string][]string{}
			}
			n.Adapters[model] = m.Adapters
		}
	}
	slices.Sort(n.Ready)
	return n
}

// news returns what a host lacks, and counts it as sent. Counts change with
// every request and go out only in answer to its reports.
func (c *Coordinator) news(name string, h *reporter, counts bool) News {
	var n News
	owners := c.owners()
	config, targets := c.board.Config(), c.board.Targets()
	for id, t := range targets.ByID {
		if config.Services[t.Service].Engine == nil {
			continue
		}
		old, sent := h.sent[id]
		if _, owned := owners[id]; !owned && !sent {
			continue // its check-in says as much
		}
		told := newsOf(c.view(t, owners))
		if sent && reflect.DeepEqual(old, told) {
			continue
		}
		h.sent[id] = told
		n.Engines = append(n.Engines, told)
	}
	for id := range h.sent {
		if _, ok := targets.ByID[id]; !ok {
			delete(h.sent, id)
		}
	}
	for s := range c.strikes {
		if !h.struck[s] {
			h.struck[s] = true
			n.Strikes = append(n.Strikes, s)
		}
	}
	if !counts {
		return n
	}
	n.Use = c.useOfOthers(name, h)
	n.Vouch = c.vouch()
	n.Load = c.loadOfOthers(name, h)
	if live := c.live(); !slices.Equal(live, h.live) {
		n.Live, h.live = live, live
	}
	return n
}

func (c *Coordinator) live() []string {
	live := make([]string, 0, len(c.hosts))
	for host, h := range c.hosts {
		if !h.leaving {
			live = append(live, host)
		}
	}
	slices.Sort(live)
	return live
}

// loadStep is the least change of a target's load that hosts are told of.
const loadStep = 2

// loadOfOthers returns the requests of the other hosts at each target, where
// they changed.
func (c *Coordinator) loadOfOthers(name string, h *reporter) map[string]int {
	total := map[string]int{}
	for other, o := range c.hosts {
		if other == name {
			continue
		}
		for key, n := range o.running {
			total[key.engine] += n
		}
	}
	var out map[string]int
	tell := func(id string, n int) {
		if out == nil {
			out = map[string]int{}
		}
		out[id], h.sentLoad[id] = n, n
	}
	for id, n := range total {
		if d := n - h.sentLoad[id]; d >= loadStep || d <= -loadStep {
			tell(id, n)
		}
	}
	for id, n := range h.sentLoad {
		if n > 0 && total[id] == 0 {
			tell(id, 0)
		}
	}
	return out
}

// useOfOthers returns the use of the other hosts, where it changed.
func (c *Coordinator) useOfOthers(name string, h *reporter) map[string]float64 {
	total := map[string]float64{}
	for other, o := range c.hosts {
		if other == name {
			continue
		}
		for team, n := range o.use {
			total[team] += n
		}
	}
	out := map[string]float64{}
	for team, n := range total {
		if h.sentUse[team] != n {
			h.sentUse[team] = n
			out[team] = n
		}
	}
	return out
}
