package gateway

import (
	"context"
	"net/http"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
)

// findVersion determines the version at which a stream that the caller resumes may go on. It refuses the
// request and returns false if that is unknown.
func (g *Gateway) findVersion(ctx context.Context, x *exchange) bool {
	if x.route.Kind != fleet.Streaming || x.call.LastEventID == "" {
		return true
	}
	version, err := g.opts.Origins.Lookup(ctx, x.service, x.call.Resumes)
	if err != nil {
		return g.refuse(x, http.StatusServiceUnavailable, err.Error(), shortRetryAfter)
	}
	x.version, x.log["stream_version"] = &version, version
	return true
}

// recordOrigin records the version at which a stream begins, before its first event is sent to the caller.
func (g *Gateway) recordOrigin(x *exchange, c coordinator.Choice) {
	if x.version != nil {
		return
	}
	x.version = &c.Target.Version
	if x.route.Resumable {
		g.opts.Origins.Began(x.service, x.call.ID, c.Target.Version)
	}
}

// failedTargets returns the targets that can't go on with the request's stream: those to avoid, unless they
// only declined it.
func failedTargets(x *exchange, avoid map[string]bool) map[string]bool {
	if x.sends == 0 {
		return nil
	}
	return avoid
}
