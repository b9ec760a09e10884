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
	record := decisionRecord{query: q, ready: d.Ready, considered: d.Count}
	for _, c := range d.Candidates[:min(d.Count, maxLoggedCandidates)] {
		record.candidates = append(record.candidates, loggedCandidate{
			Target:  r.table.Name(c.Handle),
			CostMS:  float64(c.Cost) / float64(time.Millisecond),
			Load:    c.Load,
			Prefix:  c.Prefix,
			Probing: c.Probing,
		})
	}
	return record
}

// logDecision logs one decision.
func (r *Router) logDecision(record decisionRecord) {
	fields := logrus.Fields{
		"event":      "route_decision",
		"request":    record.query.RequestID,
		"team":       record.query.Team,
		"pool":       record.query.Pool,
		"model":      record.query.Model,
		"target":     record.target,
		"ready":      record.ready,
		"considered": record.considered,
		"candidates": record.candidates,
		"excluded":   len(record.query.Exclude),
	}
	if record.target == "" {
		r.opts.Log.WithFields(fields).Warn("no target")
		return
	}
	r.opts.Log.WithFields(fields).Info("target chosen")
}
