package limit

import (
	"context"
	"maps"
	"time"

	"buckthornseam.dev/coord/quota"
	"buckthornseam.dev/seam/internal/peer"
)

// drainInterval is the time between two steps of a hand-over.
const drainInterval = 20 * time.Millisecond

// Drain gives back all loans and hands the limits that this host is home of to
// others, with their tokens. Call it when no more requests arrive; those still
// open settle as before, and a late request borrows from the new home. It
// returns when nothing is left to hand over, or with an error when ctx ends
// before; the other hosts then take over what is left once the platform has
// taken this host off its list.
func (x *Limiter) Drain(ctx context.Context) error {
	x.keeper.startDraining()
	for {
		if x.keeper.handOver(ctx) {
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

func (k *keeper) startDraining() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.draining = true
}

// handOver does one step and reports whether nothing is left to do.
func (k *keeper) handOver(ctx context.Context) bool {
	lent := k.giveBack()
	own := k.x.ownLimits()
	if len(own) == 0 {
		return !lent
	}
	if len(k.heirs(k.snapshot())) == 0 {
		return true // nobody to hand over to
	}
	carries := make(map[string]int64)
	for _, e := range own {
		e.do(func(now time.Duration) {
			if carry, ready := e.core.Freeze(now); ready {
				carries[e.name] = carry
			}
		})
	}
	if len(carries) == 0 {
		return false
	}
	k.handOverReady(ctx, carries)
	return false
}

// giveBack returns idle loans and reports whether any is left.
func (k *keeper) giveBack() bool {
	left := false
	for _, e := range *k.x.entries.Load() {
		e.do(func(now time.Duration) { left = !e.core.GiveBack(now) || left })
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
func (k *keeper) handOverReady(ctx context.Context, carries map[string]int64) {
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
	for name, carry := range carries {
		if ledger.Reassign(name, k.x.self, heirs[pick(name)], carry) {
			changes = append(changes, "hand over "+name)
		}
	}
	if len(changes) > 0 {
		k.write(ctx, ledger, s.Version, changes)
	}
}
