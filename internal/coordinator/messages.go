// Package coordinator contains the coordinator, which is one host at a time, the owners of the
// engines, and the messages between them. The coordinator needs no lease: each host reports to
// the first host that it can reach, in an order that is the same for all. Each engine has one
// owner among the hosts, which holds a lease in the store and is the only host that sends orders
// to the engine.
//
// Every host reports its waiting and running requests to the coordinator and receives what
// the other hosts reported. The coordinator plans swaps of models and sends them to the
// owners. Its loss delays swaps until the hosts notice it and choose another one, but never
// leads to conflicting orders.
package coordinator

import (
	"strings"
	"time"

	"buckthornseam.dev/coord/crashcause"
	"buckthornseam.dev/coord/permit"
	"buckthornseam.dev/coord/swap"
	"buckthornseam.dev/seam/internal/platform"
)

// Methods of the peer protocol.
const (
	methodReport     = "steer.report"
	methodUpdate     = "steer.news"
	methodOwn        = "steer.own"
	methodPing       = "steer.ping"
	methodSwap       = "steer.swap"
	MethodAdapter    = "steer.adapter"
	methodPermit     = "steer.permit"
	methodSlot       = "steer.slot"
	methodMemory     = "steer.memory"
	methodMemoryCopy = "steer.memorycopy"
)

// codeOwnedElsewhere is the error code of methodOwn if another host may still order the
// engine. The message names the holder of its lease.
const codeOwnedElsewhere = "owned_elsewhere"

// HolderName returns the name of a machine as a holder of leases. A process that restarts
// on the same machine keeps its engines.
func HolderName(host, ip string) string { return host + holderSeparator + ip }

const holderSeparator = "@"

// hostOfHolder returns the host part of a holder.
func hostOfHolder(holder string) string {
	host, _, _ := strings.Cut(holder, holderSeparator)
	return host
}

// ModelView is the known state of a model at an engine.
type ModelView struct {
	State    swap.CopyState `json:"s,omitempty"`
	Adapters []string       `json:"a,omitempty"`
}

// EngineView is the known state of an engine.
type EngineView struct {
	ID        string               `json:"id"`
	StartedMS int64                `json:"t,omitempty"` // start time of the engine process that the view describes
	Orders    int64                `json:"o"`           // orders that the engine has accepted
	Models    map[string]ModelView `json:"m,omitempty"`
	Busy      bool                 `json:"b,omitempty"` // an order is in progress
	LastMove  uint64               `json:"d,omitempty"` // ID of the last move that ended
	// ForeignOrder is set while the engine carries out an order that its owner did not
	// send, such as one of the previous owner.
	ForeignOrder bool `json:"u,omitempty"`
	// FromOwner is set if the view comes from the engine's owner. Other views are derived
	// from check-ins.
	FromOwner bool `json:"f,omitempty"`
	// Owner is the host that owns the engine, or empty if it is unknown.
	Owner string `json:"w,omitempty"`
}

// WaitingRequests counts the requests for a model that wait at a host.
type WaitingRequests struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	Count   int    `json:"n"`
	Late    int    `json:"l,omitempty"` // number of them that are past their objective
	DueMS   int64  `json:"d"`           // time until the earliest should begin; negative if it is late
	// CountAt counts those of Count that only targets of one software version may serve.
	CountAt map[string]int `json:"v,omitempty"`
	Bound   []RegionCount  `json:"g,omitempty"` // those of Count that only targets in some regions may serve
}

// RunningCount is the number of requests of a host that run at an engine.
type RunningCount struct {
	Engine string `json:"e"`
	Model  string `json:"m"`
	N      int    `json:"n"`
}

// Arrivals counts requests for a model since the last report.
type Arrivals struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	N       int    `json:"n"`
	// Bound counts those of N that only targets in some regions may serve.
	Bound []RegionCount `json:"g,omitempty"`
}

// Report is what a host reports to the coordinator: its whole state if Full is set,
// otherwise the changes since its last report.
type Report struct {
	Incarnation    string               `json:"i"`
	Full           bool                 `json:"f,omitempty"`
	Waiting        []WaitingRequests    `json:"w,omitempty"` // always complete
	Running        []RunningCount       `json:"r,omitempty"`
	Arrivals       []Arrivals           `json:"a,omitempty"`
	LocalUse       map[string]float64   `json:"u,omitempty"` // quota counts since the host started, by the names of gateway.Quotas.LocalUse
	Owned          []EngineView         `json:"o,omitempty"`
	EngineFailures []string             `json:"x,omitempty"`  // IDs of failures of engines during requests
	Parts          *crashcause.Evidence `json:"cp,omitempty"` // parts of prompts that may crash targets
	Limits         []permit.Record      `json:"tl,omitempty"` // that targets name
	Cold           []permit.ColdRecord  `json:"ct,omitempty"` // cold targets of which the host learned
	LeavingTargets []LeavingTarget      `json:"lt,omitempty"`
	Brittle        []string             `json:"bs,omitempty"` // services whose targets said lately that they are brittle
	SlotsHeld      map[string]int       `json:"sh,omitempty"` // of brittle targets, always complete
	Memory         *MemoryReport        `json:"mr,omitempty"`
	LongPrefills   map[string]float64   `json:"lp,omitempty"` // milliseconds of long prefills sent since the last report, by engine
	Unreachable    []string             `json:"d,omitempty"`  // unreachable targets, always complete
	Leaving        bool                 `json:"l,omitempty"`
	CutOff         bool                 `json:"k,omitempty"`  // the host has lost its way to all targets; Unreachable is then empty
	Config         *ConfigVersion       `json:"cv,omitempty"` // the newest one that the host has heard of, if it changed
	Era            platform.Era         `json:"e,omitempty"`  // of the store, as far as the host knows
	EvacuationNews
}

// EngineUpdate is what a host needs to know to send requests to an engine.
type EngineUpdate struct {
	ID        string              `json:"i"`
	Ready     []string            `json:"m,omitempty"` // models that take requests
	Adapters  map[string][]string `json:"a,omitempty"` // by model
	Owner     string              `json:"w,omitempty"`
	StartedMS int64               `json:"t,omitempty"`
	// ReadyOnly is set if only Ready is given: the owner, the start and the adapters of the
	// models that stay are as in the last update, and new models have no adapters.
	ReadyOnly bool `json:"r,omitempty"`
}

// StoreAge tells how old the coordinator's copies of the store are. It saves the other
// hosts calls to the store.
type StoreAge struct {
	Config      uint64       `json:"c"`           // platform.Version of the configuration
	Digest      uint64       `json:"h,omitempty"` // fleet.Config.Digest of it
	ConfigAgeMS int64        `json:"a"`           // time since it was known to be in force
	TargetAgeMS int64        `json:"t"`           // time since the list of targets was known to be complete
	Targets     uint64       `json:"d,omitempty"` // fleet.Targets.Digest of this list
	Unusable    []string     `json:"u,omitempty"` // targets that leave or have recently been removed
	Era         platform.Era `json:"e,omitempty"` // of the store
	// NewestConfig is the newest configuration that the coordinator has heard of; nil: as last sent.
	NewestConfig *ConfigVersion `json:"n,omitempty"`
	EvacuationNews
}

// Update is what the coordinator sends to a host: the changes since the last update.
type Update struct {
	Engines        []EngineUpdate       `json:"e,omitempty"`
	RemoteUse      map[string]float64   `json:"u,omitempty"`  // LocalUse of all other hosts; compare within an epoch only
	UseEpoch       uint64               `json:"ue,omitempty"` // 0: no other host has reported since the last update
	Balances       map[string]float64   `json:"ub,omitempty"` // of quotas at the coordinator's host, by team; only with the first UseEpoch
	Reporting      int                  `json:"n,omitempty"`  // number of hosts that report, with those that leave; only in the reply to a report
	LiveHosts      []string             `json:"l,omitempty"`  // all hosts that report and do not leave, if this or LastLeaving changed
	LastLeaving    []string             `json:"z,omitempty"`  // only if LiveHosts is empty: hosts that leave last, the last one first
	CutOffHosts    []string             `json:"ko,omitempty"` // hosts that have lost their way to all targets; with LiveHosts
	Load           map[string]int       `json:"r,omitempty"`  // other hosts' requests by target, if changed by more than one or to 0
	Backlogs       []Backlog            `json:"k,omitempty"`  // of the models that the host's requests wait for
	BoundBacklogs  []BoundBacklog       `json:"kb,omitempty"` // what of Backlogs is bound to regions
	EngineFailures []string             `json:"x,omitempty"`
	Parts          *crashcause.Evidence `json:"cp,omitempty"`
	Limits         []permit.Record      `json:"tl,omitempty"` // that targets name
	Cold           []permit.ColdRecord  `json:"ct,omitempty"` // targets that are cold, if new or for longer
	LeavingTargets []LeavingTarget      `json:"lt,omitempty"`
	Brittle        []string             `json:"bs,omitempty"` // services whose targets are brittle; only in the reply to a report
	SlotLimits     map[string]int       `json:"sl,omitempty"` // slots that the host may keep; only in the reply to a report
	MemoryEpoch    uint64               `json:"me,omitempty"` // of the coordinator's ledger; only in the reply to a report
	LongLoads      map[string]float64   `json:"ll,omitempty"` // share of its time that an engine spends on long prefills, if it changed
	LacksCopies    bool                 `json:"mc,omitempty"` // the next report must have the copies of other ledgers
	StoreAge       *StoreAge            `json:"v,omitempty"`  // only in the reply to a report
	Coordinator    string               `json:"c,omitempty"`  // set by a deputy, which says nothing of the other hosts
	UnknownHost    bool                 `json:"q,omitempty"`  // the next report must be a full one
}

// SwapCommand tells the owner of an engine to carry out a move.
type SwapCommand struct {
	Move   uint64      `json:"i"`
	Engine string      `json:"e"`
	Unload []string    `json:"u,omitempty"`
	Load   string      `json:"l,omitempty"`
	Source swap.Source `json:"s"`
}

// OwnCommand asks a host to become the owner of an engine.
type OwnCommand struct {
	Engine string `json:"e"`
}

// AdapterCommand asks the owner of an engine to load an adapter.
type AdapterCommand struct {
	Engine  string `json:"e"`
	Model   string `json:"m"`
	Adapter string `json:"a"`
}

// Timing of the reports.
const (
	reportDelay    = 4 * time.Millisecond    // combines changes that occur together; a few requests arrive meanwhile
	reportInterval = 400 * time.Millisecond  // so that a silent host is noticed within the configured contact time
	reportTimeout  = 350 * time.Millisecond  // a few hundred times the network delay between zones
	reportTime     = 700 * time.Microsecond  // in which a coordinator on a small machine answers a report and plans
	fullReportTime = 3 * time.Millisecond    // in which a coordinator on a small machine answers a full report
	minAvoidTime   = 2 * time.Second         // for a coordinator that did not reply
	probeInterval  = 700 * time.Millisecond  // a third of minAvoidTime
	hostTimeout    = 1200 * time.Millisecond // three reports missed
)
