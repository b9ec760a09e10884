package place

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/refusal"
)

const (
	askLimit    = 2 * time.Second        // of one question to the decider
	askAgain    = 50 * time.Millisecond  // after a question without answer
	defaultWait = 30 * time.Second       // of a request without a deadline
	retryAfter  = 2 * time.Second        // told when no better time is known
	readyLife   = 3                      // intervals for which a ready model is taken for ready
	etaMargin   = 100 * time.Millisecond // time kept for the way from the load to the dispatch
)

// hostSide holds the requests of this host that wait for models, and what the
// decider said of the models.
type hostSide struct {
	p *Placer

	mu     sync.Mutex
	models map[string]*hostModel
}

// hostModel is one model as this host sees it.
type hostModel struct {
	ready   bool
	readyAt time.Duration // when the decider last said so
	used    int           // since the last message to the decider
	missed  bool          // the router found no replica though ready was told
	waiters map[*waiter]bool
	asking  bool // chase runs
}

// waiter is a request that waits for a model.
type waiter struct {
	deadline time.Duration
	verdict  chan error // one value
}

func newHostSide(p *Placer) *hostSide { return &hostSide{p: p, models: map[string]*hostModel{}} }

func (h *hostSide) model(name string) *hostModel {
	m := h.models[name]
	if m == nil {
		m = &hostModel{waiters: map[*waiter]bool{}}
		h.models[name] = m
	}
	return m
}

// Ensure implements serve.Placer. It returns once the decider says that a
// replica is ready, and fails as soon as the decider says that none will be
// before the deadline.
func (p *Placer) Ensure(ctx context.Context, model string) error {
	if p.opts.Config.Snapshot().Models[model] == nil {
		return refusal.New(http.StatusNotFound, refusal.CodeUnknownModel, "The model was withdrawn.")
	}
	w := p.host.join(ctx, model)
	if w == nil {
		return nil
	}
	began := time.Now()
	defer p.host.leave(model, w)
	select {
	case err := <-w.verdict:
		p.record(model, time.Since(began), err)
		return err
	case <-ctx.Done():
		err := deadlineRefusal(retryAfter).WithCause(ctx.Err())
		p.record(model, time.Since(began), err)
		return err
	}
}

func (p *Placer) record(model string, waited time.Duration, err error) {
	result := "ready"
	if err != nil {
		result = "refused"
	}
	p.opts.Metrics.Tagged(map[string]string{"result": result}).Timer("place_cold_start").Record(waited)
	p.opts.Log.WithFields(logrus.Fields{
		"event": "cold_start", "model": model, "waited_ms": waited.Milliseconds(), "result": result,
	}).Info("request waited for a model")
}

// Missed tells that the router found no replica of a model that Ensure had
// called ready. The next Ensure asks the decider again.
func (p *Placer) Missed(model string) {
	p.host.mu.Lock()
	defer p.host.mu.Unlock()
	m := p.host.model(model)
	m.ready = false
	m.missed = true
}

// join returns nil if the model is ready, else a waiter.
func (h *hostSide) join(ctx context.Context, model string) *waiter {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.model(model)
	now := h.p.now()
	m.used++
	if m.ready && now < m.readyAt+readyLife*h.p.interval() {
		return nil
	}
	deadline := now + defaultWait
	if d, ok := ctx.Deadline(); ok {
		deadline = now + time.Until(d)
	}
	w := &waiter{deadline: deadline, verdict: make(chan error, 1)}
	m.waiters[w] = true
	if !m.asking {
		m.asking = true
		go h.chase(model, m)
	}
	return w
}

func (h *hostSide) leave(model string, w *waiter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.model(model).waiters, w)
}

// chase asks the decider about a model for as long as requests wait for it.
func (h *hostSide) chase(model string, m *hostModel) {
	for {
		params, ok := h.question(model, m)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), askLimit)
		var r wantResult
		answered := h.p.askDecider(ctx, methodWant, params, &r, func() (bool, string) { return r.Decider, r.Holder })
		cancel()
		if !answered {
			h.unanswered(m)
			time.Sleep(askAgain)
			continue
		}
		h.judge(m, r)
	}
}

// question returns what to ask; ok is false when nobody waits any more.
func (h *hostSide) question(model string, m *hostModel) (wantParams, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(m.waiters) == 0 {
		m.asking = false
		return wantParams{}, false
	}
	now := h.p.now()
	params := wantParams{Model: model, Waiting: len(m.waiters), Missed: m.missed}
	m.missed = false
	first := true
	for w := range m.waiters {
		left := w.deadline - now
		if first || left < params.Earliest {
			params.Earliest = left
		}
		if first || left > params.Latest {
			params.Latest = left
		}
		first = false
	}
	return params, true
}

// unanswered lets requests go on with a model that was ready when the decider
// was last heard of: what was decided stays in force.
func (h *hostSide) unanswered(m *hostModel) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if m.ready {
		m.release(func(*waiter) (error, bool) { return nil, true })
	}
}

// judge acts on the decider's word.
func (h *hostSide) judge(m *hostModel, r wantResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.p.now()
	m.ready = r.Serving == placement.ServingReady
	switch r.Serving {
	case placement.ServingReady:
		m.readyAt = now
		m.release(func(*waiter) (error, bool) { return nil, true })
	case placement.ServingImpossible:
		m.release(func(*waiter) (error, bool) {
			return refusal.New(http.StatusServiceUnavailable, refusal.CodeNoCapacity, "No engine can load the model: "+r.Reason+".").WithRetryAfter(retryAfter), true
		})
	case placement.ServingLoading:
		if r.ReadyIn <= 0 {
			return
		}
		m.release(func(w *waiter) (error, bool) {
			return deadlineRefusal(max(r.ReadyIn, time.Second)), now+r.ReadyIn+etaMargin > w.deadline
		})
	}
}

func deadlineRefusal(after time.Duration) *refusal.Error {
	return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "The model cannot be loaded before the deadline.").WithRetryAfter(after)
}

// release answers the waiters that f names.
func (m *hostModel) release(f func(*waiter) (error, bool)) {
	for w := range m.waiters {
		if err, ok := f(w); ok {
			w.verdict <- err
			delete(m.waiters, w)
		}
	}
}

// run tells the decider about the use of models.
func (h *hostSide) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(h.p.interval()):
		}
		h.tellUse(ctx)
	}
}

func (h *hostSide) tellUse(ctx context.Context) {
	params := h.uses()
	if len(params.Uses) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	var r useResult
	if !h.p.askDecider(ctx, methodUse, params, &r, func() (bool, string) { return r.Decider, r.Holder }) {
		return
	}
	unready := map[string]bool{}
	for _, name := range r.Unready {
		unready[name] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.p.now()
	for _, u := range params.Uses {
		m := h.model(u.Model)
		if unready[u.Model] {
			m.ready = false
		} else {
			m.readyAt = now
		}
	}
}

// uses collects and resets what was used since the last message.
func (h *hostSide) uses() useParams {
	running := h.p.opts.Running()
	h.mu.Lock()
	defer h.mu.Unlock()
	var params useParams
	for name, m := range h.models {
		if m.used > 0 || running[name] > 0 {
			params.Uses = append(params.Uses, modelUse{Model: name, Used: m.used, Running: running[name]})
			m.used = 0
			continue
		}
		if len(m.waiters) == 0 && !m.asking && !m.ready {
			delete(h.models, name)
		}
	}
	return params
}

// reports passes reports on to the decider.
func (h *hostSide) reports(ctx context.Context, params reportsParams) bool {
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	var r reportsResult
	return h.p.askDecider(ctx, methodReports, params, &r, func() (bool, string) { return r.Decider, r.Holder })
}

// askDecider calls the host that decides: the one known to hold the lease, and
// after it those that stand ready. Ok tells of an answer whether it came from
// the decider, and if not, whom it named.
func (p *Placer) askDecider(ctx context.Context, method string, params, result any, ok func() (bool, string)) bool {
	tried := map[string]bool{}
	ready := order(p.opts.Members.Members())
	queue := append([]string{p.lease.hint()}, ready[:min(len(ready), candidates)]...)
	for len(queue) > 0 {
		host := queue[0]
		queue = queue[1:]
		if host == "" || tried[host] {
			continue
		}
		tried[host] = true
		if p.callHost(ctx, host, method, params, result) != nil {
			continue
		}
		decider, holder := ok()
		if decider {
			p.lease.heard(host)
			return true
		}
		queue = append([]string{holder}, queue...)
	}
	return false
}
