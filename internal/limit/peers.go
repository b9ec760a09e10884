package limit

import (
	"context"
	"encoding/json"
	"time"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/peer"
)

// Methods of the calls between hosts.
const (
	methodLoanRequest = "limit.ask"     // quota.LoanRequest, answered with quota.LoanReply
	methodRecall      = "limit.recall"  // quota.Recall, answered with recallResult
	methodRelease     = "limit.release" // releaseParams, answered with releaseResult
	methodSync        = "limit.sync"    // syncParams, answered with syncResult
	methodAnnounce    = "limit.news"    // state with a ledger that was just written
)

// Timeouts of calls. Home answers a loan request within maxWait.
const (
	loanRequestTimeout = 3 * maxWait
	callTimeout        = time.Second
	// replyGrace is how much longer the handler waits for a reply than the longest of the requests
	// may wait.
	replyGrace = 50 * time.Millisecond
)

// Error codes of failed calls.
const (
	codeStale    = "stale_epoch" // the loan request belongs to another epoch or is out of date
	codeUnlisted = "unlisted"    // the caller is not on the platform's host list
	codeUnknown  = "unknown_limit"
	codeNoReply  = "held_back" // no reply in time; the loan request is repeated
)

type recallResult struct {
	Incarnation string `json:"incarnation"` // of the host that answered
}

type releaseParams struct {
	Home quota.ID `json:"home"`
}

type releaseResult struct {
	Released bool `json:"clear"` // nothing borrowed from the home is left here
}

func (l *Limiter) register() {
	r := l.opts.Registrar
	r.Handle(methodLoanRequest, l.handleLoanRequest)
	r.Handle(methodRecall, l.handleRecall)
	r.Handle(methodRelease, l.handleRelease)
	r.Handle(methodSync, l.reconciler.handleSync)
	r.Handle(methodAnnounce, l.reconciler.handleAnnounce)
}

// handleLoanRequest passes a loan request to its limit and waits for the reply.
func (l *Limiter) handleLoanRequest(ctx context.Context, from peer.ID, params json.RawMessage) (any, error) {
	var req quota.LoanRequest
	if err := decode(params, &req); err != nil {
		return nil, err
	}
	e := l.lookup(req.Limit)
	if e == nil {
		return nil, &peer.HandlerError{Code: codeUnknown, Message: req.Limit}
	}
	if !l.reconciler.isListed(from.Name) {
		l.triggerReconcile()
		return nil, &peer.HandlerError{Code: codeUnlisted, Message: from.Name}
	}
	ch := make(chan quota.LoanReply, 1)
	key := replyKey{quota.ID(from), req.Seq}
	if !e.handleLoanRequest(key, req, ch) {
		return nil, &peer.HandlerError{Code: codeStale, Message: req.Limit}
	}
	timer := time.NewTimer(replyTimeout(req.Waiting) + replyGrace)
	defer timer.Stop()
	select {
	case reply := <-ch:
		return reply, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	e.removeReplyWaiter(key, ch)
	return nil, &peer.HandlerError{Code: codeNoReply, Message: req.Limit}
}

// replyTimeout returns how long a limit may delay the reply to a loan request.
func replyTimeout(waiting []quota.WaitingRequest) time.Duration {
	var d time.Duration
	for _, w := range waiting {
		d = max(d, w.MaxWait)
	}
	return min(d, maxWait)
}

func (e *entry) handleLoanRequest(k replyKey, req quota.LoanRequest, ch chan quota.LoanReply) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replyWaiters == nil {
		e.replyWaiters = make(map[replyKey][]chan quota.LoanReply)
	}
	e.replyWaiters[k] = append(e.replyWaiters[k], ch)
	ok := e.limit.HandleLoanRequest(e.limiter.now(), k.from, req)
	e.deliverOutputs()
	if !ok {
		e.removeReplyWaiterLocked(k, ch)
	}
	return ok
}

func (e *entry) removeReplyWaiter(k replyKey, ch chan quota.LoanReply) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.removeReplyWaiterLocked(k, ch)
}

func (e *entry) removeReplyWaiterLocked(k replyKey, ch chan quota.LoanReply) {
	var remaining []chan quota.LoanReply
	for _, c := range e.replyWaiters[k] {
		if c != ch {
			remaining = append(remaining, c)
		}
	}
	if len(remaining) == 0 {
		delete(e.replyWaiters, k)
		return
	}
	e.replyWaiters[k] = remaining
}

func (l *Limiter) handleRecall(_ context.Context, from peer.ID, params json.RawMessage) (any, error) {
	var r quota.Recall
	if err := decode(params, &r); err != nil {
		return nil, err
	}
	if e := l.lookup(r.Limit); e != nil {
		e.do(func(now time.Duration) { e.limit.HandleRecall(now, quota.ID(from), r) })
	}
	return recallResult{Incarnation: l.self.Incarnation}, nil
}

// handleRelease releases what this host borrowed from a home that is gone.
func (l *Limiter) handleRelease(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
	var p releaseParams
	if err := decode(params, &p); err != nil {
		return nil, err
	}
	return releaseResult{Released: l.release(p.Home)}, nil
}

func (l *Limiter) release(home quota.ID) bool {
	released := true
	for _, e := range *l.entries.Load() {
		e.do(func(now time.Duration) {
			released = e.limit.Release(now, home) && released
		})
	}
	return released
}

// send makes the call for a message and passes its result to the limit.
func (l *Limiter) send(ctx context.Context, m message) {
	if m.recall != nil {
		l.sendRecall(ctx, m)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loanRequestTimeout)
	defer cancel()
	var reply quota.LoanReply
	err := l.opts.Caller.Call(ctx, m.to.Name, methodLoanRequest, m.loanRequest, &reply)
	if err != nil {
		l.metrics.callsFailed.Inc(1)
		l.triggerReconcile() // the home may have changed
	}
	m.entry.do(func(now time.Duration) {
		if m.entry.inFlight == requestIDOf(m.loanRequest) {
			m.entry.inFlight = requestID{}
		}
		if err == nil {
			m.entry.limit.HandleLoanReply(now, m.to, reply)
		}
	})
}

// sendRecall also detects that the borrower was restarted. The call is sent after the loan was
// made, and runs of the same name do not overlap. The run that answers is therefore the borrower
// or a successor.
func (l *Limiter) sendRecall(ctx context.Context, m message) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var r recallResult
	if err := l.opts.Caller.Call(ctx, m.to.Name, methodRecall, m.recall, &r); err != nil {
		l.metrics.callsFailed.Inc(1)
		return
	}
	if r.Incarnation != m.to.Incarnation {
		m.entry.do(func(now time.Duration) { m.entry.limit.RemoveBorrower(now, m.to) })
	}
}
