package fleet

import (
	"net/http"
	"time"
)

// Call is what a caller says about one attempt.
type Call struct {
	ID          string        // unique to the attempt
	Deadline    time.Duration // how long the caller waits; 0: not said
	Key         string        // API key; empty: none
	Model       string
	Adapter     string // of Model; empty: none
	TokensIn    int    // prompt
	TokensOut   int    // most that will be generated
	HasTokens   bool
	LastEventID string // stream position to go on after; empty: from the start
}

// ModelKey returns the model or adapter asked for.
func (c Call) ModelKey() string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter
}

// Attempt is one sending of a call to a target.
type Attempt struct {
	Header      http.Header // the caller's
	TargetID    string      // the only target that may run it
	Team        string      // empty: none
	Deadline    time.Duration
	Priority    int // 0 is most urgent
	LastEventID string
}

// Response is what the head of a target's answer says besides its status.
type Response struct {
	ID     string // of the call answered; empty: not said
	Stamp  string // proves which target made it; empty: none
	NotRun bool   // the target states that it did not run the call
}

// Codec translates between calls and the platform's HTTP headers.
type Codec interface {
	// ReadCall fails with *BadCallError.
	ReadCall(r *http.Request) (Call, error)
	AttemptHeader(a Attempt) http.Header
	ReadResponse(status int, h http.Header) Response
	// ResponseHeader returns the headers of an answer that go on to the caller.
	ResponseHeader(h http.Header) http.Header
}

// BadCallError reports a call whose own headers cannot be used.
type BadCallError struct {
	Field  string
	Reason string
}

func (e *BadCallError) Error() string { return "call has an unusable " + e.Field + ": " + e.Reason }

// OrderKind says what an engine is to do.
type OrderKind int

// The orders.
const (
	LoadModel OrderKind = iota
	UnloadModel
)

// Order tells an engine to change what it holds.
type Order struct {
	Kind     OrderKind
	TargetID string // the only engine that may take it
	Model    string
	Adapter  string // empty: the model itself
	Holder   string // host that orders
	Fence    uint64
	// ExpectedOrders is the number of orders that the engine must have accepted;
	// another number fails the order. Negative: any.
	ExpectedOrders int64
}

// OrderOutcome is an engine's answer to an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderAccepted    OrderOutcome = iota // being carried out
	OrderAlreadyDone                     // nothing to do
	OrderBusy                            // another is under way, or After differs
	OrderFenced                          // a later fence was seen
	OrderWrongTarget                     // another engine has the address
	OrderInvalid
	OrderUnknown // no answer; it may be carried out, also later
	OrderNotSent
)

func (o OrderOutcome) String() string {
	return [...]string{"accepted", "holds", "busy", "fenced", "misplaced", "invalid", "unknown", "not_sent"}[o]
}

// EngineReport is an engine's state of some hundred milliseconds ago.
type EngineReport struct {
	Busy    bool // an order is under way
	Orders  int64
	Models  map[string][]string
	Waiting int
	Running int
}
