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
)

// HeaderRequestID carries the id of an attempt; targets echo it.
const HeaderRequestID = "X-Request-Id"

// HeaderResumeFrom asks an engine to leave out the tokens already delivered.
const HeaderResumeFrom = "X-Resume-From-Token"

// HeaderPriority carries the priority of a request.
const HeaderPriority = "X-Priority"

// allowed are the headers that Request.Header may hold. All others are
// dropped here, whoever put them in.
var allowed = map[string]bool{
	"Accept": true, "Accept-Language": true, "Content-Type": true, "Content-Language": true,
	"If-Match": true, "If-None-Match": true, HeaderResumeFrom: true,
}

// credentialHeaders must never come as far as this package.
var credentialHeaders = []string{"Authorization", "Proxy-Authorization", "X-Api-Key", "Api-Key", "Cookie"}

const (
	userAgent           = "buckthornseam"
	maxIdlePerTarget    = 256
	idleTimeout         = 30 * time.Second
	maxAnswerHeadBytes  = 64 << 10
	responseBufferBytes = 4 << 10
)

// Client reaches targets over HTTP. It implements Sender and Controller. It
// uses no proxy, follows no redirect, keeps no cookie and sends no request a
// second time.
type Client struct {
	kept  *http.Transport // reuses connections
	fresh *http.Transport // one connection for each request
	quick *http.Transport // like fresh, for Forward, which gives a target up sooner
}

// NewClient returns a client over TCP, without connections.
func NewClient() *Client { return NewClientWithDialer(dialer.DialContext) }

// NewClientWithDialer returns a client whose connections are made by dial. Such
// connections must find lost paths themselves, as those over TCP do.
func NewClientWithDialer(dial Dial) *Client {
	return &Client{kept: newTransport(dial, false), fresh: newTransport(dial, true), quick: newTransport(dial.within(forwardDialTimeout), true)}
}

func newTransport(dial Dial, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            dial.counted,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxAnswerHeadBytes,
		ReadBufferSize:         responseBufferBytes,
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
	c.quick.CloseIdleConnections()
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
	e := &exchange{address: address, id: r.ID, silence: r.IdleTimeout}
	ctx, e.cancel = context.WithCancelCause(ctx)
	req, err := newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn, PutIdleConn: e.putIdle}), address, r)
	if err != nil {
		e.cancel(nil)
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	transport := c.kept
	if r.Fresh {
		transport = c.fresh
	}
	if r.HeadSilence > 0 {
		timer := time.AfterFunc(r.HeadSilence, func() { e.cancel(&IdleTimeoutError{After: r.HeadSilence}) })
		defer timer.Stop()
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, e.failed(ctx, err)
	}
	return e.answered(ctx, resp)
}

// newRequest makes the HTTP form of r. The transport sends a request again by
// itself if it can get the body again, or there is none, and the method or an
// idempotency header suggests that it may; so there is always a body that can
// be read once only, and no such header.
func newRequest(ctx context.Context, address string, r Request) (*http.Request, error) {
	if !strings.HasPrefix(r.Path, "/") {
		return nil, &InvalidRequestError{Field: "path"}
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, nil)
	if err != nil {
		return nil, &InvalidRequestError{Field: "method or path"} // the cause would quote the path
	}
	req.Body = io.NopCloser(bytes.NewReader(r.Body))
	req.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 && !usuallyWithoutBody(r.Method) {
		// Never sent again with these methods, and states a length of 0.
		req.Body = http.NoBody
	}
	for name, value := range r.Header {
		if allowed[http.CanonicalHeaderKey(name)] {
			req.Header.Set(name, value)
		}
	}
	for _, name := range credentialHeaders {
		_, leaked := r.Header[name]
		invariant.Check(!leaked, invariant.KeyHidden, "header %s was to be sent to target %s", name, address)
	}
	req.Header.Set("User-Agent", userAgent)
	req.Header.Set(HeaderRequestID, r.ID)
	if r.Priority != 0 {
		req.Header.Set(HeaderPriority, strconv.Itoa(r.Priority))
	}
	return req, nil
}

// usuallyWithoutBody reports the methods for which an empty body is sent as
// none at all.
func usuallyWithoutBody(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodDelete:
		return true
	}
	return false
}

// CrossedAnswerError reports an answer to another request.
type CrossedAnswerError struct {
	Want string // id of the request sent
	Got  string // id that the answer carries
}

func (e *CrossedAnswerError) Error() string {
	return fmt.Sprintf("answer carries id %s instead of %s", e.Got, e.Want)
}

// IdleTimeoutError reports a connection on which nothing came for too long.
type IdleTimeoutError struct {
	After time.Duration
}

func (e *IdleTimeoutError) Error() string { return fmt.Sprintf("nothing came for %v", e.After) }

// UndelimitedError reports an answer whose end cannot be told from a broken
// connection.
type UndelimitedError struct{}

func (e *UndelimitedError) Error() string { return "answer states neither length nor end" }

// exchange is one request and its answer.
type exchange struct {
	address string
	id      string
	silence time.Duration
	cancel  context.CancelCauseFunc
	conn    *countedConn
	mark    int64  // bytes written on conn before this request
	use     uint64 // number of this use of conn
}

func (e *exchange) gotConn(info httptrace.GotConnInfo) {
	if conn, ok := info.Conn.(*countedConn); ok {
		e.conn = conn
		e.mark = conn.written()
		e.use = conn.inUse()
	}
}

// putIdle stops the probes on a connection that waits for its next request:
// over many idle connections they would add up.
func (e *exchange) putIdle(err error) {
	if e.conn != nil && err == nil {
		e.conn.idle(e.use)
	}
}

// failed classifies the failure of a round trip. It first makes sure that no
// byte leaves any more, so that what it says stays true.
func (e *exchange) failed(ctx context.Context, err error) error {
	cause := e.cause(ctx, err)
	e.cancel(nil)
	if e.conn == nil || e.conn.abort() == e.mark {
		return &UnreachableError{Address: e.address, Cause: cause}
	}
	return &UnknownOutcomeError{Address: e.address, Cause: cause}
}

// cause returns the silence that ended the exchange, if one did, and else the
// error without the address of the request, which may hold content.
func (e *exchange) cause(ctx context.Context, err error) error {
	var silent *IdleTimeoutError
	if errors.As(context.Cause(ctx), &silent) {
		return silent
	}
	var u *url.Error
	if errors.As(err, &u) {
		return u.Err
	}
	return err
}

// answered checks the head of an answer and hands on the body.
func (e *exchange) answered(ctx context.Context, resp *http.Response) (*Response, error) {
	if got := resp.Header.Get(HeaderRequestID); got != "" && got != e.id {
		// Whatever else comes on this connection may be crossed as well.
		e.conn.abort()
		e.cancel(nil)
		return nil, &UnknownOutcomeError{Address: e.address, Cause: &CrossedAnswerError{Want: e.id, Got: got}}
	}
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
