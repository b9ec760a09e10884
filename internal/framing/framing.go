// Package framing rejects HTTP requests with ambiguous framing before the server
// parses them. If two parsers could disagree on where a request ends, another
// request could be smuggled past this host's checks.
package framing

import (
	"bytes"
	"io"
	"net"
	"strconv"
	"strings"
)

// Listener checks the framing of the requests on its connections.
type Listener struct {
	net.Listener
	// MaxHeaderBytes limits the header of a request, including the request line. A header with more than one line for each 100 of
	// them is refused too.
	MaxHeaderBytes int
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, maxHeaderBytes: l.MaxHeaderBytes}, nil
}

// phase is the part of a request that is expected next on a connection.
type phase int

const (
	inHeader phase = iota
	inBody
	inChunkSize
	inChunkData
	inTrailer
	broken // no further bytes are passed on
)

// conn checks the bytes that it reads. It keeps its state across interrupted
// reads, as the server aborts the background read by which it detects a closed
// connection.
type conn struct {
	net.Conn
	maxHeaderBytes int

	unchecked []byte // read and not yet checked
	checked   []byte // checked and not yet returned by Read
	phase     phase
	remaining int64 // remaining bytes of the body or chunk, including the CRLF after a chunk
	err       error
}

// malformedHeader is passed to the server instead of a rejected header. The server
// responds with status 400, after the responses to earlier requests, and closes
// the connection.
var malformedHeader = []byte("\x00\r\n\r\n")

// NetConn returns the connection whose bytes are checked.
func (c *conn) NetConn() net.Conn { return c.Conn }

// readSize is the buffer size of a read from the connection.
const readSize = 8 << 10

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for len(c.checked) == 0 {
		if c.err != nil {
			return 0, c.err
		}
		buf := make([]byte, readSize)
		n, err := c.Conn.Read(buf)
		c.unchecked = append(c.unchecked, buf[:n]...)
		for c.advance() {
		}
		if err != nil {
			if len(c.checked) > 0 {
				break // the next read returns the error again
			}
			return 0, err
		}
	}
	n := copy(p, c.checked)
	c.checked = c.checked[n:]
	return n, nil
}

// advance checks the next part of the unchecked bytes, and reports whether further
// bytes may be checked.
func (c *conn) advance() bool {
	if len(c.unchecked) == 0 {
		return false
	}
	switch c.phase {
	case inHeader:
		return c.checkHeader()
	case inBody:
		if c.passBody() && c.remaining == 0 {
			c.phase = inHeader
		}
	case inChunkSize:
		return c.checkChunkSize()
	case inChunkData:
		return c.checkChunkData()
	case inTrailer:
		return c.checkTrailer()
	case broken:
		c.unchecked = nil
	}
	return len(c.unchecked) > 0
}

// passBody passes on the received bytes of a body. It always returns true.
func (c *conn) passBody() bool {
	n := min(int64(len(c.unchecked)), c.remaining)
	c.checked = append(c.checked, c.unchecked[:n]...)
	c.unchecked, c.remaining = c.unchecked[n:], c.remaining-n
	return true
}

// reject ends the connection. In a header it makes the server respond with status
// 400; in a body there is no response. It always returns false.
func (c *conn) reject() bool {
	if c.phase == inHeader {
		c.checked = append(c.checked, malformedHeader...)
	}
	c.phase, c.unchecked, c.err = broken, nil, io.ErrUnexpectedEOF
	return false
}

var headerEnd = []byte("\r\n\r\n")

// bytesPerField is the memory that a field takes besides its own bytes. That of all fields has the limit of the header's bytes too.
const bytesPerField = 100

func (c *conn) checkHeader() bool {
	end := bytes.Index(c.unchecked, headerEnd)
	if end < 0 {
		if len(c.unchecked) > c.maxHeaderBytes {
			// The server has a limit of its own and responds with the status for it.
			c.checked, c.unchecked, c.phase, c.err = append(c.checked, c.unchecked...), nil, broken, io.ErrUnexpectedEOF
		}
		return false
	}
	length, chunked, ok := bodyFraming(c.unchecked[:end])
	if !ok || bytes.Count(c.unchecked[:end], headerEnd[:2]) > c.maxHeaderBytes/bytesPerField {
		return c.reject()
	}
	c.checked = append(c.checked, c.unchecked[:end+len(headerEnd)]...)
	c.unchecked = c.unchecked[end+len(headerEnd):]
	switch {
	case chunked:
		c.phase = inChunkSize
	case length > 0:
		c.phase, c.remaining = inBody, length
	}
	return len(c.unchecked) > 0
}

// bodyFraming returns how the body after a header is delimited, and whether that
// is unambiguous.
func bodyFraming(header []byte) (length int64, chunked, ok bool) {
	lines := strings.Split(string(header), "\r\n")
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
			return 0, false, false // this includes folded lines
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

// maxChunkSizeLine limits the line before a chunk, including CRLF.
const maxChunkSizeLine = 18

func (c *conn) checkChunkSize() bool {
	end := bytes.Index(c.unchecked, []byte("\r\n"))
	if end < 0 {
		if len(c.unchecked) > maxChunkSizeLine {
			return c.reject()
		}
		return false
	}
	size, err := strconv.ParseUint(string(c.unchecked[:end]), 16, 40)
	if err != nil || end > maxChunkSizeLine-2 || c.unchecked[0] == '+' {
		return c.reject()
	}
	c.checked = append(c.checked, c.unchecked[:end+2]...)
	c.unchecked = c.unchecked[end+2:]
	if size == 0 {
		c.phase = inTrailer
	} else {
		c.phase, c.remaining = inChunkData, int64(size)+2
	}
	return len(c.unchecked) > 0
}

func (c *conn) checkChunkData() bool {
	if c.remaining > 2 {
		n := min(int64(len(c.unchecked)), c.remaining-2)
		c.checked = append(c.checked, c.unchecked[:n]...)
		c.unchecked, c.remaining = c.unchecked[n:], c.remaining-n
		return len(c.unchecked) > 0
	}
	if len(c.unchecked) < 2 {
		return false
	}
	if c.unchecked[0] != '\r' || c.unchecked[1] != '\n' {
		return c.reject()
	}
	c.checked = append(c.checked, '\r', '\n')
	c.unchecked, c.phase = c.unchecked[2:], inChunkSize
	return len(c.unchecked) > 0
}

// checkTrailer passes on the end of a chunked body. It rejects trailer fields.
func (c *conn) checkTrailer() bool {
	if len(c.unchecked) < 2 {
		return false
	}
	if c.unchecked[0] != '\r' || c.unchecked[1] != '\n' {
		return c.reject()
	}
	c.checked = append(c.checked, '\r', '\n')
	c.unchecked, c.phase = c.unchecked[2:], inHeader
	return len(c.unchecked) > 0
}
