// Package homes decides to which regions a request is bound. A route and a team may each have home regions; where both
// have some, both lists are binding.
package homes

import (
	"slices"
	"strings"
)

// Binding tells to which regions a request is bound, and by what. The zero value binds to none.
type Binding struct {
	// Regions are the allowed regions in alphabetical order. nil: all are allowed; empty: none is.
	Regions []string
	// By names what has homes: "route", "team" or "route and team"; empty: nothing.
	By string
}

// Values of Binding.By.
const (
	ByRoute = "route"
	ByTeam  = "team"
	ByBoth  = "route and team"
)

// Bind returns the binding of a request whose route and team have the given homes. An empty list stands for no homes.
func Bind(route, team []string) Binding {
	switch {
	case len(route) == 0 && len(team) == 0:
		return Binding{}
	case len(team) == 0:
		return Binding{Regions: normal(route), By: ByRoute}
	case len(route) == 0:
		return Binding{Regions: normal(team), By: ByTeam}
	}
	return Binding{Regions: intersect(normal(route), normal(team)), By: ByBoth}
}

// normal returns a sorted list without duplicates and without the empty name, which is no region.
func normal(regions []string) []string {
	out := make([]string, 0, len(regions))
	for _, r := range regions {
		if r != "" {
			out = append(out, r)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// intersect returns the regions that are in both lists, never nil.
func intersect(a, b []string) []string {
	out := make([]string, 0, min(len(a), len(b)))
	for _, r := range a {
		if slices.Contains(b, r) {
			out = append(out, r)
		}
	}
	return out
}

// Bound reports whether some regions are not allowed.
func (b Binding) Bound() bool { return b.Regions != nil }

// Allows reports whether a request with the allowed regions (nil: all) may be sent to a region. An empty region, which
// stands for a zone without one, is allowed only if all are.
func Allows(regions []string, region string) bool {
	return regions == nil || region != "" && slices.Contains(regions, region)
}

// Refusal returns why a request can be served in no region of a deployment whose zones are in the given regions. It is empty if
// the request can be served.
func (b Binding) Refusal(regionOfZone map[string]string) string {
	switch {
	case b.Regions == nil:
		return ""
	case len(b.Regions) == 0 && b.By == ByBoth:
		return "no region is a home of both the route and the team"
	case len(b.Regions) == 0:
		return "the home_regions of the " + b.By + " name no region"
	}
	for _, region := range regionOfZone {
		if slices.Contains(b.Regions, region) {
			return ""
		}
	}
	return "no zone of the deployment is in a home region of the " + b.By + ": " + strings.Join(b.Regions, ",")
}

// Common returns the regions that are in all of the lists that are not empty, in alphabetical order. It returns nil if all lists
// are empty.
func Common(lists ...[]string) []string {
	var out []string
	for _, list := range lists {
		switch {
		case len(list) == 0:
		case out == nil:
			out = normal(list)
		default:
			out = intersect(out, normal(list))
		}
	}
	return out
}

// Overlap reports whether two sets of allowed regions (nil: all) have a region in common.
func Overlap(a, b []string) bool {
	if a == nil || b == nil {
		return true
	}
	return slices.ContainsFunc(a, func(region string) bool { return slices.Contains(b, region) })
}

// Unknown returns the homes, in alphabetical order, in which no zone of the deployment is.
func Unknown(regions []string, regionOfZone map[string]string) []string {
	known := map[string]bool{}
	for _, region := range regionOfZone {
		known[region] = true
	}
	var out []string
	for _, r := range regions {
		if r == "" || !known[r] {
			out = append(out, r)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Key returns a string that is equal for equal sets of regions as Bind returns them, for use as a key.
func Key(regions []string) string { return strings.Join(regions, keySeparator) }

// OfKey returns the set of regions of a key that is not empty.
func OfKey(key string) []string { return strings.Split(key, keySeparator) }

const keySeparator = "\x00"
