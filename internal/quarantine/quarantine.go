// Package quarantine stops requests that crash the targets that run them. A
// request is identified by its team and the hash of its content; neither its
// content nor its key is stored. After it has crashed two targets, counted
// across all hosts, a request is refused on every host until an operator
// releases it.
//
// The losses of a request, which are the targets lost while they ran it, are
// counted by two owner hosts, which rendezvous hashing selects from the
// members. Hosts report each loss of a target to them and learn of the losses
// that other hosts have reported. The entries in quarantine are few and are
// replicated to all hosts: by gossip when they change, and by a periodic
// exchange with one random host for entries that gossip has lost.
package quarantine

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/refusal"
	"buckthornseam.dev/seam/internal/serve"
)

// Limits of the communication between hosts.
const (
	ownersPerRequest = 2                      // hosts that count the losses of a request
	gossipFanOut     = 8                      // hosts that a host sends a new entry to; 3 hosts in 10,000 are not reached
	gossipQueue      = 64                     // new entries queued for gossip
	callTimeout      = 300 * time.Millisecond // limit of a call to another host
	exchangeInterval = 5 * time.Second
)

// Options are the dependencies and limits of a Quarantine.
type Options struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	Log       logrus.FieldLogger
	Metrics   tally.Scope
	Limits    Limits
	Seed      uint64 // seed of the choice of hosts for gossip and exchanges
}

// OptionsError reports an option that is missing or out of range.
type OptionsError struct {
	Field string
}

func (e *OptionsError) Error() string {
	return "quarantine: option " + e.Field + " is missing or out of range"
}

// Quarantine implements serve.Quarantine.
type Quarantine struct {
	opts      Options
	origin    time.Time
	gossip    chan Entry
	lossCount atomic.Uint64 // number of losses seen by this host

	mu    sync.Mutex
	table *table
	rng   *rand.Rand
}

// New returns a quarantine and registers its peer methods.
func New(opts Options) (*Quarantine, error) {
	for field, missing := range map[string]bool{
		"Members": opts.Members == nil, "Caller": opts.Caller == nil, "Registrar": opts.Registrar == nil,
		"Log": opts.Log == nil, "Metrics": opts.Metrics == nil,
	} {
		if missing {
			return nil, &OptionsError{Field: field}
		}
	}
	opts.Metrics = opts.Metrics.SubScope("quarantine")
	t, err := newTable(opts.Limits)
	if err != nil {
		return nil, err
	}
	q := &Quarantine{
		opts: opts, origin: time.Now(), table: t, gossip: make(chan Entry, gossipQueue),
		rng: rand.New(rand.NewPCG(opts.Seed, opts.Seed)),
	}
	q.register(opts.Registrar)
	return q, nil
}

func (q *Quarantine) now() time.Duration { return time.Since(q.origin) }

// Check implements serve.Quarantine.
func (q *Quarantine) Check(team, fingerprint string) error {
	q.mu.Lock()
	blocked := q.table.blocked(q.now(), ID{Team: team, Fingerprint: fingerprint})
	q.mu.Unlock()
	if !blocked {
		return nil
	}
	q.opts.Metrics.Counter("refused").Inc(1)
	return refusal.New(http.StatusUnprocessableEntity, refusal.CodeQuarantined,
		"Targets were lost while they ran this request; it is not sent again until an operator releases it.")
}

// RecordCrash implements serve.Quarantine. It returns once each owner has counted
// the loss or has failed to reply within 300 ms, so that a later Check takes
// the losses seen by other hosts into account.
func (q *Quarantine) RecordCrash(team, fingerprint, target string) {
	id := ID{Team: team, Fingerprint: fingerprint}
	losses := q.record(id, []string{q.lossID(target)})
	all, replied := q.reportToOwners(id, losses)
	if replied == 0 {
		q.mu.Lock()
		q.table.hold(q.now(), id)
		q.mu.Unlock()
		return
	}
	q.record(id, all)
}

// lossID returns a unique name for a loss of a target. Every loss counts, even
// of the same target, since a model may have a single target, which one request
// can crash repeatedly.
func (q *Quarantine) lossID(target string) string {
	return fmt.Sprintf("%s (seen by %s, %d)", target, q.opts.Members.Self().ID.Name, q.lossCount.Add(1))
}

// RecordSuccess implements serve.Quarantine. It discards the losses that this host
// has counted for a request, since a target has completed it.
func (q *Quarantine) RecordSuccess(team, fingerprint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.removeSuspect(ID{Team: team, Fingerprint: fingerprint})
}

// List returns the requests in quarantine and those released within
// Limits.EntryTTL.
func (q *Quarantine) List() []Entry {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.list(q.now())
}

// NotQuarantinedError reports a release of a request that is not in quarantine.
type NotQuarantinedError struct {
	ID ID
}

func (e *NotQuarantinedError) Error() string {
	return "request " + e.ID.Fingerprint + " of team " + e.ID.Team + " is not in quarantine"
}

// Release permits a request to run again, on all hosts.
func (q *Quarantine) Release(team, fingerprint string) error {
	id := ID{Team: team, Fingerprint: fingerprint}
	q.mu.Lock()
	e, ok := q.table.release(q.now(), id)
	q.mu.Unlock()
	if !ok {
		return &NotQuarantinedError{ID: id}
	}
	q.opts.Log.WithFields(logrus.Fields{"event": "quarantine_released", "team": team, "fingerprint": fingerprint}).Info("request released from quarantine")
	q.enqueueGossip(e)
	return nil
}

// record adds losses to those of a request and returns all of them.
func (q *Quarantine) record(id ID, losses []string) []string {
	q.mu.Lock()
	all, changed := q.table.recordLosses(q.now(), id, losses)
	all = append([]string(nil), all...)
	q.mu.Unlock()
	if changed != nil {
		q.opts.Metrics.Counter("entered").Inc(1)
		q.opts.Log.WithFields(logrus.Fields{
			"event": "quarantine_entered", "team": id.Team, "fingerprint": id.Fingerprint, "targets": changed.Losses,
		}).Warn("request put into quarantine")
		q.enqueueGossip(*changed)
	}
	return all
}

// enqueueGossip queues an entry for gossip. If the queue is full, the periodic
// exchange replicates the entry.
func (q *Quarantine) enqueueGossip(e Entry) {
	select {
	case q.gossip <- e:
	default:
	}
}

// reportToOwners reports losses to the owners of a request. It returns the
// losses that the other owners know of, and how many owners have replied; this
// host counts as one if it is an owner.
func (q *Quarantine) reportToOwners(id ID, losses []string) (all []string, replied int) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	for _, host := range q.ownersOf(id) {
		if host == q.opts.Members.Self().ID.Name {
			mu.Lock()
			replied++
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			var reply suspectReply
			if err := q.opts.Caller.Call(ctx, host, methodSuspect, suspectParams{ID: id, Losses: losses}, &reply); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			replied++
			all = append(all, reply.Losses...)
			return nil
		})
	}
	_ = group.Wait() // errors are ignored: one of the owners suffices
	return all, replied
}

// ownersOf returns the owners of a request: the first alive members in
// rendezvous order.
func (q *Quarantine) ownersOf(id ID) []string {
	type ranked struct {
		host string
		rank uint64
	}
	var all []ranked
	for _, m := range q.opts.Members.Members() {
		if m.State == peer.StateAlive {
			all = append(all, ranked{m.ID.Name, xxhash.Sum64String(m.ID.Name + "\x00" + id.Team + "\x00" + id.Fingerprint)})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].rank > all[j].rank })
	var out []string
	for _, r := range all[:min(ownersPerRequest, len(all))] {
		out = append(out, r.host)
	}
	return out
}

// Interface check.
var _ serve.Quarantine = (*Quarantine)(nil)
