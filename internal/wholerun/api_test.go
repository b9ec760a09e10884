package wholerun

import (
	"context"
	"sync"

	"buckthornseam.dev/seam/internal/platform"
)

// faultAPI is the object API as one host sees it. Unlike objectapi.View it also
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

func (c *faultWatch) forward() {
	defer close(c.events)
	silent := false
	for {
		select {
		case <-c.stopped:
			return
		case e, ok := <-c.Watch.Events():
			f := c.host.faults()
			silent = silent || f.SilentWatches
			if ok && !f.Down && !silent {
				c.deliver(e)
				continue
			}
			if ok && silent && !f.Down {
				continue
			}
			c.mu.Lock()
			c.broken = ok
			c.mu.Unlock()
			return
		}
	}
}

func (c *faultWatch) deliver(e platform.Event) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

func (c *faultWatch) Events() <-chan platform.Event { return c.events }

func (c *faultWatch) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return &platform.UnavailableError{Op: "watch", Cause: errCutOff}
	}
	return c.Watch.Err()
}

func (c *faultWatch) Stop() {
	c.once.Do(func() { close(c.stopped) })
	c.Watch.Stop()
}
