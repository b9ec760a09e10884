package callerconn

import (
	"testing"
	"time"
)

// TestSteadyCallerIsServedWhileOthersTakeRoom guards against a caller that reads steadily being broken off because others have
// taken the room that it would need for more: what it may hold shrinks faster than it reads.
func TestSteadyCallerIsServedWhileOthersTakeRoom(t *testing.T) {
	const size = 2_000_000
	r := startRig(t, 2<<20, size, time.Minute)
	type result struct {
		n   int
		err error
	}
	steady := make(chan result, 1)
	caller := r.dial(t, "HTTP/1.1")
	go func() {
		n, err := readAll(caller, 16<<10, 100*time.Millisecond) // 160 KB a second
		steady <- result{n, err}
	}()
	for end := time.Now().Add(10 * time.Second); r.pool.Used() < 900_000; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes held", r.pool.Used())
		}
	}
	// Another connection holds most of the rest.
	for r.pool.used.Load() < r.pool.bound-64<<10 {
		r.pool.used.Add(chunkBytes)
	}
	if got := <-steady; got.n != size || got.err != nil {
		t.Errorf("the caller got %d of %d bytes, %v", got.n, size, got.err)
	}
}

// TestCallerThatReadsNeedsNoRoom guards against a caller that reads at once being broken off because the buffers of the host
// are full: the socket takes its response.
func TestCallerThatReadsNeedsNoRoom(t *testing.T) {
	const size = 1_000_000
	r := startRig(t, 2<<20, size, time.Minute)
	r.pool.used.Store(r.pool.bound)
	if n, err := readAll(r.dial(t, "HTTP/1.1"), 64<<10, time.Millisecond); n != size || err != nil {
		t.Errorf("the caller got %d of %d bytes, %v", n, size, err)
	}
}
