// Package gateway serves callers: it determines the route and the team of a
// request, waits for a target that can run it, forwards it and relays the
// response.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/coordinator"
	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/heldbytes"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/target"
)

// Sender forwards a request once.
type Sender interface {
	Forward(ctx context.Context, address string, f target.ForwardRequest, idOf target.ResponseIDFunc) (*target.ForwardResponse, error)
}

// StreamOrigins knows which software version of a service's targets began a stream. A stream is identified by
// the ID of the attempt that brought its first event.
type StreamOrigins interface {
	Began(service, attempt, version string)
	Completed(attempt string)
	// Lookup fails if the version is not known. attempt may be empty.
	Lookup(ctx context.Context, service, attempt string) (version string, err error)
}

// Options holds the dependencies and settings of a gateway.
type Options struct {
	Codec   fleet.Codec
	View    *coordinator.FleetView
	Sender  Sender
	Quotas  *Quotas
	Budget  *RetryBudget
	Origins StreamOrigins
	// RequestPermit is called before a request is sent to a target that names a limit or is cold. If it grants none, the View
	// must not return the target for a time.
	RequestPermit func(ctx context.Context, r coordinator.PermitRequest) coordinator.Permit
	// RequestSlot is called before a request is sent to a brittle target at which all slots of this host are in use.
	// If it returns false, the View must not return the target for a time.
	RequestSlot func(ctx context.Context, t fleet.Target) bool
	// RequestMemory is called before a large request is sent to an engine whose memory is known; nil: none is needed.
	RequestMemory       func(ctx context.Context, c coordinator.Choice, r coordinator.MemoryRequest) coordinator.MemoryGrant
	LoadAdapter         func(ctx context.Context, owner string, c coordinator.AdapterCommand) error
	ReportEngineFailure func(failureID string)
	EngineFailures      func(fingerprint string) int
	Parts               PartFailures
	// Reach tells whether this host reaches its targets, and Helpers are the hosts through which it sends requests
	// otherwise. nil: there is no other way.
	Reach   Reach
	Helpers Helpers
	Self    string // name of this host
	// Held bounds what is held of all responses together, and HeldBodies that of all bodies of requests; nil: those of the
	// smallest host do.
	Held, HeldBodies *heldbytes.Pool
	// CurrentConfig returns the configuration in force, dated by the clock Now. It returns false if requests may not be
	// admitted by it, whatever its age.
	CurrentConfig func() (fleet.Dated[*fleet.Config], bool)
	Now           func() time.Duration // also advances while the machine is suspended
	Bounds        fleet.Bounds
	Log           logrus.FieldLogger
	Metrics       tally.Scope
}

// Gateway is the HTTP handler for callers' requests.
type Gateway struct {
	opts      Options
	startedAt time.Duration
	running   atomic.Int64
	requests  requestsInProgress
	cutOff    atomic.Int64                // begun responses that were cut off after EndRequests
	stop      atomic.Pointer[plannedStop] // nil before Stop
	closed    atomic.Bool
	runTimes  runTimes
	ending    context.Context // ends with EndRequests
	end       context.CancelFunc
}

// New returns a gateway that accepts requests.
func New(opts Options) *Gateway {
	if opts.Reach == nil || opts.Helpers == nil {
		opts.Reach = alwaysReached{}
	}
	if opts.Held == nil {
		opts.Held = heldbytes.NewPool(heldbytes.Bound(0), "responses", opts.Log, opts.Metrics)
	}
	if opts.HeldBodies == nil {
		opts.HeldBodies = heldbytes.NewPool(heldbytes.Bound(0), "bodies", opts.Log, opts.Metrics)
	}
	ending, end := context.WithCancel(context.Background())
	return &Gateway{opts: opts, startedAt: opts.Now(), ending: ending, end: end}
}

// Running returns the number of requests in progress.
func (g *Gateway) Running() int64 { return g.running.Load() }

// Shares of Bounds.Revoke.
const (
	configMaxAgeShare = 0.78 // an older configuration may lack a revocation; leaves a second for requests in progress
)

// defaultMaxBodyBytes limits request bodies if the configuration sets no limit.
const defaultMaxBodyBytes = 8 << 20

// maxEngineFailures is the number of attempts of the same request during which a
// target may break the connection before the request is refused. A target that
// crashes for another reason rarely does so during two of them.
const maxEngineFailures = 2

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { g.serve(w, r, "") }

// serve serves a request of this host's callers, or of those of the host relayedBy.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, relayedBy string) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.stop.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{w: w, r: r, arrived: g.opts.Now(), relayedBy: relayedBy, log: logrus.Fields{}}
	x.progress = g.requests.begin(x.arrived, relayedBy)
	defer g.endProgress(x)
	defer func() { x.heldBody.End() }() // also if the response is aborted
	if g.closed.Load() {
		x.call, _ = g.opts.Codec.ReadCall(r) // for the log line; whether it is valid makes no difference
		g.refuseForStop(x)
	} else if g.admit(x) {
		g.run(x)
		g.countForStop(x)
	}
	g.recordRequest(x)
}

// recordRequest writes the log line and the metrics of an ended request.
func (g *Gateway) recordRequest(x *exchange) {
	took := g.opts.Now() - x.arrived
	x.log["event"], x.log["id"], x.log["status"] = "request", x.call.ID, x.status
	x.log["took_ms"], x.log["tries"] = took.Milliseconds(), x.tries
	if x.relayedBy != "" {
		x.log["relayed_by"] = x.relayedBy
	}
	if x.call.LastEventID != "" {
		x.log["resumes"], x.log["resumes_after"] = x.call.Resumes, x.call.LastEventID
	}
	if len(x.call.SharedParts) > 0 {
		x.log["prompt_parts"] = partsForLog(x.call.SharedParts)
	}
	g.logEvacuations(x)
	if x.config != nil {
		x.log["config"], x.log["config_age_ms"] = x.config.Version, x.configAge.Milliseconds()
	}
	if x.route != nil {
		x.log["route"], x.log["service"], x.log["model"] = x.route.Name, x.service, x.call.ModelKey()
		if x.team != nil {
			x.log["team"] = x.team.Name
		}
		if x.call.HasTokens {
			x.log["tokens_in"], x.log["tokens_out"] = x.call.TokensIn, x.call.TokensOut
		}
	}
	x.logSlowCaller()
	g.opts.Log.WithFields(x.log).Info("request ended")
	g.requests.end(x.progress)
	class := strconv.Itoa(x.status/100) + "xx"
	scope := g.opts.Metrics.Tagged(map[string]string{"class": class})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// admit checks a request and reads its body. It refuses a request that can't
// run, and then returns false.
func (g *Gateway) admit(x *exchange) bool {
	var err error
	x.call, err = g.opts.Codec.ReadCall(x.r)
	x.showProgress()
	if err != nil {
		return g.refuse(x, http.StatusBadRequest, err.Error(), 0)
	}
	current, ok := g.awaitConfig(x)
	if !ok {
		return g.refuse(x, http.StatusServiceUnavailable, "no configuration is known yet", shortRetryAfter)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route, ok = x.config.Route(x.r.Host, path)
	if !ok {
		return g.refuse(x, http.StatusNotFound, "no route", 0)
	}
	x.service = pickService(x.route, x.call.ID)
	x.showProgress()
	x.deadline = deadlineOf(x)
	x.beginResponse(g.opts.Now())
	if x.config.HasTeams() && !x.route.Public {
		if !g.configFresh(current) {
			return g.refuse(x, http.StatusServiceUnavailable, "the configuration was not confirmed lately", shortRetryAfter)
		}
		if x.team, ok = x.config.TeamOfKey(x.call.Key); !ok {
			return g.refuse(x, http.StatusUnauthorized, "unknown key", 0)
		}
	}
	return g.bindToHomes(x) && g.readBody(x) && g.takeQuota(x)
}

// Times that apply after the start of a host.
const (
	// startupWait is the time after the start during which requests wait for
	// the first configuration and for the first report on the use of other
	// hosts. Both normally take a fraction of it.
	startupWait         = 1500 * time.Millisecond
	startupPollInterval = 50 * time.Millisecond // a tenth of the usual time until the first report
)

// starting reports whether the host started less than startupWait ago.
func (g *Gateway) starting() bool { return g.opts.Now() < g.startedAt+startupWait }

// awaitConfig sets the configuration of a request, and returns it with the time of its
// last confirmation. It waits for a configuration only if the host has just started.
func (g *Gateway) awaitConfig(x *exchange) (current fleet.Dated[*fleet.Config], ok bool) {
	for {
		changed := g.opts.View.Changed()
		current, ok = g.opts.CurrentConfig()
		x.config, x.configAge = current.Copy, g.opts.Now()-current.CurrentAt
		if ok = ok && x.config.Version > 0; ok || !g.starting() || x.r.Context().Err() != nil {
			return current, ok
		}
		x.log["awaited_config"] = true
		g.waitForChange(x.r.Context(), changed, g.startedAt+startupWait)
	}
}

// configFresh reports whether keys may still be checked against a configuration.
func (g *Gateway) configFresh(c fleet.Dated[*fleet.Config]) bool {
	return g.opts.Now()-c.CurrentAt < time.Duration(configMaxAgeShare*float64(g.opts.Bounds.Revoke))
}

// pickService chooses a destination of a route by weight. The choice depends on
// the attempt's id only, so that retries go to the same service.
func pickService(r *fleet.Route, id string) string {
	total := 0.0
	for _, d := range r.Destinations {
		total += d.Weight
	}
	point := float64(xxhash.Sum64String(id)%10_000) / 10_000 * total
	for _, d := range r.Destinations {
		if point -= d.Weight; point < 0 {
			return d.Service
		}
	}
	if len(r.Destinations) == 0 {
		return ""
	}
	return r.Destinations[len(r.Destinations)-1].Service
}

// defaultDeadline applies if the caller states no deadline. The route's timeout can
// only shorten it.
const defaultDeadline = 30 * time.Second

func deadlineOf(x *exchange) time.Duration {
	left := defaultDeadline
	if x.call.Deadline > 0 {
		left = x.call.Deadline
	}
	if x.route.Timeout > 0 {
		left = min(left, x.route.Timeout)
	}
	return x.arrived + left
}

func (g *Gateway) readBody(x *exchange) bool {
	limit := x.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := g.readUntilDeadline(x, http.MaxBytesReader(x.w, x.r.Body, limit), limit)
	if err == nil {
		x.body = body
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return g.refuse(x, http.StatusRequestEntityTooLarge, "body is too large", 0)
	}
	x.w.Header().Set("Connection", "close")
	var bound *heldbytes.BoundError
	if errors.As(err, &bound) {
		return g.refuse(x, http.StatusServiceUnavailable, bound.Error(), shortRetryAfter)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return g.refuse(x, http.StatusRequestTimeout, "body did not come by the deadline", 0)
	}
	return g.refuse(x, http.StatusBadRequest, "body did not come whole", 0)
}

func (g *Gateway) takeQuota(x *exchange) bool {
	if x.team == nil {
		return true
	}
	n := 1.0
	if x.team.ByTokens {
		n = x.team.DefaultTokens
		if x.call.HasTokens {
			n = float64(x.call.TokensIn + x.call.TokensOut)
		}
	}
	g.opts.Quotas.CountAsked(x.team, n)
	wait, ok := g.tryTake(x, n)
	for !ok && g.starting() && g.opts.Quotas.Isolated() && x.r.Context().Err() == nil && g.opts.Now()+startupPollInterval < x.deadline {
		x.log["awaited_allotment"] = true
		g.waitForChange(x.r.Context(), nil, g.opts.Now()+startupPollInterval)
		wait, ok = g.tryTake(x, n)
	}
	if !ok && !g.opts.Quotas.HostsKnown() {
		return g.refuse(x, http.StatusServiceUnavailable, "the list of hosts is not known yet", shortRetryAfter)
	}
	if !ok {
		x.log["quota"] = g.opts.Quotas.State(x.team)
		return g.refuse(x, http.StatusTooManyRequests, "team is over its allotment", wait)
	}
	x.taken = n
	return true
}

// tryTake takes n from the quota of the request's team, once it is known which part of it this host has.
func (g *Gateway) tryTake(x *exchange, n float64) (wait time.Duration, ok bool) {
	if x.team.Rate > 0 && !g.opts.Quotas.HostsKnown() {
		return 0, false
	}
	return g.opts.Quotas.Take(x.team, n)
}

// Values of the Retry-After header of refusals.
const (
	shortRetryAfter = 100 * time.Millisecond // for causes that may be over soon, or affect only this host
	maxRetryAfter   = 3 * time.Second
)

// refuse responds to a request that has not run and won't run. It returns false.
func (g *Gateway) refuse(x *exchange, status int, reason string, retry time.Duration) bool {
	x.refused = true
	x.log["reason"] = reason
	invariant.Check(x.sends == 0, invariant.NotRunIsTrue, "request %s is refused as not run after %d sends", x.call.ID, x.sends)
	if x.taken > 0 && x.sends == 0 {
		g.opts.Quotas.Refund(x.team, x.taken)
	}
	if retry > 0 {
		if !x.quiet {
			retry = min(retry, maxRetryAfter)
		}
		x.w.Header().Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	g.fail(x, status)
	return false
}

// fail ends a request without a target's response.
func (g *Gateway) fail(x *exchange, status int) {
	if x.headWritten {
		x.status = status
		if g.ending.Err() != nil {
			g.cutOff.Add(1)
		}
		g.recordRequest(x)
		panic(http.ErrAbortHandler) // a partial response must not look complete
	}
	x.status = status
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// waitForChange returns when changed is closed, when ctx ends or at the time
// until, whichever comes first.
func (g *Gateway) waitForChange(ctx context.Context, changed <-chan struct{}, until time.Duration) {
	timer := time.NewTimer(max(0, until-g.opts.Now()))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
