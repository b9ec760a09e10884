package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/gorilla/mux"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/quarantine"
)

// Placement reports where models are placed and why. *modelplacer.Placer implements it.
type Placement interface {
	// Status returns the named model, or all models that have a slot or are in
	// demand if the name is empty.
	Status(ctx context.Context, model string) ([]placement.Status, error)
}

// Quarantine lists and releases requests that crash their targets.
// *quarantine.Quarantine implements it.
type Quarantine interface {
	List() []quarantine.Entry
	Release(team, fingerprint string) error
}

// addOptionalRoutes registers the routes of the components that are configured.
func (h *Handler) addOptionalRoutes(r *mux.Router) {
	if h.opts.Placement != nil {
		r.HandleFunc("/models", h.serveModels).Methods(http.MethodGet)
	}
	if h.opts.Quarantine != nil {
		r.HandleFunc("/quarantine", h.serveQuarantine).Methods(http.MethodGet)
		r.HandleFunc("/quarantine/{team}/{fingerprint}", h.releaseRequest).Methods(http.MethodDelete)
	}
}

// serveModels returns the placement of the model that the query parameter name
// gives, or of all models that have a slot or are in demand.
func (h *Handler) serveModels(w http.ResponseWriter, r *http.Request) {
	list, err := h.opts.Placement.Status(r.Context(), r.URL.Query().Get("name"))
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Problem{Code: "unavailable", Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *Handler) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.opts.Quarantine.List())
}

func (h *Handler) releaseRequest(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	err := h.opts.Quarantine.Release(v["team"], v["fingerprint"])
	var missing *quarantine.NotQuarantinedError
	if errors.As(err, &missing) {
		writeJSON(w, http.StatusNotFound, Problem{Code: "not_found", Message: err.Error()})
		return
	}
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, Problem{Code: "unavailable", Message: err.Error()})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
