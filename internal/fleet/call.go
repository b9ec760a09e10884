package fleet

import (
	"net/http"
	"time"
)

// Call holds what a caller states about one attempt of a request.
type Call struct {
	ID          string        // unique to the attempt
	Deadline    time.Duration // how long the caller waits; 0: not stated
	Key         string        // API key; empty: none
	Model       string
	Adapter     string // of Model; empty: none
	TokensIn    int    // tokens of the prompt
	TokensOut   int    // limit of the generated tokens
	HasTokens   bool
	LastEventID string // event after which a stream resumes; empty: from the start
	Resumes     string // ID of the attempt that brought the first event of the resumed stream; empty: not stated
	// SharedParts are the IDs of the parts of the prompt that other requests may have too, in order.
	// The last part of a prompt is the request's own and is left out.
	SharedParts  []string
	SharedTokens int // tokens of the shared parts
	// LengthHint is the caller's estimate of the generated tokens, which is often far off; 0: not stated.
	LengthHint int
}

// ModelKey returns the requested model, or MODEL/ADAPTER if an adapter is
// requested.
func (c Call) ModelKey() string {
	if c.Adapter == "" {
		return c.Model
	}
	return c.Model + "/" + c.Adapter
}

// Attempt is one send of a call to a target.
type Attempt struct {
	Header      http.Header // headers of the caller's request
	TargetID    string      // the only target that may run it
	Team        string      // empty: none
	Deadline    time.Duration
	Priority    int // 0 is most urgent
	LastEventID string
}

// Response holds what the headers of a target's response state.
type Response struct {
	ID     string // ID of the call; empty: not stated
	Stamp  string // proves which target made the response; empty: none
	NotRun bool   // the target states that it did not run the call
	Notices
}

// Notices are what a target states about itself in all its responses.
type Notices struct {
	// Limit is the number of requests a second that the target takes from all hosts together; 0: it names none.
	Limit   float64
	Leaving bool // the target leaves and takes no new requests
	// Brittle is the number of requests that the target turns away in a second for want of room without falling over; 0: it
	// is not brittle.
	Brittle int
	// Quiet is how long the target wants nothing from this host; 0: it does not ask for that.
	Quiet time.Duration
	Cold  time.Duration // for how long the target stays cold; 0: not stated
}

// Relay describes a caller's request that is sent to targets by another host.
type Relay struct {
	Header      http.Header   // headers of the caller's request
	Deadline    time.Duration // what is left of the caller's time
	LastEventID string        // event after which the stream resumes; empty: from the start
	Resumes     string        // ID of the attempt that brought the stream's first event; empty: not stated
}

// Lookup is a caller's request for addresses of hosts.
type Lookup struct {
	Name   string // host name of the routes that the caller is about to use; empty: not stated
	Region string // of the caller; empty: not stated
	Zone   string // of the caller; empty: not stated
}

// Codec translates between calls and the platform's HTTP headers.
type Codec interface {
	// ReadCall fails with *BadCallError.
	ReadCall(r *http.Request) (Call, error)
	AttemptHeader(a Attempt) http.Header
	ReadResponse(status int, h http.Header) Response
	// RelayHeader returns the headers of a caller's request with which it is sent to another host.
	RelayHeader(r Relay) http.Header
	// ResponseHeader returns the headers of a response that are relayed to the
	// caller.
	ResponseHeader(h http.Header) http.Header
}

// BadCallError reports a call with an invalid header.
type BadCallError struct {
	Field  string
	Reason string
}

func (e *BadCallError) Error() string { return "call has an unusable " + e.Field + ": " + e.Reason }

// OrderKind is the operation that an engine is told to carry out.
type OrderKind int

// The kinds of orders.
const (
	LoadModel OrderKind = iota
	UnloadModel
)

// Order tells an engine to load or unload a model or an adapter. Fence is the
// fencing token of the engine's lease.
type Order struct {
	Kind     OrderKind
	TargetID string // the only engine that may accept it
	Model    string
	Adapter  string // empty: the model itself
	Holder   string // host that holds the engine's lease
	Fence    uint64
	// ExpectedOrders is the number of orders that the engine must have accepted
	// before, otherwise it rejects this one. Negative: any number.
	ExpectedOrders int64
}

// OrderOutcome is the result of sending an order to an engine.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderAccepted    OrderOutcome = iota // in progress
	OrderAlreadyDone                     // nothing to do
	OrderBusy                            // another order is in progress, or ExpectedOrders differs
	OrderFenced                          // the engine has seen a later fencing token
	OrderWrongTarget                     // another engine has the address
	OrderInvalid
	OrderUnknown // no response; the engine may carry it out, even later
	OrderNotSent
)

func (o OrderOutcome) String() string {
	return [...]string{"accepted", "holds", "busy", "fenced", "misplaced", "invalid", "unknown", "not_sent"}[o]
}

// EngineReport is the state of an engine, up to some hundred milliseconds old.
type EngineReport struct {
	Busy    bool // an order is in progress
	Orders  int64
	Models  map[string][]string
	Waiting int
	Running int
}
