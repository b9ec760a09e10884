package gateway

import (
	"bytes"
)

// eventBuffer cuts a stream into whole events and remembers the id of the last
// one taken.
type eventBuffer struct {
	buf    []byte
	lastID string
}

// add appends what came.
func (b *eventBuffer) add(p []byte) { b.buf = append(b.buf, p...) }

// take returns all whole events that have come, and keeps the rest.
func (b *eventBuffer) take() []byte {
	end := lastEventEnd(b.buf)
	if end == 0 {
		return nil
	}
	whole := b.buf[:end:end]
	b.buf = append([]byte(nil), b.buf[end:]...)
	if id := lastID(whole); id != "" {
		b.lastID = id
	}
	return whole
}

// rest returns what came after the last whole event.
func (b *eventBuffer) rest() []byte { return b.buf }

// reset forgets an unfinished event.
func (b *eventBuffer) reset() { b.buf = nil }

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

// lastID returns the last id field of whole events.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.Lines(events) {
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return id
}
