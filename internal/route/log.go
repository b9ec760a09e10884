package route

import (
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/serve"
)

// maxLoggedCandidates is the maximum number of candidates in a log line.
const maxLoggedCandidates = 5

// loggedCandidate is a candidate as it appears in the log.
type loggedCandidate struct {
	Target  string  `json:"target"`
	CostMS  float64 `json:"cost_ms"` // estimated delay of the first token, see routing.Candidate
	Load    int     `json:"load"`    // estimated number of running and waiting requests
	Prefix  bool    `json:"prefix,omitempty"`
	Probing bool    `json:"probing,omitempty"`
}

// decisionRecord holds the data of one decision for the log.
type decisionRecord struct {
	query      serve.RouteQuery
	target     string // name of the chosen target, empty if there is none
	ready      int
	considered int
	candidates []loggedCandidate
}

// newDecisionRecord copies the data of the last decision for the log. The caller
// must hold mu.
func (r *Router) newDecisionRecord(q serve.RouteQuery) decisionRecord {
	d := &r.decision
	e := decisionRecord{query: q, ready: d.Ready, considered: d.Count}
	for _, c := range d.Candidates[:min(d.Count, maxLoggedCandidates)] {
		e.candidates = append(e.candidates, loggedCandidate{
			Target:  r.table.Name(c.Handle),
			CostMS:  float64(c.Cost) / float64(time.Millisecond),
			Load:    c.Load,
			Prefix:  c.Prefix,
			Probing: c.Probing,
		})
	}
	return e
}

// logDecision logs one decision.
func (r *Router) logDecision(e decisionRecord) {
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
