package gateway

import (
	"bytes"
	"io"
)

// eventBuffer splits a stream of server-sent events into complete events and
// records the id of the last one taken.
type eventBuffer struct {
	buf      []byte
	searched int // bytes at the beginning of buf in which no event ends
	position
}

// position is how far a stream has come.
type position struct {
	lastID string
	count  int // events taken that have an id
}

// add appends received bytes.
func (b *eventBuffer) add(p []byte) { b.buf = append(b.buf, p...) }

// takeComplete removes and returns all complete events.
func (b *eventBuffer) takeComplete() []byte {
	from := max(0, b.searched-(maxEventEnd-1)) // an event may end across the border
	end := lastEventEnd(b.buf[from:])
	if end == 0 {
		b.searched = len(b.buf)
		return nil
	}
	end += from
	events := b.buf[:end:end]
	b.buf = append([]byte(nil), b.buf[end:]...)
	b.searched = len(b.buf)
	if id, n := eventIDs(events); n > 0 {
		b.lastID = id
		b.count += n
	}
	return events
}

// readFrom reads on in a stream and returns the events that are complete by now. It fails with *OversizedResponseError, or
// as the read did; events may be returned beside an error. Line breaks that end no event are kept too, so they count.
func (b *eventBuffer) readFrom(body io.Reader, buf []byte) (events []byte, err error) {
	n, err := body.Read(buf)
	b.add(buf[:n])
	events = b.takeComplete()
	if err == nil && len(b.buf) > maxEventBytes {
		err = &OversizedResponseError{Part: "event", Limit: maxEventBytes}
	}
	return events, err
}

// remainder returns the bytes after the last complete event.
func (b *eventBuffer) remainder() []byte { return b.buf }

// partialBytes returns the length of the incomplete event at the end. Blank lines between events
// belong to none.
func (b *eventBuffer) partialBytes() int { return len(bytes.TrimLeft(b.buf, "\r\n")) }

// reset discards an incomplete event.
func (b *eventBuffer) reset() { b.buf, b.searched = nil, 0 }

// maxEventEnd is the length of the longest mark of an event's end.
const maxEventEnd = 4

// lastEventEnd returns the position after the last blank line.
func lastEventEnd(p []byte) int {
	end := 0
	if i := bytes.LastIndex(p, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(p, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// hasField reports whether events have a field. Blank lines and comments, which a stalled target may go on sending, have none.
func hasField(events []byte) bool {
	for line := range bytes.Lines(events) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// eventIDs returns the value of the last id field that has one, and the number of these fields.
func eventIDs(events []byte) (last string, n int) {
	for line := range bytes.Lines(events) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			if id := bytes.TrimSpace(v); len(id) > 0 {
				last, n = string(id), n+1
			}
		}
	}
	return last, n
}
