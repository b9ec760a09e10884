// Package target provides the client for model engines and plain services.
package target

import (
	"context"
	"fmt"
	"io"
	"time"
)

// OrderOp is the operation of an Order.
type OrderOp string

// The operations of an order.
const (
	OrderLoad   OrderOp = "load"
	OrderUnload OrderOp = "unload"
	OrderCancel OrderOp = "cancel" // ends a load in progress
)

// Order instructs an engine to load or unload a model. Orders are idempotent: an
// engine ignores an order whose Decision it has already carried out.
type Order struct {
	Op       OrderOp `json:"op"`
	Model    string  `json:"model"`
	Base     string  `json:"base,omitempty"` // base model of an adapter
	Bytes    int64   `json:"bytes"`
	Decision string  `json:"decision"` // unique ID of the placement decision
	Fence    uint64  `json:"fence"`    // fencing token; increases with each new decider
}

// ReplicaState is the state of a model on an engine.
type ReplicaState string

// The states of a replica.
const (
	ReplicaLoading ReplicaState = "loading"
	ReplicaReady   ReplicaState = "ready"
	ReplicaFailed  ReplicaState = "failed" // the load failed; holds no memory

	// ReplicaUnloading accepts no new requests. It holds its memory until
	// the running requests have ended.
	ReplicaUnloading ReplicaState = "unloading"
)

// CacheTier is the storage tier from which an engine loads the weights of a model.
type CacheTier string

// The cache tiers, fastest first.
const (
	CacheMemory CacheTier = "memory"
	CacheDisk   CacheTier = "disk"
	CacheRemote CacheTier = "remote"
)

// ReplicaReport is the state of one model in a load report.
type ReplicaReport struct {
	Model    string       `json:"model"`
	State    ReplicaState `json:"state"`
	Decision string       `json:"decision"`
	Bytes    int64        `json:"bytes"`
}

// Report is an engine's load report. It describes an earlier state of the engine.
type Report struct {
	Sequence    uint64               `json:"sequence"` // increases with each change of the engine's state
	Incarnation string               `json:"incarnation"`
	MemoryBytes int64                `json:"memory_bytes"`
	UsedBytes   int64                `json:"used_bytes"`
	Running     int                  `json:"running"`
	Waiting     int                  `json:"waiting"`
	Replicas    []ReplicaReport      `json:"replicas"`
	Cached      map[string]CacheTier `json:"cached"` // by model
	MaxFence    uint64               `json:"max_fence"`
	Age         time.Duration        `json:"age_ns"` // time since that state
}

// CacheEvent reports a change of an engine's prefix cache. Events arrive late and some
// are missing, which shows as a gap in Sequence.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	Prefix   uint64 `json:"prefix"` // hash of the prompt prefix
	Stored   bool   `json:"stored"` // false if evicted
}

// Controller sends orders to engines and reads their reports.
type Controller interface {
	// Order returns nil once the engine has accepted the order; it is
	// carried out later. It fails with *FencedError, *RejectedError (the
	// order was not accepted), *UnreachableError (not sent) or
	// *UnknownOutcomeError.
	Order(ctx context.Context, address string, o Order) error
	// Report returns the engine's latest report.
	Report(ctx context.Context, address string) (Report, error)
	// CacheEvents returns the events with a sequence number above after.
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}

// Request is a request to a target. Only headers of an allow list are sent, so that no
// target sees a caller's key.
type Request struct {
	ID       string // unique ID of this attempt, echoed by the target
	Method   string
	Path     string // including the query
	Header   map[string]string
	Body     []byte
	Priority int

	// Fresh requests a new connection. A pooled one may have been closed or
	// lost unnoticed, which makes the outcome unknown, so non-repeatable
	// calls and retries use a new one.
	Fresh   bool
	control bool // a request to the control API
	// IdleTimeout is the longest time without data from the target after the
	// response headers, and HeaderTimeout the longest wait for the headers; 0
	// means no limit. When one of them expires, the connection counts as lost.
	IdleTimeout   time.Duration
	HeaderTimeout time.Duration
}

// Response is a response whose body is still to be read.
type Response struct {
	Status int
	Header map[string]string
	Body   io.ReadCloser
}

// Sender sends requests to targets. Each request is sent at most once: neither the
// Sender nor its transport retries.
type Sender interface {
	// Send returns when the response headers have arrived. It fails with
	// *UnreachableError if no byte was sent, and with *UnknownOutcomeError
	// otherwise.
	Send(ctx context.Context, address string, r Request) (*Response, error)
}

// UnreachableError reports a request that was not sent, not even in part.
type UnreachableError struct {
	Address string
	Cause   error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("target %s unreachable: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a request that may have run.
type UnknownOutcomeError struct {
	Address string
	Cause   error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome at target %s unknown: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// FencedError reports an order with an outdated fencing token.
type FencedError struct {
	Address string
	Fence   uint64 // token of the order
	Max     uint64 // highest token that the engine has seen
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("target %s refused fencing token %d; the highest it has seen is %d", e.Address, e.Fence, e.Max)
}

// RejectedError reports an order that the engine refused.
type RejectedError struct {
	Address string
	Code    string
	Reason  string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("target %s rejected the order: %s: %s", e.Address, e.Code, e.Reason)
}
