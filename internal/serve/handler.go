package serve

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/credential"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/target"
)

// Options configure a Handler. All interfaces are required.
type Options struct {
	Config     config.Source
	Auth       Authenticator
	Limits     Limiter
	Queue      Queue
	Placer     Placer
	Router     Router
	Journal    Journal
	Quarantine Quarantine
	Retries    RetryBudget
	Sender     target.Sender
	Running    *RunningRequests // counts reported to placement
	EntryHosts http.Handler     // serves GET /v1/entry-hosts
	Log        logrus.FieldLogger
	Metrics    tally.Scope

	BodyBytes     int64         // largest request body
	Deadline      time.Duration // from arrival to the first token or the complete response
	TokenGap      time.Duration // longest time without data from a running stream
	MaxConcurrent int           // largest number of requests in progress
}

// Handler is the HTTP handler for callers' requests.
type Handler struct {
	opts     Options
	routes   http.Handler
	inFlight chan struct{} // one element for each request in progress
	opened   chan struct{} // closed once the host can serve
	stopping chan struct{} // closed once new requests are refused
}

// New returns a handler.
func New(opts Options) *Handler {
	h := &Handler{
		opts:     opts,
		inFlight: make(chan struct{}, opts.MaxConcurrent),
		opened:   make(chan struct{}),
		stopping: make(chan struct{}),
	}
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", h.post(h.completion))
	r.HandleFunc("/v1/completions", h.post(h.completion))
	r.HandleFunc("/v1/models", h.get(h.models))
	r.HandleFunc("/v1/entry-hosts", h.get(func(w http.ResponseWriter, r *http.Request) error {
		opts.EntryHosts.ServeHTTP(w, r)
		return nil
	}))
	r.PathPrefix("/v1/").HandlerFunc(h.wrap(func(http.ResponseWriter, *http.Request) error {
		return refusal.New(http.StatusNotFound, refusal.CodeUnknownRoute, "There is no such path in this protocol.")
	}))
	r.PathPrefix("/").HandlerFunc(h.wrap(h.service))
	h.routes = r
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.routes.ServeHTTP(w, r)
}

// Load returns the requests in progress as a fraction of MaxConcurrent.
func (h *Handler) Load() float64 {
	return float64(len(h.inFlight)) / float64(cap(h.inFlight))
}

// Open starts serving, also the requests that arrived earlier and have been waiting.
func (h *Handler) Open() { close(h.opened) }

// Stop makes the handler refuse new requests. Those in progress continue.
func (h *Handler) Stop() {
	close(h.stopping)
}

// Wait waits until no request is in progress or ctx ends, and returns the number
// of requests still in progress.
func (h *Handler) Wait(ctx context.Context) int {
	const pollInterval = 10 * time.Millisecond
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for len(h.inFlight) > 0 {
		select {
		case <-ctx.Done():
			return len(h.inFlight)
		case <-tick.C:
		}
	}
	return 0
}

// endpoint serves one request. A returned error is written as the response, unless
// it is an *answeredError, which means that the caller has its response already.
type endpoint func(w http.ResponseWriter, r *http.Request) error

func (h *Handler) post(e endpoint) http.HandlerFunc { return h.method(http.MethodPost, e) }

func (h *Handler) get(e endpoint) http.HandlerFunc { return h.method(http.MethodGet, e) }

func (h *Handler) method(want string, e endpoint) http.HandlerFunc {
	return h.wrap(func(w http.ResponseWriter, r *http.Request) error {
		if r.Method != want {
			w.Header().Set("Allow", want)
			return refusal.New(http.StatusMethodNotAllowed, refusal.CodeMethodNotAllowed, "This path takes "+want+" only.")
		}
		return e(w, r)
	})
}

// otherHostRetryAfter is sent with refusals of a host that is overloaded, starting or
// stopping. It gives callers time to look up another host.
const otherHostRetryAfter = time.Second

// wrap limits the requests in progress, waits until the host is open, and writes errors as responses.
func (h *Handler) wrap(e endpoint) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case h.inFlight <- struct{}{}:
			defer func() { <-h.inFlight }()
		default:
			h.refuse(w, r, refusal.New(http.StatusServiceUnavailable, refusal.CodeOverloaded, "This host has too many requests in progress.").WithRetryAfter(otherHostRetryAfter))
			return
		}
		if err := h.waitUntilOpen(r); err != nil {
			h.refuse(w, r, err)
			return
		}
		if h.isStopping() {
			h.refuse(w, r, refusal.New(http.StatusServiceUnavailable, refusal.CodeStopping, "This host is stopping; use another.").WithRetryAfter(otherHostRetryAfter))
			return
		}
		if err := e(w, r); err != nil {
			h.refuse(w, r, err)
		}
	}
}

// maxStartWait is how long a request waits for a starting host. A host that takes
// longer cannot reach its configuration.
const maxStartWait = 5 * time.Second

// waitUntilOpen delays a request until Open is called. Before that the host may lack its
// configuration and would refuse valid keys, paths and models as unknown.
func (h *Handler) waitUntilOpen(r *http.Request) error {
	select {
	case <-h.opened:
		return nil
	default:
	}
	select {
	case <-h.opened:
		return nil
	case <-r.Context().Done():
	case <-time.After(maxStartWait):
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeConfigurationStale, "This host is starting; use another.").WithRetryAfter(otherHostRetryAfter)
}

func (h *Handler) isStopping() bool {
	select {
	case <-h.stopping:
		return true
	default:
		return false
	}
}

// answeredError reports a failure after the response was written: it is logged,
// but not sent again.
type answeredError struct {
	cause *refusal.Error
}

func (e *answeredError) Error() string { return e.cause.Error() }

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, err error) {
	var answered *answeredError
	if errors.As(err, &answered) {
		h.logRefusal(r, answered.cause)
		return
	}
	ref := asRefusal(err)
	h.logRefusal(r, ref)
	ref.Write(w)
}

func (h *Handler) logRefusal(r *http.Request, ref *refusal.Error) {
	h.opts.Metrics.Tagged(map[string]string{"code": string(ref.Code), "execution": string(ref.Execution)}).Counter("refusals").Inc(1)
	h.opts.Log.WithFields(logrus.Fields{
		"event":     "request_refused",
		"path":      credential.Find(r).Redact(r.URL.Path),
		"code":      ref.Code,
		"execution": ref.Execution,
		"cause":     ref.Error(),
	}).Info("request refused")
}

// asRefusal returns err as a refusal. An error of another type is a bug in this
// program; its details are not disclosed to the caller.
func asRefusal(err error) *refusal.Error {
	var ref *refusal.Error
	if errors.As(err, &ref) {
		return ref
	}
	return refusal.New(http.StatusInternalServerError, refusal.CodeTargetFailed, "Internal error.").
		WithExecution(refusal.Unknown).WithCause(err)
}

// readBody reads a request body of at most BodyBytes.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refusal.New(http.StatusRequestEntityTooLarge, refusal.CodeBodyTooLarge, "The request body is too large.")
	}
	if err != nil {
		return nil, refusal.New(http.StatusBadRequest, refusal.CodeInvalidRequest, "The request body could not be read.").WithCause(err)
	}
	return body, nil
}

// newRequestID returns a unique ID for a request or an attempt.
func newRequestID() string { return uuid.NewString() }
