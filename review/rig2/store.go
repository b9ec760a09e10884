package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the platform's store.
type object struct {
	Metadata map[string]any  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status,omitempty"`
	rev      uint64
}

type event struct {
	kind string
	rev  uint64
	obj  *object
	gone bool
}

// store is a stand-in for the platform's store, in the form "objects". It has no faults.
type store struct {
	mu      sync.Mutex
	rev     uint64
	era     int // rises by one each time the store is restored from a copy
	objects map[string]map[string]*object
	events  []event
	changed chan struct{}
	addr    string
}

func newStore() *store {
	return &store{rev: 100, era: 1, objects: map[string]map[string]*object{}, changed: make(chan struct{})}
}

func (s *store) listen(ip string) {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.addr = l.Addr().String()
	go http.Serve(l, s)
}

func (s *store) note(kind string, o *object, gone bool) {
	s.events = append(s.events, event{kind, s.rev, o, gone})
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an object whatever its revision, as the operator and the engines do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, data)
}

func (s *store) putLocked(kind, name string, data json.RawMessage) *object {
	old := s.objects[kind][name]
	if old != nil && string(old.Spec) == string(data) {
		return old
	}
	s.rev++
	created := s.rev
	if old != nil {
		created = old.Metadata["created"].(uint64)
	}
	o := &object{Spec: data, rev: s.rev, Metadata: map[string]any{"name": name, "revision": s.rev, "created": created, "finalizers": []string{}, "deleting": false}}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	s.objects[kind][name] = o
	s.note(kind, o, false)
	return o
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	if o := s.objects[kind][name]; o != nil {
		delete(s.objects[kind], name)
		s.rev++
		s.note(kind, o, true)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(era))
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	q := r.URL.Query()
	if r.Method == http.MethodGet && name == "" && q.Has("watch") {
		s.watch(w, r, kind, era)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.objects[kind][name]
	switch r.Method {
	case http.MethodGet:
		if name != "" {
			if old == nil {
				reply(w, 404, map[string]any{})
				return
			}
			reply(w, 200, old)
			return
		}
		names := []string{}
		for n := range s.objects[kind] {
			if n > q.Get("after") {
				names = append(names, n)
			}
		}
		sort.Strings(names)
		items, more := []*object{}, false
		for i, n := range names {
			if i == 500 {
				more = true
				break
			}
			items = append(items, s.objects[kind][n])
		}
		reply(w, 200, map[string]any{"items": items, "more_pages": more, "store_revision": s.rev})
	case http.MethodPost, http.MethodPut:
		var in struct {
			Metadata struct {
				Name     string `json:"name"`
				Revision uint64 `json:"revision"`
			} `json:"metadata"`
			Spec json.RawMessage `json:"spec"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			reply(w, 400, map[string]any{})
			return
		}
		if r.Method == http.MethodPost {
			if o := s.objects[kind][in.Metadata.Name]; o != nil {
				reply(w, 409, o)
				return
			}
			reply(w, 200, s.putLocked(kind, in.Metadata.Name, in.Spec))
			return
		}
		if old == nil {
			reply(w, 404, map[string]any{})
			return
		}
		if in.Metadata.Revision != 0 && in.Metadata.Revision != old.rev {
			reply(w, 409, old)
			return
		}
		reply(w, 200, s.putLocked(kind, name, in.Spec))
	case http.MethodDelete:
		if old == nil {
			reply(w, 404, map[string]any{})
			return
		}
		if v := q.Get("revision"); v != "" && v != fmt.Sprint(old.rev) {
			reply(w, 409, old)
			return
		}
		s.removeLocked(kind, name)
		reply(w, 200, map[string]any{})
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, era int) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if s.era != era { // a watch that is waiting is cut off
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.rev {
			s.mu.Unlock()
			reply(w, 410, map[string]any{})
			return
		}
		events := []any{}
		for _, e := range s.events {
			if e.kind == kind && e.rev > after {
				events = append(events, map[string]any{"object": e.obj, "removed": e.gone})
			}
		}
		changed, rev := s.changed, s.rev
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "store_revision": rev})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, 200, map[string]any{"events": events, "store_revision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// copyOf is what a copy of the store holds.
type copyOf struct {
	rev     uint64
	objects map[string]map[string]*object
	events  []event
}

// copy returns a copy of the store. Objects are replaced, never changed.
func (s *store) copy() copyOf {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := copyOf{rev: s.rev, objects: map[string]map[string]*object{}, events: slices.Clone(s.events)}
	for kind, byName := range s.objects {
		c.objects[kind] = maps.Clone(byName)
	}
	return c
}

// restore begins a new era from a copy.
func (s *store) restore(c copyOf) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev, s.objects, s.events = c.rev, c.objects, c.events
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}
