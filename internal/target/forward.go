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

// forwardDialTimeout limits connecting if another target can take the request. It is
// a hundred times the latency between availability zones.
const forwardDialTimeout = 300 * time.Millisecond

// DialContext opens a connection that detects by itself if its network path is lost.
func DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	return dialer.DialContext(ctx, network, address)
}

// ForwardRequest is a request that is forwarded unchanged.
type ForwardRequest struct {
	ID     string // of the attempt; a response with another ID is rejected
	Method string
	URI    string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	ToHost bool // the receiver is another host of this system, which needs the caller's key
}

// Framing tells how the end of a response's body is marked.
type Framing string

// The kinds of framing.
const (
	FramingLength  Framing = "length"  // Content-Length
	FramingChunked Framing = "chunked" // chunked transfer encoding
	FramingClose   Framing = "close"   // the target closes the connection
)

// ForwardResponse is a response whose body is still to be read. With FramingClose, a body
// is complete if the connection is closed cleanly, and after the target had the whole request.
// Otherwise reading it fails with *UnknownOutcomeError, which wraps *stricthttp.EarlyEndError or the connection's error.
type ForwardResponse struct {
	Status  int
	Header  http.Header
	Length  int64 // of the body, -1 if unknown
	Framing Framing
	Body    io.ReadCloser
}

// ResponseIDFunc returns the ID of the request that a response belongs to, or an empty
// string if the response has none.
type ResponseIDFunc func(status int, h http.Header) string

// Forward sends a request once, on a new connection. This way no data of an earlier
// exchange can be read as its response, and a connection that was lost while idle is
// not mistaken for a lost target. It fails like Send.
func (c *Client) Forward(ctx context.Context, address string, f ForwardRequest, idOf ResponseIDFunc) (*ForwardResponse, error) {
	e := &exchange{address: address, id: f.ID}
	ctx, e.cancel = context.WithCancelCause(ctx)
	req, err := f.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: e.gotConn}), address)
	if err != nil {
		e.cancel(nil)
		return nil, &UnreachableError{Address: address, Cause: err}
	}
	resp, err := c.forwarding.RoundTrip(req)
	if err != nil {
		return nil, e.classifyFailure(ctx, err)
	}
	if got := idOf(resp.StatusCode, resp.Header); got != "" && got != f.ID {
		e.conn.abort()
		e.cancel(nil)
		return nil, &UnknownOutcomeError{Address: address, Cause: &MismatchedResponseError{Want: f.ID, Got: got}}
	}
	b := newBody(ctx, e, resp)
	b.undelimited = false
	return &ForwardResponse{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Framing: framingOf(resp), Body: b}, nil
}

func framingOf(resp *http.Response) Framing {
	switch {
	case resp.ContentLength >= 0:
		return FramingLength
	case len(resp.TransferEncoding) > 0:
		return FramingChunked
	}
	return FramingClose
}

// keyHeader is the header with the caller's key, which must have been removed. All other
// headers of a caller are forwarded.
const keyHeader = "Authorization"

// request builds the HTTP request for f with its path and query unchanged.
func (f ForwardRequest) request(ctx context.Context, address string) (*http.Request, error) {
	target := &url.URL{Scheme: "http", Host: address, Opaque: f.URI}
	if strings.HasPrefix(f.URI, "//") {
		// An opaque part that begins with // would be sent with the scheme.
		parsed, err := url.ParseRequestURI("http://" + address + f.URI)
		if err != nil || parsed.RequestURI() != f.URI {
			return nil, &InvalidRequestError{Field: "path"}
		}
		target = parsed
	}
	invariant.Check(f.ToHost || f.Header.Get(keyHeader) == "", invariant.KeyHidden, "the key of request %s would have been sent to target %s", f.ID, address)
	req := &http.Request{
		Method: f.Method, URL: target, Host: f.Host, Header: f.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: int64(len(f.Body)),
	}
	if len(f.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(f.Body))
	}
	return req.WithContext(ctx), nil
}
