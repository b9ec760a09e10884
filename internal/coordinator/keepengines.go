package coordinator

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/ctxsleep"
)

// reassertInterval is the time between attempts to keep an engine after the store was restored.
const reassertInterval = 200 * time.Millisecond

// RunRestores keeps the engines of this host when the store is restored, until ctx ends.
func (o *Owner) RunRestores(ctx context.Context) error {
	for ctx.Err() == nil {
		_, restored := o.lease.eras.Changed()
		if o.reassertAll(ctx) {
			ctxsleep.Sleep(ctx, reassertInterval)
			continue
		}
		select {
		case <-restored:
			ctxsleep.Sleep(ctx, rand.N(restoreSpread))
		case <-ctx.Done():
		}
	}
	return nil
}

// reassertAll reasserts the engines that were claimed before the last restore of the store, and reports whether some are
// left to try again.
func (o *Owner) reassertAll(ctx context.Context) (left bool) {
	o.mu.Lock()
	engines := slices.Collect(maps.Values(o.owned))
	o.mu.Unlock()
	for _, e := range engines {
		if !o.lease.Outdated(e.currentFence()) {
			continue
		}
		fence, err := o.lease.Reassert(ctx, e.id, e.currentFence())
		var lost *LostEngineError
		switch {
		case err == nil:
			e.fenceLock.Lock()
			e.fence = fence
			e.fenceLock.Unlock()
			o.log.WithFields(logrus.Fields{"event": "engine_kept", "engine": e.id, "fence": fence}).Info("the store was restored; this host goes on owning the engine")
		case errors.As(err, &lost):
			o.disown(e, err.Error())
		default:
			left = true
		}
	}
	return left
}

func (e *ownedEngine) currentFence() uint64 {
	e.fenceLock.RLock()
	defer e.fenceLock.RUnlock()
	return e.fence
}

// orderTime is longer than an order in progress takes.
const orderTime = 500 * time.Millisecond

// Yield gives up all engines, so that other hosts can own them, and reports whether there were any. It is for a host that
// cannot reach them.
func (o *Owner) Yield(ctx context.Context) bool {
	o.mu.Lock()
	n := len(o.owned)
	o.mu.Unlock()
	if n == 0 {
		return false
	}
	o.lease.Suspend()
	o.refresh()
	o.changed()
	ctxsleep.Sleep(ctx, orderTime)
	err := o.lease.Yield(ctx)
	o.log.WithFields(logrus.Fields{"event": "engines_yielded", "engines": n, "failed": err != nil}).Warn("this host reaches no engine; others may own those that it owned")
	return true
}
