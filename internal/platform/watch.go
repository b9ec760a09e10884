package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

// watchBuffer is the number of events that a watch buffers for its reader.
const watchBuffer = 64

// clientWatch decodes the stream of one watch.
type clientWatch struct {
	events  chan Event
	cancel  context.CancelFunc
	stopped atomic.Bool
	err     atomic.Pointer[error]
}

// SilentWatchError reports a watch that delivered nothing, not even a bookmark, for the
// time Silence.
type SilentWatchError struct {
	Silence time.Duration
}

func (e *SilentWatchError) Error() string { return "watch silent for " + e.Silence.String() }

// Watch implements API. A watch that delivers nothing for too long ends with an
// *UnavailableError caused by a *SilentWatchError.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) (Watch, error) {
	done, err := c.limiter.begin(ctx, opWatch, kind)
	if err != nil {
		return nil, err
	}
	w, err := c.openWatch(ctx, kind, after)
	done(err)
	if err != nil {
		return nil, err
	}
	return w, nil
}

func (c *Client) openWatch(ctx context.Context, kind Kind, after Version) (*clientWatch, error) {
	ctx, cancel := context.WithCancel(ctx)
	query := url.Values{"watch": {"true"}, "resourceVersion": {strconv.FormatUint(uint64(after), 10)}}
	timer := time.AfterFunc(callTimeout, cancel)
	resp, err := c.send(ctx, http.MethodGet, kind, "", query, nil)
	timer.Stop()
	if err != nil {
		cancel()
		c.http.CloseIdleConnections()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		data, _ := io.ReadAll(io.LimitReader(resp.Body, MaxObjectBytes))
		return nil, responseError(resp.StatusCode, data, opWatch, kind, "")
	}
	w := &clientWatch{events: make(chan Event, watchBuffer), cancel: cancel}
	go w.read(ctx, kind, resp.Body, c.watchIdleTimeout)
	return w, nil
}

// read decodes events until the stream ends, the watch is stopped or nothing arrives for
// idleTimeout.
func (w *clientWatch) read(ctx context.Context, kind Kind, body io.ReadCloser, idleTimeout time.Duration) {
	defer close(w.events)
	defer w.cancel()
	defer body.Close()
	var timedOut atomic.Bool
	timer := time.AfterFunc(idleTimeout, func() {
		timedOut.Store(true)
		w.cancel()
	})
	defer timer.Stop()
	events := newEventReader(body)
	dec := json.NewDecoder(events)
	for {
		var wire WireEvent
		if err := dec.Decode(&wire); err != nil {
			if timedOut.Load() {
				err = &SilentWatchError{Silence: idleTimeout}
			}
			w.fail(err)
			return
		}
		events.next()
		timer.Reset(idleTimeout)
		select {
		case w.events <- Event{Type: wire.Type, Object: wire.Object.Object(kind)}:
		case <-ctx.Done():
			w.fail(ctx.Err())
			return
		}
	}
}

func (w *clientWatch) fail(cause error) {
	if w.stopped.Load() {
		return
	}
	var err error = &UnavailableError{Op: opWatch, Cause: cause}
	w.err.Store(&err)
}

func (w *clientWatch) Events() <-chan Event { return w.events }

func (w *clientWatch) Err() error {
	if p := w.err.Load(); p != nil {
		return *p
	}
	return nil
}

func (w *clientWatch) Stop() {
	w.stopped.Store(true)
	w.cancel()
}
