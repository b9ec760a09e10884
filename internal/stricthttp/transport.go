// Package stricthttp provides the HTTP transport for all who read responses. It fails responses that the one of net/http accepts, but
// that may be broken, so that nothing of them may be passed on or believed.
package stricthttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper. A response without a length, which ends with its connection, is complete only if the peer had the
// whole request by then; otherwise its body fails with *EarlyEndError. This holds for a response that begins before the request has
// arrived, too: one that ends before needs a length or chunks, unless its sender reads the rest of the request.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport with the settings of base, which must not be used otherwise.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(c), nil
	}
	return &Transport{base: base}
}

// NewDefaultTransport returns a transport with the settings of http.DefaultTransport.
func NewDefaultTransport() *Transport {
	return NewTransport(http.DefaultTransport.(*http.Transport).Clone())
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper. It fails like http.Transport, and with *InvalidStatusError, *InvalidFieldError and
// *EncodedOldVersionError.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var x exchange
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), x.trace())))
	if err != nil {
		return nil, err
	}
	err = checkHead(resp)
	if r := x.request.Load(); r != nil && r.head.takeEncoded() && err == nil {
		err = &EncodedOldVersionError{Proto: resp.Proto}
	}
	if err != nil {
		_ = resp.Body.Close() // closes the connection
		return nil, err
	}
	if c := x.conn.Load(); c != nil && endsWithConnection(resp) {
		c.guarded.Store(true)
	}
	return resp, nil
}

// exchange is a request in progress. The transport may move it to another connection before anything was written.
type exchange struct {
	conn    atomic.Pointer[conn]
	request atomic.Pointer[requestState]
}

func (x *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := Find[*conn](info.Conn); ok {
				x.conn.Store(c)
				x.request.Store(c.beginRequest())
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if r := x.request.Load(); r != nil {
				r.end(info.Err)
			}
		},
	}
}

// endsWithConnection reports whether only the end of the connection ends the body of a response.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}
