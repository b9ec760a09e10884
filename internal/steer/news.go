package steer

import (
	"context"
	"reflect"
	"slices"
	"time"

	"buckthornseam.dev/coord/swap"
)

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

// toldEngine is what hosts are to know of an engine.
type toldEngine struct {
	news    EngineNews
	version uint64 // of Coordinator.toldAt when it last changed
	owned   bool   // an owner stood behind it; else its check-in says as much
}

// refreshTold makes what hosts are to know anew, if anything changed.
func (c *Coordinator) refreshTold() {
	config, targets := c.board.Config(), c.board.Targets()
	if !c.stale && targets == c.targets && config == c.config {
		return
	}
	c.stale, c.targets, c.config = false, targets, config
	owners := c.owners()
	for id, t := range targets.ByID {
		if config.Services[t.Service].Engine == nil {
			continue
		}
		old := c.told[id]
		news := newsOf(c.view(t, owners))
		if old.version > 0 && reflect.DeepEqual(old.news, news) {
			continue
		}
		c.toldAt++
		c.told[id] = toldEngine{news: news, version: c.toldAt, owned: old.owned || owners[id] != ""}
	}
	for id := range c.told {
		if _, ok := targets.ByID[id]; !ok {
			delete(c.told, id)
		}
	}
}

// push sends news at once to the hosts whose requests wait for it. The others
// get it in answer to their next report; what they send in vain meanwhile is
// for models that hardly anybody asks for.
func (c *Coordinator) push(ctx context.Context) {
	c.refreshTold()
	for name, h := range c.hosts {
		if h.pushing || len(h.wants) == 0 || h.toldAt == c.toldAt || !c.served(h) {
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
				h.toldAt = 0
			}
		}()
	}
}

// served reports whether an engine has a model that a host waits for, and the
// host does not know.
func (c *Coordinator) served(h *reporter) bool {
	for _, w := range h.wants {
		for _, id := range c.targets.ByService[w.Service] {
			t := c.told[id]
			if t.version > h.sent[id] && slices.Contains(t.news.Ready, w.Model) {
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
	c.refreshTold()
	if h.toldAt != c.toldAt {
		for id, t := range c.told {
			if t.owned && t.version > h.sent[id] {
				h.sent[id] = t.version
				n.Engines = append(n.Engines, t.news)
			}
		}
		for id := range h.sent {
			if _, ok := c.told[id]; !ok {
				delete(h.sent, id)
			}
		}
		h.toldAt = c.toldAt
	}
	for s := range c.strikes {
		if !h.struck[s] {
			h.struck[s] = true
			n.Strikes = append(n.Strikes, s)
		}
	}
	n.Crowds = c.totals.crowdsOf(h)
	if !counts {
		return n
	}
	n.Use, n.UseEpoch = c.useOfOthers(h), h.epoch
	n.Vouch = c.vouch()
	n.Load = c.loadOfOthers(h)
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
func (c *Coordinator) loadOfOthers(h *reporter) map[string]int {
	out := map[string]int{}
	for id, n := range c.totals.load {
		n -= h.load[id]
		if d := n - h.sentLoad[id]; d >= loadStep || d <= -loadStep || (n == 0 && d != 0) {
			out[id], h.sentLoad[id] = n, n
		}
	}
	for id, n := range h.sentLoad {
		if _, any := c.totals.load[id]; n > 0 && !any {
			out[id], h.sentLoad[id] = 0, 0
		}
	}
	return out
}

// useOfOthers returns the use of the other hosts, where it changed.
func (c *Coordinator) useOfOthers(h *reporter) map[string]float64 {
	out := map[string]float64{}
	for team, n := range c.totals.use {
		n -= h.spent[team]
		if h.sentUse[team] != n {
			h.sentUse[team] = n
			out[team] = n
		}
	}
	return out
}
