package wholerun

import (
	"context"
	"sync"

	"buckthornseam.dev/seam/internal/platform"
)

// faultAPI is the object API as one host sees it. Unlike objectapi.Client it also
// applies faults to watches that are open already.
type faultAPI struct {
	platform.API
	host *host
}

const errCutOff = netError("host is cut off from the object API")

// Watch implements platform.API.
func (a faultAPI) Watch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Watch, error) {
	w, err := a.API.Watch(ctx, kind, after)
	if err != nil {
		return nil, err
	}
	c := &faultWatch{Watch: w, host: a.host, events: make(chan platform.Event), stopped: make(chan struct{})}
	go c.forward()
	return c, nil
}

// faultWatch forwards the events of a watch. It ends with an error when the host is
// cut off from the API. Once silenced, it stays open and delivers nothing any more.
type faultWatch struct {
	platform.Watch
	host    *host
	events  chan platform.Event
	stopped chan struct{}
	once    sync.Once

	mu     sync.Mutex
	broken bool
}

func (w *faultWatch) forward() {
	defer close(w.events)
	silent := false
	for {
		select {
		case <-w.stopped:
			return
		case e, ok := <-w.Watch.Events():
			f := w.host.faults()
			silent = silent || f.SilentWatches
			if ok && !f.Down && !silent {
				w.deliver(e)
				continue
			}
			if ok && silent && !f.Down {
				continue
			}
			w.mu.Lock()
			w.broken = ok
			w.mu.Unlock()
			return
		}
	}
}

func (w *faultWatch) deliver(e platform.Event) {
	select {
	case w.events <- e:
	case <-w.stopped:
	}
}

func (w *faultWatch) Events() <-chan platform.Event { return w.events }

func (w *faultWatch) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.broken {
		return &platform.UnavailableError{Op: "watch", Cause: errCutOff}
	}
	return w.Watch.Err()
}

func (w *faultWatch) Stop() {
	w.once.Do(func() { close(w.stopped) })
	w.Watch.Stop()
}
