package quarantine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"buckthornseam.dev/seam/internal/peer"
)

// The peer methods of the quarantine.
const (
	methodSuspect  = "quarantine.suspect"
	methodSpread   = "quarantine.spread"
	methodExchange = "quarantine.exchange"
)

type suspectParams struct {
	ID      ID       `json:"id"`
	Targets []string `json:"targets"`
}

type suspectAnswer struct {
	Targets []string `json:"targets"`
}

// exchangeParams carry a digest, so that hosts that agree send no entries.
type exchangeParams struct {
	Digest uint64 `json:"digest,string"`
}

type exchangeAnswer struct {
	Entries []Entry `json:"entries,omitempty"`
}

// ParamsError reports parameters of a peer method that cannot be read.
type ParamsError struct {
	Method string
	Cause  error
}

func (e *ParamsError) Error() string { return e.Method + ": malformed parameters: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ParamsError) Unwrap() error { return e.Cause }

func (q *Quarantine) register(r peer.Registrar) {
	r.Handle(methodSuspect, handler(methodSuspect, func(p suspectParams) any {
		return suspectAnswer{Targets: q.record(p.ID, p.Targets)}
	}))
	r.Handle(methodSpread, handler(methodSpread, func(e Entry) any {
		q.merge([]Entry{e})
		return struct{}{}
	}))
	r.Handle(methodExchange, handler(methodExchange, func(p exchangeParams) any {
		entries := q.List()
		if digest(entries) == p.Digest {
			return exchangeAnswer{}
		}
		return exchangeAnswer{Entries: entries}
	}))
}

func handler[P any](method string, serve func(P) any) peer.Handler {
	return func(_ context.Context, _ peer.ID, params json.RawMessage) (any, error) {
		var p P
		if err := json.Unmarshal(params, &p); err != nil {
			return nil, &ParamsError{Method: method, Cause: err}
		}
		return serve(p), nil
	}
}

// merge takes entries over and passes on those that were news.
func (q *Quarantine) merge(entries []Entry) {
	for _, e := range entries {
		q.mu.Lock()
		news := q.table.merge(q.now(), e)
		q.mu.Unlock()
		if news {
			q.announce(e)
		}
	}
}

// digest identifies a set of entries, whatever their age.
func digest(entries []Entry) uint64 {
	d := xxhash.New()
	for _, e := range entries {
		_, _ = d.WriteString(e.Team + "\x00" + e.Fingerprint + "\x00") // never fails, see xxhash
		_, _ = d.WriteString(strconv.FormatUint(e.Sequence, 10) + strconv.FormatBool(e.Released))
	}
	return d.Sum64()
}

// Run passes new entries on and exchanges with other hosts until ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-q.news:
			q.pass(ctx, e)
		case <-tick.C:
			q.exchange(ctx)
		}
	}
}

// pass sends a new entry to a few random hosts, which do the same.
func (q *Quarantine) pass(ctx context.Context, e Entry) {
	for _, host := range q.random(fanOut) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_ = q.opts.Caller.Call(ctx, host, methodSpread, e, nil) // the exchange makes up for a loss
		}()
	}
}

// exchange asks one random host for the entries this one lacks.
func (q *Quarantine) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	for _, host := range q.random(1) {
		var answer exchangeAnswer
		if err := q.opts.Caller.Call(ctx, host, methodExchange, exchangeParams{Digest: digest(q.List())}, &answer); err == nil {
			q.merge(answer.Entries)
		}
	}
}

// random returns up to n other hosts.
func (q *Quarantine) random(n int) []string {
	self := q.opts.Members.Self().ID.Name
	var hosts []string
	for _, m := range q.opts.Members.Members() {
		if m.ID.Name != self && m.State != peer.StateSuspect {
			hosts = append(hosts, m.ID.Name)
		}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}
