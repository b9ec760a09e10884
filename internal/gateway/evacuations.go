package gateway

import "time"

// evacuatedRetryAfter is the Retry-After of refusals while all targets of a service are in evacuated zones.
const evacuatedRetryAfter = time.Second

// allEvacuated reports whether a request that was not sent yet is to be refused, because all targets of its service are in
// evacuated zones.
func (g *Gateway) allEvacuated(x *exchange) bool {
	if x.sends > 0 {
		return false // it may have run
	}
	zones := g.opts.View.AllEvacuated(x.service)
	if len(zones) == 0 {
		return false
	}
	x.log["reason"], x.retryAfter = "all targets are in evacuated zones", evacuatedRetryAfter
	for _, zone := range zones {
		g.opts.Metrics.Tagged(map[string]string{"zone": zone}).Counter("evacuation_refusals").Inc(1)
	}
	return true
}

// logEvacuations adds the evacuated zones to the log line of a request.
func (g *Gateway) logEvacuations(x *exchange) {
	if zones := g.opts.View.EvacuatedZones(); len(zones) > 0 {
		x.log["evacuated_zones"] = zones
	}
}
