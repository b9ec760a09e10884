package wholerun

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// brokenPathTimeout is the time after which a connection with a broken network path
// fails. The kernel's timers do the same to the TCP connections of target.Client.
const brokenPathTimeout = 3 * time.Second

type netError string

func (e netError) Error() string   { return string(e) }
func (e netError) Timeout() bool   { return false }
func (e netError) Temporary() bool { return false }

const (
	errRefused = netError("connection refused")
	errClosed  = netError("listener closed")
)

// targetNet is an in-memory network between hosts and targets.
type targetNet struct {
	mu        sync.Mutex
	listeners map[string]*listener // by target
	names     map[string]string    // of targets, by address
	refuse    map[string]bool      // targets that refuse connections
	conns     map[*faultConn]bool
}

func newTargetNet() *targetNet {
	return &targetNet{listeners: map[string]*listener{}, names: map[string]string{}, refuse: map[string]bool{}, conns: map[*faultConn]bool{}}
}

// addressOf returns the address of a target in the form IP:port.
func addressOf(target string) string {
	sum := xxhash.Sum64String(target)
	return fmt.Sprintf("10.%d.%d.%d:80", byte(sum), byte(sum>>8), byte(sum>>16))
}

// listener implements net.Listener for one target.
type listener struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, errClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// serve runs an HTTP server for a target and returns a function that closes it.
func (n *targetNet) serve(name string, h http.Handler) (closeServer func()) {
	l := &listener{accept: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.listeners[name] = l
	n.names[addressOf(name)] = name
	n.mu.Unlock()
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }() // ends with the run
	return func() { server.Close() }
}

func (n *targetNet) setRefuse(name string, refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refuse[name] = refuse
}

// dialer returns the dial function of one host. Dialing fails while down returns
// true.
func (n *targetNet) dialer(host string, down func() bool) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		name := n.names[address]
		l, refused := n.listeners[name], n.refuse[name]
		n.mu.Unlock()
		if l == nil || refused || down() {
			return nil, errRefused
		}
		client, server := net.Pipe()
		select {
		case l.accept <- server:
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		c := &faultConn{Conn: client, net: n, host: host, target: name}
		n.mu.Lock()
		n.conns[c] = true
		n.mu.Unlock()
		return c, nil
	}
}

// forEachConn calls f for the open connections between a host and a target. An empty
// name matches all.
func (n *targetNet) forEachConn(host, target string, f func(*faultConn)) {
	n.mu.Lock()
	var matching []*faultConn
	for c := range n.conns {
		if (host == "" || c.host == host) && (target == "" || c.target == target) {
			matching = append(matching, c)
		}
	}
	n.mu.Unlock()
	for _, c := range matching {
		f(c)
	}
}

// faultConn is the host's end of a connection to a target. A silent connection stays
// open but carries no data.
type faultConn struct {
	net.Conn
	net          *targetNet
	host, target string

	mu               sync.Mutex
	silent           bool
	awaitingResponse bool // something was written since the last read
}

func (c *faultConn) setSilent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silent && c.awaitingResponse {
		c.closeAfterTimeout()
	}
	c.silent = true
}

func (c *faultConn) closeAfterTimeout() { time.AfterFunc(brokenPathTimeout, func() { closeConn(c) }) }

func (c *faultConn) Read(p []byte) (int, error) {
	for {
		read, err := c.Conn.Read(p)
		c.mu.Lock()
		silent := c.silent
		if !silent {
			c.awaitingResponse = false
		}
		c.mu.Unlock()
		if !silent || err != nil {
			return read, err
		}
	}
}

func (c *faultConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	silent := c.silent
	if silent && !c.awaitingResponse {
		c.closeAfterTimeout()
	}
	c.awaitingResponse = true
	c.mu.Unlock()
	if silent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *faultConn) Close() error {
	c.net.mu.Lock()
	delete(c.net.conns, c)
	c.net.mu.Unlock()
	return c.Conn.Close()
}

// closeConn closes a connection. Closing an end of a pipe cannot fail.
func closeConn(c *faultConn) { _ = c.Close() }

// chance returns true with probability p.
func chance(rng *rand.Rand, p float64) bool { return rng.Float64() < p }
