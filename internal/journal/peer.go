package journal

import (
	"context"
	"encoding/json"
	"time"

	core "buckthornseam.dev/coord/journal"
	"buckthornseam.dev/seam/internal/invariant"
	"buckthornseam.dev/seam/internal/peer"
)

// The peer methods of the journal.
const (
	methodBegin   = "journal.begin"
	methodFinish  = "journal.finish"
	methodPreload = "journal.warm"
)

// outcome reports how an attempt ended.
type outcome struct {
	beginParams
	State  core.State      `json:"state"`
	Answer json.RawMessage `json:"answer,omitempty"`
}

// size returns the approximate memory use of an outcome in bytes.
func (o *outcome) size() int { return 256 + len(o.Answer) }

// finishParams are the parameters of journal.finish.
type finishParams struct {
	Outcomes []outcome `json:"endings"`
}

// finishReply is the reply to journal.finish. It says for each outcome, in order,
// whether it is settled.
type finishReply struct {
	Settled []bool `json:"settled"`
}

// preloadParams are the parameters of journal.warm.
type preloadParams struct {
	Shard int `json:"shard"`
}

// ParamsError reports parameters of a peer method that cannot be decoded.
type ParamsError struct {
	Method string
	Cause  error
}

func (e *ParamsError) Error() string { return e.Method + ": malformed parameters: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ParamsError) Unwrap() error { return e.Cause }

func (j *Journal) register(r peer.Registrar) {
	r.Handle(methodBegin, func(ctx context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var b beginParams
		if err := json.Unmarshal(params, &b); err != nil {
			return nil, &ParamsError{Method: methodBegin, Cause: err}
		}
		return j.serveBegin(ctx, b), nil
	})
	r.Handle(methodFinish, func(ctx context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var f finishParams
		if err := json.Unmarshal(params, &f); err != nil {
			return nil, &ParamsError{Method: methodFinish, Cause: err}
		}
		return j.serveFinish(ctx, f), nil
	})
	r.Handle(methodPreload, func(ctx context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var p preloadParams
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, &ParamsError{Method: methodPreload, Cause: err}
		}
		if p.Shard >= 0 && p.Shard < len(j.shards) {
			j.shards[p.Shard].submit(message{preload: true})
		}
		return struct{}{}, nil
	})
}

// serveBegin handles a Begin as the owner of its shard.
func (j *Journal) serveBegin(ctx context.Context, b beginParams) beginReply {
	s := b.ID.Shard(len(j.shards))
	if owner := j.ownerOf(s, b.Skip); owner != j.self.Name {
		return beginReply{Verdict: core.NotOwner, Owner: owner}
	}
	reply := make(chan core.Reply, 1)
	begin := core.Begin{ID: b.ID, Fingerprint: b.Fingerprint, Attempt: b.Attempt}
	if !j.shards[s].submit(message{begin: &begin, reply: reply}) {
		return beginReply{Verdict: verdictBusy}
	}
	hold := time.NewTimer(maxHold)
	defer hold.Stop()
	select {
	case r := <-reply:
		return beginReply{Verdict: r.Verdict, Answer: r.Answer, Attempt: r.Attempt, Age: r.Age}
	case <-hold.C:
	case <-ctx.Done():
	}
	return beginReply{Verdict: verdictPending}
}

// serveFinish records outcomes of attempts. It returns once they are stored, or
// after maxHold.
func (j *Journal) serveFinish(ctx context.Context, f finishParams) finishReply {
	result := finishReply{Settled: make([]bool, len(f.Outcomes))}
	replies := make([]chan core.Reply, len(f.Outcomes))
	for i, o := range f.Outcomes {
		s := o.ID.Shard(len(j.shards))
		if j.ownerOf(s, o.Skip) != j.self.Name {
			continue
		}
		replies[i] = make(chan core.Reply, 1)
		finish := core.Finish{ID: o.ID, Fingerprint: o.Fingerprint, Attempt: o.Attempt, State: o.State, Answer: o.Answer}
		if !j.shards[s].submit(message{finish: &finish, reply: replies[i]}) {
			replies[i] = nil
		}
	}
	hold := time.NewTimer(maxHold)
	defer hold.Stop()
	for i, reply := range replies {
		if reply == nil {
			continue
		}
		select {
		case r := <-reply:
			result.Settled[i] = settled(f.Outcomes[i], r)
		case <-hold.C:
			return result
		case <-ctx.Done():
			return result
		}
	}
	return result
}

// settled reports whether an outcome need not be sent again.
func settled(o outcome, r core.Reply) bool {
	invariant.Check(!r.DoubleRun, invariant.AtMostOnce, "attempt %s ended in state %d, but the journal shows another run", o.Attempt, o.State)
	return r.Verdict == core.Recorded || r.Verdict == core.Stale
}

// preload tells the next owner of a shard to load it. If that fails, the first
// message loads the shard.
func (j *Journal) preload(ctx context.Context, host string, shard int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := j.opts.Caller.Call(ctx, host, methodPreload, preloadParams{Shard: shard}, nil)
	j.opts.Log.WithField("event", "journal_handed_over").WithField("shard", shard).WithField("to", host).
		WithField("told", err == nil).Info("journal shard handed over")
}
