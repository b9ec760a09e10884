package wholerun

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
	"buckthornseam.dev/seam/internal/standin/engine"
)

// call is one request of a caller to one host, with its result.
type call struct {
	tag            string
	team           int
	key            *key // nil if the request has no key or an unknown one
	keyValue       string
	model          int // -1 for services
	path           string
	prompt         string
	maxTokens      int
	stream         bool
	idempotencyKey string // empty for none

	host     *host
	arrived  time.Time
	finished time.Time
	aborted  bool // the host crashed during the call
	status   int
	header   http.Header
	body     []byte
}

// replayed reports whether the response is the recorded one of an earlier call.
func (c *call) replayed() bool { return c.header.Get(serve.HeaderReplayed) != "" }

// nonRepeatable reports whether the call must not run more than once.
func (c *call) nonRepeatable() bool { return strings.HasPrefix(c.path, "/billing") }

func (c *call) request(ctx context.Context) *http.Request {
	var body []byte
	if c.model >= 0 {
		body = mustEncode(map[string]any{
			"model": modelName(c.model), "prompt": c.prompt, "max_tokens": c.maxTokens, "stream": c.stream,
		})
	} else {
		body = mustEncode(map[string]any{"order": c.prompt})
	}
	r := httptest.NewRequest(http.MethodPost, c.path, bytes.NewReader(body)).WithContext(ctx)
	if c.keyValue != "" {
		r.Header.Set("Authorization", "Bearer "+c.keyValue)
	}
	if c.idempotencyKey != "" {
		r.Header.Set(serve.HeaderIdempotencyKey, c.idempotencyKey)
	}
	return r
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // strings and numbers only
	}
	return data
}

// send sends the call to a host, waits until it ends and records it.
func (sim *simulation) send(c *call, h *host) *call {
	c.host, c.arrived = h, time.Now()
	rec := &responseRecorder{header: http.Header{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		h.core.Handler.ServeHTTP(rec, c.request(h.ctx))
	}()
	select {
	case <-done:
	case <-h.ctx.Done():
		select {
		case <-done:
		default:
			c.aborted = true
		}
	}
	if c.aborted && !h.crashed.Load() {
		sim.fail("%s: call %s was aborted by the graceful shutdown of %s", invariant.ShutdownGraceful, c.tag, h.name)
	}
	// A call that ended at the instant of the crash may count as either, so it counts
	// as aborted.
	if h.crashed.Load() {
		c.aborted = true
	}
	c.finished = time.Now()
	c.status, c.header, c.body = rec.result()
	sim.mu.Lock()
	sim.calls = append(sim.calls, c)
	sim.mu.Unlock()
	return c
}

// responseRecorder records a response. It may be read before the handler has
// returned.
type responseRecorder struct {
	mu            sync.Mutex
	header        http.Header
	status        int
	writtenHeader http.Header
	body          bytes.Buffer
}

func (r *responseRecorder) Header() http.Header { return r.header }
func (r *responseRecorder) Flush()              {}

func (r *responseRecorder) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.status, r.writtenHeader = status, r.header.Clone()
	}
}

func (r *responseRecorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.Write(p)
}

func (r *responseRecorder) result() (int, http.Header, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status, r.writtenHeader, bytes.Clone(r.body.Bytes())
}

// outcome is a caller's interpretation of a response.
type outcome struct {
	complete  bool // the complete response to this request
	problem   string
	execution refusal.Execution // of a refusal
	code      refusal.Code
}

func (c *call) outcome() outcome {
	if c.status != http.StatusOK {
		return parseRefusal(c.body)
	}
	if c.model < 0 {
		return c.serviceOutcome()
	}
	want := ""
	for i := range c.maxTokens {
		want += engine.Token(c.prompt, i)
	}
	if !c.stream {
		var response struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal(c.body, &response); err != nil || len(response.Choices) != 1 || response.Choices[0].Text != want {
			return outcome{problem: fmt.Sprintf("response %s, want text %q", c.body, want)}
		}
		return outcome{complete: true}
	}
	return c.streamOutcome(want)
}

func parseRefusal(body []byte) outcome {
	var b refusal.Body
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Code == "" || b.Error.Execution == "" {
		return outcome{problem: fmt.Sprintf("%q is not a refusal", body)}
	}
	return outcome{execution: b.Error.Execution, code: b.Error.Code}
}

// streamOutcome interprets a stream, which is complete only with its terminal event.
func (c *call) streamOutcome(want string) outcome {
	var text strings.Builder
	failed := false
	for _, line := range strings.Split(string(c.body), "\n") {
		if line == "event: error" {
			failed = true
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if failed {
			return c.checkPrefix(text.String(), want, parseRefusal([]byte(data)))
		}
		if data == "[DONE]" {
			return c.checkComplete(text.String(), want)
		}
		var event struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 {
			return outcome{problem: "malformed event " + data}
		}
		text.WriteString(event.Choices[0].Text)
	}
	return outcome{problem: fmt.Sprintf("stream has no terminal event: %q", c.body)}
}

func (c *call) checkComplete(got, want string) outcome {
	if got != want {
		return outcome{problem: fmt.Sprintf("stream gave %q, want %q", got, want)}
	}
	return outcome{complete: true}
}

// checkPrefix checks the part of a response that precedes a refusal.
func (c *call) checkPrefix(got, want string, o outcome) outcome {
	if o.problem == "" && !strings.HasPrefix(want, got) {
		o.problem = fmt.Sprintf("stream gave %q before its error, want a prefix of %q", got, want)
	}
	return o
}

func (c *call) serviceOutcome() outcome {
	var response struct {
		Path string
		Run  int
	}
	if err := json.Unmarshal(c.body, &response); err != nil || response.Path != c.path {
		return outcome{problem: fmt.Sprintf("response %q to a call of %s", c.body, c.path)}
	}
	return outcome{complete: true}
}

// generateTraffic sends random requests of one team until ctx ends.
func (sim *simulation) generateTraffic(ctx context.Context, team int, seed uint64, inFlight *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(seed, 100+uint64(team)))
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanRequestInterval))):
		}
		c := sim.drawCall(rng, team, fmt.Sprintf("t%d-%d", team, n))
		repeats := drawRepeats(rng, c)
		inFlight.Go(func() { sim.sendWithRepeats(c, repeats) })
	}
}

// meanRequestInterval is the mean time between two requests of a team.
const meanRequestInterval = 150 * time.Millisecond

// drawCall returns a random request of a team.
func (sim *simulation) drawCall(rng *rand.Rand, team int, tag string) *call {
	c := &call{tag: tag, team: team, model: -1, prompt: "tag=" + tag + "; " + strings.Repeat("word ", rng.IntN(8))}
	c.key = sim.keyOf(team, rng.IntN(8))
	c.keyValue = c.key.value
	switch draw := rng.Float64(); {
	case draw < 0.02:
		c.key, c.keyValue = nil, "secret-of-nobody"
	case draw < 0.03:
		c.key, c.keyValue = nil, ""
	}
	switch draw := rng.Float64(); {
	case draw < 0.25:
		c.path, c.idempotencyKey = "/billing/orders", tag
	case draw < 0.30:
		c.path = "/billing/orders"
	case draw < 0.35:
		c.path = "/tariffs/today"
	default:
		c.path, c.model = "/v1/completions", rng.IntN(modelCount)
		c.maxTokens, c.stream = 1+rng.IntN(8), chance(rng, 0.5)
		if chance(rng, 0.004) {
			c.prompt += crashPrompt
		}
	}
	return c
}

// drawRepeats returns the delays after which the call is sent again.
func drawRepeats(rng *rand.Rand, c *call) []time.Duration {
	if c.idempotencyKey == "" {
		return nil
	}
	var after []time.Duration
	for range rng.IntN(3) {
		after = append(after, time.Duration(rng.Int64N(int64(3*time.Second))))
	}
	if chance(rng, 0.2) {
		after = append(after, 0) // concurrently, through another host
	}
	return after
}

var hostSequence atomic.Uint64 // selects hosts in turn

// sendWithRepeats sends the call and its repeats, each through the next host.
func (sim *simulation) sendWithRepeats(c *call, repeats []time.Duration) {
	var wait sync.WaitGroup
	for _, after := range repeats {
		again := *c
		wait.Go(func() {
			time.Sleep(after)
			sim.sendToNextHost(&again)
		})
	}
	sim.sendToNextHost(c)
	wait.Wait()
}

func (sim *simulation) sendToNextHost(c *call) {
	hosts := sim.upHosts()
	if len(hosts) == 0 {
		return
	}
	sim.send(c, hosts[hostSequence.Add(1)%uint64(len(hosts))])
}
