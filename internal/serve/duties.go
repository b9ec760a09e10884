// Package serve answers callers: it takes a request through authentication,
// limits, the queue, placement and routing to a target, and the answer back.
package serve

import (
	"context"
	"time"

	"buckthornseam.dev/seam/internal/config"
)

// The interfaces below are the duties that a request passes, in this order.
// Each is implemented by the package named; every error they return is a
// *refusal.Error.

// Authenticator finds the team of a key (package auth).
type Authenticator interface {
	// Authenticate returns the key's entry in force. It fails if the key
	// is unknown or withdrawn, or if this host's configuration is too old
	// to tell.
	Authenticate(presented string) (*config.Key, error)
	// StillValid reports whether the key is still in force. It is asked
	// again at dispatch and before each retry.
	StillValid(hash string) error
}

// Limiter enforces rate and burst of teams over all hosts (package limit).
type Limiter interface {
	// Reserve takes tokens of the team's allowance. It may wait for a
	// short time, never past the ctx deadline, and refuses as soon as it is
	// known that the tokens will not come.
	Reserve(ctx context.Context, team *config.Team, tokens int64) (Reservation, error)
}

// Reservation is a number of reserved tokens.
type Reservation interface {
	// Settle returns the unused part. Used may not exceed what was
	// reserved. Calls after the first have no effect.
	Settle(used int64)
}

// Ticket describes a request to the queue.
type Ticket struct {
	ID       string
	Team     string
	Weight   float64
	Pool     string // pool of targets the request will run on
	Model    string // empty for services
	Tokens   int64  // expected work
	Priority int
}

// Queue orders requests of competing teams (package queue).
type Queue interface {
	// Acquire waits until the request may be dispatched. The caller calls
	// release exactly once, when the request has left its target.
	Acquire(ctx context.Context, t Ticket) (release func(), err error)
}

// Placer sees to it that a model is loaded somewhere (package place).
type Placer interface {
	// Ensure returns once a replica of the model is ready, or a refusal as
	// soon as it is known that none will be before the ctx deadline.
	Ensure(ctx context.Context, model string) error
	// Missed tells that no target had the model although Ensure found it
	// ready: what this host knows of its replicas is out of date.
	Missed(model string)
}

// RouteQuery asks for a target.
type RouteQuery struct {
	RequestID string
	Team      string
	Pool      string
	Model     string          // empty for services
	Prefix    uint64          // hash of the prompt prefix, 0 if none
	Tokens    int64           // expected work
	Exclude   map[string]bool // targets that failed this request already
}

// Choice is a chosen target. Done is called exactly once.
type Choice struct {
	Target *config.Target
	Done   func(Outcome)
}

// Outcome tells the router how a dispatch ended.
type Outcome struct {
	OK         bool
	Canceled   bool          // the caller left: says nothing about the target
	FirstToken time.Duration // 0 if none came
	Tokens     int64
}

// Router chooses targets (package route).
type Router interface {
	// Pick chooses a target that has the model ready. It fails with a
	// refusal of code no_capacity if there is none.
	Pick(q RouteQuery) (Choice, error)
}

// Answer is a whole answer as kept for repeats.
type Answer struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header"`
	Body   []byte            `json:"body"`
}

// CallID identifies a call that may not be repeated.
type CallID struct {
	Team           string
	IdempotencyKey string
	Fingerprint    string // hash of method, path and body
}

// RunFunc performs the call once. Ran reports whether the call may have
// reached a target; if it is false the attempt is struck from the journal.
type RunFunc func(ctx context.Context) (a Answer, ran bool, err error)

// Journal runs calls that may not be repeated at most once over all hosts
// (package journal).
type Journal interface {
	// Do runs the call unless the journal shows an earlier attempt. A
	// repeat gets the first answer, or a refusal with code in_progress,
	// outcome_unknown or idempotency_key_reused.
	Do(ctx context.Context, id CallID, run RunFunc) (Answer, error)
}

// Quarantine recognises requests that crash the targets that run them
// (package quarantine).
type Quarantine interface {
	// Check refuses a fingerprint that is in quarantine.
	Check(team, fingerprint string) error
	// RecordCrash records that a target was lost while it ran the request.
	RecordCrash(team, fingerprint, target string)
	// RecordSuccess records that the request ran to its end.
	RecordSuccess(team, fingerprint string)
}

// RetryBudget limits retries to a share of requests (package retry).
type RetryBudget interface {
	// Sent counts a first attempt.
	Sent(team, target string)
	// Allow takes one retry from the budgets of team and target.
	Allow(team, target string) bool
	// Backoff returns the jittered wait before the given retry, from 1.
	Backoff(retry int) time.Duration
}
