package wholerun

import (
	"context"
	"sync"

	"buckthornseam.dev/seam/internal/platform"
)

// cutAPI is the object API as one host sees it. In addition to the faults of
// objectapi.View it lets faults reach watches that are open already.
type cutAPI struct {
	platform.API
	host *host
}

const errCutOff = netError("host is cut off from the object API")

// Watch implements platform.API.
func (a cutAPI) Watch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Watch, error) {
	w, err := a.API.Watch(ctx, kind, after)
	if err != nil {
		return nil, err
	}
	c := &cutWatch{Watch: w, host: a.host, events: make(chan platform.Event), stopped: make(chan struct{})}
	go c.forward()
	return c, nil
}

// cutWatch passes events on until the host is cut off, when it breaks, or the
// watch is silenced, when it stays open and delivers nothing any more.
type cutWatch struct {
	platform.Watch
	host    *host
	events  chan platform.Event
	stopped chan struct{}
	once    sync.Once

	mu     sync.Mutex
	broken bool
}

func (c *cutWatch) forward() {
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
				c.pass(e)
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

func (c *cutWatch) pass(e platform.Event) {
	select {
	case c.events <- e:
	case <-c.stopped:
	}
}

func (c *cutWatch) Events() <-chan platform.Event { return c.events }

func (c *cutWatch) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return &platform.UnavailableError{Op: "watch", Cause: errCutOff}
	}
	return c.Watch.Err()
}

func (c *cutWatch) Stop() {
	c.once.Do(func() { close(c.stopped) })
	c.Watch.Stop()
}
