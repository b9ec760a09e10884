package platformhost

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/ctxsleep"
	"buckthornseam.dev/seam/internal/platform"
)

// Times of a planned stop.
const (
	stopMargin      = 500 * time.Millisecond  // left before the platform kills the process
	handoverTime    = 1700 * time.Millisecond // for moves in progress and the release of the lease
	idleBeforeStop  = 1500 * time.Millisecond // without requests for this long, callers have moved to other hosts
	minServeTime    = 4 * time.Second         // twice directoryTTL: callers usually keep directory responses that long
	stopCheckPeriod = 20 * time.Millisecond   // a fraction of the run time of a short request
	leaveTimeout    = 700 * time.Millisecond
	shutdownTimeout = 150 * time.Millisecond // for responses on their way; callers count longer as lost
	handlerTimeout  = 150 * time.Millisecond // then, for handlers to end; some of stopMargin remains
)

// maxHandoverShare limits handoverTime to this share of the grace period.
const maxHandoverShare = 0.25

// drain serves the requests that still arrive, as long as they end in time, and returns
// when no request is in progress or the grace period is nearly over.
func (h *Host) drain(ctx context.Context) stopSummary {
	start := time.Now()
	end := start.Add(h.settings.Bounds.Grace - stopMargin)
	close(h.stopping)
	h.directory.Leave()
	h.client.Leave()
	h.gateway.Stop(time.Until(end), func() time.Duration { return h.stopRetryAfter(end) })
	h.log.WithFields(logrus.Fields{"event": "host_stopping", "running": h.gateway.Running()}).Info("planned stop started; host is removed from the directory")
	go h.markLeaving(ctx)
	handover := min(handoverTime, time.Duration(maxHandoverShare*float64(h.settings.Bounds.Grace)))
	h.serveUntilStop(ctx, start, end.Add(-handover))
	h.releaseEngines(ctx, end)
	h.gateway.Close()
	for h.busy() && time.Now().Before(end) && ctx.Err() == nil {
		ctxsleep.Sleep(ctx, stopCheckPeriod)
	}
	summary := stopSummary{start: start, running: h.gateway.Running(), unread: h.callers.Used()}
	h.gateway.EndRequests()
	return summary
}

// stopSummary is the state at the end of a planned stop.
type stopSummary struct {
	start   time.Time
	running int64 // requests in progress
	unread  int64 // bytes that callers have not read
}

// finish closes the servers and waits, for a short time, for handlers that are still running, so that their responses and log lines
// are written. It logs the requests whose handlers go on, as the process may end now.
func (h *Host) finish(servers []server) (unfinished int) {
	closeServers(servers, h.callers)
	h.callers.Close()
	for end := time.Now().Add(handlerTimeout); h.responding() && time.Now().Before(end); {
		time.Sleep(busyCheckPeriod)
	}
	return h.gateway.LogUnfinished()
}

// responding reports whether requests are in progress or the server has not sent all responses yet.
func (h *Host) responding() bool { return h.gateway.Running() > 0 || h.callers.Busy() > 0 }

// logStopped logs the end of a planned stop.
func (h *Host) logStopped(s stopSummary, unfinished int) {
	h.log.WithFields(logrus.Fields{
		"event": "host_stopped", "running": s.running, "cut_off": h.gateway.CutOff(), "unfinished": unfinished, "unread_bytes": s.unread,
		"took_ms": time.Since(s.start).Milliseconds(),
	}).Info("host stopped")
}

// busy reports whether requests are in progress or slow callers have not read their responses yet.
func (h *Host) busy() bool { return h.gateway.Running() > 0 || h.callers.Used() > 0 }

// serveUntilStop returns when callers have moved to other hosts, or when most of those that still come have to be
// refused and no request is in progress: callers are then served sooner by other hosts and by the next process on this machine.
func (h *Host) serveUntilStop(ctx context.Context, start, end time.Time) {
	lastRunning := time.Now()
	for time.Now().Before(end) && ctx.Err() == nil {
		ctxsleep.Sleep(ctx, stopCheckPeriod)
		if h.busy() {
			lastRunning = time.Now()
			continue
		}
		if time.Since(start) > minServeTime && time.Since(lastRunning) > idleBeforeStop {
			return
		}
		if time.Since(start) > directoryTTL && h.gateway.RefusesMost() {
			return
		}
	}
}

// releaseEngines ends the moves of this host's engines and releases them. The host goes on
// ordering them until then, since the next process on this machine may do so again at once.
func (h *Host) releaseEngines(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.owner.Leave(ctx)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Retry-After of requests that are refused because of a planned stop.
const (
	retryElsewhere = 100 * time.Millisecond  // another host serves: the time to connect to it
	restartTime    = 1200 * time.Millisecond // from the end of a stop until the next process serves
)

// stopRetryAfter returns when a caller should try again whose request this stopping host
// refuses. While no other host serves, that is when this one is back.
func (h *Host) stopRetryAfter(end time.Time) time.Duration {
	if h.directory.OthersStay() {
		return retryElsewhere
	}
	return max(0, time.Until(end)) + restartTime
}

// markLeaving marks this host's entry. The entry stays until the next process on this
// machine replaces it, so that hosts keep the order in which they become the coordinator;
// the coordinator removes it if no process follows.
func (h *Host) markLeaving(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	self, _ := h.view.Host(h.self.Name)
	entry := h.self
	entry.Leaving = true
	if err := h.putEntry(ctx, entry, platform.Version(self.ModRevision)); err != nil {
		h.log.WithFields(logrus.Fields{"event": "leave_failed"}).Warn(err.Error())
	}
}
