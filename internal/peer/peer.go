// Package peer implements calls between entry hosts, with JSON-RPC 2 over TCP, and
// declares the interface through which other packages see the members of the fleet.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
)

// ID identifies one run of the daemon on one host. A restarted host has the
// same Name and another Incarnation, so that the two runs are distinguishable.
type ID struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

func (id ID) String() string { return id.Name + "/" + id.Incarnation }

// State is the state of a member as seen from this host.
type State string

// The states of a member. Suspect members are avoided, but keep what they own.
// Leaving members finish their work and accept nothing new.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
)

// Member is one entry host.
type Member struct {
	ID          ID     `json:"id"`
	Zone        string `json:"zone"`         // availability zone
	Address     string `json:"address"`      // IP:port for callers
	PeerAddress string `json:"peer_address"` // IP:port for peers
	State       State  `json:"state"`

	// Load is the last known number of requests in progress, as a fraction
	// of the host's limit.
	Load float64 `json:"load"`
}

// Members provides the current members, including this host, sorted by name.
type Members interface {
	Self() Member
	Members() []Member
}

// Caller calls methods of other hosts.
type Caller interface {
	// Call calls method on the named host and decodes the reply into
	// result, which may be nil. It fails with *UnreachableError if the call
	// was not sent, *UnknownOutcomeError if it may have been executed, and
	// *RemoteError if the host returned an error.
	Call(ctx context.Context, host, method string, params, result any) error
}

// Handler handles calls of one method. The result is encoded as JSON.
type Handler func(ctx context.Context, from ID, params json.RawMessage) (any, error)

// Registrar registers handlers. Methods are named "package.verb", for example
// "limit.sync". All handlers must be registered before the server starts.
type Registrar interface {
	Handle(method string, h Handler)
}

// UnreachableError reports a call that was not sent.
type UnreachableError struct {
	Host  string
	Cause error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("host %s unreachable: %v", e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a call without a reply, which may or may not have
// been executed.
type UnknownOutcomeError struct {
	Host   string
	Method string
	Cause  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("answer of %s from host %s lost: %v", e.Method, e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// RemoteError is an error returned by the called host.
type RemoteError struct {
	Host    string
	Method  string
	Code    string // class of the failure, chosen by the method
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s on host %s: %s: %s", e.Method, e.Host, e.Code, e.Message)
}
