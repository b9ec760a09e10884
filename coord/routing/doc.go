// Package routing chooses a target for each request from delayed load reports.
//
// A Table holds one host's view of the targets: the last reported load, adjusted
// for requests that this host has sent and finished since, the ready models, the
// cached prompt prefixes, recent failures, and availability zones. Pick samples a
// few candidates, estimates the time to first token for each, and applies the
// power of two choices to the best of them, so that hosts with the same stale
// view do not all send to the same target.
//
// Pick allocates nothing, and its cost does not depend on the number of targets.
// The package performs no I/O and reads no clock; callers pass the current time.
// A Table is not safe for concurrent use.
package routing

import "time"

// Target is the static description of a target.
type Target struct {
	Name   string
	Pool   string
	Zone   string // availability zone
	Slots  int    // maximum number of concurrent requests
	Engine bool   // accepts only requests for models that are ready on it
}

// Load is the load report of one target.
type Load struct {
	At      time.Duration // time of the measurement, on the table's clock
	Running int
	Waiting int
	Ready   []string // ready models; must not be modified afterwards
}

// CacheEvent is a change in an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Model    string
	Prefix   uint64
	Stored   bool
}

// Query describes a request that needs a target.
type Query struct {
	Pool    string
	Model   string          // empty for services
	Prefix  uint64          // hash of the prompt prefix, 0 if none
	Exclude map[string]bool // names of targets that must not be chosen
}

// MaxCandidates is the maximum number of candidates in a decision.
const MaxCandidates = 16

// Candidate is a target considered in a decision. Cost is the estimated time to
// first token beyond that of an idle target in this host's zone.
type Candidate struct {
	Handle  Handle
	Load    int           // estimated number of running and waiting requests
	Cost    time.Duration // lower is better
	Prefix  bool          // the prompt prefix is probably cached
	Probing bool          // ejected after failures, due for a probe request
}

// Decision is the result of Pick.
type Decision struct {
	Chosen     Handle
	Candidates [MaxCandidates]Candidate // best first
	Count      int                      // number of valid Candidates
	Ready      int                      // number of targets with the model ready
}

// Handle identifies a target in a table. It stays valid until the target has
// been removed and its last request has ended.
type Handle int32

// NoHandle means that no target was chosen.
const NoHandle Handle = -1

// Outcome is the result of a request at its target.
type Outcome struct {
	OK         bool
	Canceled   bool          // the caller canceled the request; says nothing about the target
	FirstToken time.Duration // time to first token, 0 if there was none
	Duration   time.Duration // time from dispatch to end
}
