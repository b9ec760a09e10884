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

// maxAttempts bounds the attempts of one request, whatever the budgets allow.
const maxAttempts = 4

// completion serves a request to a model.
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

// modelRun is the serving of one model request over all its attempts.
type modelRun struct {
	h       *Handler
	call    *modelCall
	w       http.ResponseWriter
	r       *http.Request
	exclude map[string]bool // targets that failed this request

	attempts  int   // dispatches so far, this one included
	sent      bool  // some attempt may have reached a target
	headSent  bool  // the caller has the head of the answer
	delivered int64 // tokens passed on to the caller
	failure   error // of the last attempt at a target
}

// charge returns the tokens that the team pays for.
func (m *modelRun) charge() int64 {
	if !m.sent {
		return 0
	}
	return min(m.call.prompt+m.delivered, m.call.tokens())
}

// serve makes attempts until one ends the request.
func (m *modelRun) serve(ctx context.Context) error {
	var last error
	for attempt := 0; attempt < maxAttempts; attempt++ {
		if attempt > 0 && !m.pause(ctx, attempt) {
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

// pause waits before a retry; it reports false if there is no time for it.
func (m *modelRun) pause(ctx context.Context, retry int) bool {
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
// Done reports that the request has ended, with err as its result.
func (m *modelRun) attempt(ctx context.Context) (done bool, err error) {
	if m.headSent {
		// The deadline is for the first token; a resumed stream is
		// bounded by its progress.
		ctx = m.r.Context()
	}
	if err := m.h.opts.Placer.Ensure(ctx, m.call.model.Name); err != nil {
		return true, m.finish(err)
	}
	// Counted from here on, so that the model is not unloaded while the
	// request waits in the queue for a target that has it.
	defer m.h.opts.Running.begin(m.call.model.Name)()
	release, err := m.h.opts.Queue.Acquire(ctx, m.ticket())
	if err != nil {
		return true, m.finish(err)
	}
	defer release()
	if err := m.h.opts.Auth.StillValid(m.call.key.Hash); err != nil {
		return true, m.finish(err)
	}
	choice, err := m.h.opts.Router.Pick(m.query())
	if err != nil {
		return false, m.unrouted(err)
	}
	return m.dispatch(ctx, choice)
}

// unrouted follows up a request for which no target was found. If targets that
// failed it were left out, they are tried again, and their failure stays the
// cause; otherwise what this host knows of the model's replicas is out of date.
func (m *modelRun) unrouted(err error) error {
	if len(m.exclude) == 0 {
		m.h.opts.Placer.Missed(m.call.model.Name)
		return err
	}
	m.exclude = map[string]bool{}
	return m.failure
}

func (m *modelRun) ticket() Ticket {
	return Ticket{
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

// dispatch sends the request to the chosen target and passes the answer on.
func (m *modelRun) dispatch(ctx context.Context, choice Choice) (done bool, err error) {
	start := time.Now()
	before := m.delivered
	m.attempts++
	a := newAttempt(m.r.Context(), ctx, m.h.opts.TokenGap)
	defer a.close()
	m.h.opts.Retries.Sent(m.call.team.Name, choice.Target.Name)
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
	return m.judge(ctx, choice.Target, err)
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

// judge decides whether a failed attempt may be followed by another.
func (m *modelRun) judge(ctx context.Context, t *config.Target, err error) (done bool, result error) {
	var unreachable *target.UnreachableError
	var passed *answeredError
	if errors.As(err, &passed) {
		return true, err
	}
	if !errors.As(err, &unreachable) {
		m.sent = true
	}
	if m.r.Context().Err() != nil {
		return true, m.finish(m.canceled(err))
	}
	if ctx.Err() != nil && !m.headSent {
		return true, m.finish(m.late(err))
	}
	if lostWhileRunning(err) {
		m.h.opts.Quarantine.RecordCrash(m.call.team.Name, m.call.fingerprint, t.Name)
		if err := m.h.opts.Quarantine.Check(m.call.team.Name, m.call.fingerprint); err != nil {
			return true, m.finish(err)
		}
	}
	m.failure = err
	m.exclude[t.Name] = true
	if !m.h.opts.Retries.Allow(m.call.team.Name, t.Name) {
		return true, m.giveUp(err)
	}
	return false, err
}

// declined reports whether a healthy target answered that it does not take the
// request, for example since it has unloaded the model.
func declined(err error) bool {
	var status *StatusError
	return errors.As(err, &status) && status.Status < http.StatusInternalServerError
}

// lostWhileRunning reports whether the target broke the connection while it had
// the request. Silence is a lost path, not a crash.
func lostWhileRunning(err error) bool {
	var silent *target.IdleTimeoutError
	var unknown *target.UnknownOutcomeError
	var incomplete *IncompleteError
	if errors.As(err, &silent) {
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

func (m *modelRun) late(cause error) error {
	return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "No answer came before the deadline.").
		WithExecution(m.execution()).WithRetryAfter(time.Second).WithCause(cause)
}

// giveUp ends the request after its last attempt.
func (m *modelRun) giveUp(cause error) error {
	var ref *refusal.Error
	if errors.As(cause, &ref) {
		return m.finish(ref)
	}
	return m.finish(refusal.New(http.StatusBadGateway, refusal.CodeTargetFailed, "The model's engines failed.").
		WithExecution(m.execution()).WithRetryAfter(time.Second).WithCause(cause))
}

// finish gives the caller the final refusal: as the response if its head is
// still open, else as the last event of the stream.
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
