package target

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"time"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/stricthttp"
)

// HeaderRequestID is the header with the ID of an attempt. Targets echo it.
const HeaderRequestID = "X-Request-Id"

// HeaderResumeFrom is the header with the number of tokens already delivered, which the
// engine skips.
const HeaderResumeFrom = "X-Resume-From-Token"

// HeaderPriority is the header with the priority of a request.
const HeaderPriority = "X-Priority"

// allowedHeaders are the headers of Request.Header that are sent. All others are
// dropped.
var allowedHeaders = map[string]bool{
	"Accept": true, "Accept-Language": true, "Content-Type": true, "Content-Language": true,
	"If-Match": true, "If-None-Match": true, HeaderResumeFrom: true,
}

// credentialHeaders must never be set in Request.Header.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}

const (
	userAgent              = "buckthornseam"
	maxIdlePerTarget       = 256
	idleConnTimeout        = 30 * time.Second
	maxResponseHeaderBytes = 64 << 10
	responseBufferBytes    = 4 << 10
)

// Client sends requests to targets over HTTP. It implements Sender and Controller.
// It uses no proxy, follows no redirects, stores no cookies and never retries.
type Client struct {
	pooled     *stricthttp.Transport // reuses connections
	control    *stricthttp.Transport // like pooled, for the control API, whose responses name no request
	fresh      *stricthttp.Transport // one connection for each request
	forwarding *stricthttp.Transport // like fresh, but with the shorter dial timeout of Forward
}

// NewClient returns a client that connects over TCP.
func NewClient() *Client { return NewClientWithDialer(dialer.DialContext) }

// NewClientWithDialer returns a client that connects with dial. These connections must
// detect lost network paths themselves, as those of NewClient do.
func NewClientWithDialer(dial DialFunc) *Client {
	return &Client{pooled: newTransport(dial, false), control: newTransport(dial, false), fresh: newTransport(dial, true), forwarding: newTransport(dial.withTimeout(forwardDialTimeout), true)}
}

// NewCallTransport returns a transport that opens a connection for each call and limits the heads of responses.
func NewCallTransport() *stricthttp.Transport { return newTransport(DialContext, true) }

func newTransport(dial DialFunc, fresh bool) *stricthttp.Transport {
	dialContext := dial.dialCounted
	if fresh {
		dialContext = dial.dialOnce
	}
	return stricthttp.NewTransport(&http.Transport{
		DialContext:            dialContext,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
		ReadBufferSize:         responseBufferBytes,
	})
}

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.control.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	c.forwarding.CloseIdleConnections()
}

// InvalidRequestError reports a request that cannot be sent.
type InvalidRequestError struct {
	Field string
	Cause error
}

func (e *InvalidRequestError) Error() string { return "request has an invalid " + e.Field }

// Unwrap returns the cause.
func (e *InvalidRequestError) Unwrap() error { return e.Cause }

// Send implements Sender.
func (c *Client) Send(ctx context.Context, address string, r Request) (*Response, error) {
	e := &exchange{address: address, id: r.ID, idleTimeout: r.IdleTimeout}
	ctx, e.cancel = context.WithCancelCause(ctx)
	req, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn, PutIdleConn: e.putIdle}), address, r)
	if err != nil {
		e.cancel(nil)
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	transport := c.pooled
	switch {
	case r.Fresh:
		transport = c.fresh
	case r.control:
		transport = c.control
	}
	if r.HeaderTimeout > 0 {
		timer := time.AfterFunc(r.HeaderTimeout, func() { e.cancel(&IdleTimeoutError{After: r.HeaderTimeout}) })
		defer timer.Stop()
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, e.classifyFailure(ctx, err)
	}
	return e.checkResponse(ctx, resp)
}

// newRequest builds the HTTP request for r. http.Transport may retry a request by
// itself if the body is empty or can be read again and the method or an idempotency
// header allows it. To prevent this, the request always has a body that can be read
// only once, and no such header.
func newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return nil, &InvalidRequestError{Field: "path"}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, nil)
	if err != nil {
		return nil, &InvalidRequestError{Field: "method or path"} // the cause is left out because it would quote the path
	}
	req.Body = io.NopCloser(bytes.NewReader(r.Body))
	req.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 && !usuallyWithoutBody(r.Method) {
		// Requests with these methods are not retried by the transport, and
		// this sends a Content-Length of 0.
		req.Body = http.NoBody
	}
	for name, value := range r.Header {
		if allowedHeaders[http.CanonicalHeaderKey(name)] {
			req.Header.Set(name, value)
		}
	}
	for _, name := range credentialHeaders {
		_, leaked := r.Header[name]
		invariant.Check(!leaked, invariant.KeyHidden, "header %s would have been sent to target %s", name, address)
	}
	req.Header.Set("User-Agent", userAgent)
	req.Header.Set(HeaderRequestID, r.ID)
	if r.Priority != 0 {
		req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	}
	return req, nil
}

// usuallyWithoutBody reports whether requests with this method usually have no body,
// so that no Content-Length is sent for an empty one.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	}
	return false
}

// MismatchedResponseError reports a response that carries the ID of another request.
type MismatchedResponseError struct {
	Want string // ID of the request
	Got  string // ID in the response
}

func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("response has request ID %s instead of %s", e.Got, e.Want)
}

// IdleTimeoutError reports a connection on which no data arrived within a timeout.
type IdleTimeoutError struct {
	After time.Duration
}

func (e *IdleTimeoutError) Error() string { return fmt.Sprintf("no data received for %v", e.After) }

// UndelimitedResponseError reports a response with neither a length nor chunked encoding,
// whose end cannot be distinguished from a broken connection.
type UndelimitedResponseError struct{}

func (e *UndelimitedResponseError) Error() string {
	return "response has neither Content-Length nor chunked encoding"
}

// exchange is one request and its response.
type exchange struct {
	address       string
	id            string
	idleTimeout   time.Duration
	cancel        context.CancelCauseFunc
	conn          *countedConn
	writtenBefore int64  // bytes written to conn before this request
	use           uint64 // number of this request on conn
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := stricthttp.Find[*countedConn](info.Conn); ok {
		e.conn = conn
		e.writtenBefore = conn.written()
		e.use = conn.enableProbes()
	}
}

// putIdle turns off the keep-alive probes of an idle connection, since probes on many
// idle connections would add up.
func (e *exchange) putIdle(err error) {
	if e.conn != nil && err == nil {
		e.conn.disableProbes(e.use)
	}
}

// classifyFailure returns the error for a failed round trip. It closes the connection
// first, so that nothing can be sent after the request was reported as unsent.
func (e *exchange) classifyFailure(ctx context.Context, err error) error {
	cause := e.cause(ctx, err)
	malformed := asMalformed(ctx, cause)
	e.cancel(nil)
	if e.conn == nil || e.conn.abort() == e.writtenBefore {
		return &UnreachableError{Address: e.address, Cause: cause}
	}
	return &UnknownOutcomeError{Address: e.address, Cause: malformed}
}

// cause returns the idle timeout that ended the exchange, if there was one. Otherwise
// it returns err without the URL, which may contain content of the request.
func (e *exchange) cause(ctx context.Context, err error) error {
	var idle *IdleTimeoutError
	if errors.As(context.Cause(ctx), &idle) {
		return idle
	}
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// checkResponse checks the request ID of a response and wraps its body.
func (e *exchange) checkResponse(ctx context.Context, resp *http.Response) (*Response, error) {
	// Bytes that come after a response may look like one, and be read as that to the next request. Failures need no ID, as a target may
	// name its requests only once it runs them.
	got, success := resp.Header.Get(HeaderRequestID), resp.StatusCode/100 == 2
	if got != e.id && (got != "" || success && e.conn.echoes.Load()) {
		// Later responses on this connection may be mismatched as well.
		e.conn.abort()
		e.cancel(nil)
		return nil, &UnknownOutcomeError{Address: e.address, Cause: &MismatchedResponseError{Want: e.id, Got: got}}
	}
	e.conn.echoes.Store(got != "")
	body := newBody(ctx, e, resp)
	return &Response{Status: resp.StatusCode, Header: flatten(resp.Header), Body: body}, nil
}

func flatten(h http.Header) map[string]string {
	out := make(map[string]string, len(h))
	for k := range h {
		out[k] = h.Get(k)
	}
	return out
}

// Interface checks.
var (
	_ Sender     = (*Client)(nil)
	_ Controller = (*Client)(nil)
)
