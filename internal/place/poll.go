package place

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"golang.org/x/sync/errgroup"

	"buckthornseam.dev/coord/placement"
	"buckthornseam.dev/seam/internal/config"
	"buckthornseam.dev/seam/internal/peer"
	"buckthornseam.dev/seam/internal/target"
)

// Times and bounds of polling.
const (
	pollEvery    = time.Second
	pollAtOnce   = 16
	refreshEvery = 3 * time.Second       // an unchanged report is passed on again
	refreshPer   = 50 * time.Millisecond // stretches that for each host
	lostAfter    = 3                     // polls in a row without answer
)

// poller reads the reports of this host's share of the engines and passes
// what matters for placement on to the decider. Rendezvous hashing gives each
// engine to one live host, so that the reports read grow with the number of
// engines and not with that of hosts.
type poller struct {
	p    *Placer
	last map[string]sent // by target
}

// sent is what the decider was told last of a target.
type sent struct {
	digest uint64
	at     time.Duration
	failed int
}

func (q *poller) run(ctx context.Context) {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		q.round(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// round polls the share of this host.
func (q *poller) round(ctx context.Context) {
	mine := q.share()
	reports := make([]targetReport, len(mine))
	read := make([]placement.Report, len(mine))
	group := errgroup.Group{}
	group.SetLimit(pollAtOnce)
	for i, t := range mine {
		group.Go(func() error {
			reports[i].Target = t.Name
			began := q.p.now()
			rep, raw, ok := q.readRaw(ctx, t)
			reports[i].Lost = !ok
			reports[i].Report = raw
			reports[i].Report.Age += q.p.now() - began
			read[i] = rep
			return nil
		})
	}
	_ = group.Wait() // the goroutines return no errors
	if q.p.lease.active() {
		q.tellSelf(ctx, reports, read)
		return
	}
	q.relay(ctx, reports)
}

// share returns the engines that this host polls.
func (q *poller) share() []*config.Target {
	var names []string
	for _, m := range q.p.opts.Members.Members() {
		if m.State == peer.StateAlive {
			names = append(names, m.ID.Name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	ring := rendezvous.New(names, xxhash.Sum64String)
	self := q.p.opts.Members.Self().ID.Name
	var mine []*config.Target
	for _, t := range q.p.opts.Config.Snapshot().Targets {
		if t.Kind == config.TargetEngine && ring.Lookup(t.Name) == self {
			mine = append(mine, t)
		}
	}
	return mine
}

// read returns a target's report as the core takes it.
func (q *poller) read(ctx context.Context, t *config.Target) (placement.Report, bool) {
	rep, _, ok := q.readRaw(ctx, t)
	return rep, ok
}

func (q *poller) readRaw(ctx context.Context, t *config.Target) (placement.Report, target.Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, controlLimit)
	defer cancel()
	began := q.p.now()
	raw, err := q.p.opts.Control.Report(ctx, t.Address)
	if err != nil {
		return placement.Report{}, raw, false
	}
	// The report was made after the call began, so this is not too late.
	return convert(raw, began-raw.Age), raw, true
}

func convert(raw target.Report, takenAt time.Duration) placement.Report {
	rep := placement.Report{
		Incarnation: raw.Incarnation, Sequence: raw.Sequence, MaxFence: raw.MaxFence, Capacity: raw.MemoryBytes,
		Used: raw.UsedBytes, Running: raw.Running, Waiting: raw.Waiting, TakenAt: takenAt,
		Replicas: make(map[string]placement.Replica, len(raw.Replicas)),
		Cached:   make(map[string]placement.Cache, len(raw.Cached)),
	}
	for _, r := range raw.Replicas {
		rep.Replicas[r.Model] = placement.Replica{State: placement.State(r.State), Order: r.Decision, Bytes: r.Bytes}
	}
	for model, c := range raw.Cached {
		rep.Cached[model] = caches[c]
	}
	return rep
}

var caches = map[target.CacheTier]placement.Cache{
	target.CacheMemory: placement.CacheMemory,
	target.CacheDisk:   placement.CacheDisk,
	target.CacheRemote: placement.CacheRemote,
}

// lost counts polls in a row without answer and tells when they are enough.
func (q *poller) lost(r targetReport) bool {
	s := q.last[r.Target]
	s.failed++
	if !r.Lost {
		s.failed = 0
	}
	q.last[r.Target] = s
	return s.failed >= lostAfter
}

func (q *poller) tellSelf(ctx context.Context, reports []targetReport, read []placement.Report) {
	for i, r := range reports {
		lost := q.lost(r)
		if r.Lost && !lost {
			continue
		}
		q.p.loop.tell(ctx, reportInput{target: r.Target, rep: read[i], lost: lost})
	}
}

// relay passes on the reports that changed in what matters for placement, and
// each other one now and then.
func (q *poller) relay(ctx context.Context, reports []targetReport) {
	now := q.p.now()
	refresh := q.p.refresh()
	var params reportsParams
	for _, r := range reports {
		lost := q.lost(r)
		if r.Lost && !lost {
			continue
		}
		s := q.last[r.Target]
		d := digest(r.Report)
		if !lost && d == s.digest && now < s.at+refresh {
			continue
		}
		r.Lost = lost
		params.Reports = append(params.Reports, r)
	}
	if len(params.Reports) == 0 || !q.p.host.reports(ctx, params) {
		return
	}
	for _, r := range params.Reports {
		s := q.last[r.Target]
		s.digest, s.at = digest(r.Report), now
		q.last[r.Target] = s
	}
}

// refresh returns how often an unchanged report is passed on again.
func (p *Placer) refresh() time.Duration {
	return max(refreshEvery, time.Duration(p.hosts.Load())*refreshPer)
}

// digest covers the fields of a report that matter for placement.
func digest(r target.Report) uint64 {
	r.Sequence = 0
	r.Age = 0
	r.Running = min(r.Running, 1)
	r.Waiting = min(r.Waiting, 1)
	data, err := json.Marshal(r)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// reportInput is a report for the core.
type reportInput struct {
	target string
	rep    placement.Report
	lost   bool
}

func (in reportInput) apply(l *loop, now time.Duration) {
	if in.lost {
		l.d.MarkUnreachable(in.target)
		return
	}
	l.d.Report(now, in.target, in.rep)
}
