// Package fair divides the slots of a pool of targets among teams in
// proportion to their weights, across all hosts.
//
// A Queue orders the waiting requests of one host for one pool. It uses
// start-time fair queueing by tokens among teams and strict priority within a
// team; its length is bounded and each request has a deadline. A Node adds up
// the demand of several hosts and divides slots among them. Nodes form a tree
// whose root divides the whole pool by weighted max-min fairness. The root is
// the pool's coordinator; it keeps no durable state.
//
// A grant sets windows: the number of requests that a team may have running
// from one host. A window is a state and not a credit that is used up, so a
// lost, late or repeated grant does no harm. Grants affect performance only:
// the bounds and deadlines of a Queue hold whatever grants arrive. Without a
// valid grant a Queue uses its local share of the pool.
//
// The package reads no clock, starts no goroutine and does no I/O. The current
// time is passed in as a time.Duration since any fixed moment of the process.
// The types are not safe for concurrent use.
package fair

import (
	"fmt"
	"time"
)

// Request is a waiting request.
type Request struct {
	ID       uint64 // unique within the queue
	Team     string
	Weight   float64 // weight of the team; taken as 1 if not positive
	Model    string  // a model at its limit does not delay requests for other models
	Priority int     // larger goes first within the team
	Tokens   int64   // expected work; taken as 1 if not positive
	Deadline time.Duration
}

// Reason is the reason for which a request is refused.
type Reason int

// The reasons of a refusal.
const (
	ReasonDeadline Reason = iota // it would not be dispatched by its deadline
	ReasonTeamFull               // the team has too many requests waiting
	ReasonPoolFull               // all teams together have too many requests waiting
)

func (r Reason) String() string {
	switch r {
	case ReasonDeadline:
		return "deadline"
	case ReasonTeamFull:
		return "team_full"
	case ReasonPoolFull:
		return "pool_full"
	}
	return fmt.Sprintf("reason(%d)", int(r))
}

// Refusal is the error of a request that was refused and not dispatched.
type Refusal struct {
	Request    Request
	Reason     Reason
	RetryAfter time.Duration // delay after which a retry may succeed
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("request %d of team %s refused: %s", r.Request.ID, r.Request.Team, r.Reason)
}

// TeamDemand is the demand of one team for a pool.
type TeamDemand struct {
	Team    string  `json:"t"`
	Weight  float64 `json:"w"`
	Running int     `json:"r,omitempty"` // dispatched and not yet released
	Waiting int     `json:"q,omitempty"`
}

// FlowDemand is the demand of one team for one model.
type FlowDemand struct {
	Team    string `json:"t"`
	Model   string `json:"m"`
	Running int    `json:"r,omitempty"`
	Waiting int    `json:"q,omitempty"`
}

// Demand is the report of one host, or the sum of the reports below a node.
type Demand struct {
	Seq        uint64        `json:"s"` // increases with each report of a sender
	At         time.Duration `json:"a"` // time at the sender, echoed in the grant
	Teams      []TeamDemand  `json:"d,omitempty"`
	TargetLoad *TargetLoad   `json:"b,omitempty"` // only in reports of a single host
	Flows      []FlowDemand  `json:"f,omitempty"` // only in reports of a single host
}

// TeamGrant is the window of one team: the number of its requests that may run.
type TeamGrant struct {
	Team    string `json:"t"`
	Window  int    `json:"n"`
	Limited bool   `json:"l,omitempty"` // the team wants more than its share
}

// FlowGrant limits the running requests of a team for a model that is ready on
// few targets.
type FlowGrant struct {
	Team   string `json:"t"`
	Model  string `json:"m"`
	Window int    `json:"n"`
}

// Grant answers a Demand.
type Grant struct {
	Seq      uint64        `json:"s"` // of the demand
	At       time.Duration `json:"a"` // of the demand
	Lifetime time.Duration `json:"l"` // counted from At
	Teams    []TeamGrant   `json:"g,omitempty"`
	// Contended is set if some team or flow wants more than its share. Every host with
	// running requests then reports, not only those with waiting requests.
	Contended  bool        `json:"c,omitempty"`
	SlotQuotas *SlotQuotas `json:"o,omitempty"` // only in contended pools with few hosts
	// Flows lists the flows that want more than their share of the targets
	// on which their model is ready. Only pools with few hosts use it.
	Flows []FlowGrant `json:"f,omitempty"`
}
