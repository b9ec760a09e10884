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

// poison crashes each engine that runs a prompt with this word.
const poison = "POISON"

// tagOf finds the tag by which a request is followed through the system.
var tagOf = regexp.MustCompile(`tag=([a-z0-9-]+);`)

// moods are the chances with which a target misbehaves at a request.
type moods struct {
	dropBefore float64 // breaks the connection, nothing runs
	dropAfter  float64 // runs, then breaks the connection
	crossed    float64 // answers with an earlier request's answer
	late       float64 // answers late
	lateBy     time.Duration
}

// sighting is one request seen by a target.
type sighting struct {
	at     time.Time
	target string
	model  string
}

// watcher sees all requests to targets.
type watcher struct {
	mu    sync.Mutex
	seen  map[string][]sighting // by tag
	keys  []string              // all keys that were ever given
	leaks []string
}

func (w *watcher) record(tag string, s sighting, r *http.Request, body []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seen[tag] = append(w.seen[tag], s)
	var text strings.Builder
	text.WriteString(r.URL.String())
	_ = r.Header.Write(&text) // a builder takes everything
	text.Write(body)
	for _, key := range w.keys {
		if strings.Contains(text.String(), key) {
			w.leaks = append(w.leaks, tag+" at "+s.target)
		}
	}
}

func (w *watcher) of(tag string) []sighting {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]sighting(nil), w.seen[tag]...)
}

// flaky stands before a target's handler.
type flaky struct {
	name  string
	next  http.Handler
	watch *watcher
	crash func() // restarts the engine, nil for services

	mu    sync.Mutex
	run   int // number of restarts
	rng   *rand.Rand
	moods moods
	last  *httptest.ResponseRecorder
}

func (f *flaky) set(m moods) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.moods = m
}

// restart ends this run of the target: what waits in it is gone.
func (f *flaky) restart() {
	f.mu.Lock()
	f.run++
	f.mu.Unlock()
	f.crash()
}

func (f *flaky) currentRun() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.run
}

// draw decides what happens to one request.
func (f *flaky) draw() (before, after, crossed bool, late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if chance(f.rng, f.moods.late) {
		late = time.Duration(f.rng.Int64N(int64(f.moods.lateBy)))
	}
	return chance(f.rng, f.moods.dropBefore), chance(f.rng, f.moods.dropAfter), chance(f.rng, f.moods.crossed), late
}

var modelOf = regexp.MustCompile(`"model":"([^"]*)"`)

// ServeHTTP implements http.Handler.
func (f *flaky) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	before, after, crossed, late := f.draw()
	if m := tagOf.FindSubmatch(body); m != nil {
		s := sighting{at: time.Now(), target: f.name}
		if model := modelOf.FindSubmatch(body); model != nil {
			s.model = string(model[1])
		}
		f.watch.record(string(m[1]), s, r, body)
	}
	if bytes.Contains(body, []byte(poison)) && f.crash != nil {
		f.restart()
		panic(http.ErrAbortHandler)
	}
	if before {
		panic(http.ErrAbortHandler)
	}
	run := f.currentRun()
	time.Sleep(late)
	if f.currentRun() != run {
		panic(http.ErrAbortHandler)
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/control/"):
		f.next.ServeHTTP(w, r)
	case crossed && f.answerCrossed(w):
		return
	case after:
		f.next.ServeHTTP(&cutWriter{ResponseWriter: w, left: f.cutAfter()}, r)
	default:
		f.answer(w, r, bytes.Contains(body, []byte(`"stream":true`)))
	}
	if after {
		panic(http.ErrAbortHandler)
	}
}

func (f *flaky) cutAfter() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(4)
}

// answer serves the request and keeps its answer for answerCrossed.
func (f *flaky) answer(w http.ResponseWriter, r *http.Request, stream bool) {
	if stream {
		f.next.ServeHTTP(w, r)
		return
	}
	rec := httptest.NewRecorder()
	f.next.ServeHTTP(rec, r)
	f.mu.Lock()
	f.last = rec
	f.mu.Unlock()
	write(w, rec)
}

// answerCrossed writes the answer to an earlier request, if there is one.
func (f *flaky) answerCrossed(w http.ResponseWriter) bool {
	f.mu.Lock()
	rec := f.last
	f.mu.Unlock()
	if rec == nil || rec.Header().Get(target.HeaderRequestID) == "" {
		return false
	}
	write(w, rec)
	return true
}

func write(w http.ResponseWriter, rec *httptest.ResponseRecorder) {
	for name, values := range rec.Header() {
		w.Header()[name] = values
	}
	w.WriteHeader(rec.Code)
	_, _ = w.Write(rec.Body.Bytes()) // the host may be gone
}

// cutWriter breaks the connection after some writes.
type cutWriter struct {
	http.ResponseWriter
	left int
}

func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *cutWriter) Write(p []byte) (int, error) {
	if c.left--; c.left < 0 {
		panic(http.ErrAbortHandler)
	}
	return c.ResponseWriter.Write(p)
}
