package callerclient

import (
	"context"
	"io"
	"net/http"
	"time"

	"buckthornseam.dev/seam/internal/entry"
	"buckthornseam.dev/seam/internal/stricthttp"
)

// sendChecked sends a request. If no response headers arrive within checkAfter, it checks
// the host over new connections until the response body is closed, and cancels the request
// if a check fails.
func (c *Client) sendChecked(req *http.Request, address string) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	timer := time.AfterFunc(checkAfter, func() { c.checkUntil(ctx, cancel, address) })
	resp, err := c.http.Do(req.WithContext(ctx))
	timer.Stop()
	if cause, ok := context.Cause(ctx).(*UnresponsiveError); ok && err != nil {
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

// checkUntil checks the host at intervals of checkAfter until ctx ends. It cancels the
// request if a check fails.
func (c *Client) checkUntil(ctx context.Context, cancel context.CancelCauseFunc, address string) {
	for ctx.Err() == nil {
		if !c.check(ctx, address) && ctx.Err() == nil {
			cancel(&UnresponsiveError{Address: address})
			return
		}
		select {
		case <-time.After(checkAfter):
		case <-ctx.Done():
		}
	}
}

// check reports whether a host responds to an address query over a new connection.
func (c *Client) check(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	fresh := &http.Client{Transport: stricthttp.NewTransport(&http.Transport{DisableKeepAlives: true})}
	_, err := queryHosts(ctx, fresh, address, c.opts.Zone)
	return err == nil
}

// cancelBody cancels the request's context when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel func()
}

func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// KeepStandbyOpen sends address queries to the second host at intervals, which keeps
// its connection open and detects a broken one. It returns when ctx ends. Only
// ModeTwo needs it.
func (c *Client) KeepStandbyOpen(ctx context.Context) {
	tick := time.NewTicker(standbyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if second := c.standby(); second != "" && !c.pingStandby(ctx, second) {
			c.demoteStandby(second)
		}
	}
}

func (c *Client) standby() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hosts) < 2 {
		return ""
	}
	return c.hosts[1].Address
}

func (c *Client) pingStandby(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	_, err := queryHosts(ctx, c.http, address, c.opts.Zone)
	return err == nil
}

// demoteStandby moves an unresponsive second host to the end of the list.
func (c *Client) demoteStandby(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.hosts) > 2 && c.hosts[1].Address == address {
		h := c.hosts[1]
		c.hosts = append(append([]entry.Host{c.hosts[0]}, c.hosts[2:]...), h)
	}
}
