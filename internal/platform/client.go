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
	"sync/atomic"
	"time"

	"github.com/google/uuid"
)

// Timeouts of the client.
const (
	dialTimeout  = time.Second
	callTimeout  = 10 * time.Second // the API may be as slow as 5 s a call
	watchSilence = 3 * time.Second  // bookmarks come every second
)

// Client reaches the object API over HTTP.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the API at base, for example
// "http://127.0.0.1:8001".
func NewClient(base string) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: 8,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{base: base + BasePath, http: &http.Client{Transport: transport}}
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
	resp, err := c.send(ctx, method, kind, name, query, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, 64*MaxObjectBytes))
	if err != nil {
		return &lostError{cause: err}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return errorOf(resp.StatusCode, data, method, kind, name)
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(data, into); err != nil {
		return &lostError{cause: err}
	}
	return nil
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
	if isDialError(err) || method == http.MethodGet {
		return nil, &UnavailableError{Op: method, Cause: err}
	}
	return nil, &lostError{cause: err}
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

func errorOf(code int, data []byte, method string, kind Kind, name string) error {
	var status WireStatus
	if err := json.Unmarshal(data, &status); err != nil {
		return &UnavailableError{Op: method, Cause: &statusError{Code: code}}
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
	return &UnavailableError{Op: method, Cause: &statusError{Code: code}}
}

// clientWatch reads a watch stream.
type clientWatch struct {
	events chan Event
	cancel context.CancelFunc
	err    atomic.Pointer[error]
}

// Watch implements API.
func (c *Client) Watch(ctx context.Context, kind Kind, after Version) (Watch, error) {
	ctx, cancel := context.WithCancel(ctx)
	query := url.Values{"watch": {"true"}, "resourceVersion": {strconv.FormatUint(uint64(after), 10)}}
	timer := time.AfterFunc(callTimeout, cancel)
	resp, err := c.send(ctx, http.MethodGet, kind, "", query, nil)
	timer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer resp.Body.Close()
		data, _ := io.ReadAll(io.LimitReader(resp.Body, MaxObjectBytes))
		return nil, errorOf(resp.StatusCode, data, "watch", kind, "")
	}
	w := &clientWatch{events: make(chan Event, 64), cancel: cancel}
	go w.read(ctx, kind, resp.Body)
	return w, nil
}

// read decodes events until the stream ends, the watch is stopped or nothing,
// not even a bookmark, has come for watchSilence.
func (w *clientWatch) read(ctx context.Context, kind Kind, body io.ReadCloser) {
	defer close(w.events)
	defer body.Close()
	silence := time.AfterFunc(watchSilence, w.cancel)
	defer silence.Stop()
	dec := json.NewDecoder(body)
	for {
		var wire WireEvent
		if err := dec.Decode(&wire); err != nil {
			var cause error = &UnavailableError{Op: "watch", Cause: err}
			w.err.Store(&cause)
			return
		}
		silence.Reset(watchSilence)
		select {
		case w.events <- Event{Type: wire.Type, Object: wire.Object.Object(kind)}:
		case <-ctx.Done():
			return
		}
	}
}

func (w *clientWatch) Events() <-chan Event { return w.events }

func (w *clientWatch) Err() error {
	if p := w.err.Load(); p != nil {
		return *p
	}
	return nil
}

func (w *clientWatch) Stop() { w.cancel() }

var _ API = (*Client)(nil)
