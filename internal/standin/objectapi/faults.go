package objectapi

import (
	"context"
	"time"

	"buckthornseam.dev/seam/internal/platform"
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	Down          bool          // refuses every call
	Delay         time.Duration // added to every call before it takes effect
	LoseResponses bool          // writes take effect but return an unknown outcome
	SilentWatches bool          // open watches stay open and deliver nothing
}

// SetFaults replaces the faults that apply to all callers.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// faultError is the cause in errors of injected faults.
type faultError string

func (e faultError) Error() string { return string(e) }

const (
	errDown   = faultError("stand-in is down")
	errLost   = faultError("stand-in lost the response")
	errBroken = faultError("stand-in broke the watch")
)

// beforeCall counts a call and applies the faults that prevent or delay its effect.
func (s *Store) beforeCall(ctx context.Context, op string, kind platform.Kind, name string) error {
	s.mu.Lock()
	s.calls[op]++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
		}
	}
	if f.Down {
		return &platform.UnavailableError{Op: op, Cause: errDown}
	}
	if err := ctx.Err(); err != nil {
		return &platform.UnavailableError{Op: op, Cause: err}
	}
	return nil
}

// afterWrite applies the faults that follow the effect of a write.
func (s *Store) afterWrite(_ context.Context, kind platform.Kind, name, opID string) error {
	s.mu.Lock()
	lost := s.faults.LoseResponses
	s.mu.Unlock()
	if lost {
		return &platform.UnknownOutcomeError{Kind: kind, Name: name, OpID: opID, Cause: errLost}
	}
	return nil
}

// Client is the store as one caller sees it, with faults of its own in addition to
// those of the store.
type Client struct {
	store  *Store
	faults func() Faults
}

// Client returns a client with faults of its own. The function faults is called at
// each call of the client; nil means no faults.
func (s *Store) Client(faults func() Faults) *Client {
	if faults == nil {
		faults = func() Faults { return Faults{} }
	}
	return &Client{store: s, faults: faults}
}

func (c *Client) beforeCall(ctx context.Context, op string) error {
	f := c.faults()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
		}
	}
	if f.Down {
		return &platform.UnavailableError{Op: op, Cause: errDown}
	}
	return nil
}

// Get implements platform.API.
func (c *Client) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := c.beforeCall(ctx, "get"); err != nil {
		return platform.Object{}, err
	}
	return c.store.Get(ctx, kind, name)
}

// List implements platform.API.
func (c *Client) List(ctx context.Context, kind platform.Kind) (platform.List, error) {
	if err := c.beforeCall(ctx, "list"); err != nil {
		return platform.List{}, err
	}
	return c.store.List(ctx, kind)
}

// Put implements platform.API.
func (c *Client) Put(ctx context.Context, obj platform.Object) (platform.Object, error) {
	if err := c.beforeCall(ctx, "put"); err != nil {
		return platform.Object{}, err
	}
	stored, err := c.store.Put(ctx, obj)
	if err == nil && c.faults().LoseResponses {
		return platform.Object{}, &platform.UnknownOutcomeError{Kind: obj.Kind, Name: obj.Name, OpID: stored.OpID, Cause: errLost}
	}
	return stored, err
}

// Delete implements platform.API.
func (c *Client) Delete(ctx context.Context, kind platform.Kind, name string, version platform.Version) error {
	if err := c.beforeCall(ctx, "delete"); err != nil {
		return err
	}
	err := c.store.Delete(ctx, kind, name, version)
	if err == nil && c.faults().LoseResponses {
		return &platform.UnknownOutcomeError{Kind: kind, Name: name, Cause: errLost}
	}
	return err
}

// Watch implements platform.API. A watch opened while the client has the fault
// SilentWatches never delivers anything.
func (c *Client) Watch(ctx context.Context, kind platform.Kind, after platform.Version) (platform.Watch, error) {
	if err := c.beforeCall(ctx, "watch"); err != nil {
		return nil, err
	}
	w, err := c.store.Watch(ctx, kind, after)
	if err != nil || !c.faults().SilentWatches {
		return w, err
	}
	return &silentWatch{Watch: w}, nil
}

// silentWatch is a watch that never delivers anything.
type silentWatch struct{ platform.Watch }

func (w *silentWatch) Events() <-chan platform.Event { return nil }

// Interface checks.
var (
	_ platform.API = (*Store)(nil)
	_ platform.API = (*Client)(nil)
)
