package journal

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Limits of the reports of outcomes to owners.
const (
	reportQueue        = 4096                  // outcomes queued for the reporter
	reportBytes        = 8 << 20               // memory for outcomes that are not settled
	reportDelay        = 20 * time.Millisecond // wait for more outcomes to share a message
	reportRetry        = 500 * time.Millisecond
	reportTTL          = 2 * time.Minute // after which an outcome is dropped
	reportBatch        = 128             // outcomes in one message
	reportMessageBytes = 256 << 10       // bytes in one message
	reportConcurrency  = 8               // messages sent concurrently
)

// pendingOutcome is an outcome that the shard's owner has not confirmed.
type pendingOutcome struct {
	outcome
	expires time.Time
}

// reporter sends the outcomes of attempts to the owners until they confirm. It
// is safe to lose an outcome: the owner then tells repeats that it is unknown.
type reporter struct {
	j             *Journal
	input         chan outcome
	drainRequests chan chan struct{}
	bytes         int // size of the unsettled outcomes
}

func newReporter(j *Journal) *reporter {
	return &reporter{j: j, input: make(chan outcome, reportQueue), drainRequests: make(chan chan struct{})}
}

func (r *reporter) add(o outcome) {
	o.Skip = nil
	select {
	case r.input <- o:
	default:
		r.drop(o)
	}
}

func (r *reporter) drop(o outcome) {
	r.j.metrics.dropped.Inc(1)
	r.j.opts.Log.WithField("event", "journal_report_dropped").WithField("attempt", o.Attempt).
		WithField("state", o.State).Warn("the outcome of an attempt was not recorded")
}

// drain waits until no outcome is pending or ctx ends.
func (r *reporter) drain(ctx context.Context) {
	done := make(chan struct{})
	select {
	case r.drainRequests <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *reporter) run(ctx context.Context) error {
	var pending []pendingOutcome
	var waiting []chan struct{}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case done := <-r.drainRequests:
			waiting = append(waiting, done)
		case o := <-r.input:
			if len(pending) == 0 {
				timer.Reset(reportDelay)
			}
			pending = r.enqueue(pending, o)
		case <-timer.C:
			pending = r.send(ctx, pending)
			if len(pending) > 0 {
				timer.Reset(reportRetry)
			}
		}
		if len(pending) == 0 && len(r.input) == 0 {
			for _, done := range waiting {
				close(done)
			}
			waiting = nil
		}
	}
}

func (r *reporter) enqueue(pending []pendingOutcome, o outcome) []pendingOutcome {
	if r.bytes+o.size() > reportBytes {
		r.drop(o)
		return pending
	}
	r.bytes += o.size()
	return append(pending, pendingOutcome{outcome: o, expires: time.Now().Add(reportTTL)})
}

// send sends each outcome once and returns those to be sent again.
func (r *reporter) send(ctx context.Context, pending []pendingOutcome) []pendingOutcome {
	var mu sync.Mutex
	var unsettled []pendingOutcome
	var group errgroup.Group
	group.SetLimit(reportConcurrency)
	for host, batch := range r.groupByOwner(pending) {
		for _, part := range split(batch) {
			group.Go(func() error {
				rest := r.sendTo(ctx, host, part)
				mu.Lock()
				defer mu.Unlock()
				unsettled = append(unsettled, rest...)
				return nil
			})
		}
	}
	_ = group.Wait() // the functions return no error
	return r.dropExpired(unsettled)
}

func (r *reporter) groupByOwner(pending []pendingOutcome) map[string][]pendingOutcome {
	out := map[string][]pendingOutcome{}
	for _, p := range pending {
		host := r.j.ownerOf(p.ID.Shard(len(r.j.shards)), p.Skip)
		if host == "" && len(p.Skip) > 0 {
			p.Skip = nil
			host = r.j.ownerOf(p.ID.Shard(len(r.j.shards)), nil)
		}
		out[host] = append(out[host], p)
	}
	return out
}

// split divides a batch into messages of limited size.
func split(batch []pendingOutcome) [][]pendingOutcome {
	var out [][]pendingOutcome
	start, bytes := 0, 0
	for i := range batch {
		if i > start && (i-start >= reportBatch || bytes+batch[i].size() > reportMessageBytes) {
			out = append(out, batch[start:i])
			start, bytes = i, 0
		}
		bytes += batch[i].size()
	}
	return append(out, batch[start:])
}

func (r *reporter) sendTo(ctx context.Context, host string, batch []pendingOutcome) []pendingOutcome {
	var params finishParams
	for _, p := range batch {
		params.Outcomes = append(params.Outcomes, p.outcome)
	}
	reply, err := r.sendFinish(ctx, host, params)
	var rest []pendingOutcome
	for i, p := range batch {
		if err == nil && i < len(reply.Settled) && reply.Settled[i] {
			continue
		}
		if err != nil {
			p.Skip = append(p.Skip, host)
		} else {
			p.Skip = nil
		}
		rest = append(rest, p)
	}
	return rest
}

func (r *reporter) sendFinish(ctx context.Context, host string, params finishParams) (finishReply, error) {
	var reply finishReply
	if host == "" {
		return reply, nil
	}
	if host == r.j.self.Name {
		return r.j.serveFinish(ctx, params), nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.j.opts.Caller.Call(ctx, host, methodFinish, params, &reply)
	return reply, err
}

func (r *reporter) dropExpired(unsettled []pendingOutcome) []pendingOutcome {
	now := time.Now()
	r.bytes = 0
	var out []pendingOutcome
	for _, p := range unsettled {
		if now.After(p.expires) {
			r.drop(p.outcome)
			continue
		}
		r.bytes += p.size()
		out = append(out, p)
	}
	return out
}
