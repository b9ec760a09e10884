package platformhost

import (
	"context"
	"time"

	"buckthornseam.dev/seam/internal/bootclock"
)

// Times of a host that has lost its way to all engines.
const (
	// yieldAfterShare is the part of the contact time after which it gives up its engines. Other hosts have to wait
	// before they order them, so a short cut is no reason.
	yieldAfterShare = 3
	pollCutOff      = 300 * time.Millisecond
)

// yieldEngines gives up the engines of this host when it has lost its way to all of them, until ctx ends.
func (h *Host) yieldEngines(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, pollCutOff)
		if since, cutOff := h.reach.CutOff(); cutOff && bootclock.Now()-since > h.settings.Bounds.Contact/yieldAfterShare {
			h.owner.Yield(ctx)
		}
	}
	return nil
}
