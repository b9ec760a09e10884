// Package fleet defines what a host knows about its deployment: the operators'
// configuration, the registered targets and the other hosts. It does no input or
// output; other packages supply the data.
package fleet

import (
	"slices"
	"strings"
	"time"
)

// RouteKind tells how often a request on a route may run.
type RouteKind string

// The kinds of a route.
const (
	Idempotent    RouteKind = "idempotent"     // may run more than once
	NonIdempotent RouteKind = "non_idempotent" // runs at most once per attempt
	Streaming     RouteKind = "streaming"      // server-sent events; at most once unless resumable
)

// Destination is one service of a route with its weight.
type Destination struct {
	Service string
	Weight  float64 // relative to the route's other destinations
}

// Route sends the requests to one host name and path prefix to services.
type Route struct {
	Name         string
	Host         string // value of the Host header
	PathPrefix   string // begins and ends with a slash
	Kind         RouteKind
	Timeout      time.Duration // limit for the complete response; 0: none
	Objective    time.Duration // latency objective: of the first event for streams, else of the complete response
	GapObjective time.Duration // objective for the longest time between two events of a stream
	Priority     int           // 0 is most urgent
	Destinations []Destination
	Attempts     int      // limit of the targets that may be sent one attempt
	Public       bool     // needs no key
	Sticky       bool     // requests have common prompt prefixes
	Resumable    bool     // a stream may be resumed at another target
	Homes        []string // regions in which requests may be served; empty: all
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model is one model that the engines of a service can load.
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
	Slots          int // concurrent requests
	KVTokens       int64
	CapacityMB     float64 // for weights and adapters
	AdapterSlots   int
	LoadsPerSecond float64 // limit of the weight store for all engines together
	Models         map[string]Model
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int         // per target, over all hosts
	Engine         *EngineSpec // nil for plain services
	Cold           *ColdLimit  // nil: cold targets take as many requests as others
}

// ColdLimit describes the targets of a service that are cold.
type ColdLimit struct {
	Time time.Duration // after the start of a target
	Rate float64       // requests a second that a cold target takes from all hosts together; 0 or less: none
}

// Team is a tenant with API keys and a quota.
type Team struct {
	Name          string
	Keys          []string
	Priority      int // overrides the route's, if HasPriority
	HasPriority   bool
	Homes         []string // regions in which its requests may be served; empty: all
	ByTokens      bool     // Rate and Burst count tokens, otherwise requests
	DefaultTokens float64  // charged for a request that states no token counts
	Rate          float64  // per second over all hosts; 0: unlimited
	Burst         float64
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes   int64
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It must not be modified
// after Index.
type Config struct {
	Version  int64
	Revision uint64 // platform.Version of the object
	Digest   uint64 // hash of the stored object; 0: unknown
	Routes   []Route
	Services map[string]Service
	Teams    []Team
	Limits   Limits

	byHost map[string][]*Route
	byKey  map[string]*Team
}

// Index builds the indexes for Route and TeamOfKey.
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

// Route returns the route of a host name with the longest matching path prefix.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// RoutesOf returns the routes of a host name. They must not be modified.
func (c *Config) RoutesOf(host string) []*Route { return c.byHost[host] }

// TeamOfKey returns the team of an API key.
func (c *Config) TeamOfKey(key string) (*Team, bool) {
	t, ok := c.byKey[key]
	return t, ok
}

// HasTeams reports whether requests need a key, except on public routes.
func (c *Config) HasTeams() bool { return len(c.Teams) > 0 }
