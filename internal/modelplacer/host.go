package modelplacer

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
	deciderCallTimeout = 2 * time.Second        // of one call of the decider, over all hosts tried
	deciderRetryDelay  = 50 * time.Millisecond  // after a failed call
	defaultWait        = 30 * time.Second       // for a request without a deadline
	retryAfter         = 2 * time.Second        // sent to clients when no better estimate is known
	readyIntervals     = 3                      // use intervals after which an unconfirmed model no longer counts as ready
	dispatchMargin     = 100 * time.Millisecond // time reserved between the end of a load and the dispatch of a request
)

// deciderClient tracks the requests of this host that wait for models, and the
// model states that the decider last reported.
type deciderClient struct {
	p *Placer

	mu     sync.Mutex
	models map[string]*modelState
}

// modelState is this host's view of one model.
type modelState struct {
	ready     bool
	readyAt   time.Duration // when the decider last confirmed it
	started   int           // requests since the last message to the decider
	noReplica bool          // the router found no replica although the decider reported the model ready
	waiters   map[*waiter]bool
	polling   bool // pollDecider runs
}

// waiter is a request that waits for a model.
type waiter struct {
	deadline time.Duration
	result   chan error // receives exactly one value
}

func newDeciderClient(p *Placer) *deciderClient {
	return &deciderClient{p: p, models: map[string]*modelState{}}
}

func (c *deciderClient) model(name string) *modelState {
	m := c.models[name]
	if m == nil {
		m = &modelState{waiters: map[*waiter]bool{}}
		c.models[name] = m
	}
	return m
}

// Ensure implements serve.Placer. It returns once the decider reports that a
// replica is ready, and fails as soon as the decider reports that none will be
// ready before the deadline.
func (p *Placer) Ensure(ctx context.Context, model string) error {
	if p.opts.Config.Snapshot().Models[model] == nil {
		return refusal.New(http.StatusNotFound, refusal.CodeUnknownModel, "The model was withdrawn.")
	}
	w := p.client.addWaiter(ctx, model)
	if w == nil {
		return nil
	}
	began := time.Now()
	defer p.client.removeWaiter(model, w)
	select {
	case err := <-w.result:
		p.recordWait(model, time.Since(began), err)
		return err
	case <-ctx.Done():
		err := deadlineRefusal(retryAfter).WithCause(ctx.Err())
		p.recordWait(model, time.Since(began), err)
		return err
	}
}

func (p *Placer) recordWait(model string, waited time.Duration, err error) {
	result := "ready"
	if err != nil {
		result = "refused"
	}
	p.opts.Metrics.Tagged(map[string]string{"result": result}).Timer("place_cold_start").Record(waited)
	p.opts.Log.WithFields(logrus.Fields{
		"event": "cold_start", "model": model, "waited_ms": waited.Milliseconds(), "result": result,
	}).Info("request waited for a model")
}

// RecordMissingModel records that the router found no replica of a model that Ensure had
// reported as ready. The next Ensure asks the decider again.
func (p *Placer) RecordMissingModel(model string) {
	p.client.mu.Lock()
	defer p.client.mu.Unlock()
	m := p.client.model(model)
	m.ready = false
	m.noReplica = true
}

// addWaiter counts a request for the model. It returns nil if the model is
// ready; otherwise it registers and returns a waiter.
func (c *deciderClient) addWaiter(ctx context.Context, model string) *waiter {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.model(model)
	now := c.p.now()
	m.started++
	if m.ready && now < m.readyAt+readyIntervals*c.p.useInterval() {
		return nil
	}
	deadline := now + defaultWait
	if d, ok := ctx.Deadline(); ok {
		deadline = now + time.Until(d)
	}
	w := &waiter{deadline: deadline, result: make(chan error, 1)}
	m.waiters[w] = true
	if !m.polling {
		m.polling = true
		go c.pollDecider(model, m)
	}
	return w
}

func (c *deciderClient) removeWaiter(model string, w *waiter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.model(model).waiters, w)
}

// pollDecider sends the demand for a model to the decider for as long as requests wait for it.
func (c *deciderClient) pollDecider(model string, m *modelState) {
	for {
		params, ok := c.currentDemand(model, m)
		if !ok {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), deciderCallTimeout)
		var r demandResult
		gotReply := c.p.callDecider(ctx, methodDemand, params, &r, func() (bool, string) { return r.Decider, r.Holder })
		cancel()
		if !gotReply {
			c.handleNoReply(m)
			time.Sleep(deciderRetryDelay)
			continue
		}
		c.handleResult(m, r)
	}
}

// currentDemand returns the demand to send, or false if no request waits any more.
func (c *deciderClient) currentDemand(model string, m *modelState) (demandParams, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(m.waiters) == 0 {
		m.polling = false
		return demandParams{}, false
	}
	now := c.p.now()
	params := demandParams{Model: model, Waiting: len(m.waiters), NoReplica: m.noReplica}
	m.noReplica = false
	first := true
	for w := range m.waiters {
		remaining := w.deadline - now
		if first || remaining < params.Earliest {
			params.Earliest = remaining
		}
		if first || remaining > params.Latest {
			params.Latest = remaining
		}
		first = false
	}
	return params, true
}

// handleNoReply lets the waiting requests proceed if the model was ready in the
// decider's last reply: decisions stay in force while no decider is reachable.
func (c *deciderClient) handleNoReply(m *modelState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.ready {
		m.answerWaiters(func(*waiter) (error, bool) { return nil, true })
	}
}

// handleResult answers waiters according to the decider's result.
func (c *deciderClient) handleResult(m *modelState, r demandResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.p.now()
	m.ready = r.Serving == placement.ServingReady
	switch r.Serving {
	case placement.ServingReady:
		m.readyAt = now
		m.answerWaiters(func(*waiter) (error, bool) { return nil, true })
	case placement.ServingImpossible:
		m.answerWaiters(func(*waiter) (error, bool) {
			return refusal.New(http.StatusServiceUnavailable, refusal.CodeNoCapacity, "No engine can load the model: "+r.Reason+".").WithRetryAfter(retryAfter), true
		})
	case placement.ServingLoading:
		if r.ReadyIn <= 0 {
			return
		}
		m.answerWaiters(func(w *waiter) (error, bool) {
			return deadlineRefusal(max(r.ReadyIn, time.Second)), now+r.ReadyIn+dispatchMargin > w.deadline
		})
	}
}

func deadlineRefusal(after time.Duration) *refusal.Error {
	return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "The model cannot be loaded before the deadline.").WithRetryAfter(after)
}

// answerWaiters answers and removes the waiters for which f returns true.
func (m *modelState) answerWaiters(f func(*waiter) (error, bool)) {
	for w := range m.waiters {
		if err, ok := f(w); ok {
			w.result <- err
			delete(m.waiters, w)
		}
	}
}

// run reports the use of models to the decider periodically.
func (c *deciderClient) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.p.useInterval()):
		}
		c.sendUse(ctx)
	}
}

func (c *deciderClient) sendUse(ctx context.Context) {
	params := c.takeUse()
	if len(params.Uses) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, deciderCallTimeout)
	defer cancel()
	var r useResult
	if !c.p.callDecider(ctx, methodUse, params, &r, func() (bool, string) { return r.Decider, r.Holder }) {
		return
	}
	unready := map[string]bool{}
	for _, name := range r.Unready {
		unready[name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.p.now()
	for _, u := range params.Uses {
		m := c.model(u.Model)
		if unready[u.Model] {
			m.ready = false
		} else {
			m.readyAt = now
		}
	}
}

// takeUse returns the use of models since the last message and resets the
// counts. It forgets unused models that are not ready.
func (c *deciderClient) takeUse() useParams {
	running := c.p.opts.Running()
	c.mu.Lock()
	defer c.mu.Unlock()
	var params useParams
	for name, m := range c.models {
		if m.started > 0 || running[name] > 0 {
			params.Uses = append(params.Uses, modelUse{Model: name, Started: m.started, Running: running[name]})
			m.started = 0
			continue
		}
		if len(m.waiters) == 0 && !m.polling && !m.ready {
			delete(c.models, name)
		}
	}
	return params
}

// sendReports sends target reports to the decider.
func (c *deciderClient) sendReports(ctx context.Context, params reportsParams) bool {
	ctx, cancel := context.WithTimeout(ctx, deciderCallTimeout)
	defer cancel()
	var r reportsResult
	return c.p.callDecider(ctx, methodReports, params, &r, func() (bool, string) { return r.Decider, r.Holder })
}

// callDecider calls a method of the decider. It tries the last known holder of
// the lease and then the candidates; a host that a reply names as the holder is
// tried next. After a reply, replyFrom returns whether it came from the decider
// and, if not, the named holder.
func (p *Placer) callDecider(ctx context.Context, method string, params, result any, replyFrom func() (bool, string)) bool {
	tried := map[string]bool{}
	ranked := rankedHosts(p.opts.Members.Members())
	queue := append([]string{p.lease.knownHolder()}, ranked[:min(len(ranked), candidateCount)]...)
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
		decider, holder := replyFrom()
		if decider {
			p.lease.setKnownHolder(host)
			return true
		}
		queue = append([]string{holder}, queue...)
	}
	return false
}
