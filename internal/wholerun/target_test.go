package wholerun

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"time"

	"buckthornseam.dev/seam/internal/target"
)

// crashPrompt is a word in prompts that crashes every engine that runs them.
const crashPrompt = "POISON"

// tagPattern matches the tag by which a request is tracked through the system.
var tagPattern = regexp.MustCompile(`tag=([a-z0-9-]+);`)

// faultRates are the probabilities of the faults of a target, for each request.
type faultRates struct {
	dropBefore      float64 // aborts the connection without running the request
	dropAfter       float64 // aborts the connection after running the request
	earlierResponse float64 // returns the response to an earlier request
	delay           float64 // delays the request
	maxDelay        time.Duration
}

// receivedRequest is one request that a target received.
type receivedRequest struct {
	at     time.Time
	target string
	model  string
}

// requestLog records all requests that targets receive.
type requestLog struct {
	mu    sync.Mutex
	byTag map[string][]receivedRequest // requests by tag
	keys  []string                     // all keys ever issued
	leaks []string
}

func (l *requestLog) record(tag string, req receivedRequest, r *http.Request, body []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byTag[tag] = append(l.byTag[tag], req)
	var text strings.Builder
	text.WriteString(r.URL.String())
	_ = r.Header.Write(&text) // writes to a strings.Builder never fail
	text.Write(body)
	for _, key := range l.keys {
		if strings.Contains(text.String(), key) {
			l.leaks = append(l.leaks, tag+" at "+req.target)
		}
	}
}

func (l *requestLog) withTag(tag string) []receivedRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]receivedRequest(nil), l.byTag[tag]...)
}

// faultyTarget wraps a target's handler, records its requests and injects faults.
type faultyTarget struct {
	name     string
	next     http.Handler
	requests *requestLog
	crash    func() // restarts the engine, nil for services

	mu           sync.Mutex
	restarts     int // so far
	rng          *rand.Rand
	rates        faultRates
	lastResponse *httptest.ResponseRecorder
}

func (f *faultyTarget) setRates(rates faultRates) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rates = rates
}

// restart restarts the target. Delayed requests are aborted.
func (f *faultyTarget) restart() {
	f.mu.Lock()
	f.restarts++
	f.mu.Unlock()
	f.crash()
}

func (f *faultyTarget) restartCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restarts
}

// drawFaults draws the faults that apply to one request.
func (f *faultyTarget) drawFaults() (dropBefore, dropAfter, earlier bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if chance(f.rng, f.rates.delay) {
		delay = time.Duration(f.rng.Int64N(int64(f.rates.maxDelay)))
	}
	return chance(f.rng, f.rates.dropBefore), chance(f.rng, f.rates.dropAfter), chance(f.rng, f.rates.earlierResponse), delay
}

var modelPattern = regexp.MustCompile(`"model":"([^"]*)"`)

// ServeHTTP implements http.Handler.
func (f *faultyTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	dropBefore, dropAfter, earlier, delay := f.drawFaults()
	if m := tagPattern.FindSubmatch(body); m != nil {
		req := receivedRequest{at: time.Now(), target: f.name}
		if model := modelPattern.FindSubmatch(body); model != nil {
			req.model = string(model[1])
		}
		f.requests.record(string(m[1]), req, r, body)
	}
	if bytes.Contains(body, []byte(crashPrompt)) && f.crash != nil {
		f.restart()
		panic(http.ErrAbortHandler)
	}
	if dropBefore {
		panic(http.ErrAbortHandler)
	}
	restarts := f.restartCount()
	time.Sleep(delay)
	if f.restartCount() != restarts {
		panic(http.ErrAbortHandler)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/control/"):
		f.next.ServeHTTP(w, r)
	case earlier && f.writeEarlierResponse(w):
		return
	case dropAfter:
		f.next.ServeHTTP(&abortingWriter{ResponseWriter: w, writesLeft: f.drawWritesLeft()}, r)
	default:
		f.serveAndRecord(w, r, bytes.Contains(body, []byte(`"stream":true`)))
	}
	if dropAfter {
		panic(http.ErrAbortHandler)
	}
}

func (f *faultyTarget) drawWritesLeft() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(4)
}

// serveAndRecord serves the request. It keeps the response for writeEarlierResponse
// unless it is streamed.
func (f *faultyTarget) serveAndRecord(w http.ResponseWriter, r *http.Request, stream bool) {
	if stream {
		f.next.ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	f.next.ServeHTTP(rec, r)
	f.mu.Lock()
	f.lastResponse = rec
	f.mu.Unlock()
	writeResponse(w, rec)
}

// writeEarlierResponse writes the response to an earlier request. It returns false if
// there is none.
func (f *faultyTarget) writeEarlierResponse(w http.ResponseWriter) bool {
	f.mu.Lock()
	rec := f.lastResponse
	f.mu.Unlock()
	if rec == nil || rec.Header().Get(target.HeaderRequestID) == "" {
		return false
	}
	writeResponse(w, rec)
	return true
}

func writeResponse(w http.ResponseWriter, rec *httptest.ResponseRecorder) {
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes()) // fails if the host has disconnected
}

// abortingWriter aborts the connection after a number of writes.
type abortingWriter struct {
	http.ResponseWriter
	writesLeft int
}

func (w *abortingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *abortingWriter) Write(p []byte) (int, error) {
	if w.writesLeft--; w.writesLeft < 0 {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}
