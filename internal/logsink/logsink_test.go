package logsink

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buf     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func TestFullSinkDropsAndCounts(t *testing.T) {
	w := &blockedWriter{release: make(chan struct{})}
	s := New(w)
	for range queueLines + 100 {
		if n, err := s.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatalf("write returned %d, %v", n, err)
		}
	}
	close(w.release)
	s.Close()
	got := w.buf.String()
	if !strings.Contains(got, "log_dropped") {
		t.Error("dropped lines are not reported")
	}
	if n := strings.Count(got, "line\n"); n < queueLines || n > queueLines+1 {
		t.Errorf("%d lines written, want as many as the queue holds or one more", n)
	}
}

// TestDroppedLinesAreReportedAtTheEnd guards against a log that lacks lines and does not say so, as none follows the last one that was dropped.
func TestDroppedLinesAreReportedAtTheEnd(t *testing.T) {
	for _, dropped := range []int64{0, 3} {
		var buf bytes.Buffer
		s := New(&buf)
		s.dropped.Add(dropped) // by a Write that found the queue full just before the other lines were written
		s.Close()
		if got := strings.Contains(buf.String(), `"lines":3`); got != (dropped > 0) {
			t.Errorf("%d lines dropped: log %q", dropped, buf.String())
		}
	}
}
