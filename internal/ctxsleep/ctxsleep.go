// Package ctxsleep waits for a time that a context may cut short.
package ctxsleep

import (
	"context"
	"time"
)

// Sleep waits for d, which may be 0 or less, or until ctx ends. It reports whether the whole time has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
