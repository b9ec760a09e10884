// Package admin is the interface for operators: template instances, status,
// metrics and health.
//
// A change that an operator submits is in one of the states of State. Stored
// and in force are two things: a change is stored once the object API has it,
// and accepted once no host acts on an older state.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"

	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/platform"
)

// Configuration is the configuration in force and how far changes to it have
// come. *config.Store implements it.
type Configuration interface {
	config.Source
	// Progress asks the hosts how far a version has come.
	Progress(ctx context.Context, version platform.Version) config.Progress
	// KnownProgress says what is known of that without a call.
	KnownProgress(version platform.Version) config.Progress
}

// Options configure a Handler.
type Options struct {
	API       platform.API
	Config    Configuration
	Members   peer.Members
	TokenHash string // hash of the operators' token
	Metrics   http.Handler
	Ready     func() bool
	Log       logrus.FieldLogger

	Placement  Placement  // nil leaves its routes out
	Quarantine Quarantine // nil leaves its routes out
}

// Handler answers operators.
type Handler struct {
	opts      Options
	templates map[string]*config.Template
	routes    http.Handler
}

// Status describes the host that answers.
type Status struct {
	Self    peer.Member      `json:"self"`
	Members []peer.Member    `json:"members"`
	Version platform.Version `json:"config_version,string"`
	Ready   bool             `json:"ready"`
	Counts  map[string]int   `json:"counts"`
	Faults  []config.Fault   `json:"faults,omitempty"` // stored instances that cannot be in force
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
	a.HandleFunc("/diff", h.diff).Methods(http.MethodPost)
	a.HandleFunc("/instances", h.list).Methods(http.MethodGet)
	a.HandleFunc("/instances/{name}", h.get).Methods(http.MethodGet)
	a.HandleFunc("/instances/{name}", h.put).Methods(http.MethodPut)
	a.HandleFunc("/instances/{name}", h.remove).Methods(http.MethodDelete)
	a.HandleFunc("/instances/{name}/progress", h.progress).Methods(http.MethodGet)
	h.views(a)
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
		Faults: s.Faults,
	})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an operator who is gone needs no answer
}
