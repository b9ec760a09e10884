// Package peer carries messages between the entry hosts: calls over JSON-RPC 2
// on TCP, and the view of which hosts are members.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
)

// ID identifies one run of the daemon on one host. A restarted host has the
// same Name and another Incarnation, so it is never taken for its predecessor.
type ID struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
}

func (id ID) String() string { return id.Name + "/" + id.Incarnation }

// State is the state of a member as seen from this host.
type State string

// The states of a member. Suspect members are routed round, but keep what
// they own. Leaving members finish their work and take nothing new.
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

	// Load is the share of the host's bound on requests in progress that
	// is in use, as last heard.
	Load float64 `json:"load"`
}

// Members gives the current members, this host included, sorted by name.
type Members interface {
	Self() Member
	Members() []Member
}

// Caller calls methods of other hosts.
type Caller interface {
	// Call sends params to method on the host of that name and decodes its
	// answer into result, which may be nil. It fails with *UnreachableError
	// if the call certainly did not arrive, *LostError if it may have been
	// carried out, and *RemoteError if the host answered with an error.
	Call(ctx context.Context, host, method string, params, result any) error
}

// Handler answers calls of one method. The result is encoded as JSON.
type Handler func(ctx context.Context, from ID, params json.RawMessage) (any, error)

// Registrar registers handlers. Methods are named "duty.verb", for example
// "limit.transfer". Register all handlers before the server runs.
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

// UnknownOutcomeError reports a call whose answer did not arrive: it may have been
// carried out.
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

// RemoteError is an error that the called host answered with.
type RemoteError struct {
	Host    string
	Method  string
	Code    string // class of the failure, chosen by the method
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("%s on host %s: %s: %s", e.Method, e.Host, e.Code, e.Message)
}
