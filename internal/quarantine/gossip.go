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
	methodGossip   = "quarantine.spread"
	methodExchange = "quarantine.exchange"
)

type suspectParams struct {
	ID     ID       `json:"id"`
	Losses []string `json:"targets"`
}

type suspectReply struct {
	Losses []string `json:"targets"`
}

// exchangeParams hold a digest of the caller's entries. If the receiver has the
// same entries, it sends none.
type exchangeParams struct {
	Digest uint64 `json:"digest,string"`
}

type exchangeReply struct {
	Entries []Entry `json:"entries,omitempty"`
}

// ParamsError reports parameters of a peer method that cannot be decoded.
type ParamsError struct {
	Method string
	Cause  error
}

func (e *ParamsError) Error() string { return e.Method + ": malformed parameters: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ParamsError) Unwrap() error { return e.Cause }

func (q *Quarantine) register(r peer.Registrar) {
	r.Handle(methodSuspect, handler(methodSuspect, func(p suspectParams) any {
		return suspectReply{Losses: q.record(p.ID, p.Losses)}
	}))
	r.Handle(methodGossip, handler(methodGossip, func(e Entry) any {
		q.merge([]Entry{e})
		return struct{}{}
	}))
	r.Handle(methodExchange, handler(methodExchange, func(p exchangeParams) any {
		entries := q.List()
		if digest(entries) == p.Digest {
			return exchangeReply{}
		}
		return exchangeReply{Entries: entries}
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

// merge stores entries received from another host and queues those that were
// new to this host for gossip.
func (q *Quarantine) merge(entries []Entry) {
	for _, e := range entries {
		q.mu.Lock()
		isNew := q.table.merge(q.now(), e)
		q.mu.Unlock()
		if isNew {
			q.enqueueGossip(e)
		}
	}
}

// digest returns a hash of a list of entries that does not depend on their ages.
func digest(entries []Entry) uint64 {
	d := xxhash.New()
	for _, e := range entries {
		_, _ = d.WriteString(e.Team + "\x00" + e.Fingerprint + "\x00") // an xxhash.Digest returns no error
		_, _ = d.WriteString(strconv.FormatUint(e.Sequence, 10) + strconv.FormatBool(e.Released))
	}
	return d.Sum64()
}

// Run sends new entries to other hosts and exchanges entries periodically until
// ctx ends.
func (q *Quarantine) Run(ctx context.Context) error {
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-q.gossip:
			q.sendGossip(ctx, e)
		case <-tick.C:
			q.exchange(ctx)
		}
	}
}

// sendGossip sends a new entry to gossipFanOut random hosts, which do the same.
func (q *Quarantine) sendGossip(ctx context.Context, e Entry) {
	for _, host := range q.randomHosts(gossipFanOut) {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_ = q.opts.Caller.Call(ctx, host, methodGossip, e, nil) // the periodic exchange replicates what is lost
		}()
	}
}

// exchange asks a random host for its entries, unless they equal this host's,
// and merges them.
func (q *Quarantine) exchange(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, host := range q.randomHosts(1) {
		var reply exchangeReply
		if err := q.opts.Caller.Call(ctx, host, methodExchange, exchangeParams{Digest: digest(q.List())}, &reply); err == nil {
			q.merge(reply.Entries)
		}
	}
}

// randomHosts returns up to n randomly chosen other hosts, except those that the
// membership suspects to have failed.
func (q *Quarantine) randomHosts(n int) []string {
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
