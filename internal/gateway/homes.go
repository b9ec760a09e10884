package gateway

import (
	"net/http"
	"strings"

	"buckthornseam.dev/coord/homes"
	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

// bindToHomes determines to which regions a request is bound, for its first send, all retries and a resumed stream. It refuses the
// request and returns false if none of them is left, without a Retry-After: no time changes that.
func (g *Gateway) bindToHomes(x *exchange) bool {
	var team []string
	if x.team != nil {
		team = x.team.Homes
	}
	x.homes = homes.Bind(x.route.Homes, team)
	if !x.homes.Bound() {
		return true
	}
	x.log["homes"], x.log["homes_of"] = strings.Join(x.homes.Regions, ","), x.homes.By
	if reason := x.homes.Refusal(g.opts.View.Regions()); reason != "" {
		g.countHomes("refused", "")
		return g.refuse(x, http.StatusServiceUnavailable, reason, 0)
	}
	return true
}

// homesLeaveNoHelper reports whether this host has lost its way to all targets and a request may not be sent through any of the
// hosts that reach targets, because of its homes. It then sets the reason of the refusal.
func (g *Gateway) homesLeaveNoHelper(x *exchange) bool {
	if !x.homes.Bound() || x.relayedBy != "" || x.sends > 0 && !x.route.Retryable() {
		return false
	}
	if _, cutOff := g.opts.Reach.CutOff(); !cutOff {
		return false
	}
	if _, ok := g.opts.Helpers.Choose(nil, nil); !ok {
		return false // no host at all reaches targets; the request waits as without homes
	}
	if _, ok := g.opts.Helpers.Choose(x.helpersTried, x.homes.Regions); ok {
		return false
	}
	x.log["reason"] = "this host reaches no targets, and no host in the home regions of the " + x.homes.By + " can pass the request on: " + strings.Join(x.homes.Regions, ",")
	g.countHomes("no_helper", "")
	return true
}

// logHomes adds to the log line of a request with homes where it is sent.
func (g *Gateway) logHomes(x *exchange, c coordinator.Choice) {
	if !x.homes.Bound() {
		return
	}
	region := g.opts.View.Region(c.Target.Zone)
	x.log["target_region"] = region
	g.countHomes("sent", region)
}

// recordHelperRegion adds to the log line of a request with homes where the host is through which it is sent.
func (g *Gateway) recordHelperRegion(x *exchange, helper fleet.Host) {
	if !x.homes.Bound() {
		return
	}
	region := g.opts.View.Region(helper.Zone)
	x.log["through_region"] = region
	g.countHomes("passed_on", region)
}

// countHomes counts what was done with a request that has homes: sent to a target or passed on to a host in a region, or refused.
func (g *Gateway) countHomes(what, region string) {
	g.opts.Metrics.Tagged(map[string]string{"what": what, "region": region}).Counter("homes_requests").Inc(1)
}
