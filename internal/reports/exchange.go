package reports

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/target"
)

// detail is the part of a report that changes seldom and may be large.
type detail struct {
	Incarnation string                  `json:"i"`
	MemoryBytes int64                   `json:"m"`
	Replicas    []target.ReplicaReport  `json:"r,omitempty"`
	Cached      map[string]target.Cache `json:"c,omitempty"`
}

// known is what the asking host has of one engine.
type known struct {
	Target string `json:"t"`
	Detail uint64 `json:"d,omitempty"` // hash of the detail it has
	Event  uint64 `json:"e,omitempty"` // last cache event it has
}

func newDetail(r target.Report) *detail {
	return &detail{Incarnation: r.Incarnation, MemoryBytes: r.MemoryBytes, Replicas: r.Replicas, Cached: r.Cached}
}

type fetchParams struct {
	Known []known `json:"k"`
}

// reading is a report without what the asking host has already.
type reading struct {
	Target    string              `json:"t"`
	Age       time.Duration       `json:"a"`
	Sequence  uint64              `json:"s"`
	UsedBytes int64               `json:"u,omitempty"`
	Running   int                 `json:"n,omitempty"`
	Waiting   int                 `json:"w,omitempty"`
	MaxFence  uint64              `json:"f,omitempty"`
	Detail    *detail             `json:"d,omitempty"` // nil if the asking host has it
	Events    []target.CacheEvent `json:"e,omitempty"`
}

type fetchResult struct {
	Readings []reading `json:"r"`
}

// tick starts the polls and calls that are due.
func (c *Cache) tick(ctx context.Context, calls *errgroup.Group) {
	now := time.Now()
	pins, pools := c.interest(now)
	a := c.plan.assign(c.opts.Config.Snapshot(), c.opts.Members.Members(), pins, pools)
	pinned := make(map[string]bool, len(pins))
	for _, name := range pins {
		pinned[name] = true
	}
	c.store.keep(func(name string) bool { return c.plan.wanted(name, pinned, pools) })
	for _, name := range a.poll {
		c.start(calls, "poll/"+name, func() { c.poll(ctx, name) })
	}
	owners, cycle := c.turn(a.ask)
	for _, owner := range owners {
		c.start(calls, "fetch/"+owner, func() { c.fetch(ctx, owner, a.ask[owner]) })
	}
	for _, name := range c.silent(a.ask, cycle, now) {
		c.start(calls, "poll/"+name, func() { c.poll(ctx, name) })
	}
	c.opts.Metrics.Gauge("followed").Update(float64(c.store.len()))
	c.opts.Metrics.Gauge("owned").Update(float64(len(a.poll)))
}

// start runs f unless the call of that name is still under way or too many
// are; the next tick tries again.
func (c *Cache) start(calls *errgroup.Group, name string, f func()) {
	c.mu.Lock()
	busy := c.polling[name]
	c.polling[name] = true
	c.mu.Unlock()
	if busy {
		return
	}
	done := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.polling, name)
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

// turn returns the owners to ask in this tick and the number of ticks in which
// all have their turn.
func (c *Cache) turn(ask map[string][]string) (owners []string, cycle int) {
	all := make([]string, 0, len(ask))
	for owner := range ask {
		all = append(all, owner)
	}
	if len(all) <= smallFleetOwners {
		return all, 1
	}
	sort.Strings(all)
	for i := range ownersATick {
		owners = append(owners, all[(c.cursor+i)%len(all)])
	}
	c.cursor = (c.cursor + ownersATick) % len(all)
	return owners, (len(all) + ownersATick - 1) / ownersATick
}

// silent returns some engines of which the owner has brought nothing for
// several turns.
func (c *Cache) silent(ask map[string][]string, cycle int, now time.Time) []string {
	limit := time.Duration(staleTurns*cycle) * c.opts.Interval
	var out []string
	for _, names := range ask {
		for _, name := range names {
			e, ok := c.store.get(name)
			if ok && now.Sub(e.at)-e.report.Age <= limit {
				continue
			}
			if out = append(out, name); len(out) == directPollsATick {
				return out
			}
		}
	}
	return out
}

// poll reads report and cache events from the engine itself.
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

// fetch asks an owner for the reports of several engines.
func (c *Cache) fetch(ctx context.Context, owner string, names []string) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	params := fetchParams{Known: make([]known, 0, len(names))}
	had := make(map[string]target.Report, len(names))
	for _, name := range names {
		k := known{Target: name, Event: c.store.lastEvent(name)}
		if e, ok := c.store.get(name); ok {
			k.Detail = e.detail
			had[name] = e.report
		}
		params.Known = append(params.Known, k)
	}
	var result fetchResult
	if err := c.opts.Caller.Call(ctx, owner, methodFetch, params, &result); err != nil {
		c.opts.Metrics.Counter("fetch_failures").Inc(1)
		return
	}
	now := time.Now()
	for i := range result.Readings {
		rd := &result.Readings[i]
		c.take(rd, had[rd.Target], now)
	}
}

// take stores a reading. One without detail is completed with had, the report
// that was known when the call was made: what is known by now may be newer
// than the reading.
func (c *Cache) take(rd *reading, had target.Report, now time.Time) {
	r := target.Report{
		Sequence:    rd.Sequence,
		Incarnation: had.Incarnation,
		MemoryBytes: had.MemoryBytes,
		UsedBytes:   rd.UsedBytes,
		Running:     rd.Running,
		Waiting:     rd.Waiting,
		Replicas:    had.Replicas,
		Cached:      had.Cached,
		MaxFence:    rd.MaxFence,
		Age:         rd.Age,
	}
	if d := rd.Detail; d != nil {
		r.Incarnation, r.MemoryBytes, r.Replicas, r.Cached = d.Incarnation, d.MemoryBytes, d.Replicas, d.Cached
	}
	c.store.put(rd.Target, r, now.Add(-rd.Age))
	c.deliver(rd.Target, rd.Events)
}

// handleFetch answers with what this host knows, whether it is the owner or
// only was taken for it by a host with another view of the members.
func (c *Cache) handleFetch(_ context.Context, _ peer.ID, raw json.RawMessage) (any, error) {
	var params fetchParams
	if err := json.Unmarshal(raw, &params); err != nil {
		return nil, err
	}
	result := fetchResult{Readings: make([]reading, 0, len(params.Known))}
	budget := maxEventsPerFetch
	for _, k := range params.Known {
		e, ok := c.store.get(k.Target)
		if !ok {
			continue
		}
		rd := newReading(k, e)
		rd.Events = c.store.eventsAfter(k.Target, k.Event, budget)
		budget -= len(rd.Events)
		result.Readings = append(result.Readings, rd)
	}
	return result, nil
}

func newReading(k known, e entry) reading {
	rd := reading{
		Target:    k.Target,
		Age:       time.Since(e.at),
		Sequence:  e.report.Sequence,
		UsedBytes: e.report.UsedBytes,
		Running:   e.report.Running,
		Waiting:   e.report.Waiting,
		MaxFence:  e.report.MaxFence,
	}
	if k.Detail != e.detail {
		rd.Detail = newDetail(e.report)
	}
	return rd
}
