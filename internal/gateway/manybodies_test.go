package gateway

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// haltedBody is the body of a request that pauses after some bytes, and fails once its caller's read deadline is over.
type haltedBody struct {
	left int
	end  chan struct{}
}

func (b *haltedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		<-b.end
		return 0, os.ErrDeadlineExceeded
	}
	n := min(len(p), b.left)
	b.left -= n
	return n, nil
}

// haltedWriter is the response writer of a connection whose request has a haltedBody.
type haltedWriter struct {
	*httptest.ResponseRecorder
	once sync.Once
	end  chan struct{}
}

func (w *haltedWriter) SetReadDeadline(at time.Time) error {
	if !at.IsZero() {
		time.AfterFunc(max(0, time.Until(at)), func() { w.once.Do(func() { close(w.end) }) })
	}
	return nil
}

// postSlowly sends a request whose body pauses after some bytes.
func postSlowly(g *Gateway, id string, size int) *httptest.ResponseRecorder {
	r := newPost("/good/small", "", id)
	w := &haltedWriter{ResponseRecorder: httptest.NewRecorder(), end: make(chan struct{})}
	r.Body, r.ContentLength, r.RemoteAddr = io.NopCloser(&haltedBody{size, w.end}), -1, "10.0.0.9:1"
	g.ServeHTTP(w, r)
	return w.ResponseRecorder
}

// TestLargestBodyLimitIsNoFailure guards against a configured limit near the largest number breaking off all requests with a body.
func TestLargestBodyLimitIsNoFailure(t *testing.T) {
	g := garbageGateway(garbageSender{}, false)
	config := *g.opts.View.Config()
	config.Limits.BodyBytes = math.MaxInt64
	g.opts.View.SetConfig(&config)
	r := newPost("/good/small", "", "a")
	r.ContentLength = -1
	if w := serve(g, r); w.Code != http.StatusOK {
		t.Errorf("status %d, want 200", w.Code)
	}
}

// TestManyBodiesAtOnce guards against bodies of requests that each stay below their limit, and together take the memory of a host of
// 144 MB; and against other callers being refused meanwhile, or sound responses being given up.
func TestManyBodiesAtOnce(t *testing.T) {
	const (
		requests = 160
		most     = 36 << 20
	)
	synctest.Test(t, func(t *testing.T) {
		g := garbageGateway(garbageSender{}, false)
		before := heapInUse()
		var wg sync.WaitGroup
		statuses := make(chan int, requests)
		for i := range requests {
			wg.Go(func() { statuses <- postSlowly(g, fmt.Sprint("a", i), 900<<10).Code })
		}
		synctest.Wait()
		if held := heapInUse() - before; held > most {
			t.Errorf("%d MB are held, want %d at most", held>>20, most>>20)
		}
		for path, body := range soundResponses {
			r := newPost(path, "", "sound")
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("b", 300<<10)))
			r.ContentLength = 300 << 10
			if w := serve(g, r); w.Code != http.StatusOK || !bytes.Equal(w.Body.Bytes(), body) {
				t.Errorf("%s: status %d, %d bytes of %d", path, w.Code, w.Body.Len(), len(body))
			}
		}
		wg.Wait()
		close(statuses)
		for status := range statuses {
			if status != http.StatusServiceUnavailable && status != http.StatusRequestTimeout {
				t.Errorf("slow caller got status %d, want 503 or 408", status)
			}
		}
	})
}
