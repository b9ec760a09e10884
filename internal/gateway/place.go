package gateway

import (
	"context"
	"maps"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/coordinator"
)

// place is where a request can go on that is at a silent target: another target, or other hosts. Whatever that takes is held for it, so
// that it can be sent at once.
type place struct {
	choice    coordinator.Choice
	viaHelper bool   // through other hosts
	endSlot   func() // gives up the slot at the target; nil: none is held
	memory    memoryUse
	charge    *RetryCharge // of the retry budget; nil: used
	service   string
	log       logrus.Fields // of the request's log line
}

// release gives up what is held. p may be nil.
func (p *place) release(g *Gateway) {
	if p == nil {
		return
	}
	if p.endSlot != nil {
		p.endSlot()
	}
	if p.memory.seq != 0 {
		g.opts.View.ReleaseMemory(p.memory.seq, false)
	}
	if p.charge != nil {
		g.opts.Budget.Refund(p.service, *p.charge)
	}
}

// searchTarget returns a search for another target than the silent one. avoid are the targets that have failed before.
func (g *Gateway) searchTarget(avoid map[string]bool, silent string) placeSearch {
	avoid = maps.Clone(avoid)
	avoid[silent] = true
	return placeSearch{
		peer:   silent,
		silent: func() { g.opts.View.RecordOutcome(silent, false) },
		find: func(ctx context.Context, x *exchange) *place {
			choice, ok := g.awaitTarget(ctx, x, maps.Clone(avoid))
			if !ok && !x.viaHelper {
				return nil
			}
			p := &place{choice: choice, viaHelper: x.viaHelper, memory: x.memory, service: x.service, log: x.log}
			if !g.hold(x, p) {
				p.release(g)
				x.memory = memoryUse{}
				return nil
			}
			return p
		},
	}
}

// hold takes what a request needs to go on at a place, and reports whether it may.
func (g *Gateway) hold(x *exchange, p *place) bool {
	if g.hasBlockedPart(x) || g.mayNotSend(x) != "" {
		return false
	}
	if !p.viaHelper {
		var ok bool
		if p.endSlot, ok = g.opts.View.BeginRequest(p.choice.Target, x.call.Model); !ok {
			return false
		}
	}
	charge, ok := g.chargeRetry(x)
	if ok {
		p.charge = &charge
	}
	return ok
}

// searchHelper returns a search for a further host than the silent one that a request was passed on to.
func (g *Gateway) searchHelper(silent string) placeSearch {
	return placeSearch{peer: silent, find: func(_ context.Context, x *exchange) *place {
		if _, ok := g.opts.Helpers.Choose(x.helpersTried, x.homes.Regions); !ok {
			return nil
		}
		p := &place{viaHelper: true, service: x.service}
		if !g.hold(x, p) {
			return nil
		}
		return p
	}}
}

// nextTarget returns the target to which a request is sent next: the place that was found for it, if there is one.
func (g *Gateway) nextTarget(ctx context.Context, x *exchange, avoid map[string]bool) (coordinator.Choice, bool) {
	p := x.place
	if p == nil {
		return g.awaitTarget(ctx, x, avoid)
	}
	maps.Copy(x.log, p.log)
	x.memory, p.memory = p.memory, memoryUse{}
	x.viaHelper = p.viaHelper
	return p.choice, !p.viaHelper
}

// takeSlot returns what gives up the slot that is held at the request's place; nil: none is held.
func (x *exchange) takeSlot() (end func()) {
	if x.place != nil {
		end, x.place.endSlot = x.place.endSlot, nil
	}
	return end
}

// releasePlace ends the use of the place that was found for a request, and gives up what is still held there.
func (g *Gateway) releasePlace(x *exchange) {
	x.place.release(g)
	x.place = nil
}
