package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"sort"

	"github.com/gorilla/mux"

	"buckthornseam.dev/seam/internal/platform"
)

func (h *Handler) serveList(w http.ResponseWriter, r *http.Request) {
	stored, err := h.storedInstances(r.Context())
	if err != nil {
		writeReadError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, stored)
}

// storedInstances returns the instances that the object API holds, sorted by
// name, without withdrawn ones.
func (h *Handler) storedInstances(ctx context.Context) ([]Instance, error) {
	list, err := h.opts.API.List(ctx, platform.KindInstances)
	if err != nil {
		return nil, err
	}
	out := []Instance{}
	for _, obj := range list.Items {
		inst, err := decodeInstance(obj)
		if err == nil && !inst.Withdrawn {
			out = append(out, inst)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out, nil
}

func decodeInstance(obj platform.Object) (Instance, error) {
	inst := Instance{Name: obj.Name, Version: obj.Version}
	if err := json.Unmarshal(obj.Data, &inst.Instance); err != nil {
		return Instance{}, &platform.InvalidError{Kind: obj.Kind, Name: obj.Name, Reason: "stored value is not an instance"}
	}
	return inst, nil
}

func (h *Handler) serveInstance(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	obj, err := h.opts.API.Get(r.Context(), platform.KindInstances, name)
	if err != nil {
		writeReadError(w, err)
		return
	}
	inst, err := decodeInstance(obj)
	if err == nil && inst.Withdrawn {
		err = &platform.NotFoundError{Kind: platform.KindInstances, Name: name}
	}
	if err != nil {
		writeReadError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, inst)
}
