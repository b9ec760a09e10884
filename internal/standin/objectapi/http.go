package objectapi

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"

	"buckthornseam.dev/seam/internal/platform"
)

// bookmarkInterval is the time between bookmarks on an idle watch.
const bookmarkInterval = time.Second

// server serves a Store over HTTP.
type server struct {
	store *Store
}

// Handler returns an HTTP handler that serves the store with the paths, documents
// and status codes of package platform's wire format.
func Handler(store *Store) http.Handler {
	s := &server{store: store}
	r := mux.NewRouter()
	base := platform.BasePath + "/{kind}"
	r.HandleFunc(base, s.list).Methods(http.MethodGet)
	r.HandleFunc(base, s.create).Methods(http.MethodPost)
	r.HandleFunc(base+"/{name}", s.get).Methods(http.MethodGet)
	r.HandleFunc(base+"/{name}", s.update).Methods(http.MethodPut)
	r.HandleFunc(base+"/{name}", s.remove).Methods(http.MethodDelete)
	return r
}

func (s *server) get(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	obj, err := s.store.Get(r.Context(), platform.Kind(v["kind"]), v["name"])
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, platform.ToWire(obj))
}

func (s *server) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") == "true" {
		s.watch(w, r)
		return
	}
	list, err := s.store.List(r.Context(), platform.Kind(mux.Vars(r)["kind"]))
	if err != nil {
		writeError(w, err)
		return
	}
	wire := platform.WireList{Metadata: platform.WireMeta{ResourceVersion: list.Version}}
	for _, obj := range list.Items {
		wire.Items = append(wire.Items, platform.ToWire(obj))
	}
	writeJSON(w, http.StatusOK, wire)
}

func (s *server) create(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, http.StatusCreated)
}

func (s *server) update(w http.ResponseWriter, r *http.Request) {
	s.write(w, r, http.StatusOK)
}

func (s *server) write(w http.ResponseWriter, r *http.Request, status int) {
	var wire platform.WireObject
	body := http.MaxBytesReader(w, r.Body, 2*platform.MaxObjectBytes)
	if err := json.NewDecoder(body).Decode(&wire); err != nil {
		writeError(w, &platform.InvalidError{Reason: "malformed document"})
		return
	}
	obj := wire.Object(platform.Kind(mux.Vars(r)["kind"]))
	stored, err := s.store.Put(r.Context(), obj)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, status, platform.ToWire(stored))
}

func (s *server) remove(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	version, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		writeError(w, &platform.InvalidError{Kind: platform.Kind(v["kind"]), Name: v["name"], Reason: "resourceVersion missing"})
		return
	}
	err = s.store.Delete(r.Context(), platform.Kind(v["kind"]), v["name"], platform.Version(version))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, platform.WireStatus{Code: http.StatusOK})
}

func (s *server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		writeError(w, &platform.InvalidError{Reason: "resourceVersion missing"})
		return
	}
	stream, err := s.store.Watch(r.Context(), platform.Kind(mux.Vars(r)["kind"]), platform.Version(after))
	if err != nil {
		writeError(w, err)
		return
	}
	defer stream.Stop()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	s.stream(w, r, stream)
}

func (s *server) stream(w http.ResponseWriter, r *http.Request, stream platform.Watch) {
	flush := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	tick := time.NewTicker(bookmarkInterval)
	defer tick.Stop()
	_ = flush.Flush() // the response header tells the client that the watch is open
	for {
		var e platform.Event
		var open bool
		select {
		case <-r.Context().Done():
			return
		case e, open = <-stream.Events():
			if !open {
				return
			}
		case <-tick.C:
			e, open = s.bookmark(stream)
			if !open {
				continue
			}
		}
		if err := enc.Encode(platform.EventToWire(e)); err != nil {
			return
		}
		_ = flush.Flush()
	}
}

// bookmark returns a bookmark event. It returns none if watches are silenced, or if
// events up to the bookmark's version are still waiting to be sent.
func (s *server) bookmark(stream platform.Watch) (platform.Event, bool) {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	if s.store.faults.SilentWatches || len(stream.Events()) > 0 {
		return platform.Event{}, false
	}
	return platform.Event{Type: platform.EventBookmark, Object: platform.Object{Version: s.store.version}}, true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}

// writeError writes the status document of an error. For an unknown outcome it aborts
// the connection instead.
func writeError(w http.ResponseWriter, err error) {
	var unknown *platform.UnknownOutcomeError
	if errors.As(err, &unknown) {
		panic(http.ErrAbortHandler)
	}
	status := platform.StatusOf(err)
	writeJSON(w, status.Code, status)
}
