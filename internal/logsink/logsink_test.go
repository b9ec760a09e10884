package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func TestFullSinkDropsAndCounts(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	s := New(w)
	for range lines + 100 {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("write returned %d, %v", n, err)
		}
	}
	close(w.release)
	s.Close()
	got := w.buf.String()
	if !strings.Contains(got, "log_dropped") {
		t.Error("dropped lines are not told of")
	}
	if n := strings.Count(got, "line\n"); n < lines || n > lines+1 {
		t.Errorf("%d lines written", n)
	}
}
