package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/target"
)

// runner runs each request for a while, as an engine does, and counts those that
// it began in time.
type runner struct {
	run    time.Duration
	mu     sync.Mutex
	asked  map[string]time.Time
	inTime int
	begun  int
}

func (r *runner) Forward(ctx context.Context, _ string, f target.Forwarding, _ target.IDOf) (*target.Forwarded, error) {
	r.mu.Lock()
	r.begun++
	if time.Since(r.asked[f.ID]) <= 400*time.Millisecond {
		r.inTime++
	}
	r.mu.Unlock()
	time.Sleep(r.run)
	return &target.Forwarded{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}, nil
}

// TestHotModelAskedMoreThanItsCopiesRun: the hot set moved to a model whose two
// copies run 40 requests a second, and 48 come. As many as the copies run should
// begin in time; the others must not make them all late.
func TestHotModelAskedMoreThanItsCopiesRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const asked, every = 960, time.Second / 48
		r := &runner{run: 400 * time.Millisecond, asked: map[string]time.Time{}}
		g := testGateway(r)
		var wg sync.WaitGroup
		for i := range asked {
			id := "a" + time.Duration(i).String()
			r.mu.Lock()
			r.asked[id] = time.Now()
			r.mu.Unlock()
			wg.Go(func() { askAs(g, "/once/x", "m", id) })
			time.Sleep(every)
		}
		wg.Wait()
		if want := asked * 40 / 48 * 9 / 10; r.inTime < want {
			t.Errorf("%d of %d began in time, want %d; %d began", r.inTime, asked, want, r.begun)
		}
	})
}
