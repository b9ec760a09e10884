package route

import (
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/serve"
)

// loggedCandidates is the number of candidates in a log line, best first.
const loggedCandidates = 5

// candidate is a candidate in the log.
type candidate struct {
	Target  string  `json:"target"`
	CostMS  float64 `json:"cost_ms"` // estimated delay of the first token
	Load    int     `json:"load"`    // estimated running and waiting requests
	Prefix  bool    `json:"prefix,omitempty"`
	Probing bool    `json:"probing,omitempty"`
}

// decisionEntry is one decision as logged.
type decisionEntry struct {
	query      serve.RouteQuery
	target     string // empty if there was none
	ready      int
	considered int
	candidates []candidate
}

// describe copies the decision for the log; the caller holds mu.
func (r *Router) describe(q serve.RouteQuery) decisionEntry {
	d := &r.decision
	e := decisionEntry{query: q, ready: d.Ready, considered: d.Count}
	for _, c := range d.Candidates[:min(d.Count, loggedCandidates)] {
		e.candidates = append(e.candidates, candidate{
			Target:  r.table.Name(c.Handle),
			CostMS:  float64(c.Cost) / float64(time.Millisecond),
			Load:    c.Load,
			Prefix:  c.Prefix,
			Probing: c.Probing,
		})
	}
	return e
}

// log writes the line of one decision.
func (r *Router) log(e decisionEntry) {
	fields := logrus.Fields{
		"event":      "route_decision",
		"request":    e.query.RequestID,
		"team":       e.query.Team,
		"pool":       e.query.Pool,
		"model":      e.query.Model,
		"target":     e.target,
		"ready":      e.ready,
		"considered": e.considered,
		"candidates": e.candidates,
		"excluded":   len(e.query.Exclude),
	}
	if e.target == "" {
		r.opts.Log.WithFields(fields).Warn("no target")
		return
	}
	r.opts.Log.WithFields(fields).Info("target chosen")
}
