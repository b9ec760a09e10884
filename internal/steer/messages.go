// Package steer lets hosts act together: one host at a time coordinates, which
// rests on nothing but its being reachable, and each engine has one owner
// among the hosts, which alone orders it and rests on a lease in the store.
//
// Every host reports its waiting and running requests to the coordinator and
// gets back what the others know. The coordinator plans swaps of models and
// tells the owners; losing it costs the time to notice, and no safety.
package steer

import (
	"strings"
	"time"

	"buckthornseam.dev/coord/swap"
)

// Methods between hosts.
const (
	methodReport  = "steer.report"
	methodNews    = "steer.news"
	methodOwn     = "steer.own"
	methodPing    = "steer.ping"
	methodSwap    = "steer.swap"
	MethodAdapter = "steer.adapter"
)

// codeOwnedElsewhere is the class of a failed methodOwn whose message is the
// holder that may still order the engine.
const codeOwnedElsewhere = "owned_elsewhere"

// HolderName names a machine as the holder of leases: a process that starts again
// there goes on with its engines.
func HolderName(host, ip string) string { return host + holderSeparator + ip }

const holderSeparator = "@"

// hostOfHolder returns the host part of a holder.
func hostOfHolder(holder string) string {
	host, _, _ := strings.Cut(holder, holderSeparator)
	return host
}

// ModelView is a model at an engine.
type ModelView struct {
	State    swap.CopyState `json:"s,omitempty"`
	Adapters []string       `json:"a,omitempty"`
}

// EngineView is what the hosts believe of an engine.
type EngineView struct {
	ID     string               `json:"id"`
	Born   int64                `json:"t,omitempty"` // start of the engine that the view is of
	Orders int64                `json:"o"`           // orders it has accepted
	Models map[string]ModelView `json:"m,omitempty"`
	Busy   bool                 `json:"b,omitempty"` // an order is under way
	Done   uint64               `json:"d,omitempty"` // the last move that ended
	// Unasked is set while the engine carries out an order that its owner did
	// not give: one of the owner before.
	Unasked bool `json:"u,omitempty"`
	// Fresh is set while an owner stands behind the view; others rest on
	// check-ins.
	Fresh bool `json:"f,omitempty"`
	// Owner is the host that orders the engine; empty: unknown.
	Owner string `json:"w,omitempty"`
}

// Want is a model whose requests wait at a host.
type Want struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	Waiting int    `json:"n"`
	Late    int    `json:"l,omitempty"` // of them past their objective
	DueMS   int64  `json:"d"`           // from now until the earliest should have begun; negative: late
}

// RunCount is the number of requests that run at an engine for a host.
type RunCount struct {
	Engine string `json:"e"`
	Model  string `json:"m"`
	N      int    `json:"n"`
}

// Arrivals counts requests for a model since the last report.
type Arrivals struct {
	Service string `json:"s"`
	Model   string `json:"m"`
	N       int    `json:"n"`
}

// Report is what a host tells the coordinator: all of it if Full, else what
// changed since its last report.
type Report struct {
	Incarnation string             `json:"i"`
	Full        bool               `json:"f,omitempty"`
	Wants       []Want             `json:"w,omitempty"` // all, each time
	Running     []RunCount         `json:"r,omitempty"`
	Arrivals    []Arrivals         `json:"a,omitempty"`
	Use         map[string]float64 `json:"u,omitempty"` // by team since the host started
	Owned       []EngineView       `json:"o,omitempty"`
	Strikes     []string           `json:"x,omitempty"` // requests that were under way when their engine broke off
	Dark        []string           `json:"d,omitempty"` // targets not reachable; all, each time
	Leaving     bool               `json:"l,omitempty"`
}

// EngineNews is what a host needs to know of an engine to send requests there.
type EngineNews struct {
	ID       string              `json:"i"`
	Ready    []string            `json:"m,omitempty"` // models
	Adapters map[string][]string `json:"a,omitempty"` // by model
	Owner    string              `json:"w,omitempty"`
	Born     int64               `json:"t,omitempty"`
}

// Vouch is how fresh the coordinator's own copies of the store are. It spares
// the other hosts calls to the store.
type Vouch struct {
	Config      uint64   `json:"c"`           // store revision of the configuration
	ConfigAgeMS int64    `json:"a"`           // since it was known to be in force
	TargetAgeMS int64    `json:"t"`           // since the list of targets was known to be complete
	Unusable    []string `json:"u,omitempty"` // targets that leave or went lately
}

// News is what the coordinator tells a host: what changed since the last.
type News struct {
	Engines  []EngineNews       `json:"e,omitempty"`
	Use      map[string]float64 `json:"u,omitempty"` // by team, of all other hosts together; only differences within an epoch mean anything
	UseEpoch uint64             `json:"ue,omitempty"`
	Live     []string           `json:"l,omitempty"` // hosts that report; all, if it changed
	Load     map[string]int     `json:"r,omitempty"` // requests of other hosts by target, where it changed by more than one
	Crowds   []Crowd            `json:"k,omitempty"` // for the models that the host waits for
	Strikes  []string           `json:"x,omitempty"`
	Vouch    *Vouch             `json:"v,omitempty"` // only in answer to a report
	Unknown  bool               `json:"q,omitempty"` // the host is not known: report in full
}

// SwapCommand tells an owner to carry out a move.
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

// AdapterCommand asks an owner to load an adapter.
type AdapterCommand struct {
	Engine  string `json:"e"`
	Model   string `json:"m"`
	Adapter string `json:"a"`
}

// Timing of the reports.
const (
	reportSoon     = 4 * time.Millisecond    // gathers what changes together; a few requests arrive meanwhile
	reportInterval = 400 * time.Millisecond  // so that a silent host is noticed within contact times
	reportTimeout  = 350 * time.Millisecond  // a few hundred times the way between zones
	avoidFor       = 2 * time.Second         // a coordinator that did not answer, at least
	probeInterval  = 700 * time.Millisecond  // a third of avoidFor
	hostSilent     = 1200 * time.Millisecond // three reports missed
)
