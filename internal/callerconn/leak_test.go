package callerconn

import (
	"io"
	"runtime"
	"testing"
	"time"
)

// settledGoroutines returns the number of goroutines once those of earlier tests have ended.
func settledGoroutines() int {
	n, since := runtime.NumGoroutine(), time.Now()
	for end := time.Now().Add(20 * time.Second); time.Since(since) < time.Second && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if m := runtime.NumGoroutine(); m != n {
			n, since = m, time.Now()
		}
	}
	return n
}

// TestNoGoroutineOutlivesItsConnection guards against senders that are left behind when callers read nothing, leave amid a response or
// read all of it.
func TestNoGoroutineOutlivesItsConnection(t *testing.T) {
	r := startRig(t, 4<<20, 400_000, 500*time.Millisecond)
	before := settledGoroutines()
	for i := range 60 {
		c := r.dial(t, "HTTP/1.1")
		switch i % 3 {
		case 0:
			_, _ = io.CopyN(io.Discard, c, 10_000)
			_ = c.Close()
		case 1:
			go func() { _, _ = io.Copy(io.Discard, c) }()
		}
	}
	time.Sleep(100 * time.Millisecond)
	if during := runtime.NumGoroutine(); during < before+20 {
		t.Errorf("%d goroutines with 20 stalled callers, %d before", during, before)
	}
	for end := time.Now().Add(15 * time.Second); runtime.NumGoroutine() > before || r.pool.Used() > 0; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d goroutines, %d before; %d bytes held", runtime.NumGoroutine(), before, r.pool.Used())
		}
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	if len(r.pool.conns)+len(r.pool.open) > 0 {
		t.Errorf("%d connections hold bytes, %d are open", len(r.pool.conns), len(r.pool.open))
	}
}
