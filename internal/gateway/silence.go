package gateway

import (
	"context"
	"sync"
	"time"
)

// silenceWatch ends a send whose target is silent for too long. It is safe for concurrent use.
type silenceWatch struct {
	now    func() time.Duration
	cancel context.CancelCauseFunc // of the send

	mu     sync.Mutex
	timer  *time.Timer
	since  time.Duration // when the target sent something last, or the send began
	cutOff bool          // less silence is allowed, since this host has lost its way to all targets
}

func (g *Gateway) watchSilence(allowed time.Duration, cancel context.CancelCauseFunc) *silenceWatch {
	w := &silenceWatch{now: g.opts.Now, cancel: cancel, since: g.opts.Now()}
	w.timer = time.AfterFunc(allowed, w.expire)
	return w
}

func (w *silenceWatch) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancel(&SilentTargetError{Silence: w.now() - w.since, CutOff: w.cutOff})
}

// stop ends the watch until restart is called.
func (w *silenceWatch) stop() { w.timer.Stop() }

// restart begins to watch anew, as the target has sent something.
func (w *silenceWatch) restart(allowed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = w.now()
	w.timer.Reset(allowed)
}

// shorten allows less silence from now on, as this host has lost its way to all targets.
func (w *silenceWatch) shorten(allowed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff = true
	w.timer.Reset(allowed)
}
