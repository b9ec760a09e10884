package peer

import (
	"encoding/binary"
	"errors"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// TestAnnouncedBytesTakeNoMemory guards against connections that announce a large message each, and send nothing of it, filling a host.
func TestAnnouncedBytesTakeNoMemory(t *testing.T) {
	const (
		connections = 40
		most        = 8 << 20
	)
	_, l := startServer(t)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range connections {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := c.Write(binary.AppendUvarint(nil, MaxMessageBytes)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(300 * time.Millisecond) // for the server to read
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n := int(after.HeapAlloc - before.HeapAlloc); n > most {
		t.Errorf("%d MB are held, want %d at most", n>>20, most>>20)
	}
}

// TestEndlessAnswerOfAPeerIsCut guards against the bytes without end of whatever has a host's address filling the host that calls it.
func TestEndlessAnswerOfAPeerIsCut(t *testing.T) {
	const most = 8 * MaxMessageBytes
	for name, text := range map[string]string{"text": "garbage ", "lengths without end": "\xff", "large message": string(binary.AppendUvarint(nil, MaxMessageBytes)) + strings.Repeat(" ", MaxMessageBytes)} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return // closed at the end of the test
				}
				go func() {
					defer c.Close()
					for block := []byte(strings.Repeat(text, max(1, 64<<10/len(text)))); err == nil; {
						_, err = c.Write(block)
					}
				}()
			}
		}()
		c := NewClient(ID{Name: "a", Incarnation: "1"}, testSecret, oneAddress(l.Addr().String()), tally.NoopScope)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err = c.Call(t.Context(), "b", "test.echo", "x", nil)
		runtime.ReadMemStats(&after)
		var unreachable *UnreachableError
		if n := after.TotalAlloc - before.TotalAlloc; n > most || !errors.As(err, &unreachable) {
			t.Errorf("%s: %d MB, error %v, want %d MB at most and an *UnreachableError", name, n>>20, err, most>>20)
		}
		c.Close()
		l.Close()
	}
}
