package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// try is one consumer attempt.
type try struct {
	id, host, method, path, key string
	model                       string
	deadline                    time.Duration
	lastEvent, resumes          string
	header                      map[string]string
	body                        string
}

// answer is what a consumer got for one try.
type answer struct {
	status     int
	body       string
	events     []string // complete ones
	complete   bool     // the answer came to its end
	err        error
	header     http.Header
	retryAfter time.Duration
}

var attempts atomic.Int64

func newAttempt() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), attempts.Add(1)) }

// send sends one try on a new channel, as a consumer does, and reads the answer to its end.
func (r *rig) send(h *host, t try) answer {
	t.host = h.name
	ctx, cancel := context.WithTimeout(context.Background(), t.deadline+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, t.method, "http://"+h.front+t.path, strings.NewReader(t.body))
	check(err)
	req.Host = callerHost
	req.Header.Set("Buckthornseam-Attempt-Id", t.id)
	req.Header.Set("Buckthornseam-Deadline-Ms", strconv.FormatInt(t.deadline.Milliseconds(), 10))
	if t.key != "" {
		req.Header.Set("Authorization", "Bearer "+t.key)
	}
	if t.model != "" {
		req.Header.Set("Buckthornseam-Model", t.model)
		req.Header.Set("Buckthornseam-Token-Count", "200,60")
		req.Header.Set("Buckthornseam-Prompt-Prefix", "5c1e07a2:93,"+t.id+":107")
	}
	if t.lastEvent != "" {
		req.Header.Set("Last-Event-Id", t.lastEvent)
	}
	if t.resumes != "" {
		req.Header.Set("Resumes", t.resumes)
	}
	for name, value := range t.header {
		req.Header.Set(name, value)
	}
	r.note("try %s to %s: %s %s, Last-Event-Id %q, Resumes %q, key %q", t.id, t.host, t.method, t.path, t.lastEvent, t.resumes, t.key)
	a := r.read(req)
	r.note("try %s gets %d, %d bytes, %d events %v, complete %v, error %v", t.id, a.status, len(a.body), len(a.events), versionsOf(a.events), a.complete, a.err)
	return a
}

func (r *rig) read(req *http.Request) (a answer) {
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.header = resp.StatusCode, resp.Header
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(s * float64(time.Second))
	}
	reader, event := bufio.NewReader(resp.Body), ""
	for {
		line, err := reader.ReadString('\n')
		a.body += line
		event += line
		if line == "\n" {
			a.events, event = append(a.events, strings.TrimSpace(event)), ""
		}
		if err != nil {
			a.complete, a.err = err == io.EOF && event == "", err
			if err == io.EOF {
				a.err = nil
			}
			return a
		}
	}
}

// lastID returns the id of the last event.
func lastID(events []string) string {
	if len(events) == 0 {
		return ""
	}
	line, _, _ := strings.Cut(events[len(events)-1], "\n")
	return strings.TrimSpace(strings.TrimPrefix(line, "id:"))
}

// stream sends a request for a stream as a consumer does, which takes it up once more at another machine if its channel is broken. It returns
// all events, and whether the stream was taken up.
func (r *rig) stream(first *host, t try, whole int) (events []string, takenUp bool) {
	began := time.Now()
	t.id = newAttempt()
	t.body = `{"prompt":"request of the consumer of ` + t.id + `"}` // no two requests are alike, but the tries of one are
	a := r.send(first, t)
	if len(a.events) == 0 || a.complete && len(a.events) >= whole {
		return a.events, false
	}
	events = a.events
	t.resumes, t.lastEvent = t.id, lastID(events)
	budget := t.deadline
	for tries := 0; tries < 4 && time.Since(began) < budget; tries++ {
		h := first
		for h == first {
			h = r.hosts[rand.IntN(len(r.hosts))]
		}
		t.id, t.deadline = newAttempt(), budget-time.Since(began)
		again := r.send(h, t)
		if again.status == 0 && again.err != nil { // no machine there
			time.Sleep(500 * time.Millisecond)
			continue
		}
		if again.status == http.StatusOK {
			return append(events, again.events...), true
		}
		if again.status == http.StatusServiceUnavailable { // it has not run, and may be sent again
			time.Sleep(min(again.retryAfter, (budget-time.Since(began))/3))
		}
	}
	return events, true
}
