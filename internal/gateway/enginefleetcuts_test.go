package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/target"
)

// cutMode is how a host is cut off from all engines.
type cutMode string

// The kinds of cuts: connections hang; they are reset, and new ones hang; they go on, and new ones are refused.
const (
	cutHang   cutMode = "hang"
	cutReset  cutMode = "reset"
	cutRefuse cutMode = "refuse"
)

// cutOff cuts hosts off from all engines.
func (f *engineFleet) cutOff(mode cutMode, hosts ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range hosts {
		name := f.hosts[i].net.Self().ID.Name
		f.cuts[name], f.cutEnds[name] = mode, make(chan struct{})
	}
}

// endCuts ends all cuts.
func (f *engineFleet) endCuts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, end := range f.cutEnds {
		close(end)
		delete(f.cutEnds, name)
		delete(f.cuts, name)
	}
}

// cutOf returns how a host is cut off from all engines, and a channel that is closed at the end.
func (f *engineFleet) cutOf(host string) (cutMode, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cuts[host], f.cutEnds[host]
}

// simulatedDialTimeout is the time until a connection that hangs is given up.
const simulatedDialTimeout = 300 * time.Millisecond

// dial opens a connection of a host to an engine.
func (f *engineFleet) dial(ctx context.Context, host, address string) error {
	mode, _ := f.cutOf(host)
	switch mode {
	case cutHang, cutReset:
		select {
		case <-time.After(simulatedDialTimeout):
		case <-ctx.Done():
		}
		return resetError{}
	case cutRefuse:
		return resetError{}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.engines[address] == nil {
		return resetError{}
	}
	return nil
}

// relaySender sends requests between the hosts of the fleet.
type relaySender struct{ fleet *engineFleet }

// Forward implements Sender.
func (s relaySender) Forward(ctx context.Context, address string, r target.ForwardRequest, _ target.ResponseIDFunc) (*target.ForwardResponse, error) {
	host := s.fleet.running(address)
	if host == nil {
		return nil, &target.UnreachableError{Address: address, Cause: resetError{}}
	}
	s.fleet.mu.Lock()
	s.fleet.relayed++
	s.fleet.mu.Unlock()
	req := httptest.NewRequest(r.Method, r.URI, bytes.NewReader(r.Body)).WithContext(ctx)
	req.Host, req.Header = r.Host, r.Header
	pipeReader, pipeWriter := io.Pipe()
	w := &relayResponse{header: http.Header{}, head: make(chan int, 1), body: pipeWriter}
	s.fleet.requests.Go(func() {
		defer func() {
			if p := recover(); p != nil {
				_ = pipeWriter.CloseWithError(resetError{})
			}
		}()
		host.gateway.RelayHandler().ServeHTTP(w, req)
		_ = pipeWriter.Close()
	})
	select {
	case status := <-w.head:
		return &target.ForwardResponse{Status: status, Header: w.header.Clone(), Length: -1, Framing: target.FramingChunked, Body: pipeReader}, nil
	case <-ctx.Done():
		_ = pipeReader.Close() // otherwise the other host would write its response for ever
		return nil, &target.UnknownOutcomeError{Cause: ctx.Err()}
	}
}

// relayResponse is the response of one host to another.
type relayResponse struct {
	header http.Header
	head   chan int
	body   *io.PipeWriter
	once   sync.Once
}

func (w *relayResponse) Header() http.Header { return w.header }

func (w *relayResponse) WriteHeader(status int) { w.once.Do(func() { w.head <- status }) }

func (w *relayResponse) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

func (w *relayResponse) Flush() {}
