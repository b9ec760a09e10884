package objectapi

import (
	"context"
	"sync"

	"buckthornseam.dev/seam/internal/platform"
)

type watch struct {
	store  *Store
	kind   platform.Kind
	events chan platform.Event

	mu      sync.Mutex
	err     error
	stopped bool
}

// Watch implements platform.API.
func (s *Store) Watch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Watch, error) {
	if err := s.beforeCall(ctx, "watch", kind, ""); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.expiredVersion {
		return nil, &platform.ExpiredError{Kind: kind, After: after}
	}
	w := &watch{store: s, kind: kind, events: make(chan platform.Event, watchBuffer)}
	for _, c := range s.history {
		if c.event.Object.Version > after {
			w.deliver(c.event)
		}
	}
	s.watches[w] = struct{}{}
	return w, nil
}

// deliver delivers an event without blocking. A watch whose buffer is full ends as
// expired. With the fault SilentWatches the event is dropped.
func (w *watch) deliver(e platform.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.store.faults.SilentWatches {
		return
	}
	if e.Type != platform.EventBookmark && e.Object.Kind != w.kind {
		return
	}
	select {
	case w.events <- e:
	default:
		w.end(&platform.ExpiredError{Kind: w.kind, After: e.Object.Version})
	}
}

// end closes the event channel; the caller holds w.mu.
func (w *watch) end(err error) {
	if w.stopped {
		return
	}
	w.stopped = true
	w.err = err
	close(w.events)
}

func (w *watch) Events() <-chan platform.Event { return w.events }

func (w *watch) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

func (w *watch) Stop() {
	w.store.mu.Lock()
	delete(w.store.watches, w)
	w.store.mu.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end(nil)
}

// Bookmark sends the current version to all watches, as the platform does
// every second.
func (s *Store) Bookmark() {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := platform.Event{Type: platform.EventBookmark, Object: platform.Object{Version: s.version}}
	for w := range s.watches {
		w.deliver(e)
	}
}

// BreakWatches ends all open watches with an error, as a restart of the API does.
func (s *Store) BreakWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for w := range s.watches {
		w.mu.Lock()
		w.end(&platform.UnavailableError{Op: "watch", Cause: errBroken})
		w.mu.Unlock()
		delete(s.watches, w)
	}
}
