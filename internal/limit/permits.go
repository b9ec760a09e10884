package limit

import (
	"context"
	"sync"
	"time"

	"buckthornseam.dev/coord/quota"
)

// Permits is a number of things that may be in progress at once over all
// hosts, such as loads from the weight store. The permits of a host that died
// come back when the platform takes it off its list or it is started again.
type Permits struct {
	entry *entry
}

// Permits returns the permits of that name in Options.Permits, nil if there
// are none.
func (x *Limiter) Permits(name string) *Permits {
	e := x.lookup(permitPrefix + name)
	if e == nil {
		return nil
	}
	return &Permits{entry: e}
}

// Acquire takes n permits. It waits until they are free, and fails with the
// error of ctx. The caller calls release when what they were for has ended;
// further calls have no effect.
func (p *Permits) Acquire(ctx context.Context, n int64) (release func(), err error) {
	for {
		r := p.entry.take(n * quota.Nano)
		if r == nil {
			r, _, _ = p.entry.wait(ctx, n*quota.Nano) // ctx is looked at below
		}
		if r != nil {
			return sync.OnceFunc(func() { r.Settle(0) }), nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		// Refused: all are taken, or the home is not known.
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(tickInterval):
		}
	}
}
