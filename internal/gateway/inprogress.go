package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// maxUnfinishedLines limits the log lines about requests in progress at the end of the process, so that they fit the log's queue.
const maxUnfinishedLines = 512

// requestsInProgress holds the requests whose head was read and whose log line has not been written. It is safe for concurrent use.
type requestsInProgress struct {
	mu  sync.Mutex
	all map[*progress]struct{}
}

// progress is what is known of a request in progress beside its handler.
type progress struct {
	arrived   time.Duration
	relayedBy string

	mu       sync.Mutex
	state    progressState
	reported bool // a line request_unfinished was written
}

// progressState is the part of a request that is shown as it goes on.
type progressState struct {
	id, route, target, through string
	lastEvent                  string
	events, sends              int
	headWritten                bool
}

func (s *requestsInProgress) begin(arrived time.Duration, relayedBy string) *progress {
	p := &progress{arrived: arrived, relayedBy: relayedBy}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[*progress]struct{}{}
	}
	s.all[p] = struct{}{}
	return p
}

// end removes a request, and reports whether it was there.
func (s *requestsInProgress) end(p *progress) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.all[p]
	delete(s.all, p)
	return found
}

// list returns the requests in progress, the oldest first.
func (s *requestsInProgress) list() []*progress {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*progress, 0, len(s.all))
	for p := range s.all {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *progress) int { return cmp.Compare(a.arrived, b.arrived) })
	return out
}

// showProgress makes the state of a request known beside its handler, which must call it.
func (x *exchange) showProgress() {
	s := progressState{id: x.call.ID, events: x.events.count, lastEvent: x.events.lastID, sends: x.sends, headWritten: x.headWritten}
	if x.route != nil {
		s.route = x.route.Name
	}
	s.target, _ = x.log["target"].(string)
	s.through, _ = x.log["through"].(string)
	x.progress.mu.Lock()
	defer x.progress.mu.Unlock()
	x.progress.state = s
}

// Reasons of a line request_unfinished.
const (
	reasonPanic       = "panic in its handler"
	reasonStopOver    = "still in progress at the end of the planned stop"
	reasonProcessEnds = "still in progress at the end of the process"
)

// takeFields returns the fields of a request's line, or nil if there was one before.
func (p *progress) takeFields(now time.Duration) logrus.Fields {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reported {
		return nil
	}
	p.reported = true
	s := p.state
	f := logrus.Fields{"event": "request_unfinished", "id": s.id, "took_ms": (now - p.arrived).Milliseconds(), "sends": s.sends, "head_written": s.headWritten}
	for name, value := range map[string]string{"route": s.route, "target": s.target, "through": s.through, "last_event": s.lastEvent, "relayed_by": p.relayedBy} {
		if value != "" {
			f[name] = value
		}
	}
	if s.headWritten {
		f["events"] = s.events
	}
	return f
}

// LogUnfinished writes a line about each request in progress for which there is none yet, since the process may end before their
// handlers do. It returns the number of requests in progress.
func (g *Gateway) LogUnfinished() int { return g.logUnfinished(reasonProcessEnds) }

func (g *Gateway) logUnfinished(reason string) int {
	requests, now := g.requests.list(), g.opts.Now()
	lines, more := 0, 0
	for _, p := range requests {
		if lines == maxUnfinishedLines {
			more++
		} else if fields := p.takeFields(now); fields != nil {
			g.opts.Log.WithFields(fields).Warn(reason)
			lines++
		}
	}
	if more > 0 {
		g.opts.Log.WithFields(logrus.Fields{"event": "requests_unfinished", "more": more}).Warn("further requests have no line request_unfinished")
	}
	return len(requests)
}

// CutOff returns the number of responses that had begun and were cut off after EndRequests.
func (g *Gateway) CutOff() int64 { return g.cutOff.Load() }

// endProgress is deferred by the handler of a request. Unless the request's line was written, the handler ends with a panic.
func (g *Gateway) endProgress(x *exchange) {
	if !g.requests.end(x.progress) {
		return
	}
	if fields := x.progress.takeFields(g.opts.Now()); fields != nil {
		g.opts.Log.WithFields(fields).Error(reasonPanic)
	}
}
