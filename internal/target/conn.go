package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A path between two hosts can lose a connection without a sign: what is sent
// is never acknowledged. The kernel finds that out within lostAfter, whether
// or not the target is at work: by unacknowledged data, or by unanswered
// probes while an answer is awaited.
const (
	dialTimeout   = time.Second
	lostAfter     = 3 * time.Second
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// tcpUserTimeout is the Linux socket option TCP_USER_TIMEOUT, in milliseconds.
const tcpUserTimeout = 0x12

var dialer = net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		failed := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(lostAfter/time.Millisecond))
		})
		if failed != nil {
			return failed
		}
		return err
	},
}

// Dial opens a connection to a target.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// within returns dial with a bound on its time.
func (dial Dial) within(bound time.Duration) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, bound)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// counted returns dial with the bytes of its connections counted.
func (dial Dial) counted(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// countedConn counts the bytes handed to the kernel.
type countedConn struct {
	net.Conn
	mu     sync.Mutex // held during a write
	closed bool
	bytes  atomic.Int64
	probes sync.Mutex // guards uses
	uses   uint64     // requests that had the connection
}

// Write implements net.Conn. The count goes up before the write and is
// corrected after it, so that it never lags behind what may have left.
func (c *countedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	c.bytes.Add(int64(len(p)))
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n - len(p)))
	return n, err
}

// inUse turns the kernel's keep-alive probes on for a request and returns the
// number of this use. The intervals are set when the connection is made.
func (c *countedConn) inUse() uint64 {
	c.probes.Lock()
	defer c.probes.Unlock()
	c.uses++
	c.probe(true)
	return c.uses
}

// idle turns the probes off again, unless another request has taken the
// connection meanwhile.
func (c *countedConn) idle(use uint64) {
	c.probes.Lock()
	defer c.probes.Unlock()
	if c.uses == use {
		c.probe(false)
	}
}

func (c *countedConn) probe(on bool) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlive(on) // fails on a closed connection only
	}
}

func (c *countedConn) written() int64 { return c.bytes.Load() }

// abort closes the connection and returns the number of bytes written on it,
// which does not change any more.
func (c *countedConn) abort() int64 {
	_ = c.Conn.Close() // ends a write under way; a second close does no harm
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.bytes.Load()
}
