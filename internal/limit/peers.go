package limit

import (
	"context"
	"encoding/json"
	"time"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/peer"
)

// The calls between hosts.
const (
	methodAsk     = "limit.ask"     // quota.Ask, answered with quota.Answer
	methodRecall  = "limit.recall"  // quota.Recall, answered with recallResult
	methodRelease = "limit.release" // releaseParams, answered with releaseResult
	methodSync    = "limit.sync"    // syncParams, answered with syncResult
	methodNews    = "limit.news"    // state with a ledger just written
)

// Timeouts of calls. Home answers an ask within patience.
const (
	askTimeout  = 3 * patience
	callTimeout = time.Second
	// answerGrace is how much longer than the ask's own patience its
	// handler waits for the core.
	answerGrace = 50 * time.Millisecond
)

// Codes with which calls fail.
const (
	codeStale    = "stale_epoch" // the ask belongs to another epoch
	codeUnlisted = "unlisted"    // the asking host is not on the platform's list
	codeUnknown  = "unknown_limit"
	codeHeld     = "held_back" // no answer in time; the ask is repeated
)

type recallResult struct {
	Incarnation string `json:"incarnation"` // of the host that was reached
}

type releaseParams struct {
	Home quota.ID `json:"home"`
}

type releaseResult struct {
	Clear bool `json:"clear"` // nothing borrowed from the home is left
}

func (x *Limiter) register() {
	r := x.opts.Registrar
	r.Handle(methodAsk, x.handleAsk)
	r.Handle(methodRecall, x.handleRecall)
	r.Handle(methodRelease, x.handleRelease)
	r.Handle(methodSync, x.keeper.handleSync)
	r.Handle(methodNews, x.keeper.handleNews)
}

// handleAsk gives the ask to the core and waits for its answer.
func (x *Limiter) handleAsk(ctx context.Context, from peer.ID, params json.RawMessage) (any, error) {
	var ask quota.LoanRequest
	if err := decode(params, &ask); err != nil {
		return nil, err
	}
	e := x.lookup(ask.Limit)
	if e == nil {
		return nil, &peer.Failure{Code: codeUnknown, Message: ask.Limit}
	}
	if !x.keeper.isListed(from.Name) {
		x.kickKeeper()
		return nil, &peer.Failure{Code: codeUnlisted, Message: from.Name}
	}
	ch := make(chan quota.LoanReply, 1)
	key := answerKey{quota.ID(from), ask.Seq}
	if !e.handleAsk(key, ask, ch) {
		return nil, &peer.Failure{Code: codeStale, Message: ask.Limit}
	}
	timer := time.NewTimer(longest(ask.Waiting) + answerGrace)
	defer timer.Stop()
	select {
	case a := <-ch:
		return a, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	e.forget(key, ch)
	return nil, &peer.Failure{Code: codeHeld, Message: ask.Limit}
}

// longest returns how long the core may hold an ask back.
func longest(needs []quota.WaitingRequest) time.Duration {
	var d time.Duration
	for _, n := range needs {
		d = max(d, n.MaxWait)
	}
	return min(d, patience)
}

func (e *entry) handleAsk(k answerKey, ask quota.LoanRequest, ch chan quota.LoanReply) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answers == nil {
		e.answers = make(map[answerKey][]chan quota.LoanReply)
	}
	e.answers[k] = append(e.answers[k], ch)
	ok := e.core.HandleLoanRequest(e.x.now(), k.from, ask)
	e.flush()
	if !ok {
		e.remove(k, ch)
	}
	return ok
}

func (e *entry) forget(k answerKey, ch chan quota.LoanReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remove(k, ch)
}

func (e *entry) remove(k answerKey, ch chan quota.LoanReply) {
	var kept []chan quota.LoanReply
	for _, c := range e.answers[k] {
		if c != ch {
			kept = append(kept, c)
		}
	}
	if len(kept) == 0 {
		delete(e.answers, k)
		return
	}
	e.answers[k] = kept
}

func (x *Limiter) handleRecall(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
	var r quota.Recall
	if err := decode(params, &r); err != nil {
		return nil, err
	}
	if e := x.lookup(r.Limit); e != nil {
		e.do(func(now time.Duration) { e.core.HandleRecall(now, quota.ID(from), r) })
	}
	return recallResult{Incarnation: x.self.Incarnation}, nil
}

// handleRelease drops what was borrowed from a home that is gone.
func (x *Limiter) handleRelease(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
	var p releaseParams
	if err := decode(params, &p); err != nil {
		return nil, err
	}
	return releaseResult{Clear: x.release(p.Home)}, nil
}

func (x *Limiter) release(home quota.ID) bool {
	clear := true
	for _, e := range *x.entries.Load() {
		e.do(func(now time.Duration) {
			clear = e.core.Release(now, home) && clear
		})
	}
	return clear
}

// call makes one call and gives its result to the core.
func (x *Limiter) call(ctx context.Context, m message) {
	if m.recall != nil {
		x.callRecall(ctx, m)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var a quota.LoanReply
	err := x.opts.Caller.Call(ctx, m.to.Name, methodAsk, m.ask, &a)
	if err != nil {
		x.metrics.callsFailed.Inc(1)
		x.kickKeeper() // the home may have changed
	}
	m.entry.do(func(now time.Duration) {
		if m.entry.asking == idOf(m.ask) {
			m.entry.asking = askID{}
		}
		if err == nil {
			m.entry.core.HandleLoanReply(now, m.to, a)
		}
	})
}

// callRecall also learns whether the borrower was restarted: the call was sent
// after the loan was made, and runs of one name do not overlap, so a run that
// answers is the borrower or its successor.
func (x *Limiter) callRecall(ctx context.Context, m message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r recallResult
	if err := x.opts.Caller.Call(ctx, m.to.Name, methodRecall, m.recall, &r); err != nil {
		x.metrics.callsFailed.Inc(1)
		return
	}
	if r.Incarnation != m.to.Incarnation {
		m.entry.do(func(now time.Duration) { m.entry.core.RemoveBorrower(now, m.to) })
	}
}
