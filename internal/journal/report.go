package journal

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Bounds of the reports of ended attempts.
const (
	reportQueue   = 4096                  // endings handed over and not yet taken up
	reportBytes   = 8 << 20               // endings held in memory
	reportDelay   = 20 * time.Millisecond // wait for endings to share a message
	reportRetry   = 500 * time.Millisecond
	reportLife    = 2 * time.Minute // after which an ending is given up
	reportBatch   = 128             // endings in one message
	reportMessage = 256 << 10       // bytes in one message
	reportCalls   = 8               // messages at once
)

// held is an ending that its owner has not confirmed.
type held struct {
	ending
	expires time.Time
}

// reporter tells owners how attempts ended, until they confirm. A lost ending
// is safe: repeats then learn that the outcome is unknown.
type reporter struct {
	j     *Journal
	input chan ending
	empty chan chan struct{}
	bytes int // of the endings held
}

func newReporter(j *Journal) *reporter {
	return &reporter{j: j, input: make(chan ending, reportQueue), empty: make(chan chan struct{})}
}

func (r *reporter) add(e ending) {
	e.Skip = nil
	select {
	case r.input <- e:
	default:
		r.drop(e)
	}
}

func (r *reporter) drop(e ending) {
	r.j.metrics.dropped.Inc(1)
	r.j.opts.Log.WithField("event", "journal_report_dropped").WithField("attempt", e.Attempt).
		WithField("state", e.State).Warn("end of an attempt was not recorded")
}

// drain waits until all endings are confirmed or ctx ends.
func (r *reporter) drain(ctx context.Context) {
	done := make(chan struct{})
	select {
	case r.empty <- done:
	case <-ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *reporter) run(ctx context.Context) error {
	var pending []held
	var waiting []chan struct{}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case done := <-r.empty:
			waiting = append(waiting, done)
		case e := <-r.input:
			if len(pending) == 0 {
				timer.Reset(reportDelay)
			}
			pending = r.hold(pending, e)
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

func (r *reporter) hold(pending []held, e ending) []held {
	if r.bytes+e.size() > reportBytes {
		r.drop(e)
		return pending
	}
	r.bytes += e.size()
	return append(pending, held{ending: e, expires: time.Now().Add(reportLife)})
}

// send makes one try for each ending and returns those to be tried again.
func (r *reporter) send(ctx context.Context, pending []held) []held {
	var mu sync.Mutex
	var again []held
	var group errgroup.Group
	group.SetLimit(reportCalls)
	for host, batch := range r.batches(pending) {
		for _, part := range split(batch) {
			group.Go(func() error {
				left := r.sendTo(ctx, host, part)
				mu.Lock()
				defer mu.Unlock()
				again = append(again, left...)
				return nil
			})
		}
	}
	_ = group.Wait() // the functions return no error
	return r.unexpired(again)
}

func (r *reporter) batches(pending []held) map[string][]held {
	out := map[string][]held{}
	for _, h := range pending {
		host := r.j.ownerOf(h.ID.Shard(len(r.j.shards)), h.Skip)
		if host == "" && len(h.Skip) > 0 {
			h.Skip = nil
			host = r.j.ownerOf(h.ID.Shard(len(r.j.shards)), nil)
		}
		out[host] = append(out[host], h)
	}
	return out
}

// split cuts a batch into messages of bounded size.
func split(batch []held) [][]held {
	var out [][]held
	start, bytes := 0, 0
	for i := range batch {
		if i > start && (i-start >= reportBatch || bytes+batch[i].size() > reportMessage) {
			out = append(out, batch[start:i])
			start, bytes = i, 0
		}
		bytes += batch[i].size()
	}
	return append(out, batch[start:])
}

func (r *reporter) sendTo(ctx context.Context, host string, batch []held) []held {
	var params finishParams
	for _, h := range batch {
		params.Endings = append(params.Endings, h.ending)
	}
	answer, err := r.ask(ctx, host, params)
	var left []held
	for i, h := range batch {
		if err == nil && i < len(answer.Settled) && answer.Settled[i] {
			continue
		}
		if err != nil {
			h.Skip = append(h.Skip, host)
		} else {
			h.Skip = nil
		}
		left = append(left, h)
	}
	return left
}

func (r *reporter) ask(ctx context.Context, host string, params finishParams) (finishAnswer, error) {
	var answer finishAnswer
	if host == "" {
		return answer, nil
	}
	if host == r.j.self.Name {
		return r.j.serveFinish(ctx, params), nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	err := r.j.opts.Caller.Call(ctx, host, methodFinish, params, &answer)
	return answer, err
}

func (r *reporter) unexpired(again []held) []held {
	now := time.Now()
	r.bytes = 0
	var out []held
	for _, h := range again {
		if now.After(h.expires) {
			r.drop(h.ending)
			continue
		}
		r.bytes += h.size()
		out = append(out, h)
	}
	return out
}
