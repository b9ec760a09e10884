package modelplacer

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

// Intervals and limits of polling.
const (
	pollInterval         = time.Second
	maxConcurrentPolls   = 16
	minRelayInterval     = 3 * time.Second       // between relays of an unchanged report
	relayIntervalPerHost = 50 * time.Millisecond // or this much for each host, if that is longer
	maxFailedPolls       = 3                     // consecutive failed polls after which a target is reported unreachable
)

// poller polls the engines assigned to this host and relays the reports that
// matter for placement to the decider. Rendezvous hashing assigns each engine to
// one live host, so that the number of polls grows with the number of engines
// and not with the number of hosts.
type poller struct {
	p    *Placer
	last map[string]relayState // by target
}

// relayState describes the last report of a target that was sent to the decider,
// and counts the consecutive failed polls of the target.
type relayState struct {
	digest uint64
	sentAt time.Duration
	failed int
}

func (q *poller) run(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		q.pollAssigned(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// pollAssigned polls the assigned engines once.
func (q *poller) pollAssigned(ctx context.Context) {
	assigned := q.assigned()
	reports := make([]targetReport, len(assigned))
	converted := make([]placement.Report, len(assigned))
	group := errgroup.Group{}
	group.SetLimit(maxConcurrentPolls)
	for i, t := range assigned {
		group.Go(func() error {
			reports[i].Target = t.Name
			began := q.p.now()
			rep, raw, ok := q.readRaw(ctx, t)
			reports[i].Lost = !ok
			reports[i].Report = raw
			reports[i].Report.Age += q.p.now() - began
			converted[i] = rep
			return nil
		})
	}
	_ = group.Wait() // the goroutines return no errors
	if q.p.lease.active() {
		q.applyReports(ctx, reports, converted)
		return
	}
	q.relay(ctx, reports)
}

// assigned returns the engines that are assigned to this host.
func (q *poller) assigned() []*config.Target {
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
	var assigned []*config.Target
	for _, t := range q.p.opts.Config.Snapshot().Targets {
		if t.Kind == config.TargetEngine && ring.Lookup(t.Name) == self {
			assigned = append(assigned, t)
		}
	}
	return assigned
}

// read reads a target's report and converts it for the core.
func (q *poller) read(ctx context.Context, t *config.Target) (placement.Report, bool) {
	rep, _, ok := q.readRaw(ctx, t)
	return rep, ok
}

func (q *poller) readRaw(ctx context.Context, t *config.Target) (placement.Report, target.Report, bool) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	began := q.p.now()
	raw, err := q.p.opts.Control.Report(ctx, t.Address)
	if err != nil {
		return placement.Report{}, raw, false
	}
	// The report was made after the call began, so takenAt is never too late.
	return convertReport(raw, began-raw.Age), raw, true
}

func convertReport(raw target.Report, takenAt time.Duration) placement.Report {
	rep := placement.Report{
		Incarnation: raw.Incarnation, Sequence: raw.Sequence, MaxFence: raw.MaxFence, Capacity: raw.MemoryBytes,
		Used: raw.UsedBytes, Running: raw.Running, Waiting: raw.Waiting, TakenAt: takenAt,
		Replicas: make(map[string]placement.Replica, len(raw.Replicas)),
		Cached:   make(map[string]placement.CacheTier, len(raw.Cached)),
	}
	for _, r := range raw.Replicas {
		rep.Replicas[r.Model] = placement.Replica{State: placement.State(r.State), Order: r.Decision, Bytes: r.Bytes}
	}
	for model, c := range raw.Cached {
		rep.Cached[model] = cacheLevels[c]
	}
	return rep
}

var cacheLevels = map[target.CacheTier]placement.CacheTier{
	target.CacheMemory: placement.CacheMemory,
	target.CacheDisk:   placement.CacheDisk,
	target.CacheRemote: placement.CacheRemote,
}

// countFailure counts consecutive failed polls and reports whether the target
// counts as unreachable.
func (q *poller) countFailure(r targetReport) bool {
	s := q.last[r.Target]
	s.failed++
	if !r.Lost {
		s.failed = 0
	}
	q.last[r.Target] = s
	return s.failed >= maxFailedPolls
}

func (q *poller) applyReports(ctx context.Context, reports []targetReport, converted []placement.Report) {
	for i, r := range reports {
		unreachable := q.countFailure(r)
		if r.Lost && !unreachable {
			continue
		}
		q.p.loop.send(ctx, reportInput{target: r.Target, rep: converted[i], unreachable: unreachable})
	}
}

// relay sends the decider the reports whose digest has changed, and each
// unchanged one after relayInterval.
func (q *poller) relay(ctx context.Context, reports []targetReport) {
	now := q.p.now()
	interval := q.p.relayInterval()
	var params reportsParams
	for _, r := range reports {
		unreachable := q.countFailure(r)
		if r.Lost && !unreachable {
			continue
		}
		s := q.last[r.Target]
		d := digest(r.Report)
		if !unreachable && d == s.digest && now < s.sentAt+interval {
			continue
		}
		r.Lost = unreachable
		params.Reports = append(params.Reports, r)
	}
	if len(params.Reports) == 0 || !q.p.client.sendReports(ctx, params) {
		return
	}
	for _, r := range params.Reports {
		s := q.last[r.Target]
		s.digest, s.sentAt = digest(r.Report), now
		q.last[r.Target] = s
	}
}

// relayInterval returns the time after which an unchanged report is relayed again.
func (p *Placer) relayInterval() time.Duration {
	return max(minRelayInterval, time.Duration(p.memberCount.Load())*relayIntervalPerHost)
}

// digest returns a hash of the fields of a report that matter for placement.
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

// reportInput passes a report to the core.
type reportInput struct {
	target      string
	rep         placement.Report
	unreachable bool
}

func (in reportInput) apply(l *loop, now time.Duration) {
	if in.unreachable {
		l.d.MarkUnreachable(in.target)
		return
	}
	l.d.RecordReport(now, in.target, in.rep)
}
