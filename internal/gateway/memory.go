package gateway

import (
	"context"
	"time"

	"buckthornseam.dev/seam/internal/coordinator"
)

// memoryRetryWait is how long a request waits before it asks for memory again.
const memoryRetryWait = 100 * time.Millisecond

// memoryUse is the memory of an engine that a request holds or waits for.
type memoryUse struct {
	seq     uint64        // of the reservation; 0: none
	askedAt time.Duration // when it was last denied; 0: never
	asks    int
	never   bool // it fits in no engine
	prefill int  // tokens that the engine it was sent to has to prefill; 0: unknown
}

// tokensOf returns the tokens of a request's prompt and longest response; 0: not stated.
func tokensOf(x *exchange) int64 {
	if !x.call.HasTokens {
		return 0
	}
	return int64(x.call.TokensIn) + int64(x.call.TokensOut)
}

// promptOf describes a request's prompt. A stream that is resumed has also to prefill what was generated, which is not stated.
func promptOf(x *exchange) coordinator.Prompt {
	if !x.call.HasTokens {
		return coordinator.Prompt{}
	}
	p := coordinator.Prompt{Tokens: x.call.TokensIn, Shared: min(x.call.SharedTokens, x.call.TokensIn)}
	if n := len(x.call.SharedParts); n > 0 {
		p.Part = x.call.SharedParts[n-1]
	}
	return p
}

// fitsNowhere reports whether a request is larger than the memory of every engine, and says so in the log.
func (g *Gateway) fitsNowhere(x *exchange, req coordinator.Requirements) bool {
	if !g.opts.View.NeverFits(req) {
		return false
	}
	x.memory.never = true
	x.log["reason"], x.log["memory_tokens"] = "request is larger than the memory of every engine", req.Tokens
	g.opts.Metrics.Counter("memory_never_fits").Inc(1)
	return true
}

// reserveMemory asks for memory at the engine of a choice, or at another one that can take the request. It returns false if there is
// none now; refuse is set if there will be none before the time until.
func (g *Gateway) reserveMemory(ctx context.Context, x *exchange, c coordinator.Choice, until time.Duration) (chosen coordinator.Choice, ok, refuse bool) {
	now := g.opts.Now()
	if g.opts.RequestMemory == nil {
		return c, true, false
	}
	if x.memory.askedAt > 0 && now < x.memory.askedAt+memoryRetryWait {
		return c, false, false
	}
	x.memory.asks++
	grant := g.opts.RequestMemory(ctx, c, coordinator.MemoryRequest{ID: x.call.ID, Tokens: tokensOf(x), Due: x.arrived + x.route.Objective, Until: x.deadline})
	x.log["memory_tokens"], x.log["memory_asks"] = tokensOf(x), x.memory.asks
	if grant.Granted {
		x.memory.seq = grant.Seq
		x.log["memory_wait_ms"] = (g.opts.Now() - x.arrived).Milliseconds()
		delete(x.log, "memory_denied")
		g.opts.Metrics.Tagged(map[string]string{"target": grant.Choice.Target.ID, "zone": grant.Choice.Target.Zone}).Counter("memory_reserved").Inc(1)
		return grant.Choice, true, false
	}
	if x.memory.askedAt == 0 {
		g.opts.Metrics.Tagged(map[string]string{"reason": grant.Reason}).Counter("memory_waits").Inc(1)
	}
	x.memory.askedAt = max(1, g.opts.Now())
	x.log["memory_denied"] = grant.Reason
	if grant.Free > x.deadline || grant.Paused && grant.Free > until {
		x.log["reason"] = "no engine has memory for it in time: " + grant.Reason
		x.retryAfter, x.quiet = grant.Free-g.opts.Now(), true
		return c, false, true
	}
	return c, false, false
}

// releaseMemory gives the memory of a request back. brokenOff is set if the engine may go on with the request.
func (g *Gateway) releaseMemory(x *exchange, brokenOff bool) {
	if x.memory.seq != 0 {
		g.opts.View.ReleaseMemory(x.memory.seq, brokenOff)
		x.memory.seq = 0
	}
}
