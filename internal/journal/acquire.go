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

// Verdicts of this package, in addition to those of the core.
const (
	verdictPending core.Verdict = "pending" // not decided yet: send the Begin again
	verdictBusy    core.Verdict = "busy"    // too many messages are queued for the shard
)

const (
	callTimeout    = 2 * time.Second       // limit of a call to an owner; the next host is tried afterwards
	maxHold        = time.Second           // longest time until an owner replies; the verdict is "pending" if there is none yet
	rerouteBackoff = 5 * time.Millisecond  // base of the wait after not_owner, doubled each time
	rerouteMax     = 80 * time.Millisecond // longest wait after not_owner
	defaultTimeout = 30 * time.Second      // for callers without a deadline
	maxUnavailable = 2                     // number of owners without access to the object API after which the attempt is given up
)

// beginParams are the parameters of journal.begin.
type beginParams struct {
	ID          core.ID  `json:"id"`
	Fingerprint string   `json:"fingerprint"`
	Attempt     string   `json:"attempt"`
	Skip        []string `json:"skip,omitempty"` // hosts that did not reply to the sender or cannot reach the object API
}

// beginReply is the reply to journal.begin.
type beginReply struct {
	Verdict core.Verdict    `json:"verdict"`
	Answer  json.RawMessage `json:"answer,omitempty"`
	Attempt string          `json:"attempt,omitempty"`
	Age     time.Duration   `json:"age_ns,omitempty"`
	Owner   string          `json:"owner,omitempty"` // for not_owner: the host to ask instead
}

func contains(list []string, s string) bool {
	for _, each := range list {
		if each == s {
			return true
		}
	}
	return false
}

// acquisition is the state of asking owners for the verdict on one attempt.
type acquisition struct {
	j             *Journal
	params        beginParams
	shard         int
	hint          string // host to ask next, "" for the first in rendezvous order
	reroutes      int
	unavailable   int
	mayBeRecorded bool // some host may have recorded the attempt
}

// acquire asks for permission to dispatch until there is a verdict or ctx ends.
// An attempt that is given up is aborted, since it will not be dispatched.
func (j *Journal) acquire(ctx context.Context, b beginParams) (beginReply, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
	}
	a := &acquisition{j: j, params: b, shard: b.ID.Shard(len(j.shards))}
	reply, err := a.run(ctx)
	if a.mayBeRecorded && (err != nil || undecided(reply.Verdict)) {
		j.reports.add(outcome{beginParams: b, State: core.StateAborted})
	}
	return reply, err
}

// undecided reports whether an attempt with this verdict may nevertheless be
// recorded, now or later.
func undecided(v core.Verdict) bool { return v == core.Unavailable || v == verdictBusy }

func (a *acquisition) run(ctx context.Context) (beginReply, error) {
	for {
		if err := ctx.Err(); err != nil {
			return beginReply{}, contextRefusal(err)
		}
		host := a.nextHost()
		if host == "" {
			return beginReply{Verdict: core.Unavailable}, nil
		}
		reply, err := a.j.sendBegin(ctx, host, a.params)
		if err != nil {
			a.handleError(host, err)
			continue
		}
		a.mayBeRecorded = true
		switch reply.Verdict {
		case verdictPending:
			a.hint = host
		case core.NotOwner:
			a.reroute(ctx, host, reply.Owner)
		case core.Unavailable:
			a.unavailable++
			if a.unavailable >= maxUnavailable {
				return reply, nil
			}
			a.skip(host)
		default:
			return reply, nil
		}
	}
}

func (a *acquisition) nextHost() string {
	if host := a.hint; host != "" {
		a.hint = ""
		return host
	}
	return a.j.ownerOf(a.shard, a.params.Skip)
}

// handleError makes the next host be asked. If that host takes the shard over,
// it fences the one that did not answer.
func (a *acquisition) handleError(host string, err error) {
	var unreachable *peer.UnreachableError
	if !errors.As(err, &unreachable) {
		a.mayBeRecorded = true
	}
	a.skip(host)
}

func (a *acquisition) skip(host string) {
	if !contains(a.params.Skip, host) {
		a.params.Skip = append(a.params.Skip, host)
	}
}

// reroute follows the hint of a host that is not the owner. From the second
// such reply on it also waits, so that the hosts' views of the members converge.
func (a *acquisition) reroute(ctx context.Context, host, hint string) {
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

// contextRefusal returns the refusal of a call whose context ended before it
// was granted.
func contextRefusal(cause error) *refusal.Error {
	const statusClientClosed = 499
	if errors.Is(cause, context.Canceled) {
		return refusal.New(statusClientClosed, refusal.CodeCanceled, "The caller left before the call was recorded; it was not sent.").WithCause(cause)
	}
	return refusal.New(http.StatusServiceUnavailable, refusal.CodeJournalUnavailable, "The call could not be recorded in time and was not sent.").
		WithRetryAfter(retryUnavailable).WithCause(cause)
}

// sendBegin sends a Begin to a host; for this host it does so without a call.
func (j *Journal) sendBegin(ctx context.Context, host string, b beginParams) (beginReply, error) {
	if host == j.self.Name {
		return j.serveBegin(ctx, b), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply beginReply
	err := j.opts.Caller.Call(ctx, host, methodBegin, b, &reply)
	return reply, err
}
