package serve

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/credential"
	"buckthornseam.dev/seam/internal/refusal"
)

// bytesPerToken converts the length of a prompt to tokens. Prompts are charged by
// this estimate, so that the charge is known at admission.
const bytesPerToken = 4

// prefixBytes is the length of the prompt prefix that is hashed for cache affinity.
const prefixBytes = 512

// modelCall is an admitted request to a model.
type modelCall struct {
	id          string
	arrived     time.Time
	key         *config.Key
	team        *config.Team
	offering    *config.Offering
	model       *config.Model
	path        string
	body        []byte // sent to the engine
	stream      bool
	prompt      int64 // tokens in the prompt
	maxTokens   int64 // largest number of tokens in the response
	prefix      uint64
	fingerprint string
}

// tokens returns the largest possible charge for the call.
func (c *modelCall) tokens() int64 { return c.prompt + c.maxTokens }

func invalidRequest(message string) *refusal.Error {
	return refusal.New(http.StatusBadRequest, refusal.CodeInvalidRequest, message)
}

// authenticate returns the key and the team of a request.
func (h *Handler) authenticate(r *http.Request) (*config.Key, *config.Team, error) {
	key, err := h.lookUpKey(credential.Find(r))
	if err != nil {
		return nil, nil, err
	}
	team, ok := h.opts.Config.Snapshot().Teams[key.Team]
	if !ok {
		return nil, nil, refusal.New(http.StatusForbidden, refusal.CodeInvalidKey, "The key's team does not exist.")
	}
	return key, team, nil
}

// lookUpKey returns the valid configuration entry of the key that a request presents.
func (h *Handler) lookUpKey(presented credential.Set) (*config.Key, error) {
	if presented.Ambiguous() {
		return nil, invalidRequest("The request has several Authorization headers that differ.")
	}
	key, ok := presented.Key()
	if !ok {
		return nil, refusal.New(http.StatusUnauthorized, refusal.CodeMissingKey, "Send a key, for example as 'Authorization: Bearer KEY'.")
	}
	return h.opts.Auth.Authenticate(key)
}

// keyRepeatedError refuses a request that contains its key in a place that targets see.
func keyRepeatedError(err error) *refusal.Error {
	return invalidRequest("The request repeats its key outside the place for keys.").WithCause(err)
}

// parseCall authenticates, validates and parses a request to a model.
func (h *Handler) parseCall(w http.ResponseWriter, r *http.Request) (*modelCall, error) {
	call := &modelCall{id: newRequestID(), arrived: time.Now(), path: r.URL.Path}
	var err error
	call.key, call.team, err = h.authenticate(r)
	if err != nil {
		return nil, err
	}
	body, err := h.readBody(w, r)
	if err != nil {
		return nil, err
	}
	if err := credential.Find(r).CheckBody(body); err != nil {
		return nil, keyRepeatedError(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, invalidRequest("The request body is not a JSON object.")
	}
	if err := h.resolveModel(call, fields); err != nil {
		return nil, err
	}
	if err := call.parsePrompt(fields); err != nil {
		return nil, err
	}
	return call, call.encode(fields)
}

// resolveModel looks up the team's offering and its model. A model that is only
// offered to another team is reported as unknown.
func (h *Handler) resolveModel(call *modelCall, fields map[string]json.RawMessage) error {
	var name string
	if err := json.Unmarshal(fields["model"], &name); err != nil || name == "" {
		return invalidRequest("Field 'model' must be a non-empty string.")
	}
	snap := h.opts.Config.Snapshot()
	offering, ok := snap.Offerings[config.OfferingID{Team: call.team.Name, Name: name}]
	if !ok {
		return unknownModel()
	}
	model, ok := snap.Models[offering.Model]
	if !ok {
		return unknownModel()
	}
	call.offering, call.model = offering, model
	return nil
}

func unknownModel() *refusal.Error {
	return refusal.New(http.StatusNotFound, refusal.CodeUnknownModel, "The team has no model of that name.")
}

// parsePrompt reads the fields that determine the cost and the form of the response.
func (c *modelCall) parsePrompt(fields map[string]json.RawMessage) error {
	prompt := fields["prompt"]
	if strings.HasPrefix(c.path, "/v1/chat/") {
		prompt = fields["messages"]
		var messages []json.RawMessage
		if err := json.Unmarshal(prompt, &messages); err != nil || len(messages) == 0 {
			return invalidRequest("Field 'messages' must be a non-empty list.")
		}
	} else if len(prompt) == 0 {
		return invalidRequest("Field 'prompt' is missing.")
	}
	if raw, ok := fields["stream"]; ok {
		if err := json.Unmarshal(raw, &c.stream); err != nil {
			return invalidRequest("Field 'stream' must be true or false.")
		}
	}
	c.maxTokens = c.offering.MaxTokens
	if raw, ok := fields["max_tokens"]; ok {
		if err := json.Unmarshal(raw, &c.maxTokens); err != nil || c.maxTokens <= 0 {
			return invalidRequest("Field 'max_tokens' must be a positive whole number.")
		}
	}
	c.prompt = int64(len(prompt))/bytesPerToken + 1
	if c.tokens() > c.model.ContextTokens {
		return invalidRequest("Prompt and answer exceed the model's context of " + strconv.FormatInt(c.model.ContextTokens, 10) + " tokens.")
	}
	c.prefix = xxhash.Sum64(prompt[:min(len(prompt), prefixBytes)])
	return nil
}

// encode builds the body for the engine from the caller's fields, with the name of
// the served model and the token limit filled in.
func (c *modelCall) encode(fields map[string]json.RawMessage) error {
	name, err := json.Marshal(c.model.Name)
	if err != nil {
		return invalidRequest("The model name cannot be encoded.")
	}
	fields["model"] = name
	fields["max_tokens"] = json.RawMessage(strconv.FormatInt(c.maxTokens, 10))
	c.body, err = json.Marshal(fields)
	if err != nil {
		return invalidRequest("The request cannot be encoded.")
	}
	c.fingerprint = strconv.FormatUint(xxhash.Sum64(c.body), 16)
	return nil
}

// modelList is the response body of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// models lists the models that are offered to the key's team.
func (h *Handler) models(w http.ResponseWriter, r *http.Request) error {
	_, team, err := h.authenticate(r)
	if err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for id := range h.opts.Config.Snapshot().Offerings {
		if id.Team == team.Name {
			list.Data = append(list.Data, modelItem{ID: id.Name, Object: "model", OwnedBy: team.Name})
		}
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	w.Header().Set("Content-Type", "application/json")
	return writeJSON(w, list)
}

// writeJSON writes a JSON response. A caller that has left is not an error.
func writeJSON(w http.ResponseWriter, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	_, _ = w.Write(data)
	return nil
}
