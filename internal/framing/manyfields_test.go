package framing

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// requestHead returns a complete head of a request with fields short ones.
func requestHead(fields int) string {
	var head strings.Builder
	head.WriteString("GET / HTTP/1.1\r\nHost: a\r\n")
	for i := range fields {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	return head.String() + "\r\n"
}

// TestHeadsOfManyFieldsAreRefused guards against heads that keep the limit of bytes, and take fifteen times as much memory for their fields.
func TestHeadsOfManyFieldsAreRefused(t *testing.T) {
	const (
		maxHeaderBytes = 64 << 10
		connections    = 50
		most           = connections * 3 * maxHeaderBytes
	)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{MaxHeaderBytes: maxHeaderBytes, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" && len(r.Header) > 1000 {
			<-r.Context().Done() // as a request that runs for long
		}
	})}
	defer s.Close()
	go func() { _ = s.Serve(Listener{Listener: l, MaxHeaderBytes: maxHeaderBytes}) }() // until Close
	send := func(text string) net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		return c
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range connections {
		send(requestHead(10_000))
	}
	time.Sleep(500 * time.Millisecond) // for the server to read
	runtime.GC()
	runtime.ReadMemStats(&after)
	if n := int(after.HeapAlloc - before.HeapAlloc); n > most {
		t.Errorf("%d heads hold %d MB, want %d at most", connections, n>>20, most>>20)
	}
	if resp, err := http.ReadResponse(bufio.NewReader(send(requestHead(600))), nil); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("a head of 600 fields: %v, error %v, want 200", resp, err)
	}
}
