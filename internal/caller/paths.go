package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"buckthornseam.dev/seam/internal/entry"
)

// sendChecked gives a host up that answers neither the request nor a check
// over a fresh connection.
func (c *Client) sendChecked(req *http.Request, address string) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	doubt := time.AfterFunc(doubtAfter, func() { c.checkUntil(ctx, cancel, address) })
	resp, err := c.http.Do(req.WithContext(ctx))
	doubt.Stop()
	if cause, ok := context.Cause(ctx).(*SilentError); ok && err != nil {
		cancel(nil)
		return nil, cause
	}
	if err != nil {
		cancel(nil)
		return nil, err
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: func() { cancel(nil) }}
	return resp, nil
}

// checkUntil checks the host until the request ends.
func (c *Client) checkUntil(ctx context.Context, cancel context.CancelCauseFunc, address string) {
	for ctx.Err() == nil {
		if !c.check(ctx, address) && ctx.Err() == nil {
			cancel(&SilentError{Address: address})
			return
		}
		select {
		case <-time.After(doubtAfter):
		case <-ctx.Done():
		}
	}
}

// check asks a host for addresses over a fresh connection.
func (c *Client) check(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	_, err := ask(ctx, fresh, address, c.opts.Zone)
	return err == nil
}

// cancelBody ends the request's context with its body.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// KeepStandbyOpen uses the second path now and then, so that its connection stays
// open and a dead one is found. It returns when ctx ends. Other modes need not
// run it.
func (c *Client) KeepStandbyOpen(ctx context.Context) {
	tick := time.NewTicker(standbyCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if second := c.second(); second != "" && !c.useStandby(ctx, second) {
			c.drop(second)
		}
	}
}

func (c *Client) second() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hosts) < 2 {
		return ""
	}
	return c.hosts[1].Address
}

func (c *Client) useStandby(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := ask(ctx, c.http, address, c.opts.Zone)
	return err == nil
}

// drop moves a silent second host to the end.
func (c *Client) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hosts) > 2 && c.hosts[1].Address == address {
		h := c.hosts[1]
		c.hosts = append(append([]entry.Host{c.hosts[0]}, c.hosts[2:]...), h)
	}
}
