// Package adminclient is a client of the admin interface, for operator tools.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/admin"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/platform"
	"buckthornseam.dev/seam/internal/quarantine"
	"buckthornseam.dev/seam/internal/stricthttp"
)

// callTimeout bounds a single call.
const callTimeout = 15 * time.Second

// Client calls the admin interface of a single host.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// New returns a client for the admin interface at an IP:port.
func New(address, token string) *Client {
	return &Client{base: "http://" + address + "/admin/v1", token: token, http: &http.Client{Transport: stricthttp.NewDefaultTransport(), Timeout: callTimeout}}
}

// ProblemError reports an error response of the host.
type ProblemError struct {
	Status  int
	Problem admin.Problem
}

func (e *ProblemError) Error() string {
	return fmt.Sprintf("%s: %s", e.Problem.Code, e.Problem.Message)
}

// CallError reports a call that got no valid response.
type CallError struct {
	Cause error
}

func (e *CallError) Error() string { return "no valid response from the host: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Put submits an instance that replaces the given version. Version 0 creates it.
func (c *Client) Put(ctx context.Context, name string, version platform.Version, inst config.Instance) (admin.Instance, error) {
	body, err := json.Marshal(inst)
	if err != nil {
		return admin.Instance{}, &CallError{Cause: err}
	}
	var out admin.Instance
	err = c.call(ctx, http.MethodPut, "/instances/"+url.PathEscape(name)+versionQuery(version), body, &out)
	return out, err
}

// Delete withdraws the given version of an instance. The outcome has the version of the
// withdrawal.
func (c *Client) Delete(ctx context.Context, name string, version platform.Version) (admin.Outcome, error) {
	var out admin.Outcome
	err := c.call(ctx, http.MethodDelete, "/instances/"+url.PathEscape(name)+versionQuery(version), nil, &out)
	return out, err
}

// maxProgressWait is the longest wait of one call for the progress of a change, well below
// callTimeout.
const maxProgressWait = 10 * time.Second

// Progress waits up to wait, in whole seconds, for a stored version to be in force on every
// host and returns its state. A longer wait takes several calls.
func (c *Client) Progress(ctx context.Context, name string, version platform.Version, wait time.Duration) (admin.Outcome, error) {
	for {
		part := min(wait, maxProgressWait)
		var out admin.Outcome
		path := fmt.Sprintf("/instances/%s/progress?version=%d&wait=%d", url.PathEscape(name), version, int(part.Seconds()))
		err := c.call(ctx, http.MethodGet, path, nil, &out)
		wait -= part
		if err != nil || out.State == admin.StateAccepted || wait < time.Second {
			return out, err
		}
	}
}

// Get returns the named instance.
func (c *Client) Get(ctx context.Context, name string) (admin.Instance, error) {
	var out admin.Instance
	err := c.call(ctx, http.MethodGet, "/instances/"+url.PathEscape(name), nil, &out)
	return out, err
}

// List returns all instances.
func (c *Client) List(ctx context.Context) ([]admin.Instance, error) {
	var out []admin.Instance
	err := c.call(ctx, http.MethodGet, "/instances", nil, &out)
	return out, err
}

// Status returns the status of the host.
func (c *Client) Status(ctx context.Context) (admin.Status, error) {
	var out admin.Status
	err := c.call(ctx, http.MethodGet, "/status", nil, &out)
	return out, err
}

// Models returns where models are placed and why: the named model, or all models
// that have a slot or are in demand if name is empty.
func (c *Client) Models(ctx context.Context, name string) ([]placement.Status, error) {
	var out []placement.Status
	err := c.call(ctx, http.MethodGet, "/models?name="+url.QueryEscape(name), nil, &out)
	return out, err
}

// Quarantined returns the requests in quarantine.
func (c *Client) Quarantined(ctx context.Context) ([]quarantine.Entry, error) {
	var out []quarantine.Entry
	err := c.call(ctx, http.MethodGet, "/quarantine", nil, &out)
	return out, err
}

// Release takes a request out of quarantine, so that it can run again.
func (c *Client) Release(ctx context.Context, team, fingerprint string) error {
	path := "/quarantine/" + url.PathEscape(team) + "/" + url.PathEscape(fingerprint)
	return c.call(ctx, http.MethodDelete, path, nil, nil)
}

func versionQuery(version platform.Version) string {
	if version == 0 {
		return ""
	}
	return "?version=" + strconv.FormatUint(uint64(version), 10)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &CallError{Cause: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if method != http.MethodGet {
		// The host recognises a repeated change by this id.
		req.Header.Set(admin.HeaderOperation, uuid.NewString())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &CallError{Cause: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return &CallError{Cause: err}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		p := &ProblemError{Status: resp.StatusCode}
		if err := json.Unmarshal(data, &p.Problem); err != nil {
			p.Problem = admin.Problem{Code: "unexpected", Message: resp.Status}
		}
		return p
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &CallError{Cause: err}
	}
	return nil
}
