// Package swap plans which engine gives which of its places to which model
// next. It does no input or output and reads no clock: the caller passes the
// state of all engines and demands and carries out the moves.
//
// Engines hold a few models each, out of many more than all places together.
// Most models lie on the disk of some engines, from where they load in well
// under a second; a load from the weight store takes many times as long and
// slows all others. So a demand is met where its model lies on disk and where
// the model that has to go is missed least.
package swap

import (
	"time"
)

// Source says where an engine finds the weights of a model.
type Source int

// The sources, fastest first.
const (
	FromMemory Source = iota
	FromDisk
	FromStore
)

// Model is what a model costs to load.
type Model struct {
	SizeMB float64
	Load   [3]time.Duration // by Source
}

// CopyState is the state of a model at one engine.
type CopyState int

// The states of a copy.
const (
	Ready CopyState = iota
	Loading
	Closing // takes nothing new, goes once its runs have ended
)

// Copy is a model at one engine.
type Copy struct {
	State   CopyState
	Running int           // requests that use it
	ReadyAt time.Duration // when it became ready
}

// Engine is one engine.
type Engine struct {
	ID         string
	CapacityMB float64
	Slots      int // requests at once
	Copies     map[string]Copy
	OnDisk     map[string]bool
	InMemory   map[string]bool
	Busy       bool // an order is under way, or it may not be ordered
	Serves     bool // takes requests
}

// Demand is what is asked of one model.
type Demand struct {
	Waiting int           // requests without a copy to run on
	Due     time.Duration // earliest time by which one of them should have begun
	Rate    float64       // arrivals a second of late
}

// State is everything that a plan rests on.
type State struct {
	Now        time.Duration
	Models     map[string]Model
	Engines    []Engine
	Demands    map[string]Demand
	StoreLoads int // loads from the weight store under way
}

// Move tells one engine to unload models and then load one.
type Move struct {
	Engine string
	Unload []string
	Load   string // empty: only unload
	Source Source
}

// Options are the limits of a plan.
type Options struct {
	// MaxStoreLoads is the number of loads from the weight store at once.
	MaxStoreLoads int
	// NoStoreLoads forbids loads from the weight store for now.
	NoStoreLoads bool
	// RunTime is the usual time of one request.
	RunTime time.Duration
	// Settle is how long a copy that became ready is kept for the requests
	// that waited for it.
	Settle time.Duration
	// HotRate is the rate from which a model is kept on two engines, in
	// arrivals a second.
	HotRate float64
}

// DefaultOptions returns options for engines that load from disk in half a
// second.
func DefaultOptions() Options {
	return Options{
		MaxStoreLoads: 2, // half of what the weight store serves at full speed
		RunTime:       400 * time.Millisecond,
		Settle:        300 * time.Millisecond,
		HotRate:       1.5, // above it, two requests a run time are usual: an engine lost is felt at once
	}
}
