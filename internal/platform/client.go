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
)

// Timeouts of the client.
const (
	dialTimeout  = time.Second
	callTimeout  = 10 * time.Second        // the API may be as slow as 5 s a call
	watchSilence = 2500 * time.Millisecond // bookmarks come every second
)

// maxAnswerBytes bounds an answer: the list of 82,000 instances has 30 MB.
const maxAnswerBytes = 64 * MaxObjectBytes

// Client reaches the object API over HTTP. It counts every call and keeps this
// host's calls below a budget.
type Client struct {
	base    string
	http    *http.Client
	budget  *budget
	silence time.Duration // after which a watch is ended
}

// Option changes a client.
type Option func(*Client)

// WithMetrics counts calls by operation and kind in a scope.
func WithMetrics(scope tally.Scope) Option {
	return func(c *Client) { c.budget.scope = scope.SubScope("object_api") }
}

// WithBudget sets the calls that this host may make, in calls a second.
func WithBudget(reads, writes float64) Option {
	return func(c *Client) {
		c.budget.reads.SetLimit(rate.Limit(reads))
		c.budget.writes.SetLimit(rate.Limit(writes))
	}
}

// NewClient returns a client of the API at base, for example
// "http://127.0.0.1:8001".
func NewClient(base string, options ...Option) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
	c := &Client{
		base:    base + BasePath,
		http:    &http.Client{Transport: transport},
		budget:  newBudget(),
		silence: watchSilence,
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// statusError is an answer outside the protocol.
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

// write performs a call that has an effect; a failure without an answer
// leaves the outcome unknown.
func (c *Client) write(ctx context.Context, method string, obj Object, path string, query url.Values, body []byte, into any) error {
	err := c.call(ctx, method, obj.Kind, path, query, body, into)
	switch e := err.(type) {
	case *lostError:
		return &UnknownOutcomeError{Kind: obj.Kind, Name: obj.Name, OpID: obj.OpID, Cause: e.cause}
	case *ConflictError:
		e.Name = obj.Name
		e.Expected = obj.Version
	case *NotFoundError:
		e.Name = obj.Name
	}
	return err
}

// lostError reports a call that was sent and not answered.
type lostError struct {
	cause error
}

func (e *lostError) Error() string { return "no answer: " + e.cause.Error() }

func (c *Client) call(ctx context.Context, method string, kind Kind, name string, query url.Values, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	done, err := c.budget.enter(ctx, operation(method, name), kind)
	if err != nil {
		return err
	}
	err = c.roundTrip(ctx, method, kind, name, query, body, into)
	done(err)
	if ctx.Err() != nil {
		// The connections that are idle now may be as silent as the one that
		// did not answer; the next call makes a fresh one.
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return noAnswer(method, err)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errorOf(resp.StatusCode, data, method, kind, name)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return noAnswer(method, err)
	}
	return nil
}

// noAnswer classifies a call whose answer did not come whole: a read had no
// effect, a write may have.
func noAnswer(method string, cause error) error {
	if method == http.MethodGet {
		return &UnavailableError{Op: method, Cause: cause}
	}
	return &lostError{cause: cause}
}

func (c *Client) send(ctx context.Context, method string, kind Kind, name string, query url.Values, body []byte) (*http.Response, error) {
	address := c.base + "/" + string(kind)
	if name != "" {
		address += "/" + url.PathEscape(name)
	}
	if len(query) > 0 {
		address += "?" + query.Encode()
	}
	// A body without GetBody is never sent a second time by the transport.
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
	return nil, noAnswer(method, err)
}

// isDialError reports whether no connection could be made.
func isDialError(err error) bool {
	u, ok := err.(*url.Error)
	if !ok {
		return false
	}
	op, ok := u.Err.(*net.OpError)
	return ok && op.Op == "dial"
}

// errorOf returns the error of a failed answer. Only the API itself, by a status
// document, says that a write had no effect; an answer of something in between
// does not.
func errorOf(code int, data []byte, method string, kind Kind, name string) error {
	var status WireStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return noAnswer(method, &statusError{Code: code})
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
	return noAnswer(method, &statusError{Code: code})
}

var _ API = (*Client)(nil)
