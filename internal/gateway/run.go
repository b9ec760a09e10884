package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/steer"
	"buckthornseam.dev/seam/internal/target"
)

// Times of a request at a target.
const (
	plainRunTime  = 80 * time.Millisecond  // a plain service's usual work
	streamRunTime = 600 * time.Millisecond // a stream's usual run: what must be left to begin one
	adapterWait   = 800 * time.Millisecond
	lookAgain     = 100 * time.Millisecond // beside changes: what was refuted counts again after a while
	shedPause     = 25 * time.Millisecond  // before the same target is tried again; longer with each connection that failed
	maxShedPauses = 7
)

// result says how one try ended.
type result int

const (
	answered result = iota // the caller has its answer
	notRun                 // the target did not run it
	mayHaveRun
	callerLeft
)

// run finds targets for a request until one answers it.
func (g *Gateway) run(x *exchange) {
	if g.opts.Struck(x.fingerprintIfStruck(g)) >= strikesMost {
		g.refuse(x, http.StatusServiceUnavailable, "engines broke off under this request", maxRetry)
		return
	}
	ctx, cancel := context.WithTimeout(x.r.Context(), max(0, x.deadline-g.opts.Now()))
	defer cancel()
	g.opts.Budget.Request(x.service)
	if x.call.Model != "" {
		g.opts.Board.RecordArrival(x.service, x.call.Model)
	}
	x.events.lastID = x.call.LastEventID
	avoid := map[string]bool{}
	for {
		choice, ok := g.choose(ctx, x, avoid)
		if !ok {
			g.giveUp(x)
			return
		}
		if x.tries > 0 && !g.opts.Budget.Repeat(x.service) {
			x.noBudget = true
			g.giveUp(x)
			return
		}
		x.tries++
		switch g.try(ctx, x, choice) {
		case answered:
			return
		case callerLeft:
			x.log["reason"] = "caller left"
			g.giveUp(x)
			return
		case notRun:
			avoid[choice.Target.ID] = true
		case mayHaveRun:
			x.sends++
			avoid[choice.Target.ID] = true
			if !x.route.Repeatable() || x.sends >= x.route.Attempts || g.opts.Struck(x.fingerprint()) >= strikesMost {
				g.giveUp(x)
				return
			}
		}
	}
}

// fingerprintIfStruck returns the fingerprint; it is only worth making for
// requests to engines.
func (x *exchange) fingerprintIfStruck(_ *Gateway) string { return x.fingerprint() }

// giveUp ends a request that no target answered.
func (g *Gateway) giveUp(x *exchange) {
	reason, _ := x.log["reason"].(string)
	late := g.opts.Now() >= x.deadline
	switch {
	case x.r.Context().Err() != nil:
		x.status = 499
		if x.begun {
			g.finished(x)
			panic(http.ErrAbortHandler)
		}
		return
	case x.sends > 0 && late:
		x.log["reason"] = orReason(reason, "no answer in time")
		g.fail(x, http.StatusGatewayTimeout)
	case x.sends > 0:
		x.log["reason"] = orReason(reason, "outcome unknown")
		g.fail(x, http.StatusBadGateway)
	default:
		retry := max(shortRetry, x.retry)
		if x.noBudget {
			reason = "no budget to repeat"
		}
		g.refuse(x, http.StatusServiceUnavailable, orReason(reason, "no target could take it"), retry)
	}
}

func orReason(reason, other string) string {
	if reason == "" {
		return other
	}
	return reason
}

// choose waits for a target that can run the request now.
func (g *Gateway) choose(ctx context.Context, x *exchange, avoid map[string]bool) (steer.Choice, bool) {
	board := g.opts.Board
	ask := steer.Requirements{Service: x.service, Model: x.call.Model, Adapter: x.call.Adapter, Avoid: avoid}
	var stopAwaiting func()
	defer func() {
		if stopAwaiting != nil {
			stopAwaiting()
		}
	}()
	for {
		until := g.waitUntil(x)
		ask.Late = stopAwaiting != nil && g.opts.Now() > x.arrived+x.route.Objective
		changed := board.Changed()
		choice, ok := board.Pick(ask)
		if ok {
			if !choice.NeedsAdapter || g.adapter(ctx, x, choice) {
				g.logChoice(x, choice)
				return choice, true
			}
		} else if len(avoid) > 0 {
			if other, ok := g.again(ask, avoid, x); ok {
				return other, true
			}
		}
		if ctx.Err() != nil || g.opts.Now() >= until {
			return steer.Choice{}, false
		}
		if x.call.Model != "" {
			if reason := g.hopeless(x); reason != "" {
				x.log["reason"] = reason
				return steer.Choice{}, false
			}
			if stopAwaiting == nil {
				x.log["waited"] = true
				stopAwaiting = board.BeginWait(x.service, x.call.Model, x.arrived+x.route.Objective)
			}
		}
		if choice.Deferred {
			changed = nil // the next lot is drawn after a pause, whatever becomes known
		}
		g.sleepUntil(ctx, changed, min(until, g.opts.Now()+lookAgain))
	}
}

// again allows targets that shed the request before, after a pause, where no
// other can take it.
func (g *Gateway) again(ask steer.Requirements, avoid map[string]bool, x *exchange) (steer.Choice, bool) {
	if x.sends > 0 || x.tries > 3 {
		return steer.Choice{}, false
	}
	ask.Avoid = nil
	choice, ok := g.opts.Board.Pick(ask)
	if !ok || choice.NeedsAdapter {
		return steer.Choice{}, false
	}
	clear(avoid)
	time.Sleep(shedPause * time.Duration(1+min(x.unreached, maxShedPauses)))
	return choice, true
}

// waitUntil returns how long a request may wait for a target.
func (g *Gateway) waitUntil(x *exchange) time.Duration {
	runTime := plainRunTime
	if x.route.Kind == fleet.Streaming {
		runTime = streamRunTime
	}
	until := x.deadline - min(runTime, (x.deadline-x.arrived)/3)
	if x.route.Kind == fleet.Streaming {
		until = min(until, x.arrived+callerPatience(x.route)-firstEventTime)
	}
	if end := time.Duration(g.waitEnd.Load()); end > 0 {
		until = min(until, end)
	}
	return until
}

// Callers of a stream leave when no event has come for the longest of these
// times, also before the first (by the pages of the platform).
const (
	callerGapLeast      = 2 * time.Second
	callerGapObjectives = 4 // times the objective
	callerGapPauses     = 8 // times the longest pause in time
)

// firstEventTime is what a target usually needs until the first event.
const firstEventTime = 100 * time.Millisecond

// callerPatience returns how long a caller waits for the first event.
func callerPatience(r *fleet.Route) time.Duration {
	return max(callerGapLeast, callerGapObjectives*r.Objective, callerGapPauses*r.GapObjective)
}

// hopeless returns why no engine can have the model in time; empty if one can.
func (g *Gateway) hopeless(x *exchange) string {
	spec := x.config.Services[x.service].Engine
	if spec == nil {
		return "service has no engines"
	}
	m, ok := spec.Models[x.call.Model]
	if !ok {
		return "model is not offered"
	}
	left := x.deadline - g.opts.Now()
	if !g.opts.Board.HasLocalWeights(x.service, x.call.Model) && left < m.StoreLoad+streamRunTime {
		x.retry = maxRetry
		g.opts.Board.RecordUnloadable(x.service, x.call.Model, g.opts.Now()+m.StoreLoad)
		return "model is on no disk, and its load takes longer than the caller waits"
	}
	return ""
}

// adapter has the adapter of a request loaded at the chosen engine.
func (g *Gateway) adapter(ctx context.Context, x *exchange, c steer.Choice) bool {
	ctx, cancel := context.WithTimeout(ctx, adapterWait)
	defer cancel()
	began := g.opts.Now()
	cmd := steer.AdapterCommand{Engine: c.Target.ID, Model: x.call.Model, Adapter: x.call.Adapter}
	err := g.opts.Adapter(ctx, g.opts.Board.OwnerOf(c.Target.ID), cmd)
	x.log["adapter_ms"] = (g.opts.Now() - began).Milliseconds()
	if err != nil {
		g.opts.Log.WithFields(logrus.Fields{"event": "adapter_not_loaded", "id": x.call.ID, "engine": c.Target.ID, "adapter": x.call.ModelKey()}).Warn(err.Error())
		g.opts.Board.RecordMissingModel(c.Target.ID, x.call.ModelKey())
		return false
	}
	return true
}

func (g *Gateway) logChoice(x *exchange, c steer.Choice) {
	x.log["target"], x.log["target_load"], x.log["chosen_ms"] = c.Target.ID, c.Load, (g.opts.Now() - x.arrived).Milliseconds()
}

// try sends a request to one target and passes on its answer.
func (g *Gateway) try(ctx context.Context, x *exchange, c steer.Choice) result {
	confirmed, _ := g.opts.Confirmed()
	if x.team != nil && !g.trusts(confirmed) {
		x.log["reason"] = "the configuration was not confirmed lately"
		return notRun
	}
	if x.team != nil {
		if t, ok := g.opts.Board.Config().TeamOfKey(x.call.Key); !ok || t.Name != x.team.Name {
			x.log["reason"] = "key was withdrawn"
			return notRun
		}
	}
	g.assert(x, c)
	end := g.opts.Board.BeginRequest(c.Target.ID, x.call.Model)
	defer end()
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	patience := g.patience(x, c.Target.ID)
	sent := g.opts.Now()
	silence := time.AfterFunc(patience, cancel)
	defer silence.Stop()

	resp, err := g.opts.Sender.Forward(sendCtx, c.Target.Address, g.forwarding(x, c), g.idOf)
	if err != nil {
		return g.sendFailed(x, c, err)
	}
	defer resp.Body.Close()
	answer := g.opts.Codec.ReadAnswer(resp.Status, resp.Header)
	if answer.NotRun {
		x.log["shed_by"] = c.Target.ID
		g.opts.Board.RecordOutcome(c.Target.ID, resp.Status == http.StatusMisdirectedRequest || x.call.Model != "")
		if x.call.Model != "" {
			g.opts.Board.RecordMissingModel(c.Target.ID, x.call.Model)
		}
		return notRun
	}
	if resp.Status/100 == 5 {
		g.opts.Board.RecordOutcome(c.Target.ID, false)
		if x.begun || (x.route.Kind == fleet.Idempotent && x.sends+1 < x.route.Attempts) {
			x.log["reason"] = "target failed"
			return mayHaveRun
		}
	}
	if x.begun && resp.Status != http.StatusOK {
		return mayHaveRun
	}
	if resp.Status/100 == 2 && (answer.Stamp == "" || answer.ID != x.call.ID) {
		g.opts.Board.RecordOutcome(c.Target.ID, false)
		x.log["reason"] = "answer is not the target's own"
		return mayHaveRun
	}
	return g.passOn(ctx, x, c, resp, silence, sent)
}

// assert checks what must hold whenever a request is sent.
func (g *Gateway) assert(x *exchange, c steer.Choice) {
	invariant.Check(x.sends == 0 || x.route.Repeatable(), invariant.AtMostOnce, "request %s is sent again after it may have run", x.call.ID)
	invariant.Check(!c.Target.Draining, invariant.LeavingUnused, "request %s is sent to %s, which leaves", x.call.ID, c.Target.ID)
	invariant.Check(x.team != nil || x.route.Public || !x.config.HasTeams(), invariant.TeamOfKey, "request %s is sent without a team", x.call.ID)
}

func (g *Gateway) idOf(status int, h http.Header) string {
	return g.opts.Codec.ReadAnswer(status, h).ID
}

func (g *Gateway) forwarding(x *exchange, c steer.Choice) target.Forwarding {
	priority := x.route.Priority
	if x.team != nil && x.team.HasPriority {
		priority = x.team.Priority
	}
	team := ""
	if x.team != nil {
		team = x.team.Name
	}
	return target.Forwarding{
		ID: x.call.ID, Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Body: x.body,
		Header: g.opts.Codec.AttemptHeader(fleet.Attempt{
			Header: x.r.Header, TargetID: c.Target.ID, Team: team, Deadline: x.deadline - g.opts.Now(),
			Priority: priority, LastEventID: x.events.lastID,
		}),
	}
}

// Patience with a silent target, where the request may go on at another.
const (
	patienceObjectives = 3                       // times the objective until the first byte
	patienceLeast      = 1800 * time.Millisecond // leaves a caller of 3.2 s time for another target
	patienceGaps       = 3                       // times the objective between events
	patienceUsual      = 4                       // times what the target took of late: a slow one is not a silent one
)

// patience returns how long a target may stay silent. A request that may not
// run again waits for as long as its caller does.
func (g *Gateway) patience(x *exchange, id string) time.Duration {
	left := x.deadline - g.opts.Now()
	if !x.route.Repeatable() || x.sends+1 >= x.route.Attempts {
		return left
	}
	if x.begun {
		return min(left, max(patienceLeast, patienceGaps*x.route.GapObjective))
	}
	return min(left, max(patienceLeast, patienceObjectives*x.route.Objective, patienceUsual*g.opts.Board.FirstEventTime(id)))
}

// sendFailed judges a request to which no answer came.
func (g *Gateway) sendFailed(x *exchange, c steer.Choice, err error) result {
	fields := logrus.Fields{"event": "send_failed", "id": x.call.ID, "target": c.Target.ID, "tries": x.tries}
	g.opts.Log.WithFields(fields).Warn(err.Error())
	if x.r.Context().Err() != nil {
		return callerLeft
	}
	g.opts.Board.RecordOutcome(c.Target.ID, false)
	x.log["reason"] = err.Error()
	var unreachable *target.UnreachableError
	if errors.As(err, &unreachable) {
		g.opts.Board.RecordUnreachable(c.Target.ID)
		x.tries-- // nothing arrived: the next send is no repeat
		x.unreached++
		return notRun
	}
	g.strike(x, err)
	return mayHaveRun
}

// strike remembers a request whose target broke off, unless it just was silent.
func (g *Gateway) strike(x *exchange, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return
	}
	g.opts.Strike(steer.EngineFailureID(x.fingerprint(), x.call.ID))
}
