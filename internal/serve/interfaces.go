// Package serve handles callers' HTTP requests. A request passes authentication,
// rate limits, placement, the queue and routing; then it is sent to a target, whose
// response is forwarded to the caller.
package serve

import (
	"context"
	"time"

	"buckthornseam.dev/seam/internal/config"
)

// The interfaces below are the stages of serving a request. Each is implemented by
// the package named in its comment; every error they return is a *refusal.Error.

// Authenticator validates keys (package keyauth).
type Authenticator interface {
	// Authenticate returns the configuration entry of a valid key. It fails
	// if the key is unknown or withdrawn, or if this host's configuration is
	// too old to decide.
	Authenticate(presented string) (*config.Key, error)
	// StillValid returns an error if the key is no longer valid. It is called
	// at dispatch and before each retry.
	StillValid(hash string) error
}

// Limiter enforces the rate and burst of teams across all hosts (package limit).
type Limiter interface {
	// Reserve takes tokens from the team's quota. It may wait for a short
	// time, never past the deadline of ctx, and fails as soon as it is known
	// that the tokens will not become available.
	Reserve(ctx context.Context, team *config.Team, tokens int64) (Reservation, error)
}

// Reservation is a number of reserved tokens.
type Reservation interface {
	// Settle returns the unused tokens to the quota. Used must not exceed the
	// reserved number. Calls after the first have no effect.
	Settle(used int64)
}

// QueueRequest describes a caller's request to the queue.
type QueueRequest struct {
	ID       string
	Team     string
	Weight   float64
	Pool     string // pool of targets that the request may run on
	Model    string // empty for services
	Tokens   int64  // expected work
	Priority int
}

// Queue schedules requests of competing teams (package queue).
type Queue interface {
	// Acquire waits until the request may be dispatched. The caller calls
	// release exactly once, when the request has left its target.
	Acquire(ctx context.Context, q QueueRequest) (release func(), err error)
}

// Placer makes sure that models are loaded (package modelplacer).
type Placer interface {
	// Ensure returns nil once a replica of the model is ready. It fails as
	// soon as it is known that none will be ready before the deadline of ctx.
	Ensure(ctx context.Context, model string) error
	// RecordMissingModel records that no target had the model although Ensure found it
	// ready: this host's view of the model's replicas is out of date.
	RecordMissingModel(model string)
}

// RouteQuery describes a request to the router.
type RouteQuery struct {
	RequestID string
	Team      string
	Pool      string
	Model     string          // empty for services
	Prefix    uint64          // hash of the prompt prefix, 0 if none
	Tokens    int64           // expected work
	Exclude   map[string]bool // targets that already failed this request
}

// Choice is a chosen target. The caller calls Done exactly once, when the dispatch has ended.
type Choice struct {
	Target *config.Target
	Done   func(Outcome)
}

// Outcome tells the router how a dispatch ended.
type Outcome struct {
	OK         bool
	Canceled   bool          // the caller left, so the outcome says nothing about the target
	FirstToken time.Duration // time to the first token, 0 if there was none
	Tokens     int64
}

// Router chooses targets (package route).
type Router interface {
	// Pick chooses a target that has the model ready. It fails with a
	// refusal of code no_capacity if there is none.
	Pick(q RouteQuery) (Choice, error)
}

// Response is a complete response of a service. The journal stores it as JSON for repeated
// calls.
type Response struct {
	Status int               `json:"status"`
	Header map[string]string `json:"header"`
	Body   []byte            `json:"body"`
}

// CallID identifies a call that must run at most once.
type CallID struct {
	Team           string
	IdempotencyKey string
	Fingerprint    string // hash of method, path and body
}

// RunFunc performs the call once. Ran reports whether the call may have reached a
// target; if it is false, the journal forgets the attempt.
type RunFunc func(ctx context.Context) (resp Response, ran bool, err error)

// Journal makes sure that non-repeatable calls run at most once across all hosts
// (package journal).
type Journal interface {
	// Do runs the call unless the journal has an earlier attempt. A repeated
	// call gets the stored response, or a refusal with code in_progress,
	// outcome_unknown or idempotency_key_reused.
	Do(ctx context.Context, id CallID, run RunFunc) (Response, error)
}

// Quarantine detects requests that crash the targets that run them
// (package quarantine).
type Quarantine interface {
	// Check refuses a fingerprint that is in quarantine.
	Check(team, fingerprint string) error
	// RecordCrash records that a target was lost while it ran the request.
	RecordCrash(team, fingerprint, target string)
	// RecordSuccess records that the request completed.
	RecordSuccess(team, fingerprint string)
}

// RetryBudget limits retries to a fraction of the requests (package retry).
type RetryBudget interface {
	// RecordSent records a dispatch.
	RecordSent(team, target string)
	// Allow reports whether the budgets of the team and the target permit a
	// retry, and takes it from them.
	Allow(team, target string) bool
	// Backoff returns the wait, with jitter, before the given retry. The first
	// retry is 1.
	Backoff(retry int) time.Duration
}
