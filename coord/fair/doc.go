// Package fair shares the slots of a pool of targets among teams, in
// proportion to their weights and over all hosts together.
//
// A Queue orders the waiting requests of one host for one pool: start-time
// fair queueing by tokens over the teams, strict priority within a team,
// bounded length, and a deadline for each request. A Node adds up the demand
// of several hosts and divides slots among them; nodes form a tree whose root
// divides the whole pool by weighted max-min. The root is the pool's
// coordinator; it keeps no durable state.
//
// A grant is a window: the number of requests a team may have running from
// one host. Windows are state, not consumable credits, so that a lost, late
// or repeated grant does no harm. They are performance and never safety:
// bounds and deadlines of a Queue hold whatever grants come. Without a live
// grant a Queue uses its local share of the pool.
//
// Nothing here reads a clock, starts a goroutine or does I/O: the current
// time is passed in as a time.Duration since any fixed moment of the process.
// The types are not safe for concurrent use.
package fair

import (
	"fmt"
	"time"
)

// Item is a waiting request.
type Item struct {
	ID       uint64 // unique within the queue
	Team     string
	Weight   float64 // team's share of contended slots; 1 if not positive
	Model    string  // requests for other models are not held up by a model at its limit
	Priority int     // larger goes first within the team
	Tokens   int64   // expected work; 1 if not positive
	Deadline time.Duration
}

// Reason says why a request is refused.
type Reason int

// The reasons of a refusal.
const (
	ReasonDeadline Reason = iota // it would not have its turn in time
	ReasonTeamFull               // the team has too many requests waiting
	ReasonPoolFull               // all teams together have too many waiting
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

// Refusal is the end of a request that was not dispatched.
type Refusal struct {
	Item       Item
	Reason     Reason
	RetryAfter time.Duration // when a new try is worthwhile
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("request %d of team %s refused: %s", r.Item.ID, r.Item.Team, r.Reason)
}

// TeamDemand is what one team wants of a pool.
type TeamDemand struct {
	Team    string  `json:"t"`
	Weight  float64 `json:"w"`
	Running int     `json:"r,omitempty"` // dispatched and not yet released
	Waiting int     `json:"q,omitempty"`
}

// FlowDemand is what one team wants of one model.
type FlowDemand struct {
	Team    string `json:"t"`
	Model   string `json:"m"`
	Running int    `json:"r,omitempty"`
	Waiting int    `json:"q,omitempty"`
}

// Demand is the report of one host, or of all hosts below a node.
type Demand struct {
	Seq   uint64        `json:"s"` // rises with each report of its sender
	At    time.Duration `json:"a"` // sender's time, echoed in the grant
	Teams []TeamDemand  `json:"d,omitempty"`
	Busy  *Busy         `json:"b,omitempty"` // of a single host
	Flows []FlowDemand  `json:"f,omitempty"` // of a single host
}

// TeamGrant is the number of requests of a team that may run.
type TeamGrant struct {
	Team    string `json:"t"`
	Window  int    `json:"n"`
	Limited bool   `json:"l,omitempty"` // the team wants more than its share
}

// FlowGrant bounds the running requests of a team for a model that is ready on
// few targets.
type FlowGrant struct {
	Team   string `json:"t"`
	Model  string `json:"m"`
	Window int    `json:"n"`
}

// Grant answers a Demand.
type Grant struct {
	Seq   uint64        `json:"s"` // of the demand
	At    time.Duration `json:"a"` // of the demand
	Life  time.Duration `json:"l"` // counted from At
	Teams []TeamGrant   `json:"g,omitempty"`
	// Contended says that some team wants more than its share. Every host
	// with running requests then reports, not only those with a queue.
	Contended bool   `json:"c,omitempty"`
	Slots     *Slots `json:"o,omitempty"` // of a contended pool with few hosts
	// Flows are those that want more than their part of the targets which
	// have their model ready, in pools with few hosts.
	Flows []FlowGrant `json:"f,omitempty"`
}
