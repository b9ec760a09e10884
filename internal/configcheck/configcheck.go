// Package configcheck checks a configuration before an operator sends it: values that cannot be used, entries that can
// never match, limits that contradict each other, and what differs from the version in force. It does no I/O.
package configcheck

import (
	"fmt"
	"slices"
	"strings"

	"buckthornseam.dev/seam/internal/fleet"
)

// Level tells how severe a finding is.
type Level string

// The levels.
const (
	Error   Level = "error"   // the configuration does not do what it says
	Warning Level = "warning" // it is probably not what the operator wants
)

// Place is a value in a configuration.
type Place struct {
	Section Section
	Index   int    // of the entry; for services, in the order of the file
	Model   int    // of the entry's model plus one; 0: the value is not in a model
	Field   string // of the type in package fleet; empty: the whole entry
}

// Section is a list of entries, or the limits.
type Section string

// The sections of a configuration.
const (
	Whole    Section = ""
	Routes   Section = "routes"
	Services Section = "services"
	Teams    Section = "teams"
	Limits   Section = "limits"
)

// Finding is one thing that the operator should look at.
type Finding struct {
	Level   Level
	Place   Place
	Message string
}

// Config is a configuration with its services and their models in the order of the file.
type Config struct {
	*fleet.Config
	Services   []fleet.Service
	ModelNames [][]string // by service
}

// Check returns all findings, those of one entry together.
func Check(c Config) []Finding {
	k := &checker{config: c, used: map[string]bool{}}
	if c.Version <= 0 {
		k.add(Error, Place{Field: "Version"}, "must be above 0")
	}
	for i := range c.Routes {
		k.route(i)
	}
	k.services()
	k.teams()
	k.limits()
	return k.findings
}

type checker struct {
	config   Config
	used     map[string]bool // services that a route names
	findings []Finding
}

func (k *checker) add(level Level, place Place, format string, args ...any) {
	k.findings = append(k.findings, Finding{level, place, fmt.Sprintf(format, args...)})
}

func (k *checker) notNegative(place Place, n int64) {
	if n < 0 {
		k.add(Error, place, "is below 0")
	}
}

func (k *checker) service(name string) (fleet.Service, bool) {
	i := slices.IndexFunc(k.config.Services, func(s fleet.Service) bool { return s.Name == name })
	if i < 0 {
		return fleet.Service{}, false
	}
	return k.config.Services[i], true
}

// maxPriority is the least urgent priority that targets accept.
const maxPriority = 9

func (k *checker) route(i int) {
	r := &k.config.Routes[i]
	at := func(field string) Place { return Place{Section: Routes, Index: i, Field: field} }
	if r.Host == "" {
		k.add(Error, at("Host"), "is empty, so that no request matches")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		k.add(Error, at("PathPrefix"), "%q must begin and end with a slash", r.PathPrefix)
	}
	if r.Kind != fleet.Idempotent && r.Kind != fleet.NonIdempotent && r.Kind != fleet.Streaming {
		k.add(Error, at("Kind"), "%q is no kind of route", r.Kind)
	}
	for j := range i {
		if o := &k.config.Routes[j]; o.Host == r.Host && o.PathPrefix == r.PathPrefix {
			k.add(Error, at(""), "never matches: route %q has the same host and path prefix and comes first", o.Name)
			break
		}
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		k.add(Error, at("Priority"), "%d is not between 0 and %d", r.Priority, maxPriority)
	}
	k.destinations(r, at)
	k.routeTimes(r, at)
	k.homes(r, at)
}

func (k *checker) destinations(r *fleet.Route, at func(string) Place) {
	total := 0.0
	for _, d := range r.Destinations {
		if _, known := k.service(d.Service); !known {
			k.add(Error, at("Destinations"), "service %q does not exist", d.Service)
		}
		if d.Weight < 0 {
			k.add(Error, at("Destinations"), "the weight of service %q is below 0", d.Service)
		}
		if d.Weight == 0 {
			k.add(Warning, at("Destinations"), "service %q has a weight of 0 and gets no requests", d.Service)
		} else {
			k.used[d.Service] = true
		}
		total += max(0, d.Weight)
	}
	if total == 0 {
		k.add(Error, at("Destinations"), "no service gets the requests of this route")
	}
}

func (k *checker) routeTimes(r *fleet.Route, at func(string) Place) {
	k.notNegative(at("Timeout"), int64(r.Timeout))
	k.notNegative(at("Objective"), int64(r.Objective))
	k.notNegative(at("GapObjective"), int64(r.GapObjective))
	if r.Timeout > 0 && r.Objective > r.Timeout {
		k.add(Error, at("Objective"), "%v is longer than the route's timeout of %v, so no response meets it", r.Objective, r.Timeout)
	}
	if r.Kind != fleet.Streaming && r.Resumable {
		k.add(Warning, at("Resumable"), "has no effect: only streams are resumed")
	}
	if r.Kind != fleet.Streaming && r.GapObjective > 0 {
		k.add(Warning, at("GapObjective"), "has no effect: only streams have pauses")
	}
	if r.Attempts > 1 && !r.Retryable() {
		k.add(Warning, at("Attempts"), "%d has no effect: a request of this route may run once at most", r.Attempts)
	}
}

// homes checks that some team may use a route with homes.
func (k *checker) homes(r *fleet.Route, at func(string) Place) {
	if len(r.Homes) == 0 || r.Public || len(k.config.Teams) == 0 {
		return
	}
	var excluded []string
	for _, t := range k.config.Teams {
		if len(t.Homes) > 0 && !slices.ContainsFunc(t.Homes, func(home string) bool { return slices.Contains(r.Homes, home) }) {
			excluded = append(excluded, t.Name)
		}
	}
	switch {
	case len(excluded) == len(k.config.Teams):
		k.add(Error, at("Homes"), "no team has a home among those of this route, so all its requests are refused")
	case len(excluded) > 0:
		k.add(Warning, at("Homes"), "requests of the teams %s are refused: they have no home in common with this route", strings.Join(excluded, ", "))
	}
}
