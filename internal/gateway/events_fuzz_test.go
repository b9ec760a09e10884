package gateway

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"
)

// FuzzEvents guards against bytes of a target that end the process, and against a stream whose bytes depend on how it arrives.
func FuzzEvents(f *testing.F) {
	for _, data := range []string{"id: 1\ndata: a\n\nid: 2\nda", "\n\n\n", "\r\n\r\n", ":\n\n", "id:\n\n", "id: 1\r\ndata: a\r\n\r\n", "\x00\xff", ""} {
		f.Add([]byte(data))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, body := range []io.Reader{bytes.NewReader(data), iotest.OneByteReader(bytes.NewReader(data))} {
			var b eventBuffer
			var out []byte
			for buf := make([]byte, 64); ; {
				events, err := b.readFrom(body, buf)
				if len(events) > 0 && lastEventEnd(events) != len(events) {
					t.Fatalf("%q does not end with an event", events)
				}
				if end := lastEventEnd(b.remainder()); end != 0 {
					t.Fatalf("%q is held back although it ends an event", b.remainder()[:end])
				}
				_ = hasField(events)
				out = append(out, events...)
				if err != nil {
					break
				}
			}
			if out = append(out, b.remainder()...); !bytes.Equal(out, data) {
				t.Fatalf("got %q of %q", out, data)
			}
		}
	})
}
