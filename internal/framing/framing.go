// Package framing lets only requests through whose extent is beyond doubt. A
// request that two parsers could cut at different places could carry another
// one past this host's checks, so it is refused before it is parsed.
package framing

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"strings"
)

// Listener wraps the connections of a listener.
type Listener struct {
	net.Listener
	// MaxHead bounds the head of a request, in bytes.
	MaxHead int
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, maxHead: l.MaxHead}, nil
}

// phase says what is due next on a connection.
type phase int

const (
	inHead phase = iota
	inBody
	inChunkSize
	inChunkData
	inTrailer
	broken // nothing more is let through
)

// conn checks what it reads. It keeps its state over reads that end early, as
// the server ends one to learn whether the caller is still there.
type conn struct {
	net.Conn
	maxHead int

	raw   []byte // read and not yet checked
	out   []byte // checked and not yet handed out
	phase phase
	left  int64 // bytes of the body or chunk still to come, with the line end of a chunk
	err   error
}

// malformed is what the server gets in place of a head that is refused; it
// answers it with status 400 in its turn and closes the connection.
var malformed = []byte("\x00\r\n\r\n")

// readBytes is the size of a read.
const readBytes = 8 << 10

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.out) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		buf := make([]byte, readBytes)
		n, err := c.Conn.Read(buf)
		c.raw = append(c.raw, buf[:n]...)
		for c.advance() {
		}
		if err != nil {
			if len(c.out) > 0 {
				break // the error comes again
			}
			return 0, err
		}
	}
	n := copy(p, c.out)
	c.out = c.out[n:]
	return n, nil
}

// advance checks the next piece of raw and reports whether there may be more to
// check.
func (c *conn) advance() bool {
	if len(c.raw) == 0 {
		return false
	}
	switch c.phase {
	case inHead:
		return c.head()
	case inBody:
		if c.pass() && c.left == 0 {
			c.phase = inHead
		}
	case inChunkSize:
		return c.chunkSize()
	case inChunkData:
		return c.chunkData()
	case inTrailer:
		return c.trailer()
	case broken:
		c.raw = nil
	}
	return len(c.raw) > 0
}

// pass hands out as much of a body as has come.
func (c *conn) pass() bool {
	n := min(int64(len(c.raw)), c.left)
	c.out = append(c.out, c.raw[:n]...)
	c.raw, c.left = c.raw[n:], c.left-n
	return true
}

// refuse ends the connection: in a head with an answer, in a body without.
func (c *conn) refuse() bool {
	if c.phase == inHead {
		c.out = append(c.out, malformed...)
	}
	c.phase, c.raw, c.err = broken, nil, io.ErrUnexpectedEOF
	return false
}

var headEnd = []byte("\r\n\r\n")

func (c *conn) head() bool {
	end := bytes.Index(c.raw, headEnd)
	if end < 0 {
		if len(c.raw) > c.maxHead {
			// The server has its own bound and answers with its status.
			c.out, c.raw, c.phase, c.err = append(c.out, c.raw...), nil, broken, io.ErrUnexpectedEOF
		}
		return false
	}
	length, chunked, ok := extent(c.raw[:end])
	if !ok {
		return c.refuse()
	}
	c.out = append(c.out, c.raw[:end+len(headEnd)]...)
	c.raw = c.raw[end+len(headEnd):]
	switch {
	case chunked:
		c.phase = inChunkSize
	case length > 0:
		c.phase, c.left = inBody, length
	}
	return len(c.raw) > 0
}

// extent returns how the body of a head is delimited, and whether that is
// beyond doubt.
func extent(head []byte) (length int64, chunked, ok bool) {
	lines := strings.Split(string(head), "\r\n")
	lengths := 0
	for i, line := range lines {
		if line == "" || strings.ContainsAny(line, "\r\n\x00") {
			return 0, false, false
		}
		if i == 0 {
			continue
		}
		name, value, found := strings.Cut(line, ":")
		if !found || name == "" || strings.ContainsAny(name, " \t") {
			return 0, false, false // also a folded line
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
			n, err := strconv.ParseUint(value, 10, 62)
			if err != nil {
				return 0, false, false
			}
			length = int64(n)
		case "transfer-encoding":
			if chunked || !strings.EqualFold(value, "chunked") {
				return 0, false, false
			}
			chunked = true
		}
	}
	if lengths > 1 || (chunked && lengths > 0) {
		return 0, false, false
	}
	return length, chunked, true
}

// maxSizeLine bounds the line before a chunk.
const maxSizeLine = 18

func (c *conn) chunkSize() bool {
	end := bytes.Index(c.raw, []byte("\r\n"))
	if end < 0 {
		if len(c.raw) > maxSizeLine {
			return c.refuse()
		}
		return false
	}
	size, err := strconv.ParseUint(string(c.raw[:end]), 16, 40)
	if err != nil || end > maxSizeLine-2 || c.raw[0] == '+' {
		return c.refuse()
	}
	c.out = append(c.out, c.raw[:end+2]...)
	c.raw = c.raw[end+2:]
	if size == 0 {
		c.phase = inTrailer
	} else {
		c.phase, c.left = inChunkData, int64(size)+2
	}
	return len(c.raw) > 0
}

func (c *conn) chunkData() bool {
	if c.left > 2 {
		n := min(int64(len(c.raw)), c.left-2)
		c.out = append(c.out, c.raw[:n]...)
		c.raw, c.left = c.raw[n:], c.left-n
		return len(c.raw) > 0
	}
	if len(c.raw) < 2 {
		return false
	}
	if c.raw[0] != '\r' || c.raw[1] != '\n' {
		return c.refuse()
	}
	c.out = append(c.out, '\r', '\n')
	c.raw, c.phase = c.raw[2:], inChunkSize
	return len(c.raw) > 0
}

// trailer lets the end of a chunked body through, without fields.
func (c *conn) trailer() bool {
	if len(c.raw) < 2 {
		return false
	}
	if c.raw[0] != '\r' || c.raw[1] != '\n' {
		return c.refuse()
	}
	c.out = append(c.out, '\r', '\n')
	c.raw, c.phase = c.raw[2:], inHead
	return len(c.raw) > 0
}
