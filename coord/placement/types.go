package placement

import "time"

// TargetSpec is what the configuration says about a target.
type TargetSpec struct {
	Name         string
	Pool         string
	Zone         string
	Bytes        int64         // memory
	RequestSlots int           // requests run at once
	ChecksFence  bool          // refuses orders with an old fencing number
	Leaving      bool          // takes no new work
	OrderTTL     time.Duration // longest life of an order on its way
}

// ModelSpec is what the configuration says about a model or adapter.
type ModelSpec struct {
	Name        string
	Base        string // base model of an adapter, empty for a base model
	Pool        string
	Bytes       int64         // memory of one replica
	MaxReplicas int           // replicas at most
	MinReplicas int           // replicas kept when idle
	Idle        time.Duration // time without requests before unloading
}

// claimBase returns the base model whose record holds the model's claims.
func (m *ModelSpec) claimBase() string {
	if m.Base != "" {
		return m.Base
	}
	return m.Name
}

// Demand tells that requests of one host wait for a model or use it.
type Demand struct {
	Host     string
	Model    string
	Waiting  int           // requests that wait for a replica
	Earliest time.Duration // earliest deadline of those, on the decider's clock
	Latest   time.Duration // latest deadline of those
	Started  int           // requests started since the host's last message
	Running  int           // requests running now
}

// OrderOp is what a target is told to do.
type OrderOp string

// The orders. OrderUnload also ends a load in progress.
const (
	OrderLoad   OrderOp = "load"
	OrderUnload OrderOp = "unload"
)

// Order tells a target to load or unload a model. Orders with the same
// Decision are repeats of one another.
type Order struct {
	Op       OrderOp
	Model    string
	Base     string
	Bytes    int64
	Decision string
	Fence    uint64
}

// ActionKind says what the shell has to do.
type ActionKind int

// The kinds of action.
const (
	WriteTarget ActionKind = iota
	WriteClaims
	ReadTarget
	ReadClaims
	SendOrder
)

// Action is one input or output that the shell carries out. It answers each
// with Decider.Done, in any order.
type Action struct {
	Kind    ActionKind
	Name    string // target, or base model of a claim record
	Target  TargetRecord
	Claims  ClaimRecord
	Version uint64 // precondition of a write
	Order   Order
	Reason  string        // for the log: why it is done
	Expires time.Duration // an order must not be sent after this time
	Began   time.Duration
}

// Outcome says how an action ended.
type Outcome int

// The outcomes of an action.
const (
	Succeeded Outcome = iota
	Conflict          // precondition of a write failed
	Failed            // certainly no effect
	Unknown           // may have taken effect
	Refused           // order with an old fencing number
)

// Result is the end of an action. For reads it holds what was read; Version 0
// means that there is no such record.
type Result struct {
	Action  Action
	Outcome Outcome
	Version uint64
	Target  TargetRecord
	Claims  ClaimRecord
}

// Options set the policy and the limits.
type Options struct {
	ID string // unique id of this run of the process

	SendWindow time.Duration // orders are sent only this long after a confirmed view; targets take longer to restart
	ReportLife time.Duration // a target without a report for so long counts as silent
	Resend     time.Duration // between repeats of an order that shows no effect
	Backoff    time.Duration // after a failed call of the store of records
	WantLife   time.Duration // a want that is not repeated ends after this time

	StoreRate       float64    // loads started a second from the weight store
	StoreParallel   int        // loads at once that the weight store serves at full speed
	AdapterParallel int        // adapters in flight over all targets
	LoadSpeed       [3]float64 // first estimate of bytes a second, by Cache
	LoadFactor      float64    // a load is given up after this many times its estimate
	MinLoadTime     time.Duration

	MinResident time.Duration // a loaded model is not evicted before
	UseQuiet    time.Duration // a model used within this time is not evicted
	CancelAfter time.Duration // a load that nobody wants is cancelled after
	ScaleAfter  time.Duration // all replicas must be saturated for so long before another is added

	// ColdStartCost is the idle time of a loaded model that is worth one cold
	// start less. A model is kept after its last use for as long as its own
	// history makes worthwhile, and never longer than ModelSpec.Idle. Zero
	// keeps every model for ModelSpec.Idle.
	ColdStartCost time.Duration

	ArrivalOrder bool // baseline: loads in order of arrival
	LRU          bool // baseline: evicts the least recently used
	Prewarm      bool // loads ahead of a regular return, into free memory only

	// Unsafe switches mechanisms off, to show in tests that they are needed.
	Unsafe Unsafe

	// Assert is called with each check of what must hold. It may be nil.
	Assert func(ok bool, what Invariant, detail func() string)
}

// Unsafe names mechanisms that can be switched off in tests.
type Unsafe struct {
	NoGoneProof     bool // a slot is removed when a report does not show the model
	NoClaims        bool // claims are not counted
	NoVersionedSlot bool // a slot whose write met a conflict is written again at the new version
}

// Invariant names what Options.Assert checks.
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

// DefaultOptions returns options for a store of 6 loads a second.
func DefaultOptions(id string) Options {
	return Options{
		ID:              id,
		SendWindow:      15 * time.Second,
		ReportLife:      10 * time.Second,
		Resend:          time.Second,
		Backoff:         500 * time.Millisecond,
		WantLife:        3 * time.Second,
		StoreRate:       6,
		StoreParallel:   4,
		AdapterParallel: 32,
		LoadSpeed:       [3]float64{CacheRemote: 2 * gib, CacheDisk: 4 * gib, CacheMemory: 16 * gib},
		LoadFactor:      20,
		MinLoadTime:     5 * time.Millisecond,
		MinResident:     2 * time.Second,
		UseQuiet:        2 * time.Second,
		CancelAfter:     2 * time.Second,
		ScaleAfter:      2 * time.Second,
	}
}
