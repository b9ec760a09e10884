package callerconn

import (
	"errors"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// send sends what is held until nothing is left or the connection has failed.
func (c *Conn) send() {
	for {
		c.mu.Lock()
		if c.err != nil || len(c.chunks) == 0 {
			c.endSending()
			c.mu.Unlock()
			return
		}
		chunk := c.chunks[0]
		if len(c.chunks) == 1 { // further bytes go to another chunk, as this one is sent without the lock
			c.chunks[0] = chunk[:len(chunk):len(chunk)]
		}
		c.mu.Unlock()
		err := c.sendChunk(chunk)
		c.mu.Lock()
		switch {
		case c.err != nil:
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.stallLocked(reasonLate)
		case err != nil:
			c.fail(err)
		default:
			c.chunks[0] = nil
			c.chunks = c.chunks[1:]
			c.pool.release(1)
			c.lastRead.Store(time.Now().UnixNano())
		}
		c.mu.Unlock()
		select {
		case c.progress <- struct{}{}:
		default:
		}
	}
}

// sendChunk writes a chunk. It fails with os.ErrDeadlineExceeded if the caller reads too little after the deadline.
func (c *Conn) sendChunk(chunk []byte) error {
	for {
		unacked := c.unacked()
		c.mu.Lock()
		end := c.deadline // that of the next request, if one has begun on the connection
		c.mu.Unlock()
		late := time.Now().Add(lateWait)
		if end.Before(late) {
			end = late
		}
		_ = c.Conn.SetWriteDeadline(end) // fails only on a closed connection, as the write does
		n, err := c.Conn.Write(chunk)
		chunk = chunk[n:]
		if !errors.Is(err, os.ErrDeadlineExceeded) || unacked+n-c.unacked() < minLateBytes && time.Now().After(late) {
			return err
		}
	}
}

// unacked returns the number of bytes in the kernel that the caller's has not acknowledged.
func (c *Conn) unacked() int { return c.queued(unix.SIOCOUTQ) }

// arrived returns the number of bytes in the kernel that the server has not read.
func (c *Conn) arrived() int { return c.queued(unix.SIOCINQ) }

func (c *Conn) queued(request uint) int {
	n := 0
	_ = c.raw.Control(func(fd uintptr) { // fails only on a closed connection
		n, _ = unix.IoctlGetInt(int(fd), request) // as above
	})
	return n
}
