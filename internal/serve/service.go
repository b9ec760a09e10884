package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/credential"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/target"
)

// HeaderIdempotencyKey is the request header that identifies a call, so that it
// runs at most once even if it is sent several times.
const HeaderIdempotencyKey = "Idempotency-Key"

// HeaderReplayed is the response header that marks a stored response of an earlier call.
const HeaderReplayed = "X-Seam-Replayed"

// serviceHeaders are the request headers forwarded to services. All others,
// including credentials, are dropped.
var serviceHeaders = []string{"Content-Type", "Accept", "Accept-Language"}

// responseHeaders are the response headers of services forwarded to callers.
var responseHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag", "Last-Modified"}

// serviceCall is an admitted request to a plain service.
type serviceCall struct {
	id      string
	service *config.Service
	key     *config.Key  // nil for services that need no key
	team    *config.Team // nil for services that need no key
	method  string
	path    string
	header  map[string]string
	body    []byte
}

func (c *serviceCall) teamName() string {
	if c.team == nil {
		return ""
	}
	return c.team.Name
}

// repeatable reports whether the call may be sent more than once.
func (c *serviceCall) repeatable() bool {
	switch c.method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return !c.service.NonRepeatable
}

// service serves a request to a plain service, from parsing to writing the response.
func (h *Handler) service(w http.ResponseWriter, r *http.Request) error {
	arrived := time.Now()
	call, err := h.parseService(w, r)
	if err != nil {
		return err
	}
	deadline := h.opts.Deadline
	if call.service.DeadlineMS > 0 {
		deadline = time.Duration(call.service.DeadlineMS) * time.Millisecond
	}
	ctx, cancel := context.WithDeadline(r.Context(), arrived.Add(deadline))
	defer cancel()
	if call.team != nil {
		reservation, err := h.opts.Limits.Reserve(ctx, call.team, call.service.Cost)
		if err != nil {
			return err
		}
		defer reservation.Settle(call.service.Cost)
	}
	resp, err := h.runService(ctx, call, r.Header.Get(HeaderIdempotencyKey))
	if err != nil {
		return err
	}
	return writeResponse(w, resp)
}

func (h *Handler) parseService(w http.ResponseWriter, r *http.Request) (*serviceCall, error) {
	svc := h.opts.Config.Snapshot().ServiceFor(r.URL.Path)
	if svc == nil {
		return nil, refusal.New(http.StatusNotFound, refusal.CodeUnknownRoute, "No service has this path.")
	}
	call := &serviceCall{id: newRequestID(), service: svc, method: r.Method}
	if !svc.Public {
		key, team, err := h.authenticate(r)
		if err != nil {
			return nil, err
		}
		if !svc.Admits(team.Name) {
			return nil, refusal.New(http.StatusNotFound, refusal.CodeUnknownRoute, "No service has this path.")
		}
		call.key, call.team = key, team
	}
	body, err := h.readBody(w, r)
	if err != nil {
		return nil, err
	}
	call.body = body
	if err := call.copyWithoutKey(credential.Find(r), r); err != nil {
		return nil, keyRepeatedError(err)
	}
	return call, nil
}

// copyWithoutKey sets the path and headers for the target and checks the body. It
// fails if the key that the request presents would remain in any of them.
func (c *serviceCall) copyWithoutKey(presented credential.Set, r *http.Request) (err error) {
	c.path, err = presented.ForwardedURI(r.URL)
	if err != nil {
		return err
	}
	c.header, err = presented.ForwardedHeader(r.Header, serviceHeaders)
	if err != nil {
		return err
	}
	return presented.CheckBody(c.body)
}

// runService performs the call: with retries if it is repeatable, otherwise once, with the
// journal if it has an idempotency key.
func (h *Handler) runService(ctx context.Context, call *serviceCall, idempotencyKey string) (Response, error) {
	if call.repeatable() {
		return h.sendRepeatable(ctx, call)
	}
	if idempotencyKey == "" {
		resp, _, err := h.sendOnce(ctx, call)
		return resp, err
	}
	id := CallID{
		Team:           call.teamName(),
		IdempotencyKey: idempotencyKey,
		Fingerprint:    call.fingerprint(),
	}
	return h.runJournalled(ctx, id, call)
}

// How long a repeated call waits for the first one to finish, and how often it
// checks. The journal records the end of a call slightly after the caller has
// received the response; a repeat in between should still get that response.
const (
	firstCallWait = time.Second
	firstCallPoll = 25 * time.Millisecond
)

// runJournalled runs the call at most once. A repeated call waits up to
// firstCallWait for the first one to finish.
func (h *Handler) runJournalled(ctx context.Context, id CallID, call *serviceCall) (Response, error) {
	run := func(ctx context.Context) (Response, bool, error) { return h.sendOnce(ctx, call) }
	for waited := time.Duration(0); ; waited += firstCallPoll {
		resp, err := h.opts.Journal.Do(ctx, id, run)
		var ref *refusal.Error
		if !errors.As(err, &ref) || ref.Code != refusal.CodeInProgress || waited >= firstCallWait {
			return resp, err
		}
		select {
		case <-time.After(firstCallPoll):
		case <-ctx.Done():
			return resp, err
		}
	}
}

func (c *serviceCall) fingerprint() string {
	d := xxhash.New()
	_, _ = d.WriteString(c.method + "\x00" + c.path + "\x00") // never fails, see xxhash
	_, _ = d.Write(c.body)
	return strconv.FormatUint(d.Sum64(), 16)
}

// sendRepeatable sends the call and retries it within the retry budgets.
func (h *Handler) sendRepeatable(ctx context.Context, call *serviceCall) (Response, error) {
	exclude := map[string]bool{}
	everSent := false
	for retry := 1; ; retry++ {
		resp, name, sent, err := h.sendService(ctx, call, exclude)
		everSent = everSent || sent
		if err == nil || retry >= maxAttempts || ctx.Err() != nil || name == "" {
			return resp, withSentExecution(err, everSent)
		}
		if !h.opts.Retries.Allow(call.teamName(), name) {
			return resp, withSentExecution(err, everSent)
		}
		exclude[name] = true
		select {
		case <-time.After(h.opts.Retries.Backoff(retry)):
		case <-ctx.Done():
		}
	}
}

// withSentExecution changes the execution of a refusal from not_run to unknown if
// the request may have reached a target.
func withSentExecution(err error, sent bool) error {
	var ref *refusal.Error
	if err == nil || !sent || !errors.As(err, &ref) || ref.Execution != refusal.NotRun {
		return err
	}
	return refusal.New(ref.Status, ref.Code, ref.Message).WithRetryAfter(ref.RetryAfter).WithExecution(refusal.Unknown).WithCause(ref.Cause)
}

// sendOnce sends the call to one target and never retries. The call continues if
// its caller leaves, so that its outcome can be recorded.
func (h *Handler) sendOnce(ctx context.Context, call *serviceCall) (Response, bool, error) {
	bounded := context.WithoutCancel(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		bounded, cancel = context.WithDeadline(bounded, deadline)
		defer cancel()
	}
	if ctx.Err() != nil {
		return Response{}, false, serviceDeadlineExceeded(refusal.NotRun, ctx.Err())
	}
	resp, _, sent, err := h.sendService(bounded, call, nil)
	return resp, sent, err
}

func serviceDeadlineExceeded(x refusal.Execution, cause error) *refusal.Error {
	return refusal.New(http.StatusGatewayTimeout, refusal.CodeDeadline, "No answer came before the deadline.").WithExecution(x).WithCause(cause)
}

// sendService makes one attempt. It returns the name of the chosen target, or an
// empty name if there was none, and whether the call may have reached the target.
func (h *Handler) sendService(ctx context.Context, call *serviceCall, exclude map[string]bool) (out Response, name string, sent bool, err error) {
	release, err := h.opts.Queue.Acquire(ctx, call.queueRequest())
	if err != nil {
		return Response{}, "", false, err
	}
	defer release()
	if call.key != nil {
		if err := h.opts.Auth.StillValid(call.key.Hash); err != nil {
			return Response{}, "", false, err
		}
	}
	choice, err := h.opts.Router.Pick(RouteQuery{RequestID: call.id, Team: call.teamName(), Pool: call.service.Name, Tokens: call.service.Cost, Exclude: exclude})
	if err != nil {
		return Response{}, "", false, err
	}
	h.opts.Retries.RecordSent(call.teamName(), choice.Target.Name)
	resp, err := h.opts.Sender.Send(ctx, choice.Target.Address, target.Request{
		ID: newRequestID(), Method: call.method, Path: call.path, Header: call.header, Body: call.body,
		Fresh: !call.repeatable() || len(exclude) > 0,
	})
	if err != nil {
		choice.Done(Outcome{})
		return Response{}, choice.Target.Name, !isUnreachable(err), refusalForSendError(ctx, err)
	}
	out, err = readResponse(resp)
	choice.Done(Outcome{OK: err == nil})
	return out, choice.Target.Name, true, err
}

func (c *serviceCall) queueRequest() QueueRequest {
	q := QueueRequest{ID: c.id, Team: c.teamName(), Weight: 1, Pool: c.service.Name, Tokens: max(c.service.Cost, 1)}
	if c.team != nil {
		q.Weight = c.team.Weight
	}
	return q
}

func isUnreachable(err error) bool {
	var unreachable *target.UnreachableError
	return errors.As(err, &unreachable)
}

// refusalForSendError returns the refusal for a failed send.
func refusalForSendError(ctx context.Context, err error) *refusal.Error {
	x := refusal.Unknown
	if isUnreachable(err) {
		x = refusal.NotRun
	}
	if ctx.Err() != nil {
		return serviceDeadlineExceeded(x, err)
	}
	return refusal.New(http.StatusBadGateway, refusal.CodeTargetFailed, "The service failed.").WithExecution(x).WithCause(err)
}

// readResponse reads a complete response of at most maxResponseBytes.
func readResponse(resp *target.Response) (Response, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes {
		return Response{}, refusal.New(http.StatusBadGateway, refusal.CodeIncomplete, "The service's answer was cut.").
			WithExecution(refusal.Ran).WithCause(err)
	}
	out := Response{Status: resp.Status, Header: map[string]string{}, Body: body}
	for _, name := range responseHeaders {
		if v := resp.Header[name]; v != "" {
			out.Header[name] = v
		}
	}
	return out, nil
}

func writeResponse(w http.ResponseWriter, resp Response) error {
	for k, v := range resp.Header {
		w.Header().Set(k, v)
	}
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body) // a caller that has left is not an error
	return nil
}
