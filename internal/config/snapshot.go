package config

import (
	"sort"
	"strings"

	"buckthornseam.dev/seam/internal/platform"
)

// OfferingID identifies an offering.
type OfferingID struct {
	Team string
	Name string
}

// Snapshot is one consistent configuration. It is immutable: a reader that keeps one
// pointer throughout an operation never sees a mixture of two versions.
type Snapshot struct {
	Version   platform.Version
	Teams     map[string]*Team
	Keys      map[string]*Key // by hash
	Models    map[string]*Model
	Offerings map[OfferingID]*Offering
	Targets   map[string]*Target
	Services  []*Service // longest prefix first
	Faults    []Fault    // invalid instances, and definitions that another instance already provides
}

// NewSnapshot indexes entities. An entity that refers to a missing one is kept: the
// missing one may be submitted later, and requests that need it are refused until then.
func NewSnapshot(version platform.Version, e Entities) *Snapshot {
	s := &Snapshot{
		Version:   version,
		Teams:     make(map[string]*Team, len(e.Teams)),
		Keys:      make(map[string]*Key, len(e.Keys)),
		Models:    make(map[string]*Model, len(e.Models)),
		Offerings: make(map[OfferingID]*Offering, len(e.Offerings)),
		Targets:   make(map[string]*Target, len(e.Targets)),
	}
	for i := range e.Teams {
		s.Teams[e.Teams[i].Name] = &e.Teams[i]
	}
	for i := range e.Keys {
		s.Keys[e.Keys[i].Hash] = &e.Keys[i]
	}
	for i := range e.Models {
		s.Models[e.Models[i].Name] = &e.Models[i]
	}
	for i := range e.Offerings {
		o := &e.Offerings[i]
		s.Offerings[OfferingID{Team: o.Team, Name: o.Name}] = o
	}
	for i := range e.Targets {
		s.Targets[e.Targets[i].Name] = &e.Targets[i]
	}
	for i := range e.Services {
		s.Services = append(s.Services, &e.Services[i])
	}
	sort.Slice(s.Services, func(i, j int) bool { return len(s.Services[i].Prefix) > len(s.Services[j].Prefix) })
	return s
}

// ServiceFor returns the service with the longest prefix that matches path, nil if there
// is none.
func (s *Snapshot) ServiceFor(path string) *Service {
	for _, svc := range s.Services {
		if hasPathPrefix(path, svc.Prefix) {
			return svc
		}
	}
	return nil
}

// hasPathPrefix reports whether prefix matches whole segments of path.
func hasPathPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) {
		return false
	}
	rest := path[len(prefix):]
	return rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/")
}

// Admits reports whether team may call the service.
func (s *Service) Admits(team string) bool {
	if len(s.Teams) == 0 {
		return true
	}
	for _, t := range s.Teams {
		if t == team {
			return true
		}
	}
	return false
}

// Source provides the snapshot in force on this host. Snapshot never returns nil.
type Source interface {
	Snapshot() *Snapshot
}
