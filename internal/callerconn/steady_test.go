package callerconn

import (
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
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

// TestCallerThatReadsMeanwhileIsNotReset guards against a connection being reset for another one's room although its caller has
// made room, or its buffer has come into use, since it was chosen.
func TestCallerThatReadsMeanwhileIsNotReset(t *testing.T) {
	for _, reads := range []bool{true, false} {
		log, _ := test.NewNullLogger()
		p := NewPool(1<<20, log, tally.NoopScope)
		p.used.Store(p.bound)
		near, far := net.Pipe()
		defer func() { _ = far.Close() }()
		c := &Conn{Conn: near, pool: p}
		p.conns[c] = true
		c.mu.Lock() // as a write does
		made := make(chan struct{})
		go func() {
			defer close(made)
			p.makeRoom(nil, 0, time.Now())
		}()
		time.Sleep(50 * time.Millisecond) // until it waits for c.mu
		if reads {
			c.lastRead.Store(time.Now().UnixNano())
		}
		c.mu.Unlock()
		<-made
		if reason := c.Stalled(); (reason == "") != reads {
			t.Errorf("read meanwhile %v: reset with reason %q", reads, reason)
		}
	}
}
