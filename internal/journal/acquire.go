package journal

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	core "buckthornseam.dev/coord/journal"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/refusal"
)

// Verdicts of the shell beside those of the core.
const (
	verdictPending core.Verdict = "pending" // not decided yet: ask again
	verdictBusy    core.Verdict = "busy"    // too many messages wait for the shard
)

const (
	askTimeout     = 2 * time.Second       // after which an owner counts as silent
	holdTime       = time.Second           // after which an owner answers "pending"
	rerouteBackoff = 5 * time.Millisecond  // first wait after a wrong owner was asked
	rerouteMax     = 80 * time.Millisecond // longest such wait
	defaultBound   = 30 * time.Second      // for callers without a deadline
	maxUnavailable = 2                     // owners that cannot reach the object API before giving up
)

// beginParams are the parameters of journal.begin.
type beginParams struct {
	ID          core.ID  `json:"id"`
	Fingerprint string   `json:"fingerprint"`
	Attempt     string   `json:"attempt"`
	Skip        []string `json:"skip,omitempty"` // hosts that the asker found silent
}

// beginAnswer is the answer of journal.begin.
type beginAnswer struct {
	Verdict core.Verdict    `json:"verdict"`
	Answer  json.RawMessage `json:"answer,omitempty"`
	Attempt string          `json:"attempt,omitempty"`
	Age     time.Duration   `json:"age_ns,omitempty"`
	Owner   string          `json:"owner,omitempty"` // for not_owner: whom to ask
}

func contains(list []string, s string) bool {
	for _, each := range list {
		if each == s {
			return true
		}
	}
	return false
}

// asking is one attempt's search for a verdict.
type asking struct {
	j           *Journal
	params      beginParams
	shard       int
	hint        string // host named by the one asked last
	reroutes    int
	unavailable int
	sent        bool // some host may have recorded the attempt
}

// acquire asks for leave to dispatch until there is a verdict or ctx ends. An
// attempt that is given up is struck, as nobody will dispatch it.
func (j *Journal) acquire(ctx context.Context, b beginParams) (beginAnswer, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultBound)
		defer cancel()
	}
	a := &asking{j: j, params: b, shard: b.ID.Shard(len(j.shards))}
	answer, err := a.run(ctx)
	if a.sent && (err != nil || giveUp(answer.Verdict)) {
		j.reports.add(ending{beginParams: b, State: core.StateAborted})
	}
	return answer, err
}

// giveUp reports whether the verdict leaves open that the attempt is or will
// be recorded.
func giveUp(v core.Verdict) bool { return v == core.Unavailable || v == verdictBusy }

func (a *asking) run(ctx context.Context) (beginAnswer, error) {
	for {
		if err := ctx.Err(); err != nil {
			return beginAnswer{}, lateRefusal(err)
		}
		host := a.next()
		if host == "" {
			return beginAnswer{Verdict: core.Unavailable}, nil
		}
		answer, err := a.j.ask(ctx, host, a.params)
		if err != nil {
			a.failed(host, err)
			continue
		}
		a.sent = true
		switch answer.Verdict {
		case verdictPending:
			a.hint = host
		case core.NotOwner:
			a.reroute(ctx, host, answer.Owner)
		case core.Unavailable:
			a.unavailable++
			if a.unavailable >= maxUnavailable {
				return answer, nil
			}
			a.skip(host)
		default:
			return answer, nil
		}
	}
}

func (a *asking) next() string {
	if host := a.hint; host != "" {
		a.hint = ""
		return host
	}
	return a.j.ownerOf(a.shard, a.params.Skip)
}

// failed goes on with the next host; its takeover shuts the silent one out.
func (a *asking) failed(host string, err error) {
	var unreachable *peer.UnreachableError
	if !errors.As(err, &unreachable) {
		a.sent = true
	}
	a.skip(host)
}

func (a *asking) skip(host string) {
	if !contains(a.params.Skip, host) {
		a.params.Skip = append(a.params.Skip, host)
	}
}

// reroute follows a hint or waits for the views of the members to converge.
func (a *asking) reroute(ctx context.Context, host, hint string) {
	a.reroutes++
	if hint != "" && hint != host && !contains(a.params.Skip, hint) {
		a.hint = hint
	}
	wait := min(rerouteBackoff<<min(a.reroutes, 8), rerouteMax)
	if a.reroutes == 1 {
		return
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
}

// lateRefusal refuses a call whose time ran out before it was granted.
func lateRefusal(cause error) *refusal.Error {
	const statusClientClosed = 499
	if errors.Is(cause, context.Canceled) {
		return refusal.New(statusClientClosed, refusal.CodeCanceled, "The caller left before the call was recorded; it was not sent.").WithCause(cause)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeJournalDown, "The call could not be recorded in time and was not sent.").
		WithRetryAfter(retryUnavailable).WithCause(cause)
}

// ask asks one host, or this one without the network.
func (j *Journal) ask(ctx context.Context, host string, b beginParams) (beginAnswer, error) {
	if host == j.self.Name {
		return j.serveBegin(ctx, b), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var answer beginAnswer
	err := j.opts.Caller.Call(ctx, host, methodBegin, b, &answer)
	return answer, err
}
