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

// call is one request of a caller to one host and how it ended.
type call struct {
	tag       string
	team      int
	key       *key // nil if the key is unknown to the operators or none is sent
	keyValue  string
	model     int // -1 for services
	path      string
	prompt    string
	maxTokens int
	stream    bool
	once      string // idempotency key

	host     *host
	arrived  time.Time
	finished time.Time
	cut      bool // the host crashed under the call
	status   int
	header   http.Header
	body     []byte
}

// replayed reports an answer kept from an earlier call.
func (c *call) replayed() bool { return c.header.Get(serve.HeaderReplayed) != "" }

// money reports a call that may not run more than once.
func (c *call) money() bool { return strings.HasPrefix(c.path, "/billing") }

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
	if c.once != "" {
		r.Header.Set(serve.HeaderIdempotencyKey, c.once)
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

// perform sends the call to a host and waits for its end.
func (w *world) perform(c *call, h *host) *call {
	c.host, c.arrived = h, time.Now()
	rec := &recorder{header: http.Header{}}
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
			c.cut = true
		}
	}
	if c.cut && !h.crashed.Load() {
		w.fail("%s: call %s was cut by the planned stop of %s", invariant.ShutdownGraceful, c.tag, h.name)
	}
	// A call that ended in the instant of the crash may have seen either.
	if h.crashed.Load() {
		c.cut = true
	}
	c.finished = time.Now()
	c.status, c.header, c.body = rec.result()
	w.mu.Lock()
	w.calls = append(w.calls, c)
	w.mu.Unlock()
	return c
}

// recorder keeps a response; its reader may come before its writer has ended.
type recorder struct {
	mu     sync.Mutex
	header http.Header
	status int
	head   http.Header
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }
func (r *recorder) Flush()              {}

func (r *recorder) WriteHeader(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status == 0 {
		r.status, r.head = status, r.header.Clone()
	}
}

func (r *recorder) Write(p []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.Write(p)
}

func (r *recorder) result() (int, http.Header, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status, r.head, bytes.Clone(r.body.Bytes())
}

// outcome is what a caller makes of a response.
type outcome struct {
	whole     bool // the whole answer to this request
	wrong     string
	execution refusal.Execution // of a refusal
	code      refusal.Code
}

func (c *call) outcome() outcome {
	if c.status != http.StatusOK {
		return refused(c.body)
	}
	if c.model < 0 {
		return c.serviceOutcome()
	}
	want := ""
	for i := range c.maxTokens {
		want += engine.Token(c.prompt, i)
	}
	if !c.stream {
		var answer struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal(c.body, &answer); err != nil || len(answer.Choices) != 1 || answer.Choices[0].Text != want {
			return outcome{wrong: fmt.Sprintf("answer %s, want text %q", c.body, want)}
		}
		return outcome{whole: true}
	}
	return c.streamOutcome(want)
}

func refused(body []byte) outcome {
	var b refusal.Body
	if err := json.Unmarshal(body, &b); err != nil || b.Error.Code == "" || b.Error.Execution == "" {
		return outcome{wrong: fmt.Sprintf("no refusal in %q", body)}
	}
	return outcome{execution: b.Error.Execution, code: b.Error.Code}
}

// streamOutcome takes a stream as whole only with its terminal event.
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
			return c.prefix(text.String(), want, refused([]byte(data)))
		}
		if data == "[DONE]" {
			return c.done(text.String(), want)
		}
		var event struct {
			Choices []struct{ Text string }
		}
		if err := json.Unmarshal([]byte(data), &event); err != nil || len(event.Choices) != 1 {
			return outcome{wrong: "malformed event " + data}
		}
		text.WriteString(event.Choices[0].Text)
	}
	return outcome{wrong: fmt.Sprintf("stream without an end: %q", c.body)}
}

func (c *call) done(got, want string) outcome {
	if got != want {
		return outcome{wrong: fmt.Sprintf("stream gave %q, want %q", got, want)}
	}
	return outcome{whole: true}
}

// prefix checks what came before a refusal.
func (c *call) prefix(got, want string, o outcome) outcome {
	if o.wrong == "" && !strings.HasPrefix(want, got) {
		o.wrong = fmt.Sprintf("stream gave %q before its error, want a part of %q", got, want)
	}
	return o
}

func (c *call) serviceOutcome() outcome {
	var answer struct {
		Path string
		Run  int
	}
	if err := json.Unmarshal(c.body, &answer); err != nil || answer.Path != c.path {
		return outcome{wrong: fmt.Sprintf("answer %q to a call of %s", c.body, c.path)}
	}
	return outcome{whole: true}
}

// traffic sends requests of one team until ctx ends.
func (w *world) traffic(ctx context.Context, team int, seed uint64, inFlight *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(seed, 100+uint64(team)))
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(rng.ExpFloat64() * float64(meanPause))):
		}
		c := w.drawCall(rng, team, fmt.Sprintf("t%d-%d", team, n))
		repeats := drawRepeats(rng, c)
		inFlight.Go(func() { w.performAll(c, repeats) })
	}
}

// meanPause is the mean time between two requests of a team.
const meanPause = 150 * time.Millisecond

// drawCall makes a request of a team.
func (w *world) drawCall(rng *rand.Rand, team int, tag string) *call {
	c := &call{tag: tag, team: team, model: -1, prompt: "tag=" + tag + "; " + strings.Repeat("word ", rng.IntN(8))}
	c.key = w.anyKey(team, rng.IntN(8))
	c.keyValue = c.key.value
	switch draw := rng.Float64(); {
	case draw < 0.02:
		c.key, c.keyValue = nil, "secret-of-nobody"
	case draw < 0.03:
		c.key, c.keyValue = nil, ""
	}
	switch draw := rng.Float64(); {
	case draw < 0.25:
		c.path, c.once = "/billing/orders", tag
	case draw < 0.30:
		c.path = "/billing/orders"
	case draw < 0.35:
		c.path = "/tariffs/today"
	default:
		c.path, c.model = "/v1/completions", rng.IntN(modelCount)
		c.maxTokens, c.stream = 1+rng.IntN(8), chance(rng, 0.5)
		if chance(rng, 0.004) {
			c.prompt += poison
		}
	}
	return c
}

// drawRepeats returns the times after which the call is sent again.
func drawRepeats(rng *rand.Rand, c *call) []time.Duration {
	if c.once == "" {
		return nil
	}
	var after []time.Duration
	for range rng.IntN(3) {
		after = append(after, time.Duration(rng.Int64N(int64(3*time.Second))))
	}
	if chance(rng, 0.2) {
		after = append(after, 0) // at once, through another host
	}
	return after
}

var sequence atomic.Uint64 // picks hosts evenly

// performAll sends the call and its repeats, through any hosts.
func (w *world) performAll(c *call, repeats []time.Duration) {
	var wait sync.WaitGroup
	for _, after := range repeats {
		again := *c
		wait.Go(func() {
			time.Sleep(after)
			w.performAnywhere(&again)
		})
	}
	w.performAnywhere(c)
	wait.Wait()
}

func (w *world) performAnywhere(c *call) {
	hosts := w.up()
	if len(hosts) == 0 {
		return
	}
	w.perform(c, hosts[sequence.Add(1)%uint64(len(hosts))])
}
