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

// watchBuffer is the number of events buffered for the reader of a watch.
const watchBuffer = 64

// clientWatch reads a watch stream.
type clientWatch struct {
	events  chan Event
	cancel  context.CancelFunc
	stopped atomic.Bool
	err     atomic.Pointer[error]
}

// SilentError reports a watch on which nothing, not even a bookmark, came.
type SilentError struct {
	Silence time.Duration
}

func (e *SilentError) Error() string { return "watch silent for " + e.Silence.String() }

// Watch implements API. A watch that goes silent ends with an
// *UnavailableError caused by a *SilentError.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) (Watch, error) {
	done, err := c.budget.enter(ctx, opWatch, kind)
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
		return nil, errorOf(resp.StatusCode, data, opWatch, kind, "")
	}
	w := &clientWatch{events: make(chan Event, watchBuffer), cancel: cancel}
	go w.read(ctx, kind, resp.Body, c.silence)
	return w, nil
}

// read decodes events until the stream ends, the watch is stopped or nothing
// has come for the time of silence.
func (w *clientWatch) read(ctx context.Context, kind Kind, body io.ReadCloser, silence time.Duration) {
	defer close(w.events)
	defer w.cancel()
	defer body.Close()
	var silent atomic.Bool
	timer := time.AfterFunc(silence, func() {
		silent.Store(true)
		w.cancel()
	})
	defer timer.Stop()
	dec := json.NewDecoder(body)
	for {
		var wire WireEvent
		if err := dec.Decode(&wire); err != nil {
			if silent.Load() {
				err = &SilentError{Silence: silence}
			}
			w.fail(err)
			return
		}
		timer.Reset(silence)
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
