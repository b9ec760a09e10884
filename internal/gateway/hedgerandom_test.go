package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// moodySender makes streams of pauseEvents events. Each send meets a random fate: it is declined, refused, breaks off, or pauses for times about the
// ones that the gateway has.
type moodySender struct {
	mu     sync.Mutex
	random *rand.Rand
	ran    int // sends that a target has begun to run
}

// Forward implements Sender.
func (s *moodySender) Forward(ctx context.Context, _ string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.mu.Lock()
	fate, pause := s.random.IntN(10), s.pause()
	s.mu.Unlock()
	switch fate {
	case 0:
		return shed(f)
	case 1:
		return nil, &target.UnreachableError{Cause: resetError{}}
	}
	s.mu.Lock()
	s.ran++
	s.mu.Unlock()
	if err := sleepOr(ctx, pause); err != nil {
		return nil, &target.UnknownOutcomeError{Cause: err}
	}
	next, _ := strconv.Atoi(f.Header.Get("From")) // 0 without the header
	return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Framing: target.FramingChunked, Body: &moodyBody{ctx: ctx, s: s, next: next}}, nil
}

// pause returns how long a target is silent. The caller must hold s.mu.
func (s *moodySender) pause() time.Duration {
	switch s.random.IntN(8) {
	case 0:
		return silenceMin + time.Duration(s.random.IntN(20)-2)*hedgeWait/10
	case 1:
		return longPause
	case 2:
		return forever
	}
	return time.Duration(s.random.IntN(100)) * time.Millisecond
}

type moodyBody struct {
	ctx  context.Context
	s    *moodySender
	next int
}

func (b *moodyBody) Read(p []byte) (int, error) {
	b.s.mu.Lock()
	pause, breaks, late := b.s.pause(), b.s.random.IntN(20) == 0, b.s.random.IntN(4) == 0
	b.s.mu.Unlock()
	if err := sleepOr(b.ctx, pause); err != nil && !late { // late: it had arrived by then
		return 0, &target.UnknownOutcomeError{Cause: err}
	}
	if breaks {
		return 0, resetError{}
	}
	if b.next == pauseEvents {
		return 0, io.EOF
	}
	b.next++
	return copy(p, pauseEvent(b.next)), nil
}

func (b *moodyBody) Close() error { return nil }

// moodyHelpers are hosts that behave like the targets of a moodySender.
type moodyHelpers struct {
	*moodySender
	choice pausingHelpers
}

func (h moodyHelpers) Choose(tried map[string]bool, regions []string) (fleet.Host, bool) {
	return h.choice.Choose(tried, regions)
}

// TestStreamsOverMoodyTargetsAreInOrder guards against pieces that are missing or come twice, streams that end early as if they were complete, targets
// beyond the route's attempts, and slots that are never given back, whatever targets do beside hedges.
func TestStreamsOverMoodyTargetsAreInOrder(t *testing.T) {
	const seeds, attempts = 3000, 2
	outcomes := map[string]int{}
	for seed := range uint64(seeds) {
		runInBubble(t, fmt.Sprint(seed), func(t *testing.T) {
			s := &moodySender{random: rand.New(rand.NewPCG(seed, 1))}
			g := testGateway(s)
			if seed%3 == 0 { // the host loses its way to all targets
				g.opts.Reach, g.opts.Self = lostLater{at: time.Now().Add(time.Duration(s.random.IntN(3000)) * time.Millisecond)}, "h0"
				g.opts.Helpers = moodyHelpers{s, pausingHelpers{names: []string{"h1", "h2", "h3"}}}
			}
			w := post(g, "/stream/x", "m")
			synctest.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			body, aborted := w.Body.String(), w.Header().Get("Aborted") != ""
			switch {
			case !strings.HasPrefix(wholeStream(), body):
				t.Errorf("the stream is not in order: %q", body)
			case w.Code == http.StatusOK && !aborted && body != wholeStream():
				t.Errorf("the stream looks complete: %q", body)
			case w.Code == http.StatusServiceUnavailable && s.ran > 0:
				t.Errorf("refused as not run after %d runs", s.ran)
			}
			if s.ran > attempts {
				t.Errorf("%d targets ran it", s.ran)
			}
			for _, id := range []string{"e1", "e2"} {
				if n := g.opts.View.Load(id); n != 0 {
					t.Errorf("%d slots of %s are still in use", n, id)
				}
			}
			outcomes[fmt.Sprint(w.Code, " aborted ", aborted)]++
		})
	}
	t.Log(outcomes)
}
