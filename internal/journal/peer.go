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
	methodBegin  = "journal.begin"
	methodFinish = "journal.finish"
	methodWarm   = "journal.warm"
)

// ending is the end of an attempt.
type ending struct {
	beginParams
	State  core.State      `json:"state"`
	Answer json.RawMessage `json:"answer,omitempty"`
}

// size is the memory of an ending in bytes, roughly.
func (e *ending) size() int { return 256 + len(e.Answer) }

// finishParams are the parameters of journal.finish.
type finishParams struct {
	Endings []ending `json:"endings"`
}

// finishAnswer says for each ending, in order, whether it needs no repeat.
type finishAnswer struct {
	Settled []bool `json:"settled"`
}

// warmParams are the parameters of journal.warm.
type warmParams struct {
	Shard int `json:"shard"`
}

// ParamsError reports parameters of a peer method that cannot be read.
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
	r.Handle(methodWarm, func(ctx context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var w warmParams
		if err := json.Unmarshal(params, &w); err != nil {
			return nil, &ParamsError{Method: methodWarm, Cause: err}
		}
		if w.Shard >= 0 && w.Shard < len(j.shards) {
			j.shards[w.Shard].submit(message{warm: true})
		}
		return struct{}{}, nil
	})
}

// serveBegin decides on an attempt as the owner of its shard.
func (j *Journal) serveBegin(ctx context.Context, b beginParams) beginAnswer {
	s := b.ID.Shard(len(j.shards))
	if owner := j.ownerOf(s, b.Skip); owner != j.self.Name {
		return beginAnswer{Verdict: core.NotOwner, Owner: owner}
	}
	reply := make(chan core.Reply, 1)
	begin := core.Begin{ID: b.ID, Fingerprint: b.Fingerprint, Attempt: b.Attempt}
	if !j.shards[s].submit(message{begin: &begin, reply: reply}) {
		return beginAnswer{Verdict: verdictBusy}
	}
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	select {
	case r := <-reply:
		return beginAnswer{Verdict: r.Verdict, Answer: r.Answer, Attempt: r.Attempt, Age: r.Age}
	case <-hold.C:
	case <-ctx.Done():
	}
	return beginAnswer{Verdict: verdictPending}
}

// serveFinish records ends of attempts and returns once they are durable.
func (j *Journal) serveFinish(ctx context.Context, f finishParams) finishAnswer {
	answer := finishAnswer{Settled: make([]bool, len(f.Endings))}
	replies := make([]chan core.Reply, len(f.Endings))
	for i, e := range f.Endings {
		s := e.ID.Shard(len(j.shards))
		if j.ownerOf(s, e.Skip) != j.self.Name {
			continue
		}
		replies[i] = make(chan core.Reply, 1)
		finish := core.Finish{ID: e.ID, Fingerprint: e.Fingerprint, Attempt: e.Attempt, State: e.State, Answer: e.Answer}
		if !j.shards[s].submit(message{finish: &finish, reply: replies[i]}) {
			replies[i] = nil
		}
	}
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	for i, reply := range replies {
		if reply == nil {
			continue
		}
		select {
		case r := <-reply:
			answer.Settled[i] = settled(f.Endings[i], r)
		case <-hold.C:
			return answer
		case <-ctx.Done():
			return answer
		}
	}
	return answer
}

// settled reports whether an ending needs no repeat.
func settled(e ending, r core.Reply) bool {
	invariant.Check(!r.DoubleRun, invariant.AtMostOnce, "attempt %s ended in state %d, the journal shows another run", e.Attempt, e.State)
	return r.Verdict == core.Recorded || r.Verdict == core.Stale
}

// warm tells the next owner of a shard to load it. It may fail: the shard is
// then loaded by its first message.
func (j *Journal) warm(ctx context.Context, host string, shard int) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := j.opts.Caller.Call(ctx, host, methodWarm, warmParams{Shard: shard}, nil)
	j.opts.Log.WithField("event", "journal_handed_over").WithField("shard", shard).WithField("to", host).
		WithField("told", err == nil).Info("journal shard handed over")
}
