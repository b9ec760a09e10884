package target

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Paths of an engine's control interface.
const (
	PathOrders = "/control/orders"
	PathReport = "/control/report"
	PathCache  = "/control/cache-events"
)

// HeaderRequestID carries the id of an attempt; targets echo it.
const HeaderRequestID = "X-Request-Id"

// HeaderResumeFrom asks an engine to leave out the tokens already delivered.
const HeaderResumeFrom = "X-Resume-From-Token"

// HeaderPriority carries the priority of a request.
const HeaderPriority = "X-Priority"

const (
	dialTimeout    = time.Second
	controlTimeout = 3 * time.Second
)

// Client reaches targets over HTTP. It implements Sender and Controller.
type Client struct {
	http *http.Client
}

// NewClient returns a client that follows no redirects, uses no proxy and
// sends no request a second time.
func NewClient() *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{http: &http.Client{Transport: transport, CheckRedirect: noRedirect}}
}

// Send implements Sender.
func (c *Client) Send(ctx context.Context, address string, r Request) (*Response, error) {
	// The body has no GetBody, so the transport cannot send it again.
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	req.ContentLength = int64(len(r.Body))
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set(HeaderRequestID, r.ID)
	if r.Priority != 0 {
		req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, classify(address, err)
	}
	if got := resp.Header.Get(HeaderRequestID); got != "" && got != r.ID {
		resp.Body.Close()
		return nil, &UnknownOutcomeError{Address: address, Cause: &CrossedAnswerError{Want: r.ID, Got: got}}
	}
	return &Response{Status: resp.StatusCode, Header: flatten(resp.Header), Body: resp.Body}, nil
}

// CrossedAnswerError reports an answer to another request.
type CrossedAnswerError struct {
	Want string // id of the request sent
	Got  string // id that the answer carries
}

func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("answer carries id %s instead of %s", e.Got, e.Want)
}

func classify(address string, err error) error {
	var u *url.Error
	var op *net.OpError
	if errors.As(err, &u) && errors.As(u.Err, &op) && op.Op == "dial" {
		return &UnreachableError{Address: address, Cause: err}
	}
	return &UnknownOutcomeError{Address: address, Cause: err}
}

func flatten(h http.Header) map[string]string {
	out := make(map[string]string, len(h))
	for k := range h {
		out[k] = h.Get(k)
	}
	return out
}

// Problem is the JSON document with which an engine refuses an order.
type Problem struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	MaxFence uint64 `json:"max_fence,omitempty"`
}

// CodeFenced is the Problem code for an old fencing number.
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
	resp, err := c.Send(ctx, address, Request{ID: o.Decision, Method: http.MethodPost, Path: PathOrders, Header: header, Body: body})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.Status < http.StatusBadRequest {
		return nil
	}
	var p Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		return &UnknownOutcomeError{Address: address, Cause: err}
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
	err := c.get(ctx, address, PathCache+"?after="+strconv.FormatUint(after, 10), &events)
	return events, err
}

func (c *Client) get(ctx context.Context, address, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	resp, err := c.Send(ctx, address, Request{ID: path, Method: http.MethodGet, Path: path})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.Status != http.StatusOK {
		return &RejectedError{Address: address, Code: strconv.Itoa(resp.Status), Reason: path}
	}
	if err := json.NewDecoder(resp.Body).Decode(into); err != nil {
		return &UnknownOutcomeError{Address: address, Cause: err}
	}
	return nil
}

// Interface checks.
var (
	_ Sender     = (*Client)(nil)
	_ Controller = (*Client)(nil)
)
