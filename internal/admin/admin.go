// Package admin is the interface for operators: template instances, status,
// metrics and health.
package admin

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// Options configure a Handler.
type Options struct {
	API       platform.API
	Config    config.Source
	Members   peer.Members
	TokenHash string // hash of the operators' token
	Metrics   http.Handler
	Ready     func() bool
	Log       logrus.FieldLogger
}

// Handler answers operators.
type Handler struct {
	opts      Options
	templates map[string]*config.Template
	routes    http.Handler
}

// Instance is a stored template instance.
type Instance struct {
	Name    string           `json:"name"`
	Version platform.Version `json:"version,string"`
	config.Instance
}

// Problem is the JSON form of a failure.
type Problem struct {
	Code     string           `json:"code"`
	Message  string           `json:"message"`
	Faults   []config.Fault   `json:"faults,omitempty"`
	Expected platform.Version `json:"expected,omitempty,string"` // version the operator named
	Found    platform.Version `json:"found,omitempty,string"`    // version stored
}

// Status describes the host that answers.
type Status struct {
	Self    peer.Member      `json:"self"`
	Members []peer.Member    `json:"members"`
	Version platform.Version `json:"config_version,string"`
	Ready   bool             `json:"ready"`
	Counts  map[string]int   `json:"counts"`
}

// New returns a handler.
func New(opts Options) (*Handler, error) {
	templates, err := config.Templates()
	if err != nil {
		return nil, err
	}
	h := &Handler{opts: opts, templates: templates}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, "ok") })
	r.HandleFunc("/readyz", h.ready)
	r.Handle("/metrics", opts.Metrics)
	a := r.PathPrefix("/admin/v1").Subrouter()
	a.Use(h.authorize)
	a.HandleFunc("/status", h.status).Methods(http.MethodGet)
	a.HandleFunc("/instances", h.list).Methods(http.MethodGet)
	a.HandleFunc("/instances/{name}", h.get).Methods(http.MethodGet)
	a.HandleFunc("/instances/{name}", h.put).Methods(http.MethodPut)
	a.HandleFunc("/instances/{name}", h.remove).Methods(http.MethodDelete)
	h.routes = r
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.routes.ServeHTTP(w, r) }

func (h *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(config.HashKey(token)), []byte(h.opts.TokenHash)) != 1 {
			reply(w, http.StatusUnauthorized, Problem{Code: "unauthorized", Message: "the operators' token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.opts.Ready() {
		reply(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	reply(w, http.StatusOK, "ready")
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	s := h.opts.Config.Snapshot()
	reply(w, http.StatusOK, Status{
		Self:    h.opts.Members.Self(),
		Members: h.opts.Members.Members(),
		Version: s.Version,
		Ready:   h.opts.Ready(),
		Counts: map[string]int{
			"teams": len(s.Teams), "keys": len(s.Keys), "models": len(s.Models),
			"offerings": len(s.Offerings), "targets": len(s.Targets), "services": len(s.Services),
		},
	})
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	list, err := h.opts.API.List(r.Context(), platform.KindInstances)
	if err != nil {
		fail(w, err)
		return
	}
	out := []Instance{}
	for _, obj := range list.Items {
		if inst, err := decode(obj); err == nil {
			out = append(out, inst)
		}
	}
	reply(w, http.StatusOK, out)
}

func decode(obj platform.Object) (Instance, error) {
	inst := Instance{Name: obj.Name, Version: obj.Version}
	err := json.Unmarshal(obj.Data, &inst.Instance)
	return inst, err
}

func (h *Handler) get(w http.ResponseWriter, r *http.Request) {
	obj, err := h.opts.API.Get(r.Context(), platform.KindInstances, mux.Vars(r)["name"])
	if err != nil {
		fail(w, err)
		return
	}
	inst, err := decode(obj)
	if err != nil {
		fail(w, err)
		return
	}
	reply(w, http.StatusOK, inst)
}

// version reads the precondition: the query parameter version, 0 for an
// instance that must not exist.
func version(r *http.Request) (platform.Version, error) {
	raw := r.URL.Query().Get("version")
	if raw == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(raw, 10, 64)
	if err != nil {
		return 0, &platform.InvalidError{Kind: platform.KindInstances, Reason: "version is not a number"}
	}
	return platform.Version(n), nil
}

func (h *Handler) put(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	v, err := version(r)
	if err != nil {
		fail(w, err)
		return
	}
	var inst config.Instance
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, platform.MaxObjectBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&inst); err != nil {
		fail(w, &platform.InvalidError{Kind: platform.KindInstances, Name: name, Reason: "malformed instance: " + err.Error()})
		return
	}
	if _, err := config.Render(h.templates, name, inst); err != nil {
		fail(w, err)
		return
	}
	data, err := json.Marshal(inst)
	if err != nil {
		fail(w, err)
		return
	}
	obj, err := h.opts.API.Put(r.Context(), platform.Object{Kind: platform.KindInstances, Name: name, Version: v, Data: data})
	if err != nil {
		fail(w, err)
		return
	}
	h.opts.Log.WithFields(logrus.Fields{"event": "instance_stored", "instance": name, "version": obj.Version}).Info("instance stored")
	reply(w, http.StatusOK, Instance{Name: name, Version: obj.Version, Instance: inst})
}

func (h *Handler) remove(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	v, err := version(r)
	if err != nil {
		fail(w, err)
		return
	}
	if err := h.opts.API.Delete(r.Context(), platform.KindInstances, name, v); err != nil {
		fail(w, err)
		return
	}
	h.opts.Log.WithFields(logrus.Fields{"event": "instance_withdrawn", "instance": name}).Info("instance withdrawn")
	reply(w, http.StatusOK, Instance{Name: name, Version: v})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an operator who is gone needs no answer
}

// fail answers with the typed problem of an error.
func fail(w http.ResponseWriter, err error) {
	p := Problem{Code: "unavailable", Message: err.Error()}
	status := http.StatusServiceUnavailable
	var invalid *config.InvalidInstanceError
	var rejected *platform.InvalidError
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	var unknown *platform.UnknownOutcomeError
	switch {
	case errors.As(err, &invalid):
		p.Code, p.Faults, status = "invalid", invalid.Faults, http.StatusUnprocessableEntity
	case errors.As(err, &rejected):
		p.Code, status = "invalid", http.StatusUnprocessableEntity
	case errors.As(err, &conflict):
		p.Code, p.Expected, p.Found, status = "conflict", conflict.Expected, conflict.Found, http.StatusConflict
	case errors.As(err, &missing):
		p.Code, status = "not_found", http.StatusNotFound
	case errors.As(err, &unknown):
		p.Code, status = "unknown", http.StatusGatewayTimeout
	}
	reply(w, status, p)
}
