// Package config holds the operators' configuration: the entities that requests are
// served by, the templates that they are rendered from, and the store that keeps this
// host's snapshot of all of them up to date.
package config

import "time"

// Team is a tenant: the owner of keys, a rate and a burst.
type Team struct {
	Name   string  `json:"name"`
	Rate   float64 `json:"rate"`   // tokens per second over all hosts
	Burst  int64   `json:"burst"`  // tokens
	Weight float64 `json:"weight"` // share of contended targets
}

// Key authenticates the requests of a team. Only its hash is stored.
type Key struct {
	Hash string `json:"hash"` // see HashKey
	Team string `json:"team"`
}

// Model is a set of weights that engines can load: a base model or an adapter.
type Model struct {
	Name          string `json:"name"`
	Base          string `json:"base"`           // base model of an adapter, empty for a base model
	Bytes         int64  `json:"bytes"`          // memory of one replica
	Pool          string `json:"pool"`           // pool of engines that may load it
	MaxReplicas   int    `json:"max_replicas"`   // most replicas loaded at once
	MinReplicas   int    `json:"min_replicas"`   // replicas kept loaded when idle
	IdleSeconds   int64  `json:"idle_seconds"`   // time without requests before unloading
	ContextTokens int64  `json:"context_tokens"` // most tokens of prompt and answer together
}

// Offering lets a team use a model under a name of its own.
type Offering struct {
	Team      string `json:"team"`
	Name      string `json:"name"`       // model name in the caller's request
	Model     string `json:"model"`      // Model.Name
	MaxTokens int64  `json:"max_tokens"` // limit of answer tokens for requests that set none
	Priority  int    `json:"priority"`   // passed on to engines; larger values go first
}

// TargetKind distinguishes engines from instances of plain services.
type TargetKind string

// The kinds of target.
const (
	TargetEngine  TargetKind = "engine"
	TargetService TargetKind = "service"
)

// Target is a back end: a model engine or one instance of a plain service.
type Target struct {
	Name         string     `json:"name"`
	Kind         TargetKind `json:"kind"`
	Address      string     `json:"address"` // IP:port
	Zone         string     `json:"zone"`    // availability zone
	Pool         string     `json:"pool"`    // engines: see Model.Pool; services: Service.Name
	MemoryBytes  int64      `json:"memory_bytes"`
	Accelerators int        `json:"accelerators"`
	RequestSlots int        `json:"slots"`         // most concurrent requests
	ChecksFence  bool       `json:"checks_fence"`  // refuses orders with an old fencing token
	Resumes      bool       `json:"resumes"`       // can resume an interrupted stream
	Leaving      bool       `json:"leaving"`       // takes no new work
	OrderSeconds int64      `json:"order_seconds"` // longest time that an order can take
}

// OrderTTL returns the time after which an order to this target has
// certainly ended.
func (t *Target) OrderTTL() time.Duration {
	return time.Duration(t.OrderSeconds) * time.Second
}

// Service is a plain service reached by path prefix.
type Service struct {
	Name          string   `json:"name"`
	Prefix        string   `json:"prefix"`         // path prefix, starts with "/"
	Public        bool     `json:"open"`           // needs no key
	NonRepeatable bool     `json:"non_repeatable"` // POST and other unsafe methods run at most once
	Teams         []string `json:"teams"`          // teams that may call it; empty for all
	Cost          int64    `json:"cost"`           // tokens charged per request
	DeadlineMS    int64    `json:"deadline_ms"`    // 0 for the host's default
}

// Entities are the entities of one template instance or of a whole snapshot.
type Entities struct {
	Teams     []Team     `json:"teams,omitempty"`
	Keys      []Key      `json:"keys,omitempty"`
	Models    []Model    `json:"models,omitempty"`
	Offerings []Offering `json:"offerings,omitempty"`
	Targets   []Target   `json:"targets,omitempty"`
	Services  []Service  `json:"services,omitempty"`
}

// Append adds the entities of other to e.
func (e *Entities) Append(other Entities) {
	e.Teams = append(e.Teams, other.Teams...)
	e.Keys = append(e.Keys, other.Keys...)
	e.Models = append(e.Models, other.Models...)
	e.Offerings = append(e.Offerings, other.Offerings...)
	e.Targets = append(e.Targets, other.Targets...)
	e.Services = append(e.Services, other.Services...)
}
