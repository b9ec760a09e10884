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

// slowSender takes runTime for each request, as an engine does, and counts the
// requests that reach it within 400 ms after they were made.
type slowSender struct {
	runTime time.Duration
	mu      sync.Mutex
	sentAt  map[string]time.Time
	inTime  int
	started int
}

func (r *slowSender) Forward(ctx context.Context, _ string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	r.mu.Lock()
	r.started++
	if time.Since(r.sentAt[f.ID]) <= 400*time.Millisecond {
		r.inTime++
	}
	r.mu.Unlock()
	time.Sleep(r.runTime)
	return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}, nil
}

// TestOverloadedModelServesItsCapacityInTime checks a model that gets 48 requests
// a second while its two copies run 40, as after a shift of popularity. As many
// requests as the copies can run should start in time: the excess must not delay
// all of them.
func TestOverloadedModelServesItsCapacityInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const asked, every = 960, time.Second / 48
		r := &slowSender{runTime: 400 * time.Millisecond, sentAt: map[string]time.Time{}}
		g := testGateway(r)
		var wg sync.WaitGroup
		for i := range asked {
			id := "a" + time.Duration(i).String()
			r.mu.Lock()
			r.sentAt[id] = time.Now()
			r.mu.Unlock()
			wg.Go(func() { postWithID(g, "/once/x", "m", id) })
			time.Sleep(every)
		}
		wg.Wait()
		if want := asked * 40 / 48 * 9 / 10; r.inTime < want {
			t.Errorf("%d of %d requests started in time, want %d; %d started at all", r.inTime, asked, want, r.started)
		}
	})
}
