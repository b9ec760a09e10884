package stricthttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// EarlyEndError reports a response without a length whose connection ended before its request had arrived whole.
type EarlyEndError struct {
	Cause error // of the connection's end
}

func (e *EarlyEndError) Error() string {
	return fmt.Sprintf("response without a length ended before its request had arrived: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *EarlyEndError) Unwrap() error { return e.Cause }

// conn is a connection that tells the end of a response without a length from a broken connection.
type conn struct {
	net.Conn
	request   atomic.Pointer[requestState] // the current or last one
	guarded   atomic.Bool                  // its response ends with the connection
	closed    chan struct{}
	closeOnce sync.Once
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, closed: make(chan struct{})} }

// NetConn returns the connection that is used.
func (c *conn) NetConn() net.Conn { return c.Conn }

// beginRequest is called before a request is written.
func (c *conn) beginRequest() *requestState {
	r := &requestState{ended: make(chan struct{})}
	c.guarded.Store(false)
	c.request.Store(r)
	return r
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if r := c.request.Load(); err != nil && r != nil {
		r.end(err)
	}
	return n, err
}

// Read implements net.Conn. Instead of io.EOF it fails with *EarlyEndError if the response in progress can't be told from a part of one.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if r := c.request.Load(); r != nil {
		r.head.add(p[:n])
	}
	if err == io.EOF && c.guarded.Load() {
		err = c.checkEnd()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// arrivalInterval is the time between two looks at whether a request has arrived, which is rarely under way for longer than its response.
const arrivalInterval = 5 * time.Millisecond

// checkEnd returns io.EOF if the response ended cleanly, which is known once the peer has the whole request and has not reset the
// connection. The kernel reports a reset only once: if the request is just being written, the write fails, and a read returns the same
// io.EOF as at a clean end. A peer that ended its side before it had the request may have crashed as well: the reset follows when the
// next bytes of the request reach it. While it reads on, checkEnd waits; the end of the exchange closes the connection.
func (c *conn) checkEnd() error {
	r := c.request.Load()
	select {
	case <-r.ended:
	case <-c.closed:
		return &EarlyEndError{Cause: net.ErrClosed}
	}
	if err := r.failure(); err != nil {
		return &EarlyEndError{Cause: err}
	}
	for {
		arrived, err := requestArrived(c.Conn)
		switch {
		case err != nil:
			return &EarlyEndError{Cause: err}
		case arrived:
			return io.EOF
		}
		select {
		case <-time.After(arrivalInterval):
		case <-c.closed:
			return &EarlyEndError{Cause: net.ErrClosed}
		}
	}
}

// tcpClosed is the state TCP_CLOSE of a socket in Linux. The peer's end alone does not lead to it, a reset does.
const tcpClosed = 7

// requestArrived reports whether all bytes written to a connection have been acknowledged. It fails if the connection was reset or is
// closed. Connections other than TCP take over what is written, so there it returns true.
func requestArrived(c net.Conn) (bool, error) {
	tcp, ok := Find[*net.TCPConn](c)
	if !ok {
		return true, nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var failed error
	if err := raw.Control(func(fd uintptr) { info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false, err
	}
	switch {
	case errors.Is(failed, unix.ENOPROTOOPT), errors.Is(failed, unix.ENOSYS):
		return true, nil // the kernel does not tell
	case failed != nil:
		return false, failed
	case info.State == tcpClosed:
		return false, syscall.ECONNRESET
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}

// Find returns the first connection of type T among c and those that it uses, each of which the one above returns from NetConn.
func Find[T net.Conn](c net.Conn) (found T, ok bool) {
	for {
		if found, ok = c.(T); ok {
			return found, true
		}
		above, wraps := c.(interface{ NetConn() net.Conn })
		if !wraps {
			return found, false
		}
		c = above.NetConn()
	}
}
