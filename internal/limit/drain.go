package limit

import (
	"context"
	"maps"
	"time"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/peer"
)

// Times of a hand-over.
const (
	drainInterval = 20 * time.Millisecond // between two steps
	// giveBackTime bounds the wait for homes to confirm what is given back.
	giveBackTime = 2 * time.Second
	// handOverTime bounds the wait for borrowers to give back. A borrower
	// that died holds its loan until the platform takes it off its list.
	handOverTime = 10 * time.Second
)

// Drain gives back all loans and hands the limits that this host is home of to
// others, with their tokens. Call it when no more requests arrive; those still
// open settle as before, and a late request borrows from the new home. It
// returns when nothing is left to hand over, or with an error when ctx ends or
// handOverTime passes before; the other hosts then take over what is left once
// the platform has taken this host off its list.
func (x *Limiter) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	x.keeper.startDraining()
	start := x.now()
	for {
		own, lent := x.keeper.handOverStep(ctx)
		if own == 0 && (!lent || x.now() > start+giveBackTime) {
			return nil
		}
		select {
		case <-ctx.Done():
			return &DrainError{Left: len(x.ownLimits())}
		case <-time.After(drainInterval):
		}
	}
}

// DrainError reports limits that were not handed over in time.
type DrainError struct {
	Left int
}

func (e *DrainError) Error() string { return "limits not handed over before the stop" }

// ownLimits returns the entries that this host is home of.
func (x *Limiter) ownLimits() []*entry {
	var own []*entry
	for _, e := range *x.entries.Load() {
		e.mu.Lock()
		_, home := e.core.Epoch()
		e.mu.Unlock()
		if home == x.self {
			own = append(own, e)
		}
	}
	return own
}

// handOver is a limit that this host has given up.
type handOver struct {
	epoch  uint64
	tokens int64 // nanotokens
}

func (k *keeper) startDraining() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.draining = true
}

// handOverStep does one step and reports how many limits this host has still
// to hand over, and whether loans are left to be given back.
func (k *keeper) handOverStep(ctx context.Context) (left int, lent bool) {
	lent = k.giveBack()
	own := k.x.ownLimits()
	if len(own) == 0 || len(k.heirs(k.snapshot())) == 0 {
		return 0, lent // nothing to hand over, or nobody to take it
	}
	carries := make(map[string]handOver)
	for _, e := range own {
		e.do(func(now time.Duration) {
			if tokens, ready := e.core.Freeze(now); ready {
				epoch, _ := e.core.Epoch()
				carries[e.name] = handOver{epoch: epoch, tokens: tokens}
			}
		})
	}
	if len(carries) > 0 {
		k.handOverReady(ctx, carries)
	}
	return len(own), lent
}

// giveBack returns idle loans and reports whether any is left.
func (k *keeper) giveBack() bool {
	left := false
	for _, e := range *k.x.entries.Load() {
		e.do(func(now time.Duration) { left = !e.core.ReturnLoan(now) || left })
	}
	return left
}

// heirs returns the hosts that may become home, by name.
func (k *keeper) heirs(s state) map[string]quota.ID {
	heirs := make(map[string]quota.ID)
	for _, m := range k.x.opts.Members.Members() {
		if m.State == peer.StateAlive && s.Listed[m.ID.Name] && m.ID.Name != k.x.self.Name {
			heirs[m.ID.Name] = quota.ID(m.ID)
		}
	}
	return heirs
}

// handOverReady writes the new homes of limits that are frozen and of which
// nothing is lent.
func (k *keeper) handOverReady(ctx context.Context, carries map[string]handOver) {
	s, err := k.read(ctx)
	if err != nil {
		return
	}
	heirs := k.heirs(s)
	if len(heirs) == 0 {
		return
	}
	pick := pickFrom(heirs)
	ledger := quota.Ledger{Limits: maps.Clone(s.Ledger.Limits)}
	var changes []string
	for name, c := range carries {
		if ledger.Reassign(name, c.epoch, heirs[pick(name)], c.tokens) {
			changes = append(changes, "hand over "+name)
		}
	}
	if len(changes) > 0 {
		k.write(ctx, ledger, s.Version, changes)
	}
}
