package platformhost

import (
	"context"
	"time"

	"buckthornseam.dev/seam/internal/bootclock"
	"buckthornseam.dev/seam/internal/ctxsleep"
)

// Times of a host that has lost its way to all engines.
const (
	// yieldContactDivisor: it gives up its engines after the contact time divided by this. Other hosts have to wait
	// before they order them, so a short cut is no reason.
	yieldContactDivisor = 3
	cutOffCheckPeriod   = 300 * time.Millisecond
)

// yieldEngines gives up the engines of this host when it has lost its way to all of them, until ctx ends.
func (h *Host) yieldEngines(ctx context.Context) error {
	for ctx.Err() == nil {
		ctxsleep.Sleep(ctx, cutOffCheckPeriod)
		if since, cutOff := h.reach.CutOff(); cutOff && bootclock.Now()-since > h.settings.Bounds.Contact/yieldContactDivisor {
			h.owner.Yield(ctx)
		}
	}
	return nil
}
