// Package routing chooses a target for each request from lagging load reports.
//
// A Table holds what one host knows of targets: their last reported load
// corrected by what this host itself sent and finished since, the models that
// are ready on them, prompt prefixes that they have cached, failures, and
// availability zones. Pick draws a few candidates, estimates for each the time
// to the first token, and chooses between two of the best at random, so that
// hosts that share one stale view do not all send to the same target.
//
// The cost of Pick does not depend on the number of targets, and it allocates
// nothing. Nothing here reads a clock or does I/O; the current time is passed
// in. A Table is not safe for concurrent use.
package routing

import "time"

// Target describes a target to the table.
type Target struct {
	Name   string
	Pool   string
	Zone   string // availability zone
	Slots  int    // requests run at once
	Engine bool   // takes only requests for models that are ready on it
}

// Load is a load report.
type Load struct {
	At      time.Duration // moment described, in the table's time
	Running int
	Waiting int
	Ready   []string // models ready; not modified later
}

// CacheEvent tells of a change of an engine's prefix cache.
type CacheEvent struct {
	Sequence uint64
	Model    string
	Prefix   uint64
	Stored   bool
}

// Query asks for a target.
type Query struct {
	Pool    string
	Model   string          // empty for services
	Prefix  uint64          // hash of the prompt prefix, 0 if none
	Exclude map[string]bool // targets not to use
}

// MaxCandidates is the number of targets that one decision looks at.
const MaxCandidates = 16

// Candidate is a target that was looked at. Cost is the estimated time to the
// first token over that of an idle target nearby.
type Candidate struct {
	Handle  Handle
	Load    int           // estimated running and waiting requests
	Cost    time.Duration // smaller is better
	Prefix  bool          // the prompt prefix is believed to be cached
	Probing bool          // tried again after failures
}

// Decision is the result of Pick.
type Decision struct {
	Chosen     Handle
	Candidates [MaxCandidates]Candidate // best first
	Count      int                      // of Candidates
	Ready      int                      // targets that have the model ready
}

// Handle identifies a target of a table. It stays valid while the target is
// there or has requests, also after its removal.
type Handle int32

// NoHandle is the handle of no target.
const NoHandle Handle = -1

// Outcome tells how a request ended at its target.
type Outcome struct {
	OK         bool
	Canceled   bool          // the caller left: says nothing about the target
	FirstToken time.Duration // 0 if none came
	Duration   time.Duration // time from dispatch to end
}
