package target

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"testing"
	"time"
)

// TestBodyToEngineThatDoesNotReadIsBounded guards against a request, with its body in memory, that is held beyond its deadline by an
// engine that reads nothing, or a byte now and then.
func TestBodyToEngineThatDoesNotReadIsBounded(t *testing.T) {
	for name, pause := range map[string]time.Duration{"reads nothing": time.Hour, "reads slowly": 10 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			closed := make(chan bool, 1)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return // closed at the end of the test
				}
				defer c.Close()
				until := time.Now().Add(400 * time.Millisecond)
				for buf := make([]byte, 1); time.Now().Before(until); {
					_, _ = c.Read(buf)
					time.Sleep(min(pause, time.Until(until)))
				}
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				buf := make([]byte, 64<<10)
				for err = nil; err == nil; {
					_, err = c.Read(buf)
				}
				closed <- !errors.Is(err, os.ErrDeadlineExceeded)
			}()
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			c := NewClient()
			defer c.Close()
			began := time.Now()
			_, err = c.Forward(ctx, l.Addr().String(), ForwardRequest{ID: "a", Method: http.MethodPost, URI: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 32<<20)},
				func(int, http.Header) string { return "" })
			var unknown *UnknownOutcomeError
			if took := time.Since(began); !errors.As(err, &unknown) || took > 2*time.Second {
				t.Errorf("ended after %v with %v, want an unknown outcome at the deadline", took, err)
			}
			if !<-closed {
				t.Error("the connection is left open")
			}
		})
	}
}
