package target

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// rawTarget is a target that writes raw bytes to its connections. Respond is called with
// each complete request and its number; if it returns false, the connection is closed.
type rawTarget struct {
	address  string
	requests atomic.Int64
	conns    atomic.Int64
}

func newRawTarget(t testing.TB, respond func(w io.Writer, r *http.Request, body string, n int64) bool) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	raw := &rawTarget{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			raw.conns.Add(1)
			go raw.serve(conn, respond)
		}
	}()
	return raw
}

func (raw *rawTarget) serve(conn net.Conn, respond func(io.Writer, *http.Request, string, int64) bool) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !respond(conn, r, string(body), raw.requests.Add(1)) {
			return
		}
	}
}

func ok(w io.Writer, r *http.Request) {
	fmt.Fprintf(w, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", HeaderRequestID, r.Header.Get(HeaderRequestID))
}

// send sends a request and reads the response to the end.
func send(c *Client, address string, r Request) (string, error) {
	resp, err := c.Send(context.Background(), address, r)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return string(data), err
}

func isUnknown(err error) bool {
	var unknown *UnknownOutcomeError
	return errors.As(err, &unknown)
}

func isUnreachable(err error) bool {
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// dropSecond responds to the first request and closes the connection after it has
// read any later one.
func dropSecond(w io.Writer, r *http.Request, _ string, n int64) bool {
	if n == 1 {
		ok(w, r)
		return true
	}
	return false
}

func TestRequestIsSentOnce(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		for _, method := range []string{"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS"} {
			for _, body := range []string{"", "issue invoice 7"} {
				raw := newRawTarget(t, dropSecond)
				c := NewClient()
				if _, err := send(c, raw.address, Request{ID: "1", Method: "GET", Path: "/"}); err != nil {
					t.Fatal(err)
				}
				_, err := send(c, raw.address, Request{
					ID: "2", Method: method, Path: "/invoices", Body: []byte(body), Fresh: fresh,
					Header: map[string]string{"Idempotency-Key": "k", "X-Idempotency-Key": "k"},
				})
				if n := raw.requests.Load(); !isUnknown(err) || n != 2 {
					t.Errorf("fresh=%v %s %q: the target received it %d times: %v", fresh, method, body, n-1, err)
				}
			}
		}
	}
}

// TestTransportAloneSendsTwice shows that http.Transport retries such a request by
// itself, which Client must prevent.
func TestTransportAloneSendsTwice(t *testing.T) {
	raw := newRawTarget(t, dropSecond)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for range 2 {
		r, err := http.NewRequest("POST", "http://"+raw.address+"/invoices", strings.NewReader("issue invoice 7"))
		if err != nil {
			t.Fatal(err)
		}
		r.Header.Set("Idempotency-Key", "k")
		if resp, err := transport.RoundTrip(r); err == nil {
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	}
	if n := raw.requests.Load(); n != 3 {
		t.Errorf("the target received the second request %d times, want 2", n-1)
	}
}

func TestUnreachableMeansNothingWasSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	l.Close()
	c := NewClient()
	if _, err := send(c, closed, Request{ID: "1", Method: "POST", Path: "/"}); !isUnreachable(err) {
		t.Errorf("closed port: %v", err)
	}
	if _, err := send(c, closed, Request{ID: "1", Method: "POST", Path: "no slash"}); !isUnreachable(err) {
		t.Errorf("invalid path: %v", err)
	}
	// Requests canceled at any time must not be reported as unreachable if
	// the target has read them.
	var read sync.Map
	recorder := newRawTarget(t, func(w io.Writer, r *http.Request, _ string, _ int64) bool {
		read.Store(r.Header.Get(HeaderRequestID), true)
		ok(w, r)
		return true
	})
	reported := 0
	for i := range 400 {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(time.Duration(i)*time.Microsecond, cancel)
		id := fmt.Sprint(i)
		resp, err := c.Send(ctx, recorder.address, Request{ID: id, Method: "POST", Path: "/", Body: []byte("x"), Fresh: i%2 == 0})
		if err == nil {
			resp.Body.Close()
		}
		cancel()
		if isUnreachable(err) {
			reported++
			defer func() {
				if _, ran := read.Load(id); ran {
					t.Errorf("request %s: reported as unreachable, but the target read it: %v", id, err)
				}
			}()
		}
	}
	t.Logf("%d of 400 reported as unreachable", reported)
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, response := range map[string]string{
		"content length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"chunked":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"no length given": "HTTP/1.1 200 OK\r\n\r\nhalf",
		"head":            "HTTP/1.1 200 OK\r\nContent-Le",
		"nothing":         "",
	} {
		raw := newRawTarget(t, func(w io.Writer, _ *http.Request, _ string, _ int64) bool {
			_, _ = io.WriteString(w, response)
			return false
		})
		if body, err := send(NewClient(), raw.address, Request{ID: "1", Method: "GET", Path: "/"}); !isUnknown(err) {
			t.Errorf("%s: body %q, error %v", name, body, err)
		}
	}
	raw := newRawTarget(t, func(w io.Writer, _ *http.Request, _ string, _ int64) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n")
		return true
	})
	if body, err := send(NewClient(), raw.address, Request{ID: "1", Method: "GET", Path: "/"}); err != nil || body != "full" {
		t.Errorf("complete response: body %q, error %v", body, err)
	}
}

func TestMismatchedResponseClosesConnection(t *testing.T) {
	raw := newRawTarget(t, func(w io.Writer, r *http.Request, _ string, n int64) bool {
		if n == 1 {
			r.Header.Set(HeaderRequestID, "other")
		}
		ok(w, r)
		return true
	})
	c := NewClient()
	_, err := send(c, raw.address, Request{ID: "1", Method: "POST", Path: "/"})
	var mismatched *MismatchedResponseError
	if !isUnknown(err) || !errors.As(err, &mismatched) {
		t.Errorf("mismatched response: %v", err)
	}
	if body, err := send(c, raw.address, Request{ID: "2", Method: "POST", Path: "/"}); err != nil || body != "ok" {
		t.Errorf("next request: %q, %v", body, err)
	}
	if n := raw.conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
}

func TestTimedOutConnectionIsReplaced(t *testing.T) {
	for _, part := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"} {
		release := make(chan struct{})
		raw := newRawTarget(t, func(w io.Writer, r *http.Request, _ string, n int64) bool {
			if n == 1 {
				_, _ = io.WriteString(w, part)
				<-release
				return false
			}
			ok(w, r)
			return true
		})
		c := NewClient()
		r := Request{ID: "1", Method: "POST", Path: "/", IdleTimeout: 50 * time.Millisecond, HeaderTimeout: 50 * time.Millisecond}
		_, err := send(c, raw.address, r)
		var idle *IdleTimeoutError
		if !isUnknown(err) || !errors.As(err, &idle) {
			t.Errorf("after %q: %v", part, err)
		}
		if body, err := send(c, raw.address, Request{ID: "2", Method: "POST", Path: "/"}); err != nil || body != "ok" {
			t.Errorf("next request: %q, %v", body, err)
		}
		close(release)
	}
}

func TestNoRedirectIsFollowed(t *testing.T) {
	raw := newRawTarget(t, func(w io.Writer, _ *http.Request, _ string, _ int64) bool {
		_, _ = io.WriteString(w, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /again\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	resp, err := NewClient().Send(context.Background(), raw.address, Request{ID: "1", Method: "POST", Path: "/", Body: []byte("x")})
	if err != nil || resp.Status != http.StatusTemporaryRedirect || raw.requests.Load() != 1 {
		t.Errorf("response %+v, error %v, %d requests", resp, err, raw.requests.Load())
	}
}

func TestKeepAliveProbesOnlyDuringRequests(t *testing.T) {
	raw := newRawTarget(t, func(w io.Writer, r *http.Request, _ string, _ int64) bool { ok(w, r); return true })
	conn, err := DialFunc(dialer.DialContext).dialCounted(context.Background(), "tcp", raw.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	option := func(level, name int) (value int) {
		control, err := conn.(*countedConn).Conn.(*net.TCPConn).SyscallConn()
		if err == nil {
			err = control.Control(func(fd uintptr) { value, _ = syscall.GetsockoptInt(int(fd), level, name) })
		}
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	if ms := option(syscall.IPPROTO_TCP, tcpUserTimeout); ms != int(lossTimeout.Milliseconds()) {
		t.Errorf("TCP_USER_TIMEOUT is %d ms", ms)
	}
	e, next := &exchange{}, &exchange{}
	e.gotConn(httptrace.GotConnInfo{Conn: conn})
	if option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) == 0 {
		t.Error("keep-alive probes are off during a request")
	}
	longest := option(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE) +
		option(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL)*option(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT)
	if longest > int(lossTimeout.Seconds()) {
		t.Errorf("a lost path is detected only after %d s", longest)
	}
	next.gotConn(httptrace.GotConnInfo{Conn: conn})
	e.putIdle(nil)
	if option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) == 0 {
		t.Error("keep-alive probes are off during the next request")
	}
	next.putIdle(nil)
	if option(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) != 0 {
		t.Error("keep-alive probes are on for an idle connection")
	}
}

func TestNoWriteAfterAbort(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &countedConn{Conn: near}
	writing := make(chan error)
	go func() {
		_, err := c.Write(make([]byte, 100))
		writing <- err
	}()
	if _, err := io.ReadFull(far, make([]byte, 40)); err != nil {
		t.Fatal(err)
	}
	if n := c.abort(); n != 40 {
		t.Errorf("%d bytes counted, 40 were sent", n)
	}
	if err := <-writing; err == nil {
		t.Error("a pending write ended without error")
	}
	if _, err := c.Write([]byte("late")); err == nil || c.written() != 40 {
		t.Errorf("write after the abort: error %v, %d bytes", err, c.written())
	}
}

func BenchmarkSend(b *testing.B) {
	raw := newRawTarget(b, func(w io.Writer, r *http.Request, _ string, _ int64) bool { ok(w, r); return true })
	c := NewClient()
	for name, r := range map[string]Request{
		"kept":  {ID: "1", Method: "POST", Path: "/", Body: []byte("x")},
		"fresh": {ID: "1", Method: "POST", Path: "/", Body: []byte("x"), Fresh: true},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := send(c, raw.address, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("library", func(b *testing.B) {
		transport := &http.Transport{}
		defer transport.CloseIdleConnections()
		for b.Loop() {
			req, err := http.NewRequest("POST", "http://"+raw.address, strings.NewReader("x"))
			if err != nil {
				b.Fatal(err)
			}
			resp, err := transport.RoundTrip(req)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
}
