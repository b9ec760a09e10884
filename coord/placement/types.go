package placement

import "time"

// TargetSpec is the configuration of a target.
type TargetSpec struct {
	Name         string
	Pool         string
	Zone         string
	Bytes        int64         // memory
	RequestSlots int           // requests run at once
	ChecksFence  bool          // refuses orders with an old fencing token
	Leaving      bool          // takes no new work
	OrderTTL     time.Duration // an order sent longer ago than this no longer takes effect
}

// ModelSpec is the configuration of a model or adapter.
type ModelSpec struct {
	Name        string
	Base        string // base model of an adapter, empty for a base model
	Pool        string
	Bytes       int64         // memory of one replica
	MaxReplicas int           // over all targets
	MinReplicas int           // replicas kept when idle
	Idle        time.Duration // time without requests before unloading
}

// claimBase returns the name of the claim record that holds the model's claims.
func (m *ModelSpec) claimBase() string {
	if m.Base != "" {
		return m.Base
	}
	return m.Name
}

// Demand describes the requests of one host that wait for a model or use it.
type Demand struct {
	Host     string
	Model    string
	Waiting  int           // requests that wait for a replica
	Earliest time.Duration // earliest deadline of the waiting requests, on the decider's clock
	Latest   time.Duration // latest deadline of the waiting requests, likewise
	Started  int           // requests started since the host's last message
	Running  int           // requests running now
}

// OrderOp is the operation that an order asks for.
type OrderOp string

// The operations. OrderUnload also cancels a load in progress.
const (
	OrderLoad   OrderOp = "load"
	OrderUnload OrderOp = "unload"
)

// Order tells a target to load or unload a model. Orders with the same
// Decision are retries of one another.
type Order struct {
	Op       OrderOp
	Model    string
	Base     string
	Bytes    int64
	Decision string
	Fence    uint64
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action.
const (
	WriteTarget ActionKind = iota
	WriteClaims
	ReadTarget
	ReadClaims
	SendOrder
)

// Action is one input or output operation for the caller to carry out. The caller
// reports each result with Decider.Done, in any order.
type Action struct {
	Kind     ActionKind
	Name     string // target, or base model of a claim record
	Target   TargetRecord
	Claims   ClaimRecord
	Version  uint64 // expected stored version, precondition of a write
	Order    Order
	Reason   string        // for the log
	Expires  time.Duration // an order must not be sent after this time
	IssuedAt time.Duration
}

// Outcome says how an action ended.
type Outcome int

// The outcomes of an action.
const (
	Succeeded Outcome = iota
	Conflict          // precondition of a write failed
	Failed            // had no effect
	Unknown           // may have taken effect
	Refused           // order rejected for its old fencing token
)

// Result is the result of an action. For a read it holds the record; Version 0
// means that there is none.
type Result struct {
	Action  Action
	Outcome Outcome
	Version uint64
	Target  TargetRecord
	Claims  ClaimRecord
}

// Options configure a Decider.
type Options struct {
	ID string // unique id of this run of the process

	SendWindow     time.Duration // how long orders may be sent after a report, see maySend; a target takes longer to restart
	ReportTTL      time.Duration // a target that has not reported for this long counts as silent
	ResendInterval time.Duration // between retries of an order that shows no effect
	Backoff        time.Duration // after a failed call to the record store
	DemandTTL      time.Duration // demand that a host does not repeat expires after this time

	StoreRate         float64    // loads from the weight store that may start per second
	StoreParallel     int        // concurrent loads that the weight store serves at full speed
	AdapterParallel   int        // concurrent adapter loads over all targets
	LoadSpeed         [3]float64 // initial estimate in bytes per second, by CacheTier
	LoadTimeoutFactor float64    // a load times out after this many times its estimate
	MinLoadTime       time.Duration

	MinResident time.Duration // a model loaded more recently is not evicted
	RecentUse   time.Duration // a model used within this time is not evicted
	CancelAfter time.Duration // a load is cancelled when no request has waited for it for this long
	ScaleAfter  time.Duration // a replica is added when all have been saturated for this long

	// ColdStartCost is the idle time of a loaded model that is worth avoiding one
	// cold start. After its last use a model is kept loaded for as long as its
	// history of use justifies, and never longer than ModelSpec.Idle. Zero keeps
	// every model for ModelSpec.Idle.
	ColdStartCost time.Duration

	ArrivalOrder bool // baseline: loads models in order of arrival
	LRU          bool // baseline: evicts the least recently used model
	Prewarm      bool // loads a model before a predictable return of its requests, into free memory only

	// Unsafe disables mechanisms, so that tests can show that they are needed.
	Unsafe Unsafe

	// Assert is called with the result of each invariant check. It may be nil.
	Assert func(ok bool, what Invariant, detail func() string)
}

// Unsafe lists the mechanisms that tests can disable.
type Unsafe struct {
	SkipEmptyProof   bool // a slot is removed when a report does not show the model
	SkipClaimLimit   bool // the number of claims is not limited
	SkipVersionCheck bool // a slot whose write met a conflict is written again at the new version
}

// Invariant is a condition checked with Options.Assert.
type Invariant string

// The invariants of placement.
const (
	ReplicasDecided   Invariant = "replicas_decided"
	MemoryWithinLimit Invariant = "memory_within_limit"
)

const (
	mib = 1 << 20
	gib = 1 << 30
)

// DefaultOptions returns options for a weight store that allows 6 loads per second.
func DefaultOptions(id string) Options {
	return Options{
		ID:                id,
		SendWindow:        15 * time.Second,
		ReportTTL:         10 * time.Second,
		ResendInterval:    time.Second,
		Backoff:           500 * time.Millisecond,
		DemandTTL:         3 * time.Second,
		StoreRate:         6,
		StoreParallel:     4,
		AdapterParallel:   32,
		LoadSpeed:         [3]float64{CacheRemote: 2 * gib, CacheDisk: 4 * gib, CacheMemory: 16 * gib},
		LoadTimeoutFactor: 20,
		MinLoadTime:       5 * time.Millisecond,
		MinResident:       2 * time.Second,
		RecentUse:         2 * time.Second,
		CancelAfter:       2 * time.Second,
		ScaleAfter:        2 * time.Second,
	}
}
