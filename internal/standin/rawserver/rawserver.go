// Package rawserver is a stand-in for a target, a store or a host that sends raw bytes as its responses.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// Response is how the server responds to a request.
type Response struct {
	Text string
	// Unread is whether it responds once it has the head of the request, and ReadFirst how many bytes of the body it has read before.
	Unread    bool
	ReadFirst int64
	// ReceiveBuffer is about how many bytes the server's kernel takes of what it does not read; 0: some millions.
	ReceiveBuffer int
	End           End // of the connection, after the response; nil: it is closed
}

// End is how the server ends a connection.
type End func(c *net.TCPConn, in io.Reader)

// Pause is the time between the bytes of a response and a reset. The bytes arrive before.
const Pause = 50 * time.Millisecond

// Close closes the connection. If bytes of the request are unread or still to come, the kernel resets it.
func Close(c *net.TCPConn, _ io.Reader) { time.Sleep(Pause) }

// Reset resets the connection.
func Reset(c *net.TCPConn, _ io.Reader) {
	time.Sleep(Pause)
	_ = c.SetLinger(0)
}

// ResetLater resets the connection once the response has been read, also on a busy machine.
func ResetLater(c *net.TCPConn, in io.Reader) {
	time.Sleep(time.Second)
	Reset(c, in)
}

// EndThenReset ends the server's side, as the kernel does for a process that crashes and has nothing unread, and resets the connection.
func EndThenReset(c *net.TCPConn, in io.Reader) {
	_ = c.CloseWrite()
	Reset(c, in)
}

// EndAndReadOn ends the server's side and reads the rest of the request.
func EndAndReadOn(c *net.TCPConn, in io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, in)
}

// EndAndHold ends the server's side and reads nothing more.
func EndAndHold(c *net.TCPConn, _ io.Reader) {
	_ = c.CloseWrite()
	time.Sleep(time.Minute)
}

// Server serves one request on each connection.
type Server struct {
	Address  string
	requests atomic.Int64
}

// Requests returns the number of requests whose heads have arrived.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Start serves requests until the end of a test.
func Start(t testing.TB, r Response) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &Server{Address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed at the end of the test
			}
			go s.serve(c.(*net.TCPConn), r)
		}
	}()
	return s
}

func (s *Server) serve(c *net.TCPConn, r Response) {
	defer func() { _ = c.Close() }()
	if r.ReceiveBuffer > 0 {
		_ = c.SetReadBuffer(r.ReceiveBuffer)
	}
	in := bufio.NewReader(c)
	req, err := http.ReadRequest(in)
	if err != nil {
		return // closed without a request
	}
	s.requests.Add(1)
	if r.Unread {
		_, _ = io.CopyN(io.Discard, req.Body, r.ReadFirst)
	} else {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	_, _ = io.WriteString(c, r.Text) // fails once the client has left
	if r.End != nil {
		r.End(c, in)
	}
}
