package gateway

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"buckthornseam.dev/seam/internal/target"
)

// hostSender sends the requests of a host to the simulated engines.
type hostSender struct {
	fleet *engineFleet
	host  *reportingHost
}

// Forward implements Sender: the engine sends its events at a fixed pace, and breaks off all its responses
// when it crashes.
func (s hostSender) Forward(ctx context.Context, address string, r target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	f := s.fleet
	host := s.host.net.Self().ID.Name
	conn, err := s.host.reach.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, &target.UnreachableError{Address: address, Cause: err}
	}
	_ = conn.Close()
	f.mu.Lock()
	e := f.engines[address]
	crashing := slices.ContainsFunc(strings.Fields(r.Header.Get("Parts")), func(p string) bool { return f.crashing[p] })
	if e != nil && crashing && f.now() > s.host.startedAt+contactTime {
		f.reached = append(f.reached, f.now())
	}
	limit, named := f.limits[address]
	brittle := f.brittle
	breakShare := f.breakShare
	if e != nil && named && f.now() > s.host.startedAt+contactTime {
		f.arrivals[address] = append(f.arrivals[address], f.now())
	}
	f.mu.Unlock()
	if e == nil {
		return nil, &target.UnreachableError{Address: address, Cause: resetError{}}
	}
	header := http.Header{"Id": {r.ID}, "Stamp": {"s"}}
	f.arriveAtCold(e, header)
	if brittle {
		header.Set("Brittle", fmt.Sprint(brittleRejections))
	}
	if !f.enter(e) {
		header.Del("Stamp")
		header.Set("Not-Run", "1")
		return &target.ForwardResponse{Status: http.StatusServiceUnavailable, Header: header, Body: http.NoBody}, nil
	}
	tokens, _ := strconv.ParseInt(r.Header.Get("Tokens-Out"), 10, 64) // 0 without the header
	f.hold(e, tokens)
	context.AfterFunc(ctx, func() { // the context of a send ends with it
		f.hold(e, -tokens)
		f.leaveEngine(e)
	})
	select {
	case <-time.After(engineQueueTime):
	case <-e.crashed:
		return nil, &target.UnknownOutcomeError{Cause: io.ErrUnexpectedEOF}
	case <-ctx.Done():
		return nil, &target.UnknownOutcomeError{Cause: ctx.Err()}
	}
	if crashing {
		time.AfterFunc(engineCrashTime, func() {
			f.mu.Lock()
			if f.engines[e.id] != nil {
				f.crashes = append(f.crashes, f.now())
			}
			f.mu.Unlock()
			f.crash(e.id)
		})
	}
	body := &eventBody{ctx: ctx, crashed: e.crashed, cut: func() (cutMode, <-chan struct{}) { return f.cutOf(host) }}
	if rand.Float64() < breakShare {
		body.breakAfter = 1 + rand.IntN(engineEvents-1)
	}
	if limit > 0 {
		header.Set("Limit", fmt.Sprint(limit))
	}
	return &target.ForwardResponse{Status: http.StatusOK, Header: header, Length: -1, Body: body}, nil
}

// eventBody is the body of a stream of engineEvents events.
type eventBody struct {
	ctx     context.Context
	crashed chan struct{}
	sent    int
	// breakAfter is the number of events after which the connection is lost; 0: it is not.
	breakAfter int
	cut        func() (cutMode, <-chan struct{})
}

func (b *eventBody) Read(p []byte) (int, error) {
	if b.sent == engineEvents {
		return 0, io.EOF
	}
	select {
	case <-time.After(engineEventTime):
	case <-b.crashed:
		return 0, io.ErrUnexpectedEOF
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	if mode, end := b.cut(); mode == cutReset {
		return 0, resetError{}
	} else if mode == cutHang {
		select {
		case <-end:
		case <-b.ctx.Done():
			return 0, b.ctx.Err()
		}
	}
	b.sent++
	if b.sent == b.breakAfter {
		return 0, resetError{}
	}
	return copy(p, fmt.Sprintf("id: %d\ndata: a\n\n", b.sent)), nil
}

func (b *eventBody) Close() error { return nil }
