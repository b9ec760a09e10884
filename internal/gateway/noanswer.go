package gateway

import (
	"errors"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/target"
)

// recordFailure records that a target has not answered a send completely.
func (g *Gateway) recordFailure(c coordinator.Choice, err error) {
	if isSilence(err) {
		return // counted when the silence became too long
	}
	g.opts.View.RecordOutcome(c.Target.ID, false)
	if isNoAnswer(err) {
		g.opts.View.RecordNoAnswer(c.Target.ID)
	}
}

// isNoAnswer reports whether a target has sent bytes that are no answer.
func isNoAnswer(err error) bool {
	var oversized *OversizedResponseError
	var malformed *target.MalformedResponseError
	return errors.As(err, &oversized) || errors.As(err, &malformed)
}
