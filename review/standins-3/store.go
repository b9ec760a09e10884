//go:build ignore

// The stand-ins of the third review: the platform's store, engines, consumers and the start of the daemons. They use the standard
// library only, and know of the system what the pages of its users say.
package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// pageItems is the length of a page of a list.
const pageItems = 500

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	at       time.Time
	kind     string
	revision uint64
	Object   *object `json:"object"`
	Removed  bool    `json:"removed"`
}

// Store is a sound store: it answers at once, and loses nothing. Calls with serializable are answered with data that is as old as
// StaleBy says.
type Store struct {
	StaleBy  time.Duration
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
}

func newStore() *Store {
	return &Store{revision: 100, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

// Door is an address of the store. A platform that turns some machines away refuses at their door.
type Door struct {
	Address string
	store   *Store
	busy    atomic.Bool
}

func (s *Store) door(ip string) *Door {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	must(err)
	d := &Door{Address: l.Addr().String(), store: s}
	go http.Serve(l, d)
	return d
}

func (d *Door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.busy.Load() {
		w.Header().Set("Store-Era", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.store.serve(w, r, &d.busy)
}

// Write is a write of the operator or of an engine. It returns when the store has acknowledged it.
func (s *Store) Write(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, data)
	return time.Now()
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) remove(kind, name string) {
	old := s.objects[kind][name]
	if old == nil {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	gone := *old
	gone.Metadata.Revision = s.revision
	s.record(event{time.Now(), kind, s.revision, &gone, true})
}

func (s *Store) put(kind, name string, spec json.RawMessage) *object {
	old := s.objects[kind][name]
	if old != nil && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := &object{Metadata: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if old != nil {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][name] = o
	s.record(event{time.Now(), kind, s.revision, o, false})
	return o
}

func (s *Store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, busy *atomic.Bool) {
	w.Header().Set("Store-Era", "1")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	q := r.URL.Query()
	if r.Method == http.MethodGet && q.Has("watch") {
		s.watch(w, r, kind, busy)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	switch r.Method {
	case http.MethodGet:
		switch {
		case name == "":
			objects, revision := s.objects[kind], s.revision
			if q.Has("serializable") {
				objects, revision = s.before(kind)
			}
			list(w, objects, revision, q.Get("after"))
		case old == nil:
			w.WriteHeader(http.StatusNotFound)
		default:
			reply(w, http.StatusOK, old)
		}
	case http.MethodDelete:
		want := q.Get("revision")
		switch {
		case old == nil:
			w.WriteHeader(http.StatusNotFound)
		case want != "" && want != strconv.FormatUint(old.Metadata.Revision, 10):
			reply(w, http.StatusConflict, old)
		default:
			s.remove(kind, name)
			reply(w, http.StatusOK, old)
		}
	default:
		var o object
		if json.NewDecoder(r.Body).Decode(&o) != nil || o.Metadata.Name == "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		old = s.objects[kind][o.Metadata.Name]
		switch {
		case r.Method == http.MethodPost && old != nil:
			reply(w, http.StatusConflict, old)
		case r.Method == http.MethodPut && old == nil:
			w.WriteHeader(http.StatusNotFound)
		case r.Method == http.MethodPut && o.Metadata.Revision != 0 && o.Metadata.Revision != old.Metadata.Revision:
			reply(w, http.StatusConflict, old)
		default:
			reply(w, http.StatusOK, s.put(kind, o.Metadata.Name, o.Spec))
		}
	}
}

// before returns the objects of a kind and the revision as they were StaleBy ago.
func (s *Store) before(kind string) (map[string]*object, uint64) {
	objects, revision := map[string]*object{}, uint64(100)
	for _, e := range s.history {
		if time.Since(e.at) < s.StaleBy {
			break
		}
		revision = e.revision
		switch {
		case e.kind != kind:
		case e.Removed:
			delete(objects, e.Object.Metadata.Name)
		default:
			objects[e.Object.Metadata.Name] = e.Object
		}
	}
	return objects, revision
}

func list(w http.ResponseWriter, objects map[string]*object, revision uint64, after string) {
	names := make([]string, 0, len(objects))
	for name := range objects {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageItems
	if more {
		names = names[:pageItems]
	}
	items := []*object{}
	for _, name := range names {
		items = append(items, objects[name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more_pages": more, "store_revision": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string, busy *atomic.Bool) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	check := time.NewTicker(20 * time.Millisecond)
	defer check.Stop()
	for ended := false; ; {
		s.mu.Lock()
		events, changed, revision := []event{}, s.changed, s.revision
		if r.URL.Query().Has("serializable") {
			_, revision = s.before(kind)
		}
		for _, e := range s.history {
			if e.revision <= revision && e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			ended = true
		case <-check.C:
			if busy.Load() {
				panic(http.ErrAbortHandler) // a watch that is waiting may be cut off
			}
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
