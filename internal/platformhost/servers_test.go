package platformhost

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/callerconn"
)

// gate holds up a server, as a machine does that has no time for it.
type gate struct {
	mu     sync.Mutex
	opened chan struct{}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.opened = make(chan struct{})
}

func (g *gate) open() { close(g.wait()) }

func (g *gate) wait() chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened
}

// gatedListener and gatedConn accept and read once the gate is open.
type gatedListener struct {
	net.Listener
	*gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	<-l.wait()
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gatedConn{c, l.gate}, nil
}

type gatedConn struct {
	net.Conn
	*gate
}

func (c gatedConn) Read(p []byte) (int, error) {
	buf := make([]byte, 1)
	n, err := c.Conn.Read(buf)
	<-c.wait()
	if n == 0 || err != nil {
		return n, err
	}
	p[0] = buf[0]
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Millisecond)) // what has arrived
	m, _ := c.Conn.Read(p[1:])                                  // fails if there is no more
	_ = c.SetReadDeadline(time.Time{})
	return 1 + m, nil
}

func (c gatedConn) NetConn() net.Conn { return c.Conn }

// startGated starts a server that refuses all requests, behind an open gate.
func startGated(t *testing.T) (server, *gate, *callerconn.Pool) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &gate{}
	g.shut()
	g.open()
	pool := callerconn.NewPool(1<<20, log, tally.NoopScope)
	s := server{Server: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	})}, listener: gatedListener{callerconn.Listener{Listener: tcp, Pool: pool}, g}, tcp: tcp, ofCallers: true}
	go func() { _ = s.run() }() // ends with the test
	t.Cleanup(func() { _ = s.Close() })
	return s, g, pool
}

const getOnce = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func getStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("no response: %v", err)
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body) // empty
	return resp.StatusCode
}

func dialGated(t *testing.T, s server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestStopAnswersWhatHasArrived guards against a planned stop under load that cuts off requests that have arrived, on connections
// that wait to be accepted and on those that were idle, without an answer.
func TestStopAnswersWhatHasArrived(t *testing.T) {
	s, g, pool := startGated(t)
	var conns []net.Conn
	for range 8 {
		c := dialGated(t, s)
		_, _ = io.WriteString(c, getOnce)
		if got := getStatus(t, c); got != http.StatusServiceUnavailable {
			t.Fatalf("status %d before the stop", got)
		}
		conns = append(conns, c) // idle now
	}
	g.shut()
	time.Sleep(20 * time.Millisecond) // until the server waits at the gate
	for range 8 {
		conns = append(conns, dialGated(t, s))
	}
	for _, c := range conns {
		_, _ = io.WriteString(c, getOnce)
	}
	idle := dialGated(t, s) // gets no request
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		closeServers([]server{s}, pool)
	}()
	time.Sleep(30 * time.Millisecond)
	g.open()
	for i, c := range conns {
		if got := getStatus(t, c); got != http.StatusServiceUnavailable {
			t.Errorf("connection %d: status %d, want 503", i, got)
		}
	}
	<-closed
	_ = idle.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("a connection without a request is left open")
	}
}
