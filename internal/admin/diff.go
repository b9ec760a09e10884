package admin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"reflect"
	"sort"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/platform"
)

// Action is the change that brings a stored instance to its wanted form.
type Action string

// The actions.
const (
	ActionCreate    Action = "create"
	ActionUpdate    Action = "update"
	ActionWithdraw  Action = "withdraw"
	ActionUnchanged Action = "unchanged"
)

// Difference is the result of comparing a wanted instance with the stored one.
type Difference struct {
	Name    string           `json:"name"`
	Action  Action           `json:"action"`
	Version platform.Version `json:"version,string"` // stored version, the precondition of the action
	Params  []ParamChange    `json:"params,omitempty"`
}

// ParamChange is a parameter whose stored and wanted values differ, with
// defaults filled in.
type ParamChange struct {
	Name   string          `json:"name"`
	Stored json.RawMessage `json:"stored,omitempty"`
	Wanted json.RawMessage `json:"wanted,omitempty"`
}

// wanted is an element of the body of a diff request.
type wanted struct {
	Name string `json:"name"`
	config.Instance
}

// maxDiffBytes is the largest body of a diff request.
const maxDiffBytes = 64 << 20

// serveDiff compares a list of wanted instances with the stored ones. With the
// query parameter prune=true, stored instances that are not in the list are
// reported with ActionWithdraw.
func (h *Handler) serveDiff(w http.ResponseWriter, r *http.Request) {
	var list []wanted
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxDiffBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&list); err != nil {
		writeReadError(w, &platform.InvalidError{Kind: platform.KindInstances, Reason: "malformed list: " + err.Error()})
		return
	}
	stored, err := h.storedInstances(r.Context())
	if err != nil {
		writeReadError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, h.compare(list, stored, r.URL.Query().Get("prune") == "true"))
}

func (h *Handler) compare(list []wanted, stored []Instance, prune bool) []Difference {
	byName := make(map[string]Instance, len(stored))
	for _, inst := range stored {
		byName[inst.Name] = inst
	}
	out := []Difference{}
	for _, want := range list {
		out = append(out, h.difference(want, byName))
		delete(byName, want.Name)
	}
	if prune {
		for name, inst := range byName {
			out = append(out, Difference{Name: name, Action: ActionWithdraw, Version: inst.Version})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func (h *Handler) difference(want wanted, stored map[string]Instance) Difference {
	have, ok := stored[want.Name]
	if !ok {
		return Difference{Name: want.Name, Action: ActionCreate}
	}
	d := Difference{Name: want.Name, Action: ActionUpdate, Version: have.Version}
	d.Params = paramChanges(h.effectiveParams(have.Instance), h.effectiveParams(want.Instance))
	if len(d.Params) == 0 && have.Template == want.Template {
		d.Action = ActionUnchanged
	}
	return d
}

// effectiveParams returns the parameters of an instance with the template's
// defaults filled in.
func (h *Handler) effectiveParams(inst config.Instance) map[string]json.RawMessage {
	params := make(map[string]json.RawMessage, len(inst.Params))
	if t := h.templates[inst.Template]; t != nil {
		for _, p := range t.Params {
			if p.Default != nil {
				params[p.Name] = p.Default
			}
		}
	}
	for name, value := range inst.Params {
		params[name] = value
	}
	return params
}

func paramChanges(stored, want map[string]json.RawMessage) []ParamChange {
	var changes []ParamChange
	for name, value := range want {
		if !equalJSON(stored[name], value) {
			changes = append(changes, ParamChange{Name: name, Stored: stored[name], Wanted: value})
		}
	}
	for name, value := range stored {
		if _, ok := want[name]; !ok {
			changes = append(changes, ParamChange{Name: name, Stored: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Name < changes[j].Name })
	return changes
}

func equalJSON(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var x, y any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	return reflect.DeepEqual(x, y)
}
