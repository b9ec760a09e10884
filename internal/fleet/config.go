// Package fleet holds what a host knows of the deployment it serves: the
// operators' configuration, the targets that registered, the other hosts.
// It does no input or output; the adapters fill it in.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// RouteKind says what may be repeated on a route.
type RouteKind string

// The kinds of a route.
const (
	Idempotent    RouteKind = "idempotent"     // may run more than once
	NonIdempotent RouteKind = "non_idempotent" // runs at most once per attempt
	Streaming     RouteKind = "streaming"      // events; at most once unless resumable
)

// Destination is one service of a route with its share of the traffic.
type Destination struct {
	Service string
	Weight  float64 // relative to the route's other destinations
}

// Route sends requests of one host name below one path prefix to services.
type Route struct {
	Name         string
	Host         string // value of the Host header
	PathPrefix   string // begins and ends with a slash
	Kind         RouteKind
	Timeout      time.Duration // longest wait for the whole answer; 0: none
	Objective    time.Duration // an answer in time has begun (stream) or ended by then
	GapObjective time.Duration // longest pause of a stream in time
	Priority     int           // 0 is most urgent
	Destinations []Destination
	Attempts     int  // targets that may be sent one attempt
	Public       bool // needs no key
	Sticky       bool // requests share prompt parts
	Resumable    bool // a stream may go on at another target
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model is one set of weights that engines of a service can load.
type Model struct {
	Name       string
	SizeMB     float64
	StoreLoad  time.Duration // load time from the weight store
	DiskLoad   time.Duration // from the engine's disk
	MemoryLoad time.Duration // from the engine's memory
	Adapters   int
	AdapterMB  float64
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots          int // requests at once
	KVTokens       int64
	CapacityMB     float64 // weights and adapters
	AdapterSlots   int
	LoadsPerSecond float64 // ceiling of the weight store over all engines
	Models         map[string]Model
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int         // per target, over all hosts
	Engine         *EngineSpec // nil for plain services
}

// Team is a customer with keys and an allotment.
type Team struct {
	Name        string
	Keys        []string
	Priority    int // overrides the route's, if HasPriority
	HasPriority bool
	ByTokens    bool    // Rate and Burst count tokens, else requests
	PlainTokens float64 // tokens of a request that states none
	Rate        float64 // per second over all hosts; 0: unlimited
	Burst       float64
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is not changed
// after Index.
type Config struct {
	Version  int64
	Revision uint64 // store revision of this version
	Routes   []Route
	Services map[string]Service
	Teams    []Team
	Limits   Limits

	byHost map[string][]*Route
	byKey  map[string]*Team
}

// Index prepares the look-ups.
func (c *Config) Index() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.byKey = map[string]*Team{}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			c.byKey[key] = &c.Teams[i]
		}
	}
}

// Route returns the route of a host name with the longest prefix of path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// TeamOfKey returns the team that holds a key.
func (c *Config) TeamOfKey(key string) (*Team, bool) {
	t, ok := c.byKey[key]
	return t, ok
}

// HasTeams reports whether requests need keys.
func (c *Config) HasTeams() bool { return len(c.Teams) > 0 }
