// Package swap plans which engines load which models next, and which models they
// unload to make room. It does no I/O and reads no clock: the caller passes in the
// state of all engines and the demand, and carries out the returned moves.
//
// An engine holds a few models in memory, and all engines together hold far fewer
// than there are. Most models are on the disk of some engines, from where they load
// in well under a second. A load from the weight store takes many times as long and
// slows down all other such loads. The planner therefore prefers an engine that has
// the model on its disk and whose evicted model is needed least.
package swap

import (
	"time"
)

// Source is the place from which an engine loads the weights of a model.
type Source int

// The sources, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// Model holds the size and load times of a model.
type Model struct {
	SizeMB float64
	Load   [3]time.Duration // load time by Source
}

// CopyState is the state of a model at one engine.
type CopyState int

// The states of a copy.
const (
	Ready CopyState = iota
	Loading
	Draining // takes no new requests and is unloaded once its running requests have ended
)

// Copy is a model that is loaded, loading or unloading at one engine.
type Copy struct {
	State   CopyState
	Running int           // requests that it is serving
	ReadyAt time.Duration // when it became ready
}

// Engine is the state of one engine.
type Engine struct {
	ID         string
	Version    string // of its software; see Demand.WaitingAt
	Region     string // see Demand.Bound; empty: none
	CapacityMB float64
	Slots      int // concurrent requests
	Copies     map[string]Copy
	OnDisk     map[string]bool
	InMemory   map[string]bool
	Busy       bool // an order is in progress, or no host may order the engine
	Serves     bool // accepts requests
	// Limit is the number of requests a second that the engine takes, if it is in need; 0: any number.
	Limit float64
}

// Demand is the demand for one model.
type Demand struct {
	Waiting int // requests that no copy has taken yet
	// WaitingAt counts those of Waiting that only engines of one software version may serve.
	WaitingAt map[string]int
	Bound     []Bound       // what only engines in some regions may serve
	Due       time.Duration // earliest time by which one of them should begin
	Rate      float64       // recent arrivals per second
}

// anyVersion returns the number of waiting requests that any engine may serve.
func (d Demand) anyVersion() int {
	n := d.Waiting
	for _, b := range d.Bound {
		n -= b.Waiting
	}
	for _, bound := range d.WaitingAt {
		n -= bound
	}
	return n
}

// State is the input of a plan.
type State struct {
	Now        time.Duration
	Models     map[string]Model
	Engines    []Engine
	Demands    map[string]Demand
	StoreLoads int // loads from the weight store in progress
}

// Move tells one engine to unload models and then load one.
type Move struct {
	Engine string
	Unload []string
	Load   string // empty: unload only
	Source Source
}

// Options configure the planner.
type Options struct {
	// MaxStoreLoads is the maximum number of concurrent loads from the weight store.
	MaxStoreLoads int
	// NoStoreLoads forbids new loads from the weight store.
	NoStoreLoads bool
	// RunTime is the typical duration of one request.
	RunTime time.Duration
	// MinResidence is how long a copy stays loaded after it became ready, so that the
	// requests that waited for it can use it.
	MinResidence time.Duration
	// HotRate is the number of arrivals per second from which a model is hot and is
	// kept on at least two engines.
	HotRate float64
}

// DefaultOptions returns options for engines that load a model from disk in half a
// second.
func DefaultOptions() Options {
	return Options{
		MaxStoreLoads: 2, // half of the loads that the weight store can serve at full speed
		RunTime:       400 * time.Millisecond,
		MinResidence:  300 * time.Millisecond,
		HotRate:       1.5, // above it, requests often overlap, so the loss of a model's only engine is noticed at once
	}
}
