// Package target holds the clients of model engines and plain services.
package target

import (
	"context"
	"fmt"
	"io"
	"time"
)

// OrderOp is what an engine is told to do.
type OrderOp string

// The orders to an engine.
const (
	OrderLoad   OrderOp = "load"
	OrderUnload OrderOp = "unload"
	OrderCancel OrderOp = "cancel" // ends a load in progress
)

// Order tells an engine to change what it has loaded. Orders are idempotent:
// one with a Decision that the engine carried out already changes nothing.
type Order struct {
	Op       OrderOp `json:"op"`
	Model    string  `json:"model"`
	Base     string  `json:"base,omitempty"` // base model of an adapter
	Bytes    int64   `json:"bytes"`
	Decision string  `json:"decision"` // unique id of the decision behind the order
	Fence    uint64  `json:"fence"`    // rising with each decider
}

// ReplicaState is the state of a model on an engine.
type ReplicaState string

// The states of a replica.
const (
	ReplicaLoading ReplicaState = "loading"
	ReplicaReady   ReplicaState = "ready"
	ReplicaFailed  ReplicaState = "failed" // load ended without success; holds no memory

	// ReplicaUnloading takes no new requests; it holds its memory until
	// those running have ended.
	ReplicaUnloading ReplicaState = "unloading"
)

// CacheTier says where an engine finds the weights of a model.
type CacheTier string

// The places of cached weights, fastest first.
const (
	CacheMemory CacheTier = "memory"
	CacheDisk   CacheTier = "disk"
	CacheRemote CacheTier = "remote"
)

// ReplicaReport is one model in a load report.
type ReplicaReport struct {
	Model    string       `json:"model"`
	State    ReplicaState `json:"state"`
	Decision string       `json:"decision"`
	Bytes    int64        `json:"bytes"`
}

// Report is an engine's load report. It describes the engine as it was some
// time ago.
type Report struct {
	Sequence    uint64               `json:"sequence"` // rises with each change of the engine's state
	Incarnation string               `json:"incarnation"`
	MemoryBytes int64                `json:"memory_bytes"`
	UsedBytes   int64                `json:"used_bytes"`
	Running     int                  `json:"running"`
	Waiting     int                  `json:"waiting"`
	Replicas    []ReplicaReport      `json:"replicas"`
	Cached      map[string]CacheTier `json:"cached"` // by model
	MaxFence    uint64               `json:"max_fence"`
	Age         time.Duration        `json:"age_ns"` // lag of this report
}

// CacheEvent tells of a change of an engine's prefix cache. Events come late
// and with gaps; a gap shows as a jump of Sequence.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Model    string `json:"model"`
	Prefix   uint64 `json:"prefix"` // hash of the prompt prefix
	Stored   bool   `json:"stored"` // false if evicted
}

// Controller gives orders to engines and reads their reports.
type Controller interface {
	// Order returns nil once the engine has taken the order on; it is
	// carried out later. It fails with *FencedError, *RejectedError (the
	// order was not taken on), *UnreachableError (not sent) or
	// *UnknownOutcomeError.
	Order(ctx context.Context, address string, o Order) error
	// Report returns the engine's latest report.
	Report(ctx context.Context, address string) (Report, error)
	// CacheEvents returns the events after a sequence number.
	CacheEvents(ctx context.Context, address string, after uint64) ([]CacheEvent, error)
}

// Request is a request to a target. Headers of the caller never enter it
// unless named in an allow list, so that no target sees a key.
type Request struct {
	ID       string // unique id of this attempt, echoed by the target
	Method   string
	Path     string // with query
	Header   map[string]string
	Body     []byte
	Priority int

	// Fresh asks for a connection of its own. A kept one may have been
	// closed or lost by the other end without a sign, which makes the
	// outcome unknown; so calls that may not be repeated, and retries, ask
	// for a fresh one.
	Fresh bool
	// IdleTimeout is the longest time without a byte from the target once the
	// head of the answer has come, 0 for no bound. HeadSilence bounds the
	// wait for the head. Beyond them the connection counts as lost.
	IdleTimeout time.Duration
	HeadSilence time.Duration
}

// Response is the head of an answer with its body still to be read.
type Response struct {
	Status int
	Header map[string]string
	Body   io.ReadCloser
}

// Sender sends requests to targets. Each call is sent at most once: nothing
// below it retries.
type Sender interface {
	// Send returns when the head of the answer has come. It fails with
	// *UnreachableError if no byte left this host, and with
	// *UnknownOutcomeError otherwise.
	Send(ctx context.Context, address string, r Request) (*Response, error)
}

// UnreachableError reports a request of which no byte was sent.
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

// FencedError reports an order with an old fencing number.
type FencedError struct {
	Address string
	Fence   uint64 // number of the order
	Max     uint64 // largest number the engine has seen
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("target %s refused fencing number %d, it has seen %d", e.Address, e.Fence, e.Max)
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
