// Package objectapi is a stand-in for the platform's object API: an in-process store
// with versions, conditional updates and watches, fault injection, and an HTTP
// interface that follows the Kubernetes conventions.
package objectapi

import (
	"context"
	"sync"

	"github.com/google/uuid"

	"buckthornseam.dev/seam/internal/platform"
)

// historyLimit is the number of changes kept for watches.
const historyLimit = 10000

// watchBuffer is the number of events buffered for one watch.
const watchBuffer = 1024

type change struct {
	event platform.Event
}

// Store implements platform.API in process. The method Client returns a
// client with faults of its own.
type Store struct {
	mu             sync.Mutex
	version        platform.Version
	objects        map[platform.Kind]map[string]platform.Object
	history        []change
	expiredVersion platform.Version // changes up to this version are no longer in history
	watches        map[*watch]struct{}
	calls          map[string]int64
	faults         Faults
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: map[platform.Kind]map[string]platform.Object{},
		watches: map[*watch]struct{}{},
		calls:   map[string]int64{},
	}
}

// Calls returns the number of calls by operation ("get", "list", "put", "delete",
// "watch"), including failed ones.
func (s *Store) Calls() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int64, len(s.calls))
	for op, n := range s.calls {
		out[op] = n
	}
	return out
}

// Get implements platform.API.
func (s *Store) Get(ctx context.Context, kind platform.Kind, name string) (platform.Object, error) {
	if err := s.beforeCall(ctx, "get", kind, name); err != nil {
		return platform.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	obj, ok := s.objects[kind][name]
	if !ok {
		return platform.Object{}, &platform.NotFoundError{Kind: kind, Name: name}
	}
	return obj, nil
}

// List implements platform.API.
func (s *Store) List(ctx context.Context, kind platform.Kind) (platform.List, error) {
	if err := s.beforeCall(ctx, "list", kind, ""); err != nil {
		return platform.List{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := platform.List{Version: s.version}
	for _, obj := range s.objects[kind] {
		list.Items = append(list.Items, obj)
	}
	return list, nil
}

// Put implements platform.API.
func (s *Store) Put(ctx context.Context, obj platform.Object) (platform.Object, error) {
	if err := s.beforeCall(ctx, "put", obj.Kind, obj.Name); err != nil {
		return platform.Object{}, err
	}
	if len(obj.Data) > platform.MaxObjectBytes {
		return platform.Object{}, &platform.InvalidError{Kind: obj.Kind, Name: obj.Name, Reason: "value too large"}
	}
	if obj.OpID == "" {
		obj.OpID = uuid.NewString()
	}
	stored, err := s.put(obj)
	if err != nil {
		return platform.Object{}, err
	}
	return stored, s.afterWrite(ctx, obj.Kind, obj.Name, obj.OpID)
}

func (s *Store) put(obj platform.Object) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[obj.Kind][obj.Name]
	if current.Version != obj.Version {
		return platform.Object{}, &platform.ConflictError{
			Kind: obj.Kind, Name: obj.Name, Expected: obj.Version, Found: current.Version,
		}
	}
	s.version++
	obj.Version = s.version
	obj.Data = append([]byte(nil), obj.Data...)
	if s.objects[obj.Kind] == nil {
		s.objects[obj.Kind] = map[string]platform.Object{}
	}
	s.objects[obj.Kind][obj.Name] = obj
	s.record(platform.Event{Type: platform.EventPut, Object: obj})
	return obj, nil
}

// Delete implements platform.API.
func (s *Store) Delete(ctx context.Context, kind platform.Kind, name string, version platform.Version) error {
	if err := s.beforeCall(ctx, "delete", kind, name); err != nil {
		return err
	}
	if err := s.remove(kind, name, version); err != nil {
		return err
	}
	return s.afterWrite(ctx, kind, name, "")
}

func (s *Store) remove(kind platform.Kind, name string, version platform.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, ok := s.objects[kind][name]
	if !ok {
		return &platform.NotFoundError{Kind: kind, Name: name}
	}
	if current.Version != version {
		return &platform.ConflictError{Kind: kind, Name: name, Expected: version, Found: current.Version}
	}
	delete(s.objects[kind], name)
	s.version++
	current.Version = s.version
	s.record(platform.Event{Type: platform.EventDelete, Object: current})
	return nil
}

// record appends an event to the history and delivers it to the watches; the caller
// holds mu.
func (s *Store) record(e platform.Event) {
	s.history = append(s.history, change{event: e})
	if len(s.history) > historyLimit {
		s.expiredVersion = s.history[0].event.Object.Version
		s.history = s.history[1:]
	}
	for w := range s.watches {
		w.deliver(e)
	}
}

// Expire discards the history, so that opening a watch from an older version fails
// with *platform.ExpiredError.
func (s *Store) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expiredVersion = s.version
	s.history = nil
}
