package target

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// A network path can drop a connection without either end noticing: what is sent is
// never acknowledged. The kernel detects this within lossTimeout, even if the target
// is busy: by unacknowledged data, or by unanswered keep-alive probes while a
// response is pending.
const (
	dialTimeout   = time.Second
	lossTimeout   = 3 * time.Second
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
			err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(lossTimeout/time.Millisecond))
		})
		if failed != nil {
			return failed
		}
		return err
	},
}

// DialFunc opens a connection to a target.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// withTimeout returns dial with a time limit.
func (dial DialFunc) withTimeout(timeout time.Duration) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// dialCounted opens a connection that counts the bytes written to it.
func (dial DialFunc) dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn}, nil
}

// dialOnce is dialCounted for a connection that has a single request. The lines of the response's head are limited.
func (dial DialFunc) dialOnce(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, head: &headLines{}}, nil
}

// countedConn counts the bytes written to the kernel.
type countedConn struct {
	net.Conn
	head    *headLines // nil: without a limit
	mu      sync.Mutex // held during a write
	closed  bool
	bytes   atomic.Int64
	echoes  atomic.Bool // the last response named its request
	probeMu sync.Mutex  // guards uses
	uses    uint64      // number of requests sent on the connection
}

// NetConn returns the connection that is used.
func (c *countedConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. It fails with *LongHeadError.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.head != nil {
		if long := c.head.check(p[:n]); long != nil {
			return 0, long
		}
	}
	return n, err
}

// Write implements net.Conn. The count is increased before the write and corrected
// after it, so that it is never less than the bytes that may have been sent.
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

// enableProbes turns on the kernel's keep-alive probes for a request and returns the
// number of this request on the connection. The probe intervals are set by the dialer.
func (c *countedConn) enableProbes() uint64 {
	c.probeMu.Lock()
	defer c.probeMu.Unlock()
	c.uses++
	c.setProbes(true)
	return c.uses
}

// disableProbes turns the probes off after request number use, unless another request
// is using the connection by then.
func (c *countedConn) disableProbes(use uint64) {
	c.probeMu.Lock()
	defer c.probeMu.Unlock()
	if c.uses == use {
		c.setProbes(false)
	}
}

func (c *countedConn) setProbes(on bool) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetKeepAlive(on) // fails only on a closed connection
	}
}

func (c *countedConn) written() int64 { return c.bytes.Load() }

// abort closes the connection and returns the final number of bytes written to it.
func (c *countedConn) abort() int64 {
	_ = c.Conn.Close() // interrupts a pending write; closing twice is harmless
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.bytes.Load()
}
