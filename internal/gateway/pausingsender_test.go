package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/target"
)

// pauseEvents is the number of events of a stream by a pausingSender.
const pauseEvents = 4

// pauseAt says where a target falls silent.
type pauseAt int

const (
	beforeHead  pauseAt = -1
	beforeBody  pauseAt = 0
	inMidStream pauseAt = 2 // after two events
)

// pausingSender makes streams of pauseEvents events, or plain responses of the same text, 50 ms from one event to the next. The targets
// in pauses are silent for a time at one place; forever: until the send is ended.
type pausingSender struct {
	at     pauseAt
	pauses map[string]time.Duration
	first  time.Duration // pause of the target that is sent to first

	mu    sync.Mutex
	sent  []string    // addresses
	begun []time.Time // by send
	ended []time.Time // the same; zero: not yet
}

const forever = time.Hour

func pauseEvent(i int) string { return fmt.Sprintf("id: %d\ndata: a\n\n", i) }

// wholeStream is the body of a stream that is complete.
func wholeStream() (body string) {
	for i := range pauseEvents {
		body += pauseEvent(i + 1)
	}
	return body
}

func sleepOr(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Forward implements Sender.
func (s *pausingSender) Forward(ctx context.Context, address string, f target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	s.mu.Lock()
	i := len(s.sent)
	s.sent, s.begun, s.ended = append(s.sent, address), append(s.begun, time.Now()), append(s.ended, time.Time{})
	context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended[i] = time.Now()
	})
	pause := s.pauses[address]
	if len(s.sent) == 1 {
		pause = max(pause, s.first)
	}
	s.mu.Unlock()
	if s.at == beforeHead {
		if err := sleepOr(ctx, pause); err != nil {
			return nil, &target.UnknownOutcomeError{Cause: err}
		}
	}
	from, _ := strconv.Atoi(f.Header.Get("From")) // 0 without the header
	body := &pausingBody{ctx: ctx, sender: s, pause: pause, next: from}
	return &target.ForwardResponse{Status: 200, Header: http.Header{"Id": {f.ID}, "Stamp": {"s"}}, Length: -1, Framing: target.FramingChunked, Body: body}, nil
}

type pausingBody struct {
	ctx    context.Context
	sender *pausingSender
	pause  time.Duration
	next   int
}

func (b *pausingBody) Read(p []byte) (int, error) {
	wait := 50 * time.Millisecond
	if pauseAt(b.next) == b.sender.at {
		wait += b.pause
		b.pause = 0
	}
	if err := sleepOr(b.ctx, wait); err != nil {
		return 0, &target.UnknownOutcomeError{Cause: err}
	}
	if b.next == pauseEvents {
		return 0, io.EOF
	}
	b.next++
	return copy(p, pauseEvent(b.next)), nil
}

func (b *pausingBody) Close() error { return nil }

// pausingHelpers are hosts through which a pausingSender sends.
type pausingHelpers struct {
	*pausingSender
	names []string
}

func (h pausingHelpers) Choose(tried map[string]bool, _ []string) (fleet.Host, bool) {
	for _, name := range h.names {
		if !tried[name] {
			return fleet.Host{Name: name, RelayAddress: name}, true
		}
	}
	return fleet.Host{}, false
}
