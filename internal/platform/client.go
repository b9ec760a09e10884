package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"buckthornseam.dev/seam/internal/stricthttp"
)

// Timeouts of the client.
const (
	dialTimeout      = time.Second
	callTimeout      = 10 * time.Second        // the API may take up to 5 s a call
	watchIdleTimeout = 2500 * time.Millisecond // bookmarks arrive every second
)

// maxResponseBytes bounds the size of a response. A list of 82,000 instances takes 30 MB.
const maxResponseBytes = 64 * MaxObjectBytes

// Client calls the object API over HTTP. It counts all calls and limits their rate.
type Client struct {
	base             string
	http             *http.Client
	limiter          *callLimiter
	watchIdleTimeout time.Duration // a watch that delivers nothing for this long is ended
}

// Option configures a client.
type Option func(*Client)

// WithMetrics counts calls in a scope, by operation and kind.
func WithMetrics(scope tally.Scope) Option {
	return func(c *Client) { c.limiter.scope = scope.SubScope("object_api") }
}

// WithRateLimits sets how many reads and writes per second this host may make.
func WithRateLimits(reads, writes float64) Option {
	return func(c *Client) {
		c.limiter.reads.SetLimit(rate.Limit(reads))
		c.limiter.writes.SetLimit(rate.Limit(writes))
	}
}

// NewClient returns a client of the API at the URL base, for example
// "http://127.0.0.1:8001".
func NewClient(base string, options ...Option) *Client {
	transport := stricthttp.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	})
	c := &Client{
		base:             base + BasePath,
		http:             &http.Client{Transport: transport},
		limiter:          newCallLimiter(),
		watchIdleTimeout: watchIdleTimeout,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// statusError is the HTTP status of a response that the client has no more specific
// error for.
type statusError struct {
	Code int
}

func (e *statusError) Error() string { return fmt.Sprintf("HTTP status %d", e.Code) }

// Get implements API.
func (c *Client) Get(ctx context.Context, kind Kind, name string) (Object, error) {
	var wire WireObject
	err := c.call(ctx, http.MethodGet, kind, name, nil, nil, &wire)
	if err != nil {
		return Object{}, err
	}
	return wire.Object(kind), nil
}

// List implements API.
func (c *Client) List(ctx context.Context, kind Kind) (List, error) {
	var wire WireList
	err := c.call(ctx, http.MethodGet, kind, "", nil, nil, &wire)
	if err != nil {
		return List{}, err
	}
	list := List{Version: wire.Metadata.ResourceVersion}
	for _, item := range wire.Items {
		list.Items = append(list.Items, item.Object(kind))
	}
	return list, nil
}

// Put implements API.
func (c *Client) Put(ctx context.Context, obj Object) (Object, error) {
	if len(obj.Data) > MaxObjectBytes {
		return Object{}, &InvalidError{Kind: obj.Kind, Name: obj.Name, Reason: "value too large"}
	}
	if obj.OpID == "" {
		obj.OpID = uuid.NewString()
	}
	body, err := json.Marshal(ToWire(obj))
	if err != nil {
		return Object{}, &InvalidError{Kind: obj.Kind, Name: obj.Name, Reason: "value is not JSON"}
	}
	method, path := http.MethodPut, obj.Name
	if obj.Version == 0 {
		method, path = http.MethodPost, ""
	}
	var wire WireObject
	err = c.write(ctx, method, obj, path, nil, body, &wire)
	if err != nil {
		return Object{}, err
	}
	return wire.Object(obj.Kind), nil
}

// Delete implements API.
func (c *Client) Delete(ctx context.Context, kind Kind, name string, version Version) error {
	query := url.Values{"resourceVersion": {strconv.FormatUint(uint64(version), 10)}}
	obj := Object{Kind: kind, Name: name, Version: version}
	return c.write(ctx, http.MethodDelete, obj, name, query, nil, nil)
}

// write performs a call that changes an object. If there is no response, the outcome is
// unknown.
func (c *Client) write(ctx context.Context, method string, obj Object, path string, query url.Values, body []byte, into any) error {
	err := c.call(ctx, method, obj.Kind, path, query, body, into)
	switch e := err.(type) {
	case *noResponseError:
		return &UnknownOutcomeError{Kind: obj.Kind, Name: obj.Name, OpID: obj.OpID, Cause: e.cause}
	case *ConflictError:
		e.Name = obj.Name
		e.Expected = obj.Version
	case *NotFoundError:
		e.Name = obj.Name
	}
	return err
}

// noResponseError reports a write that was sent and got no complete response.
type noResponseError struct {
	cause error
}

func (e *noResponseError) Error() string { return "no response: " + e.cause.Error() }

func (c *Client) call(ctx context.Context, method string, kind Kind, name string, query url.Values, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done, err := c.limiter.begin(ctx, operationOf(method, name), kind)
	if err != nil {
		return err
	}
	err = c.roundTrip(ctx, method, kind, name, query, body, into)
	done(err)
	if ctx.Err() != nil {
		// The idle connections may be as dead as the one that got no response,
		// so the next call opens a new one.
		c.http.CloseIdleConnections()
	}
	return err
}

func (c *Client) roundTrip(ctx context.Context, method string, kind Kind, name string, query url.Values, body []byte, into any) error {
	resp, err := c.send(ctx, method, kind, name, query, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return noResponse(method, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp.StatusCode, data, method, kind, name)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return noResponse(method, err)
	}
	return nil
}

// noResponse returns the error of a call without a complete response: a read had no
// effect, a write may have had one.
func noResponse(method string, cause error) error {
	if method == http.MethodGet {
		return &UnavailableError{Op: method, Cause: cause}
	}
	return &noResponseError{cause: cause}
}

func (c *Client) send(ctx context.Context, method string, kind Kind, name string, query url.Values, body []byte) (*http.Response, error) {
	address := c.base + "/" + string(kind)
	if name != "" {
		address += "/" + url.PathEscape(name)
	}
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	// Without GetBody, the transport never sends the body a second time.
	req, err := http.NewRequestWithContext(ctx, method, address, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, &UnavailableError{Op: method, Cause: err}
	}
	req.ContentLength = int64(len(body))
	if len(body) == 0 {
		req.Body = http.NoBody
	}
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	if isDialError(err) {
		return nil, &UnavailableError{Op: method, Cause: err}
	}
	return nil, noResponse(method, err)
}

// isDialError reports whether the connection could not be opened.
func isDialError(err error) bool {
	u, ok := err.(*url.Error)
	if !ok {
		return false
	}
	op, ok := u.Err.(*net.OpError)
	return ok && op.Op == "dial"
}

// responseError returns the error of a failed response. Only a status document from the
// API itself proves that a write had no effect; a response from a gateway in between
// does not.
func responseError(code int, data []byte, method string, kind Kind, name string) error {
	var status WireStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return noResponse(method, &statusError{Code: code})
	}
	switch status.Reason {
	case ReasonConflict:
		return &ConflictError{Kind: kind, Name: name, Expected: status.Expected, Found: status.Found}
	case ReasonNotFound:
		return &NotFoundError{Kind: kind, Name: name}
	case ReasonExpired:
		return &ExpiredError{Kind: kind}
	case ReasonInvalid:
		return &InvalidError{Kind: kind, Name: name, Reason: status.Message}
	}
	if code == http.StatusServiceUnavailable || code == http.StatusTooManyRequests {
		return &UnavailableError{Op: method, Cause: &statusError{Code: code}}
	}
	return noResponse(method, &statusError{Code: code})
}

var _ API = (*Client)(nil)
