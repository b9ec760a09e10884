package gateway

import (
	"errors"
	"strings"
	"testing"
	"time"
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

// timeOfParts returns how long it takes to add a text n times in small parts, for several fresh buffers. It is the least of five runs.
func timeOfParts(n, buffers int) time.Duration {
	part := []byte(strings.Repeat("x", 512))
	least := time.Hour
	for range 5 {
		began := time.Now()
		for range buffers {
			var b eventBuffer
			for range n {
				b.add(part)
				b.takeComplete()
			}
		}
		least = min(least, time.Since(began))
	}
	return least
}

// TestTimeOfLongEventIsProportional guards against each part of a long event having the whole searched again: targets that send without
// end would take a host's processors.
func TestTimeOfLongEventIsProportional(t *testing.T) {
	short, long := timeOfParts(64, 8), timeOfParts(512, 1)
	if long > 3*short {
		t.Errorf("one event of 256 KB takes %v, eight of 32 KB take %v", long, short)
	}
}
