package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// serveWithRest serves requests whose responses are followed by a text that belongs to none.
func serveWithRest(t *testing.T, rest string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed at the end of the test
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					req, err := http.ReadRequest(in)
					if err != nil {
						return // closed by the client
					}
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok%s", HeaderRequestID, req.Header.Get(HeaderRequestID), rest)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// TestBytesAfterAResponseAreNotTheNext guards against what a target sends after a complete response, if it looks like one, counting as
// the response to the next request on a kept connection.
func TestBytesAfterAResponseAreNotTheNext(t *testing.T) {
	address := serveWithRest(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
	c, stale := NewClient(), 0
	const requests = 3000
	for i := range requests {
		resp, err := c.Send(t.Context(), address, Request{ID: fmt.Sprint(i), Method: http.MethodGet, Path: "/"})
		if err != nil {
			continue // the connection was just being closed
		}
		if data, err := io.ReadAll(resp.Body); err == nil && string(data) != "ok" {
			stale++
		}
		resp.Body.Close()
	}
	if stale > 0 {
		t.Errorf("%d of %d requests got the bytes after the response to another", stale, requests)
	}
}

// TestTargetThatNamesNoRequestIsServed guards against requests failing on a kept connection to a target that never echoes their IDs.
func TestTargetThatNamesNoRequestIsServed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	c := NewClient()
	defer c.Close()
	for i := range 3 {
		resp, err := c.Send(t.Context(), strings.TrimPrefix(server.URL, "http://"), Request{ID: fmt.Sprint(i), Method: http.MethodGet, Path: "/"})
		if err != nil {
			t.Fatal(err)
		}
		if data, err := io.ReadAll(resp.Body); err != nil || string(data) != "ok" {
			t.Errorf("body %q, error %v", data, err)
		}
		resp.Body.Close()
	}
}
