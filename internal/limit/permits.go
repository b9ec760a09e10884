package limit

import (
	"context"
	"sync"
	"time"

	"buckthornseam.dev/coord/quota"
)

// Permits limits how many operations of a kind, such as loads from the weight store, are in
// progress at once over all hosts. The permits of a host that died are released when the platform
// removes it from its list or it restarts.
type Permits struct {
	entry *entry
}

// Permits returns the permits with the given name in Options.Permits, nil if there are none.
func (l *Limiter) Permits(name string) *Permits {
	e := l.lookup(permitPrefix + name)
	if e == nil {
		return nil
	}
	return &Permits{entry: e}
}

// Acquire takes n permits. It waits until they are available, and returns the error of ctx if ctx
// ends first. The caller must call release when the operation has ended; further calls of release
// have no effect.
func (p *Permits) Acquire(ctx context.Context, n int64) (release func(), err error) {
	for {
		r := p.entry.take(n * quota.Nano)
		if r == nil {
			r, _, _ = p.entry.wait(ctx, n*quota.Nano) // ctx is checked below
		}
		if r != nil {
			return sync.OnceFunc(func() { r.Settle(0) }), nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		// Refused: all permits are in use, or the home is not known.
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(tickInterval):
		}
	}
}
