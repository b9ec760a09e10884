package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Paths of an engine's control API.
const (
	PathOrders      = "/control/orders"
	PathReport      = "/control/report"
	PathCacheEvents = "/control/cache-events"
)

// controlTimeout limits one request to an engine's control API.
const controlTimeout = 3 * time.Second

// maxControlBytes limits the body of a response to a request to the control API. It is that of a plain response of a service.
const maxControlBytes = 4 << 20

// Problem is the JSON document with which an engine refuses an order.
type Problem struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	MaxFence uint64 `json:"max_fence,omitempty"`
}

// CodeFenced is the Problem code for an outdated fencing token.
const CodeFenced = "fenced"

// Order implements Controller.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return &RejectedError{Address: address, Code: "encoding", Reason: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	header := map[string]string{"Content-Type": "application/json"}
	resp, err := c.Send(ctx, address, Request{ID: o.Decision, Method: http.MethodPost, Path: PathOrders, Header: header, Body: body, control: true})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.Status < http.StatusBadRequest {
		return nil
	}
	var p Problem
	if err := decodeControl(address, resp.Body, &p); err != nil {
		return err
	}
	if p.Code == CodeFenced {
		return &FencedError{Address: address, Fence: o.Fence, Max: p.MaxFence}
	}
	return &RejectedError{Address: address, Code: p.Code, Reason: p.Message}
}

// Report implements Controller.
func (c *Client) Report(ctx context.Context, address string) (Report, error) {
	var r Report
	err := c.get(ctx, address, PathReport, &r)
	return r, err
}

// CacheEvents implements Controller.
func (c *Client) CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error) {
	var events []CacheEvent
	err := c.get(ctx, address, PathCacheEvents+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := c.Send(ctx, address, Request{ID: path, Method: http.MethodGet, Path: path, control: true})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.Status != http.StatusOK {
		return &RejectedError{Address: address, Code: strconv.Itoa(resp.Status), Reason: path}
	}
	return decodeControl(address, resp.Body, into)
}

// OversizedControlError reports a response to a request to the control API that may have no end.
type OversizedControlError struct {
	Limit int64 // in bytes
}

func (e *OversizedControlError) Error() string {
	return fmt.Sprintf("response of the control API has more than %d bytes", e.Limit)
}

// decodeControl decodes the JSON value at the beginning of a body. It fails with *UnknownOutcomeError.
func decodeControl(address string, body io.Reader, into any) error {
	limited := &io.LimitedReader{R: body, N: maxControlBytes}
	err := json.NewDecoder(limited).Decode(into)
	if err != nil && limited.N <= 0 {
		err = &OversizedControlError{Limit: maxControlBytes}
	}
	if err != nil {
		return &UnknownOutcomeError{Address: address, Cause: err}
	}
	return nil
}
