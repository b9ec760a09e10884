package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/coordinator"
)

// Times of a request at a target.
const (
	plainRunTime              = 80 * time.Millisecond  // usual run time at a plain service
	streamRunTime             = 600 * time.Millisecond // usual run time of a stream
	adapterLoadTimeout        = 800 * time.Millisecond
	recheckInterval           = 100 * time.Millisecond // between choices of a target while nothing changes; a target that lacked the model is considered again after a while
	shedRetryDelay            = 25 * time.Millisecond  // delay before retrying the same target, times 1 plus connectFailures (at most maxCountedConnectFailures)
	maxCountedConnectFailures = 7
)

// result is the outcome of one send.
type result int

const (
	relayed result = iota // the response was relayed to the caller
	notRun                // the target did not run the request
	mayHaveRun
	callerLeft
	noSlot // another request took the last slot of this host at the target; nothing was sent
)

// run sends a request to targets until one of them has responded or no further
// send is possible.
func (g *Gateway) run(x *exchange) {
	if g.opts.EngineFailures(x.fingerprint()) >= maxEngineFailures {
		g.refuse(x, http.StatusServiceUnavailable, "engines broke off under this request", maxRetryAfter)
		return
	}
	if g.hasBlockedPart(x) {
		g.giveUp(x)
		return
	}
	ctx, cancelTimeout := context.WithTimeout(x.r.Context(), max(0, x.deadline-g.opts.Now()))
	defer cancelTimeout()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if x.relayedBy == "" {
		defer context.AfterFunc(g.ending, func() { cancel(&StopOverError{}) })()
	}
	defer func() { g.releaseHedge(x) }()
	x.events.lastID = x.call.LastEventID
	if !g.outlastsStop(x) && g.goesThroughHelper(x) && g.passOn(ctx, x) {
		return
	}
	g.opts.Budget.CountRequest(x.service)
	if x.call.Model != "" {
		g.opts.View.RecordArrival(x.service, x.call.Model, x.homes.Regions)
	}
	if !g.findVersion(ctx, x) {
		return
	}
	defer g.releaseMemory(x, true) // if the response is broken off
	avoid := map[string]bool{}
	for {
		choice, ok := g.nextTarget(ctx, x, avoid)
		if !ok && x.viaHelper {
			if g.passOn(ctx, x) {
				return
			}
			continue
		}
		if !ok {
			g.giveUp(x)
			return
		}
		if g.hasBlockedPart(x) { // found out while the request waited
			g.releaseMemory(x, false)
			g.giveUp(x)
			return
		}
		if reason := g.mayNotSend(x); reason != "" {
			x.log["reason"] = reason
			g.releaseMemory(x, false)
			g.giveUp(x)
			return
		}
		charge, ok := g.chargeRetry(x)
		if !ok {
			g.releaseMemory(x, false)
			g.giveUp(x)
			return
		}
		if x.sends == 0 && g.outlastsStop(x) { // the choice may have waited for an adapter, memory or a permit
			g.releaseMemory(x, false)
			g.giveUp(x)
			return
		}
		before := x.tries
		x.tries++
		x.showProgress()
		outcome := g.tryTimed(ctx, x, choice, avoid)
		if x.tries == before { // it reached no target
			g.opts.Budget.Refund(x.service, charge)
		}
		g.releaseMemory(x, outcome == mayHaveRun || outcome == callerLeft)
		switch outcome {
		case relayed:
			return
		case callerLeft:
			x.log["reason"] = "caller left"
			g.giveUp(x)
			return
		case noSlot:
		case notRun:
			avoid[choice.Target.ID] = true
		case mayHaveRun:
			x.sends++
			avoid[choice.Target.ID] = true
			if !x.route.Retryable() || x.sends >= x.route.Attempts || g.opts.EngineFailures(x.fingerprint()) >= maxEngineFailures {
				g.giveUp(x)
				return
			}
		}
	}
}

// tryTimed is try, with the time that it takes recorded.
func (g *Gateway) tryTimed(ctx context.Context, x *exchange, c coordinator.Choice, avoid map[string]bool) (outcome result) {
	g.runTimes.begin(x, g.opts.Now())
	silent := x.silent
	defer func() { g.runTimes.end(x, g.opts.Now(), x.silent-silent, outcome == relayed) }() // also if the response is aborted
	return g.try(ctx, x, c, avoid)
}

// chargeRetry charges the budget if a target or another host has had the request before. It returns false if the budget does not
// allow that.
func (g *Gateway) chargeRetry(x *exchange) (RetryCharge, bool) {
	if x.tries == 0 && x.sends == 0 {
		return RetryCharge{}, true
	}
	if h := x.hedge; h != nil { // charged when it was found
		var charge RetryCharge
		if h.charge != nil {
			charge, h.charge = *h.charge, nil
		}
		return charge, true
	}
	charge, ok := g.opts.Budget.Charge(x.service)
	result := "allowed"
	if !ok {
		result = "refused"
		x.noRetryBudget = true
		x.log["retry_budget"] = g.opts.Budget.State(x.service)
	}
	g.opts.Metrics.Tagged(map[string]string{"service": x.service, "result": result}).Counter("retries").Inc(1)
	return charge, ok
}

// mayNotSend returns why a request may no longer be sent to any target, as of what is known since it was admitted. It is
// empty if it may.
func (g *Gateway) mayNotSend(x *exchange) string {
	if x.team == nil {
		return ""
	}
	current, _ := g.opts.CurrentConfig()
	if !g.configFresh(current) {
		return "the configuration was not confirmed lately"
	}
	if t, ok := current.Copy.TeamOfKey(x.call.Key); !ok || t.Name != x.team.Name {
		return "key was withdrawn"
	}
	return ""
}

// giveUp ends a request to which no target has responded completely.
func (g *Gateway) giveUp(x *exchange) {
	reason, _ := x.log["reason"].(string)
	if g.ending.Err() != nil && x.relayedBy == "" {
		reason = reasonStopping
	}
	late := g.opts.Now() >= x.deadline
	switch {
	case x.r.Context().Err() != nil:
		x.status = 499
		if x.headWritten {
			g.recordRequest(x)
			panic(http.ErrAbortHandler)
		}
		return
	case x.sends > 0 && late:
		x.log["reason"] = reasonOr(reason, "no answer in time")
		g.fail(x, http.StatusGatewayTimeout)
	case x.sends > 0:
		x.log["reason"] = reasonOr(reason, "outcome unknown")
		g.fail(x, http.StatusBadGateway)
	default:
		retry := max(shortRetryAfter, x.retryAfter)
		if x.memory.never {
			retry = 0
		}
		switch {
		case x.noRetryBudget:
			reason = "no budget to repeat"
		case reason == reasonStopping, reason == "" && g.outlastsStop(x):
			g.refuseForStop(x)
			return
		}
		g.refuse(x, http.StatusServiceUnavailable, reasonOr(reason, "no target could take it"), retry)
	}
}

func reasonOr(reason, other string) string {
	if reason == "" {
		return other
	}
	return reason
}

// awaitTarget waits until a target can run the request, and chooses it.
func (g *Gateway) awaitTarget(ctx context.Context, x *exchange, avoid map[string]bool) (coordinator.Choice, bool) {
	view := g.opts.View
	req := coordinator.Requirements{Service: x.service, Model: x.call.Model, Adapter: x.call.Adapter, Version: x.version, Regions: x.homes.Regions, Avoid: avoid, Tokens: tokensOf(x), Prompt: promptOf(x)}
	if g.fitsNowhere(x, req) {
		return coordinator.Choice{}, false
	}
	var endWait func()
	defer func() {
		if endWait != nil {
			endWait()
		}
	}()
	for {
		if ctx.Err() != nil || x.sends == 0 && g.outlastsStop(x) {
			return coordinator.Choice{}, false
		}
		if x.viaHelper = g.goesThroughHelper(x); x.viaHelper {
			return coordinator.Choice{}, false
		}
		if g.homesLeaveNoHelper(x) || g.allEvacuated(x) {
			return coordinator.Choice{}, false
		}
		until := g.targetWaitEnd(x)
		req.Urgency = g.urgency(x)
		req.Late = endWait != nil && g.opts.Now() > x.arrived+x.route.Objective
		changed := view.Changed()
		if g.onHold(x) {
			if !g.waitOnHold(ctx, x, until) {
				return coordinator.Choice{}, false
			}
			continue
		}
		choice, ok := view.Pick(req)
		if ok && choice.NeedsMemory {
			var refuse bool
			if choice, ok, refuse = g.reserveMemory(ctx, x, choice, until); refuse {
				return coordinator.Choice{}, false
			}
		}
		if ok {
			if choice.NeedsSlot && !g.opts.RequestSlot(ctx, choice.Target) {
				g.releaseMemory(x, false)
				continue // with the other targets
			}
			if !choice.NeedsAdapter || g.loadAdapter(ctx, x, choice) {
				if choice.NeedsPermit && !g.requestPermit(ctx, x, &choice) { // last, as it must be used at once
					g.releaseMemory(x, false)
					continue
				}
				g.logChoice(x, choice)
				return choice, true
			}
			g.releaseMemory(x, false)
		} else if len(avoid) > 0 {
			if other, ok := g.retryShed(req, avoid, x); ok {
				return other, true
			}
		}
		if ctx.Err() != nil || g.opts.Now() >= until {
			return coordinator.Choice{}, false
		}
		if end, all := view.QuietUntil(x.service, x.homes.Regions); all && end >= until {
			x.log["reason"] = "all targets ask this host to send nothing"
			x.retryAfter, x.quiet = end-g.opts.Now(), true
			return coordinator.Choice{}, false
		}
		if g.refusedAsCold(x, req, until) {
			return coordinator.Choice{}, false
		}
		if x.version != nil && !view.ServesVersion(x.service, *x.version, x.homes.Regions, failedTargets(x, avoid)) {
			x.log["reason"] = "no target of the stream's software version"
			return coordinator.Choice{}, false
		}
		if x.call.Model != "" {
			if reason := g.unavailableReason(x); reason != "" {
				x.log["reason"] = reason
				return coordinator.Choice{}, false
			}
			if endWait == nil {
				x.log["waited"] = true
				endWait = view.BeginWait(x.service, x.call.Model, x.version, x.homes.Regions, x.arrived+x.route.Objective)
			}
		}
		if choice.Deferred {
			changed = nil // the next random choice waits for recheckInterval even if something changes
		}
		g.waitForChange(ctx, changed, min(until, g.opts.Now()+recheckInterval))
	}
}

// retryShed chooses a target, after a delay, among all targets including those
// to avoid. It is used if no other target can take the request, and only while
// no target may have run it.
func (g *Gateway) retryShed(req coordinator.Requirements, avoid map[string]bool, x *exchange) (coordinator.Choice, bool) {
	if x.sends > 0 || x.tries > 3 {
		return coordinator.Choice{}, false
	}
	req.Avoid = nil
	choice, ok := g.opts.View.Pick(req)
	if ok && choice.NeedsMemory {
		choice, ok, _ = g.reserveMemory(x.r.Context(), x, choice, x.deadline)
	}
	if !ok || choice.NeedsAdapter || choice.NeedsSlot {
		g.releaseMemory(x, false)
		return coordinator.Choice{}, false
	}
	time.Sleep(shedRetryDelay * time.Duration(1+min(x.connectFailures, maxCountedConnectFailures)))
	if choice.NeedsPermit && !g.requestPermit(x.r.Context(), x, &choice) {
		g.releaseMemory(x, false)
		return coordinator.Choice{}, false
	}
	clear(avoid)
	return choice, true
}

// unavailableReason returns why no engine can load the model in time. It is empty
// if one can.
func (g *Gateway) unavailableReason(x *exchange) string {
	spec := x.config.Services[x.service].Engine
	if spec == nil {
		return "service has no engines"
	}
	m, ok := spec.Models[x.call.Model]
	if !ok {
		return "model is not offered"
	}
	left := x.deadline - g.opts.Now()
	if !g.opts.View.HasLocalWeights(x.service, x.call.Model, x.version, x.homes.Regions) && left < m.StoreLoad+streamRunTime {
		x.retryAfter = maxRetryAfter
		g.opts.View.RecordUnloadable(x.service, x.call.Model, x.homes.Regions, g.opts.Now()+m.StoreLoad)
		return "model is on no disk, and its load takes longer than the caller waits"
	}
	return ""
}

// loadAdapter asks the owner of the chosen engine to load the adapter of a request,
// and reports whether the engine has it.
func (g *Gateway) loadAdapter(ctx context.Context, x *exchange, c coordinator.Choice) bool {
	ctx, cancel := context.WithTimeout(ctx, adapterLoadTimeout)
	defer cancel()
	start := g.opts.Now()
	cmd := coordinator.AdapterCommand{Engine: c.Target.ID, Model: x.call.Model, Adapter: x.call.Adapter}
	err := g.opts.LoadAdapter(ctx, g.opts.View.OwnerOf(c.Target.ID), cmd)
	x.log["adapter_ms"] = (g.opts.Now() - start).Milliseconds()
	if err != nil {
		g.opts.Log.WithFields(logrus.Fields{"event": "adapter_not_loaded", "id": x.call.ID, "engine": c.Target.ID, "adapter": x.call.ModelKey()}).Warn(err.Error())
		g.opts.View.RecordMissingModel(c.Target.ID, x.call.ModelKey())
		return false
	}
	return true
}

func (g *Gateway) logChoice(x *exchange, c coordinator.Choice) {
	x.log["target"], x.log["target_version"], x.log["target_load"] = c.Target.ID, c.Target.Version, c.Load
	g.logHomes(x, c)
	if c.ReaderPlace > 0 {
		x.log["reader_place"], x.log["prefill_ms"] = c.ReaderPlace, c.Prefill.Milliseconds()
		g.opts.Metrics.Tagged(map[string]string{"target": c.Target.ID, "zone": c.Target.Zone}).Counter("long_prompts").Inc(1)
	}
	x.log["chosen_ms"] = (g.opts.Now() - x.arrived).Milliseconds()
}
