// Package platform defines the versioned object API of the platform as the
// rest of buckthornseam sees it, and a client for its HTTP form.
//
// The API is the only place where anything is agreed on or kept. It follows
// the Kubernetes API conventions: every object carries a resource version, an
// update is conditional on it, a list carries the version it was taken at, and
// a watch streams the changes after a version.
package platform

import (
	"context"
	"encoding/json"
)

// Version is a resource version. Versions of all kinds are drawn from one
// counter, so a later change always carries a larger version. Zero means
// "no version": in an update it stands for an object that must not exist yet.
type Version uint64

// Kind names a collection of objects.
type Kind string

// The kinds used by buckthornseam. Hosts is written by the platform only.
const (
	KindInstances  Kind = "instances"  // template instances submitted by operators
	KindHosts      Kind = "hosts"      // lagging list of entry and target hosts
	KindLeases     Kind = "leases"     // one object per lease
	KindQuotas     Kind = "quotas"     // share epochs of fleet-wide limits
	KindPlacements Kind = "placements" // one object of memory slots per target
	KindJournals   Kind = "journals"   // attempts of calls that may not be repeated
)

// MaxObjectBytes is the largest value that the platform stores in one object.
const MaxObjectBytes = 1 << 20

// Object is one stored value.
type Object struct {
	Kind    Kind            // collection
	Name    string          // unique within Kind
	Version Version         // version of the last change; precondition of an update
	Created Version         // version of its creation, where the API tells; 0: not told
	OpID    string          // unique id of the write that produced this version
	Data    json.RawMessage // value, at most MaxObjectBytes
}

// List is a consistent reading of one kind.
type List struct {
	Version Version  // version the list was taken at
	Items   []Object // unordered
}

// EventType says what happened to an object.
type EventType string

// The event types of a watch. A bookmark carries only a version: everything
// up to that version has been delivered.
const (
	EventPut      EventType = "PUT"
	EventDelete   EventType = "DELETE"
	EventBookmark EventType = "BOOKMARK"
)

// Event is one change seen by a watch.
type Event struct {
	Type   EventType
	Object Object // for EventDelete, Version is the version of the deletion
}

// Watch is an open stream of changes.
type Watch interface {
	// Events is closed when the watch ends; Err then says why.
	Events() <-chan Event
	// Err returns the reason the watch ended, nil after Stop. An
	// *ExpiredError asks the caller to list again.
	Err() error
	// Stop ends the watch and releases its connection.
	Stop()
}

// API is the platform's object API. Implementations are safe for concurrent
// use. Every method honours ctx; a write whose ctx ends after the request was
// sent fails with *UnknownOutcomeError.
type API interface {
	// Get returns the object or *NotFoundError.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// List returns all objects of a kind at one version.
	List(ctx context.Context, kind Kind) (List, error)
	// Put creates the object if obj.Version is zero and otherwise replaces
	// the version named by obj.Version. A failed precondition is a
	// *ConflictError. An empty OpID is filled in. The stored object is
	// returned.
	Put(ctx context.Context, obj Object) (Object, error)
	// Delete removes the object if its version is still version.
	Delete(ctx context.Context, kind Kind, name string, version Version) error
	// Watch streams the changes of a kind after a version.
	Watch(ctx context.Context, kind Kind, after Version) (Watch, error)
}
