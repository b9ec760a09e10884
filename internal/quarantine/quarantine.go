// Package quarantine stops requests that crash the targets that run them. A
// request is known by its team and the hash of its content; neither content
// nor key is kept. After two lost targets, counted over all hosts, it is
// refused on every host until an operator releases it.
//
// The count of a request is kept by two owner hosts, found by rendezvous over
// the members, and is asked for whenever a target was lost. The entries in
// quarantine, few as they are, spread to all hosts: at once along random
// links, and by a regular exchange with one random host for what got lost.
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

// Bounds of the exchange between hosts.
const (
	owners           = 2                      // hosts that count for a request
	fanOut           = 8                      // hosts that a new entry is passed on to; misses 3 hosts in 10,000
	spreadQueue      = 64                     // new entries waiting to be passed on
	askTimeout       = 300 * time.Millisecond // of the question to an owner
	exchangeInterval = 5 * time.Second
)

// Options are the surroundings of a Quarantine.
type Options struct {
	Members   peer.Members
	Caller    peer.Caller
	Registrar peer.Registrar
	Log       logrus.FieldLogger
	Metrics   tally.Scope
	Limits    Limits
	Seed      uint64 // of the choice of hosts to pass entries on to
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
	opts   Options
	origin time.Time
	news   chan Entry
	losses atomic.Uint64 // losses seen by this host

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
		opts: opts, origin: time.Now(), table: t, news: make(chan Entry, spreadQueue),
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

// RecordCrash implements serve.Quarantine. It returns once the owners have
// counted the loss, or cannot be reached, so that a Check afterwards knows of
// the losses seen by other hosts. It takes at most 300 ms.
func (q *Quarantine) RecordCrash(team, fingerprint, target string) {
	id := ID{Team: team, Fingerprint: fingerprint}
	targets := q.record(id, []string{q.lossOf(target)})
	all, answered := q.askOwners(id, targets)
	if answered == 0 {
		q.mu.Lock()
		q.table.holdOff(q.now(), id)
		q.mu.Unlock()
		return
	}
	q.record(id, all)
}

// lossOf names one loss of a target. Each loss counts: a model may have a single
// target, which one request can crash again and again.
func (q *Quarantine) lossOf(target string) string {
	return fmt.Sprintf("%s (seen by %s, %d)", target, q.opts.Members.Self().ID.Name, q.losses.Add(1))
}

// RecordSuccess clears the suspicion against a request that a target ran to its
// end.
func (q *Quarantine) RecordSuccess(team, fingerprint string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.clear(ID{Team: team, Fingerprint: fingerprint})
}

// List returns the requests in quarantine, and those released of late.
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

// Release lets a request run again, on all hosts.
func (q *Quarantine) Release(team, fingerprint string) error {
	id := ID{Team: team, Fingerprint: fingerprint}
	q.mu.Lock()
	e, ok := q.table.release(q.now(), id)
	q.mu.Unlock()
	if !ok {
		return &NotQuarantinedError{ID: id}
	}
	q.opts.Log.WithFields(logrus.Fields{"event": "quarantine_released", "team": team, "fingerprint": fingerprint}).Info("request released from quarantine")
	q.announce(e)
	return nil
}

// record adds lost targets to a request's count and returns all of them.
func (q *Quarantine) record(id ID, targets []string) []string {
	q.mu.Lock()
	all, changed := q.table.suspect(q.now(), id, targets)
	all = append([]string(nil), all...)
	q.mu.Unlock()
	if changed != nil {
		q.opts.Metrics.Counter("entered").Inc(1)
		q.opts.Log.WithFields(logrus.Fields{
			"event": "quarantine_entered", "team": id.Team, "fingerprint": id.Fingerprint, "targets": changed.Targets,
		}).Warn("request put into quarantine")
		q.announce(*changed)
	}
	return all
}

// announce queues an entry to be passed on; if too many wait, the regular
// exchange carries it.
func (q *Quarantine) announce(e Entry) {
	select {
	case q.news <- e:
	default:
	}
}

// askOwners tells the owners of the lost targets and returns theirs.
func (q *Quarantine) askOwners(id ID, targets []string) (all []string, answered int) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	var mu sync.Mutex
	var group errgroup.Group
	for _, host := range q.ownersOf(id) {
		if host == q.opts.Members.Self().ID.Name {
			mu.Lock()
			answered++
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			var answer suspectAnswer
			if err := q.opts.Caller.Call(ctx, host, methodSuspect, suspectParams{ID: id, Targets: targets}, &answer); err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			answered++
			all = append(all, answer.Targets...)
			return nil
		})
	}
	_ = group.Wait() // an owner that does not answer is covered by the other
	return all, answered
}

// ownersOf returns the first members in rendezvous order for the request.
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
	for _, r := range all[:min(owners, len(all))] {
		out = append(out, r.host)
	}
	return out
}

// Interface check.
var _ serve.Quarantine = (*Quarantine)(nil)
