package gateway

import (
	"errors"
	"testing"
)

// repeating is a body that repeats a text without end.
type repeating struct {
	text string
	next int // index in text
}

func (r *repeating) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = r.text[r.next]
		r.next = (r.next + 1) % len(r.text)
	}
	return len(p), nil
}

// TestLineBreaksWithoutEndAreNotKept guards against a target's bytes without end that are neither an event nor counted as a part of
// one: a single request would take all memory.
func TestLineBreaksWithoutEndAreNotKept(t *testing.T) {
	for name, text := range map[string]string{"CR": "\r", "LF CR CR": "\n\r\r", "text": "x", "comment": ": c\r"} {
		var b eventBuffer
		buf := make([]byte, copyBufferBytes)
		body := &repeating{text: text}
		var err error
		for range 4 * maxEventBytes / copyBufferBytes {
			if _, err = b.readFrom(body, buf); err != nil {
				break
			}
		}
		var oversized *OversizedResponseError
		if !errors.As(err, &oversized) || len(b.remainder()) > 2*maxEventBytes {
			t.Errorf("%s: %d bytes are kept, error %v, want an *OversizedResponseError soon after %d", name, len(b.remainder()), err, maxEventBytes)
		}
	}
}
