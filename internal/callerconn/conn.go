package callerconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// Times for which callers may read nothing.
const (
	roomWait = 2 * time.Second // with a full buffer, for the next chunk; engines cut off responses that stay unread for some seconds
	// maxRoomWait replaces roomWait for callers that are reading.
	maxRoomWait = 4 * time.Second
	lateWait    = 4 * time.Second // after the deadline of the request, for minLateBytes; a receive window may open in steps of 64 KB
	minIdle     = time.Second     // before the connection is reset in favour of others
	roomPoll    = 20 * time.Millisecond
)

// minLateBytes is what a caller has to read in each lateWait, so that one that reads a byte now and then comes to an end.
const minLateBytes = 32 << 10

// Reasons of a StalledError.
const (
	reasonFull     = "caller does not read: its buffer is full"
	reasonLate     = "caller does not read: the deadline has passed"
	reasonHostFull = "caller does not read: the buffers of the host are full"
	reasonStopped  = "caller does not read: the host stops"
)

// StalledError reports a connection that was reset since its caller did not read on.
type StalledError struct {
	Reason string
}

func (e *StalledError) Error() string { return e.Reason }

// Conn is a connection to a caller. Write and Close do not wait for the caller until the buffer is full. Close sends what is held first.
type Conn struct {
	net.Conn
	raw  syscall.RawConn
	pool *Pool
	used atomic.Bool // bytes of a request were read
	// unanswered is set while bytes of a request have been read and nothing was written since. The server may still take the
	// connection for idle.
	unanswered atomic.Bool

	mu       sync.Mutex
	chunks   [][]byte // held, in order; only the last one may have room
	sending  bool     // send runs, and alone writes to the socket
	closing  bool
	spared   bool  // the first Close had no effect
	err      error // of all further writes
	progress chan struct{}
	lastRead atomic.Int64 // when the caller last made room, in nanoseconds; set while send runs
	most     int          // bytes held at most during the request
	id       string
	deadline time.Time
	// Arguments and results of writeOnce, which is one allocation for all writes.
	attempt    []byte
	attempted  int
	attemptErr error
	once       func(fd uintptr) bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.used.Store(true)
		c.unanswered.Store(true)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.unanswered.Store(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return 0, c.err
	}
	if c.closing {
		return 0, net.ErrClosed
	}
	n := 0
	if !c.sending {
		var err error
		if n, err = c.writeNow(p); err != nil || n == len(p) {
			return n, err
		}
	}
	held, err := c.hold(p[n:])
	return n + held, err
}

// writeNow writes what the socket takes without waiting. The caller must hold c.mu.
func (c *Conn) writeNow(p []byte) (int, error) {
	c.attempt, c.attempted, c.attemptErr = p, 0, nil
	err := c.raw.Write(c.once)
	c.attempt = nil
	if err == nil {
		err = c.attemptErr
	}
	return c.attempted, err
}

// writeOnce is called by syscall.RawConn.Write. It always returns true: the socket is not waited for.
func (c *Conn) writeOnce(fd uintptr) bool {
	for c.attempted < len(c.attempt) {
		n, err := syscall.Write(int(fd), c.attempt[c.attempted:])
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN):
			return true
		case err != nil:
			c.attemptErr = os.NewSyscallError("write", err)
			return true
		}
		c.attempted += n
	}
	return true
}

// hold copies p to the buffer, and waits for room if it is full. The caller must hold c.mu, which is released meanwhile.
func (c *Conn) hold(p []byte) (int, error) {
	n, added := 0, 0
	var wait roomWaiting
	for n < len(p) {
		last := len(c.chunks) - 1
		if last < 0 || len(c.chunks[last]) == cap(c.chunks[last]) {
			if !c.pool.take(int64(len(c.chunks))*chunkBytes, wait.exempt) {
				if !c.awaitRoom(&wait) {
					return n, c.err
				}
				if c.sending {
					continue
				}
				m, err := c.writeNow(p[n:]) // the caller may have read on
				if n += m; err != nil {
					return n, err
				}
				if m > 0 {
					wait = roomWaiting{}
				}
				continue
			}
			c.chunks = append(c.chunks, make([]byte, 0, chunkBytes))
			last++
		}
		m := min(len(p)-n, cap(c.chunks[last])-len(c.chunks[last]))
		c.chunks[last] = append(c.chunks[last], p[n:n+m]...)
		if n, added = n+m, added+m; added >= chunkBytes {
			added, wait = 0, roomWaiting{}
		}
		c.most = max(c.most, c.held())
		if !c.startSending() {
			return n, c.err
		}
	}
	return n, nil
}

// held returns the number of bytes in the buffer. The caller must hold c.mu.
func (c *Conn) held() int {
	if len(c.chunks) == 0 {
		return 0
	}
	return (len(c.chunks)-1)*chunkBytes + len(c.chunks[len(c.chunks)-1])
}

// awaitRoom waits until there may be room, and returns false if the connection has failed. The caller must hold c.mu, which
// is released meanwhile.
func (c *Conn) awaitRoom(wait *roomWaiting) bool {
	left := wait.left(time.Now(), time.Unix(0, c.lastRead.Load()))
	if left <= 0 {
		c.stallLocked(reasonFull)
		return false
	}
	held := int64(len(c.chunks)) * chunkBytes
	c.mu.Unlock()
	c.pool.makeRoom(c, held, time.Now())
	timer := time.NewTimer(min(left, roomPoll)) // other connections may make room
	select {
	case <-c.progress:
	case <-timer.C:
	}
	timer.Stop()
	c.mu.Lock()
	return c.err == nil
}

// startSending starts send if it does not run. It returns false if the connection has failed. The caller must hold c.mu.
func (c *Conn) startSending() bool {
	if c.sending {
		return true
	}
	c.lastRead.Store(time.Now().UnixNano()) // before others see the connection
	if !c.pool.add(c) {
		c.stallLocked(reasonStopped)
		return false
	}
	c.pool.scope.Counter("callers_slow").Inc(1)
	c.sending = true
	go c.send()
	return true
}

// endSending ends send. The caller must hold c.mu.
func (c *Conn) endSending() {
	c.sending = false
	c.pool.remove(c)
	if c.err == nil {
		_ = c.Conn.SetWriteDeadline(time.Time{}) // as above
	}
	if c.closing { // the server has ended the connection
		_ = c.Conn.Close() // closing twice is harmless
	}
}

// fail makes all writes fail and frees the buffer. The caller must hold c.mu.
func (c *Conn) fail(err error) {
	c.err = err
	c.pool.release(len(c.chunks))
	c.chunks = nil
}

// stall resets the connection because its caller does not read.
func (c *Conn) stall(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stallLocked(reason)
}

// stallIfIdleSince resets the connection in favour of others unless its caller has made room, or its buffer has come into use,
// after a time in nanoseconds.
func (c *Conn) stallIfIdleSince(at int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRead.Load() == at {
		c.stallLocked(reasonHostFull)
	}
}

func (c *Conn) stallLocked(reason string) {
	if c.err != nil {
		return
	}
	unread := c.held()
	c.fail(&StalledError{Reason: reason})
	c.setReset(true)
	_ = c.Conn.Close() // its error changes nothing
	c.pool.scope.Tagged(map[string]string{"reason": reason}).Counter("callers_stalled").Inc(1)
	c.pool.log.WithFields(logrus.Fields{"event": "caller_stalled", "id": c.id, "unread_bytes": unread, "buffers_bytes": c.pool.Used()}).Warn(reason)
}

// Close implements net.Conn. What is held is sent first, as if the connection were still open. During a planned stop, the first
// call leaves a connection open on which a request has arrived; the server closes it again after its response.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closing && !c.spared && c.pool.spares(c) {
		c.spared = true
		return nil
	}
	c.pool.forget(c)
	c.closing = true
	if c.sending && c.err == nil {
		return nil
	}
	return c.Conn.Close()
}

// SetWriteDeadline implements net.Conn. It does nothing: the HTTP server would replace the deadline that send sets.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline implements net.Conn. It sets the deadline of reads only.
func (c *Conn) SetDeadline(t time.Time) error { return c.Conn.SetReadDeadline(t) }

// setReset sets whether the end of the connection is a reset, also that by the end of the process. The caller must hold c.mu.
func (c *Conn) setReset(on bool) {
	seconds := -1
	if on {
		seconds = 0
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(seconds) // fails only on a closed connection
	}
}
