package admin

import (
	"context"
	"errors"
	"net/http"

	"github.com/gorilla/mux"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/quarantine"
)

// Placement tells why models are where they are. *place.Placer implements it.
type Placement interface {
	// Status returns one model, or all with a slot or a want if model is empty.
	Status(ctx context.Context, model string) ([]placement.Status, error)
}

// Quarantine lists and releases requests that crash their targets.
// *quarantine.Quarantine implements it.
type Quarantine interface {
	List() []quarantine.Entry
	Release(team, fingerprint string) error
}

// views answers questions about running duties; the routes are optional.
func (h *Handler) views(r *mux.Router) {
	if h.opts.Placement != nil {
		r.HandleFunc("/models", h.models).Methods(http.MethodGet)
	}
	if h.opts.Quarantine != nil {
		r.HandleFunc("/quarantine", h.quarantined).Methods(http.MethodGet)
		r.HandleFunc("/quarantine/{team}/{fingerprint}", h.release).Methods(http.MethodDelete)
	}
}

// models answers with the placement of the model named by the query parameter
// name, or of all models that have a slot or are wanted.
func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	list, err := h.opts.Placement.Status(r.Context(), r.URL.Query().Get("name"))
	if err != nil {
		reply(w, http.StatusServiceUnavailable, Problem{Code: "unavailable", Message: err.Error()})
		return
	}
	reply(w, http.StatusOK, list)
}

func (h *Handler) quarantined(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, h.opts.Quarantine.List())
}

func (h *Handler) release(w http.ResponseWriter, r *http.Request) {
	v := mux.Vars(r)
	err := h.opts.Quarantine.Release(v["team"], v["fingerprint"])
	var missing *quarantine.NotQuarantinedError
	if errors.As(err, &missing) {
		reply(w, http.StatusNotFound, Problem{Code: "not_found", Message: err.Error()})
		return
	}
	if err != nil {
		reply(w, http.StatusServiceUnavailable, Problem{Code: "unavailable", Message: err.Error()})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}
