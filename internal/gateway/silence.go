package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/ctxsleep"
)

// silenceWatch watches the silence of a target, or of a host that a request was passed on to. When that lasts longer than is usual, another
// place for the request is looked for. The send goes on until there is one: a sound target may be silent for a while, and without
// another place nothing is gained by giving it up. It is safe for concurrent use.
type silenceWatch struct {
	g      *Gateway
	ctx    context.Context         // of the request
	cancel context.CancelCauseFunc // of the send
	search hedgeSearch

	mu        sync.Mutex
	timer     *time.Timer
	x         exchange      // a copy, since a search goes on beside the send
	since     time.Duration // when the peer sent something last, or the send began
	due       time.Duration // when the silence lasts too long
	cutOff    bool          // less silence is allowed, since this host has lost its way to all targets
	paused    bool
	ended     bool
	endSearch context.CancelFunc // of the search in progress; nil: none
	hedge     *hedge             // that goes on; the send is cancelled
	hedges    int                // that may have run and do not go on, or have begun just now
	silent    time.Duration      // total time of the silences that were too long and have ended
}

// hedgeSearch looks for another place for a request, and sends it there.
type hedgeSearch struct {
	peer string // target or host that has the request
	// begin is called when the peer is silent for too long. find then looks for a place once; nil: there is none. It may wait, until ctx ends. The
	// exchange is its own. count is called with 1 before a hedge is sent, which it may forbid, and with -1 if it was declined.
	begin func(count func(n int) bool) (find func(ctx context.Context, x *exchange) *hedge)
}

// searchInterval is the time between two looks for a place.
const searchInterval = 100 * time.Millisecond

// watchSilence watches a send that begins now.
func (g *Gateway) watchSilence(ctx context.Context, cancel context.CancelCauseFunc, x *exchange, allowed time.Duration, search hedgeSearch) *silenceWatch {
	w := &silenceWatch{g: g, ctx: ctx, cancel: cancel, search: search}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin(x, allowed)
	w.timer = time.AfterFunc(allowed, w.expire)
	return w
}

// expire looks for another place, and ends the send once a hedge has been taken there.
func (w *silenceWatch) expire() {
	ctx, x := w.beginSearch()
	if x == nil {
		return
	}
	find := w.search.begin(func(n int) bool { return w.countHedge(ctx, n) })
	for ctx.Err() == nil && x.sends < x.route.Attempts && !w.g.hedgeOutlastsStop(x) {
		if h := find(ctx, x); h != nil {
			w.move(ctx, h)
			return
		}
		ctxsleep.Sleep(ctx, searchInterval)
	}
}

// beginSearch returns the exchange for a search; nil: the peer is not silent.
func (w *silenceWatch) beginSearch() (context.Context, *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.g.opts.Now()
	if w.ended || w.paused || w.endSearch != nil || w.hedge != nil || now >= w.x.deadline {
		return nil, nil
	}
	if now < w.due { // restarted just now
		w.timer.Reset(w.due - now)
		return nil, nil
	}
	var ctx context.Context
	ctx, w.endSearch = context.WithCancel(w.ctx)
	fields := logrus.Fields{"event": "target_silent", "id": w.x.call.ID, "peer": w.search.peer, "silent_ms": (now - w.since).Milliseconds(), "cut_off": w.cutOff, "last_event": w.x.events.lastID}
	w.g.opts.Log.WithFields(fields).Warn("no data for a while; looking for another place for the request")
	x := w.x
	x.log, x.memory, x.helpersTried = logrus.Fields{}, memoryUse{}, maps.Clone(x.helpersTried)
	x.sends += 1 + w.hedges // the peer may run it
	return ctx, &x
}

// move ends the send in favour of a hedge, unless the peer has sent something meanwhile.
func (w *silenceWatch) move(ctx context.Context, h *hedge) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		w.g.release(&w.x, h)
		return
	}
	w.hedge = h
	w.hedges-- // it is counted as the next send
	w.cancel(&SilentTargetError{Silence: w.g.opts.Now() - w.since, CutOff: w.cutOff})
}

// pause ends the watch until restart is called, as the peer has sent something. The caller may read slowly. It fails if the request has
// moved to another place by now: it goes on there after what was sent to the caller before, so what has come since must be dropped.
func (w *silenceWatch) pause() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Stop()
	w.paused = true
	if w.hedge != nil {
		return &SilentTargetError{Silence: w.g.opts.Now() - w.since, CutOff: w.cutOff}
	}
	w.stopSearch("resumed")
	return nil
}

// stopSearch ends a search in progress. The caller must hold w.mu.
func (w *silenceWatch) stopSearch(result string) {
	if w.endSearch == nil {
		return
	}
	w.endSearch()
	w.endSearch = nil
	if w.hedge != nil {
		result = "moved"
	} else {
		w.silent += w.g.opts.Now() - w.since
	}
	w.g.opts.Metrics.Tagged(map[string]string{"result": result}).Counter("silences").Inc(1)
}

// begin sets what a search needs of the exchange and how long the peer may be silent from now on. The caller must hold w.mu.
func (w *silenceWatch) begin(x *exchange, allowed time.Duration) {
	w.x, w.since = *x, w.g.opts.Now()
	w.x.log = nil // the request's own
	w.due = w.since + allowed
	w.paused = false
}

// restart begins to watch anew. x is the exchange as it is now.
func (w *silenceWatch) restart(x *exchange, allowed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begin(x, allowed)
	w.timer.Reset(allowed)
}

// shorten allows less silence from now on, as this host has lost its way to all targets.
func (w *silenceWatch) shorten(allowed time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutOff = true
	if due := w.g.opts.Now() + allowed; due < w.due && !w.paused {
		w.due = due
		w.timer.Reset(allowed)
	}
}

// countHedge counts a hedge that is about to be sent (1), or has been declined (-1). It returns false if the search is over, so that none may be sent.
func (w *silenceWatch) countHedge(search context.Context, n int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n > 0 && search.Err() != nil {
		return false
	}
	w.hedges += n
	return true
}

// takeHedges returns how many hedges may have run since the last call. It is negative if some that were counted then have been declined.
func (w *silenceWatch) takeHedges() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.hedges
	w.hedges = 0
	return n
}

// end ends the watch. It returns the hedge that goes on, and for how long the peer was silent beyond what is usual.
func (w *silenceWatch) end() (h *hedge, silent time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
	w.stopSearch("ended")
	return w.hedge, w.silent
}
