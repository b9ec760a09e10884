package coordinator

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"buckthornseam.dev/coord/crashcause"
	"buckthornseam.dev/seam/internal/fleet"
)

// evaluateInterval is the shortest time between two evaluations of what crashes targets.
const evaluateInterval = 100 * time.Millisecond

// PartFailures finds out which parts of prompts crash targets, from what all hosts report.
type PartFailures struct {
	self  string
	hosts func() map[string]fleet.Host
	now   func() time.Duration
	log   logrus.FieldLogger

	mu          sync.Mutex
	tracker     *crashcause.Tracker
	evaluatedAt time.Duration
}

// NewPartFailures returns an empty PartFailures of a host. The function hosts returns all hosts.
func NewPartFailures(self string, hosts func() map[string]fleet.Host, now func() time.Duration, log logrus.FieldLogger) *PartFailures {
	return &PartFailures{self: self, hosts: hosts, now: now, log: log, tracker: crashcause.New()}
}

// runOf names one start of a target.
func runOf(t fleet.Target) string { return t.ID + "@" + strconv.FormatInt(t.StartedMS, 36) }

// targetOfRun returns the ID of the target in a result of runOf.
func targetOfRun(run string) string { return run[:max(0, strings.LastIndexByte(run, '@'))] }

// RecordFailure records that a target broke off a request whose prompt has the given parts. The name of the request is the same for
// all tries of it.
func (p *PartFailures) RecordFailure(request string, parts []string, t fleet.Target, sent time.Duration) {
	if len(parts) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordFailure(p.now(), request, parts, runOf(t), sent)
}

// RecordCompletion records that a target completed a request whose prompt has the given parts.
func (p *PartFailures) RecordCompletion(parts []string, t fleet.Target, sent time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.RecordCompletion(p.now(), parts, runOf(t), sent)
	p.logChanges()
}

// Check returns a part of a prompt that crashes targets, or an empty string. With probe set, a request
// is admitted all the same once in a while, to find out whether it still does.
func (p *PartFailures) Check(parts []string, probe bool) string {
	if len(parts) == 0 {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Check(p.now(), parts, func(part string) bool { return probe && p.probes(part) })
}

// HoldUntil returns until when a request should wait, since a part of its prompt may crash targets; 0: none may.
func (p *PartFailures) HoldUntil(parts []string) time.Duration {
	if len(parts) == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.HoldUntil(p.now(), parts)
}

// probes reports whether this host probes a part. One host does, so that a probe crashes one target.
func (p *PartFailures) probes(part string) bool {
	first, most := "", uint64(0)
	for name, host := range p.hosts() {
		if rank := xxhash.Sum64String(name + "\x00" + part); !host.Leaving && (first == "" || rank > most) {
			first, most = name, rank
		}
	}
	return first == p.self
}

// evaluate blocks the parts that are found to crash targets.
func (p *PartFailures) evaluate() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := p.now(); now >= p.evaluatedAt+evaluateInterval {
		p.evaluatedAt = now
		p.tracker.Evaluate(now)
		p.logChanges()
	}
}

// logChanges logs the parts that were blocked or released. The caller must hold p.mu.
func (p *PartFailures) logChanges() {
	for _, c := range p.tracker.TakeChanges() {
		if c.Blocked {
			p.log.WithFields(logrus.Fields{"event": "part_blocked", "part": c.Part, "targets": c.Targets}).Warn("a part of prompts crashes targets; requests with it are refused")
		} else {
			p.log.WithFields(logrus.Fields{"event": "part_released", "part": c.Part, "targets": c.Targets}).Info("a target completed a request with the part")
		}
	}
}

// changes returns the evidence that a receiver has not been sent.
func (p *PartFailures) changes(cursor *crashcause.Cursor, to crashcause.Direction) *crashcause.Evidence {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Changes(p.now(), cursor, to)
}

func (p *PartFailures) mergeReport(host string, e *crashcause.Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.MergeReport(p.now(), host, e)
	p.logChanges()
}

func (p *PartFailures) mergeUpdate(e *crashcause.Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.MergeUpdate(p.now(), e)
	p.logChanges()
}

// stored returns what is kept in the store.
func (p *PartFailures) stored() []crashcause.StoredBlock {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.Blocks()
}

// restore adds what was kept in the store.
func (p *PartFailures) restore(blocks []crashcause.StoredBlock) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Restore(p.now(), blocks)
	p.logChanges()
}
