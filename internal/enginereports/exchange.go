package enginereports

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/target"
)

// reportDetail is the part of a report that rarely changes and may be large.
type reportDetail struct {
	Incarnation string                      `json:"i"`
	MemoryBytes int64                       `json:"m"`
	Replicas    []target.ReplicaReport      `json:"r,omitempty"`
	Cached      map[string]target.CacheTier `json:"c,omitempty"`
}

// knownReport states what the asking host already knows about one engine.
type knownReport struct {
	Target string `json:"t"`
	Detail uint64 `json:"d,omitempty"` // hash of the known detail
	Event  uint64 `json:"e,omitempty"` // sequence of the last known cache event
}

func newReportDetail(r target.Report) *reportDetail {
	return &reportDetail{Incarnation: r.Incarnation, MemoryBytes: r.MemoryBytes, Replicas: r.Replicas, Cached: r.Cached}
}

type fetchParams struct {
	Known []knownReport `json:"k"`
}

// fetchedReport is a report without the parts that the asking host already knows.
type fetchedReport struct {
	Target    string              `json:"t"`
	Age       time.Duration       `json:"a"`
	Sequence  uint64              `json:"s"`
	UsedBytes int64               `json:"u,omitempty"`
	Running   int                 `json:"n,omitempty"`
	Waiting   int                 `json:"w,omitempty"`
	MaxFence  uint64              `json:"f,omitempty"`
	Detail    *reportDetail       `json:"d,omitempty"` // nil if the asking host knows it
	Events    []target.CacheEvent `json:"e,omitempty"`
}

type fetchResult struct {
	Reports []fetchedReport `json:"r"`
}

// tick starts the polls and calls that are due.
func (c *Cache) tick(ctx context.Context, calls *errgroup.Group) {
	now := time.Now()
	pins, pools := c.pinnedAndFollowed(now)
	a := c.planner.assign(c.opts.Config.Snapshot(), c.opts.Members.Members(), pins, pools)
	pinned := make(map[string]bool, len(pins))
	for _, name := range pins {
		pinned[name] = true
	}
	c.store.removeUnless(func(name string) bool { return c.planner.wanted(name, pinned, pools) })
	for _, name := range a.poll {
		c.start(calls, "poll/"+name, func() { c.poll(ctx, name) })
	}
	owners, cycle := c.ownersToAsk(a.ask)
	for _, owner := range owners {
		c.start(calls, "fetch/"+owner, func() { c.fetch(ctx, owner, a.ask[owner]) })
	}
	for _, name := range c.staleEngines(a.ask, cycle, now) {
		c.start(calls, "poll/"+name, func() { c.poll(ctx, name) })
	}
	c.opts.Metrics.Gauge("followed").Update(float64(c.store.len()))
	c.opts.Metrics.Gauge("owned").Update(float64(len(a.poll)))
}

// start runs f in the background unless a call of the same name or too many
// calls are in progress. A later tick then tries again.
func (c *Cache) start(calls *errgroup.Group, name string, f func()) {
	c.mu.Lock()
	busy := c.callsInProgress[name]
	c.callsInProgress[name] = true
	c.mu.Unlock()
	if busy {
		return
	}
	done := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.callsInProgress, name)
	}
	started := calls.TryGo(func() error {
		defer done()
		f()
		return nil
	})
	if !started {
		done()
	}
}

// ownersToAsk returns the owners to ask in this tick and the number of ticks in
// which each owner is asked once.
func (c *Cache) ownersToAsk(ask map[string][]string) (owners []string, cycle int) {
	all := make([]string, 0, len(ask))
	for owner := range ask {
		all = append(all, owner)
	}
	if len(all) <= maxOwnersAskedAtOnce {
		return all, 1
	}
	sort.Strings(all)
	for i := range ownersPerTick {
		owners = append(owners, all[(c.nextOwner+i)%len(all)])
	}
	c.nextOwner = (c.nextOwner + ownersPerTick) % len(all)
	return owners, (len(all) + ownersPerTick - 1) / ownersPerTick
}

// staleEngines returns engines for which no new report came from the owner for
// staleCycles cycles, at most directPollsPerTick of them.
func (c *Cache) staleEngines(ask map[string][]string, cycle int, now time.Time) []string {
	limit := time.Duration(staleCycles*cycle) * c.opts.Interval
	var out []string
	for _, names := range ask {
		for _, name := range names {
			e, ok := c.store.get(name)
			if ok && now.Sub(e.at)-e.report.Age <= limit {
				continue
			}
			if out = append(out, name); len(out) == directPollsPerTick {
				return out
			}
		}
	}
	return out
}

// poll reads the report and the cache events of an engine from the engine itself.
func (c *Cache) poll(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t := c.opts.Config.Snapshot().Targets[name]
	if t == nil {
		return
	}
	r, err := c.opts.Controller.Report(ctx, t.Address)
	if err != nil {
		c.opts.Metrics.Counter("poll_failures").Inc(1)
		return
	}
	c.Put(name, r)
	events, err := c.opts.Controller.CacheEvents(ctx, t.Address, c.store.lastEvent(name))
	if err != nil {
		c.opts.Metrics.Counter("event_failures").Inc(1)
		return
	}
	c.deliver(name, events)
}

func (c *Cache) deliver(name string, events []target.CacheEvent) {
	fresh := c.store.addEvents(name, events)
	if len(fresh) == 0 {
		return
	}
	c.mu.Lock()
	handlers := c.handlers
	c.mu.Unlock()
	for _, h := range handlers {
		h(name, fresh)
	}
}

// fetch asks an owner for the reports and cache events of several engines.
func (c *Cache) fetch(ctx context.Context, owner string, names []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := fetchParams{Known: make([]knownReport, 0, len(names))}
	previous := make(map[string]target.Report, len(names))
	for _, name := range names {
		k := knownReport{Target: name, Event: c.store.lastEvent(name)}
		if e, ok := c.store.get(name); ok {
			k.Detail = e.detailHash
			previous[name] = e.report
		}
		params.Known = append(params.Known, k)
	}
	var result fetchResult
	if err := c.opts.Caller.Call(ctx, owner, methodFetch, params, &result); err != nil {
		c.opts.Metrics.Counter("fetch_failures").Inc(1)
		return
	}
	now := time.Now()
	for i := range result.Reports {
		fetched := &result.Reports[i]
		c.storeFetched(fetched, previous[fetched.Target], now)
	}
}

// storeFetched stores a fetched report. If it has no detail, the detail is taken
// from previous, the report known when the call was made. The report known now
// may be newer than the fetched one.
func (c *Cache) storeFetched(fetched *fetchedReport, previous target.Report, now time.Time) {
	r := target.Report{
		Sequence:    fetched.Sequence,
		Incarnation: previous.Incarnation,
		MemoryBytes: previous.MemoryBytes,
		UsedBytes:   fetched.UsedBytes,
		Running:     fetched.Running,
		Waiting:     fetched.Waiting,
		Replicas:    previous.Replicas,
		Cached:      previous.Cached,
		MaxFence:    fetched.MaxFence,
		Age:         fetched.Age,
	}
	if d := fetched.Detail; d != nil {
		r.Incarnation, r.MemoryBytes, r.Replicas, r.Cached = d.Incarnation, d.MemoryBytes, d.Replicas, d.Cached
	}
	c.store.put(fetched.Target, r, now.Add(-fetched.Age))
	c.deliver(fetched.Target, fetched.Events)
}

// handleFetch answers with the reports that this host knows. It need not be the
// owner: a host with another view of the members may ask it by mistake.
func (c *Cache) handleFetch(_ context.Context, _ peer.ID, raw json.RawMessage) (any, error) {
	var params fetchParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	result := fetchResult{Reports: make([]fetchedReport, 0, len(params.Known))}
	budget := maxEventsPerFetch
	for _, k := range params.Known {
		e, ok := c.store.get(k.Target)
		if !ok {
			continue
		}
		fetched := newFetchedReport(k, e)
		fetched.Events = c.store.eventsAfter(k.Target, k.Event, budget)
		budget -= len(fetched.Events)
		result.Reports = append(result.Reports, fetched)
	}
	return result, nil
}

func newFetchedReport(k knownReport, e entry) fetchedReport {
	fetched := fetchedReport{
		Target:    k.Target,
		Age:       time.Since(e.at),
		Sequence:  e.report.Sequence,
		UsedBytes: e.report.UsedBytes,
		Running:   e.report.Running,
		Waiting:   e.report.Waiting,
		MaxFence:  e.report.MaxFence,
	}
	if k.Detail != e.detailHash {
		fetched.Detail = newReportDetail(e.report)
	}
	return fetched
}
