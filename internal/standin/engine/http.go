package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"buckthornseam.dev/seam/internal/target"
)

// defaultMaxTokens is the number of tokens generated when max_tokens is absent.
const defaultMaxTokens = 16

// completionRequest holds the fields of an OpenAI completion or chat completion
// request that the stand-in reads.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

func (r completionRequest) text() string {
	var b strings.Builder
	b.WriteString(r.Prompt)
	for _, m := range r.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(target.PathOrders, e.handleOrder).Methods(http.MethodPost)
	r.HandleFunc(target.PathReport, e.handleReport).Methods(http.MethodGet)
	r.HandleFunc(target.PathCacheEvents, e.handleCache).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", e.handleCompletion).Methods(http.MethodPost)
	r.HandleFunc("/v1/completions", e.handleCompletion).Methods(http.MethodPost)
	return r
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	e.abortIfSilent()
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, target.Problem{Code: "malformed", Message: err.Error()})
		return
	}
	if p := e.execute(o); p != nil {
		writeJSON(w, http.StatusConflict, p)
		return
	}
	writeJSON(w, http.StatusAccepted, struct{}{})
}

func (e *Engine) handleReport(w http.ResponseWriter, _ *http.Request) {
	e.abortIfSilent()
	writeJSON(w, http.StatusOK, e.report())
}

func (e *Engine) handleCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64) // absent means from the start
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []target.CacheEvent{}
	for _, ev := range e.events {
		if ev.Sequence > after {
			out = append(out, ev)
		}
	}
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var req completionRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		writeJSON(w, http.StatusBadRequest, target.Problem{Code: "malformed", Message: err.Error()})
		return
	}
	id := r.Header.Get(target.HeaderRequestID)
	w.Header().Set(target.HeaderRequestID, id)
	if !e.beginRequest(r, id, req.Model) {
		writeJSON(w, http.StatusConflict, target.Problem{Code: "model_not_loaded", Message: req.Model})
		return
	}
	defer e.endRequest(req.Model)
	if e.opts.CrashPrompt != "" && strings.Contains(req.text(), e.opts.CrashPrompt) {
		panic(http.ErrAbortHandler)
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	chat := strings.Contains(r.URL.Path, "/chat/")
	if req.Stream {
		e.streamCompletion(w, r, req, chat)
		return
	}
	e.writeCompletion(w, r, req, chat)
}

// beginRequest counts a request to a model. It returns false if the model is not
// ready.
func (e *Engine) beginRequest(r *http.Request, id, model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.ready(model) {
		return false
	}
	e.running++
	e.runningByModel[model]++
	e.stats.Requests++
	e.stats.RequestsByID[id]++
	if r.Header.Get("Authorization") != "" || r.Header.Get("X-Api-Key") != "" {
		e.stats.KeysSeen++
	}
	e.recordReport()
	return true
}

func (e *Engine) endRequest(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.runningByModel[model]--
	e.finishUnload(model)
	e.recordReport()
}

// Token returns the i-th token of the completion of a prompt. It depends on both, so
// a caller can check that a response is complete and belongs to its request.
func Token(prompt string, i int) string {
	return fmt.Sprintf("w%d-%04x ", i, uint16(xxhash.Sum64String(prompt)))
}

func usage(req completionRequest) map[string]int {
	prompt := len(req.text())/4 + 1
	return map[string]int{
		"prompt_tokens":     prompt,
		"completion_tokens": req.MaxTokens,
		"total_tokens":      prompt + req.MaxTokens,
	}
}

// waitTokens sleeps for the time of a number of tokens. It returns false if the
// request was cancelled.
func (e *Engine) waitTokens(r *http.Request, tokens int) bool {
	if e.opts.TokenDelay == 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(time.Duration(tokens) * e.opts.TokenDelay):
		return true
	case <-r.Context().Done():
		e.mu.Lock()
		e.stats.AbortedStreams++
		e.mu.Unlock()
		return false
	}
}

func (e *Engine) writeCompletion(w http.ResponseWriter, r *http.Request, req completionRequest, chat bool) {
	if !e.waitTokens(r, req.MaxTokens) {
		return
	}
	var text strings.Builder
	prompt := req.text()
	for i := range req.MaxTokens {
		text.WriteString(Token(prompt, i))
	}
	choice := map[string]any{"index": 0, "finish_reason": "stop"}
	if chat {
		choice["message"] = map[string]string{"role": "assistant", "content": text.String()}
	} else {
		choice["text"] = text.String()
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"id": "cmpl-" + r.Header.Get(target.HeaderRequestID), "model": req.Model,
		"choices": []any{choice}, "usage": usage(req),
	})
}

func (e *Engine) streamCompletion(w http.ResponseWriter, r *http.Request, req completionRequest, chat bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w)
	id := "cmpl-" + r.Header.Get(target.HeaderRequestID)
	prompt := req.text()
	for i := resumeFrom(r); i < req.MaxTokens; i++ {
		if !e.waitTokens(r, 1) {
			return
		}
		choice := map[string]any{"index": 0}
		if chat {
			choice["delta"] = map[string]string{"content": Token(prompt, i)}
		} else {
			choice["text"] = Token(prompt, i)
		}
		event := map[string]any{"id": id, "model": req.Model, "choices": []any{choice}}
		if i == req.MaxTokens-1 {
			choice["finish_reason"] = "stop"
			event["usage"] = usage(req)
		}
		data, err := json.Marshal(event)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		_ = flush.Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func resumeFrom(r *http.Request) int {
	n, err := strconv.Atoi(r.Header.Get(target.HeaderResumeFrom))
	if err != nil {
		return 0
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the caller has disconnected
}
