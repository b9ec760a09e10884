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
// requests that reach it at most 400 ms after the caller sent them.
type slowSender struct {
	runTime time.Duration
	mu      sync.Mutex
	sentAt  map[string]time.Time
	inTime  int
	started int
}

func (s *slowSender) Forward(ctx context.Context, _ string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.mu.Lock()
	s.started++
	if time.Since(s.sentAt[f.ID]) <= 400*time.Millisecond {
		s.inTime++
	}
	s.mu.Unlock()
	time.Sleep(s.runTime)
	return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Body: io.NopCloser(strings.NewReader("id: 1\ndata: a\n\n"))}, nil
}

// TestOverloadedModelServesItsCapacityInTime checks a model that gets 48 requests
// a second while its two copies run 40, as after a shift of popularity. As many
// requests as the copies can run should start in time: the excess must not delay
// all of them.
func TestOverloadedModelServesItsCapacityInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests, interval = 960, time.Second / 48
		s := &slowSender{runTime: 400 * time.Millisecond, sentAt: map[string]time.Time{}}
		g := testGateway(s)
		var wg sync.WaitGroup
		for i := range requests {
			id := "a" + time.Duration(i).String()
			s.mu.Lock()
			s.sentAt[id] = time.Now()
			s.mu.Unlock()
			wg.Go(func() { postWithID(g, "/once/x", "m", id) })
			time.Sleep(interval)
		}
		wg.Wait()
		if want := requests * 40 / 48 * 9 / 10; s.inTime < want {
			t.Errorf("%d of %d requests started in time, want %d; %d started at all", s.inTime, requests, want, s.started)
		}
	})
}
