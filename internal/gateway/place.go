package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

// place is where a request goes on that is at a silent target or host. It has been sent there.
type place struct {
	choice  coordinator.Choice // the target; not set if helper is
	helper  *fleet.Host        // the host that passes it on; nil: none does
	sending *sending           // nil: it was not sent after all
	endSlot func()             // ends the use of a slot at the target; nil: none is used
	memory  memoryUse          // at the target
	charge  *RetryCharge       // of the retry budget; nil: it is spent
	log     logrus.Fields      // for the request's log line
}

// release gives up a place. p may be nil.
func (g *Gateway) release(x *exchange, p *place) {
	if p == nil {
		return
	}
	if p.sending != nil {
		p.sending.abandon()
	}
	if p.endSlot != nil {
		p.endSlot()
	}
	if p.memory.seq != 0 {
		g.opts.View.ReleaseMemory(p.memory.seq, p.sending != nil)
	}
	if p.charge != nil {
		g.opts.Budget.Refund(x.service, *p.charge)
	}
}

// declinedTime is how long a target is not tried again that has declined a request.
const declinedTime = 500 * time.Millisecond

// targetSearch looks for another target for a request that is at a silent one.
type targetSearch struct {
	g        *Gateway
	ctx      context.Context          // of the request
	failed   map[string]bool          // targets that are not tried again
	declined map[string]time.Duration // those that have declined the request once, and until when they are not tried again
}

// searchTarget returns a search for another target than the silent one. avoid are the targets that have failed before; ctx is the request's.
func (g *Gateway) searchTarget(ctx context.Context, avoid map[string]bool, silent string) placeSearch {
	failed := maps.Clone(avoid) // now, as avoid may change while a search ends
	failed[silent] = true
	return placeSearch{peer: silent, begin: func() func(context.Context, *exchange) *place {
		g.opts.View.RecordOutcome(silent, false)
		s := targetSearch{g: g, ctx: ctx, failed: maps.Clone(failed), declined: map[string]time.Duration{}}
		return s.find
	}}
}

// find waits for a target and sends the request there while the silent one still has it. A host that is cut off has another host send it.
func (s *targetSearch) find(search context.Context, x *exchange) *place {
	choice, ok := s.choose(search, x)
	if !ok && x.viaHelper {
		return s.g.findHelper(s.ctx, search, x)
	}
	if !ok {
		return nil
	}
	p := &place{choice: choice, memory: x.memory, log: x.log}
	x.memory = memoryUse{}
	switch s.sendAside(search, x, p) {
	case trialGoesOn:
		return p
	case trialDeclined:
		s.recordDeclined(choice.Target.ID)
	case trialBroke:
		x.sends++
		s.failed[choice.Target.ID] = true
	}
	s.g.release(x, p)
	return nil
}

// recordDeclined records that a target has declined the request. It is tried once more, as each try uses the retry budget.
func (s *targetSearch) recordDeclined(id string) {
	if _, again := s.declined[id]; again {
		s.failed[id] = true
	}
	s.declined[id] = s.g.opts.Now() + declinedTime
}

// sendAside takes what a request needs at a target and sends it there.
func (s *targetSearch) sendAside(search context.Context, x *exchange, p *place) trial {
	if !s.g.mayGoOn(x, p) {
		return trialDeclined
	}
	x.memory = p.memory
	p.endSlot, _ = s.g.beginSend(x, p.choice)
	p.memory, x.memory = x.memory, memoryUse{}
	if p.endSlot == nil {
		return trialDeclined
	}
	p.sending = s.g.newSending(s.ctx, x, p.choice)
	outcome := s.g.tryAside(search, p.sending, func() trial { return s.g.checkTrial(x, p.choice, p.sending) })
	p.spendCharge()
	return outcome
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

// mayGoOn charges the retry budget for a place, and reports whether the request may be sent once more.
func (g *Gateway) mayGoOn(x *exchange, p *place) bool {
	if g.hasBlockedPart(x) || g.mayNotSend(x) != "" {
		return false
	}
	charge, ok := g.chargeRetry(x)
	if ok {
		p.charge = &charge
	}
	return ok
}

// spendCharge makes the charge for a send final, unless it reached nothing.
func (p *place) spendCharge() {
	if !p.sending.unreachable() {
		p.charge = nil
	}
}

// findHelper sends a request through a further host while a silent target or host still has it. ctx is the request's.
func (g *Gateway) findHelper(ctx, search context.Context, x *exchange) *place {
	helper, ok := g.opts.Helpers.Choose(x.helpersTried, x.homes.Regions)
	if !ok {
		return nil
	}
	p := &place{helper: &helper, log: x.log}
	if !g.mayGoOn(x, p) {
		return nil
	}
	x.tryHelper(helper.Name)
	p.sending = g.newRelaySending(ctx, x, helper)
	outcome := g.tryAside(search, p.sending, func() trial { return g.checkRelayTrial(x, helper, p.sending) })
	p.spendCharge()
	if outcome == trialGoesOn {
		return p
	}
	if outcome == trialBroke {
		x.sends++
	}
	g.release(x, p)
	return nil
}

// searchHelper returns a search for a further host than the silent one that a request was passed on to. ctx is the request's.
func (g *Gateway) searchHelper(ctx context.Context, silent string) placeSearch {
	find := func(search context.Context, x *exchange) *place { return g.findHelper(ctx, search, x) }
	return placeSearch{peer: silent, begin: func() func(context.Context, *exchange) *place { return find }}
}

// nextHelper returns the host through which a request is sent next: the place that was found for it, if there is one.
func (g *Gateway) nextHelper(x *exchange) (fleet.Host, bool) {
	if p := x.place; p != nil && p.helper != nil {
		return *p.helper, true
	}
	return g.opts.Helpers.Choose(x.helpersTried, x.homes.Regions)
}

// nextTarget returns the target to which a request is sent next: the place that was found for it, if there is one.
func (g *Gateway) nextTarget(ctx context.Context, x *exchange, avoid map[string]bool) (coordinator.Choice, bool) {
	p := x.place
	if p == nil {
		return g.awaitTarget(ctx, x, avoid)
	}
	maps.Copy(x.log, p.log)
	x.memory, p.memory = p.memory, memoryUse{}
	x.viaHelper = p.helper != nil
	return p.choice, !x.viaHelper
}

// takeSending returns the request that was sent to its place while another peer was silent, and what ends the use of its slot there; nil: there is
// none.
func (x *exchange) takeSending() (s *sending, endSlot func()) {
	p := x.place
	if p == nil || p.sending == nil {
		return nil, nil
	}
	x.place = nil
	return p.sending, p.endSlot
}

// releasePlace gives up the place that was found for a request, if it was not used.
func (g *Gateway) releasePlace(x *exchange) {
	g.release(x, x.place)
	x.place = nil
}
