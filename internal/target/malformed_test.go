package target

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
)

// outcomeOf returns the error with which a response of these bytes ends. end is called once they are sent.
func outcomeOf(t *testing.T, text string, end func(*net.TCPConn, context.CancelFunc)) error {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		c, err := l.Accept()
		if err != nil {
			return // the test has failed
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4096)) // the request is short
		_, _ = io.WriteString(c, text)    // fails once the client has closed the connection
		end(c.(*net.TCPConn), cancel)
		_, _ = io.Copy(io.Discard, c)
	}()
	resp, err := forwardTo(ctx, NewClient(), l.Addr().String())
	if err == nil {
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
	}
	return err
}

// TestOnlyMalformedResponsesAreMalformed guards against an engine that crashes, or whose request is given up, counting as one that sends
// bytes that are no answer.
func TestOnlyMalformedResponsesAreMalformed(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	nothing := func(*net.TCPConn, context.CancelFunc) {}
	closed := func(c *net.TCPConn, _ context.CancelFunc) { _ = c.CloseWrite() }
	reset := func(c *net.TCPConn, _ context.CancelFunc) { _ = c.SetLinger(0); _ = c.Close() }
	cancelled := func(_ *net.TCPConn, cancel context.CancelFunc) { cancel() }
	for name, c := range map[string]struct {
		text      string
		end       func(*net.TCPConn, context.CancelFunc)
		malformed bool
	}{
		"no HTTP":           {"garbage garbage garbage\r\n\r\n", nothing, true},
		"header line":       {"HTTP/1.1 200 OK\r\nno colon\r\n\r\n", nothing, true},
		"endless head":      {headOf(60 << 10), nothing, true},
		"chunk":             {chunked + "garbage\r\n", nothing, true},
		"nothing, closed":   {"", closed, false},
		"head, closed":      {"HTTP/1.1 200", closed, false},
		"head, reset":       {"HTTP/1.1 200", reset, false},
		"head, cancelled":   {"HTTP/1.1 200", cancelled, false},
		"chunks, closed":    {chunked, closed, false},
		"chunks, reset":     {chunked, reset, false},
		"chunks, cancelled": {chunked, cancelled, false},
	} {
		err := outcomeOf(t, c.text, c.end)
		var malformed *MalformedResponseError
		var unknown *UnknownOutcomeError
		if !errors.As(err, &unknown) || errors.As(err, &malformed) != c.malformed {
			t.Errorf("%s: %v, want an unknown outcome, malformed %v", name, err, c.malformed)
		}
	}
}
