package callerconn

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/uber-go/tally/v4"
)

// rig is a server whose handler writes a response of a number of bytes, in pieces like those of a stream.
type rig struct {
	address string
	pool    *Pool
	log     *test.Hook
	written chan time.Duration // how long each handler took
}

func startRig(t testing.TB, bound int64, size int, deadline time.Duration) *rig {
	t.Helper()
	log, hook := test.NewNullLogger()
	r := &rig{pool: NewPool(bound, log, tally.NoopScope), log: hook, written: make(chan time.Duration, 256)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = l.Addr().String()
	piece := bytes.Repeat([]byte("p"), 1000)
	server := &http.Server{ConnContext: NewContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		began := time.Now()
		conn := FromContext(req.Context())
		conn.BeginRequest(req.URL.Path, began.Add(deadline))
		conn.ResetAtEnd(!req.ProtoAtLeast(1, 1))
		for sent := 0; sent < size; sent += len(piece) {
			if _, err := w.Write(piece); err != nil {
				r.written <- time.Since(began)
				panic(http.ErrAbortHandler)
			}
			_ = http.NewResponseController(w).Flush()
		}
		conn.ResetAtEnd(false)
		r.written <- time.Since(began)
	})}
	go func() { _ = server.Serve(Listener{Listener: l, Pool: r.pool}) }() // ends with Close
	t.Cleanup(func() { _ = server.Close(); r.pool.Close() })
	return r
}

// dial opens a connection and sends a request.
func (r *rig) dial(t testing.TB, proto string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	tcp := c.(*net.TCPConn)
	_, _ = io.WriteString(tcp, "GET /slow "+proto+"\r\nHost: h\r\nConnection: close\r\n\r\n")
	return tcp
}

// readAll reads a response, and pauses after each part of it.
func readAll(c net.Conn, part int, pause time.Duration) (n int, err error) {
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, part), nil)
	if err != nil {
		return 0, err
	}
	buf := make([]byte, part)
	for {
		m, err := resp.Body.Read(buf)
		n += m
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
		time.Sleep(pause)
	}
}

// TestSlowCallerGetsEverything guards against a caller that reads slowly but steadily being broken off, also after the
// deadline and beyond its buffer, and against an engine's response staying unread meanwhile.
func TestSlowCallerGetsEverything(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for name, c := range map[string]struct {
			bound    int64
			deadline time.Duration
		}{"within the buffer": {32 << 20, 30 * time.Second}, "beyond the buffer": {256 << 10, 30 * time.Second}, "after the deadline": {32 << 20, 50 * time.Millisecond}} {
			t.Run(proto+" "+name, func(t *testing.T) {
				t.Parallel()
				const size = 1_000_000
				r := startRig(t, c.bound, size, c.deadline)
				conn := r.dial(t, proto)
				if c.bound > size { // the handler ends before the caller has read anything
					select {
					case <-r.written:
					case <-time.After(20 * time.Second):
						t.Fatal("the handler waits for its caller")
					}
				}
				if n, err := readAll(conn, 16<<10, 20*time.Millisecond); n != size || err != nil {
					t.Errorf("%d of %d bytes, %v", n, size, err)
				}
				if c.bound <= size {
					<-r.written
				}
				if used := r.pool.Used(); used != 0 {
					t.Errorf("%d bytes are still held", used)
				}
			})
		}
	}
}

// TestCallerThatStopsReadingIsBrokenOff guards against a response that looks complete, or is held without end, if its caller
// reads nothing: with a full buffer, and with one that is not full when the deadline passes.
func TestCallerThatStopsReadingIsBrokenOff(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for reason, c := range map[string]struct {
			bound    int64
			deadline time.Duration
		}{reasonFull: {256 << 10, time.Minute}, reasonLate: {32 << 20, time.Second}} {
			t.Run(proto+" "+reason, func(t *testing.T) {
				t.Parallel()
				r := startRig(t, c.bound, 900_000, c.deadline)
				caller := r.dial(t, proto)
				for end := time.Now().Add(20 * time.Second); r.log.LastEntry() == nil && time.Now().Before(end); {
					time.Sleep(10 * time.Millisecond)
				}
				last := r.log.LastEntry()
				if last == nil || last.Level != logrus.WarnLevel || last.Message != reason || last.Data["id"] != "/slow" || last.Data["unread_bytes"] == 0 {
					t.Fatalf("log line %v, want %q; held %d", last, reason, r.pool.Used())
				}
				if n, err := readAll(caller, 4<<10, 0); err == nil {
					t.Errorf("the response looks complete after %d bytes", n)
				}
				if used := r.pool.Used(); used != 0 {
					t.Errorf("%d bytes are still held", used)
				}
			})
		}
	}
}

// TestManySlowCallersStayWithinBound guards against slow callers filling the memory of a small host, and against callers
// beside them that read at normal speed finding no room.
func TestManySlowCallersStayWithinBound(t *testing.T) {
	const bound, size = 2 << 20, 1_000_000
	r := startRig(t, bound, size, time.Minute)
	for range 100 {
		r.dial(t, "HTTP/1.1")
	}
	var wg sync.WaitGroup
	for range 10 {
		wg.Go(func() {
			if n, err := readAll(r.dial(t, "HTTP/1.1"), 64<<10, 0); n != size || err != nil {
				t.Errorf("a caller that reads got %d of %d bytes, %v", n, size, err)
			}
		})
	}
	most := int64(0)
	served := make(chan struct{})
	go func() { wg.Wait(); close(served) }()
	for running := true; running; {
		most = max(most, r.pool.Used())
		select {
		case <-served:
			running = false
		case <-time.After(time.Millisecond):
		}
	}
	if most > bound || most < bound/2 {
		t.Errorf("%d bytes held at most, want up to %d and most of it in use", most, bound)
	}
}

// TestBoundFollowsMemory guards against buffers that grow beyond the host's part, also where its memory is not known.
func TestBoundFollowsMemory(t *testing.T) {
	for _, memory := range []int64{0, 144, 536} {
		p := NewPool(Bound(memory), logrus.New(), tally.NoopScope)
		for p.take(0, false) {
		}
		if used := p.Used(); used > Bound(memory) || used < 16<<20 {
			t.Errorf("%d MB: %d bytes in use, want 16 MB at least and %d at most", memory, used, Bound(memory))
		}
	}
}

// BenchmarkStream measures a stream of 50 events to a caller that reads at once, over the HTTP server.
func BenchmarkStream(b *testing.B) {
	event := bytes.Repeat([]byte("e"), 200)
	for _, buffered := range []bool{false, true} {
		b.Run(map[bool]string{false: "plain", true: "callerconn"}[buffered], func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for range 50 {
					_, _ = w.Write(event) // the caller does not leave
					_ = http.NewResponseController(w).Flush()
				}
			})}
			defer func() { _ = server.Close() }()
			from := l
			if buffered {
				from = Listener{Listener: l, Pool: NewPool(1<<24, logrus.New(), tally.NoopScope)}
			}
			go func() { _ = server.Serve(from) }() // ends with Close
			b.ReportAllocs()
			for b.Loop() {
				resp, err := http.Get("http://" + l.Addr().String())
				if err != nil {
					b.Fatal(err)
				}
				if n, err := io.Copy(io.Discard, resp.Body); n != 50*200 || err != nil {
					b.Fatal(n, err)
				}
				_ = resp.Body.Close() // read to its end
			}
		})
	}
}
