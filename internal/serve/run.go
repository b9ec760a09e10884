package serve

import (
	"context"
	"errors"
	"net/http"
	"time"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/target"
)

// maxAttempts is the largest number of attempts of one request, even if the retry budgets allow more.
const maxAttempts = 4

// completion serves a request to a model, from parsing to settling its charge.
func (h *Handler) completion(w http.ResponseWriter, r *http.Request) error {
	call, err := h.parseCall(w, r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.arrived.Add(h.opts.Deadline))
	defer cancel()
	if err := h.opts.Quarantine.Check(call.team.Name, call.fingerprint); err != nil {
		return err
	}
	reservation, err := h.opts.Limits.Reserve(ctx, call.team, call.tokens())
	if err != nil {
		return err
	}
	run := &modelRun{h: h, call: call, w: w, r: r, exclude: map[string]bool{}}
	err = run.serve(ctx)
	reservation.Settle(run.charge())
	return err
}

// modelRun serves one model request, over all its attempts.
type modelRun struct {
	h       *Handler
	call    *modelCall
	w       http.ResponseWriter
	r       *http.Request
	exclude map[string]bool // targets that failed this request

	attempts  int   // dispatches so far, including the current one
	sent      bool  // an attempt may have reached a target
	headSent  bool  // the response head was sent to the caller
	delivered int64 // tokens forwarded to the caller
	lastErr   error // why the last dispatch failed
}

// charge returns the number of tokens charged to the team.
func (m *modelRun) charge() int64 {
	if !m.sent {
		return 0
	}
	return min(m.call.prompt+m.delivered, m.call.tokens())
}

// serve makes attempts until one completes the request or no retry is possible.
func (m *modelRun) serve(ctx context.Context) error {
	var last error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 && !m.backOff(ctx, attempt) {
			break
		}
		done, err := m.attempt(ctx)
		if done {
			return err
		}
		last = err
	}
	return m.giveUp(last)
}

// backOff waits before a retry. It returns false if the caller has left, or if the response
// head was not sent yet and the deadline leaves no time for the retry.
func (m *modelRun) backOff(ctx context.Context, retry int) bool {
	wait := m.h.opts.Retries.Backoff(retry)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= wait && !m.headSent {
		return false
	}
	select {
	case <-time.After(wait):
		return true
	case <-m.r.Context().Done():
		return false
	}
}

// attempt takes the request through placement, queue and routing to a target.
// If done is true, the request has ended with err as its result.
func (m *modelRun) attempt(ctx context.Context) (done bool, err error) {
	if m.headSent {
		// The deadline applies only until the first token. A resumed stream
		// is bounded by its idle timeout instead.
		ctx = m.r.Context()
	}
	if err := m.h.opts.Placer.Ensure(ctx, m.call.model.Name); err != nil {
		return true, m.finish(err)
	}
	// Count the request before it is queued, so that the model is not
	// unloaded while the request waits for a target that has it.
	defer m.h.opts.Running.begin(m.call.model.Name)()
	release, err := m.h.opts.Queue.Acquire(ctx, m.queueRequest())
	if err != nil {
		return true, m.finish(err)
	}
	defer release()
	if err := m.h.opts.Auth.StillValid(m.call.key.Hash); err != nil {
		return true, m.finish(err)
	}
	choice, err := m.h.opts.Router.Pick(m.query())
	if err != nil {
		return false, m.handleNoTarget(err)
	}
	return m.dispatch(ctx, choice)
}

// handleNoTarget handles a request for which the router found no target. If targets
// were excluded because they failed this request, the next attempt may use them again,
// and their failure is returned as the cause. Otherwise this host's view of the model's
// replicas is out of date, and the placer is notified.
func (m *modelRun) handleNoTarget(err error) error {
	if len(m.exclude) == 0 {
		m.h.opts.Placer.RecordMissingModel(m.call.model.Name)
		return err
	}
	m.exclude = map[string]bool{}
	return m.lastErr
}

func (m *modelRun) queueRequest() QueueRequest {
	return QueueRequest{
		ID:       m.call.id,
		Team:     m.call.team.Name,
		Weight:   m.call.team.Weight,
		Pool:     m.call.model.Pool,
		Model:    m.call.model.Name,
		Tokens:   m.call.tokens(),
		Priority: m.call.offering.Priority,
	}
}

func (m *modelRun) query() RouteQuery {
	return RouteQuery{
		RequestID: m.call.id,
		Team:      m.call.team.Name,
		Pool:      m.call.model.Pool,
		Model:     m.call.model.Name,
		Prefix:    m.call.prefix,
		Tokens:    m.call.tokens(),
		Exclude:   m.exclude,
	}
}

// dispatch sends the request to the chosen target and forwards the response to the caller.
func (m *modelRun) dispatch(ctx context.Context, choice Choice) (done bool, err error) {
	start := time.Now()
	before := m.delivered
	m.attempts++
	a := newAttempt(m.r.Context(), ctx, m.h.opts.TokenGap)
	defer a.close()
	m.h.opts.Retries.RecordSent(m.call.team.Name, choice.Target.Name)
	resp, err := m.h.opts.Sender.Send(a.ctx, choice.Target.Address, m.request(choice.Target))
	if err == nil {
		m.sent = true
		err = m.relay(a, resp)
	}
	out := Outcome{OK: err == nil || declined(err), Canceled: m.r.Context().Err() != nil, Tokens: m.delivered - before}
	if !a.first.IsZero() {
		out.FirstToken = a.first.Sub(start)
	}
	choice.Done(out)
	if err == nil {
		m.h.opts.Quarantine.RecordSuccess(m.call.team.Name, m.call.fingerprint)
		return true, nil
	}
	return m.handleFailure(ctx, choice.Target, err)
}

func (m *modelRun) request(t *config.Target) target.Request {
	req := target.Request{
		ID:          newRequestID(),
		Method:      http.MethodPost,
		Path:        m.call.path,
		Header:      map[string]string{"Content-Type": "application/json"},
		Body:        m.call.body,
		Priority:    m.call.offering.Priority,
		Fresh:       m.attempts > 1,
		IdleTimeout: m.h.opts.TokenGap,
	}
	if m.delivered > 0 && t.Resumes {
		req.Header[target.HeaderResumeFrom] = formatInt(m.delivered)
	}
	return req
}

// handleFailure decides whether a failed attempt may be retried.
func (m *modelRun) handleFailure(ctx context.Context, t *config.Target, err error) (done bool, result error) {
	var unreachable *target.UnreachableError
	var answered *answeredError
	if errors.As(err, &answered) {
		return true, err
	}
	if !errors.As(err, &unreachable) {
		m.sent = true
	}
	if m.r.Context().Err() != nil {
		return true, m.finish(m.canceled(err))
	}
	if ctx.Err() != nil && !m.headSent {
		return true, m.finish(m.deadlineExceeded(err))
	}
	if connectionLost(err) {
		m.h.opts.Quarantine.RecordCrash(m.call.team.Name, m.call.fingerprint, t.Name)
		if err := m.h.opts.Quarantine.Check(m.call.team.Name, m.call.fingerprint); err != nil {
			return true, m.finish(err)
		}
	}
	m.lastErr = err
	m.exclude[t.Name] = true
	if !m.h.opts.Retries.Allow(m.call.team.Name, t.Name) {
		return true, m.giveUp(err)
	}
	return false, err
}

// declined reports whether a healthy target declined the request, for example
// because it has unloaded the model.
func declined(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status < http.StatusInternalServerError
}

// connectionLost reports whether the target broke the connection while it was
// running the request. An idle timeout is not counted: it indicates a lost
// network path, not a crash.
func connectionLost(err error) bool {
	var idle *target.IdleTimeoutError
	var unknown *target.UnknownOutcomeError
	var incomplete *IncompleteError
	if errors.As(err, &idle) {
		return false
	}
	return errors.As(err, &unknown) || errors.As(err, &incomplete)
}

func (m *modelRun) execution() refusal.Execution {
	if m.sent {
		return refusal.Unknown
	}
	return refusal.NotRun
}

func (m *modelRun) canceled(cause error) error {
	const statusClientClosed = 499
	return refusal.New(statusClientClosed, refusal.CodeCanceled, "The caller left.").WithExecution(m.execution()).WithCause(cause)
}

func (m *modelRun) deadlineExceeded(cause error) error {
	return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "No answer came before the deadline.").
		WithExecution(m.execution()).WithRetryAfter(time.Second).WithCause(cause)
}

// giveUp ends the request after its last attempt has failed.
func (m *modelRun) giveUp(cause error) error {
	var ref *refusal.Error
	if errors.As(cause, &ref) {
		return m.finish(ref)
	}
	return m.finish(refusal.New(http.StatusBadGateway, refusal.CodeTargetFailed, "The model's engines failed.").
		WithExecution(m.execution()).WithRetryAfter(time.Second).WithCause(cause))
}

// finish ends the request with a refusal. If the response head was not sent yet,
// it returns the refusal to be written as the response; otherwise it writes the
// refusal as the last event of the stream.
func (m *modelRun) finish(err error) error {
	ref := asRefusal(err)
	if m.sent && ref.Execution == refusal.NotRun {
		ref = refusal.New(ref.Status, ref.Code, ref.Message).WithRetryAfter(ref.RetryAfter).WithExecution(refusal.Unknown).WithCause(ref.Cause)
	}
	if !m.headSent {
		return ref
	}
	writeErrorEvent(m.w, ref)
	return &answeredError{cause: ref}
}
