package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

// urgency returns how urgent a request is, for permits. A stream that has begun is due at once.
func (g *Gateway) urgency(x *exchange) coordinator.Urgency {
	u := coordinator.Urgency{Priority: g.priority(x)}
	switch {
	case x.headWritten:
	case x.route.Objective > 0:
		u.Due = x.arrived + x.route.Objective - g.opts.Now()
	default:
		u.Due = x.deadline - g.opts.Now()
	}
	return u
}

// requestPermit asks for a permit to send a request to a target that names a limit or is cold. The first denial of a request is
// logged.
func (g *Gateway) requestPermit(ctx context.Context, x *exchange, c *coordinator.Choice) bool {
	urgency, others := g.urgency(x), c.OtherCold
	if x.memory.seq != 0 {
		others = nil // memory is reserved at the chosen target alone
	}
	p := g.opts.RequestPermit(ctx, coordinator.PermitRequest{Target: c.Target, Others: others, Urgency: urgency})
	if p.Granted {
		if p.Target.ID != c.Target.ID {
			c.Target, c.Load = p.Target, g.opts.View.Load(p.Target.ID)
		}
		c.PermitUntil = p.Until
		if c.Cold {
			x.log["target_cold"] = true
			g.countCold(c.Target, "granted")
		}
		return true
	}
	if c.Cold {
		g.countCold(c.Target, string(p.Cause))
	}
	x.permitsDenied++
	x.log["permits_denied"] = x.permitsDenied
	if x.permitsDenied == 1 {
		g.opts.Log.WithFields(logrus.Fields{
			"event": "permit_denied", "id": x.call.ID, "target": c.Target.ID, "zone": c.Target.Zone, "cold": c.Cold, "cause": p.Cause,
			"wait_ms": p.Wait.Milliseconds(), "due_ms": urgency.Due.Milliseconds(), "priority": urgency.Priority,
		}).Info("the coordinator gave no permit to send to a target")
	}
	return false
}

// refusedAsCold reports whether a request is refused because all targets are cold and no permit can come before until.
func (g *Gateway) refusedAsCold(x *exchange, req coordinator.Requirements, until time.Duration) bool {
	wait, ok := g.opts.View.ColdWait(req)
	if !ok || wait.Possible < until {
		return false
	}
	x.log["reason"] = "all targets are cold, and none takes the request in time"
	x.retryAfter, x.quiet = wait.Likely-g.opts.Now(), true
	g.opts.Metrics.Tagged(map[string]string{"service": x.service}).Counter("cold_refusals").Inc(1)
	return true
}

// countCold counts what became of a permit for a cold target: "granted", "void" if it was not used in time, or the cause
// of its denial.
func (g *Gateway) countCold(t fleet.Target, result string) {
	g.opts.Metrics.Tagged(map[string]string{"zone": t.Zone, "target": t.ID, "result": result}).Counter("cold_permits").Inc(1)
}

// priority returns the priority of a request: its team's if it has one, otherwise the route's.
func (g *Gateway) priority(x *exchange) int {
	if x.team != nil && x.team.HasPriority {
		return x.team.Priority
	}
	return x.route.Priority
}
