// Package admin implements the HTTP interface for operators: template
// instances, status, metrics and health.
//
// State lists the states of a change that an operator submits. A change is
// stored once the object API has it. It is accepted once it is also in force,
// that is, once no host acts on an older version.
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

// Configuration provides the configuration in force and the progress of changes
// to it. *config.Store implements it.
type Configuration interface {
	config.Source
	// Progress asks the hosts whether a version is in force on them.
	Progress(ctx context.Context, version platform.Version) config.Progress
	// KnownProgress returns the progress known to this host without calling others.
	KnownProgress(version platform.Version) config.Progress
}

// Options configure a Handler.
type Options struct {
	API       platform.API
	Config    Configuration
	Members   peer.Members
	TokenHash string // hash of the operator token
	Metrics   http.Handler
	Ready     func() bool
	Log       logrus.FieldLogger

	Placement  Placement  // its routes are omitted if nil
	Quarantine Quarantine // its routes are omitted if nil
}

// Handler serves the admin interface.
type Handler struct {
	opts      Options
	templates map[string]*config.Template
	routes    http.Handler
}

// Status describes the host that serves the request.
type Status struct {
	Self    peer.Member      `json:"self"`
	Members []peer.Member    `json:"members"`
	Version platform.Version `json:"config_version,string"`
	Ready   bool             `json:"ready"`
	Counts  map[string]int   `json:"counts"`
	Faults  []config.Fault   `json:"faults,omitempty"` // stored instances that cannot be put in force
}

// New returns a handler.
func New(opts Options) (*Handler, error) {
	templates, err := config.Templates()
	if err != nil {
		return nil, err
	}
	h := &Handler{opts: opts, templates: templates}
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, "ok") })
	r.HandleFunc("/readyz", h.serveReady)
	r.Handle("/metrics", opts.Metrics)
	a := r.PathPrefix("/admin/v1").Subrouter()
	a.Use(h.authorize)
	a.HandleFunc("/status", h.serveStatus).Methods(http.MethodGet)
	a.HandleFunc("/diff", h.serveDiff).Methods(http.MethodPost)
	a.HandleFunc("/instances", h.serveList).Methods(http.MethodGet)
	a.HandleFunc("/instances/{name}", h.serveInstance).Methods(http.MethodGet)
	a.HandleFunc("/instances/{name}", h.submit).Methods(http.MethodPut)
	a.HandleFunc("/instances/{name}", h.withdraw).Methods(http.MethodDelete)
	a.HandleFunc("/instances/{name}/progress", h.serveProgress).Methods(http.MethodGet)
	h.addOptionalRoutes(a)
	h.routes = r
	return h, nil
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.routes.ServeHTTP(w, r) }

func (h *Handler) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(config.HashKey(token)), []byte(h.opts.TokenHash)) != 1 {
			writeJSON(w, http.StatusUnauthorized, Problem{Code: "unauthorized", Message: "the operators' token is missing or wrong"})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *Handler) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !h.opts.Ready() {
		writeJSON(w, http.StatusServiceUnavailable, "not ready")
		return
	}
	writeJSON(w, http.StatusOK, "ready")
}

func (h *Handler) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s := h.opts.Config.Snapshot()
	writeJSON(w, http.StatusOK, Status{
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

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}
