package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

// hedge is a second send of a request, begun while the target or the host that has it is silent.
type hedge struct {
	choice  coordinator.Choice // the target; not set if helper is
	helper  *fleet.Host        // the host that passes it on; nil: none does
	sending *sending           // nil: it was not sent
	endSlot func()             // ends the use of a slot at the target; nil: none is used
	memory  memoryUse          // at the target
	charge  *RetryCharge       // of the retry budget; nil: it is spent
	log     logrus.Fields      // for the request's log line
}

// release ends a hedge and gives up what it holds. h may be nil.
func (g *Gateway) release(x *exchange, h *hedge) {
	if h == nil {
		return
	}
	if h.sending != nil {
		h.sending.abandon()
	}
	if h.endSlot != nil {
		h.endSlot()
	}
	if h.memory.seq != 0 {
		g.opts.View.ReleaseMemory(h.memory.seq, h.sending != nil)
	}
	if h.charge != nil {
		g.opts.Budget.Refund(x.service, *h.charge)
	}
}

// declinedTime is how long a target is not tried again that has declined a request.
const declinedTime = 500 * time.Millisecond

// targetSearch looks for another target for a request that is at a silent one.
type targetSearch struct {
	g        *Gateway
	ctx      context.Context          // of the request
	count    func(n int) bool         // see hedgeSearch
	failed   map[string]bool          // targets that are not tried again
	declined map[string]time.Duration // those that have declined the request once, and until when they are not tried again
}

// searchTarget returns a search for another target than the silent one. avoid are the targets that have failed before; ctx is the request's.
func (g *Gateway) searchTarget(ctx context.Context, avoid map[string]bool, silent string) hedgeSearch {
	failed := maps.Clone(avoid) // now, as avoid may change while a search ends
	failed[silent] = true
	return hedgeSearch{peer: silent, begin: func(count func(int) bool) func(context.Context, *exchange) *hedge {
		g.opts.View.RecordOutcome(silent, false)
		s := targetSearch{g: g, ctx: ctx, count: count, failed: maps.Clone(failed), declined: map[string]time.Duration{}}
		return s.find
	}}
}

// find waits for a target and sends the request there while the silent one still has it. A host that is cut off has another host send it.
func (s *targetSearch) find(search context.Context, x *exchange) *hedge {
	choice, ok := s.choose(search, x)
	if !ok && x.viaHelper {
		return s.g.findHelper(s.ctx, search, x, s.count)
	}
	if !ok {
		return nil
	}
	h := &hedge{choice: choice, memory: x.memory, log: x.log}
	x.memory = memoryUse{}
	switch s.sendHedge(search, x, h) {
	case hedgeTaken:
		return h
	case hedgeDeclined:
		s.recordDeclined(choice.Target.ID)
	case hedgeBroken:
		x.sends++
		s.failed[choice.Target.ID] = true
	}
	s.g.release(x, h)
	return nil
}

// recordDeclined records that a target has declined the request. It is tried once more, as each try uses the retry budget.
func (s *targetSearch) recordDeclined(id string) {
	if _, again := s.declined[id]; again {
		s.failed[id] = true
	}
	s.declined[id] = s.g.opts.Now() + declinedTime
}

// sendHedge takes what a request needs at a target and sends it there.
func (s *targetSearch) sendHedge(search context.Context, x *exchange, h *hedge) hedgeResult {
	if !s.g.mayHedge(x, h) {
		return hedgeNotSent
	}
	x.memory = h.memory
	h.endSlot, _ = s.g.beginSend(x, h.choice)
	h.memory, x.memory = x.memory, memoryUse{}
	if h.endSlot == nil || !s.count(1) {
		return hedgeNotSent
	}
	h.sending = s.g.newSending(s.ctx, x, h.choice)
	return s.g.awaitHedge(search, h, s.count, func() hedgeResult { return s.g.checkHedge(x, h.choice, h.sending) })
}

// choose is awaitTarget without the targets that are not tried now.
func (s *targetSearch) choose(search context.Context, x *exchange) (coordinator.Choice, bool) {
	avoid, now := maps.Clone(s.failed), s.g.opts.Now()
	waiting := false
	for id, until := range s.declined {
		if now < until && !avoid[id] {
			avoid[id], waiting = true, true
		}
	}
	if waiting { // no longer than until they are tried again
		var cancel context.CancelFunc
		search, cancel = context.WithTimeout(search, declinedTime)
		defer cancel()
	}
	return s.g.awaitTarget(search, x, avoid)
}

// mayHedge charges the retry budget for a hedge, and reports whether the request may be sent once more.
func (g *Gateway) mayHedge(x *exchange, h *hedge) bool {
	if g.hasBlockedPart(x) || g.mayNotSend(x) != "" {
		return false
	}
	charge, ok := g.chargeRetry(x)
	if ok {
		h.charge = &charge
	}
	return ok
}

// findHelper sends a request through a further host while a silent target or host still has it. ctx is the request's.
func (g *Gateway) findHelper(ctx, search context.Context, x *exchange, count func(n int) bool) *hedge {
	helper, ok := g.opts.Helpers.Choose(x.helpersTried, x.homes.Regions)
	if !ok {
		return nil
	}
	h := &hedge{helper: &helper, log: x.log}
	if !g.mayHedge(x, h) || !count(1) {
		g.release(x, h)
		return nil
	}
	x.tryHelper(helper.Name)
	h.sending = g.newRelaySending(ctx, x, helper)
	outcome := g.awaitHedge(search, h, count, func() hedgeResult { return g.checkRelayHedge(x, helper, h.sending) })
	if outcome == hedgeTaken {
		return h
	}
	if outcome == hedgeBroken {
		x.sends++
	}
	g.release(x, h)
	return nil
}

// searchHelper returns a search for a further host than the silent one that a request was passed on to. ctx is the request's.
func (g *Gateway) searchHelper(ctx context.Context, silent string) hedgeSearch {
	return hedgeSearch{peer: silent, begin: func(count func(int) bool) func(context.Context, *exchange) *hedge {
		return func(search context.Context, x *exchange) *hedge { return g.findHelper(ctx, search, x, count) }
	}}
}

// nextHelper returns the host through which a request is sent next: that of its hedge, if there is one.
func (g *Gateway) nextHelper(x *exchange) (fleet.Host, bool) {
	if h := x.hedge; h != nil && h.helper != nil {
		return *h.helper, true
	}
	return g.opts.Helpers.Choose(x.helpersTried, x.homes.Regions)
}

// nextTarget returns the target to which a request is sent next: that of its hedge, if there is one.
func (g *Gateway) nextTarget(ctx context.Context, x *exchange, avoid map[string]bool) (coordinator.Choice, bool) {
	h := x.hedge
	if h == nil {
		return g.awaitTarget(ctx, x, avoid)
	}
	maps.Copy(x.log, h.log)
	x.memory, h.memory = h.memory, memoryUse{}
	x.viaHelper = h.helper != nil
	return h.choice, !x.viaHelper
}

// takeSending returns the send of the request's hedge, which goes on, and what ends the use of its slot; nil: there is none.
func (x *exchange) takeSending() (s *sending, endSlot func()) {
	h := x.hedge
	if h == nil || h.sending == nil {
		return nil, nil
	}
	x.hedge = nil
	return h.sending, h.endSlot
}

// releaseHedge ends the hedge of a request, if it was not taken.
func (g *Gateway) releaseHedge(x *exchange) {
	g.release(x, x.hedge)
	x.hedge = nil
}
