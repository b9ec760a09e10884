package target

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"buckthornseam.dev/seam/internal/invariant"
)

// forwardDialTimeout bounds connecting where another target can take the
// request: a hundred times the way between zones.
const forwardDialTimeout = 300 * time.Millisecond

// DialContext opens a connection that finds out by itself when its path is
// lost.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// ForwardRequest is a request passed on as it came.
type ForwardRequest struct {
	ID     string // of the attempt, which the answer must repeat
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
}

// ForwardResponse is the head of an answer with its body still to be read. A body
// without stated length is whole once its connection ended cleanly.
type ForwardResponse struct {
	Status int
	Header http.Header
	Length int64 // of the body; -1: not stated
	Body   io.ReadCloser
}

// ResponseIDFunc reads the id of the request that an answer belongs to; empty if the
// answer says none.
type ResponseIDFunc func(status int, h http.Header) string

// Forward sends a request once, on a connection of its own: nothing of an
// earlier exchange can then be taken for its answer, and no lost connection
// for a lost target. It fails like Send.
func (c *Client) Forward(ctx context.Context, address string, f ForwardRequest, idOf ResponseIDFunc) (*ForwardResponse, error) {
	e := &exchange{address: address, id: f.ID}
	ctx, e.cancel = context.WithCancelCause(ctx)
	req, err := f.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn}), address)
	if err != nil {
		e.cancel(nil)
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	resp, err := c.quick.RoundTrip(req)
	if err != nil {
		return nil, e.failed(ctx, err)
	}
	if got := idOf(resp.StatusCode, resp.Header); got != "" && got != f.ID {
		e.conn.abort()
		e.cancel(nil)
		return nil, &UnknownOutcomeError{Address: address, Cause: &CrossedAnswerError{Want: f.ID, Got: got}}
	}
	b := newBody(ctx, e, resp)
	b.undelimited = false
	return &ForwardResponse{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: b}, nil
}

// keyHeader carries callers' keys. Other headers of a caller are its own affair.
const keyHeader = "Authorization"

// request makes the HTTP form of f without touching path or query.
func (f ForwardRequest) request(ctx context.Context, address string) (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: address, Opaque: f.URI}
	if strings.HasPrefix(f.URI, "//") {
		// An opaque part that begins so would be sent with the scheme.
		parsed, err := url.ParseRequestURI("http://" + address + f.URI)
		if err != nil || parsed.RequestURI() != f.URI {
			return nil, &InvalidRequestError{Field: "path"}
		}
		target = parsed
	}
	invariant.Check(f.Header.Get(keyHeader) == "", invariant.KeyHidden, "the key of request %s was to be sent to target %s", f.ID, address)
	req := &http.Request{
		Method: f.Method, URL: target, Host: f.Host, Header: f.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(f.Body)),
	}
	if len(f.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(f.Body))
	}
	return req.WithContext(ctx), nil
}
