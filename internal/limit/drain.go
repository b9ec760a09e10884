package limit

import (
	"context"
	"maps"
	"time"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/peer"
)

// Durations of a handover.
const (
	drainInterval = 20 * time.Millisecond // between two steps
	// loanReturnTimeout bounds the wait for homes to confirm returned loans.
	loanReturnTimeout = 2 * time.Second
	// handoverTimeout bounds the wait for borrowers to return their loans. A borrower that died
	// keeps its loan until the platform removes it from the host list.
	handoverTimeout = 10 * time.Second
)

// Drain returns all loans and hands the limits that this host is home of over to other hosts, with
// their tokens. Call it when no more requests arrive. Open reservations can still be settled, and
// a late request borrows from the new home. Drain returns when nothing is left to hand over, or no
// host to take it, and the returned loans are confirmed or loanReturnTimeout has passed. It returns
// an error if ctx ends or handoverTimeout passes before that; other hosts then take over the
// remaining limits once the platform has removed this host from its list.
func (l *Limiter) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	l.reconciler.startDraining()
	start := l.now()
	for {
		remaining, borrowed := l.reconciler.handoverStep(ctx)
		if remaining == 0 && (!borrowed || l.now() > start+loanReturnTimeout) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &DrainError{Remaining: len(l.homeLimits())}
		case <-time.After(drainInterval):
		}
	}
}

// DrainError reports the number of limits that were not handed over in time.
type DrainError struct {
	Remaining int
}

func (e *DrainError) Error() string { return "limits were not handed over before the host stops" }

// homeLimits returns the entries of the limits that this host is home of.
func (l *Limiter) homeLimits() []*entry {
	var own []*entry
	for _, e := range *l.entries.Load() {
		e.mu.Lock()
		_, home := e.limit.Epoch()
		e.mu.Unlock()
		if home == l.self {
			own = append(own, e)
		}
	}
	return own
}

// handover is a limit that is ready to be assigned to another home.
type handover struct {
	epoch  uint64
	tokens int64 // nanotokens
}

func (r *reconciler) startDraining() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.draining = true
}

// handoverStep performs one step of draining. It returns the number of limits still to hand over, 0
// if no host can take them, and whether any loan is still to be returned.
func (r *reconciler) handoverStep(ctx context.Context) (remaining int, borrowed bool) {
	borrowed = r.returnLoans()
	own := r.limiter.homeLimits()
	if len(own) == 0 || len(r.homeCandidates(r.snapshot())) == 0 {
		return 0, borrowed // nothing to hand over, or no host to take it
	}
	handovers := make(map[string]handover)
	for _, e := range own {
		e.do(func(now time.Duration) {
			if tokens, ready := e.limit.Freeze(now); ready {
				epoch, _ := e.limit.Epoch()
				handovers[e.name] = handover{epoch: epoch, tokens: tokens}
			}
		})
	}
	if len(handovers) > 0 {
		r.writeHandovers(ctx, handovers)
	}
	return len(own), borrowed
}

// returnLoans returns idle loans and reports whether any loan is left.
func (r *reconciler) returnLoans() bool {
	remaining := false
	for _, e := range *r.limiter.entries.Load() {
		e.do(func(now time.Duration) { remaining = !e.limit.ReturnLoan(now) || remaining })
	}
	return remaining
}

// homeCandidates returns the hosts that may become home, by name.
func (r *reconciler) homeCandidates(s state) map[string]quota.ID {
	candidates := make(map[string]quota.ID)
	for _, m := range r.limiter.opts.Members.Members() {
		if m.State == peer.StateAlive && s.Listed[m.ID.Name] && m.ID.Name != r.limiter.self.Name {
			candidates[m.ID.Name] = quota.ID(m.ID)
		}
	}
	return candidates
}

// writeHandovers writes the new homes of limits that are frozen and have no loans out.
func (r *reconciler) writeHandovers(ctx context.Context, handovers map[string]handover) {
	s, err := r.read(ctx)
	if err != nil {
		return
	}
	candidates := r.homeCandidates(s)
	if len(candidates) == 0 {
		return
	}
	pick := homePickerAmong(candidates)
	ledger := quota.Ledger{Limits: maps.Clone(s.Ledger.Limits)}
	var changes []string
	for name, h := range handovers {
		if ledger.Reassign(name, h.epoch, candidates[pick(name)], h.tokens) {
			changes = append(changes, "hand over "+name)
		}
	}
	if len(changes) > 0 {
		r.writeLedger(ctx, ledger, s.Version, changes)
	}
}
