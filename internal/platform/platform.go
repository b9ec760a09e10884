// Package platform defines the platform's versioned object API and a client for its HTTP
// form.
//
// The API is the only durable store, and the only place where hosts agree on anything.
// It follows the conventions of the Kubernetes API: every object carries a resource
// version, an update is conditional on it, a list carries the version that it was taken
// at, and a watch streams the changes after a version.
package platform

import (
	"context"
	"encoding/json"
)

// Version is a resource version. Versions of all kinds are drawn from one counter, so a
// later change always has a larger version. Zero means "no version": in an update, it
// requires that the object does not exist yet.
//
// If the store names its era, the version holds the era in its high bits. A restored store gives
// revisions out again, so only the two together order the changes.
type Version uint64

// Layout of a Version. Versions serve as fencing tokens too, which other systems read as
// numbers with 53 significant bits.
const (
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(53-revisionBits) - 1
)

// NewVersion returns the version of a revision in an era. It fails with *VersionRangeError.
func NewVersion(era Era, revision uint64) (Version, error) {
	if revision > maxRevision || era > maxEra {
		return 0, &VersionRangeError{Era: era, Revision: revision}
	}
	return Version(era)<<revisionBits | Version(revision), nil
}

// Era returns the era in which the revision was given out, 0 if the store named none.
func (v Version) Era() Era { return Era(v >> revisionBits) }

// Revision returns the revision of the store.
func (v Version) Revision() uint64 { return uint64(v & maxRevision) }

// Kind is the name of a collection of objects.
type Kind string

// The kinds used by buckthornseam. Only the platform writes KindHosts.
const (
	KindInstances  Kind = "instances"  // template instances submitted by operators
	KindHosts      Kind = "hosts"      // entry and target hosts; the list may lag behind
	KindLeases     Kind = "leases"     // one object per lease
	KindQuotas     Kind = "quotas"     // assignments of fleet-wide limits to hosts, with their epochs
	KindPlacements Kind = "placements" // memory slots of the targets, one object per target
	KindJournals   Kind = "journals"   // attempts of calls that must not be repeated
)

// MaxObjectBytes is the largest value that the platform stores in one object.
const MaxObjectBytes = 1 << 20

// Object is one stored value.
type Object struct {
	Kind    Kind            // collection
	Name    string          // unique within Kind
	Version Version         // version of the last change; precondition of an update
	Created Version         // version of its creation, 0 if the API does not return it
	OpID    string          // unique id of the write that produced this version
	Data    json.RawMessage // value, at most MaxObjectBytes
}

// List is a consistent list of all objects of one kind.
type List struct {
	Version Version  // version the list was taken at
	Items   []Object // unordered
}

// EventType is the type of a watch event.
type EventType string

// The event types of a watch. A bookmark carries only a version: all changes up
// to that version have been delivered.
const (
	EventPut      EventType = "PUT"
	EventDelete   EventType = "DELETE"
	EventBookmark EventType = "BOOKMARK"
)

// Event is one change delivered by a watch.
type Event struct {
	Type   EventType
	Object Object // for EventDelete, Version is the version of the deletion
}

// Watch is an open stream of changes.
type Watch interface {
	// Events returns the channel of events. It is closed when the watch ends; Err then
	// returns the reason.
	Events() <-chan Event
	// Err returns the reason the watch ended, nil after Stop. After an *ExpiredError,
	// the caller has to list again.
	Err() error
	// Stop ends the watch and releases its connection.
	Stop()
}

// API is the platform's object API. Implementations are safe for concurrent use. All
// methods honour ctx. A write whose ctx ends after the request was sent fails with
// *UnknownOutcomeError.
type API interface {
	// Get returns the object or *NotFoundError.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind at one version.
	List(ctx context.Context, kind Kind) (List, error)
	// Put creates the object if obj.Version is zero, and otherwise replaces the version
	// obj.Version. It returns the stored object, or *ConflictError if the precondition
	// failed. An empty OpID is filled in.
	Put(ctx context.Context, obj Object) (Object, error)
	// Delete removes the object if its current version is version.
	Delete(ctx context.Context, kind Kind, name string, version Version) error
	// Watch streams the changes of a kind after a version.
	Watch(ctx context.Context, kind Kind, after Version) (Watch, error)
}
