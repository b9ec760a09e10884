// Package gateway serves callers: it finds the route and the team of a request,
// waits for a target that can run it, passes it on and brings back the answer.
package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"buckthornseam.dev/seam/internal/fleet"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/steer"
	"buckthornseam.dev/seam/internal/target"
)

// Sender passes a request on once.
type Sender interface {
	Forward(ctx context.Context, address string, f target.Forwarding, idOf target.IDOf) (*target.Forwarded, error)
}

// Options wire a gateway.
type Options struct {
	Codec      fleet.Codec
	Board      *steer.FleetView
	Sender     Sender
	Allotments *Allotments
	Budget     *RetryBudget
	Adapter    func(ctx context.Context, owner string, c steer.AdapterCommand) error
	Strike     func(strike string)
	Struck     func(print string) int
	// Confirmed returns the latest time at which the configuration was known
	// to be in force, on the clock Now.
	Confirmed func() (time.Duration, bool)
	Now       func() time.Duration // counts suspended time
	Bounds    fleet.Bounds
	Log       logrus.FieldLogger
	Metrics   tally.Scope
}

// Gateway is the handler of requests.
type Gateway struct {
	opts     Options
	began    time.Duration
	running  atomic.Int64
	stopping atomic.Bool
	waitEnd  atomic.Int64 // time.Duration on the clock of Options.Now; 0: none
}

// New returns a gateway.
func New(opts Options) *Gateway { return &Gateway{opts: opts, began: opts.Now()} }

// Running returns the number of requests in progress.
func (g *Gateway) Running() int64 { return g.running.Load() }

// Stop makes further answers ask callers to close their connections. Requests
// that no target has taken when left has passed are refused, so that none is
// cut when the process ends.
func (g *Gateway) Stop(left time.Duration) {
	g.waitEnd.Store(int64(g.opts.Now() + left))
	g.stopping.Store(true)
}

// Shares of the revocation bound.
const (
	trustShare = 0.78 // a configuration not confirmed for longer may lack a revocation; leaves a second for what is under way
)

// maxBody bounds a body when the configuration sets no limit.
const maxBody = 8 << 20

// strikesMost is the number of engines that may break off under a request
// before it is refused. Engines that crash for another reason rarely take the
// same request along twice.
const strikesMost = 2

// exchange is one request in progress.
type exchange struct {
	call      fleet.Call
	config    *fleet.Config
	route     *fleet.Route
	team      *fleet.Team // nil on a public route
	service   string
	body      []byte
	r         *http.Request
	w         http.ResponseWriter
	arrived   time.Duration
	deadline  time.Duration // on the clock of Options.Now
	spent     float64       // of the team's allotment
	sends     int           // targets that may have run it
	tries     int           // sends that may have arrived
	unreached int           // connections that failed
	print     string        // fingerprint, made when first needed
	log       logrus.Fields
	begun     bool // the head of the answer was written
	refused   bool
	status    int
	events    eventBuffer
	noBudget  bool
	retry     time.Duration // when to come back, if refused; 0: soon
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{w: w, r: r, arrived: g.opts.Now(), log: logrus.Fields{}}
	if g.admit(x) {
		g.run(x)
	}
	g.finished(x)
}

// finished writes the line that sums up a request.
func (g *Gateway) finished(x *exchange) {
	took := g.opts.Now() - x.arrived
	x.log["event"], x.log["id"], x.log["status"] = "request", x.call.ID, x.status
	x.log["took_ms"], x.log["tries"] = took.Milliseconds(), x.tries
	if x.route != nil {
		x.log["route"], x.log["service"], x.log["model"] = x.route.Name, x.service, x.call.ModelKey()
	}
	g.opts.Log.WithFields(x.log).Info("request ended")
	class := strconv.Itoa(x.status/100) + "xx"
	scope := g.opts.Metrics.Tagged(map[string]string{"class": class})
	scope.Counter("requests").Inc(1)
	scope.Histogram("request_seconds", latencyBuckets).RecordDuration(took)
}

var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 2, 12)

// admit checks a request and reads it whole. It answers it if it cannot run.
func (g *Gateway) admit(x *exchange) bool {
	var err error
	x.call, err = g.opts.Codec.ReadCall(x.r)
	if err != nil {
		return g.refuse(x, http.StatusBadRequest, err.Error(), 0)
	}
	confirmed, ok := g.awaitConfig(x)
	if !ok {
		return g.refuse(x, http.StatusServiceUnavailable, "no configuration is known yet", shortRetry)
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route, ok = x.config.Route(x.r.Host, path)
	if !ok {
		return g.refuse(x, http.StatusNotFound, "no route", 0)
	}
	x.service = pickService(x.route, x.call.ID)
	x.deadline = deadlineOf(x)
	if x.config.HasTeams() && !x.route.Public {
		if !g.trusts(confirmed) {
			return g.refuse(x, http.StatusServiceUnavailable, "the configuration was not confirmed lately", shortRetry)
		}
		if x.team, ok = x.config.TeamOfKey(x.call.Key); !ok {
			return g.refuse(x, http.StatusUnauthorized, "unknown key", 0)
		}
	}
	return g.readBody(x) && g.spend(x)
}

// Times of a start.
const (
	// startPatience is how long after its start a host lets requests wait for
	// its first configuration, and for news of what other hosts have spent:
	// several times what both take.
	startPatience = time.Second
	startCheck    = 50 * time.Millisecond // a tenth of what the news take
)

// starting reports whether the host started just now.
func (g *Gateway) starting() bool { return g.opts.Now() < g.began+startPatience }

// awaitConfig takes the configuration in force, and returns when it was known to
// be so. Only a host that has just started waits for it.
func (g *Gateway) awaitConfig(x *exchange) (confirmed time.Duration, ok bool) {
	for {
		changed := g.opts.Board.Changed()
		x.config = g.opts.Board.Config()
		confirmed, ok = g.opts.Confirmed()
		if ok = ok && x.config.Version > 0; ok || !g.starting() || x.r.Context().Err() != nil {
			return confirmed, ok
		}
		x.log["awaited_config"] = true
		g.sleepUntil(x.r.Context(), changed, g.began+startPatience)
	}
}

// trusts reports whether a configuration confirmed then may still be acted on.
func (g *Gateway) trusts(confirmed time.Duration) bool {
	return g.opts.Now()-confirmed < time.Duration(trustShare*float64(g.opts.Bounds.Revoke))
}

// pickService chooses among the destinations of a route by weight, the same for
// all tries of an attempt.
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

// defaultDeadline is for callers and routes that state no time.
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
		limit = maxBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err == nil {
		x.body = body
		return true
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return g.refuse(x, http.StatusRequestEntityTooLarge, "body is too large", 0)
	}
	x.w.Header().Set("Connection", "close")
	return g.refuse(x, http.StatusBadRequest, "body did not come whole", 0)
}

func (g *Gateway) spend(x *exchange) bool {
	if x.team == nil {
		return true
	}
	n := 1.0
	if x.team.ByTokens {
		n = x.team.PlainTokens
		if x.call.HasTokens {
			n = float64(x.call.TokensIn + x.call.TokensOut)
		}
	}
	wait, ok := g.opts.Allotments.Spend(x.team, n)
	for !ok && g.starting() && g.opts.Allotments.Alone() && x.r.Context().Err() == nil {
		x.log["awaited_allotment"] = true
		g.sleepUntil(x.r.Context(), nil, g.opts.Now()+startCheck)
		wait, ok = g.opts.Allotments.Spend(x.team, n)
	}
	if !ok {
		return g.refuse(x, http.StatusTooManyRequests, "team is over its allotment", wait)
	}
	x.spent = n
	return true
}

// Times told to callers that were refused.
const (
	shortRetry = 100 * time.Millisecond // another host, or this one, may serve at once
	maxRetry   = 3 * time.Second
)

// refuse answers a request that has not run and will not.
func (g *Gateway) refuse(x *exchange, status int, reason string, retry time.Duration) bool {
	x.refused = true
	x.log["reason"] = reason
	invariant.Check(x.sends == 0, invariant.NotRunIsTrue, "request %s is refused as not run after %d sends", x.call.ID, x.sends)
	if x.spent > 0 && x.sends == 0 {
		g.opts.Allotments.Return(x.team, x.spent)
	}
	if retry > 0 {
		retry = min(retry, maxRetry)
		x.w.Header().Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 2, 64))
	}
	g.fail(x, status)
	return false
}

// fail ends a request without an answer of a target.
func (g *Gateway) fail(x *exchange, status int) {
	if x.begun {
		x.status = status
		g.finished(x)
		panic(http.ErrAbortHandler) // what was sent must not look complete
	}
	x.status = status
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// fingerprint identifies requests that are the same but for their attempt.
func (x *exchange) fingerprint() string {
	if x.print == "" {
		h := xxhash.New()
		team := ""
		if x.team != nil {
			team = x.team.Name
		}
		for _, s := range []string{x.r.Method, x.r.RequestURI, team, x.call.ModelKey()} {
			_, _ = h.WriteString(s) // never fails
			_, _ = h.Write([]byte{0})
		}
		_, _ = h.Write(x.body)
		x.print = strconv.FormatUint(h.Sum64(), 36)
	}
	return x.print
}

// sleepUntil waits for a change, the end of ctx or a time.
func (g *Gateway) sleepUntil(ctx context.Context, changed <-chan struct{}, until time.Duration) {
	timer := time.NewTimer(max(0, until-g.opts.Now()))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Entry chooses the hosts that callers are told to connect to.
type Entry struct {
	Board *steer.FleetView
	Link  *steer.Client
	Self  fleet.Host

	mu      sync.Mutex
	leaving bool
}

// Leave takes this host out of its own answers.
func (e *Entry) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
}

// Addresses returns the callers' addresses of the hosts that serve.
func (e *Entry) Addresses() []string {
	e.mu.Lock()
	leaving := e.leaving
	e.mu.Unlock()
	live, known := e.Link.LiveHosts()
	alive := map[string]bool{}
	for _, name := range live {
		alive[name] = true
	}
	var out []string
	for name, h := range e.Board.Hosts() {
		if name == e.Self.Name && leaving {
			continue
		}
		if name == e.Self.Name || !known || alive[name] {
			out = append(out, h.Address)
		}
	}
	if len(out) == 0 && !leaving {
		out = []string{e.Self.Address}
	}
	return out[:min(len(out), maxAddresses)]
}

// maxAddresses is the most that callers take of one answer.
const maxAddresses = 64
