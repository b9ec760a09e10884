package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/standin/service"
	"buckthornseam.dev/seam/internal/stricthttp"
)

// Outcome is the expected and the actual result of one step.
type Outcome struct {
	Step string
	Want string
	Got  string
}

// OK reports whether the step had the expected result.
func (o Outcome) OK() bool { return o.Want == o.Got }

// step sends requests and returns a summary of the responses, which must equal want.
type step struct {
	name string
	want string
	run  func(ctx context.Context, c *Cluster) string
}

func steps() []step {
	return []step{
		{"cold start: first request to an idle model", "200, 8 tokens", coldStart},
		{"ten first requests at once through three hosts", "10 whole answers, 1 load", concurrentColdStart},
		{"streamed answer", "8 tokens, [DONE]", streamed},
		{"invoice issued, sent twice with one idempotency key", "same answer, 1 run", invoiceTwice},
		{"deposit whose answer is lost, sent again", "outcome_unknown or in_progress, 1 run", lostDeposit},
		{"service open to all, without a key", "200", openService},
		{"wrong key", "401 invalid_key not_run", wrongKey},
		{"no key", "401 missing_key not_run", noKey},
		{"model of another team", "404 model_not_found not_run", otherTeam},
		{"malformed request", "400 invalid_request not_run", malformed},
		{"withdrawn key", "401 invalid_key not_run", withdrawnKey},
		{"keys seen by targets", "0", keysSeen},
	}
}

// client sends the requests of the demo.
var client = &http.Client{Transport: stricthttp.NewDefaultTransport()}

// response is an HTTP response with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

func send(ctx context.Context, h *Host, path, key, body string, header map[string]string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.URL()+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("Content-Type", "application/json")
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, header: resp.Header, body: data}, err
}

// chat returns a chat request for a model.
func chat(model string, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"messages":[{"role":"user","content":"Draft a line for meter ticket 88-14."}],"max_tokens":8,"stream":%t}`, model, stream)
}

const chatPath = "/v1/chat/completions"

// refusalText returns the status, code and execution of a refusal, for comparison.
func (r response) refusalText() string {
	var b refusal.Body
	if err := json.Unmarshal(r.body, &b); err != nil {
		return fmt.Sprintf("%d %s", r.status, r.body)
	}
	return fmt.Sprintf("%d %s %s", r.status, b.Error.Code, b.Error.Execution)
}

// tokens returns the number of tokens in a chat response that was not streamed.
func (r response) tokens() int {
	var a struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(r.body, &a); err != nil || len(a.Choices) == 0 {
		return 0
	}
	return len(strings.Fields(a.Choices[0].Message.Content))
}

func coldStart(ctx context.Context, c *Cluster) string {
	r, err := send(ctx, c.Hosts[0], chatPath, qasrKey, chat("invoice-draft", false), nil)
	if err != nil {
		return err.Error()
	}
	if r.status != http.StatusOK {
		return r.refusalText()
	}
	return fmt.Sprintf("%d, %d tokens", r.status, r.tokens())
}

func concurrentColdStart(ctx context.Context, c *Cluster) string {
	const requests = 10
	var wait sync.WaitGroup
	complete := make(chan bool, requests)
	for i := range requests {
		wait.Go(func() {
			r, err := send(ctx, c.Hosts[i%len(c.Hosts)], chatPath, vanuaKey, chat("lease-summary", false), nil)
			complete <- err == nil && r.tokens() == 8
		})
	}
	wait.Wait()
	close(complete)
	n := 0
	for ok := range complete {
		if ok {
			n++
		}
	}
	return fmt.Sprintf("%d whole answers, %d load", n, c.Loads("lease-13b"))
}

func streamed(ctx context.Context, c *Cluster) string {
	r, err := send(ctx, c.Hosts[1], chatPath, vanuaKey, chat("listing-blurb", true), nil)
	if err != nil {
		return err.Error()
	}
	events := bytes.Count(r.body, []byte("data: {"))
	last := "no end"
	if bytes.HasSuffix(bytes.TrimSpace(r.body), []byte("data: [DONE]")) {
		last = "[DONE]"
	}
	return fmt.Sprintf("%d tokens, %s", events, last)
}

func invoiceTwice(ctx context.Context, c *Cluster) string {
	const body = `{"invoice":"2026-1207","amount":"118.40"}`
	header := map[string]string{serve.HeaderIdempotencyKey: "invoice-2026-1207"}
	first, err := send(ctx, c.Hosts[0], "/billing/invoices", qasrKey, body, header)
	if err != nil {
		return err.Error()
	}
	second, err := send(ctx, c.Hosts[len(c.Hosts)-1], "/billing/invoices", qasrKey, body, header)
	if err != nil {
		return err.Error()
	}
	same := "other answer"
	if first.status != http.StatusOK || second.status != http.StatusOK {
		return first.refusalText() + ", then " + second.refusalText()
	}
	if bytes.Equal(first.body, second.body) {
		same = "same answer"
	}
	return fmt.Sprintf("%s, %d run", same, c.Services["billing"].Runs(body))
}

func lostDeposit(ctx context.Context, c *Cluster) string {
	const body = `{"deposit":"stall-17","amount":"50.00"}`
	header := map[string]string{serve.HeaderIdempotencyKey: "deposit-stall-17"}
	c.Services["booking"].DropNext(1)
	if _, err := send(ctx, c.Hosts[1], "/booking/deposits", vanuaKey, body, header); err != nil {
		return err.Error()
	}
	r, err := send(ctx, c.Hosts[0], "/booking/deposits", vanuaKey, body, header)
	if err != nil {
		return err.Error()
	}
	var b refusal.Body
	if err := json.Unmarshal(r.body, &b); err != nil {
		return string(r.body)
	}
	code := string(b.Error.Code)
	if code == string(refusal.CodeOutcomeUnknown) || code == string(refusal.CodeInProgress) {
		code = "outcome_unknown or in_progress"
	}
	return fmt.Sprintf("%s, %d run", code, c.Services["booking"].Runs(body))
}

func openService(ctx context.Context, c *Cluster) string {
	r, err := send(ctx, c.Hosts[1], "/tariffs/today", "", "", nil)
	if err != nil {
		return err.Error()
	}
	var a service.Response
	if err := json.Unmarshal(r.body, &a); err != nil {
		return string(r.body)
	}
	return fmt.Sprint(r.status)
}

// sendForRefusal sends a chat request that must be refused and describes the refusal.
func sendForRefusal(ctx context.Context, h *Host, key, body string) string {
	r, err := send(ctx, h, chatPath, key, body, nil)
	if err != nil {
		return err.Error()
	}
	return r.refusalText()
}

func wrongKey(ctx context.Context, c *Cluster) string {
	return sendForRefusal(ctx, c.Hosts[0], "key-of-nobody", chat("invoice-draft", false))
}

func noKey(ctx context.Context, c *Cluster) string {
	return sendForRefusal(ctx, c.Hosts[1], "", chat("invoice-draft", false))
}

func otherTeam(ctx context.Context, c *Cluster) string {
	return sendForRefusal(ctx, c.Hosts[0], vanuaKey, chat("invoice-draft", false))
}

func malformed(ctx context.Context, c *Cluster) string {
	return sendForRefusal(ctx, c.Hosts[1], qasrKey, `{"model":`)
}

// withdrawnKey withdraws an API key and then uses it on another host.
func withdrawnKey(ctx context.Context, c *Cluster) string {
	admin := c.Hosts[0].Admin
	inst, err := admin.Get(ctx, "key-vanua")
	if err != nil {
		return err.Error()
	}
	withdrawal, err := admin.Delete(ctx, "key-vanua", inst.Version)
	if err != nil {
		return err.Error()
	}
	if err := c.AwaitVersion(ctx, withdrawal.Version); err != nil {
		return err.Error()
	}
	return sendForRefusal(ctx, c.Hosts[len(c.Hosts)-1], vanuaKey, chat("listing-blurb", false))
}

func keysSeen(_ context.Context, c *Cluster) string {
	return fmt.Sprint(c.KeysSeen())
}
