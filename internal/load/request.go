// Package load is a load generator. It sends requests as callers do, at a given
// rate or from a recorded trace, checks every response and summarizes the outcomes.
package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"buckthornseam.dev/seam/internal/callerclient"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/standin/engine"
)

// Request is one request of a trace.
type Request struct {
	AtMS           int64  `json:"at_ms"`             // from the start of the trace
	Team           string `json:"team"`              // used in the summary only
	Key            string `json:"key,omitempty"`     // API key sent with the request
	Zone           string `json:"zone,omitempty"`    // availability zone of the caller
	Model          string `json:"model,omitempty"`   // set for a model request
	Service        string `json:"service,omitempty"` // path; set for a service request
	PromptWords    int    `json:"prompt_words,omitempty"`
	MaxTokens      int    `json:"max_tokens,omitempty"`
	Stream         bool   `json:"stream,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
}

// Class is the outcome of a request as its caller sees it.
type Class string

// The outcomes.
const (
	ClassOK      Class = "ok"      // complete and correct response
	ClassRefused Class = "refused" // a refusal with a code
	ClassCut     Class = "cut"     // incomplete or malformed response
	ClassWrong   Class = "wrong"   // content that does not belong to this request
	ClassLost    Class = "lost"    // no response, or an error response that cannot be decoded
)

// Result is the outcome of one request.
type Result struct {
	Request    Request
	Class      Class
	Code       refusal.Code // if refused, or of the error event that ended a stream
	Execution  refusal.Execution
	Start      time.Time
	FirstToken time.Duration // time to the first token of a stream, else to the complete response
	Total      time.Duration
	Tokens     int
	MaxGap     time.Duration // longest wait between two tokens
	Cause      string
}

// prompt returns a prompt that is unique to request n of the run.
func prompt(n int, words int) string {
	return fmt.Sprintf("request %d ", n) + strings.Repeat("ticket ", words)
}

// Do sends one request and checks the response.
func Do(ctx context.Context, c *callerclient.Client, n int, r Request) Result {
	res := Result{Request: r, Start: time.Now()}
	resp, err := c.Do(ctx, httpRequest(n, r))
	if err != nil {
		res.Class, res.Cause = ClassLost, err.Error()
		res.Total = time.Since(res.Start)
		return res
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		res.readRefusal(resp.Body)
	case r.Service != "":
		res.readService(resp.Body, r.Service)
	case r.Stream:
		res.readStream(resp.Body, prompt(n, r.PromptWords), r.MaxTokens)
	default:
		res.readCompletion(resp.Body, prompt(n, r.PromptWords), r.MaxTokens)
	}
	res.Total = time.Since(res.Start)
	if res.FirstToken == 0 {
		res.FirstToken = res.Total
	}
	return res
}

func httpRequest(n int, r Request) callerclient.Request {
	out := callerclient.Request{
		Method:     http.MethodPost,
		Path:       r.Service,
		Header:     map[string]string{"Authorization": "Bearer " + r.Key, "Content-Type": "application/json"},
		Repeatable: r.IdempotencyKey != "" || r.Model != "",
	}
	if r.IdempotencyKey != "" {
		out.Header[serve.HeaderIdempotencyKey] = r.IdempotencyKey
	}
	body := map[string]any{"item": r.IdempotencyKey}
	if r.Model != "" {
		out.Path = "/v1/chat/completions"
		body = map[string]any{
			"model": r.Model, "max_tokens": r.MaxTokens, "stream": r.Stream,
			"messages": []map[string]string{{"role": "user", "content": prompt(n, r.PromptWords)}},
		}
	}
	out.Body, _ = json.Marshal(body) // maps of strings and numbers always encode
	return out
}

func (res *Result) readRefusal(body io.Reader) {
	var b refusal.Body
	if err := json.NewDecoder(body).Decode(&b); err != nil {
		res.Class, res.Cause = ClassLost, err.Error()
		return
	}
	res.Class, res.Code, res.Execution, res.Cause = ClassRefused, b.Error.Code, b.Error.Execution, b.Error.Message
}

func (res *Result) readService(body io.Reader, path string) {
	var a struct {
		Path string `json:"path"`
	}
	if err := json.NewDecoder(body).Decode(&a); err != nil {
		res.Class, res.Cause = ClassCut, err.Error()
		return
	}
	res.Class = ClassOK
	if a.Path != path {
		res.Class = ClassWrong
	}
}

func (res *Result) readCompletion(body io.Reader, prompt string, tokens int) {
	var a struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.NewDecoder(body).Decode(&a); err != nil || len(a.Choices) != 1 {
		res.Class, res.Cause = ClassCut, fmt.Sprint(err)
		return
	}
	var want strings.Builder
	for i := range tokens {
		want.WriteString(engine.Token(prompt, i))
	}
	res.Tokens = tokens
	res.Class = ClassOK
	if a.Choices[0].Message.Content != want.String() {
		res.Class, res.Cause = ClassWrong, a.Choices[0].Message.Content
	}
}

// readStream checks each token as it arrives. The response is complete only with
// all tokens and the terminal event.
func (res *Result) readStream(body io.Reader, prompt string, tokens int) {
	res.Class = ClassCut
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	last := res.Start
	for lines.Scan() {
		line := lines.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			if res.Tokens == tokens {
				res.Class = ClassOK
			}
			return
		}
		if !res.checkEvent(data, prompt) {
			return
		}
		now := time.Now()
		if res.FirstToken == 0 {
			res.FirstToken = now.Sub(res.Start)
		} else {
			res.MaxGap = max(res.MaxGap, now.Sub(last))
		}
		last = now
	}
	if err := lines.Err(); err != nil && !errors.Is(err, io.EOF) {
		res.Cause = err.Error()
	}
}

// checkEvent checks one event. It returns false if the stream cannot go on: on an
// error event, a malformed event or a wrong token.
func (res *Result) checkEvent(data, prompt string) bool {
	var e struct {
		Error   *refusal.Detail `json:"error"`
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		res.Cause = err.Error()
		return false
	}
	if e.Error != nil {
		res.Code, res.Cause = e.Error.Code, e.Error.Message
		return false
	}
	if len(e.Choices) != 1 || e.Choices[0].Delta.Content != engine.Token(prompt, res.Tokens) {
		res.Class, res.Cause = ClassWrong, data
		return false
	}
	res.Tokens++
	return true
}
