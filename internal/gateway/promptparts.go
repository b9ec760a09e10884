package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
)

// PartFailures finds out which parts of prompts crash targets. coordinator.PartFailures implements it.
type PartFailures interface {
	RecordFailure(request string, parts []string, t fleet.Target, sent time.Duration)
	RecordCompletion(parts []string, t fleet.Target, sent time.Duration)
	// Check returns a part that crashes targets, or an empty string. With probe set, it admits a request
	// with such a part once in a while.
	Check(parts []string, probe bool) (blocked string)
	// HoldUntil returns until when a request should wait, since a part of its prompt may crash targets; 0: none
	// may.
	HoldUntil(parts []string) time.Duration
}

// hasBlockedPart reports whether a part of the prompt crashes targets. The first send of a request may be
// admitted all the same, to find out whether the part still does.
func (g *Gateway) hasBlockedPart(x *exchange) bool {
	blocked := g.opts.Parts.Check(x.call.SharedParts, false)
	if blocked == "" || x.probe && x.tries == 0 {
		return false
	}
	if x.tries == 0 && g.opts.Parts.Check(x.call.SharedParts, true) == "" {
		x.probe, x.log["probe"] = true, blocked
		return false
	}
	x.log["reason"], x.log["blocked_part"] = "a part of the prompt crashes targets", blocked
	x.retryAfter = maxRetryAfter
	return true
}

// holdSpread is the time over which the requests go on that were held. If the first one crashes its target, the
// others are held again.
const holdSpread = time.Second

// onHold reports whether the request should wait because a part of its prompt may crash targets.
func (g *Gateway) onHold(x *exchange) bool {
	if x.probe {
		return false
	}
	switch end := g.opts.Parts.HoldUntil(x.call.SharedParts); {
	case end == 0:
		x.holdEnd, x.heldUntil = 0, 0
	case end != x.holdEnd:
		x.holdEnd, x.heldUntil = end, end+rand.N(holdSpread)
	}
	return g.opts.Now() < x.heldUntil
}

// waitOnHold waits for a moment while a part of the prompt may crash targets. It returns false if the request
// should not wait any longer.
func (g *Gateway) waitOnHold(ctx context.Context, x *exchange, until time.Duration) bool {
	if ctx.Err() != nil || g.opts.Now() >= until || g.hasBlockedPart(x) {
		if _, ok := x.log["blocked_part"]; !ok {
			x.log["reason"] = "a part of the prompt may crash targets"
		}
		return false
	}
	x.log["held"] = true
	g.waitForChange(ctx, nil, min(until, g.opts.Now()+recheckInterval))
	return true
}

// maxPartsLogged is the number of parts at each end of a prompt that a log line names.
const maxPartsLogged = 8

// partsForLog returns the parts of a prompt for a log line; of a long one, those at its ends and the number between them.
func partsForLog(parts []string) string {
	if n := len(parts) - 2*maxPartsLogged; n > 0 {
		return strings.Join(parts[:maxPartsLogged], ",") + ",(" + strconv.Itoa(n) + " more)," + strings.Join(parts[len(parts)-maxPartsLogged:], ",")
	}
	return strings.Join(parts, ",")
}
